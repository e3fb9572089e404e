#include "chervilpass/dispatch/ledger_service.h"

#include <fmt/format.h>

#include <boost/fiber/future.hpp>
#include <map>
#include <type_traits>

#include "chervilpass/core/hash.h"
#include "chervilpass/ledger/segment_json.h"

namespace chervilpass::dispatch {
namespace {

constexpr Duration kTickInterval = milliseconds(2);
constexpr std::uint64_t kShardOwnerSeed = 0x6c65646765720000ULL;  // "ledger"

using ledger::ClaimReply;
using platform::PlatformErrorCode;

std::string ObjectName(std::uint32_t shard, std::uint64_t index) {
  return fmt::format("ledger/{}/{}", shard, index);
}

ledger::ReadResult ReadResultFrom(
    const Result<platform::StoredObject, platform::PlatformError>& read) {
  if (read.has_error()) {
    if (read.error().code == PlatformErrorCode::kNotFound) {
      return ledger::SegmentMissing{};
    }
    return ledger::StoreFailed{};
  }
  auto segment = ledger::SegmentFromJson(read.value().value);
  if (!segment) {
    return ledger::StoreFailed{};
  }
  return ledger::SegmentRead{read.value().version, std::move(*segment)};
}

ledger::WriteResult WriteResultFrom(
    const Result<std::uint64_t, platform::PlatformError>& written) {
  if (written.has_value()) {
    return ledger::WriteCommitted{written.value()};
  }
  switch (written.error().code) {
    case PlatformErrorCode::kConflict:
      return ledger::WriteConflict{};
    case PlatformErrorCode::kNotSent:
    case PlatformErrorCode::kRateLimited:
    case PlatformErrorCode::kRefused:
      return ledger::WriteNotApplied{};
    default:
      return ledger::WriteOutcomeUnknown{};
  }
}

// One shard and the promises of the fibers that wait for its replies.
struct Shard {
  Shard(std::uint32_t number, const ledger::ShardLogSettings& settings)
      : number(number), log(settings) {}

