#include "chervilpass/placement/planner.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>
#include <map>

namespace chervilpass::placement {
namespace {

// Plans the workers of one group: a data centre, or several that are too small.
class GroupPlan {
 public:
  GroupPlan(const ModelProfile& model,
            std::vector<PlannedWorker> workers,
            const PlannerSettings& settings)
      : model(model),
        settings(settings),
        sizes(ChooseSizes(model, workers, settings)),
        workers(std::move(workers)) {}

  std::vector<PlacementOrder> Run() {
    this->PlaceEmptyWorkers();
    this->CloseGaps();
    if (UncoveredLayers(this->model, this->workers).empty()) {
      this->TrimExtended();
    } else if (this->MayRearrange() && this->NoOrderOpen()) {
      this->Rebuild();
    }
    return std::move(this->orders);
  }

 private:
  std::uint32_t SizeOf(const PlannedWorker& worker) const {
    return this->sizes.LayersFor(this->model, worker.kind);
  }

  // Usable workers for each layer, `except` left out.
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

  // Tokens that fit at each layer, over all usable workers.
  std::vector<double> RoomByLayer() const {
    std::vector<double> room(this->model.layers, 0);
    for (const PlannedWorker& worker : this->workers) {
      const std::uint32_t size = worker.layers.Size();
      if (!worker.usable || worker.layers.Empty()) {
        continue;
      }
      const double tokens = this->model.KvTokenLayers(worker.kind, size) /
                            size / std::max(1.0, worker.slowness);
      for (std::uint32_t l = worker.layers.from;
           l < std::min(worker.layers.to, this->model.layers); ++l) {
        room[l] += tokens;
      }
    }
    return room;
  }

  // Gives an order, or changes the one that this plan has given already.
  void Order(PlannedWorker* worker, const LayerRange& layers, bool urgent) {
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

  // True if an order is open that this plan has not given itself.
  bool Bound(const PlannedWorker& worker) const {
    return worker.order_open &&
           std::none_of(this->orders.begin(), this->orders.end(),
                        [&worker](const PlacementOrder& order) {
                          return order.worker == worker.worker;
                        });
  }

  // Range of `size` layers that starts in `gap`, within the model.
  LayerRange RangeFor(const LayerRange& gap, std::uint32_t size) const {
    const std::uint32_t to = std::min(gap.from + size, this->model.layers);
    return {to - std::min(size, to), to};
  }

  // Where one more worker adds most: the window with the least room, its
  // narrowest layer first.
  LayerRange NarrowestWindow(std::uint32_t size) const {
    const std::vector<double> room = this->RoomByLayer();
    LayerRange best;
    double best_narrowest = std::numeric_limits<double>::infinity();
    double best_sum = std::numeric_limits<double>::infinity();
    for (std::uint32_t from = 0; from + size <= this->model.layers; ++from) {
      const auto begin = room.begin() + from;
      const double narrowest = *std::min_element(begin, begin + size);
      double sum = 0;
      for (std::uint32_t l = from; l < from + size; ++l) {
        sum += room[l];
      }
      if (narrowest < best_narrowest ||
          (narrowest == best_narrowest && sum < best_sum)) {
        best = {from, from + size};
        best_narrowest = narrowest;
        best_sum = sum;
      }
    }
    return best;
  }

  // Larger workers first: their long ranges fit only while gaps are long.
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
      const auto gaps = UncoveredLayers(this->model, this->workers);
      if (gaps.empty()) {
        this->Order(worker, this->NarrowestWindow(this->SizeOf(*worker)),
                    false);
      } else {
        this->Order(worker, this->RangeFor(gaps[0], this->SizeOf(*worker)),
                    true);
      }
    }
  }

  void CloseGaps() {
    // Each round closes a gap or a part of one with an order to one worker, so
    // there are no more rounds than workers.
    for (std::size_t round = 0; round < this->workers.size(); ++round) {
      const auto gaps = UncoveredLayers(this->model, this->workers);
      bool closed = false;
      for (const LayerRange& gap : gaps) {
        closed = this->MoveSpare(gap) || this->ExtendNeighbour(gap) ||
                 (this->MayRearrange() && this->ShiftChain(gap));
        if (closed) {
          break;
        }
      }
      if (!closed) {
        return;
      }
    }
  }

