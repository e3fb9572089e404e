// What a relay tells its followers: configuration and changes of backend
// servers since what they have. Messages between our own processes.
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

/// One state message.
struct PeerState {
  std::optional<platform::StoredObject> config;  ///< if it is newer
  std::uint64_t workers_revision = 0;
  /// True if `workers` are all there are, and not changes only.
  bool is_full = false;
  std::vector<platform::ObjectChange> workers;
  /// For how long registrations that have lapsed in an outage may still return.
  Duration expiry_grace{0};

  bool operator==(const PeerState&) const = default;
};

std::string EncodePeerState(const PeerState& state);

/// Empty if the text is not a state message.
std::optional<PeerState> DecodePeerState(const std::string& text);

/// What one VM knows of the store's objects, in the order of their changes.
/// Not thread-safe. Invariant: replaying the kept changes after a revision on
/// the objects of that revision gives the objects of now.
class StateLog {
 public:
  explicit StateLog(std::size_t max_kept_changes)
      : max_kept_changes(max_kept_changes) {}

  /// Takes a configuration; false if it is not newer.
  bool ApplyConfig(const platform::StoredObject& object);

  /// Takes all backend servers as of a revision; false if that is older.
  bool ApplyListing(const std::vector<platform::StoredObject>& objects,
                    std::uint64_t revision);

  /// Takes changes up to a revision. `since` is the revision that they follow.
  /// Returns the changes that are news; none if some before them are missing.
  std::optional<std::vector<platform::ObjectChange>> ApplyChanges(
      const std::vector<platform::ObjectChange>& changes,
      std::uint64_t since,
      std::uint64_t revision);

  /// What is newer than what a follower has.
  PeerState Since(std::uint64_t config_known,
                  std::uint64_t workers_known) const;

  /// True if `Since` would tell something.
  bool HasUpdates(std::uint64_t config_known,
                  std::uint64_t workers_known) const;

  std::uint64_t ConfigRevision() const { return this->config.revision; }
  std::uint64_t WorkersRevision() const { return this->workers_revision; }

 private:
  /// A change with the revision of the store by which it was made.
  struct Logged {
    std::uint64_t revision = 0;
    platform::ObjectChange change;
  };

  void Log(std::uint64_t revision, const platform::ObjectChange& change);

  std::size_t max_kept_changes;
  platform::StoredObject config;
  std::map<std::string, platform::StoredObject> workers;
  std::uint64_t workers_revision = 0;
  std::uint64_t last_change = 0;  ///< revision of the last change taken
  std::deque<Logged> changes;
  std::uint64_t complete_after = 0;  ///< all changes after it are kept
};

}  // namespace chervilpass::fleet
