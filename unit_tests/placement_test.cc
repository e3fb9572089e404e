// Tests of the choice of paths and of the placement planner.
#include <criterion/criterion.h>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>

#include "chervilpass/placement/path_chooser.h"
#include "chervilpass/placement/planner.h"

using namespace chervilpass;
using namespace chervilpass::placement;

namespace {

ModelProfile Model() {
  ModelProfile model;
  model.layers = 80;
  model.layer_mb = 1750;
  model.kv_bytes_per_token = 426000;
  model.step_time = microseconds(850);
  model.step_per_sequence = microseconds(3);
  model.step_per_1000_context_tokens = microseconds(4);
  model.prefill_tokens_per_second = 272000;
  model.load_time = seconds(14);
  model.concurrent_loads = 6;
  model.batch_limit = 192;
  model.activation_bytes = 21300;
  model.data_centre_link_mbps = 9300;
  model.typical_prompt_tokens = 772;
  model.typical_answer_tokens = 145;
  model.accelerator_kinds["large"] = {36000, 3.1, 3.2};
  model.accelerator_kinds["middle"] = {21600, 16, 8.2};
  model.accelerator_kinds["small"] = {14400, 15, 15};
  return model;
}

std::vector<PlannedWorker> Workers(const ModelProfile& model,
                                   const std::string& data_centre,
                                   const std::map<std::string, int>& counts) {
  std::vector<PlannedWorker> workers;
  for (const auto& [kind, count] : counts) {
    for (int i = 0; i < count; ++i) {
      PlannedWorker worker;
      worker.worker = fmt::format("{}-{}-{}", data_centre, kind, i);
      worker.data_centre = data_centre;
      worker.kind = model.accelerator_kinds.at(kind);
      workers.push_back(worker);
    }
  }
  return workers;
}

// Executes orders immediately; returns their number.
std::size_t ExecuteOrders(const std::vector<PlacementOrder>& orders,
                          std::vector<PlannedWorker>* workers) {
  for (const PlacementOrder& order : orders) {
    for (PlannedWorker& worker : *workers) {
      if (worker.worker == order.worker) {
        worker.layers = order.layers;
      }
    }
  }
  return orders.size();
}

void CheckWithinMemory(const ModelProfile& model,
                       const std::vector<PlacementOrder>& orders,
                       const std::vector<PlannedWorker>& workers) {
  std::map<std::string, int> order_counts;
  for (const PlacementOrder& order : orders) {
    cr_assert_eq(++order_counts[order.worker], 1, "two orders for one worker");
    cr_assert(!order.layers.Empty());
    cr_assert_leq(order.layers.to, model.layers);
    for (const PlannedWorker& worker : workers) {
      if (worker.worker == order.worker) {
        cr_assert_leq(order.layers.Size(), model.MaxLayers(worker.kind));
      }
    }
  }
}

PathCandidate Candidate(const ModelProfile& model,
                        const std::string& worker,
                        const std::string& data_centre,
                        const std::string& kind,
                        LayerRange layers) {
  PathCandidate candidate;
  candidate.worker = worker;
  candidate.data_centre = data_centre;
  candidate.layers = layers;
  candidate.kind = model.accelerator_kinds.at(kind);
  return candidate;
}

PathQuery Query(const ModelProfile& model) {
  PathQuery query;
  query.layers = {0, model.layers};
  query.from_data_centre = "a";
  query.prompt_tokens = 800;
  query.answer_tokens = 150;
  return query;
}

PathChooserSettings WithoutJitter() {
  PathChooserSettings settings;
  settings.jitter = 0;
  return settings;
}

}  // namespace

Test(planner, empty_data_centre_gets_a_complete_replica_within_memory) {
  const ModelProfile model = Model();
  auto workers =
      Workers(model, "a", {{"large", 2}, {"middle", 3}, {"small", 5}});
  const auto orders = PlanPlacement(model, workers, {});
  CheckWithinMemory(model, orders, workers);
  cr_assert_eq(orders.size(), workers.size());
  ExecuteOrders(orders, &workers);
  cr_assert(UncoveredLayers(model, workers).empty());
  // Every range, not only the average one, has KV cache for typical requests.
  for (const PlannedWorker& worker : workers) {
    const double tokens =
        model.KvCapacityTokenLayers(worker.kind, worker.layers.Size()) /
        worker.layers.Size();
    cr_assert_geq(tokens, 90000, "%s: %f", worker.worker.c_str(), tokens);
  }
}

