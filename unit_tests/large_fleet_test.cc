// Tests of the parts that keep large fleets cheap and calm: samples of
// candidates, sums of loads, and the orders that a decider may send.
#include <criterion/criterion.h>

#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "chervilpass/core/stall_clock.h"
#include "chervilpass/fleet/decider_claim.h"
#include "chervilpass/placement/candidate_sampler.h"
#include "chervilpass/placement/load_tracker.h"
#include "chervilpass/placement/order_governor.h"
#include "chervilpass/serving/routing_state.h"

using namespace chervilpass;
using namespace chervilpass::placement;

namespace {

constexpr Instant kStart{seconds(1000)};

ModelProfile Model() {
  ModelProfile model;
  model.layers = 80;
  model.layer_mb = 1750;
  model.kv_bytes_per_token = 426000;
  model.step_time = microseconds(850);
  model.prefill_tokens_per_second = 272000;
  model.concurrent_loads = 6;
  model.batch_limit = 192;
  model.typical_prompt_tokens = 772;
  model.typical_answer_tokens = 145;
  model.accelerator_kinds["large"] = {36000, 3.1, 3.2};
  model.accelerator_kinds["small"] = {14400, 15, 15};
  return model;
}

std::string DataCentre(int number) {
  return std::string(1, static_cast<char>('a' + number % 3));
}

// In three data centres, each with its layers from the planner.
std::vector<PlannedWorker> PlacedWorkers(int count) {
  const ModelProfile model = Model();
  std::vector<PlannedWorker> workers;
  for (int i = 0; i < count; ++i) {
    PlannedWorker worker;
    worker.worker = fmt::format("w{:04}", i);
    worker.data_centre = DataCentre(i);
    worker.kind =
        model.accelerator_kinds.at(i / 3 % 3 == 0 ? "large" : "small");
    workers.push_back(worker);
  }
  std::map<std::string, LayerRange> layers;
  for (const PlacementOrder& order : PlanPlacement(model, workers, {})) {
    layers[order.worker] = order.layers;
  }
  for (PlannedWorker& worker : workers) {
    worker.layers = layers[worker.worker];
  }
  return workers;
}

// A VM of data centre "a" that knows these workers.
std::unique_ptr<serving::RoutingState> RoutingStateOf(
    const std::vector<PlannedWorker>& workers,
    const CandidateSamplerSettings& samples) {
  serving::RoutingStateSettings settings;
  settings.data_centre = "a";
  settings.samples = samples;
  auto routing_state = std::make_unique<serving::RoutingState>(settings, 7);
  std::uint64_t revision = 0;
  for (const PlannedWorker& worker : workers) {
    routing::BackendServer server;
    server.id = worker.worker;
    server.service = "app";
    server.address = {fmt::format("10.0.{}.{}", revision / 250, revision % 250),
                      80};
    server.data_centre = worker.data_centre;
    server.model = "m";
    server.accelerator_kind =
        worker.kind == Model().accelerator_kinds.at("large") ? "large"
                                                             : "small";
    server.layers = worker.layers;
    routing_state->Servers().ApplyChange({server.id, ++revision, server}, false,
                                         kStart);
  }
  return routing_state;
}

PathQuery Query() {
  PathQuery query;
  query.layers = {0, 80};
  query.from_data_centre = "a";
  query.prompt_tokens = 800;
  query.answer_tokens = 150;
  return query;
}

bool AllIn(const Path& path,
           const std::string& data_centre,
           const serving::RoutingState& routing_state) {
  return std::all_of(path.begin(), path.end(), [&](const PathStage& stage) {
    return routing_state.Servers().Find(stage.worker)->data_centre ==
           data_centre;
  });
}

PlacementOrder Order(const std::string& worker, bool urgent) {
  return {worker, {0, 8}, urgent};
}

PlanBasis BasisAt(Instant now) {
  PlanBasis basis;
  basis.now = now;
  return basis;
}

membership::Member MemberOf(const std::string& vm) {
  membership::Member member;
  member.vm = vm;
  member.boot_id = 1;
  member.store_up = true;
  return member;
}

}  // namespace

