// Tests of cells, cell choice, retry budget, worker health and the lifecycle of
// a completion at an entry VM.
#include <criterion/criterion.h>

#include <fmt/format.h>

#include <map>
#include <set>

#include "chervilpass/routing/cell_chooser.h"
#include "chervilpass/routing/cells.h"
#include "chervilpass/routing/completion_flow.h"
#include "chervilpass/routing/rate_limit_tracker.h"
#include "chervilpass/routing/rate_scheduler.h"
#include "chervilpass/routing/recovery_schedule.h"
#include "chervilpass/routing/rest_tracker.h"
#include "chervilpass/routing/retry_budget.h"
#include "chervilpass/routing/worker_health.h"

using namespace chervilpass;
using namespace chervilpass::routing;
using admission::Executed;
using admission::Refusal;
using admission::RefusalCode;

namespace {

config::FleetConfig FleetWithReplicas(int replicas) {
  config::FleetConfig fleet;
  fleet.pipelines["llm"] = {"llm", 8, 64, 2};
  for (const char* dc : {"a", "b"}) {
    for (std::uint32_t stage = 0; stage < 4; ++stage) {
      for (int i = 0; i < replicas; ++i) {
        config::Backend backend;
        backend.id = fmt::format("{}-{}-{}", dc, stage, i);
        backend.data_centre = dc;
        backend.region = "r";
        backend.role =
            config::StageRole{"llm", stage * 2, stage * 2 + 1, "x", 8, true};
        fleet.backends[backend.id] = backend;
      }
    }
  }
  return fleet;
}

CompletionFlowSettings FlowSettings() {
  CompletionFlowSettings settings;
  settings.max_tokens = 3;
  settings.deadline = Instant{} + seconds(60);
  return settings;
}

template <class T>
const T* Find(const CompletionActions& actions) {
  for (const CompletionAction& action : actions) {
    if (const auto* found = std::get_if<T>(&action)) {
      return found;
    }
  }
  return nullptr;
}

}  // namespace

Test(cells, every_worker_is_in_one_cell_and_every_cell_covers_all_layers) {
  const auto cells = FormCells(FleetWithReplicas(6), "llm");
  cr_assert_eq(cells.size(), 6);
  std::set<std::string> seen;
  std::set<std::uint32_t> ids;
  for (const Cell& cell : cells) {
    ids.insert(cell.id);
    std::uint32_t next = 0;
    for (const Stage& stage : cell.stages) {
      cr_assert_eq(stage.first_layer, next);
      next = stage.last_layer + 1;
      for (const std::string& worker : stage.workers) {
        cr_assert(seen.insert(worker).second);
      }
    }
    cr_assert_eq(next, 8);
  }
  cr_assert_eq(seen.size(), 48);
  cr_assert_eq(ids.size(), 6);
}

Test(cells, a_data_centre_with_uncovered_layers_has_no_cell) {
  config::FleetConfig fleet = FleetWithReplicas(2);
  fleet.backends.erase("a-1-0");
  fleet.backends.erase("a-1-1");
  const auto cells = FormCells(fleet, "llm");
  cr_assert_eq(cells.size(), 1);
  cr_assert(cells.front().data_centre == "b");
  cr_assert(FormCells(fleet, "none").empty());
}

Test(chooser, nearer_localities_are_preferred_until_full) {
  Random random(1);
  std::vector<CellCandidate> candidates = {
      {1, Locality::kSameDataCentre, {5, 10}, false},
      {2, Locality::kSameRegion, {0, 10}, false},
      {3, Locality::kOtherRegion, {0, 10}, false}};
  cr_assert_eq(ChooseCell(candidates, 0, {}, &random)->cell, 1);
  candidates[0].load.in_flight = 10;
  cr_assert_eq(ChooseCell(candidates, 0, {}, &random)->cell, 2);
  candidates[1].excluded = true;
  cr_assert_eq(ChooseCell(candidates, 0, {}, &random)->cell, 3);
}