Test(planner, returns_no_orders_once_nothing_can_be_improved) {
  const ModelProfile model = Model();
  auto workers =
      Workers(model, "a", {{"large", 2}, {"middle", 5}, {"small", 8}});
  ExecuteOrders(PlanPlacement(model, workers, {}), &workers);
  cr_assert(PlanPlacement(model, workers, {}).empty());
}

Test(planner, loss_of_any_worker_is_repaired_in_few_rounds) {
  const ModelProfile model = Model();
  auto workers =
      Workers(model, "a", {{"large", 2}, {"middle", 5}, {"small", 8}});
  ExecuteOrders(PlanPlacement(model, workers, {}), &workers);
  for (std::size_t lost = 0; lost < workers.size(); ++lost) {
    auto remaining = workers;
    remaining[lost].usable = false;
    const auto immediate_orders = PlanPlacement(model, remaining, {});
    cr_assert(UncoveredLayers(model, remaining).empty() ||
              !immediate_orders.empty());
    remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(lost));
    for (int round = 0; round < 4 && !UncoveredLayers(model, remaining).empty();
         ++round) {
      const auto orders = PlanPlacement(model, remaining, {});
      CheckWithinMemory(model, orders, remaining);
      for (const PlacementOrder& order : orders) {
        cr_assert(order.worker != workers[lost].worker);
      }
      cr_assert(ExecuteOrders(orders, &remaining) > 0);
    }
    cr_assert(UncoveredLayers(model, remaining).empty(), "after the loss of %s",
              workers[lost].worker.c_str());
  }
}

// Guards against layers that stay uncovered after a series of worker losses
// although the remaining memory can hold the model.
Test(planner, covers_all_layers_after_losses_if_memory_suffices) {
  const ModelProfile model = Model();
  for (std::uint64_t seed = 0; seed < 300; ++seed) {
    Random random(seed);
    auto workers =
        Workers(model, "a", {{"large", 2}, {"middle", 5}, {"small", 8}});
    ExecuteOrders(PlanPlacement(model, workers, {}), &workers);
    for (int loss = 0; loss < 7; ++loss) {
      // First the worker does not respond; then it is gone, or returns empty.
      const std::size_t index = random.Below(workers.size());
      workers[index].usable = false;
      for (int round = 0; round < 2; ++round) {
        const auto orders = PlanPlacement(model, workers, {});
        CheckWithinMemory(model, orders, workers);
        ExecuteOrders(orders, &workers);
      }
      if (random.Chance(0.3)) {
        workers[index].usable = true;
        workers[index].layers = {};
      } else {
        workers.erase(workers.begin() + static_cast<std::ptrdiff_t>(index));
      }
      for (int round = 0; round < 6; ++round) {
        const auto orders = PlanPlacement(model, workers, {});
        CheckWithinMemory(model, orders, workers);
        ExecuteOrders(orders, &workers);
      }
      double layers = 0;
      for (const PlannedWorker& worker : workers) {
        layers += worker.usable
                      ? model.MaxLayersWithKvTokens(
                            worker.kind, PlannerSettings{}.min_kv_tokens)
                      : 0;
      }
      if (layers >= model.layers) {
        cr_assert(UncoveredLayers(model, workers).empty(), "seed %lu loss %d",
                  seed, loss);
      }
      cr_assert(PlanPlacement(model, workers, {}).empty(),
                "seed %lu loss %d: orders do not end", seed, loss);
    }
  }
}

