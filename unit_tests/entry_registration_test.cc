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
constexpr Duration kGrace = seconds(8);

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
  settings.max_hold = kGrace;
  settings.retry_delay = milliseconds(20);
  return settings;
}

EntryRecord RecordOf(std::uint64_t boot_id, std::optional<WallTime> stop_ends) {
  return {MemberOf(boot_id), stop_ends};
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

WallTime After(WallTime time, Duration duration) {
  return {time.milliseconds + ToMilliseconds(duration)};
}

}  // namespace

Test(entry_registration, a_record_is_read_as_it_was_written) {
  const EntryRecord plain = RecordOf(5, std::nullopt);
  const EntryRecord stopping = RecordOf(5, WallTime{1700000000123});
  cr_assert(DecodeEntry(kVm, EncodeEntry(plain)) == plain);
  cr_assert(DecodeEntry(kVm, EncodeEntry(stopping)) == stopping);
}

Test(entry_registration, a_record_of_an_earlier_build_names_no_stop) {
  boost::json::object body = EncodeEntry(RecordOf(5, std::nullopt)).as_object();
  body.erase("forward_port");
  const auto record = DecodeEntry(kVm, body);
  cr_assert(record.has_value());
  cr_assert(!record->stop_ends);
}

// Guards against fleets of two builds whose VMs do not find each other.
Test(entry_registration, an_earlier_build_reads_a_record_that_names_a_stop) {
  const boost::json::object body =
      EncodeEntry(RecordOf(5, WallTime{1700000000123})).as_object();
  // It requires these fields and ignores others.
  for (const char* name : {"ip", "data_centre", "region"}) {
    cr_assert(body.at(name).is_string(), "%s", name);
  }
  for (const char* name : {"http_port", "control_port", "gossip_port",
                           "forward_port", "boot_id"}) {
    cr_assert(body.at(name).is_number(), "%s", name);
  }
}

Test(entry_registration, a_process_holds_back_until_an_earlier_stop_ends) {
  const WallTime now{1700000000000};
  const EntryRegistrationSettings settings = SettingsOf(2);
  const auto hold = [&](Duration until_end) {
    return HoldAfter(RecordOf(1, After(now, until_end)), now, settings);
  };
  cr_assert(hold(seconds(2)) == seconds(2) + settings.kill_delay);
  cr_assert(hold(Duration::zero()) == settings.kill_delay);
  cr_assert(hold(-seconds(1)) == Duration::zero());
  cr_assert(HoldAfter(RecordOf(1, std::nullopt), now, settings) ==
            Duration::zero());
}

Test(entry_registration, a_clock_that_was_set_back_holds_for_a_grace_period) {
  const WallTime now{1700000000000};
  const EntryRegistrationSettings settings = SettingsOf(2);
  cr_assert(HoldAfter(RecordOf(1, After(now, hours(1))), now, settings) ==
            kGrace + settings.kill_delay);
}

Test(entry_registration, a_process_does_not_hold_back_for_its_own_stop) {
  const WallTime now{1700000000000};
  cr_assert(HoldAfter(RecordOf(2, After(now, seconds(2))), now,
                      SettingsOf(2)) == Duration::zero());
}

Test(entry_registration, platforms_that_kill_only_what_they_stop_need_no_hold) {
  const WallTime now{1700000000000};
  EntryRegistrationSettings settings = SettingsOf(2);
  settings.max_hold = Duration::zero();
  cr_assert(HoldAfter(RecordOf(1, After(now, seconds(2))), now, settings) ==
            Duration::zero());
}

