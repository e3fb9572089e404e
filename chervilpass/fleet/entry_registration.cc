#include "chervilpass/fleet/entry_registration.h"

#include <algorithm>
#include <string>
#include <utility>

namespace chervilpass::fleet {

using platform::StoredObject;
using platform::StoreErrorCode;
using platform::StoreKind;

Duration HoldAfter(const EntryRecord& earlier,
                   WallTime now,
                   const EntryRegistrationSettings& settings) {
  if (!earlier.stop_ends || settings.max_hold == Duration::zero() ||
      earlier.member.boot_id == settings.self.boot_id) {
    return Duration::zero();
  }
  const Duration left =
      milliseconds(earlier.stop_ends->milliseconds - now.milliseconds) +
      settings.kill_delay;
  return std::clamp(left, Duration::zero(),
                    settings.max_hold + settings.kill_delay);
}

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
      const Duration hold =
          HoldAfter(*earlier, this->runtime->WallNow(), this->settings);
      this->hold_until = this->runtime->Now() + hold;
      if (hold > Duration::zero()) {
        // Should this process end at once, the next one has to know as well.
        // A stop of this process may have been announced already.
        this->record.stop_ends =
            std::max(this->record.stop_ends, earlier->stop_ends);
      }
      this->LogEarlier(*earlier, hold);
    }
    this->known = true;
  }

  // A process that is killed writes no last line, but the next one can tell
  // when it had started. The difference is negative if the clock was set back.
  void LogEarlier(const EntryRecord& earlier, Duration hold) const {
    const auto started_before = milliseconds(static_cast<std::int64_t>(
        this->record.member.boot_id - earlier.member.boot_id));
    const bool short_lived = started_before >= Duration::zero() &&
                             started_before < this->settings.short_life;
    const WallTime now = this->runtime->WallNow();
    this->log->Write(
        short_lived ? LogLevel::kWarning : LogLevel::kInfo,
        "router.predecessor",
        {{"boot_id", earlier.member.boot_id},
         {"own_boot_id", this->record.member.boot_id},
         {"started_before_ms", started_before.count()},
         {"short_lived", short_lived},
         {"stop_ends_in_ms",
          earlier.stop_ends ? std::to_string(earlier.stop_ends->milliseconds -
                                             now.milliseconds)
                            : "no stop"},
         {"hold_ms", ToMilliseconds(hold)}});
  }

  void WriteStop() {
    while (!this->stopped) {
      if (this->revision == 0) {
        this->runtime->SleepFor(this->settings.retry_delay);
        continue;
      }
      const auto written =
          this->store->Replace(StoreKind::kEntries, this->record.member.vm,
                               this->revision, EncodeEntry(this->record));
      if (written.has_value()) {
        this->revision = written.value().revision;
        this->LogStopWritten();
        return;
      }
      this->log->Info("entry.stop_not_written",
                      {{"detail", written.error().detail}});
      if (written.error().code == StoreErrorCode::kConflict &&
          !this->TakeOver(written.error())) {
        return;
      }
      this->runtime->SleepFor(this->settings.retry_delay);
    }
  }

  void LogStopWritten() const {
    const WallTime now = this->runtime->WallNow();
    this->log->Info("entry.stop_written",
                    {{"ends_in_ms", this->record.stop_ends->milliseconds -
                                        now.milliseconds}});
  }

  // An earlier write of this process may have taken effect without an answer.
  // False if another process has written the record.
  bool TakeOver(const platform::StoreError& error) {
    if (!error.current) {
      return false;
    }
    const auto current = DecodeEntry(error.current->name, error.current->spec);
    if (!current || current->member.boot_id != this->record.member.boot_id) {
      return false;
    }
    this->revision = error.current->revision;
    return true;
  }

  io::Runtime* runtime;
  platform::StoreClient* store;
  const Logger* log;
  EntryRegistrationSettings settings;
  Instant created;
  EntryRecord record;          ///< of this process
  std::uint64_t revision = 0;  ///< of the stored record; 0: not registered
  bool known = false;          ///< what the store held at the start
  Instant hold_until{};
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
  auto state = std::make_shared<State>(
      State{runtime, store, log, settings, runtime->Now(),
            EntryRecord{settings.self, std::nullopt}});
  return std::unique_ptr<EntryRegistration>(
      new EntryRegistration(std::move(state)));
}

void EntryRegistration::Register() {
  const auto state = this->state;
  while (!state->stopped && !state->TryRegister()) {
    state->runtime->SleepFor(state->settings.retry_delay);
  }
}

std::optional<Duration> EntryRegistration::HoldLeft() const {
  const Instant now = this->state->runtime->Now();
  if (!this->state->known &&
      now - this->state->created < this->state->settings.max_lookup) {
    return std::nullopt;
  }
  return std::max(Duration::zero(), this->state->hold_until - now);
}

void EntryRegistration::AnnounceStop(WallTime ends) {
  const auto state = this->state;
  state->record.stop_ends = ends;
  state->runtime->Spawn([state] { state->WriteStop(); });
}

}  // namespace chervilpass::fleet