Test(chooser, prefix_affinity_holds_unless_the_cell_is_overloaded) {
  Random random(1);
  std::vector<CellCandidate> candidates;
  for (std::uint32_t cell = 1; cell <= 4; ++cell) {
    candidates.push_back({cell, Locality::kSameDataCentre, {5, 10}, false});
  }
  const auto first = ChooseCell(candidates, 99, {}, &random);
  cr_assert(first->reason == ChoiceReason::kAffinity);
  for (int i = 0; i < 20; ++i) {
    cr_assert_eq(ChooseCell(candidates, 99, {}, &random)->cell, first->cell);
  }
  candidates[first->cell - 1].load.in_flight = 9;
  const auto moved = ChooseCell(candidates, 99, {}, &random);
  cr_assert_neq(moved->cell, first->cell);
}

Test(chooser, two_random_choices_balance_the_load) {
  Random random(5);
  std::vector<CellCandidate> candidates;
  for (std::uint32_t cell = 0; cell < 10; ++cell) {
    candidates.push_back({cell, Locality::kSameDataCentre, {0, 1000}, false});
  }
  for (int i = 0; i < 5000; ++i) {
    ++candidates[ChooseCell(candidates, 0, {}, &random)->cell].load.in_flight;
  }
  for (const CellCandidate& candidate : candidates) {
    cr_assert_geq(candidate.load.in_flight, 480);
    cr_assert_leq(candidate.load.in_flight, 520);
  }
}

Test(chooser, no_cell_is_chosen_if_all_are_excluded) {
  Random random(1);
  cr_assert(!ChooseCell({{1, Locality::kSameRegion, {}, true}}, 0, {}, &random)
                 .has_value());
}

Test(retry_budget, retries_stay_within_the_share_of_first_attempts) {
  RetryBudget budget({0.1, 5});
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnFirstAttempt();
    retries += budget.TryRetry() ? 1 : 0;
  }
  cr_assert_leq(retries, 105);
  cr_assert_geq(retries, 100);
}

Test(worker_health, consecutive_failures_eject_for_increasing_times) {
  WorkerHealth health({});
  const Instant start{};
  for (int i = 0; i < 3; ++i) {
    cr_assert(!health.IsEjected("w", start));
    health.OnFailure("w", start);
  }
  cr_assert(health.IsEjected("w", start + milliseconds(499)));
  cr_assert(!health.IsEjected("w", start + milliseconds(501)));
  health.OnFailure("w", start + milliseconds(600));
  cr_assert(health.IsEjected("w", start + milliseconds(1500)));
  health.OnSuccess("w", milliseconds(1), start + milliseconds(1600));
  cr_assert(!health.IsEjected("w", start + milliseconds(1600)));
}

Test(worker_health, at_most_the_max_ejected_share_is_left_out) {
  WorkerHealth health({});
  const std::vector<std::string> workers = {"a", "b", "c", "d"};
  for (const std::string& worker : workers) {
    for (int i = 0; i < 3; ++i) {
      health.OnFailure(worker, Instant{});
    }
  }
  cr_assert_eq(health.Usable(workers, Instant{}).size(), 2);
}

Test(worker_health,
     a_worker_that_refuses_connections_is_left_out_even_if_no_other_is_left) {
  WorkerHealth health({});
  health.OnRefusedConnection("a", Instant{});
  cr_assert(health.Usable({"a"}, Instant{}).empty());
  cr_assert_eq(health.Usable({"a"}, Instant{} + seconds(1)).size(), 1);
}

Test(worker_health, a_slow_worker_is_left_out_unless_no_other_is_left) {
  WorkerHealth health({});
  for (int i = 0; i < 30; ++i) {
    health.OnSuccess("fast", milliseconds(2), Instant{});
    health.OnSuccess("slow", milliseconds(50), Instant{});
  }
  cr_assert(health.Usable({"fast", "slow"}, Instant{}) ==
            std::vector<std::string>{"fast"});
  cr_assert_eq(health.Usable({"slow"}, Instant{}).size(), 1);
}

