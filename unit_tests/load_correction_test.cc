// Tests of the correction of load estimates and of notices of full workers.
#include <criterion/criterion.h>

#include <fmt/format.h>

#include "chervilpass/fleet/full_worker_notices.h"
#include "chervilpass/placement/load_correction.h"
#include "chervilpass/placement/path_chooser.h"
#include "chervilpass/routing/cooldown_tracker.h"
#include "chervilpass/serving/routing_state.h"

using namespace chervilpass;
using namespace chervilpass::placement;

namespace {

constexpr std::uint32_t kWorker = 7;
const Instant kStart = Instant{} + hours(100);

CorrectedWorker FirstWorker() {
  return {kWorker, true, 10, 192, 1000000, 500};
}

LocalRequests Local(double requests) {
  return {{requests, 500 * requests, 5000 * requests}, requests};
}

// The estimate of all VMs' load, of typical requests.
WorkerLoad Estimate(double requests) {
  return Local(requests).load;
}

LoadsByKey Loads(double requests) {
  return {{kWorker, {requests, 0, 5000 * requests}}};
}

ModelProfile Model() {
  ModelProfile model;
  model.layers = 10;
  model.layer_mb = 1750;
  model.kv_bytes_per_token = 53000;
  model.step_time = microseconds(850);
  model.prefill_tokens_per_second = 272000;
  model.batch_limit = 192;
  model.typical_prompt_tokens = 700;
  model.typical_answer_tokens = 150;
  model.accelerator_kinds["k"] = {36000, 1, 1};
  return model;
}

// Two workers with all layers.
serving::RoutingState TwoWorkers(bool load_correction) {
  serving::RoutingStateSettings settings;
  settings.data_centre = "a";
  settings.load_correction = load_correction;
  serving::RoutingState state(settings, 1);
  for (const std::uint16_t number : {1, 2}) {
    const std::string id = fmt::format("w{}", number);
    routing::ServerRecord record;
    record.id = id;
    record.revision = 1;
    record.server = routing::BackendServer{};
    record.server->id = id;
    record.server->service = "s";
    record.server->address = {"10.0.0.1", number};
    record.server->data_centre = "a";
    record.server->layers = {0, 10};
    record.server->accelerator_kind = "k";
    state.Servers().ApplyChange(record, false, kStart);
  }
  return state;
}

}  // namespace

// 88 VMs begin a burst: each adds a request per second to the worker, and the
// latest loads of each are up to a second old.
Test(load_correction, burst_at_88_vms_is_extrapolated_from_its_growth) {
  LoadCorrection correction{LoadCorrectionSettings{}};
  for (int peer = 0; peer < 87; ++peer) {
    const std::string name = fmt::format("vm-{}", peer);
    const Instant at = kStart + milliseconds(10 * peer);
    correction.OnPeerLoads(name, Loads(0), at);
    correction.OnPeerLoads(name, Loads(1), at + seconds(1));
  }
  const Instant now = kStart + seconds(1) + milliseconds(870);
  const WorkerLoad corrected =
      correction.Correct(FirstWorker(), Estimate(87), {}, 1, now);
  // The mean age is 440 ms.
  cr_assert_float_eq(corrected.sequences, 87 * 1.44, 1);
  cr_assert_float_eq(corrected.kv_token_layers, 5000 * corrected.sequences, 1);
  // An extrapolation alone never makes a worker full: a request fits.
  const double later =
      correction.Correct(FirstWorker(), Estimate(87), {}, 1, now + seconds(2))
          .sequences;
  cr_assert_float_eq(later, 0.85 * 192, 1e-6);
  correction.Expire(now + seconds(5));
  cr_assert(correction.Correct(FirstWorker(), Estimate(174), {}, 1,
                               now + seconds(5)) == Estimate(174));
}

// Under an even load each peer's count goes up and down by chance.
Test(load_correction, fluctuations_of_many_peers_add_no_requests) {
  LoadCorrection correction{LoadCorrectionSettings{}};
  for (int peer = 0; peer < 86; ++peer) {
    const std::string name = fmt::format("vm-{}", peer);
    correction.OnPeerLoads(name, Loads(peer % 2 == 0 ? 2 : 4), kStart);
    correction.OnPeerLoads(name, Loads(3), kStart + milliseconds(900));
  }
  const Instant now = kStart + milliseconds(1500);
  cr_assert_float_eq(
      correction.Correct(FirstWorker(), Estimate(258), {}, 1, now).sequences,
      258, 1e-6);
}

