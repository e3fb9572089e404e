// Tests of the at-most-once ledger and of calls to plain services.
#include <criterion/criterion.h>

#include <map>
#include <optional>

#include "chervilpass/core/random.h"
#include "chervilpass/ledger/segment_json.h"
#include "chervilpass/ledger/service_flow.h"
#include "chervilpass/ledger/shard_log.h"

using namespace chervilpass;
using namespace chervilpass::ledger;
using admission::Executed;
using admission::RefusalCode;

namespace {

// A store of segments with versions and conditional writes.
class FakeStore {
 public:
  ReadResult Read(std::uint64_t index) const {
    const auto found = this->objects.find(index);
    if (found == this->objects.end()) {
      return SegmentMissing{};
    }
    return found->second;
  }

  WriteResult Write(const WriteSegment& write) {
    const auto found = this->objects.find(write.index);
    const std::uint64_t current =
        found == this->objects.end() ? 0 : found->second.version;
    if (current != write.version) {
      return WriteConflict{};
    }
    this->objects[write.index] = {current + 1, write.segment};
    ++this->writes;
    return WriteCommitted{current + 1};
  }

  std::map<std::uint64_t, SegmentRead> objects;
  int writes = 0;
};

// Runs one log's actions against the store until nothing is left to do.
class Driver {
 public:
  Driver(FakeStore* store, ShardLogSettings settings)
      : store(store), log(settings) {}
  explicit Driver(FakeStore* store) : Driver(store, ShardLogSettings{}) {}

  void Run(const ShardLogActions& actions) {
    for (const ShardLogAction& action : actions) {
      if (const auto* read = std::get_if<ReadSegment>(&action)) {
        this->Run(this->log.OnRead(
            read->index,
            this->down ? ReadResult(StoreFailed{}) : store->Read(read->index),
            this->now));
      } else if (const auto* write = std::get_if<WriteSegment>(&action)) {
        this->Run(this->log.OnWrite(this->Write(*write), this->now));
      } else if (const auto* reply = std::get_if<ReplyToClaim>(&action)) {
        this->replies[reply->attempt] = reply->reply;
      } else if (const auto* record = std::get_if<ReplyToRecord>(&action)) {
        this->records[record->attempt] = record->durable;
      }
    }
  }

  void Tick(Duration step = milliseconds(250)) {
    this->now += step;
    this->Run(this->log.OnTick(this->now));
  }

  ClaimReply Claim(const std::string& key,
                   const std::string& attempt,
                   std::uint64_t digest = 1) {
    this->Run(this->log.Claim({"org", key}, attempt, digest, {}, this->now));
    this->Tick();
    return this->replies.at(attempt);
  }

  void Finish(const std::string& key,
              const std::string& attempt,
              const std::string& body) {
    this->Run(this->log.Finish({"org", key}, attempt, {200, {}, body}, {},
                               this->now));
    this->Tick();
  }

  FakeStore* store;
  ShardLog log;
  Instant now{};
  bool down = false;
  bool lose_next_answer = false;
  std::optional<WriteSegment> delayed;  // a write that has not landed yet
  bool delay_next = false;
  std::map<std::string, ClaimReply> replies;
  std::map<std::string, bool> records;

 private:
  WriteResult Write(const WriteSegment& write) {
    if (this->down) {
      return WriteNotSent{};
    }
    if (this->delay_next) {
      this->delay_next = false;
      this->delayed = write;
      return WriteOutcomeUnknown{};
    }
    const WriteResult result = this->store->Write(write);
    if (this->lose_next_answer) {
      this->lose_next_answer = false;
      return WriteOutcomeUnknown{};
    }
    return result;
  }
};

bool IsGranted(const ClaimReply& reply) {
  return std::holds_alternative<Granted>(reply);
}

}  // namespace

Test(shard_log, a_key_is_granted_once) {
  FakeStore store;
  Driver owner(&store);
  cr_assert(IsGranted(owner.Claim("k", "a1")));
  cr_assert(std::holds_alternative<Running>(owner.Claim("k", "a2")));
  owner.Finish("k", "a1", "filed");
  cr_assert(owner.records.at("a1"));
  const ClaimReply again = owner.Claim("k", "a3");
  cr_assert(std::get<Completed>(again).outcome.body == "filed");
}