  std::uint32_t number;
  ledger::ShardLog log;
  std::map<std::string, boost::fibers::promise<ClaimReply>>
      claims;                                                   // by attempt
  std::map<std::string, boost::fibers::promise<bool>> records;  // by attempt
};

}  // namespace

std::uint32_t ShardOfKey(const ledger::ClaimKey& key, std::uint32_t shards) {
  return static_cast<std::uint32_t>(
      HashText(key.key, HashText(key.organisation)) % shards);
}

std::uint64_t ShardOwnerKey(std::uint32_t shard) {
  return HashCombine(kShardOwnerSeed, shard);
}

struct LedgerService::State
    : std::enable_shared_from_this<LedgerService::State> {
  State(io::Runtime* runtime,
        MetricsRegistry* metrics,
        Logger log,
        std::shared_ptr<platform::ObjectClient> store,
        LedgerServiceSettings settings)
      : runtime(runtime),
        metrics(metrics),
        log(std::move(log)),
        store(std::move(store)),
        settings(settings) {
    for (std::uint32_t i = 0; i < settings.shards; ++i) {
      this->shards.push_back(std::make_unique<Shard>(i, settings.shard));
    }
  }

  Shard& ShardOf(const ledger::ClaimKey& key) {
    return *this->shards[ShardOfKey(key, this->settings.shards)];
  }

  // Executes the actions of a shard's state machine. Each store call runs on
  // its own fiber, which passes the result to the state machine.
  void Apply(Shard* shard, ledger::ShardLogActions actions) {
    for (ledger::ShardLogAction& action : actions) {
      std::visit([this, shard](auto& item) { this->Do(shard, item); }, action);
    }
  }

  void Do(Shard* shard, const ledger::ReadSegment& action) {
    this->runtime->Spawn([self = this->shared_from_this(), shard, action] {
      const auto read =
          self->store->Get(ObjectName(shard->number, action.index));
      self->Apply(shard, shard->log.OnRead(action.index, ReadResultFrom(read),
                                           self->runtime->Now()));
    });
  }

  void Do(Shard* shard, ledger::WriteSegment& action) {
    this->runtime->Spawn(
        [self = this->shared_from_this(), shard, action = std::move(action)] {
          self->Write(shard, action);
        });
  }

  void Write(Shard* shard, const ledger::WriteSegment& action) {
    const std::string name = ObjectName(shard->number, action.index);
    const std::string value = ledger::ToJson(action.segment);
    const Instant start = this->runtime->Now();
    const auto written = action.version == 0
                             ? this->store->CreateObject(name, value)
                             : this->store->Update(name, action.version, value);
    const Instant now = this->runtime->Now();
    this->metrics->Observe("chervil_ledger_write_seconds", now - start);
    if (written.has_error()) {
      this->log.Warning(
          "ledger.write-failed",
          {{"shard", shard->number}, {"detail", written.error().detail}});
    }
    this->Apply(shard, shard->log.OnWrite(WriteResultFrom(written), now));
  }

  void Do(Shard* shard, const ledger::ReplyToClaim& action) {
    const auto found = shard->claims.find(action.attempt);
    if (found != shard->claims.end()) {
      auto promise = std::move(found->second);
      shard->claims.erase(found);
      promise.set_value(action.reply);
    }
  }

  void Do(Shard* shard, const ledger::ReplyToRecord& action) {
    const auto found = shard->records.find(action.attempt);
    if (found != shard->records.end()) {
      auto promise = std::move(found->second);
      shard->records.erase(found);
      promise.set_value(action.durable);
    }
  }

  void TickLoop() {
    while (true) {
      this->runtime->SleepFor(kTickInterval);
      for (const auto& shard : this->shards) {
        this->Apply(shard.get(), shard->log.OnTick(this->runtime->Now()));
      }
    }
  }

  io::Runtime* runtime;
  MetricsRegistry* metrics;
  Logger log;
  std::shared_ptr<platform::ObjectClient> store;
  LedgerServiceSettings settings;
  std::vector<std::unique_ptr<Shard>> shards;
};

LedgerService::LedgerService(std::shared_ptr<State> state)
    : state(std::move(state)) {}

std::shared_ptr<LedgerService> LedgerService::Create(
    io::Runtime* runtime,
    MetricsRegistry* metrics,
    Logger log,
    std::shared_ptr<platform::ObjectClient> store,
    LedgerServiceSettings settings) {
  auto state = std::make_shared<State>(runtime, metrics, std::move(log),
                                       std::move(store), settings);
  runtime->Spawn([state] { state->TickLoop(); });
  return std::shared_ptr<LedgerService>(new LedgerService(std::move(state)));
}

ClaimReply LedgerService::Claim(const ledger::ClaimKey& key,
                                const std::string& attempt,
                                std::uint64_t digest) {
  Shard& shard = this->state->ShardOf(key);
  auto reply = shard.claims[attempt].get_future();
  this->state->Apply(&shard, shard.log.Claim(key, attempt, digest,
                                             this->state->runtime->WallNow(),
                                             this->state->runtime->Now()));
  return reply.get();
}

bool LedgerService::Finish(const ledger::ClaimKey& key,
                           const std::string& attempt,
                           const io::HttpResponse& outcome) {
  Shard& shard = this->state->ShardOf(key);
  auto durable = shard.records[attempt].get_future();
  this->state->Apply(&shard, shard.log.Finish(key, attempt, outcome,
                                              this->state->runtime->WallNow(),
                                              this->state->runtime->Now()));
  return durable.get();
}

bool LedgerService::Release(const ledger::ClaimKey& key,
                            const std::string& attempt) {
  Shard& shard = this->state->ShardOf(key);
  auto durable = shard.records[attempt].get_future();
  this->state->Apply(
      &shard, shard.log.Release(key, attempt, this->state->runtime->WallNow(),
                                this->state->runtime->Now()));
  return durable.get();
}

ClaimReply LedgerService::Query(const ledger::ClaimKey& key) {
  Shard& shard = this->state->ShardOf(key);
  const std::string query = RandomId();
  auto reply = shard.claims[query].get_future();
  this->state->Apply(&shard,
                     shard.log.Query(key, query, this->state->runtime->Now()));
  return reply.get();
}

}  // namespace chervilpass::dispatch
