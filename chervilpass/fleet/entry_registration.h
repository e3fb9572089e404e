// Registers this VM in the store, and tells its next process of a stop.
#pragma once

#include <memory>
#include <optional>

#include "chervilpass/core/log.h"
#include "chervilpass/fleet/entry_record.h"
#include "chervilpass/io/runtime.h"
#include "platform/store_client.h"

namespace chervilpass::fleet {

/// Settings of an EntryRegistration.
struct EntryRegistrationSettings {
  membership::Member self;
  Duration retry_delay = milliseconds(500);  ///< after a failed call
  /// A process that ended so soon after its start was most likely killed.
  Duration short_life = seconds(10);
  /// The platform may end a process so long after the grace period.
  Duration kill_delay = milliseconds(200);
  /// Longest time for which this process waits for the end of an earlier
  /// grace period: the clock may have been set back. Zero: it does not wait.
  Duration max_hold{0};
  /// Without an answer of the store it waits so long for the earlier record.
  Duration max_lookup = milliseconds(300);

  bool operator==(const EntryRegistrationSettings&) const = default;
};

/// How long a process that starts at `now` has to hold back requests because
/// `earlier`, the record that it has found, belongs to a process that was
/// ordered to stop: the platform ends what the VM runs at the end of the grace
/// period.
Duration HoldAfter(const EntryRecord& earlier,
                   WallTime now,
                   const EntryRegistrationSettings& settings);

/// The record of this VM in the store. Fiber thread only.
class EntryRegistration {
 public:
  /// `store` and `log` outlive it.
  static std::unique_ptr<EntryRegistration> Create(
      io::Runtime* runtime,
      platform::StoreClient* store,
      const Logger* log,
      EntryRegistrationSettings settings);
  ~EntryRegistration();

  /// Writes the record, trying until that succeeds.
  void Register();

  /// How much longer requests are to be held back; empty while that is not
  /// known.
  std::optional<Duration> HoldLeft() const;

  /// This process was ordered to stop and has until `ends`, in wall-clock time.
  /// Returns at once; a failed write is tried again.
  void AnnounceStop(WallTime ends);

 private:
  struct State;
  explicit EntryRegistration(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

}  // namespace chervilpass::fleet
