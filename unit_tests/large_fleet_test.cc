// Tests of the parts that keep large fleets cheap and calm: samples of
// candidates, sums of loads, and plans.
#include <criterion/criterion.h>

#include <fmt/format.h>

#include <algorithm>
#include <set>

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

PlanBasis BasisAt(Instant now) {
  PlanBasis basis;
  basis.now = now;
  return basis;
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

// Guards against streams that all go to the workers that the partial loads of
// their data centre leave out, where paths are not sampled.
Test(large_fleet, workers_left_out_of_partial_loads_count_with_the_average) {
  const auto workers = PlacedWorkers(30);
  const auto state = RoutingStateOf(workers, {});
  const std::string listed = workers[1].worker;  // of "b"
  state->Loads().OnDataCentreLoads("b", {{WorkerKey(listed), {9, 0, 50000}}},
                                   kStart);
  state->Loads().OnRestOfDataCentreLoads("b", {3, 0, 20000});
  for (const PathCandidate& candidate :
       state->PathCandidates("app", Model(), kStart)) {
    const double left_out = candidate.data_centre == "b" ? 3 : 0;
    cr_assert_eq(candidate.load.sequences,
                 candidate.worker == listed ? 9 : left_out);
  }
}

// Guards against a full worker that is taken for one that refuses without
// reason, since the partial loads of its data centre do not list it.
Test(large_fleet, a_full_worker_that_is_not_listed_does_not_count_as_refusing) {
  const auto workers = PlacedWorkers(30);
  for (const double rest : {0.0, 192.0}) {
    const auto state = RoutingStateOf(workers, {});
    state->Loads().OnDataCentreLoads("b", {}, kStart);
    state->Loads().OnRestOfDataCentreLoads("b", {rest, 0, 0});
    state->RecordRefusal(workers[4].worker, Model(), kStart);
    cr_assert_eq(
        state->RecordRefusal(workers[4].worker, Model(), kStart + seconds(1)),
        rest == 0);
  }
}

// Guards against weight loads in a large fleet although nothing is wrong.
Test(large_fleet, calm_fleet_of_3000_workers_gets_no_orders) {
  cr_assert(PlanPlacement(Model(), PlacedWorkers(3000), {}).empty());
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
