// Registers this VM in the store.
#pragma once

#include <memory>

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

  bool operator==(const EntryRegistrationSettings&) const = default;
};

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

 private:
  struct State;
  explicit EntryRegistration(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

}  // namespace chervilpass::fleet
