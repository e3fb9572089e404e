// Tests of the order of a drain: DrainController, by virtual time.
#include <criterion/criterion.h>

#include <vector>

#include "chervilpass/drain/drain_controller.h"

namespace chervilpass::drain {
namespace {

const Instant kStart{seconds(1000)};
constexpr DrainSettings kSettings{seconds(8), seconds(2), true};
constexpr Duration kUsualEnd = milliseconds(7530);  // after the start

// Decides at each wake until the process ends; each wait takes `delay` longer.
struct Drain {
  DrainController controller{kStart};
  DrainSettings settings = kSettings;
  DrainObservation observation{kStart, 0, 0, 0, std::nullopt};
  std::vector<DrainStep> steps;

  // False once the process has ended.
  bool Advance(Duration delay = Duration::zero()) {
    this->steps.push_back(
        this->controller.Next(this->settings, this->observation));
    const DrainStep& step = this->steps.back();
    if (step.wait > Duration::zero()) {
      this->observation.now += step.wait + delay;
      this->observation.wake_delay = delay;
    }
    return step.phase != DrainPhase::kEnded;
  }

  void AdvanceUntil(Duration after_start, Duration delay = Duration::zero()) {
    while (this->observation.now < kStart + after_start &&
           this->Advance(delay)) {
    }
  }

  Duration Finish(Duration delay = Duration::zero()) {
    while (this->Advance(delay)) {
    }
    return this->observation.now - kStart;
  }
};

}  // namespace

// Guards against stops that end before the grace period although the kill at
// its end may reach the next process, or that take longer than it.
Test(drain, a_whole_drain_ends_shortly_before_the_grace_period) {
  Drain drain;
  const Duration ended = drain.Finish();
  cr_assert(ended >= kUsualEnd && ended <= seconds(8) - milliseconds(300));
  int accepting_stopped = 0;
  DrainPhase phase = DrainPhase::kServing;
  for (const DrainStep& step : drain.steps) {
    cr_assert(step.phase >= phase, "phases follow one another");
    phase = step.phase;
    accepting_stopped += step.stop_accepting ? 1 : 0;
  }
  cr_assert(accepting_stopped == 1);
}

Test(drain, a_drain_without_work_ends_once_addresses_have_expired) {
  Drain drain;
  drain.settings.whole_grace = false;
  const Duration ended = drain.Finish();
  cr_assert(ended > seconds(6) && ended < milliseconds(6200));
  Drain busy;
  busy.settings.whole_grace = false;
  busy.observation.in_flight = 1;
  cr_assert(busy.Finish() >= kUsualEnd);
}

// Guards against stops that end while callers, or other VMs, still receive, and
// against those that wait for peers that have vanished.
Test(drain, a_drain_waits_for_peers_as_long_as_they_receive) {
  Drain drain;
  drain.settings.whole_grace = false;
  drain.AdvanceUntil(milliseconds(6050));
  drain.observation.connections = 1;
  drain.observation.unsent_bytes = 1000;
  drain.AdvanceUntil(milliseconds(6500));
  drain.observation.unsent_bytes = 500;
  const Duration ended = drain.Finish();
  cr_assert(ended >= milliseconds(7450) && ended <= milliseconds(7650));
  Drain vanished;
  vanished.settings.whole_grace = false;
  vanished.observation.connections = 1;
  vanished.observation.unsent_bytes = 1000;
  const Duration given_up = vanished.Finish();
  cr_assert(given_up >= milliseconds(7100) && given_up <= milliseconds(7300));
}

Test(drain, the_end_follows_the_grace_period_in_force) {
  Drain drain;
  drain.AdvanceUntil(seconds(2));
  drain.settings.grace = seconds(4);
  const Duration shorter = drain.Finish();
  cr_assert(shorter >= milliseconds(3500) && shorter <= milliseconds(3700));
  Drain late;
  late.AdvanceUntil(seconds(5));
  late.settings.grace = seconds(4);
  cr_assert(late.Finish() <= milliseconds(5300), "already past");
  Drain longer;
  longer.AdvanceUntil(seconds(5));
  longer.settings.grace = seconds(12);
  cr_assert(longer.Finish() >= milliseconds(11500));
}

// Guards against processes that are killed because their waits take longer than
// they should, and against stops that one long wait shortens.
Test(drain, the_end_comes_nearer_while_waits_take_longer) {
  Drain late;
  late.observation.in_flight = 1;
  const Duration ended = late.Finish(milliseconds(200));
  cr_assert(ended >= milliseconds(6600) && ended <= seconds(8));
  Drain once;
  once.AdvanceUntil(seconds(5));
  once.AdvanceUntil(milliseconds(5001), milliseconds(300));
  cr_assert(once.Finish() >= kUsualEnd);
}

Test(drain, requests_that_arrive_in_part_are_refused_before_the_end) {
  Drain drain;
  drain.observation.connections = 1;
  drain.AdvanceUntil(kUsualEnd + milliseconds(60));
  while (drain.Advance()) {
    if (drain.steps.back().phase == DrainPhase::kEstablished) {
      cr_assert(drain.steps.back().refuse_unread);
      cr_assert(drain.steps.back().close_idle_callers);
      cr_assert(drain.steps.back().close_idle_peers);
    }
  }
}

// Guards against callers that cannot read the refusal of a request that is
// still arriving, because a wait was late and the process ends right after.
Test(drain, a_late_wait_leaves_callers_time_to_read_a_refusal) {
  Drain drain;
  drain.settings.whole_grace = false;
  drain.observation.connections = 1;
  drain.AdvanceUntil(milliseconds(6010));
  while (drain.steps.back().phase == DrainPhase::kServing) {
    drain.Advance();
  }
  drain.Advance(milliseconds(300));
  drain.Advance();
  cr_assert(drain.steps.back().refuse_unread);
  cr_assert(drain.steps.back().phase == DrainPhase::kEstablished);
  const Instant refused = drain.observation.now;
  drain.Finish();
  cr_assert(drain.observation.now - refused >= milliseconds(60));
}

}  // namespace chervilpass::drain
