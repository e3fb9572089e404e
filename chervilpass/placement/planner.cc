#include "chervilpass/placement/planner.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>
#include <map>

namespace chervilpass::placement {
namespace {

// Plans the workers of one group: a data centre, or all that are too small for
// a complete replica.
class GroupPlan {
 public:
  GroupPlan(const ModelProfile& model,
            std::vector<PlannedWorker> workers,
            const PlannerSettings& settings,
            Duration return_time)
      : model(model),
        settings(settings),
        return_time(return_time),
        sizes(ChooseSizes(model, workers, settings)),
        workers(std::move(workers)) {}

  std::vector<PlacementOrder> Run() {
    this->PlaceEmptyWorkers();
    this->RepairCoverage();
    if (UncoveredLayers(this->model, this->workers).empty()) {
      this->TrimExtendedRanges();
    } else if (this->MayRearrange() && this->NoOrderOpen()) {
      this->Rebuild();
    }
    return std::move(this->orders);
  }

 private:
  std::uint32_t SizeOf(const PlannedWorker& worker) const {
    return this->sizes.LayersFor(this->model, worker.kind);
  }

  // Number of usable workers for each layer, without `except`.
  std::vector<std::uint32_t> Coverage(const PlannedWorker* except) const {
    std::vector<std::uint32_t> coverage(this->model.layers, 0);
    for (const PlannedWorker& worker : this->workers) {
      if (!worker.usable || &worker == except) {
        continue;
      }
      for (std::uint32_t l = worker.layers.from;
           l < std::min(worker.layers.to, this->model.layers); ++l) {
        ++coverage[l];
      }
    }
    return coverage;
  }

  // KV cache capacity of each layer in tokens, over all usable workers; that of
  // slow workers counts less.
  std::vector<double> KvTokensByLayer() const {
    std::vector<double> kv_tokens(this->model.layers, 0);
    for (const PlannedWorker& worker : this->workers) {
      const std::uint32_t size = worker.layers.Size();
      if (!worker.usable || worker.layers.Empty()) {
        continue;
      }
      const double tokens =
          this->model.KvCapacityTokenLayers(worker.kind, size) / size /
          std::max(1.0, worker.slowdown_factor);
      for (std::uint32_t l = worker.layers.from;
           l < std::min(worker.layers.to, this->model.layers); ++l) {
        kv_tokens[l] += tokens;
      }
    }
    return kv_tokens;
  }

  // Adds an order, or replaces the one that this plan has for the worker.
  void GiveOrder(PlannedWorker* worker, const LayerRange& layers, bool urgent) {
    assert(layers.Size() <= this->model.MaxLayers(worker->kind));
    worker->layers = layers;
    worker->order_open = true;
    for (PlacementOrder& order : this->orders) {
      if (order.worker == worker->worker) {
        order = {worker->worker, layers, urgent || order.urgent};
        return;
      }
    }
    this->orders.push_back({worker->worker, layers, urgent});
  }

  // True if the worker has an open order that is not from this plan.
  bool HasEarlierOrder(const PlannedWorker& worker) const {
    return worker.order_open &&
           std::none_of(this->orders.begin(), this->orders.end(),
                        [&worker](const PlacementOrder& order) {
                          return order.worker == worker.worker;
                        });
  }

  // Range of `size` layers that starts with `uncovered`, shifted down if it
  // would exceed the model.
  LayerRange RangeFor(const LayerRange& uncovered, std::uint32_t size) const {
    const std::uint32_t to =
        std::min(uncovered.from + size, this->model.layers);
    return {to - std::min(size, to), to};
  }

  // Range in which one more worker adds most: the one with the lowest minimum
  // of KV cache capacity over its layers; among equals, the one with the lowest
  // sum.
  LayerRange LowestCapacityRange(std::uint32_t size) const {
    const std::vector<double> kv_tokens = this->KvTokensByLayer();
    LayerRange best;
    double best_lowest = std::numeric_limits<double>::infinity();
    double best_sum = std::numeric_limits<double>::infinity();
    for (std::uint32_t from = 0; from + size <= this->model.layers; ++from) {
      const auto begin = kv_tokens.begin() + from;
      const double lowest = *std::min_element(begin, begin + size);
      double sum = 0;
      for (std::uint32_t l = from; l < from + size; ++l) {
        sum += kv_tokens[l];
      }
      if (lowest < best_lowest || (lowest == best_lowest && sum < best_sum)) {
        best = {from, from + size};
        best_lowest = lowest;
        best_sum = sum;
      }
    }
    return best;
  }