// Guards against requests that are lost because the platform's kill reaches the
// process after the one that was ordered to stop.
Test(entry_registration, the_next_process_learns_of_a_stop) {
  OnRuntime([](io::Runtime& runtime) {
    MemoryStore store(runtime, 22760);
    Process first(runtime, 22760, 1);
    first.registration->Register();
    cr_assert(first.registration->HoldLeft() == Duration::zero());
    first.registration->AnnounceStop(After(runtime.WallNow(), seconds(3)));
    runtime.SleepFor(milliseconds(100));
    Process second(runtime, 22760, 2);
    cr_assert(!second.registration->HoldLeft());
    second.registration->Register();
    const Duration hold = *second.registration->HoldLeft();
    cr_assert(hold > seconds(2) && hold < milliseconds(3200), "%ld ms",
              static_cast<long>(ToMilliseconds(hold)));
  });
}

// Guards against a hold that is forgotten when the process that keeps it ends.
Test(entry_registration, a_hold_outlives_the_process_that_keeps_it) {
  OnRuntime([](io::Runtime& runtime) {
    MemoryStore store(runtime, 22762);
    Process first(runtime, 22762, 1);
    first.registration->Register();
    first.registration->AnnounceStop(After(runtime.WallNow(), seconds(3)));
    runtime.SleepFor(milliseconds(100));
    Process second(runtime, 22762, 2);
    second.registration->Register();
    Process third(runtime, 22762, 3);
    third.registration->Register();
    cr_assert(*third.registration->HoldLeft() > seconds(2));
  });
}

Test(entry_registration, a_stop_is_written_once_the_store_is_back) {
  OnRuntime([](io::Runtime& runtime) {
    MemoryStore store(runtime, 22764);
    Process first(runtime, 22764, 1);
    first.registration->Register();
    store.available = false;
    first.registration->AnnounceStop(After(runtime.WallNow(), seconds(3)));
    runtime.SleepFor(milliseconds(100));
    store.available = true;
    runtime.SleepFor(milliseconds(100));
    Process second(runtime, 22764, 2);
    second.registration->Register();
    cr_assert(*second.registration->HoldLeft() > seconds(2));
  });
}

// Guards against VMs that serve nobody while the store is down.
Test(entry_registration, a_process_without_the_store_takes_requests) {
  OnRuntime([](io::Runtime& runtime) {
    MemoryStore store(runtime, 22766);
    store.available = false;
    Process process(runtime, 22766, 1);
    cr_assert(!process.registration->HoldLeft());
    runtime.SleepFor(milliseconds(350));
    cr_assert(process.registration->HoldLeft() == Duration::zero());
  });
}

Test(entry_registration,
     the_stop_of_a_process_that_was_replaced_is_not_written) {
  OnRuntime([](io::Runtime& runtime) {
    MemoryStore store(runtime, 22768);
    Process first(runtime, 22768, 1);
    first.registration->Register();
    Process second(runtime, 22768, 2);
    second.registration->Register();
    first.registration->AnnounceStop(After(runtime.WallNow(), seconds(3)));
    runtime.SleepFor(milliseconds(100));
    Process third(runtime, 22768, 3);
    third.registration->Register();
    cr_assert(third.registration->HoldLeft() == Duration::zero());
  });
}

// Guards against a stop that is forgotten because it was ordered before the
// process had found the record of an earlier one.
Test(entry_registration, a_stop_before_the_registration_is_written) {
  OnRuntime([](io::Runtime& runtime) {
    MemoryStore store(runtime, 22772);
    Process first(runtime, 22772, 1);
    first.registration->Register();
    first.registration->AnnounceStop(After(runtime.WallNow(), seconds(1)));
    runtime.SleepFor(milliseconds(100));
    Process second(runtime, 22772, 2);
    second.registration->AnnounceStop(After(runtime.WallNow(), seconds(3)));
    second.registration->Register();
    runtime.SleepFor(milliseconds(100));
    Process third(runtime, 22772, 3);
    third.registration->Register();
    const Duration hold = *third.registration->HoldLeft();
    cr_assert(hold > seconds(2) && hold < milliseconds(3200), "%ld ms",
              static_cast<long>(ToMilliseconds(hold)));
  });
}
