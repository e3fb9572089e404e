// The ledger shards that this dispatcher reads and writes, stored in the
// platform's object store.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "chervilpass/core/log.h"
#include "chervilpass/core/metrics.h"
#include "chervilpass/io/runtime.h"
#include "chervilpass/ledger/shard_log.h"
#include "chervilpass/platform/object_client.h"

namespace chervilpass::dispatch {

/// Settings of a LedgerService.
struct LedgerServiceSettings {
  std::uint32_t shards = 4;  ///< number of shards; must be equal on all VMs
  ledger::ShardLogSettings shard;

  bool operator==(const LedgerServiceSettings&) const = default;
};

/// Index of the shard that holds `key`, from 0 to `shards` - 1.
std::uint32_t ShardOfKey(const ledger::ClaimKey& key, std::uint32_t shards);

/// Rendezvous hash key that selects the dispatcher that owns a shard.
std::uint64_t ShardOwnerKey(std::uint32_t shard);

/// Claims keys and records outcomes and releases. Calls suspend the calling
/// fiber. Any dispatcher may write to any shard: the store's conditional writes
/// keep the shard consistent, and ownership only avoids write conflicts. Fiber
/// thread only.
class LedgerService {
 public:
  static std::shared_ptr<LedgerService> Create(
      io::Runtime* runtime,
      MetricsRegistry* metrics,
      Logger log,
      std::shared_ptr<platform::ObjectClient> store,
      LedgerServiceSettings settings);

  /// Suspends the fiber until the claim on `key` is granted or refused.
  /// `attempt` identifies the claimant; `digest` identifies the request that
  /// the key is used for.
  ledger::ClaimReply Claim(const ledger::ClaimKey& key,
                           const std::string& attempt,
                           std::uint64_t digest);

  /// Records the outcome of a claimed call, or releases the claim of a call
  /// that was not executed. Suspends the fiber until the record is durable and
  /// returns true; returns false if the store does not answer, and then writes
  /// the record later.
  bool Finish(const ledger::ClaimKey& key,
              const std::string& attempt,
              const io::HttpResponse& outcome);
  bool Release(const ledger::ClaimKey& key, const std::string& attempt);

  /// Suspends the fiber until the state of `key` is read, without claiming it.
  ledger::ClaimReply Query(const ledger::ClaimKey& key);

 private:
  struct State;
  explicit LedgerService(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

}  // namespace chervilpass::dispatch