  // Larger workers come first: their long ranges fit only while uncovered
  // ranges are long.
  void PlaceEmptyWorkers() {
    std::vector<PlannedWorker*> empty;
    for (PlannedWorker& worker : this->workers) {
      if (worker.usable && !worker.order_open && worker.layers.Empty() &&
          this->SizeOf(worker) > 0) {
        empty.push_back(&worker);
      }
    }
    std::stable_sort(empty.begin(), empty.end(),
                     [this](const PlannedWorker* a, const PlannedWorker* b) {
                       return this->SizeOf(*a) > this->SizeOf(*b);
                     });
    for (PlannedWorker* worker : empty) {
      const auto uncovered_ranges = UncoveredLayers(this->model, this->workers);
      if (uncovered_ranges.empty()) {
        this->GiveOrder(
            worker, this->LowestCapacityRange(this->SizeOf(*worker)), false);
      } else {
        this->GiveOrder(
            worker, this->RangeFor(uncovered_ranges[0], this->SizeOf(*worker)),
            true);
      }
    }
  }

  void RepairCoverage() {
    // Each round covers an uncovered range, or a part of one, with orders to at
    // least one worker, so the number of workers bounds the rounds.
    for (std::size_t round = 0; round < this->workers.size(); ++round) {
      const auto uncovered_ranges = UncoveredLayers(this->model, this->workers);
      bool improved = false;
      for (const LayerRange& uncovered : uncovered_ranges) {
        improved = this->MoveSpare(uncovered) ||
                   this->ExtendNeighbour(uncovered) ||
                   (this->MayRearrange() && this->ShiftChain(uncovered));
        if (improved) {
          break;
        }
      }
      if (!improved) {
        return;
      }
    }
  }

  // Moves a spare, a worker whose layers are all held by others as well.
  // Prefers the spare that covers most of the uncovered range, then those that
  // are not paced, then the smallest, since larger ones can cover longer
  // ranges, then the one whose present layers retain the most KV cache capacity
  // without it.
  bool MoveSpare(const LayerRange& uncovered) {
    PlannedWorker* best = nullptr;
    std::uint32_t best_covered = 0;
    std::uint32_t best_size = 0;
    double best_kv_tokens = 0;
    for (PlannedWorker& worker : this->workers) {
      if (!worker.usable || worker.order_open || worker.layers.Empty() ||
          this->SizeOf(worker) == 0) {
        continue;
      }
      const auto coverage = this->Coverage(&worker);
      const auto begin = coverage.begin() + worker.layers.from;
      const auto end =
          coverage.begin() + std::min(worker.layers.to, this->model.layers);
      if (std::any_of(begin, end, [](std::uint32_t c) { return c == 0; })) {
        continue;
      }
      const std::uint32_t covered =
          std::min(uncovered.Size(), this->SizeOf(worker));
      const std::uint32_t size = this->SizeOf(worker);
      const double kv_tokens = this->KvTokensWithout(worker);
      const bool as_good = covered == best_covered && best != nullptr &&
                           worker.paced == best->paced;
      const bool better =
          covered > best_covered ||
          (covered == best_covered && best != nullptr && best->paced &&
           !worker.paced) ||
          (as_good && size < best_size) ||
          (as_good && size == best_size && kv_tokens > best_kv_tokens);
      if (better) {
        best = &worker;
        best_covered = covered;
        best_size = size;
        best_kv_tokens = kv_tokens;
      }
    }
    if (best == nullptr) {
      return false;
    }
    this->GiveOrder(best, this->RangeFor(uncovered, this->SizeOf(*best)), true);
    return true;
  }

  double KvTokensWithout(const PlannedWorker& worker) const {
    const std::vector<double> kv_tokens = this->KvTokensByLayer();
    const double worker_kv_tokens =
        this->model.KvCapacityTokenLayers(worker.kind, worker.layers.Size()) /
        worker.layers.Size() / std::max(1.0, worker.slowdown_factor);
    double lowest = std::numeric_limits<double>::infinity();
    for (std::uint32_t l = worker.layers.from;
         l < std::min(worker.layers.to, this->model.layers); ++l) {
      lowest = std::min(lowest, kv_tokens[l] - worker_kv_tokens);
    }
    return lowest;
  }

