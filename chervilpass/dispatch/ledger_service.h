// The ledger shards that this dispatcher works on, against the object API.
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

/// Describes a LedgerService.
struct LedgerServiceSettings {
  std::uint32_t shards = 4;  ///< the same on every VM
  ledger::ShardLogSettings shard;

  bool operator==(const LedgerServiceSettings&) const = default;
};

/// The shard of a key.
std::uint32_t ShardOfKey(const ledger::ClaimKey& key, std::uint32_t shards);

/// Hash that places the owner of a shard among the dispatchers.
std::uint64_t ShardOwnerKey(std::uint32_t shard);

/// Claims, outcomes and releases, seen from fibers. Any dispatcher may work on
/// any shard: ownership saves conflicts, the store's conditions keep it right.
/// Fiber thread only.
class LedgerService {
 public:
  static std::shared_ptr<LedgerService> Create(
      io::Runtime* runtime,
      MetricsRegistry* metrics,
      Logger log,
      std::shared_ptr<platform::ObjectClient> store,
      LedgerServiceSettings settings);

  /// Suspends until the claim is granted, or refused for a reason.
  ledger::ClaimReply Claim(const ledger::ClaimKey& key,
                           const std::string& attempt,
                           std::uint64_t digest);

  /// Suspends until the outcome is durable (true), or the store does not
  /// answer now and it is written later (false).
  bool Finish(const ledger::ClaimKey& key,
              const std::string& attempt,
              const io::HttpResponse& outcome);
  bool Release(const ledger::ClaimKey& key, const std::string& attempt);

  ledger::ClaimReply Query(const ledger::ClaimKey& key);

 private:
  struct State;
  explicit LedgerService(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

}  // namespace chervilpass::dispatch
