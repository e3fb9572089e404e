// State that a relay sends to its followers, the VMs that poll it: the
// configuration and the changes of backend servers since the revisions that
// they have. Internal protocol between entry VMs.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chervilpass/core/result.h"
#include "chervilpass/core/time.h"
#include "platform/store_client.h"

namespace chervilpass::fleet {

/// When the store answered a VM, as it tells others: durations, since their
/// clocks differ.
struct StoreReach {
  Duration silent{0};   ///< since the last answer
  Duration reached{0};  ///< of the answers before, without an outage

  bool operator==(const StoreReach&) const = default;
};

/// A state message: a relay's response to a follower.
struct PeerState {
  /// Set if newer than the follower's.
  std::optional<platform::StoredObject> config;
  std::uint64_t workers_revision = 0;
  /// True if `workers` lists all workers, false if only changes.
  bool is_full = false;
  std::vector<platform::ObjectChange> workers;
  /// Time left in which registrations that expired during an outage may return.
  Duration expiry_grace{0};
  /// Not set by earlier builds, whose followers take `expiry_grace`.
  std::optional<StoreReach> store_reach;
  /// Revision of the store up to which the sender knows the configuration; zero
  /// from earlier builds.
  std::uint64_t config_checked = 0;

  bool operator==(const PeerState&) const = default;
};

/// Encodes a state message as JSON.
std::string EncodePeerState(const PeerState& state);

/// Decodes a state message; none if the text is not one.
std::optional<PeerState> DecodePeerState(const std::string& text);

/// Change log and current state of the store's objects, as known to one VM. Not
/// thread-safe.
/// Invariant: for each revision from `complete_after` on, applying the kept
/// changes after it to the objects of that revision gives the current objects.
class StateLog {
 public:
  explicit StateLog(std::size_t max_kept_changes)
      : max_kept_changes(max_kept_changes) {}

  /// Applies a configuration; false if it is not newer.
  bool ApplyConfig(const platform::StoredObject& object);

  /// Applies a listing of all backend servers as of a revision; false if the
  /// revision is older than the current one.
  bool ApplyListing(const std::vector<platform::StoredObject>& objects,
                    std::uint64_t revision);

  /// Applies changes up to `revision`. `since` is the revision that they
  /// follow. Returns the changes that were new, or nullopt if changes before
  /// `since` are missing.
  std::optional<std::vector<platform::ObjectChange>> ApplyChanges(
      const std::vector<platform::ObjectChange>& changes,
      std::uint64_t since,
      std::uint64_t revision);

  /// Returns the state that a follower with these revisions lacks.
  PeerState Since(std::uint64_t known_config_revision,
                  std::uint64_t known_workers_revision) const;

  /// True if `Since` would return a configuration or changes.
  bool HasUpdates(std::uint64_t known_config_revision,
                  std::uint64_t known_workers_revision) const;

  std::uint64_t ConfigRevision() const { return this->config.revision; }
  std::uint64_t WorkersRevision() const { return this->workers_revision; }

 private:
  /// A change and a revision of the store that includes it.
  struct LoggedChange {
    std::uint64_t revision = 0;
    platform::ObjectChange change;
  };

  void AppendChange(std::uint64_t revision,
                    const platform::ObjectChange& change);

  std::size_t max_kept_changes;
  platform::StoredObject config;
  std::map<std::string, platform::StoredObject> workers;  ///< by name
  std::uint64_t workers_revision = 0;
  std::uint64_t last_change_revision = 0;  ///< of the last change or listing
  std::deque<LoggedChange> changes;
  std::uint64_t complete_after = 0;  ///< revision; later changes are all kept
};

}  // namespace chervilpass::fleet