// Guards against samples that leave out the only holder of a layer.
Test(candidate_sampler, each_layer_has_enough_holders_or_all_that_are_usable) {
  std::vector<CandidateSampler::Worker> workers;
  for (std::uint32_t i = 0; i < 1000; ++i) {
    const std::uint32_t from = i % 60;
    workers.push_back({"a", {from, from + 8}});
  }
  workers.push_back({"a", {68, 80}});  // alone there
  const CandidateSampler sampler({}, 80, workers);
  cr_assert(sampler.Samples());
  Random random(3);
  std::set<std::uint32_t> seen;
  for (int round = 0; round < 50; ++round) {
    std::vector<std::uint32_t> sample;
    sampler.Sample(
        "a", {0, 80}, 8, [](std::uint32_t index) { return index % 5 != 0; },
        &random, &sample);
    cr_assert_leq(sample.size(), 160);
    const std::set<std::uint32_t> distinct(sample.begin(), sample.end());
    cr_assert_eq(distinct.size(), sample.size());
    seen.insert(sample.begin(), sample.end());
    for (std::uint32_t l = 0; l < 80; ++l) {
      std::size_t holders = 0;
      std::size_t usable = 0;
      for (std::uint32_t i = 0; i < workers.size(); ++i) {
        if (i % 5 != 0 && workers[i].layers.Contains(l)) {
          ++usable;
          holders += distinct.contains(i) ? 1 : 0;
        }
      }
      cr_assert_geq(holders, std::min<std::size_t>(8, usable), "layer %u", l);
    }
  }
  cr_assert_gt(seen.size(), 600, "samples are not spread: %zu", seen.size());
}

// 3,000 workers: guards against work on the request path that grows with the
// fleet, and against paths that cross data centres without need.
Test(large_fleet, paths_of_samples_are_complete_and_nearly_as_cheap) {
  const ModelProfile model = Model();
  const auto workers = PlacedWorkers(1500);
  CandidateSamplerSettings all;
  all.max_priced_workers = 10000;
  const auto sampled = RoutingStateOf(workers, {});
  const auto priced = RoutingStateOf(workers, all);
  Duration sampled_cost{0};
  Duration priced_cost{0};
  for (int i = 0; i < 20; ++i) {
    const auto path = sampled->FindPath("app", model, Query(), kStart);
    cr_assert(path.has_value());
    cr_assert(IsCompletePath(path.value().path, 80));
    cr_assert(AllIn(path.value().path, "a", *sampled));
    sampled_cost += path.value().cost;
    priced_cost += priced->FindPath("app", model, Query(), kStart).value().cost;
  }
  cr_assert_eq(sampled->SampledPaths(), 20);
  cr_assert_eq(priced->SampledPaths(), 0);
  cr_assert_lt(ToSeconds(sampled_cost), 1.15 * ToSeconds(priced_cost),
               "%f instead of %f", ToSeconds(sampled_cost),
               ToSeconds(priced_cost));
}

// Today's largest data centres have 130 workers: guards against any change of
// their paths, of the random numbers drawn included.
Test(large_fleet, smaller_fleets_price_all_workers_as_before) {
  const ModelProfile model = Model();
  const auto workers = PlacedWorkers(390);
  const auto found = RoutingStateOf(workers, {});
  const auto priced = RoutingStateOf(workers, {});
  for (int i = 0; i < 30; ++i) {
    const Instant now = kStart + milliseconds(100 * i);
    for (const auto& state : {found.get(), priced.get()}) {
      state->Loads().SetDataCentrePeerCount(5);
      state->Loads().OnPeerLoads(
          fmt::format("vm{}", i % 4),
          {{WorkerKey(workers[static_cast<std::size_t>(3 * i)].worker),
            {4.0 + i, 0, 50000}}},
          now);
      state->StartCooldown(workers[static_cast<std::size_t>(7 * i)].worker,
                           routing::CooldownReason::kFull, now);
    }
    const auto path = found->FindPath("app", model, Query(), now);
    const auto expected =
        ChoosePath(model, priced->PathCandidates("app", model, now), Query(),
                   priced->Settings().paths, &priced->Rng());
    cr_assert(path.has_value() && path.value() == expected.value());
    cr_assert_eq(found->Rng().Next(), priced->Rng().Next());
  }
  cr_assert_eq(found->SampledPaths(), 0);
}

