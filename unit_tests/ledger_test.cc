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

// Store of segments with versions and conditional writes.
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

// Runs the actions of a log, and those that follow, against the store.
class Driver {
 public:
  Driver(FakeStore* store, ShardLogSettings settings)
      : store(store), log(settings) {}
  explicit Driver(FakeStore* store) : Driver(store, ShardLogSettings{}) {}

  void Run(const ShardLogActions& actions) {
    for (const ShardLogAction& action : actions) {
      if (const auto* read = std::get_if<ReadSegment>(&action)) {
        this->Run(this->log.OnRead(read->index,
                                   this->store_down ? ReadResult(StoreFailed{})
                                                    : store->Read(read->index),
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
  bool store_down = false;
  bool lose_next_result = false;
  std::optional<WriteSegment> delayed_write;  // not yet in effect
  bool delay_next_write = false;
  std::map<std::string, ClaimReply> replies;
  std::map<std::string, bool> records;

 private:
  WriteResult Write(const WriteSegment& write) {
    if (this->store_down) {
      return WriteNotApplied{};
    }
    if (this->delay_next_write) {
      this->delay_next_write = false;
      this->delayed_write = write;
      return WriteOutcomeUnknown{};
    }
    const WriteResult result = this->store->Write(write);
    if (this->lose_next_result) {
      this->lose_next_result = false;
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

Test(shard_log, another_request_with_the_same_key_is_a_mismatch) {
  FakeStore store;
  Driver owner(&store);
  owner.Claim("k", "a1", 1);
  cr_assert(std::holds_alternative<Mismatch>(owner.Claim("k", "a2", 2)));
}

Test(shard_log, a_new_owner_does_not_grant_a_key_that_the_old_owner_granted) {
  FakeStore store;
  Driver old_owner(&store);
  Driver new_owner(&store);
  old_owner.Claim("k", "a1");
  cr_assert(std::holds_alternative<Unknown>(new_owner.Claim("k", "b1")));
  old_owner.Finish("k", "a1", "x");
  // The new owner's memory is stale, so the query reads the store again.
  new_owner.Run(new_owner.log.Query({"org", "k"}, "q", new_owner.now));
  cr_assert(std::holds_alternative<Completed>(new_owner.replies.at("q")));
}

Test(shard_log, two_owners_racing_for_one_key_get_one_grant) {
  FakeStore store;
  Driver a(&store);
  Driver b(&store);
  a.Claim("warm-a", "w1");
  b.Claim("warm-b", "w2");
  // Both have the key as free in memory and write; the store accepts one write.
  const ClaimReply first = a.Claim("k", "a1");
  const ClaimReply second = b.Claim("k", "b1");
  cr_assert_eq(IsGranted(first) + IsGranted(second), 1);
}

Test(shard_log, an_unknown_write_outcome_is_resolved_by_reading_back) {
  FakeStore store;
  Driver owner(&store);
  owner.lose_next_result = true;
  cr_assert(IsGranted(owner.Claim("k", "a1")));
  cr_assert_eq(store.writes, 1);
}

Test(shard_log, a_store_outage_refuses_at_once_and_the_key_stays_usable) {
  FakeStore store;
  Driver owner(&store);
  owner.Claim("warm", "w");
  owner.store_down = true;
  cr_assert(std::get<Unavailable>(owner.Claim("k", "a1")).known_fresh);
  // An owner that has not read the shard cannot know that nothing has run.
  Driver newcomer(&store);
  newcomer.store_down = true;
  cr_assert(!std::get<Unavailable>(newcomer.Claim("k", "b1")).known_fresh);
  owner.store_down = false;
  owner.Tick();
  cr_assert(IsGranted(owner.Claim("k", "a2")));
}

// The write of the claim is delayed, the store goes down and the claim is
// refused as not run; then the write takes effect. The caller must be able to
// retry with the same key.
Test(shard_log, a_refused_claim_whose_write_takes_effect_late_is_released) {
  FakeStore store;
  Driver owner(&store);
  owner.Claim("warm", "w");
  owner.delay_next_write = true;
  owner.Run(owner.log.Claim({"org", "k"}, "a1", 1, {}, owner.now));
  owner.store_down = true;
  owner.Tick();
  cr_assert(std::holds_alternative<Unavailable>(owner.replies.at("a1")));
  owner.store_down = false;
  store.Write(*owner.delayed_write);
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

Test(shard_log, an_outcome_during_a_store_outage_is_written_later) {
  FakeStore store;
  Driver owner(&store);
  owner.Claim("k", "a1");
  owner.store_down = true;
  owner.Finish("k", "a1", "late");
  cr_assert(!owner.records.at("a1"));
  owner.store_down = false;
  owner.Tick();
  owner.Tick();
  Driver other(&store);
  cr_assert(std::get<Completed>(other.Claim("k", "b1")).outcome.body == "late");
}

Test(shard_log, full_segments_are_sealed_and_the_chain_continues) {
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

Test(shard_log, concurrent_claims_share_a_write) {
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

Test(shard_log, an_outcome_over_the_limit_is_recorded_without_its_body) {
  FakeStore store;
  ShardLogSettings settings;
  settings.outcome_limit_bytes = 10;
  Driver owner(&store, settings);
  owner.Claim("k", "a1");
  owner.Finish("k", "a1", std::string(100, 'x'));
  cr_assert(!std::get<Completed>(owner.Claim("k", "a2")).body_kept);
}

// Random schedule of several owners with lost write results, late writes, store
// outages and crashes: no key is granted twice without a release in between.
Test(shard_log, no_key_is_granted_twice_under_random_failures) {
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
      owner.store_down = random.Chance(0.15);
      owner.lose_next_result = random.Chance(0.2);
      owner.delay_next_write = random.Chance(0.1);
      if (owner.delayed_write && random.Chance(0.5)) {
        store.Write(*owner.delayed_write);
        owner.delayed_write.reset();
      }
      if (random.Chance(0.1)) {
        owner = Driver(&store);  // Crashed; its successor has no state.
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

Test(segment_json, parsing_restores_the_written_segment) {
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
  cr_assert(Only<RequestClaim>(flow.Start(Instant{})) != nullptr);
  cr_assert(Only<SendCall>(flow.OnClaim(Granted{}, Instant{})) != nullptr);
  cr_assert(Only<RecordOutcome>(flow.OnResponse({200, {}, "x"}, Instant{})) !=
            nullptr);
  cr_assert(Only<AnswerCall>(flow.OnRecorded(true))->response.body == "x");
}

Test(service_flow, a_keyed_call_is_not_retried_after_an_ambiguous_failure) {
  routing::RetryBudget budget({});
  ServiceFlow flow = KeyedFlow(&budget);
  flow.Start(Instant{});
  flow.OnClaim(Granted{}, Instant{});
  const auto actions = flow.OnSendFailed(SendFailure::kAmbiguous, Instant{});
  const auto* refuse = Only<RefuseCall>(actions);
  cr_assert(refuse != nullptr);
  cr_assert(refuse->refusal.executed == Executed::kUnknown);
}

Test(service_flow,
     a_keyed_call_that_was_not_sent_is_retried_and_then_released) {
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

Test(service_flow,
     a_claim_granted_after_the_deadline_is_released_and_not_sent) {
  routing::RetryBudget budget({});
  ServiceFlow flow = KeyedFlow(&budget);
  flow.Start(Instant{});
  const auto actions = flow.OnClaim(Granted{}, Instant{} + seconds(11));
  cr_assert(Only<RecordRelease>(actions) != nullptr);
}

Test(service_flow, refusals_match_the_claim_reply) {
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

Test(service_flow, a_repeatable_call_is_retried_within_the_budget) {
  routing::RetryBudget budget({0, 1});
  ServiceFlow flow({true, Instant{} + seconds(10), 5}, &budget);
  flow.Start(Instant{});
  cr_assert(Only<SendCall>(flow.OnSendFailed(SendFailure::kAmbiguous,
                                             Instant{})) != nullptr);
  const auto actions = flow.OnSendFailed(SendFailure::kAmbiguous, Instant{});
  cr_assert(Only<RefuseCall>(actions)->refusal.executed == Executed::kUnknown);
}
