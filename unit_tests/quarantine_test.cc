// Tests of the strike tracker, of the assignment of strikes after a crash and
// of the evidence for and against parts of prompts.
#include <criterion/criterion.h>

#include "chervilpass/core/random.h"
#include "chervilpass/quarantine/concurrent_ends.h"
#include "chervilpass/quarantine/prompt_part_evidence.h"
#include "chervilpass/quarantine/strike_tracker.h"

using namespace chervilpass;
using namespace chervilpass::quarantine;

Test(strike_tracker, strikes_from_two_workers_quarantine_a_request) {
  StrikeTracker tracker({});
  const WallTime now{1000000};
  cr_assert(tracker.StateOf(1, now) == QuarantineState::kClear);
  cr_assert(tracker.Add({1, "w1", now}, now));
  cr_assert(!tracker.Add({1, "w1", now}, now));
  cr_assert(tracker.StateOf(1, now) == QuarantineState::kSuspect);
  tracker.Add({1, "w2", now}, now);
  cr_assert(tracker.StateOf(1, now) == QuarantineState::kQuarantined);
  cr_assert(tracker.RetryAfter(1, now) == std::chrono::minutes(10));
  cr_assert(tracker.StateOf(2, now) == QuarantineState::kClear);
}

Test(strike_tracker, strikes_expire) {
  StrikeTracker tracker({});
  const WallTime start{0};
  tracker.Add({1, "w1", start}, start);
  tracker.Add({1, "w2", start}, start);
  const WallTime later{10 * 60 * 1000 + 1};
  cr_assert(tracker.StateOf(1, later) == QuarantineState::kClear);
  cr_assert(!tracker.Add({1, "w3", start}, later));
  tracker.Expire(later);
  cr_assert(tracker.Add({1, "w1", later}, later));
}

Test(strike_tracker, a_completed_request_is_cleared) {
  StrikeTracker tracker({});
  tracker.Add({1, "w1", {}}, {});
  tracker.Clear(1);
  cr_assert(tracker.StateOf(1, {}) == QuarantineState::kClear);
}

namespace {

// As in the router: concurrent crashes are one incident.
StrikeTracker RouterTracker() {
  return StrikeTracker({3, std::chrono::minutes(10), seconds(1), seconds(2)});
}

}  // namespace

// Guards against a request that is sent on while each run ends a server: runs
// that follow each other at once count one by one.
Test(strike_tracker, runs_that_began_with_the_earlier_strikes_known_count) {
  StrikeTracker tracker = RouterTracker();
  const WallTime now{1000000};
  tracker.Add({1, "w1", now, 0}, now);
  tracker.Add({1, "w2", now, 1}, now);
  cr_assert(tracker.StateOf(1, now) == QuarantineState::kSuspect);
  tracker.Add({1, "w1@later", now, 2}, now);
  cr_assert(tracker.StateOf(1, now) == QuarantineState::kQuarantined);
}

// Guards against VMs that do not know the earlier strikes, after a restart.
Test(strike_tracker, later_strikes_count_without_knowledge_of_earlier_ones) {
  StrikeTracker tracker = RouterTracker();
  for (int i = 0; i < 3; ++i) {
    const WallTime now{1000000 + i * 1500};
    tracker.Add({1, std::to_string(i), now, 0}, now);
  }
  cr_assert(tracker.StateOf(1, {1003000}) == QuarantineState::kQuarantined);
}

// Guards against the refusal of a popular harmless request: a rack is lost
// while many copies of it run.
Test(strike_tracker, concurrent_runs_that_end_together_count_once) {
  StrikeTracker tracker = RouterTracker();
  const WallTime now{1000000};
  for (int i = 0; i < 20; ++i) {
    tracker.Add({1, std::to_string(i), {now.milliseconds + 20 * i}, 0}, now);
  }
  cr_assert_eq(tracker.Count(1, now), 1);
}

