#include "chervilpass/placement/path_chooser.h"

#include <algorithm>
#include <map>

#include "chervilpass/placement/stage_cost.h"

namespace chervilpass::placement {
namespace {

// How much earlier the first event must be for a search by the time to it to
// use another data centre: links between them stay the exception.
constexpr double kMinRemoteGainSeconds = 0.02;

// A worker and those of its layers that a search may use.
struct UsableWorker {
  const PathCandidate* candidate = nullptr;
  LayerRange layers;
  double jitter = 1;  // random factor of its cost
};

// One search for the shortest path. Boundaries are the layers at which a stage
// may start or end. Workers may occur more than once in the result.
class Search {
 public:
  Search(const ModelProfile& model,
         const PathQuery& query,
         const PathChooserSettings& settings,
         const std::vector<UsableWorker>& usable,
         bool check_capacity)
      : model(model),
        query(query),
        settings(settings),
        usable(usable),
        check_capacity(check_capacity),
        cost(model, query, settings, check_capacity) {
    std::set<std::uint32_t> layer_boundaries = {query.layers.from,
                                                query.layers.to};
    for (const UsableWorker& worker : this->usable) {
      for (const std::uint32_t boundary :
           {worker.layers.from, worker.layers.to}) {
        if (query.layers.from < boundary && boundary < query.layers.to) {
          layer_boundaries.insert(boundary);
        }
      }
    }
    this->boundaries.assign(layer_boundaries.begin(), layer_boundaries.end());
  }

  // Dijkstra's algorithm reduces to one pass over the boundaries, since stages
  // only go forward.
  std::optional<ChosenPath> Run() {
    std::map<std::string, PartialPath> start_paths;
    start_paths[this->query.from_data_centre] = {0, nullptr, {}, 0};
    this->best.assign(this->boundaries.size(), {});
    this->best[0] = start_paths;
    for (std::size_t i = 0; i + 1 < this->boundaries.size(); ++i) {
      for (const auto& [data_centre, partial_path] : this->best[i]) {
        this->Extend(i, data_centre, partial_path.cost);
      }
    }
    return this->TracePath();
  }

 private:
  // The cheapest path to a boundary among those whose last stage is in a given
  // data centre.
  struct PartialPath {
    double cost = kNoCapacityCost;
    const PathCandidate* candidate = nullptr;
    std::string from_data_centre;
    std::size_t from_boundary = 0;
  };

  void Extend(std::size_t start, const std::string& data_centre, double cost) {
    const bool first = start == 0 && this->query.includes_first_stage;
    for (const UsableWorker& worker : this->usable) {
      if (!worker.layers.Contains(this->boundaries[start])) {
        continue;
      }
      const PathCandidate& candidate = *worker.candidate;
      // A rate limit counts requests that are sent to the worker, not the
      // stages that other workers pass on to it.
      if (first && this->check_capacity &&
          candidate.send_wait > this->query.max_send_wait) {
        continue;
      }
      const double entry_cost =
          candidate.data_centre == data_centre
              ? 0
              : this->DataCentreCrossingCost(first) + this->RemoteGainCost();
      for (std::size_t end = start + 1;
           end < this->boundaries.size() &&
           this->boundaries[end] <= worker.layers.to;
           ++end) {
        const double stage_cost =
            worker.jitter * this->cost.Seconds(
                                candidate,
                                this->boundaries[end] - this->boundaries[start],
                                first) +
            (first ? ToSeconds(candidate.send_wait) : 0);
        if (stage_cost == kNoCapacityCost) {
          break;  // more layers need more capacity
        }
        PartialPath& cheapest = this->best[end][candidate.data_centre];
        if (cost + entry_cost + stage_cost < cheapest.cost) {
          cheapest = {cost + entry_cost + stage_cost, &candidate, data_centre,
                      start};
        }
      }
    }
  }

  // Between the entry and the first stage only events are transferred, between
  // two stages activations are.
  double DataCentreCrossingCost(bool first) const {
    if (first) {
      return ToSeconds(this->settings.remote_entry_delay);
    }
    const double tokens = this->query.prompt_tokens + this->query.answer_tokens;
    return tokens * this->LinkSecondsPerToken() *
               this->settings.link_sharing_factor +
           2 * this->query.answer_tokens *
               ToSeconds(this->settings.data_centre_delay);
  }