  // A spare holds only layers that others hold as well. The one that covers
  // most of the gap is taken, then the smallest, since larger ones may close
  // larger gaps, then the one whose layers have most room left.
  bool MoveSpare(const LayerRange& gap) {
    PlannedWorker* best = nullptr;
    std::uint32_t best_covered = 0;
    std::uint32_t best_size = 0;
    double best_room = 0;
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
      const std::uint32_t covered = std::min(gap.Size(), this->SizeOf(worker));
      const std::uint32_t size = this->SizeOf(worker);
      const double room = this->RoomLeftWithout(worker);
      const bool better =
          covered > best_covered ||
          (covered == best_covered && size < best_size) ||
          (covered == best_covered && size == best_size && room > best_room);
      if (better) {
        best = &worker;
        best_covered = covered;
        best_size = size;
        best_room = room;
      }
    }
    if (best == nullptr) {
      return false;
    }
    this->Order(best, this->RangeFor(gap, this->SizeOf(*best)), true);
    return true;
  }

  double RoomLeftWithout(const PlannedWorker& worker) const {
    const std::vector<double> room = this->RoomByLayer();
    const double own =
        this->model.KvTokenLayers(worker.kind, worker.layers.Size()) /
        worker.layers.Size() / std::max(1.0, worker.slowness);
    double least = std::numeric_limits<double>::infinity();
    for (std::uint32_t l = worker.layers.from;
         l < std::min(worker.layers.to, this->model.layers); ++l) {
      least = std::min(least, room[l] - own);
    }
    return least;
  }