Test(strike_tracker, a_request_that_completed_recently_gets_no_strike) {
  StrikeTracker tracker = RouterTracker();
  cr_assert(!tracker.OnCompleted(1, {1000000}));
  cr_assert(!tracker.Add({1, "w1", {1001000}, 0}, {1001000}));
  cr_assert(!tracker.Add({1, "w1", {1001000}, 0}, {1005000}), "a duplicate");
  cr_assert(tracker.Add({1, "w2", {1005000}, 0}, {1005000}));
  cr_assert(tracker.OnCompleted(1, {1006000}));
  cr_assert(tracker.StateOf(1, {1006000}) == QuarantineState::kClear);
}

Test(strike_tracker, restored_strikes_never_lower_the_count) {
  StrikeTracker tracker = RouterTracker();
  const WallTime now{1000000};
  cr_assert(tracker.Restore(1, 2, now, now));
  cr_assert(!tracker.Restore(1, 1, now, now));
  tracker.Add({1, "w", {now.milliseconds + 1500}, 0},
              {now.milliseconds + 1500});
  cr_assert(tracker.StateOf(1, now) == QuarantineState::kQuarantined);
  cr_assert(!tracker.Restore(2, 3, {0}, now), "expired");
}

Test(strike_tracker, retry_after_lasts_until_the_quarantine_ends) {
  StrikeTracker tracker({});
  for (int i = 0; i < 4; ++i) {
    const WallTime now{1000000 + i * 60000};
    tracker.Add({1, std::to_string(i), now}, now);
  }
  const WallTime now{1180000};
  // The last but one strike, one minute ago, decides.
  cr_assert(tracker.RetryAfter(1, now) == std::chrono::minutes(9));
}

Test(strike_tracker, a_clock_that_is_ahead_does_not_extend_the_quarantine) {
  StrikeTracker tracker({});
  const WallTime now{1000000};
  tracker.Add({1, "w1", {now.milliseconds + 3600000}}, now);
  tracker.Add({1, "w2", {now.milliseconds + 3600000}}, now);
  cr_assert(tracker.StateOf(1, {now.milliseconds + 600001}) ==
            QuarantineState::kClear);
}

Test(blame_for_crash, without_a_suspect_all_requests_get_a_strike) {
  cr_assert(BlameForCrash({{1, false}, {2, false}, {2, false}}) ==
            (std::vector<std::uint64_t>{1, 2}));
}

Test(blame_for_crash, only_the_suspect_gets_a_strike) {
  cr_assert(BlameForCrash({{1, false}, {2, true}, {3, false}}) ==
            std::vector<std::uint64_t>{2});
}

// Guards against the quarantine of harmless requests. Workers crash for reasons
// unrelated to the requests, far more often than real workers do: of two
// million requests, run in batches of eight, one batch in a thousand ends in a
// crash. Each request that got a strike runs once more: it finishes, or a
// second crash gives it another strike.
Test(strike_tracker, unrelated_crashes_quarantine_few_harmless_requests) {
  constexpr double kCrashChance = 0.001;  // of one run
  constexpr int kBatch = 8;
  constexpr int kBatches = 250000;
  Random random(9);
  StrikeTracker tracker({});
  const WallTime now{0};
  int quarantined = 0;
  std::uint64_t fingerprint = 0;
  std::uint64_t worker = 0;
  for (int i = 0; i < kBatches; ++i) {
    std::vector<RunningRequest> batch;
    for (int r = 0; r < kBatch; ++r) {
      batch.push_back({++fingerprint, false});
    }
    if (!random.Chance(kCrashChance)) {
      continue;
    }
    for (const std::uint64_t blamed : BlameForCrash(batch)) {
      tracker.Add({blamed, std::to_string(++worker), now}, now);
      // Runs again as a suspect, together with requests without strikes.
      const bool crashes_again = random.Chance(kCrashChance);
      if (crashes_again) {
        tracker.Add({blamed, std::to_string(++worker), now}, now);
        quarantined +=
            tracker.StateOf(blamed, now) == QuarantineState::kQuarantined ? 1
                                                                          : 0;
      } else {
        tracker.Clear(blamed);
      }
    }
  }
  // At most one harmless request in a hundred thousand.
  const double rate = static_cast<double>(quarantined) / (kBatches * kBatch);
  cr_log_info("false rate %g (%d of %d)", rate, quarantined, kBatches * kBatch);
  cr_assert_leq(rate, 1e-5);
}