Test(flow, tokens_are_delivered_once_and_in_order) {
  RetryBudget budget({});
  CompletionFlow flow(FlowSettings(), &budget);
  const Instant now{};
  cr_assert(Find<StartAttempt>(flow.Start(now)) != nullptr);
  cr_assert_eq(flow.OnToken(1, 0, 10, now).size(), 1);
  cr_assert_eq(flow.OnToken(1, 0, 10, now).size(), 0);  // repeated
  cr_assert_eq(flow.OnToken(1, 2, 12, now).size(), 0);  // out of order
  cr_assert_eq(flow.OnToken(1, 1, 11, now).size(), 1);
  cr_assert_eq(flow.OnToken(1, 2, 12, now).size(), 1);
  cr_assert(Find<CompleteAnswer>(flow.OnFinished(1, 3, now)) != nullptr);
}

Test(flow, a_lost_attempt_is_retried_and_its_late_tokens_are_dropped) {
  RetryBudget budget({});
  CompletionFlow flow(FlowSettings(), &budget);
  const Instant now{};
  flow.Start(now);
  flow.OnToken(1, 0, 10, now);
  const CompletionActions retry = flow.OnAttemptLost(1, now);
  const auto* start = Find<StartAttempt>(retry);
  cr_assert(start != nullptr);
  cr_assert_eq(start->attempt, 2);
  cr_assert_eq(start->epoch, kEpochsPerAttempt);
  cr_assert(flow.OnToken(1, 1, 99, now).empty());
  cr_assert(flow.OnFinished(1, 3, now).empty());
  cr_assert_eq(flow.OnToken(2, 1, 11, now).size(), 1);
}

Test(flow, a_stalled_attempt_is_cancelled_and_retried) {
  RetryBudget budget({});
  CompletionFlow flow(FlowSettings(), &budget);
  Instant now{};
  flow.Start(now);
  now += milliseconds(900);
  flow.OnHeartbeat(1, now);
  now += milliseconds(900);
  cr_assert(flow.OnTick(now).empty());
  now += milliseconds(200);
  const CompletionActions actions = flow.OnTick(now);
  cr_assert_eq(Find<CancelAttempt>(actions)->attempt, 1);
  cr_assert_eq(Find<StartAttempt>(actions)->attempt, 2);
}

Test(flow, missing_tokens_are_requested_by_a_retry) {
  RetryBudget budget({});
  CompletionFlow flow(FlowSettings(), &budget);
  flow.Start(Instant{});
  flow.OnToken(1, 0, 10, Instant{});
  cr_assert(Find<StartAttempt>(flow.OnFinished(1, 3, Instant{})) != nullptr);
}

Test(flow, a_refusal_says_not_executed_only_if_nothing_can_have_run) {
  const Refusal overloaded{RefusalCode::kOverloaded, Executed::kNo, seconds(1),
                           ""};
  RetryBudget none({0, 0});
  CompletionFlow never_ran(FlowSettings(), &none);
  never_ran.Start(Instant{});
  const auto first = never_ran.OnRefused(1, overloaded, Instant{});
  cr_assert(Find<RefuseAnswer>(first)->refusal.executed == Executed::kNo);

  RetryBudget one({0, 1});
  CompletionFlow lost_once(FlowSettings(), &one);
  lost_once.Start(Instant{});
  lost_once.OnAttemptLost(1, Instant{});
  const auto second = lost_once.OnRefused(2, overloaded, Instant{});
  cr_assert(Find<RefuseAnswer>(second)->refusal.executed == Executed::kUnknown);
}

Test(flow, a_request_is_refused_at_its_deadline_and_not_started_after_it) {
  RetryBudget budget({});
  CompletionFlowSettings settings = FlowSettings();
  settings.deadline = Instant{} + milliseconds(500);
  CompletionFlow flow(settings, &budget);
  flow.Start(Instant{});
  const auto actions = flow.OnTick(Instant{} + milliseconds(500));
  cr_assert(Find<CancelAttempt>(actions) != nullptr);
  cr_assert(Find<RefuseAnswer>(actions)->refusal.code ==
            RefusalCode::kTimedOut);
  CompletionFlow late(settings, &budget);
  cr_assert(
      Find<RefuseAnswer>(late.Start(Instant{} + seconds(1)))->refusal.code ==
      RefusalCode::kDeadlinePassed);
}