// One uncovered layer between two full workers: the chain shifts as far as a
// worker with free memory, and the other workers keep their layers.
Test(planner, one_uncovered_layer_moves_few_workers) {
  const ModelProfile model = Model();
  auto workers =
      Workers(model, "a", {{"large", 2}, {"middle", 2}, {"small", 5}});
  const LayerRange held[] = {{0, 15},  {15, 30}, {30, 39}, {39, 48}, {48, 55},
                             {56, 63}, {63, 69}, {69, 75}, {74, 80}};
  for (std::size_t i = 0; i < workers.size(); ++i) {
    workers[i].layers = held[i];
  }
  const auto orders = PlanPlacement(model, workers, {});
  CheckWithinMemory(model, orders, workers);
  cr_assert_leq(orders.size(), 3, "%zu orders", orders.size());
  ExecuteOrders(orders, &workers);
  cr_assert(UncoveredLayers(model, workers).empty());
}

// Guards against moving workers that serve while a lost worker may return.
// Seen in trouble-2, seed 771663128626, on the first site: one of three middle
// workers of a data centre with little spare memory crashed and returned after
// three seconds, but moving the workers that served took six.
Test(planner, serving_workers_keep_layers_while_a_lost_one_may_return) {
  const ModelProfile model = Model();
  auto workers =
      Workers(model, "a", {{"large", 2}, {"middle", 3}, {"small", 5}});
  const LayerRange held[] = {{0, 15}, {15, 30}, {30, 39}, {39, 48}, {48, 57},
                             {0, 6},  {57, 63}, {63, 69}, {69, 75}, {74, 80}};
  for (std::size_t i = 0; i < workers.size(); ++i) {
    workers[i].layers = held[i];
  }
  workers[3].usable = false;
  const auto orders = PlanPlacement(model, workers, {});
  CheckWithinMemory(model, orders, workers);
  for (const PlacementOrder& order : orders) {
    for (const PlannedWorker& worker : workers) {
      // Only a spare releases layers; others only add some.
      cr_assert(worker.worker != order.worker ||
                    worker.layers == (LayerRange{0, 6}) ||
                    order.layers.Covers(worker.layers),
                "%s removes layers", worker.worker.c_str());
    }
  }
  ExecuteOrders(orders, &workers);
  cr_assert(UncoveredLayers(model, workers).empty());
}

Test(planner, open_order_is_not_repeated) {
  const ModelProfile model = Model();
  auto workers = Workers(model, "a", {{"large", 5}, {"small", 8}});
  const auto orders = PlanPlacement(model, workers, {});
  ExecuteOrders(orders, &workers);
  for (PlannedWorker& worker : workers) {
    worker.order_open = true;
  }
  cr_assert(PlanPlacement(model, workers, {}).empty());
}

Test(planner, data_centres_too_small_for_a_replica_share_one) {
  const ModelProfile model = Model();
  auto workers = Workers(model, "a", {{"middle", 4}});
  const auto more = Workers(model, "b", {{"middle", 4}});
  workers.insert(workers.end(), more.begin(), more.end());
  ExecuteOrders(PlanPlacement(model, workers, {}), &workers);
  cr_assert(UncoveredLayers(model, workers).empty());
}

Test(planner, never_exceeds_memory_from_any_initial_state) {
  const ModelProfile model = Model();
  const char* kinds[] = {"large", "middle", "small"};
  for (std::uint64_t seed = 0; seed < 400; ++seed) {
    Random random(seed);
    std::vector<PlannedWorker> workers;
    const std::uint64_t count = 1 + random.Below(20);
    for (std::uint64_t i = 0; i < count; ++i) {
      PlannedWorker worker;
      worker.worker = fmt::format("w{}", i);
      worker.data_centre = random.Chance(0.5) ? "a" : "b";
      worker.kind = model.accelerator_kinds.at(kinds[random.Below(3)]);
      worker.usable = random.Chance(0.8);
      worker.order_open = random.Chance(0.1);
      const auto from = static_cast<std::uint32_t>(random.Below(80));
      const auto size = static_cast<std::uint32_t>(
          random.Below(model.MaxLayers(worker.kind) + 1));
      worker.layers = {from, std::min(80U, from + size)};
      workers.push_back(worker);
    }
    for (int round = 0; round < 6; ++round) {
      const auto orders = PlanPlacement(model, workers, {});
      CheckWithinMemory(model, orders, workers);
      for (const PlacementOrder& order : orders) {
        for (const PlannedWorker& worker : workers) {
          cr_assert(worker.worker != order.worker ||
                        (worker.usable && !worker.order_open),
                    "seed %lu", seed);
        }
      }
      ExecuteOrders(orders, &workers);
    }
  }
}

