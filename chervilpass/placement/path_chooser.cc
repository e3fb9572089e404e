#include "chervilpass/placement/path_chooser.h"

#include <algorithm>
#include <map>

#include "chervilpass/placement/stage_cost.h"

namespace chervilpass::placement {
namespace {

// A worker and the layers that a search may use of it.
struct Usable {
  const PathCandidate* candidate = nullptr;
  LayerRange layers;
  double jitter = 1;  // factor of its cost
};

// One search. Boundaries are the layers at which some part may end.
class Search {
 public:
  Search(const ModelProfile& model,
         const PathQuery& query,
         const PathChooserSettings& settings,
         const std::vector<Usable>& usable,
         bool check_room)
      : model(model),
        query(query),
        settings(settings),
        usable(usable),
        cost(model, query, settings, check_room) {
    std::set<std::uint32_t> marks = {query.layers.from, query.layers.to};
    for (const Usable& worker : this->usable) {
      for (const std::uint32_t mark : {worker.layers.from, worker.layers.to}) {
        if (query.layers.from < mark && mark < query.layers.to) {
          marks.insert(mark);
        }
      }
    }
    this->boundaries.assign(marks.begin(), marks.end());
  }

  // Dijkstra's algorithm reduces to one sweep, since parts only go forward.
  std::optional<ChosenPath> Run() {
    std::map<std::string, Step> start;
    start[this->query.from_data_centre] = {0, nullptr, {}, 0};
    this->best.assign(this->boundaries.size(), {});
    this->best[0] = start;
    for (std::size_t i = 0; i + 1 < this->boundaries.size(); ++i) {
      for (const auto& [data_centre, step] : this->best[i]) {
        this->Extend(i, data_centre, step.cost);
      }
    }
    return this->Trace();
  }

 private:
  // The cheapest way to a boundary with the last part in one data centre.
  struct Step {
    double cost = kNoCapacityCost;
    const PathCandidate* candidate = nullptr;
    std::string from_data_centre;
    std::size_t from_boundary = 0;
  };

  void Extend(std::size_t at, const std::string& data_centre, double cost) {
    const bool first = at == 0 && this->query.includes_first_stage;
    for (const Usable& worker : this->usable) {
      if (!worker.layers.Contains(this->boundaries[at])) {
        continue;
      }
      const PathCandidate& candidate = *worker.candidate;
      const double entry =
          candidate.data_centre == data_centre ? 0 : this->Crossing(first);
      for (std::size_t end = at + 1; end < this->boundaries.size() &&
                                     this->boundaries[end] <= worker.layers.to;
           ++end) {
        const double part =
            worker.jitter *
            this->cost.Seconds(
                candidate, this->boundaries[end] - this->boundaries[at], first);
        if (part == kNoCapacityCost) {
          break;  // more layers need more room
        }
        Step& known = this->best[end][candidate.data_centre];
        if (cost + entry + part < known.cost) {
          known = {cost + entry + part, &candidate, data_centre, at};
        }
      }
    }
  }

  // From the entry to the first part only events travel; between two parts
  // activations do.
  double Crossing(bool first) const {
    if (first) {
      return ToSeconds(this->settings.remote_entry_delay);
    }
    const double tokens = this->query.prompt_tokens + this->query.answer_tokens;
    const double link = this->model.data_centre_link_mbps <= 0
                            ? 0
                            : this->model.activation_bytes * 8 /
                                  (this->model.data_centre_link_mbps * 1e6);
    return tokens * link * this->settings.link_sharing +
           2 * this->query.answer_tokens *
               ToSeconds(this->settings.data_centre_delay);
  }

  std::optional<ChosenPath> Trace() const {
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
    const Step* step = &last->second;
    std::size_t end = this->boundaries.size() - 1;
    while (step->candidate != nullptr) {
      chosen.path.push_back(
          {step->candidate->worker,
           step->candidate->address,
           {this->boundaries[step->from_boundary], this->boundaries[end]}});
      end = step->from_boundary;
      step = &this->best[end].at(step->from_data_centre);
    }
    std::reverse(chosen.path.begin(), chosen.path.end());
    return chosen;
  }