  // A worker next to the gap takes as much of it as leaves room to serve.
  bool ExtendNeighbour(const LayerRange& gap) {
    PlannedWorker* best = nullptr;
    LayerRange best_range;
    std::uint32_t best_gain = 0;
    for (PlannedWorker& worker : this->workers) {
      if (!worker.usable || this->Bound(worker) || worker.layers.Empty()) {
        continue;
      }
      const std::uint32_t limit = this->model.MaxLayersWithKvTokens(
          worker.kind, this->settings.repair_min_kv_tokens);
      const std::uint32_t size = worker.layers.Size();
      if (limit <= size) {
        continue;
      }
      const std::uint32_t gain = std::min(limit - size, gap.Size());
      LayerRange range = worker.layers;
      if (worker.layers.to == gap.from) {
        range.to += gain;
      } else if (worker.layers.from == gap.to) {
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
    this->Order(best, best_range, true);
    return true;
  }

  using Moves = std::vector<std::pair<PlannedWorker*, LayerRange>>;

  // Workers next to the gap move over it one after the other, each as far as
  // its memory allows, until one has memory to spare for what the last one gave
  // up. The fewest moves that leave much room are taken.
  bool ShiftChain(const LayerRange& gap) {
    const double most =
        std::max(this->sizes.kv_tokens, this->settings.min_kv_tokens);
    Moves best;
    for (double room = most; room >= this->settings.min_kv_tokens;
         room -= this->settings.kv_tokens_step) {
      if (!best.empty() && room < most / 2) {
        break;  // fewer moves are not worth less than half of the room
      }
      for (const bool from_above : {false, true}) {
        Moves moves = this->Chain(gap, room, from_above);
        if (!moves.empty() && (best.empty() || moves.size() < best.size())) {
          best = std::move(moves);
        }
      }
    }
    for (const auto& [worker, range] : best) {
      this->Order(worker, range, true);
    }
    return !best.empty();
  }

  // Moves that close the gap from one side with `room` left on each worker that
  // moves; empty if there are none.
  Moves Chain(const LayerRange& gap, double room, bool from_above) {
    Moves moves;
    LayerRange open = gap;
    while (!open.Empty()) {
      PlannedWorker* worker = this->ChainNeighbour(open, moves, from_above);
      if (worker == nullptr) {
        return {};
      }
      const std::uint32_t limit =
          this->model.MaxLayersWithKvTokens(worker->kind, room);
      const LayerRange held = worker->layers;
      LayerRange range;
      LayerRange given_up;
      if (from_above) {
        range = {open.from, std::min(held.to, open.from + limit)};
        given_up = {std::max(range.to, held.from), held.to};
      } else {
        const std::uint32_t least = open.to > limit ? open.to - limit : 0;
        range = {std::max(held.from, least), open.to};
        given_up = {held.from, std::min(range.from, held.to)};
      }
      if (limit <= open.Size() || range.Empty()) {
        return {};
      }
      moves.emplace_back(worker, range);
      open = this->Uncovered(given_up, moves);
    }
    return moves;
  }

  // The largest worker that holds the layer beside the open range.
  PlannedWorker* ChainNeighbour(const LayerRange& open,
                                const Moves& moves,
                                bool from_above) {
    PlannedWorker* best = nullptr;
    for (PlannedWorker& worker : this->workers) {
      const bool beside =
          from_above ? worker.layers.Contains(open.to)
                     : open.from > 0 && worker.layers.Contains(open.from - 1);
      const bool moved =
          std::any_of(moves.begin(), moves.end(),
                      [&](const auto& move) { return move.first == &worker; });
      if (worker.usable && !worker.order_open && beside && !moved &&
          (best == nullptr || this->SizeOf(worker) > this->SizeOf(*best))) {
        best = &worker;
      }
    }
    return best;
  }

  // The part of `range` that nobody holds once the moves are made.
  LayerRange Uncovered(const LayerRange& range, const Moves& moves) const {
    std::vector<PlannedWorker> after = this->workers;
    for (const auto& [worker, moved] : moves) {
      after[static_cast<std::size_t>(worker - this->workers.data())].layers =
          moved;
    }
    LayerRange open{range.to, range.to};
    for (const LayerRange& gap : UncoveredLayers(this->model, after)) {
      const std::uint32_t from = std::max(gap.from, range.from);
      const std::uint32_t to = std::min(gap.to, range.to);
      if (from < to) {
        open = open.Empty() ? LayerRange{from, to} : LayerRange{open.from, to};
      }
    }
    return open;
  }

  // Layers that are given up wait for the requests that pass through them, so
  // moving workers which serve takes seconds. A worker that does not answer but
  // is still registered is often back sooner.
  bool MayRearrange() const {
    return std::all_of(
        this->workers.begin(), this->workers.end(),
        [](const PlannedWorker& worker) { return worker.usable; });
  }

  bool NoOrderOpen() const {
    return std::none_of(
        this->workers.begin(), this->workers.end(),
        [](const PlannedWorker& worker) { return worker.order_open; });
  }

  // Lays one replica anew where single moves close no gap: ranges follow each
  // other from the first layer on, each on the worker that holds most of it
  // already. Workers left over keep what they hold.
  void Rebuild() {
    std::vector<PlannedWorker*> left;
    for (PlannedWorker& worker : this->workers) {
      if (worker.usable && this->SizeOf(worker) > 0) {
        left.push_back(&worker);
      }
    }
    std::vector<std::pair<PlannedWorker*, LayerRange>> plan;
    std::uint32_t from = 0;
    while (from < this->model.layers && !left.empty()) {
      const auto best = std::max_element(
          left.begin(), left.end(),
          [this, from](PlannedWorker* a, PlannedWorker* b) {
            return this->HeldFrom(*a, from) < this->HeldFrom(*b, from);
          });
      const LayerRange range =
          this->RangeFor({from, from}, this->SizeOf(**best));
      plan.emplace_back(*best, range);
      from = range.to;
      left.erase(best);
    }
    if (from < this->model.layers) {
      return;  // too few workers for a replica
    }
    for (const auto& [worker, range] : plan) {
      if (!worker->layers.Covers(range)) {
        this->Order(worker, range, true);
      }
    }
  }

  // Layers of the range that would begin at `from` which the worker holds.
  std::uint32_t HeldFrom(const PlannedWorker& worker,
                         std::uint32_t from) const {
    const std::uint32_t to = from + this->SizeOf(worker);
    const std::uint32_t first = std::max(from, worker.layers.from);
    const std::uint32_t last = std::min(to, worker.layers.to);
    return last > first ? last - first : 0;
  }

  // Ranges that were extended over a gap shrink again, once others hold the
  // layers at their ends: their room for requests comes back.
  void TrimExtended() {
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
        this->Order(&worker, range, false);
      }
    }
  }