// The kept candidates: guards against a path over a worker that has left, or
// by layers that it no longer holds.
Test(large_fleet, kept_candidates_follow_the_registry) {
  const ModelProfile model = Model();
  const auto workers = PlacedWorkers(900);
  const auto routing_state = RoutingStateOf(workers, {});
  cr_assert(routing_state->FindPath("app", model, Query(), kStart).has_value());
  for (const PlannedWorker& worker : workers) {
    if (worker.layers.Contains(40)) {
      routing_state->Servers().MarkLeaving(worker.worker, {});
    }
  }
  const auto none = routing_state->FindPath("app", model, Query(), kStart);
  cr_assert(none.has_error() && none.error() == NoPathReason::kNoCover);
}

// All workers of a layer in the own data centre are unreachable.
Test(large_fleet, samples_use_other_data_centres_if_the_own_has_no_path) {
  const ModelProfile model = Model();
  const auto workers = PlacedWorkers(900);
  const auto routing_state = RoutingStateOf(workers, {});
  for (const PlannedWorker& worker : workers) {
    if (worker.data_centre == "a" && worker.layers.Contains(40)) {
      routing_state->StartCooldown(
          worker.worker, routing::CooldownReason::kUnreachable, kStart);
    }
  }
  const auto path = routing_state->FindPath("app", model, Query(), kStart);
  cr_assert(path.has_value());
  cr_assert(IsCompletePath(path.value().path, 80));
  for (const PlannedWorker& worker : workers) {
    if (worker.layers.Contains(40)) {
      routing_state->StartCooldown(
          worker.worker, routing::CooldownReason::kUnreachable, kStart);
    }
  }
  const auto none = routing_state->FindPath("app", model, Query(), kStart);
  cr_assert(none.has_error() && none.error() == NoPathReason::kNoCover);
}

// Loads of peers that arrive, change and expire: guards against sums that
// drift from the loads, on which all VMs would route.
Test(load_tracker, kept_sums_are_those_of_all_loads) {
  LoadTracker tracker;
  Random random(5);
  Instant now = kStart;
  tracker.SetDataCentrePeerCount(12);
  for (int step = 0; step < 400; ++step) {
    now += milliseconds(random.Below(400));
    LoadsByKey loads;
    for (int i = 0; i < 20; ++i) {
      loads[static_cast<std::uint32_t>(random.Below(50))] = {
          static_cast<double>(random.Below(5)), 0,
          1000.0 * static_cast<double>(random.Below(90))};
    }
    if (step % 7 == 0) {
      tracker.OnDataCentreLoads("b", std::move(loads), now);
    } else {
      tracker.OnPeerLoads(fmt::format("vm{}", random.Below(10)),
                          std::move(loads), now);
    }
    const LoadsByKey totals = tracker.TotalsExcludingLocal(now);
    tracker.DropExpired(now);
    for (std::uint32_t worker = 0; worker < 50; ++worker) {
      const auto found = totals.find(worker);
      const WorkerLoad expected =
          found == totals.end() ? WorkerLoad{} : found->second;
      const WorkerLoad kept = tracker.LoadExcludingLocal(worker, "a", now);
      cr_assert_float_eq(kept.sequences, expected.sequences, 1e-6);
      cr_assert_float_eq(kept.kv_token_layers, expected.kv_token_layers, 1e-3);
    }
  }
  now += seconds(4);
  cr_assert(tracker.TotalsExcludingLocal(now).empty());
}

// Guards against weight loads in a large fleet although nothing is wrong.
Test(large_fleet, calm_fleet_of_3000_workers_gets_no_orders) {
  cr_assert(PlanPlacement(Model(), PlacedWorkers(3000), {}).empty());
}

// A decider whose loop, registry or reports lag: it repairs and does nothing
// else.
Test(order_governor, late_decider_sends_repairs_only) {
  const std::vector<PlacementOrder> orders = {Order("repair", true),
                                              Order("move", false)};
  const auto reason_of = [&](const PlanBasis& basis) {
    OrderGovernor governor({});
    const Admission admission = governor.AdmitAll(orders, basis);
    cr_assert_eq(admission.admitted.size() + admission.held.size(), 2);
    cr_assert_eq(admission.admitted.front().worker, "repair");
    return admission.held.empty()
               ? std::optional<HoldReason>()
               : std::optional(admission.held.begin()->first);
  };
  PlanBasis basis = BasisAt(kStart);
  cr_assert(reason_of(basis) == std::nullopt);
  basis.lateness = seconds(1);
  cr_assert(reason_of(basis) == HoldReason::kLoopLate);
  basis = BasisAt(kStart);
  basis.registry_age = seconds(8);
  cr_assert(reason_of(basis) == HoldReason::kRegistryOld);
  basis = BasisAt(kStart);
  basis.report_age = seconds(3);
  cr_assert(reason_of(basis) == HoldReason::kReportsOld);
  basis = BasisAt(kStart);
  basis.claim_confirmed = false;
  cr_assert(reason_of(basis) == HoldReason::kClaimUnconfirmed);
}