Test(path_chooser, paths_are_complete_and_stay_in_the_data_centre) {
  const ModelProfile model = Model();
  std::vector<PathCandidate> candidates;
  for (const char* dc : {"a", "b"}) {
    for (std::uint32_t from = 0; from < 80; from += 10) {
      candidates.push_back(Candidate(model, fmt::format("{}-{}", dc, from), dc,
                                     "middle", {from, from + 10}));
    }
  }
  Random random(1);
  const auto chosen = ChoosePath(model, candidates, Query(model), {}, &random);
  cr_assert(chosen.has_value());
  cr_assert(IsCompletePath(chosen.value().path, 80));
  for (const PathStage& stage : chosen.value().path) {
    cr_assert_eq(stage.worker[0], 'a');
  }
}

Test(path_chooser, missing_stage_is_run_in_the_other_data_centre) {
  const ModelProfile model = Model();
  std::vector<PathCandidate> candidates;
  for (const char* dc : {"a", "b"}) {
    for (std::uint32_t from = 0; from < 80; from += 10) {
      // Each data centre lacks a different range.
      if (from != (dc[0] == 'a' ? 20U : 50U)) {
        candidates.push_back(Candidate(model, fmt::format("{}-{}", dc, from),
                                       dc, "middle", {from, from + 10}));
      }
    }
  }
  Random random(1);
  const auto chosen = ChoosePath(model, candidates, Query(model), {}, &random);
  cr_assert(chosen.has_value());
  cr_assert(IsCompletePath(chosen.value().path, 80));
  PathQuery without = Query(model);
  without.excluded = {"a-0", "b-0"};
  const auto none = ChoosePath(model, candidates, without, {}, &random);
  cr_assert(none.has_error());
  cr_assert(none.error() == NoPathReason::kNoCover);
}

Test(path_chooser, full_kv_cache_is_reported_as_lack_of_capacity) {
  const ModelProfile model = Model();
  std::vector<PathCandidate> candidates;
  for (std::uint32_t from = 0; from < 80; from += 10) {
    candidates.push_back(Candidate(model, fmt::format("w{}", from), "a",
                                   "middle", {from, from + 10}));
  }
  candidates[3].load.kv_token_layers =
      model.KvCapacityTokenLayers(candidates[3].kind, 10);
  Random random(1);
  const auto chosen = ChoosePath(model, candidates, Query(model), {}, &random);
  cr_assert(chosen.has_error());
  cr_assert(chosen.error() == NoPathReason::kNoCapacity);
}

// The KV cache of one of two workers that hold a range is nearly full.
Test(path_chooser, worker_with_free_kv_cache_is_preferred) {
  const ModelProfile model = Model();
  std::vector<PathCandidate> candidates;
  for (std::uint32_t from = 0; from < 80; from += 10) {
    for (int i = 0; i < 2; ++i) {
      candidates.push_back(Candidate(model, fmt::format("w{}-{}", from, i), "a",
                                     "middle", {from, from + 10}));
      candidates.back().load.kv_token_layers =
          i == 0
              ? 0.93 * model.KvCapacityTokenLayers(candidates.back().kind, 10)
              : 0;
    }
  }
  Random random(1);
  const auto chosen =
      ChoosePath(model, candidates, Query(model), WithoutJitter(), &random);
  cr_assert(chosen.has_value());
  for (const PathStage& stage : chosen.value().path) {
    cr_assert_eq(stage.worker.back(), '1', "%s", stage.worker.c_str());
  }
}