namespace {

using Parts = std::vector<std::uint64_t>;

// The evidence and the strikes of some VMs. Strikes are delivered as gossip
// does, with the number that the VM knew when the run began.
class PartFleet {
 public:
  explicit PartFleet(std::size_t vms) : vms(vms, Vm{}) {}

  // A run that ends its server before it is proven.
  void LoseRun(std::size_t vm, const Parts& parts, bool delivered = true) {
    Vm& own = this->vms[vm];
    const std::string worker = std::to_string(++this->workers);
    for (const std::uint64_t part :
         own.evidence.Blamed(parts, own.strikes, this->now)) {
      const Strike strike{part, worker, this->now,
                          own.strikes.Count(part, this->now)};
      for (Vm& other : this->vms) {
        if (&other == &own ||
            (delivered && !other.evidence.ProvenSince(part, strike.at))) {
          other.strikes.Add(strike, this->now);
        }
      }
    }
  }

  // As many runs as servers end together, all of requests with these parts.
  void LoseRack(const Parts& parts, int servers) {
    for (int i = 0; i < servers; ++i) {
      const Strike strike{0, std::to_string(++this->workers), this->now, 0};
      for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
        Vm& own = this->vms[vm];
        for (const std::uint64_t part :
             own.evidence.Blamed(parts, own.strikes, this->now)) {
          Strike copy = strike;
          copy.fingerprint = part;
          for (Vm& other : this->vms) {
            other.strikes.Add(copy, this->now);
          }
        }
      }
    }
  }

  void Prove(std::size_t vm, const Parts& parts) {
    Vm& own = this->vms[vm];
    for (const std::uint64_t part : parts) {
      own.evidence.OnProven(part, this->now);
      const std::uint32_t strikes = own.strikes.Count(part, this->now);
      own.strikes.Clear(part);
      if (strikes >= 2) {
        for (Vm& other : this->vms) {
          other.strikes.OnCompleted(part, this->now);
        }
      }
    }
  }

  bool Quarantined(std::size_t vm, std::uint64_t part) const {
    return this->vms[vm].evidence.IsQuarantined(part, this->vms[vm].strikes,
                                                this->now);
  }

  bool QuarantinedAnywhere(std::uint64_t part) const {
    bool any = false;
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
      any |= this->Quarantined(vm, part);
    }
    return any;
  }

  // Sends a request to each VM in turn, each with a last part of its own that
  // is not listed, until one refuses it; returns how many servers ended.
  int EndsUntilRefused(const Parts& parts, std::uint64_t culprit) {
    for (int ends = 0; ends < 50; ++ends) {
      const std::size_t vm = static_cast<std::size_t>(ends) % this->vms.size();
      if (this->Quarantined(vm, culprit)) {
        return ends;
      }
      this->LoseRun(vm, parts);
      this->Advance(milliseconds(400));
    }
    return 50;
  }

  void Advance(Duration time) {
    this->now.milliseconds += ToMilliseconds(time);
  }

  void Restart(std::size_t vm) { this->vms[vm] = Vm{}; }

  struct Vm {
    PromptPartEvidence evidence{PromptPartEvidenceSettings{}};
    StrikeTracker strikes = RouterTracker();
  };

  std::vector<Vm> vms;
  WallTime now{1000000};
  int workers = 0;
};

constexpr std::uint64_t kCulprit = 7;

}  // namespace

// Guards against requests that are sent on although each of them ends a server:
// a strike named the whole request, and no two of them are alike.
Test(prompt_parts, the_culprit_is_quarantined_wherever_it_stands) {
  for (const Parts& parts :
       {Parts{kCulprit, 1, 2}, Parts{1, kCulprit, 2}, Parts{1, 2, kCulprit}}) {
    PartFleet fleet(4);
    for (std::size_t vm = 0; vm < 4; ++vm) {
      fleet.Prove(vm, {1, 2});
    }
    fleet.Advance(seconds(2));
    cr_assert_eq(fleet.EndsUntilRefused(parts, kCulprit), 4);
    cr_assert(!fleet.QuarantinedAnywhere(1));
    cr_assert(!fleet.QuarantinedAnywhere(2));
  }
}