  // Extends the range of an adjacent worker as far as it keeps
  // `repair_min_kv_tokens`.
  bool ExtendNeighbour(const LayerRange& uncovered) {
    PlannedWorker* best = nullptr;
    LayerRange best_range;
    std::uint32_t best_gain = 0;
    for (PlannedWorker& worker : this->workers) {
      if (!worker.usable || this->HasEarlierOrder(worker) ||
          worker.layers.Empty()) {
        continue;
      }
      const std::uint32_t limit = this->model.MaxLayersWithKvTokens(
          worker.kind, this->settings.repair_min_kv_tokens);
      const std::uint32_t size = worker.layers.Size();
      if (limit <= size) {
        continue;
      }
      const std::uint32_t gain = std::min(limit - size, uncovered.Size());
      LayerRange range = worker.layers;
      if (worker.layers.to == uncovered.from) {
        range.to += gain;
      } else if (worker.layers.from == uncovered.to) {
        range.from -= gain;
      } else {
        continue;
      }
      if (gain > best_gain) {
        best = &worker;
        best_range = range;
        best_gain = gain;
      }
    }
    if (best == nullptr) {
      return false;
    }
    this->GiveOrder(best, best_range, true);
    return true;
  }

  using Moves = std::vector<std::pair<PlannedWorker*, LayerRange>>;

  // Shifts a chain of workers: the one adjacent to the uncovered range moves
  // over it as far as its memory allows, the next one covers the layers that
  // this releases, and so on until none is uncovered. Prefers the fewest moves,
  // as long as they leave at least half of the maximum KV cache capacity.
  bool ShiftChain(const LayerRange& uncovered) {
    const double max_kv_tokens =
        std::max(this->sizes.kv_tokens, this->settings.min_kv_tokens);
    Moves best;
    for (double kv_tokens = max_kv_tokens;
         kv_tokens >= this->settings.min_kv_tokens;
         kv_tokens -= this->settings.kv_tokens_step) {
      if (!best.empty() && kv_tokens < max_kv_tokens / 2) {
        break;  // fewer moves don't justify less than half of the capacity
      }
      for (const bool from_above : {false, true}) {
        Moves moves = this->ChainMoves(uncovered, kv_tokens, from_above);
        if (!moves.empty() && (best.empty() || moves.size() < best.size())) {
          best = std::move(moves);
        }
      }
    }
    for (const auto& [worker, range] : best) {
      this->GiveOrder(worker, range, true);
    }
    return !best.empty();
  }

  // Moves that cover the uncovered range from one side and leave `kv_tokens` on
  // each worker that moves; empty if there are none.
  Moves ChainMoves(const LayerRange& uncovered,
                   double kv_tokens,
                   bool from_above) {
    Moves moves;
    LayerRange remaining_range = uncovered;
    while (!remaining_range.Empty()) {
      PlannedWorker* worker =
          this->ChainNeighbour(remaining_range, moves, from_above);
      if (worker == nullptr) {
        return {};
      }
      const std::uint32_t limit =
          this->model.MaxLayersWithKvTokens(worker->kind, kv_tokens);
      const LayerRange held = worker->layers;
      LayerRange range;
      LayerRange released;
      if (from_above) {
        range = {remaining_range.from,
                 std::min(held.to, remaining_range.from + limit)};
        released = {std::max(range.to, held.from), held.to};
      } else {
        const std::uint32_t first_layer =
            remaining_range.to > limit ? remaining_range.to - limit : 0;
        range = {std::max(held.from, first_layer), remaining_range.to};
        released = {held.from, std::min(range.from, held.to)};
      }
      if (limit <= remaining_range.Size() || range.Empty()) {
        return {};
      }
      moves.emplace_back(worker, range);
      remaining_range = this->UncoveredPart(released, moves);
    }
    return moves;
  }

  // The largest worker that holds the layer next to the remaining range.
  PlannedWorker* ChainNeighbour(const LayerRange& remaining_range,
                                const Moves& moves,
                                bool from_above) {
    PlannedWorker* best = nullptr;
    for (PlannedWorker& worker : this->workers) {
      const bool adjacent =
          from_above ? worker.layers.Contains(remaining_range.to)
                     : remaining_range.from > 0 &&
                           worker.layers.Contains(remaining_range.from - 1);
      const bool moved =
          std::any_of(moves.begin(), moves.end(),
                      [&](const auto& move) { return move.first == &worker; });
      if (worker.usable && !worker.order_open && adjacent && !moved &&
          (best == nullptr || this->SizeOf(worker) > this->SizeOf(*best))) {
        best = &worker;
      }
    }
    return best;
  }