  double RemoteGainCost() const {
    return this->query.weights
               ? this->query.weights->first_event * kMinRemoteGainSeconds
               : 0;
  }

  double LinkSecondsPerToken() const {
    return this->model.data_centre_link_mbps <= 0
               ? 0
               : this->model.activation_bytes * 8 /
                     (this->model.data_centre_link_mbps * 1e6);
  }

  // What the crossing adds to the times of the stream; the cost is higher,
  // since all requests share the links.
  StageSeconds DataCentreCrossingTimes(bool first) const {
    const double delay = ToSeconds(this->settings.data_centre_delay);
    const double transfer = first ? 0
                                  : this->query.prompt_tokens *
                                        this->LinkSecondsPerToken() *
                                        this->settings.link_sharing_factor;
    return {delay + transfer, delay};
  }

  std::optional<ChosenPath> TracePath() const {
    const auto& ends = this->best.back();
    const auto last = std::min_element(ends.begin(), ends.end(),
                                       [](const auto& a, const auto& b) {
                                         return a.second.cost < b.second.cost;
                                       });
    if (last == ends.end() || last->second.candidate == nullptr) {
      return std::nullopt;
    }
    ChosenPath chosen;
    chosen.cost = duration_cast<Duration>(
        std::chrono::duration<double>(last->second.cost));
    StageSeconds times;
    const PartialPath* partial_path = &last->second;
    std::size_t end = this->boundaries.size() - 1;
    while (partial_path->candidate != nullptr) {
      const LayerRange layers = {this->boundaries[partial_path->from_boundary],
                                 this->boundaries[end]};
      chosen.path.push_back({partial_path->candidate->worker,
                             partial_path->candidate->address, layers});
      const bool first =
          partial_path->from_boundary == 0 && this->query.includes_first_stage;
      times +=
          this->cost.Predict(*partial_path->candidate, layers.Size(), first);
      if (partial_path->candidate->data_centre !=
          partial_path->from_data_centre) {
        times += this->DataCentreCrossingTimes(first);
      }
      end = partial_path->from_boundary;
      partial_path = &this->best[end].at(partial_path->from_data_centre);
    }
    std::reverse(chosen.path.begin(), chosen.path.end());
    chosen.times = times.ToTimes();
    return chosen;
  }

  const ModelProfile& model;
  const PathQuery& query;
  const PathChooserSettings& settings;
  const std::vector<UsableWorker>& usable;
  bool check_capacity;
  StageCost cost;
  std::vector<std::uint32_t> boundaries;
  // By boundary, then by data centre of the last stage.
  std::vector<std::map<std::string, PartialPath>> best;
};

// Two stages of a path on the same worker.
struct RepeatedWorker {
  PathStage earlier;
  PathStage later;
};

std::optional<RepeatedWorker> FindRepeatedWorker(const Path& path) {
  for (std::size_t i = 0; i < path.size(); ++i) {
    for (std::size_t j = i + 1; j < path.size(); ++j) {
      if (path[i].worker == path[j].worker) {
        return RepeatedWorker{path[i], path[j]};
      }
    }
  }
  return std::nullopt;
}

// Finds the cheapest path that uses each worker at most once. If the shortest
// path uses a worker twice, three restricted searches follow and the cheapest
// result counts: the worker runs only layers before its later stage, only
// layers after its earlier stage, or all layers between the two.
class DistinctWorkerSearch {
 public:
  DistinctWorkerSearch(const ModelProfile& model,
                       const PathQuery& query,
                       const PathChooserSettings& settings,
                       bool check_capacity)
      : model(model),
        query(query),
        settings(settings),
        check_capacity(check_capacity) {}

  std::optional<ChosenPath> Find(
      const std::vector<UsableWorker>& usable) const {
    return this->Find(usable, kMaxRepetitions);
  }

 private:
  // Each repetition triples the number of searches; more than a few do not
  // occur in practice.
  static constexpr int kMaxRepetitions = 4;