// A notice carries the sender's loads right after its regular datagram.
Test(load_correction, loads_sent_twice_within_milliseconds_are_no_growth) {
  LoadCorrection correction{LoadCorrectionSettings{}};
  correction.OnPeerLoads("vm", Loads(10), kStart);
  correction.OnPeerLoads("vm", Loads(11), kStart + milliseconds(2));
  const Instant now = kStart + milliseconds(500);
  cr_assert_eq(
      correction.Correct(FirstWorker(), Estimate(11), {}, 1, now).sequences,
      11);
  // Notices in a row do not keep an old baseline for ever.
  for (int i = 0; i < 50; ++i) {
    correction.OnPeerLoads("vm", Loads(11),
                           kStart + milliseconds(100 + 100 * i));
  }
  cr_assert_eq(correction
                   .Correct(FirstWorker(), Estimate(11), {}, 1,
                            kStart + milliseconds(5300))
                   .sequences,
               11);
}

// Gossip of 88 VMs is seconds old; the worker's own count is not.
Test(load_correction, fresh_statement_replaces_an_older_count_both_ways) {
  LoadCorrection correction{LoadCorrectionSettings{}};
  correction.OnPeerLoads("vm", Loads(40), kStart);
  correction.OnStated(kWorker, 90, 10, kStart + seconds(1));
  const Instant now = kStart + milliseconds(1100);
  const auto corrected = [&](const CorrectedWorker& worker, double local) {
    return correction
        .Correct(worker, Estimate(40 + local), Local(local), 1, now)
        .sequences;
  };
  cr_assert_float_eq(corrected(FirstWorker(), 10), 90, 1e-9);
  cr_assert_float_eq(corrected(FirstWorker(), 12), 92, 1e-9);
  // Other stages of paths are not in such counts.
  CorrectedWorker later_stage = FirstWorker();
  later_stage.first_stage = false;
  cr_assert_float_eq(corrected(later_stage, 10), 50, 1e-9);
  correction.OnStated(kWorker, 3, 10, now);
  cr_assert_float_eq(corrected(FirstWorker(), 10), 10, 1e-9,
                     "no less than this VM's own requests");
  // Younger loads of peers take precedence.
  correction.OnPeerLoads("vm", Loads(40), now + milliseconds(1));
  cr_assert_float_eq(correction
                         .Correct(FirstWorker(), Estimate(50), Local(10), 1,
                                  now + milliseconds(2))
                         .sequences,
                     50, 1e-9);
}

// Full workers found by one VM looked nearly idle once their cooldown of 250 ms
// had ended.
Test(load_correction, refusal_raises_the_load_to_capacity_and_decays) {
  LoadCorrection correction{LoadCorrectionSettings{}};
  correction.OnFull(kWorker, kStart);
  const auto kv_used = [&](Duration age) {
    return correction.Correct(FirstWorker(), Estimate(20), {}, 1, kStart + age)
               .kv_token_layers /
           FirstWorker().kv_capacity;
  };
  const auto slots_used = [&](Duration age) {
    return correction.Correct(FirstWorker(), Estimate(20), {}, 1, kStart + age)
               .sequences /
           FirstWorker().slots;
  };
  cr_assert_float_eq(std::max(kv_used({}), slots_used({})), 0.85, 1e-9);
  const Duration half = LoadCorrectionSettings().full_lifetime / 2;
  cr_assert_float_eq(std::max(kv_used(half), slots_used(half)), 0.425, 1e-9);
  cr_assert(correction.Correct(FirstWorker(), Estimate(20), {}, 1,
                               kStart + 2 * half) == Estimate(20));
  cr_assert_eq(correction.FullWorkers(kStart + half), 1);
  // A load that is known to be higher is not lowered.
  cr_assert(correction.Correct(FirstWorker(), Estimate(190), {}, 1, kStart) ==
            Estimate(190));
}

// One VM is refused; without correction it returns to the worker at once after
// the cooldown.
Test(load_correction, path_selection_avoids_a_worker_that_was_full) {
  const ModelProfile model = Model();
  PathQuery query;
  query.layers = {0, 10};
  query.from_data_centre = "a";
  query.prompt_tokens = 700;
  query.answer_tokens = 150;
  const Instant after_cooldown = kStart + milliseconds(300);
  for (const bool enabled : {false, true}) {
    serving::RoutingState state = TwoWorkers(enabled);
    state.RecordRefusal("w1", model, kStart);
    int chosen = 0;
    for (int i = 0; i < 50; ++i) {
      const auto found = state.FindPath("s", model, query, after_cooldown);
      cr_assert(found.has_value());
      chosen += found.value().path.front().worker == "w1" ? 1 : 0;
    }
    cr_assert_eq(enabled, chosen == 0, "chosen %d times", chosen);
  }
}

// All workers have refused, 6 slots each: 79 of 593 requests of a trial were
// refused instead of 29 of 514, as the estimates alone made the workers full.
Test(load_correction, workers_that_were_full_are_used_if_there_is_no_other) {
  ModelProfile model = Model();
  model.batch_limit = 6;
  PathQuery query;
  query.layers = {0, 10};
  query.from_data_centre = "a";
  query.prompt_tokens = 700;
  query.answer_tokens = 150;
  serving::RoutingState state = TwoWorkers(true);
  const std::uint32_t key = WorkerKey("w1");
  state.OnPeerLoads("vm", {{key, {0, 0, 0}}}, kStart - milliseconds(500));
  state.OnPeerLoads("vm", {{key, {3, 0, 20000}}}, kStart);
  state.RecordRefusal("w1", model, kStart);
  state.RecordRefusal("w2", model, kStart);
  for (int ms = 260; ms < 2500; ms += 20) {
    cr_assert(state.FindPath("s", model, query, kStart + milliseconds(ms))
                  .has_value(),
              "after %d ms", ms);
  }
}