  const ModelProfile& model;
  const PathQuery& query;
  const PathChooserSettings& settings;
  const std::vector<Usable>& usable;
  StageCost cost;
  std::vector<std::uint32_t> boundaries;
  std::vector<std::map<std::string, Step>> best;  // by boundary
};

// Two parts of a path on the same worker.
struct Repetition {
  PathStage earlier;
  PathStage later;
};

std::optional<Repetition> FindRepetition(const Path& path) {
  for (std::size_t i = 0; i < path.size(); ++i) {
    for (std::size_t j = i + 1; j < path.size(); ++j) {
      if (path[i].worker == path[j].worker) {
        return Repetition{path[i], path[j]};
      }
    }
  }
  return std::nullopt;
}

// The cheapest path that uses each worker once. Where the shortest path comes
// back to a worker, that worker takes what lies before its later part, or after
// its earlier one, or all between the two, whichever is cheapest.
class OncePerWorker {
 public:
  OncePerWorker(const ModelProfile& model,
                const PathQuery& query,
                const PathChooserSettings& settings,
                bool check_room)
      : model(model),
        query(query),
        settings(settings),
        check_room(check_room) {}

  std::optional<ChosenPath> Find(const std::vector<Usable>& usable) const {
    return this->Find(usable, kMostRepetitions);
  }

 private:
  // Each one triples the searches; more than a few are not met in practice.
  static constexpr int kMostRepetitions = 4;

  std::optional<ChosenPath> Find(const std::vector<Usable>& usable,
                                 int repetitions_left) const {
    auto chosen = Search(this->model, this->query, this->settings, usable,
                         this->check_room)
                      .Run();
    const auto repetition =
        chosen ? FindRepetition(chosen->path) : std::nullopt;
    if (!repetition) {
      return chosen;
    }
    if (repetitions_left == 0) {
      return std::nullopt;
    }
    const std::string& worker = repetition->earlier.worker;
    const LayerRange between = {repetition->earlier.layers.to,
                                repetition->later.layers.from};
    std::optional<ChosenPath> best;
    for (const std::vector<Usable>& narrower :
         {Clipped(usable, worker, {0, between.to}),
          Clipped(usable, worker, {between.from, this->model.layers}),
          Reserved(usable, worker, between)}) {
      auto found = this->Find(narrower, repetitions_left - 1);
      if (found && (!best || found->cost < best->cost)) {
        best = std::move(found);
      }
    }
    return best;
  }

  static std::vector<Usable> Clipped(std::vector<Usable> usable,
                                     const std::string& worker,
                                     const LayerRange& within) {
    for (Usable& other : usable) {
      if (other.candidate->worker == worker) {
        other.layers = {std::max(other.layers.from, within.from),
                        std::min(other.layers.to, within.to)};
      }
    }
    std::erase_if(usable,
                  [](const Usable& other) { return other.layers.Empty(); });
    return usable;
  }

  // Nobody but the worker may run the layers of `range`.
  static std::vector<Usable> Reserved(const std::vector<Usable>& usable,
                                      const std::string& worker,
                                      const LayerRange& range) {
    std::vector<Usable> kept;
    for (const Usable& other : usable) {
      if (other.candidate->worker == worker) {
        kept.push_back(other);
        continue;
      }
      const LayerRange below = {other.layers.from,
                                std::min(other.layers.to, range.from)};
      const LayerRange above = {std::max(other.layers.from, range.to),
                                other.layers.to};
      for (const LayerRange& part : {below, above}) {
        if (!part.Empty()) {
          kept.push_back({other.candidate, part, other.jitter});
        }
      }
    }
    return kept;
  }

  const ModelProfile& model;
  const PathQuery& query;
  const PathChooserSettings& settings;
  bool check_room;
};

}  // namespace

Result<ChosenPath, NoPathReason> ChoosePath(
    const ModelProfile& model,
    const std::vector<PathCandidate>& candidates,
    const PathQuery& query,
    const PathChooserSettings& settings,
    Random* random) {
  std::map<std::string, std::vector<Usable>> by_data_centre;
  std::vector<Usable> all;
  for (const PathCandidate& candidate : candidates) {
    if (candidate.layers.Empty() || query.excluded.contains(candidate.worker)) {
      continue;
    }
    all.push_back(
        {&candidate, candidate.layers, 1 + settings.jitter * random->Unit()});
    by_data_centre[candidate.data_centre].push_back(all.back());
  }
  // Paths within one data centre first: links between them are scarce.
  const OncePerWorker with_room(model, query, settings, true);
  std::optional<ChosenPath> best;
  for (const auto& [data_centre, usable] : by_data_centre) {
    const auto chosen = with_room.Find(usable);
    if (chosen && (!best || chosen->cost < best->cost)) {
      best = chosen;
    }
  }
  if (!best) {
    best = with_room.Find(all);
  }
  if (best) {
    return *best;
  }
  return OncePerWorker(model, query, settings, false).Find(all)
             ? NoPathReason::kNoCapacity
             : NoPathReason::kNoCover;
}

}  // namespace chervilpass::placement