// A VM that has just started and knows 200 of 3,000 workers: guards against
// repairs of layers that the others hold.
Test(order_governor, nothing_is_ordered_while_the_registry_fills) {
  OrderGovernor governor({});
  Instant now = kStart;
  for (const std::size_t servers : {0, 200, 900, 2000, 3000}) {
    governor.OnRound(servers, now);
    cr_assert(servers == 0 || governor.Admit(Order("w", true), BasisAt(now)) ==
                                  HoldReason::kRegistryFilling);
    now += milliseconds(200);
  }
  // Workers that are lost, or return one by one, delay nothing.
  now += seconds(1);
  for (const std::size_t servers : {3000, 2950, 2955, 2960}) {
    governor.OnRound(servers, now);
    now += milliseconds(200);
  }
  cr_assert(!governor.Admit(Order("w", true), BasisAt(now)));
}

// Guards against a worker that loads the layers of two orders in turn.
Test(order_governor, worker_gets_no_second_order_before_the_first_has_ended) {
  OrderGovernor governor({});
  cr_assert(!governor.Admit(Order("w", true), BasisAt(kStart)));
  cr_assert(governor.Admit(Order("w", true), BasisAt(kStart + seconds(9))) ==
            HoldReason::kOrderOpen);
  governor.OnEnded("w");
  cr_assert(!governor.Admit(Order("w", true), BasisAt(kStart + seconds(10))));
}

// A plan that changes its mind each round may not keep the whole fleet loading,
// and does not delay the repair of a burst of losses.
Test(order_governor, loads_per_minute_are_bounded_and_repairs_come_first) {
  OrderGovernorSettings settings;
  settings.loads_per_minute = 20;
  OrderGovernor governor(settings);
  int moves = 0;
  for (int i = 0; i < 100; ++i) {
    moves += governor.Admit(Order(fmt::format("m{}", i), false),
                            BasisAt(kStart + milliseconds(200 * i)))
                 ? 0
                 : 1;
  }
  cr_assert_eq(moves, 10);
  const Instant later = kStart + seconds(30);
  for (int i = 0; i < 10; ++i) {
    cr_assert(
        !governor.Admit(Order(fmt::format("r{}", i), true), BasisAt(later)));
  }
  cr_assert(governor.Admit(Order("r10", true), BasisAt(later)) ==
            HoldReason::kLoadRate);
  cr_assert(!governor.Admit(Order("r10", true), BasisAt(later + seconds(61))));
  // An empty fleet loads at once.
  PlanBasis starting = BasisAt(later);
  starting.starting = true;
  for (int i = 0; i < 100; ++i) {
    cr_assert(!governor.Admit(Order(fmt::format("e{}", i), true), starting));
  }
}

// 40 of 3,000 workers are lost at once, among them all holders of some layers
// of one data centre.
Test(large_fleet, burst_of_losses_is_repaired_within_the_rate) {
  const ModelProfile model = Model();
  auto workers = PlacedWorkers(3000);
  int lost = 0;
  for (PlannedWorker& worker : workers) {
    if (worker.data_centre == "a" && worker.layers.Contains(40)) {
      worker.usable = false;
      ++lost;
    }
  }
  cr_assert_geq(lost, 40);
  OrderGovernor governor({});
  const Admission admission =
      governor.AdmitAll(PlanPlacement(model, workers, {}), BasisAt(kStart));
  cr_assert(admission.held.empty());
  for (const PlacementOrder& order : admission.admitted) {
    for (PlannedWorker& worker : workers) {
      if (worker.worker == order.worker) {
        worker.layers = order.layers;
      }
    }
  }
  std::erase_if(workers, [](const PlannedWorker& worker) {
    return worker.data_centre != "a";
  });
  cr_assert(UncoveredLayers(model, workers).empty());
}