// One data centre has the fastest accelerators, and requests arrive in all data
// centres at a rate that it cannot serve alone.
Test(path_chooser, load_spreads_before_the_fastest_data_centre_is_full) {
  const ModelProfile model = Model();
  std::vector<PathCandidate> candidates;
  for (const char* dc : {"a", "b", "c"}) {
    const std::string kind = dc[0] == 'c' ? "large" : "middle";
    for (std::uint32_t from = 0; from < 80; from += 8) {
      candidates.push_back(Candidate(model, fmt::format("{}-{}", dc, from), dc,
                                     kind, {from, from + 8}));
    }
  }
  Random random(1);
  std::map<std::string, std::uint32_t> in_data_centre;
  for (int i = 0; i < 330; ++i) {
    PathQuery query = Query(model);
    query.from_data_centre = std::string(1, "abc"[i % 3]);
    const auto chosen = ChoosePath(model, candidates, query, {}, &random);
    cr_assert(chosen.has_value(), "request %d", i);
    ++in_data_centre[chosen.value().path[0].worker.substr(0, 1)];
    for (const PathStage& stage : chosen.value().path) {
      for (PathCandidate& candidate : candidates) {
        if (candidate.worker == stage.worker) {
          candidate.load.sequences += 1;
          candidate.load.context_tokens += 875;
          candidate.load.kv_token_layers += 875.0 * stage.layers.Size();
        }
      }
    }
  }
  for (const auto& [data_centre, requests] : in_data_centre) {
    cr_assert_lt(requests, model.batch_limit, "%s", data_centre.c_str());
  }
  cr_assert_gt(in_data_centre["c"], in_data_centre["a"]);
  cr_assert_gt(in_data_centre["a"], 40U);
  cr_assert_gt(in_data_centre["b"], 40U);
}

Test(path_chooser, worker_without_free_batch_slot_does_not_run_a_first_stage) {
  const ModelProfile model = Model();
  std::vector<PathCandidate> candidates = {
      Candidate(model, "full", "a", "large", {0, 10}),
      Candidate(model, "free", "a", "small", {0, 6}),
      Candidate(model, "rest", "a", "large", {6, 20})};
  candidates[0].load.sequences = model.batch_limit;
  // Batch slots limit the first stage only.
  candidates[2].load.sequences = model.batch_limit;
  PathQuery query = Query(model);
  query.layers = {0, 20};
  Random random(1);
  const auto chosen = ChoosePath(model, candidates, query, {}, &random);
  cr_assert(chosen.has_value());
  cr_assert_str_eq(chosen.value().path[0].worker.c_str(), "free");
}

namespace {

// Visits all paths for layers [from, to) that use each worker at most once.
void Enumerate(const std::vector<PathCandidate>& candidates,
               std::uint32_t from,
               std::uint32_t to,
               Path* path,
               const std::function<void(const Path&)>& visit) {
  if (from == to) {
    visit(*path);
    return;
  }
  for (const PathCandidate& candidate : candidates) {
    const bool used =
        std::any_of(path->begin(), path->end(), [&](const PathStage& stage) {
          return stage.worker == candidate.worker;
        });
    if (used || !candidate.layers.Contains(from)) {
      continue;
    }
    for (std::uint32_t end = from + 1; end <= candidate.layers.to; ++end) {
      path->push_back({candidate.worker, {}, {from, end}});
      Enumerate(candidates, end, to, path, visit);
      path->pop_back();
    }
  }
}

// Cost of a path: the sum over its stages of the chooser's cost with the
// stage's worker as the only candidate.
double CostOf(const ModelProfile& model,
              const std::vector<PathCandidate>& candidates,
              const Path& path) {
  double cost = 0;
  for (const PathStage& stage : path) {
    std::vector<PathCandidate> only;
    for (const PathCandidate& candidate : candidates) {
      if (candidate.worker == stage.worker) {
        only.push_back(candidate);
      }
    }
    PathQuery query = Query(model);
    query.layers = stage.layers;
    query.includes_first_stage = stage.layers.from == 0;
    PathChooserSettings settings = WithoutJitter();
    // Never reached: capacity limits the path but does not add to its cost.
    settings.high_utilisation = 10;
    Random random(1);
    const auto chosen = ChoosePath(model, only, query, settings, &random);
    cost += chosen.has_value() ? ToSeconds(chosen.value().cost) : INFINITY;
  }
  return cost;
}

}  // namespace