Test(flow, a_caller_that_disconnects_cancels_the_attempt) {
  RetryBudget budget({});
  CompletionFlow flow(FlowSettings(), &budget);
  flow.Start(Instant{});
  cr_assert(Find<CancelAttempt>(flow.OnCallerGone()) != nullptr);
  cr_assert(flow.Ended());
}

Test(flow, the_last_refusal_is_final_if_no_cell_is_left) {
  RetryBudget budget({});
  CompletionFlow flow(FlowSettings(), &budget);
  flow.Start(Instant{});
  const Refusal overloaded{RefusalCode::kOverloaded, Executed::kNo, seconds(4),
                           "full"};
  cr_assert(Find<StartAttempt>(flow.OnRefused(1, overloaded, Instant{})) !=
            nullptr);
  const auto actions = flow.OnNoCellLeft(2, Instant{});
  cr_assert(Find<RefuseAnswer>(actions)->refusal == overloaded);
}

// Whatever the requests ask, no more are granted than the rate allows, and
// nearly all of it is used while there is demand.
Test(rate_scheduler, grants_the_rate_and_no_more) {
  for (const double rate : {0.3, 1.0, 11.0, 200.0}) {
    RateScheduler scheduler({});
    Random random(7);
    Instant now{};
    std::vector<Instant> sends;
    while (now < Instant{} + seconds(40)) {
      now += duration_cast<Duration>(
          std::chrono::duration<double>(random.Unit() / rate / 2));
      const Duration max_wait = milliseconds(random.Below(250));
      const Reservation reservation =
          scheduler.Reserve("s", rate, max_wait, now);
      if (reservation.granted) {
        cr_assert(reservation.wait <= max_wait);
        sends.push_back(now + reservation.wait);
      } else {
        cr_assert(reservation.wait > max_wait);
      }
    }
    for (std::size_t i = 0; i < sends.size(); ++i) {
      std::size_t count = 0;
      for (std::size_t j = i;
           j < sends.size() && sends[j] < sends[i] + seconds(4); ++j) {
        ++count;
      }
      cr_assert(static_cast<double>(count) <= 4.5 * rate + 1.01,
                "%zu in 4 s at %.1f a second", count, rate);
    }
    cr_assert(static_cast<double>(sends.size()) >= 0.85 * 40 * rate,
              "%zu sent at %.1f a second", sends.size(), rate);
  }
}

// A limit of zero must not keep a server unused for ever.
Test(rate_scheduler, a_limit_of_zero_lets_a_request_through_now_and_then) {
  RateScheduler scheduler({});
  int granted = 0;
  for (Instant now{}; now < Instant{} + seconds(60); now += milliseconds(100)) {
    granted += scheduler.Reserve("s", 0, milliseconds(50), now).granted ? 1 : 0;
  }
  cr_assert(granted >= 5 && granted <= 8, "%d granted", granted);
}

Test(rate_limit_tracker, the_latest_statement_counts) {
  RateLimitTracker tracker({});
  const Instant start{};
  cr_assert(!tracker.Record("s", {std::nullopt, start}));
  cr_assert(tracker.Empty());
  cr_assert(tracker.Record("s", {5.0, start + seconds(2)}));
  cr_assert(!tracker.Record("s", {3.0, start + seconds(1)}));
  cr_assert(tracker.LimitOf("s") == 5.0);
  tracker.SetNextSend("s", start + seconds(4));
  cr_assert(tracker.WaitFor("s", start + seconds(3)) == seconds(1));
  cr_assert(tracker.Record("s", {std::nullopt, start + seconds(3)}));
  cr_assert(!tracker.LimitOf("s"));
  cr_assert(tracker.WaitFor("s", start + seconds(3)) == Duration::zero());
  // An older statement of another VM does not restore the limit.
  cr_assert(!tracker.Record("s", {5.0, start + seconds(2)}));
  cr_assert(!tracker.LimitOf("s"));
  tracker.Expire(start + seconds(14), [](const std::string&) { return true; });
  cr_assert(tracker.Empty());
  tracker.Record("t", {1.0, start});
  tracker.Expire(start + hours(1), [](const std::string&) { return true; });
  cr_assert(tracker.LimitOf("t") == 1.0);
  tracker.Expire(start, [](const std::string&) { return false; });
  cr_assert(tracker.Empty());
}