  const ModelProfile& model;
  const PlannerSettings& settings;
  RangeSizes sizes;
  std::vector<PlannedWorker> workers;
  std::vector<PlacementOrder> orders;
};

double LayersIn(const ModelProfile& model,
                const std::vector<PlannedWorker>& workers,
                double room) {
  double layers = 0;
  for (const PlannedWorker& worker : workers) {
    if (worker.usable) {
      layers += RangeSizes{room}.LayersFor(model, worker.kind);
    }
  }
  return layers;
}

}  // namespace

std::uint32_t RangeSizes::LayersFor(const ModelProfile& model,
                                    const AcceleratorKind& kind) const {
  const std::uint32_t with_room =
      model.MaxLayersWithKvTokens(kind, this->kv_tokens);
  return std::min(std::max(1U, with_room), model.MaxLayers(kind));
}

RangeSizes ChooseSizes(const ModelProfile& model,
                       const std::vector<PlannedWorker>& workers,
                       const PlannerSettings& settings) {
  const double usual_tokens =
      model.typical_prompt_tokens + model.typical_answer_tokens / 2.0;
  const double wanted =
      std::max(settings.min_kv_tokens,
               settings.target_batch_share * model.batch_limit * usual_tokens);
  RangeSizes best;
  double best_worth = 0;
  for (double room = settings.min_kv_tokens; room <= 2 * wanted;
       room += settings.kv_tokens_step) {
    const double coverage =
        LayersIn(model, workers, room) / std::max(1U, model.layers);
    if (coverage < 1) {
      break;
    }
    const double worth =
        std::min(1.0, room / wanted) +
        settings.coverage_weight * std::min(coverage, settings.max_coverage);
    if (worth >= best_worth) {
      best = {room};
      best_worth = worth;
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
  std::vector<LayerRange> gaps;
  for (std::uint32_t l = 0; l < model.layers; ++l) {
    if (held[l]) {
      continue;
    }
    if (gaps.empty() || gaps.back().to != l) {
      gaps.push_back({l, l});
    }
    gaps.back().to = l + 1;
  }
  return gaps;
}

std::vector<PlacementOrder> PlanPlacement(
    const ModelProfile& model,
    const std::vector<PlannedWorker>& workers,
    const PlannerSettings& settings) {
  std::map<std::string, std::vector<PlannedWorker>> groups;
  for (const PlannedWorker& worker : workers) {
    groups[worker.data_centre].push_back(worker);
  }
  std::vector<PlannedWorker> small;
  std::vector<PlacementOrder> orders;
  const auto plan = [&](const std::vector<PlannedWorker>& group) {
    const auto more = GroupPlan(model, group, settings).Run();
    orders.insert(orders.end(), more.begin(), more.end());
  };
  for (const auto& [data_centre, group] : groups) {
    if (LayersIn(model, group, settings.min_kv_tokens) < model.layers) {
      small.insert(small.end(), group.begin(), group.end());
    } else {
      plan(group);
    }
  }
  if (!small.empty()) {
    plan(small);
  }
  std::stable_sort(orders.begin(), orders.end(),
                   [](const PlacementOrder& a, const PlacementOrder& b) {
                     return a.urgent && !b.urgent;
                   });
  return orders;
}

}  // namespace chervilpass::placement
