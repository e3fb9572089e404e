// Simulates the placement of small fleets that lose several workers one after
// another: how long no path of all layers exists.
#include <criterion/criterion.h>

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>

#include "chervilpass/core/random.h"
#include "chervilpass/placement/planner.h"

using namespace chervilpass;
using namespace chervilpass::placement;

namespace {

constexpr Duration kStep = milliseconds(200);
constexpr Duration kDetection = milliseconds(500);
constexpr Duration kRegistration = seconds(15);  // of a crashed worker
constexpr Duration kRelease = seconds(1);        // of layers that serve
constexpr double kLoadSeconds = 14;              // all layers

ModelProfile Model() {
  ModelProfile model;
  model.layers = 80;
  model.layer_mb = 1750;
  model.kv_bytes_per_token = 426000;
  model.batch_limit = 192;
  model.concurrent_loads = 6;
  model.typical_prompt_tokens = 772;
  model.typical_answer_tokens = 145;
  model.accelerator_kinds["large"] = {36000, 3.1, 3.2};
  model.accelerator_kinds["middle"] = {21600, 16, 8.2};
  model.accelerator_kinds["small"] = {14400, 15, 15};
  return model;
}

struct Worker {
  PlannedWorker planned;
  LayerRange held;
  std::optional<PlacementOrder> order;
  Duration order_ends{0};
  std::optional<Duration> lost_at;
};

// How long what was missing, in seconds.
struct Outage {
  double path = 0;            ///< no path of all layers
  double whole_replicas = 0;  ///< no data centre with one, of all
};

class Simulation {
 public:
  Simulation(const PlannerSettings& settings,
             std::size_t per_data_centre,
             std::uint64_t seed)
      : settings(settings), random(seed) {
    const char* const kinds[] = {"large", "middle", "small", "small", "middle"};
    for (const std::string data_centre : {"a", "b", "c"}) {
      for (std::size_t i = 0; i < per_data_centre; ++i) {
        Worker worker;
        worker.planned.worker = fmt::format("{}{}", data_centre, i);
        worker.planned.data_centre = data_centre;
        worker.planned.kind = this->model.accelerator_kinds.at(kinds[i % 5]);
        this->workers.push_back(worker);
      }
    }
    for (const PlacementOrder& order :
         PlanPlacement(this->model, this->Input(), settings)) {
      this->Find(order.worker)->held = order.layers;
    }
  }

  // Loses `losses` random workers, one each `interval`.
  Outage Run(int losses, Duration interval, Duration length) {
    Outage outage;
    for (; this->now < length; this->now += kStep) {
      if (losses > 0 && this->now >= this->next_loss) {
        --losses;
        this->next_loss += interval;
        this->LoseOne();
      }
      this->EndOrders();
      std::erase_if(this->workers, [this](const Worker& worker) {
        return worker.lost_at && this->now - *worker.lost_at > kRegistration;
      });
      for (const PlacementOrder& order :
           PlanPlacement(this->model, this->Input(), this->settings)) {
        this->Start(order);
      }
      this->Count(&outage);
    }
    return outage;
  }

 private:
  Worker* Find(const std::string& id) {
    return &*std::find_if(
        this->workers.begin(), this->workers.end(),
        [&id](const Worker& worker) { return worker.planned.worker == id; });
  }

  void LoseOne() {
    Worker* lost = nullptr;
    do {
      lost = &this->workers[this->random.Below(this->workers.size())];
    } while (lost->lost_at);
    lost->lost_at = this->now;
  }

  void EndOrders() {
    for (Worker& worker : this->workers) {
      if (worker.order && this->now >= worker.order_ends) {
        worker.held = worker.order->layers;
        worker.order.reset();
      }
    }
  }

  void Start(const PlacementOrder& order) {
    Worker* worker = this->Find(order.worker);
    if (worker->order) {
      return;
    }
    const LayerRange kept = {std::max(order.layers.from, worker->held.from),
                             std::min(order.layers.to, worker->held.to)};
    const std::uint32_t stays = kept.Empty() ? 0 : kept.Size();
    worker->order = order;
    worker->order_ends =
        this->now +
        (stays < worker->held.Size() ? kRelease : Duration::zero()) +
        duration_cast<Duration>(std::chrono::duration<double>(
            kLoadSeconds * (order.layers.Size() - stays) / this->model.layers));
    worker->held = stays == 0 ? LayerRange{} : kept;
  }

  std::vector<PlannedWorker> Input() const {
    std::vector<PlannedWorker> input;
    for (const Worker& worker : this->workers) {
      PlannedWorker planned = worker.planned;
      planned.layers = worker.order ? worker.order->layers : worker.held;
      planned.order_open = worker.order.has_value();
      if (worker.lost_at && this->now - *worker.lost_at >= kDetection) {
        planned.usable = false;
        planned.order_open = false;
        planned.unusable_for = this->now - *worker.lost_at - kDetection;
      }
      input.push_back(planned);
    }
    return input;
  }

  void Count(Outage* outage) const {
    std::vector<PlannedWorker> serving;
    std::map<std::string, std::vector<PlannedWorker>> by_data_centre;
    for (const Worker& worker : this->workers) {
      PlannedWorker planned = worker.planned;
      planned.layers = worker.held;
      planned.usable = !worker.lost_at;
      serving.push_back(planned);
      by_data_centre[planned.data_centre].push_back(planned);
    }
    outage->path +=
        UncoveredLayers(this->model, serving).empty() ? 0 : ToSeconds(kStep);
    const bool whole =
        std::any_of(by_data_centre.begin(), by_data_centre.end(),
                    [this](const auto& group) {
                      return UncoveredLayers(this->model, group.second).empty();
                    });
    outage->whole_replicas += whole ? 0 : ToSeconds(kStep);
  }

  ModelProfile model = Model();
  PlannerSettings settings;
  Random random;
  std::vector<Worker> workers;
  Duration now{0};
  Duration next_loss = seconds(1);
};

Outage RunMany(const PlannerSettings& settings,
               std::size_t per_data_centre,
               int losses) {
  Outage sum;
  for (std::uint64_t seed = 0; seed < 40; ++seed) {
    const Outage outage = Simulation(settings, per_data_centre, seed)
                              .Run(losses, milliseconds(1500), seconds(40));
    sum.path += outage.path / 40;
    sum.whole_replicas += outage.whole_replicas / 40;
  }
  return sum;
}

PlannerSettings WaitingForAll() {
  PlannerSettings settings;
  settings.return_time = settings.return_time_without_replica = hours(1);
  return settings;
}

}  // namespace

// Guards against fleets that serve nothing until the registrations of the lost
// workers expire.
Test(small_fleet,
     workers_that_stay_are_rearranged_before_registrations_expire) {
  for (const std::size_t per_data_centre : {10, 11, 13}) {
    for (const int losses : {4, 6, 8, 10, 12, 14, 16}) {
      const Outage before = RunMany(WaitingForAll(), per_data_centre, losses);
      const Outage after = RunMany({}, per_data_centre, losses);
      if (std::getenv("SMALL_FLEET_PRINT") != nullptr) {
        fmt::print(
            stderr,
            "{} workers, {} lost: no path {:.2f} s -> {:.2f} s, no whole "
            "replica {:.2f} s -> {:.2f} s\n",
            3 * per_data_centre, losses, before.path, after.path,
            before.whole_replicas, after.whole_replicas);
      }
      cr_assert_leq(after.path, before.path + 0.2);
      cr_assert_leq(after.whole_replicas, before.whole_replicas + 0.2);
    }
  }
}
