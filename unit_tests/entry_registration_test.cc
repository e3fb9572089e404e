// Tests of the registration of a VM, with a store in memory on loopback.
#include <functional>

#include "chervilpass/fleet/entry_registration.h"
#include "unit_tests/memory_store.h"

// Last: its macros clash with headers of Boost.
#include <criterion/criterion.h>

using namespace chervilpass;
using namespace chervilpass::fleet;

namespace {

constexpr const char* kVm = "127.0.203.7";

membership::Member MemberOf(std::uint64_t boot_id) {
  membership::Member member;
  member.vm = kVm;
  member.ip = kVm;
  member.data_centre = "hal-1";
  member.region = "dk-sjaelland";
  member.http_port = 7000;
  member.control_port = 7003;
  member.gossip_port = 7004;
  member.boot_id = boot_id;
  return member;
}

EntryRegistrationSettings SettingsOf(std::uint64_t boot_id) {
  EntryRegistrationSettings settings;
  settings.self = MemberOf(boot_id);
  settings.retry_delay = milliseconds(20);
  return settings;
}

// One process of the VM.
class Process {
 public:
  Process(io::Runtime& runtime, std::uint16_t port, std::uint64_t boot_id)
      : log({"test", "vm", LogLevel::kError, LogFormat::kKeyValue}),
        store(platform::StoreClient::Create(&runtime,
                                            &this->metrics,
                                            {{kMemoryStoreIp, port}})),
        registration(EntryRegistration::Create(&runtime,
                                               this->store.get(),
                                               &this->log,
                                               SettingsOf(boot_id))) {}

  Logger log;
  MetricsRegistry metrics;
  std::unique_ptr<platform::StoreClient> store;
  std::unique_ptr<EntryRegistration> registration;
};

void OnRuntime(const std::function<void(io::Runtime&)>& body) {
  io::Runtime::Run([&body](io::Runtime& runtime) { body(runtime); });
}

}  // namespace

Test(entry_registration, a_record_is_read_as_it_was_written) {
  const EntryRecord record{MemberOf(5)};
  cr_assert(DecodeEntry(kVm, EncodeEntry(record)) == record);
}

// Guards against VMs that do not know the processes of an earlier build.
Test(entry_registration, a_record_of_an_earlier_build_is_read) {
  boost::json::object body = EncodeEntry({MemberOf(5)}).as_object();
  body.erase("forward_port");
  const auto record = DecodeEntry(kVm, body);
  cr_assert(record.has_value());
  cr_assert_eq(record->member.forward_port, 0);
}

Test(entry_registration, the_next_process_replaces_the_record) {
  OnRuntime([](io::Runtime& runtime) {
    MemoryStore store(runtime, 22760);
    Process first(runtime, 22760, 1);
    first.registration->Register();
    Process second(runtime, 22760, 2);
    second.registration->Register();
    const auto& body = store.objects.at(kVm).at("spec");
    cr_assert_eq(DecodeEntry(kVm, body)->member.boot_id, 2u);
  });
}