Test(prompt_parts, several_culprits_are_quarantined) {
  PartFleet fleet(4);
  for (std::size_t vm = 0; vm < 4; ++vm) {
    fleet.Prove(vm, {1});
  }
  fleet.Advance(seconds(2));
  for (int i = 0; i < 4; ++i) {
    fleet.LoseRun(0, {1, kCulprit});
    fleet.LoseRun(1, {1, kCulprit + 1});
    fleet.Advance(milliseconds(400));
  }
  cr_assert(fleet.Quarantined(3, kCulprit));
  cr_assert(fleet.Quarantined(3, kCulprit + 1));
  cr_assert(!fleet.QuarantinedAnywhere(1));
}

// Guards against the belief in old proofs: a new version of the workers ends
// under a part that was sound until now.
Test(prompt_parts, a_culprit_that_was_sound_until_now_is_quarantined) {
  PartFleet fleet(4);
  for (std::size_t vm = 0; vm < 4; ++vm) {
    fleet.Prove(vm, {1, kCulprit});
  }
  fleet.Advance(seconds(5));
  fleet.Prove(0, {1, kCulprit});
  fleet.Advance(milliseconds(200));
  int ends = 0;
  while (ends < 20 &&
         !fleet.Quarantined(static_cast<std::size_t>(ends) % 4, kCulprit)) {
    fleet.LoseRun(static_cast<std::size_t>(ends) % 4, {1, kCulprit});
    ++ends;
    fleet.Advance(milliseconds(400));
    fleet.Prove(static_cast<std::size_t>(ends) % 4, {1});
  }
  // The first end comes too soon after the last proof to count.
  cr_assert_leq(ends, 8, "%d ends", ends);
  cr_assert(!fleet.QuarantinedAnywhere(1));
}

Test(prompt_parts, a_rack_that_is_lost_again_and_again_quarantines_no_part) {
  PartFleet fleet(4);
  for (int i = 0; i < 20; ++i) {
    fleet.LoseRack({1, 2}, 8);
    fleet.Advance(seconds(3));
    fleet.Prove(static_cast<std::size_t>(i) % 4, {1, 2});
    cr_assert(!fleet.QuarantinedAnywhere(1));
    cr_assert(!fleet.QuarantinedAnywhere(2));
    fleet.Advance(seconds(3));
  }
}

// Guards against the refusal of a caller whose first part stands in all
// requests with a culprit, at VMs that have not served the caller before.
Test(prompt_parts, a_popular_first_part_is_never_quarantined) {
  PartFleet fleet(4);
  for (int i = 0; i < 30; ++i) {
    const auto vm = static_cast<std::size_t>(i) % 4;
    fleet.LoseRun(vm, {1, kCulprit + static_cast<std::uint64_t>(i) / 5});
    cr_assert(!fleet.QuarantinedAnywhere(1));
    fleet.Advance(milliseconds(200));
    // Only one VM gets sound requests of the caller.
    fleet.Prove(3, {1});
    fleet.Advance(milliseconds(200));
  }
  cr_assert(fleet.QuarantinedAnywhere(kCulprit));
}

// VMs that hear nothing for a while count with the others' knowledge later.
Test(prompt_parts, lost_strikes_are_made_up_for_by_later_ones) {
  PartFleet fleet(2);
  for (int i = 0; i < 3; ++i) {
    fleet.LoseRun(0, {kCulprit}, false);
    fleet.Advance(milliseconds(400));
  }
  cr_assert(!fleet.Quarantined(1, kCulprit));
  fleet.LoseRun(0, {kCulprit});
  cr_assert(fleet.Quarantined(1, kCulprit));
}

Test(prompt_parts, a_late_strike_does_not_count_against_a_later_proof) {
  PromptPartEvidence evidence({});
  evidence.OnProven(1, {2000});
  cr_assert(evidence.ProvenSince(1, {1999}));
  cr_assert(!evidence.ProvenSince(1, {2000}));
  cr_assert(!evidence.ProvenSince(2, {0}));
}