// A deployment without the setting keeps its estimates, whatever is received.
Test(load_correction, off_leaves_the_candidates_as_they_were) {
  const ModelProfile model = Model();
  serving::RoutingState state = TwoWorkers(false);
  serving::RoutingState reference = TwoWorkers(false);
  const std::uint32_t key = WorkerKey("w1");
  for (int i = 1; i <= 4; ++i) {
    const Instant at = kStart + milliseconds(300 * i);
    const LoadsByKey loads = {{key, {10.0 * i, 0, 1000.0 * i}}};
    state.OnPeerLoads("vm", loads, at);
    reference.Loads().OnPeerLoads("vm", loads, at);
  }
  const Instant now = kStart + milliseconds(2200);
  state.RecordRefusal("w1", model, kStart + milliseconds(1300));
  state.RecordStatedLoad("w1", 90, 0, now);
  reference.Loads().OnReportedRunning("w1", "a", 90, now);
  cr_assert(state.PathCandidates("s", model, now) ==
            reference.PathCandidates("s", model, now));
}

// Every refusal of one VM would be a datagram to each of 44 peers.
Test(full_worker_notices, one_notice_for_a_worker_and_interval) {
  fleet::FullWorkerNoticesSettings settings;
  settings.enabled = true;
  fleet::FullWorkerNotices notices(settings, kStart);
  int sent = 0;
  for (int ms = 0; ms < 1000; ms += 10) {
    sent +=
        notices.OnRefused(kWorker, milliseconds(250), kStart + milliseconds(ms))
            ? 1
            : 0;
  }
  cr_assert_eq(sent, 4);
  const auto in_force = notices.InForce(kStart + milliseconds(1000));
  cr_assert_eq(in_force.size(), 1);
  cr_assert_eq(in_force.front().milliseconds, 240);
  cr_assert(notices.InForce(kStart + milliseconds(1300)).empty());
  // The bytes are bounded, too.
  cr_assert_eq(notices.TakeReceivers(87, 1000, kStart + seconds(1)), 40);
  cr_assert_eq(notices.TakeReceivers(87, 1000, kStart + seconds(3)), 5);
}

// A full worker is found by one VM, and the others in its data centre are then
// refused there as well by requests in flight.
Test(full_worker_notices, workers_reported_by_another_vm_are_not_reported) {
  fleet::FullWorkerNoticesSettings settings;
  settings.enabled = true;
  fleet::FullWorkerNotices notices(settings, kStart);
  const auto applied = notices.OnReceived({{kWorker, 60000}, {8, 0}}, kStart);
  cr_assert_eq(applied.size(), 1);
  cr_assert_eq(applied.front().milliseconds, 2000, "a bounded time");
  cr_assert(
      notices.OnReceived({{kWorker, 1800}}, kStart + milliseconds(230)).empty(),
      "repeated in a load datagram");
  cr_assert(!notices.OnRefused(kWorker, milliseconds(250),
                               kStart + milliseconds(1900)));
  cr_assert(notices.InForce(kStart + milliseconds(1900)).empty(),
            "not sent on");
  cr_assert(notices.OnRefused(kWorker, milliseconds(250),
                              kStart + milliseconds(2050)));
}

// Earlier deployments exchange no notices.
Test(full_worker_notices, disabled_ones_are_neither_sent_nor_applied) {
  fleet::FullWorkerNotices notices({}, kStart);
  cr_assert(!notices.OnRefused(kWorker, milliseconds(250), kStart));
  cr_assert(notices.OnReceived({{kWorker, 250}}, kStart).empty());
  cr_assert(notices.InForce(kStart).empty());
}

// A false or delayed notice must not take a worker out of use for long, nor
// count as a refusal towards "refuses despite capacity".
Test(full_worker_notices, cooldown_by_notice_is_bounded_and_no_refusal) {
  routing::CooldownTracker tracker{routing::CooldownTrackerSettings{}};
  tracker.OnFullElsewhere("w", seconds(60), kStart);
  cr_assert(tracker.InCooldown("w", kStart + milliseconds(1999)));
  cr_assert(!tracker.InCooldown("w", kStart + milliseconds(2000)));
  cr_assert(!tracker.RefusedRepeatedly("w"));
  cr_assert_eq(tracker.FullLeft("w", kStart + milliseconds(1500)),
               milliseconds(500));
  cr_assert_eq(tracker.FullLeft("w", kStart + seconds(9)), Duration::zero());
}