  // The part of `range` from the first to the last layer that no worker holds
  // after the moves.
  LayerRange UncoveredPart(const LayerRange& range, const Moves& moves) const {
    std::vector<PlannedWorker> workers_after = this->workers;
    for (const auto& [worker, moved] : moves) {
      workers_after[static_cast<std::size_t>(worker - this->workers.data())]
          .layers = moved;
    }
    LayerRange remaining_range{range.to, range.to};
    for (const LayerRange& uncovered :
         UncoveredLayers(this->model, workers_after)) {
      const std::uint32_t from = std::max(uncovered.from, range.from);
      const std::uint32_t to = std::min(uncovered.to, range.to);
      if (from < to) {
        remaining_range = remaining_range.Empty()
                              ? LayerRange{from, to}
                              : LayerRange{remaining_range.from, to};
      }
    }
    return remaining_range;
  }

  // False while a worker has not responded for a short time but is still
  // registered: it often returns within the seconds that moving serving workers
  // takes, since releasing layers waits for the requests that pass through
  // them.
  bool MayRearrange() const {
    return std::all_of(this->workers.begin(), this->workers.end(),
                       [this](const PlannedWorker& worker) {
                         return worker.usable ||
                                worker.unusable_for >= this->return_time;
                       });
  }

  bool NoOrderOpen() const {
    return std::none_of(
        this->workers.begin(), this->workers.end(),
        [](const PlannedWorker& worker) { return worker.order_open; });
  }

  // Plans one replica from scratch when single moves cannot cover all layers:
  // consecutive ranges from the first layer on, each on the worker that already
  // holds most of it. The other workers keep their layers.
  void Rebuild() {
    std::vector<PlannedWorker*> remaining;
    for (PlannedWorker& worker : this->workers) {
      if (worker.usable && this->SizeOf(worker) > 0) {
        remaining.push_back(&worker);
      }
    }
    std::vector<std::pair<PlannedWorker*, LayerRange>> plan;
    std::uint32_t from = 0;
    while (from < this->model.layers && !remaining.empty()) {
      const auto best =
          std::max_element(remaining.begin(), remaining.end(),
                           [this, from](PlannedWorker* a, PlannedWorker* b) {
                             return this->LayersHeldFrom(*a, from) <
                                    this->LayersHeldFrom(*b, from);
                           });
      const LayerRange range =
          this->RangeFor({from, from}, this->SizeOf(**best));
      plan.emplace_back(*best, range);
      from = range.to;
      remaining.erase(best);
    }
    if (from < this->model.layers) {
      return;  // too few workers for a replica
    }
    for (const auto& [worker, range] : plan) {
      if (!worker->layers.Covers(range)) {
        this->GiveOrder(worker, range, true);
      }
    }
  }

  // Number of layers that the worker already holds of the range of its planned
  // size that starts at `from`.
  std::uint32_t LayersHeldFrom(const PlannedWorker& worker,
                               std::uint32_t from) const {
    const std::uint32_t to = from + this->SizeOf(worker);
    const std::uint32_t first = std::max(from, worker.layers.from);
    const std::uint32_t last = std::min(to, worker.layers.to);
    return last > first ? last - first : 0;
  }

  // Shrinks ranges that were extended in a repair once other workers hold the
  // layers at their ends, which restores their KV cache capacity.
  void TrimExtendedRanges() {
    for (PlannedWorker& worker : this->workers) {
      const std::uint32_t size = this->SizeOf(worker);
      if (!worker.usable || worker.order_open || size == 0 ||
          worker.layers.Size() <= size) {
        continue;
      }
      const auto coverage = this->Coverage(&worker);
      LayerRange range = worker.layers;
      while (range.Size() > size && coverage[range.from] > 0) {
        ++range.from;
      }
      while (range.Size() > size && coverage[range.to - 1] > 0) {
        --range.to;
      }
      if (range != worker.layers) {
        this->GiveOrder(&worker, range, false);
      }
    }
  }

