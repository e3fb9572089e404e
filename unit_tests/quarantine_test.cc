// Tests of the strike tracker and of the assignment of strikes after a crash.
#include <criterion/criterion.h>

#include "chervilpass/core/random.h"
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