// Guards against a rest that a later, shorter one cuts off.
Test(rest_tracker, the_rest_that_ends_last_counts) {
  RestTracker tracker;
  const Instant start{};
  cr_assert(tracker.Empty());
  cr_assert(!tracker.Record("s", Duration::zero(), start));
  cr_assert(tracker.Empty());
  cr_assert(tracker.Record("s", seconds(3), start));
  cr_assert(!tracker.Record("s", seconds(1), start + seconds(1)));
  cr_assert(tracker.Left("s", start + seconds(1)) == seconds(2));
  cr_assert(!tracker.Record("s", seconds(3), start + seconds(1)));
  cr_assert(tracker.Left("s", start + seconds(3)) == seconds(1));
  cr_assert(tracker.Left("t", start) == Duration::zero());
}

// Guards against rests that never end and records that are kept for ever.
Test(rest_tracker, a_rest_ends_at_its_time) {
  RestTracker tracker;
  const Instant start{};
  tracker.Record("s", seconds(3), start);
  tracker.Record("t", seconds(5), start);
  cr_assert(tracker.Left("s", start + milliseconds(2999)) == milliseconds(1));
  cr_assert(tracker.Left("s", start + seconds(3)) == Duration::zero());
  cr_assert(tracker.Left("s", start + seconds(4)) == Duration::zero());
  tracker.Expire(start + seconds(3));
  cr_assert(tracker.Left("t", start + seconds(3)) == seconds(2));
  cr_assert(tracker.Record("s", seconds(1), start + seconds(4)));
  tracker.Expire(start + seconds(5));
  cr_assert(tracker.Empty());
}

// Guards against streams that wait for a stall although their worker is known
// to be gone: with events each 75 ms and a pause objective of 250 ms, a wait of
// 2.5 intervals leaves too little time for the workers that take over.
Test(recovery_schedule, a_lost_worker_is_replaced_within_the_objective) {
  const RecoveryScheduleSettings settings;
  const LostStream suspected{milliseconds(75), false, 0};
  cr_assert(SilenceBeforeRecovery(suspected, settings) <= milliseconds(100));
  // An event that is late by a quarter of its interval is no sign of a loss.
  cr_assert(SilenceBeforeRecovery(suspected, settings) > milliseconds(90));
  const LostStream ended{milliseconds(75), true, 0};
  cr_assert(SilenceBeforeRecovery(ended, settings) == milliseconds(75));
  const LostStream fast{milliseconds(5), true, 0};
  cr_assert(SilenceBeforeRecovery(fast, settings) == settings.min_silence);
}

// Guards against a joint crash in which the streams of all priorities share the
// delay, so that the urgent ones miss their objective with the others.
Test(recovery_schedule, joint_crash_lets_urgent_streams_go_first) {
  const RecoveryScheduleSettings settings;
  LostStream stream{milliseconds(75), true, 0};
  const Duration first = SilenceBeforeRecovery(stream, settings);
  stream.more_urgent = 4;
  cr_assert(SilenceBeforeRecovery(stream, settings) ==
            first + 4 * settings.spacing);
  // Callers leave after two seconds, whatever goes first.
  stream.more_urgent = 100000;
  cr_assert(SilenceBeforeRecovery(stream, settings) ==
            first + settings.max_delay);
}
