#include "chervilpass/placement/path_chooser.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

namespace chervilpass::placement {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();
// Work that arrives during a pass waits for the next one: half a pass on
// average once a worker is busy.
constexpr double kPassWait = 0.5;
constexpr double kBusySequences = 8;  // from here on a pass is always running
// Weight of KV fill beyond the crowded mark.
constexpr double kCrowdingWeight = 6;

double StepSeconds(const ModelProfile& model,
                   const PathCandidate& candidate,
                   double extra_sequences,
                   double extra_tokens) {
  const double sequences = candidate.load.sequences + extra_sequences;
  const double tokens = candidate.load.context_tokens + extra_tokens;
  return candidate.kind.step_factor * candidate.slowness *
         (ToSeconds(model.step) +
          ToSeconds(model.step_per_sequence) * sequences +
          ToSeconds(model.step_per_1000_context_tokens) * tokens / 1000);
}

// One search. Boundaries are the layers at which some part may end.
class Search {
 public:
  Search(const ModelProfile& model,
         const PathQuery& query,
         const PathChooserSettings& settings,
         std::vector<const PathCandidate*> usable,
         const std::map<const PathCandidate*, double>& jitter,
         bool check_room)
      : model(model),
        query(query),
        settings(settings),
        usable(std::move(usable)),
        jitter(jitter),
        check_room(check_room) {
    std::set<std::uint32_t> marks = {query.layers.from, query.layers.to};
    for (const PathCandidate* candidate : this->usable) {
      for (const std::uint32_t mark :
           {candidate->layers.from, candidate->layers.to}) {
        if (query.layers.from < mark && mark < query.layers.to) {
          marks.insert(mark);
        }
      }
      this->data_centres.insert(candidate->data_centre);
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
    double cost = kNever;
    const PathCandidate* candidate = nullptr;
    std::string from_data_centre;
    std::size_t from_boundary = 0;
  };

  void Extend(std::size_t at, const std::string& data_centre, double cost) {
    for (const PathCandidate* candidate : this->usable) {
      if (!candidate->layers.Contains(this->boundaries[at])) {
        continue;
      }
      const bool first = at == 0 && this->query.first_part_included;
      const double entry =
          candidate->data_centre == data_centre ? 0 : this->Crossing(first);
      for (std::size_t end = at + 1;
           end < this->boundaries.size() &&
           this->boundaries[end] <= candidate->layers.to;
           ++end) {
        const double part = this->PartCost(
            *candidate, this->boundaries[end] - this->boundaries[at]);
        if (part == kNever) {
          break;  // more layers need more room
        }
        Step& known = this->best[end][candidate->data_centre];
        if (cost + entry + part < known.cost) {
          known = {cost + entry + part, candidate, data_centre, at};
        }
      }
    }
  }

  // From the entry to the first part only events travel; between two parts
  // activations do.
  double Crossing(bool first) const {
    if (first) {
      return ToSeconds(this->settings.remote_entry);
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

  double PartCost(const PathCandidate& candidate, std::uint32_t layers) const {
    const double tokens = this->query.prompt_tokens + this->query.answer_tokens;
    const double room =
        this->model.KvTokenLayers(candidate.kind, candidate.layers.Size());
    const double fill =
        room <= 0 ? kNever
                  : (candidate.load.kv_token_layers + tokens * layers) / room;
    if (this->check_room && fill > this->settings.largest_fill) {
      return kNever;
    }
    const double share =
        static_cast<double>(layers) / std::max(1U, this->model.layers);
    const double busy = 1 + kPassWait * std::min(1.0, candidate.load.sequences /
                                                          kBusySequences);
    const double decode = this->query.answer_tokens * busy * share *
                          StepSeconds(this->model, candidate, 1, tokens);
    const double prefill = this->model.prefill_tokens_per_second <= 0
                               ? 0
                               : this->query.prompt_tokens * share *
                                     candidate.slowness *
                                     candidate.kind.prefill_factor /
                                     this->model.prefill_tokens_per_second;
    const double hops =
        this->query.answer_tokens * ToSeconds(this->settings.hop);
    const double crowding =
        std::max(0.0, std::min(fill, 2.0) - this->settings.crowded_fill);
    return (decode + prefill + hops) *
           (1 + kCrowdingWeight * crowding * crowding) *
           this->jitter.at(&candidate);
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
    chosen.predicted = duration_cast<Duration>(
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
  std::vector<const PathCandidate*> usable;
  const std::map<const PathCandidate*, double>& jitter;
  bool check_room;
  std::vector<std::uint32_t> boundaries;
  std::set<std::string> data_centres;
  std::vector<std::map<std::string, Step>> best;  // by boundary
};

bool UsesWorkersOnce(const Path& path) {
  std::set<std::string> workers;
  return std::all_of(path.begin(), path.end(), [&](const PathPart& part) {
    return workers.insert(part.worker).second;
  });
}

}  // namespace

Result<ChosenPath, NoPathReason> ChoosePath(
    const ModelProfile& model,
    const std::vector<PathCandidate>& candidates,
    const PathQuery& query,
    const PathChooserSettings& settings,
    Random* random) {
  std::map<const PathCandidate*, double> jitter;
  std::map<std::string, std::vector<const PathCandidate*>> by_data_centre;
  std::vector<const PathCandidate*> usable;
  for (const PathCandidate& candidate : candidates) {
    if (candidate.layers.Empty() || query.excluded.contains(candidate.worker)) {
      continue;
    }
    jitter[&candidate] = 1 + settings.jitter * random->Unit();
    by_data_centre[candidate.data_centre].push_back(&candidate);
    usable.push_back(&candidate);
  }
  const auto run = [&](const std::vector<const PathCandidate*>& workers,
                       bool check_room) {
    auto chosen =
        Search(model, query, settings, workers, jitter, check_room).Run();
    return chosen && UsesWorkersOnce(chosen->path) ? chosen : std::nullopt;
  };
  // Paths within one data centre first: links between them are scarce.
  std::optional<ChosenPath> best;
  for (const auto& [data_centre, workers] : by_data_centre) {
    const auto chosen = run(workers, true);
    if (chosen && (!best || chosen->predicted < best->predicted)) {
      best = chosen;
    }
  }
  if (!best) {
    best = run(usable, true);
  }
  if (best) {
    return *best;
  }
  return run(usable, false) ? NoPathReason::kNoRoom : NoPathReason::kNoCover;
}

Duration TokenTime(const ModelProfile& model,
                   const PathCandidate& candidate,
                   double layers) {
  return duration_cast<Duration>(
      std::chrono::duration<double>(StepSeconds(model, candidate, 0, 0) *
                                    layers / std::max(1U, model.layers)));
}

}  // namespace chervilpass::placement