Test(shard_log, another_request_under_the_same_key_is_told_apart) {
  FakeStore store;
  Driver owner(&store);
  owner.Claim("k", "a1", 1);
  cr_assert(std::holds_alternative<Mismatch>(owner.Claim("k", "a2", 2)));
}

Test(shard_log, a_new_owner_never_grants_what_the_old_one_has) {
  FakeStore store;
  Driver old_owner(&store);
  Driver new_owner(&store);
  old_owner.Claim("k", "a1");
  cr_assert(std::holds_alternative<Unknown>(new_owner.Claim("k", "b1")));
  old_owner.Finish("k", "a1", "x");
  // The new owner's memory is stale; a query reads the store again.
  new_owner.Run(new_owner.log.Query({"org", "k"}, "q", new_owner.now));
  cr_assert(std::holds_alternative<Completed>(new_owner.replies.at("q")));
}

Test(shard_log, two_owners_racing_for_one_key_get_one_grant) {
  FakeStore store;
  Driver a(&store);
  Driver b(&store);
  a.Claim("warm-a", "w1");
  b.Claim("warm-b", "w2");
  // Both believe the key to be free; both write; the store takes one.
  const ClaimReply first = a.Claim("k", "a1");
  const ClaimReply second = b.Claim("k", "b1");
  cr_assert_eq(IsGranted(first) + IsGranted(second), 1);
}

Test(shard_log, a_lost_answer_is_settled_by_reading_back) {
  FakeStore store;
  Driver owner(&store);
  owner.lose_next_answer = true;
  cr_assert(IsGranted(owner.Claim("k", "a1")));
  cr_assert_eq(store.writes, 1);
}

Test(shard_log, an_outage_refuses_at_once_and_the_key_stays_usable) {
  FakeStore store;
  Driver owner(&store);
  owner.Claim("warm", "w");
  owner.down = true;
  cr_assert(std::get<Unavailable>(owner.Claim("k", "a1")).known_fresh);
  // One that has never read the shard cannot say that nothing has run.
  Driver newcomer(&store);
  newcomer.down = true;
  cr_assert(!std::get<Unavailable>(newcomer.Claim("k", "b1")).known_fresh);
  owner.down = false;
  owner.Tick();
  cr_assert(IsGranted(owner.Claim("k", "a2")));
}

// The claim's write is lost on its way, the store goes down, the claim is
// refused as not run; then the write lands after all. The caller must be able
// to come back.
Test(shard_log, a_refused_claim_that_lands_late_is_released) {
  FakeStore store;
  Driver owner(&store);
  owner.Claim("warm", "w");
  owner.delay_next = true;
  owner.Run(owner.log.Claim({"org", "k"}, "a1", 1, {}, owner.now));
  owner.down = true;
  owner.Tick();
  cr_assert(std::holds_alternative<Unavailable>(owner.replies.at("a1")));
  owner.down = false;
  store.Write(*owner.delayed);
  owner.Tick();
  owner.Tick();
  Driver other(&store);
  cr_assert(IsGranted(other.Claim("k", "b1")));
}

Test(shard_log, a_released_key_can_be_claimed_again) {
  FakeStore store;
  Driver owner(&store);
  owner.Claim("k", "a1");
  owner.Run(owner.log.Release({"org", "k"}, "a1", {}, owner.now));
  owner.Tick();
  cr_assert(owner.records.at("a1"));
  cr_assert(IsGranted(owner.Claim("k", "a2")));
}

Test(shard_log, an_outcome_in_an_outage_is_written_later) {
  FakeStore store;
  Driver owner(&store);
  owner.Claim("k", "a1");
  owner.down = true;
  owner.Finish("k", "a1", "late");
  cr_assert(!owner.records.at("a1"));
  owner.down = false;
  owner.Tick();
  owner.Tick();
  Driver other(&store);
  cr_assert(std::get<Completed>(other.Claim("k", "b1")).outcome.body == "late");
}