// Guards against two deciders: in an outage of the store the holder goes on
// while no other VM can have taken over, and stops as soon as one can.
Test(decider_claim, holder_is_uncontested_only_while_nobody_can_take_over) {
  using fleet::ClaimStanding;
  std::vector<membership::Member> members = {
      MemberOf("10.0.0.1"), MemberOf("10.0.0.2"), MemberOf("10.0.0.3")};
  fleet::DeciderClaim claim({}, "10.0.0.1", 1, kStart);
  claim.OnRead(fleet::DeciderRecord{"10.0.0.1", 1, 4}, kStart);
  claim.Next(members, kStart);
  cr_assert(claim.Standing(members, kStart) == ClaimStanding::kConfirmed);
  const Instant outage = kStart + seconds(1);
  // The others see that this VM reaches the store, so none takes over.
  cr_assert(claim.Standing(members, outage) == ClaimStanding::kUncontested);
  members[0].store_up = false;
  cr_assert(claim.Standing(members, outage) == ClaimStanding::kNone);
  members[1].store_up = false;
  members[2].store_up = false;
  cr_assert(claim.Standing(members, outage) == ClaimStanding::kUncontested);
  // One is back, and may have taken over even after it is lost again.
  members[1].store_up = true;
  claim.Next(members, outage);
  members[1].store_up = false;
  cr_assert(claim.Standing(members, outage) == ClaimStanding::kNone);
  claim.OnRead(fleet::DeciderRecord{"10.0.0.1", 1, 4}, outage);
  cr_assert(claim.Standing(members, outage) == ClaimStanding::kConfirmed);
  claim.Next(members, outage);
  // Cut off from the others, which count it as gone.
  members[1].status = membership::Status::kDead;
  members[2].status = membership::Status::kDead;
  cr_assert(claim.Standing(members, outage + seconds(1)) ==
            ClaimStanding::kNone);
}

// The former holder acts until its confirmation has aged: guards against the
// same orders from two deciders within 80 ms after an outage of the store.
Test(decider_claim, new_holder_waits_for_the_former_one) {
  using fleet::ClaimStanding;
  const std::vector<membership::Member> members = {MemberOf("10.0.0.1"),
                                                   MemberOf("10.0.0.2")};
  fleet::DeciderClaim claim({}, "10.0.0.1", 1, kStart);
  claim.OnRead(fleet::DeciderRecord{"10.0.0.2", 1, 4}, kStart);
  auto lost = members;
  lost[1].store_up = false;
  claim.Next(lost, kStart + seconds(2));
  const Instant taken = kStart + seconds(3);
  claim.OnRead(claim.Proposal(), taken);
  cr_assert(claim.Holds());
  const fleet::DeciderClaimSettings settings;
  cr_assert(claim.Standing(lost, taken + milliseconds(80)) ==
            ClaimStanding::kNone);
  const Instant after = taken + settings.alive_handover_delay;
  claim.OnRead(claim.Record(), after);
  cr_assert(claim.Standing(lost, after) == ClaimStanding::kConfirmed);
}

// Guards against workers that count as lost because this VM itself was late.
Test(stall_clock, timeouts_of_a_stalled_process_prove_nothing) {
  StallClock clock(milliseconds(60));
  cr_assert(!clock.VoidsTimeout(kStart, kStart + seconds(9), seconds(1)));
  Instant now = kStart;
  for (int i = 0; i < 10; ++i) {
    now += milliseconds(20);
    clock.OnTick(now);
  }
  cr_assert(!clock.VoidsTimeout(kStart, now, milliseconds(100)));
  // The fiber that asks runs before the tick.
  const Instant probe = now;
  now += milliseconds(150);
  cr_assert(clock.VoidsTimeout(probe, now, milliseconds(300)));
  clock.OnTick(now);
  cr_assert(clock.VoidsTimeout(probe, now, milliseconds(300)));
  cr_assert(!clock.VoidsTimeout(probe, now, seconds(1)));
  cr_assert(!clock.VoidsTimeout(now + milliseconds(1), now + milliseconds(9),
                                milliseconds(300)));
}