Test(path_chooser, cost_equals_that_of_exhaustive_search) {
  ModelProfile model = Model();
  model.layers = 8;
  const char* kinds[] = {"large", "middle", "small"};
  for (std::uint64_t seed = 0; seed < 60; ++seed) {
    Random random(seed);
    std::vector<PathCandidate> candidates;
    for (int i = 0; i < 5; ++i) {
      const auto from = static_cast<std::uint32_t>(random.Below(6));
      const auto size = static_cast<std::uint32_t>(1 + random.Below(5));
      candidates.push_back(Candidate(model, fmt::format("w{}", i), "a",
                                     kinds[random.Below(3)],
                                     {from, std::min(8U, from + size)}));
      candidates.back().load.sequences = random.Below(60);
      candidates.back().load.kv_token_layers =
          candidates.back().load.sequences * 845 *
          candidates.back().layers.Size();
    }
    double best = INFINITY;
    Path path;
    Enumerate(candidates, 0, 8, &path, [&](const Path& path_candidate) {
      best = std::min(best, CostOf(model, candidates, path_candidate));
    });
    PathQuery query = Query(model);
    query.layers = {0, 8};
    PathChooserSettings settings = WithoutJitter();
    settings.high_utilisation = 10;
    const auto chosen = ChoosePath(model, candidates, query, settings, &random);
    if (!std::isfinite(best)) {
      cr_assert(chosen.has_error(), "seed %lu", seed);
      continue;
    }
    cr_assert(chosen.has_value(), "seed %lu", seed);
    cr_assert(IsCompletePath(chosen.value().path, 8));
    cr_assert_float_eq(ToSeconds(chosen.value().cost), best, 1e-6,
                       "seed %lu: %f, best %f", seed,
                       ToSeconds(chosen.value().cost), best);
  }
}

Test(load_tracker, counts_local_loads_and_requests_reported_by_workers) {
  LoadTracker tracker;
  const Instant now{};
  const Path path = {{"a", {}, {0, 10}}, {"b", {}, {10, 30}}};
  tracker.Add(path, 100);
  tracker.Add(path, 50);
  cr_assert_eq(tracker.LocalLoad("b").sequences, 2);
  cr_assert_eq(tracker.LocalLoad("b").kv_token_layers, 3000);
  tracker.OnReportedRunning("a", "dc", 7, now);
  cr_assert_eq(tracker.PeerRequestsIn("dc", now), 5);
  cr_assert_eq(tracker.PeerRequestsIn("dc", now + seconds(10)), 0);
  tracker.Remove(path, 100);
  tracker.Remove(path, 50);
  cr_assert(tracker.LocalLoad("a") == WorkerLoad{});
}

// In a large fleet a VM receives loads from only some of its peers.
Test(load_tracker, recent_peer_loads_are_scaled_to_the_data_centre) {
  LoadTracker tracker;
  Instant now{};
  const std::uint32_t worker = WorkerKey("w");
  tracker.Add({{"w", {}, {0, 10}}}, 200);
  tracker.SetDataCentrePeerCount(4);
  tracker.OnPeerLoads("a1", {{worker, {3, 0, 1000}}}, now);
  tracker.OnPeerLoads("a2", {}, now);
  const WorkerLoad total = tracker.DataCentreTotals(now).at(worker);
  cr_assert_float_eq(total.sequences, 1 + 3 * 2, 1e-9);
  cr_assert_float_eq(total.kv_token_layers, 2000 + 1000 * 2, 1e-9);
  // Sums of another data centre need no scaling.
  tracker.OnDataCentreLoads("b", {{worker, {5, 0, 700}}}, now);
  const WorkerLoad others = tracker.TotalsExcludingLocal(now).at(worker);
  cr_assert_float_eq(others.sequences, 3 * 2 + 5, 1e-9);
  cr_assert_float_eq(others.kv_token_layers, 1000 * 2 + 700, 1e-9);
  now += seconds(10);
  cr_assert(!tracker.HasRecentPeerLoads(now));
  cr_assert(tracker.TotalsExcludingLocal(now).empty());
}