  std::optional<ChosenPath> Find(const std::vector<UsableWorker>& usable,
                                 int repetitions_left) const {
    auto chosen = Search(this->model, this->query, this->settings, usable,
                         this->check_capacity)
                      .Run();
    const auto repeated_worker =
        chosen ? FindRepeatedWorker(chosen->path) : std::nullopt;
    if (!repeated_worker) {
      return chosen;
    }
    if (repetitions_left == 0) {
      return std::nullopt;
    }
    const std::string& worker = repeated_worker->earlier.worker;
    const LayerRange between = {repeated_worker->earlier.layers.to,
                                repeated_worker->later.layers.from};
    std::optional<ChosenPath> best;
    for (const std::vector<UsableWorker>& restricted :
         {ClippedTo(usable, worker, {0, between.to}),
          ClippedTo(usable, worker, {between.from, this->model.layers}),
          ReservedFor(usable, worker, between)}) {
      auto found = this->Find(restricted, repetitions_left - 1);
      if (found && (!best || found->cost < best->cost)) {
        best = std::move(found);
      }
    }
    return best;
  }

  static std::vector<UsableWorker> ClippedTo(std::vector<UsableWorker> usable,
                                             const std::string& worker,
                                             const LayerRange& within) {
    for (UsableWorker& usable_worker : usable) {
      if (usable_worker.candidate->worker == worker) {
        usable_worker.layers = {
            std::max(usable_worker.layers.from, within.from),
            std::min(usable_worker.layers.to, within.to)};
      }
    }
    std::erase_if(usable, [](const UsableWorker& usable_worker) {
      return usable_worker.layers.Empty();
    });
    return usable;
  }

  // Excludes all workers but `worker` from the layers of `range`.
  static std::vector<UsableWorker> ReservedFor(
      const std::vector<UsableWorker>& usable,
      const std::string& worker,
      const LayerRange& range) {
    std::vector<UsableWorker> remaining;
    for (const UsableWorker& other : usable) {
      if (other.candidate->worker == worker) {
        remaining.push_back(other);
        continue;
      }
      const LayerRange below = {other.layers.from,
                                std::min(other.layers.to, range.from)};
      const LayerRange above = {std::max(other.layers.from, range.to),
                                other.layers.to};
      for (const LayerRange& remaining_range : {below, above}) {
        if (!remaining_range.Empty()) {
          remaining.push_back({other.candidate, remaining_range, other.jitter});
        }
      }
    }
    return remaining;
  }

  const ModelProfile& model;
  const PathQuery& query;
  const PathChooserSettings& settings;
  bool check_capacity;
};

}  // namespace

Result<ChosenPath, NoPathReason> ChoosePath(
    const ModelProfile& model,
    const std::vector<PathCandidate>& candidates,
    const PathQuery& query,
    const PathChooserSettings& settings,
    Random* random) {
  std::map<std::string, std::vector<UsableWorker>> by_data_centre;
  std::vector<UsableWorker> all;
  const double jitter = query.cost_spread.value_or(settings.jitter);
  for (const PathCandidate& candidate : candidates) {
    if (candidate.layers.Empty() || query.excluded.contains(candidate.worker)) {
      continue;
    }
    all.push_back({&candidate, candidate.layers, 1 + jitter * random->Unit()});
    by_data_centre[candidate.data_centre].push_back(all.back());
  }
  // Paths within one data centre come first: bandwidth between data centres is
  // scarce.
  const DistinctWorkerSearch with_capacity(model, query, settings, true);
  std::optional<ChosenPath> best;
  for (const auto& [data_centre, usable] : by_data_centre) {
    const auto chosen = with_capacity.Find(usable);
    if (chosen && (!best || chosen->cost < best->cost)) {
      best = chosen;
    }
  }
  if (!best) {
    best = with_capacity.Find(all);
  }
  if (best) {
    return *best;
  }
  return DistinctWorkerSearch(model, query, settings, false).Find(all)
             ? NoPathReason::kNoCapacity
             : NoPathReason::kNoCover;
}

}  // namespace chervilpass::placement