Test(shard_log, full_segments_are_sealed_and_the_chain_goes_on) {
  FakeStore store;
  ShardLogSettings settings;
  settings.segment_bytes = 1500;
  Driver owner(&store, settings);
  for (int i = 0; i < 60; ++i) {
    const std::string n = std::to_string(i);
    cr_assert(IsGranted(owner.Claim("k" + n, "a" + n)));
  }
  cr_assert_gt(store.objects.size(), 3);
  Driver newcomer(&store, settings);
  for (int i = 0; i < 60; ++i) {
    const std::string n = std::to_string(i);
    cr_assert(
        std::holds_alternative<Unknown>(newcomer.Claim("k" + n, "b" + n)));
  }
}

Test(shard_log, claims_that_arrive_together_share_a_write) {
  FakeStore store;
  Driver owner(&store);
  owner.Claim("warm", "w");
  owner.now += milliseconds(1);
  const int before = store.writes;
  for (int i = 0; i < 50; ++i) {
    const std::string n = std::to_string(i);
    owner.Run(owner.log.Claim({"org", n}, "a" + n, 1, {}, owner.now));
  }
  owner.Tick();
  cr_assert_leq(store.writes - before, 2);
  cr_assert(IsGranted(owner.replies.at("a49")));
}

Test(shard_log, an_outcome_too_large_to_keep_is_known_to_have_run) {
  FakeStore store;
  ShardLogSettings settings;
  settings.outcome_limit_bytes = 10;
  Driver owner(&store, settings);
  owner.Claim("k", "a1");
  owner.Finish("k", "a1", std::string(100, 'x'));
  cr_assert(!std::get<Completed>(owner.Claim("k", "a2")).body_kept);
}

// Several owners, lost answers, late writes, outages and deaths, at random: no
// key is ever granted twice without a release in between.
Test(shard_log, no_key_is_granted_twice_whatever_fails) {
  for (std::uint64_t seed = 0; seed < 3000; ++seed) {
    Random random(seed);
    FakeStore store;
    std::vector<Driver> owners;
    for (int i = 0; i < 3; ++i) {
      owners.emplace_back(&store);
    }
    std::map<std::string, int> grants;
    for (int step = 0; step < 40; ++step) {
      Driver& owner = owners[random.Below(3)];
      owner.down = random.Chance(0.15);
      owner.lose_next_answer = random.Chance(0.2);
      owner.delay_next = random.Chance(0.1);
      if (owner.delayed && random.Chance(0.5)) {
        store.Write(*owner.delayed);
        owner.delayed.reset();
      }
      if (random.Chance(0.1)) {
        owner = Driver(&store);  // Died; its successor knows nothing.
        continue;
      }
      const std::string key = std::to_string(random.Below(4));
      const std::string attempt = std::to_string(step);
      owner.Run(owner.log.Claim({"org", key}, attempt, 1, {}, owner.now));
      owner.Tick();
      for (int i = 0; i < 4 && !owner.replies.contains(attempt); ++i) {
        owner.Tick();
      }
      cr_assert(owner.replies.contains(attempt), "seed %lu", seed);
      grants[key] += IsGranted(owner.replies.at(attempt)) ? 1 : 0;
    }
    for (const auto& [key, count] : grants) {
      cr_assert_leq(count, 1, "seed %lu key %s", seed, key.c_str());
    }
  }
}

Test(segment_json, gives_back_what_was_written) {
  Segment segment;
  segment.sealed = true;
  segment.entries.push_back({{"org", "k"}, "a", {5}, Claimed{UINT64_MAX}});
  io::HttpResponse outcome{201, {}, std::string("\0\xff bytes", 8)};
  outcome.headers.Add("X-A", "b");
  segment.entries.push_back({{"org", "k"}, "a", {6}, Completed{outcome, true}});
  segment.entries.push_back({{"org", "l"}, "b", {7}, Released{}});
  cr_assert(SegmentFromJson(ToJson(segment)) == segment);
  cr_assert(!SegmentFromJson("{\"sealed\":1}").has_value());
  cr_assert(!SegmentFromJson("nonsense").has_value());
}

