#include "chervilpass/fleet/entry_registration.h"

#include <utility>

namespace chervilpass::fleet {

using platform::StoredObject;
using platform::StoreErrorCode;
using platform::StoreKind;

struct EntryRegistration::State {
  // True once the record is written.
  bool TryRegister() {
    const auto created = this->store->Create(
        StoreKind::kEntries, this->record.member.vm, EncodeEntry(this->record));
    if (created.has_value()) {
      this->OnRegistered(created.value());
      return true;
    }
    if (created.error().code != StoreErrorCode::kConflict) {
      this->log->Info("entry.register_failed",
                      {{"detail", created.error().detail}});
      return false;
    }
    const auto known =
        this->store->Get(StoreKind::kEntries, this->record.member.vm);
    if (known.has_error()) {
      return false;
    }
    this->OnFound(known.value());
    const boost::json::value body = EncodeEntry(this->record);
    if (known.value().spec == body) {
      this->OnRegistered(known.value());
      return true;
    }
    const auto replaced =
        this->store->Replace(StoreKind::kEntries, this->record.member.vm,
                             known.value().revision, body);
    if (replaced.has_error()) {
      return false;
    }
    this->OnRegistered(replaced.value());
    return true;
  }

  void OnRegistered(const StoredObject& object) {
    this->revision = object.revision;
    this->known = true;
  }

  // `object` is the record that was in the store.
  void OnFound(const StoredObject& object) {
    const auto earlier = DecodeEntry(object.name, object.spec);
    if (earlier && !this->known &&
        earlier->member.boot_id != this->record.member.boot_id) {
      this->LogEarlier(*earlier);
    }
    this->known = true;
  }

  // A process that is killed writes no last line, but the next one can tell
  // when it had started. The difference is negative if the clock was set back.
  void LogEarlier(const EntryRecord& earlier) const {
    const auto started_before = milliseconds(static_cast<std::int64_t>(
        this->record.member.boot_id - earlier.member.boot_id));
    const bool short_lived = started_before >= Duration::zero() &&
                             started_before < this->settings.short_life;
    this->log->Write(short_lived ? LogLevel::kWarning : LogLevel::kInfo,
                     "router.predecessor",
                     {{"boot_id", earlier.member.boot_id},
                      {"own_boot_id", this->record.member.boot_id},
                      {"started_before_ms", started_before.count()},
                      {"short_lived", short_lived}});
  }

  io::Runtime* runtime;
  platform::StoreClient* store;
  const Logger* log;
  EntryRegistrationSettings settings;
  EntryRecord record;          ///< of this process
  std::uint64_t revision = 0;  ///< of the stored record; 0: not registered
  bool known = false;          ///< what the store held at the start
  bool stopped = false;
};

EntryRegistration::EntryRegistration(std::shared_ptr<State> state)
    : state(std::move(state)) {}

EntryRegistration::~EntryRegistration() {
  this->state->stopped = true;
}

std::unique_ptr<EntryRegistration> EntryRegistration::Create(
    io::Runtime* runtime,
    platform::StoreClient* store,
    const Logger* log,
    EntryRegistrationSettings settings) {
  auto state =
      std::make_shared<State>(State{runtime, store, log, settings, {}});
  state->record.member = state->settings.self;
  return std::unique_ptr<EntryRegistration>(
      new EntryRegistration(std::move(state)));
}

void EntryRegistration::Register() {
  const auto state = this->state;
  while (!state->stopped && !state->TryRegister()) {
    state->runtime->SleepFor(state->settings.retry_delay);
  }
}

}  // namespace chervilpass::fleet