  const ModelProfile& model;
  const PlannerSettings& settings;
  Duration return_time;
  RangeSizes sizes;
  std::vector<PlannedWorker> workers;
  std::vector<PlacementOrder> orders;
};

double TotalLayers(const ModelProfile& model,
                   const std::vector<PlannedWorker>& workers,
                   double kv_tokens) {
  double layers = 0;
  for (const PlannedWorker& worker : workers) {
    if (worker.usable) {
      layers += RangeSizes{kv_tokens}.LayersFor(model, worker.kind);
    }
  }
  return layers;
}

}  // namespace

std::uint32_t RangeSizes::LayersFor(const ModelProfile& model,
                                    const AcceleratorKind& kind) const {
  const std::uint32_t with_kv_tokens =
      model.MaxLayersWithKvTokens(kind, this->kv_tokens);
  return std::min(std::max(1U, with_kv_tokens), model.MaxLayers(kind));
}

RangeSizes ChooseSizes(const ModelProfile& model,
                       const std::vector<PlannedWorker>& workers,
                       const PlannerSettings& settings) {
  const double typical_tokens =
      model.typical_prompt_tokens + model.typical_answer_tokens / 2.0;
  const double target_kv_tokens =
      std::max(settings.min_kv_tokens, settings.target_batch_share *
                                           model.batch_limit * typical_tokens);
  RangeSizes best;
  double best_score = 0;
  for (double kv_tokens = settings.min_kv_tokens;
       kv_tokens <= 2 * target_kv_tokens;
       kv_tokens += settings.kv_tokens_step) {
    const double coverage =
        TotalLayers(model, workers, kv_tokens) / std::max(1U, model.layers);
    if (coverage < 1) {
      break;
    }
    const double score =
        std::min(1.0, kv_tokens / target_kv_tokens) +
        settings.coverage_weight * std::min(coverage, settings.max_coverage);
    if (score >= best_score) {
      best = {kv_tokens};
      best_score = score;
    }
  }
  return best;
}

std::vector<LayerRange> UncoveredLayers(
    const ModelProfile& model,
    const std::vector<PlannedWorker>& workers) {
  std::vector<bool> held(model.layers, false);
  for (const PlannedWorker& worker : workers) {
    if (worker.usable) {
      for (std::uint32_t l = worker.layers.from;
           l < std::min(worker.layers.to, model.layers); ++l) {
        held[l] = true;
      }
    }
  }
  std::vector<LayerRange> uncovered_ranges;
  for (std::uint32_t l = 0; l < model.layers; ++l) {
    if (held[l]) {
      continue;
    }
    if (uncovered_ranges.empty() || uncovered_ranges.back().to != l) {
      uncovered_ranges.push_back({l, l});
    }
    uncovered_ranges.back().to = l + 1;
  }
  return uncovered_ranges;
}

std::vector<PlacementOrder> PlanPlacement(
    const ModelProfile& model,
    const std::vector<PlannedWorker>& workers,
    const PlannerSettings& settings) {
  std::map<std::string, std::vector<PlannedWorker>> groups;
  for (const PlannedWorker& worker : workers) {
    // Its entry was not written by a worker of this model.
    if (worker.layers.to <= model.layers) {
      groups[worker.data_centre].push_back(worker);
    }
  }
  const bool has_replica =
      std::any_of(groups.begin(), groups.end(), [&](const auto& group) {
        return UncoveredLayers(model, group.second).empty();
      });
  const Duration return_time =
      has_replica ? settings.return_time : settings.return_time_without_replica;
  std::vector<PlannedWorker> too_small;
  std::vector<PlacementOrder> orders;
  const auto plan = [&](const std::vector<PlannedWorker>& group) {
    const auto group_orders =
        GroupPlan(model, group, settings, return_time).Run();
    orders.insert(orders.end(), group_orders.begin(), group_orders.end());
  };
  for (const auto& [data_centre, group] : groups) {
    if (TotalLayers(model, group, settings.min_kv_tokens) < model.layers) {
      too_small.insert(too_small.end(), group.begin(), group.end());
    } else {
      plan(group);
    }
  }
  if (!too_small.empty()) {
    plan(too_small);
  }
  std::stable_sort(orders.begin(), orders.end(),
                   [](const PlacementOrder& a, const PlacementOrder& b) {
                     return a.urgent && !b.urgent;
                   });
  return orders;
}

}  // namespace chervilpass::placement