namespace {

template <class T>
const T* Only(const ServiceActions& actions) {
  return actions.size() == 1 ? std::get_if<T>(&actions.front()) : nullptr;
}

ServiceFlow KeyedFlow(routing::RetryBudget* budget) {
  return ServiceFlow({false, Instant{} + seconds(10), 3}, budget);
}

}  // namespace

Test(service_flow, a_keyed_call_is_claimed_before_it_is_sent) {
  routing::RetryBudget budget({});
  ServiceFlow flow = KeyedFlow(&budget);
  cr_assert(Only<AskClaim>(flow.Start(Instant{})) != nullptr);
  cr_assert(Only<SendCall>(flow.OnClaim(Granted{}, Instant{})) != nullptr);
  cr_assert(Only<RecordOutcome>(flow.OnResponse({200, {}, "x"}, Instant{})) !=
            nullptr);
  cr_assert(Only<AnswerCall>(flow.OnRecorded(true))->response.body == "x");
}

Test(service_flow, an_ambiguous_failure_is_never_sent_again) {
  routing::RetryBudget budget({});
  ServiceFlow flow = KeyedFlow(&budget);
  flow.Start(Instant{});
  flow.OnClaim(Granted{}, Instant{});
  const auto actions = flow.OnSendFailed(SendFailure::kAmbiguous, Instant{});
  const auto* refuse = Only<RefuseCall>(actions);
  cr_assert(refuse != nullptr);
  cr_assert(refuse->refusal.executed == Executed::kUnknown);
}

Test(service_flow, a_call_that_reached_nobody_is_tried_elsewhere_then_freed) {
  routing::RetryBudget budget({});
  ServiceFlow flow = KeyedFlow(&budget);
  flow.Start(Instant{});
  flow.OnClaim(Granted{}, Instant{});
  cr_assert(Only<SendCall>(flow.OnSendFailed(SendFailure::kNotSent,
                                             Instant{})) != nullptr);
  cr_assert(Only<RecordRelease>(flow.OnNoBackend(Instant{})) != nullptr);
  const auto actions = flow.OnRecorded(true);
  const auto* refuse = Only<RefuseCall>(actions);
  cr_assert(refuse->refusal.executed == Executed::kNo);
  cr_assert(refuse->refusal.retry_after > Duration(0));
}

Test(service_flow, a_claim_granted_after_the_deadline_is_freed_and_not_sent) {
  routing::RetryBudget budget({});
  ServiceFlow flow = KeyedFlow(&budget);
  flow.Start(Instant{});
  const auto actions = flow.OnClaim(Granted{}, Instant{} + seconds(11));
  cr_assert(Only<RecordRelease>(actions) != nullptr);
}

Test(service_flow, refusals_fit_what_the_ledger_says) {
  routing::RetryBudget budget({});
  const auto refusal_for = [&budget](const ClaimReply& reply) {
    ServiceFlow flow = KeyedFlow(&budget);
    flow.Start(Instant{});
    const auto actions = flow.OnClaim(reply, Instant{});
    return Only<RefuseCall>(actions)->refusal;
  };
  cr_assert(refusal_for(Unavailable{true}).executed == Executed::kNo);
  cr_assert(refusal_for(Unavailable{false}).executed == Executed::kUnknown);
  cr_assert(refusal_for(Unavailable{}).code == RefusalCode::kStoreUnavailable);
  cr_assert(refusal_for(Unknown{}).executed == Executed::kUnknown);
  cr_assert(refusal_for(Mismatch{}).code == RefusalCode::kKeyReused);
  cr_assert(refusal_for(Running{}).code == RefusalCode::kInProgress);
  cr_assert(refusal_for(Completed{{}, false}).executed == Executed::kYes);
}

Test(service_flow, a_repeatable_call_is_sent_again_within_the_budget) {
  routing::RetryBudget budget({0, 1});
  ServiceFlow flow({true, Instant{} + seconds(10), 5}, &budget);
  flow.Start(Instant{});
  cr_assert(Only<SendCall>(flow.OnSendFailed(SendFailure::kAmbiguous,
                                             Instant{})) != nullptr);
  const auto actions = flow.OnSendFailed(SendFailure::kAmbiguous, Instant{});
  cr_assert(Only<RefuseCall>(actions)->refusal.executed == Executed::kUnknown);
}