Test(prompt_parts, a_quarantine_is_restored_after_a_restart) {
  PartFleet fleet(4);
  cr_assert_eq(fleet.EndsUntilRefused({kCulprit}, kCulprit), 4);
  fleet.Restart(2);
  cr_assert(!fleet.Quarantined(2, kCulprit));
  fleet.vms[2].strikes.Restore(kCulprit, 4, fleet.now, fleet.now);
  cr_assert(fleet.Quarantined(2, kCulprit));
}

Test(prompt_parts, a_quarantine_ends_by_a_proof_or_with_its_strikes) {
  PartFleet fleet(2);
  cr_assert_eq(fleet.EndsUntilRefused({kCulprit}, kCulprit), 4);
  PromptPartEvidence& evidence = fleet.vms[0].evidence;
  const Duration wait =
      evidence.RetryAfter(kCulprit, fleet.vms[0].strikes, fleet.now);
  cr_assert(wait > Duration::zero() && wait < std::chrono::minutes(10));
  PartFleet proven = fleet;
  proven.Prove(1, {kCulprit});
  cr_assert(!proven.QuarantinedAnywhere(kCulprit));
  fleet.Advance(wait + milliseconds(1));
  cr_assert(!fleet.Quarantined(0, kCulprit));
  // One more end is enough.
  fleet.LoseRun(0, {kCulprit});
  cr_assert(fleet.Quarantined(0, kCulprit));
}

Test(prompt_parts, the_number_of_remembered_proofs_is_bounded) {
  PromptPartEvidenceSettings settings;
  settings.max_proofs = 100;
  PromptPartEvidence evidence(settings);
  for (std::uint64_t part = 1; part <= 10000; ++part) {
    evidence.OnProven(part, {1000});
    evidence.OnProven(1, {1000});
  }
  std::size_t remembered = 0;
  for (std::uint64_t part = 1; part <= 10000; ++part) {
    remembered += evidence.ProvenSince(part, {999}) ? 1 : 0;
  }
  cr_assert_geq(remembered, 50);
  cr_assert_leq(remembered, 100);
  cr_assert(evidence.ProvenSince(1, {999}), "a popular part is kept");
}

// A request with a part that crashes servers ends one server for each run.
Test(concurrent_ends, one_end_for_each_run_may_be_due_to_the_part) {
  ConcurrentEnds ends({milliseconds(500)});
  const Instant start{};
  ends.OnRunLost(1, {1, 2}, start);
  ends.OnServerEnded("w1", start + milliseconds(10));
  cr_assert_not(ends.ExceedRunsWith({2}, start + milliseconds(20)));
  // The request is repeated and ends a second server.
  ends.OnRunLost(2, {2, 3}, start + milliseconds(30));
  ends.OnServerEnded("w2", start + milliseconds(40));
  cr_assert_not(ends.ExceedRunsWith({2}, start + milliseconds(50)));
  // The same end noticed twice counts once, and so does the same run.
  ends.OnServerEnded("w2", start + milliseconds(60));
  ends.OnRunLost(2, {2, 3}, start + milliseconds(60));
  cr_assert_not(ends.ExceedRunsWith({2}, start + milliseconds(70)));
}

// Half of the workers are lost at once, several of them under one run.
Test(concurrent_ends, the_loss_of_a_rack_is_not_due_to_a_part) {
  ConcurrentEnds ends({milliseconds(500)});
  const Instant start{};
  ends.OnRunLost(1, {1, 2}, start);
  ends.OnServerEnded("w1", start);
  ends.OnServerEnded("w2", start + milliseconds(5));
  cr_assert(ends.ExceedRunsWith({2}, start + milliseconds(20)));
  // A later end of a single server is not part of that.
  ends.OnRunLost(3, {2}, start + milliseconds(900));
  ends.OnServerEnded("w3", start + milliseconds(905));
  cr_assert_not(ends.ExceedRunsWith({2}, start + milliseconds(910)));
}

// Before the loss of the run itself is recorded it counts as one.
Test(concurrent_ends, a_single_end_is_no_other_cause) {
  ConcurrentEnds ends({milliseconds(500)});
  ends.OnServerEnded("w1", Instant{});
  cr_assert_not(ends.ExceedRunsWith({2}, Instant{} + milliseconds(1)));
}
