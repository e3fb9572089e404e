// A fleet of VMs that exchange statements and send to one paced server.
#pragma once

#include <algorithm>
#include <memory>
#include <vector>

#include "chervilpass/routing/pace_parts.h"
#include "chervilpass/routing/server_pace.h"

namespace chervilpass {

inline constexpr Instant kStart{};
inline constexpr Duration kTick = milliseconds(50);
inline constexpr Duration kGossipPeriod = milliseconds(300);
inline const std::string kServer = "s@1";
inline const std::string kOld = "old@1";

inline std::string VmName(std::size_t index) {
  return "vm" + std::to_string(index);
}

// A server whose answers take `seconds_alone` and longer in proportion to the
// requests beyond `knee` that it runs; it refuses requests beyond `slots`.
struct ServerModel {
  double slots = 100;
  double knee = 100;
  double seconds_alone = 0.1;
  double predicted = 0.1;

  double SecondsAt(double running) const {
    return this->seconds_alone * std::max(1.0, running / this->knee);
  }
};

struct Request {
  std::size_t vm = 0;
  Instant sent{};
  Instant due{};
  bool refused = false;
};

// VMs with more requests than the server takes, which exchange statements.
class Fleet {
 public:
  Fleet(std::size_t vms,
        ServerModel model,
        routing::ServerPaceSettings settings = {})
      : model(model), in_flight(vms, 0) {
    std::vector<std::uint64_t> keys;
    for (std::size_t i = 0; i < vms; ++i) {
      keys.push_back(routing::PaceVmKey(VmName(i)));
    }
    for (std::size_t i = 0; i < vms; ++i) {
      this->paces.push_back(
          std::make_unique<routing::ServerPace>(settings, keys[i]));
      this->paces[i]->SetFleet(keys, kStart);
      this->paces[i]->OnStarts({{kOld, {}}}, kStart);
    }
    this->now = kStart + seconds(10);
  }

  void StartServer(Duration warm_up_left = {}) {
    for (const auto& pace : this->paces) {
      pace->OnStarts({{kOld, {}}, {kServer, warm_up_left}}, this->now);
    }
  }

  void Outage() {
    this->requests.clear();
    std::fill(this->in_flight.begin(), this->in_flight.end(), 0);
    for (const auto& pace : this->paces) {
      pace->OnOutage(kServer, this->now);
    }
  }

  // Runs with load for all parts of the server's capacity.
  void Run(Duration time) {
    for (const Instant end = this->now + time; this->now < end;) {
      this->now += kTick;
      this->Answer();
      this->Gossip();
      this->Send();
      this->peak = std::max(this->peak, this->requests.size());
    }
  }

  // Runs until the median share is at least `share`; the time that it takes.
  Duration RunUntil(double share, Duration limit) {
    const Instant begin = this->now;
    while (this->MedianShare() < share && this->now - begin < limit) {
      this->Run(kTick);
    }
    return this->now - begin;
  }

  double MedianShare() const {
    std::vector<double> shares;
    for (const auto& pace : this->paces) {
      shares.push_back(pace->ShareOf(kServer));
    }
    std::sort(shares.begin(), shares.end());
    return shares[shares.size() / 2];
  }

  double LowestShare() const {
    double lowest = 1;
    for (const auto& pace : this->paces) {
      lowest = std::min(lowest, pace->ShareOf(kServer));
    }
    return lowest;
  }

  double HighestShare() const {
    double highest = 0;
    for (const auto& pace : this->paces) {
      highest = std::max(highest, pace->ShareOf(kServer));
    }
    return highest;
  }

  ServerModel model;
  std::vector<std::unique_ptr<routing::ServerPace>> paces;
  std::vector<std::uint32_t> in_flight;
  std::vector<Request> requests;
  Instant now{};
  std::size_t peak = 0;
  std::size_t answers = 0;
  std::size_t refusals = 0;
  std::size_t late = 0;
  double demand = 1;
  std::size_t gossip_turn = 0;

 private:
  void Answer() {
    std::vector<Request> left;
    for (const Request& request : std::exchange(this->requests, {})) {
      if (request.due > this->now) {
        left.push_back(request);
        continue;
      }
      --this->in_flight[request.vm];
      routing::PaceObservation observation;
      observation.sent = request.sent;
      observation.slots = this->model.slots;
      observation.demand = this->demand;
      const double elapsed = ToSeconds(request.due - request.sent);
      observation.ratio = elapsed / this->model.predicted;
      if (request.refused) {
        observation.evidence = routing::PaceEvidence::kRefused;
        ++this->refusals;
      } else {
        ++this->answers;
        this->late += observation.ratio > 2 ? 1 : 0;
      }
      this->paces[request.vm]->OnAnswer(kServer, observation, this->now);
    }
    this->requests = std::move(left);
  }

  void Gossip() {
    if (this->now - this->last_gossip < kGossipPeriod) {
      return;
    }
    this->last_gossip = this->now;
    const std::size_t vms = this->paces.size();
    ++this->gossip_turn;
    for (std::size_t i = 0; i < vms; ++i) {
      const auto statements = this->paces[i]->Statements(32, this->now);
      // As many as the byte rate of load gossip allows.
      for (std::size_t k = 1; k <= std::min<std::size_t>(3, vms - 1); ++k) {
        const std::size_t to = (i + 3 * this->gossip_turn + k) % vms;
        if (to != i) {
          this->paces[to]->OnStatements(VmName(i), statements, this->now);
        }
      }
      this->paces[i]->Tick(this->now);
    }
  }

  void Send() {
    for (std::size_t i = 0; i < this->paces.size(); ++i) {
      // Without pacing it gets what it has room for.
      const std::uint32_t full = routing::OwnPart(
          routing::FleetPart(1, this->model.slots), this->paces.size(), i);
      const std::uint32_t part =
          std::min(this->paces[i]->OwnPartOf(kServer, this->model.slots), full);
      while (this->in_flight[i] < part) {
        const bool refused =
            static_cast<double>(this->requests.size()) >= this->model.slots;
        this->requests.push_back({i, this->now, this->now, refused});
        ++this->in_flight[i];
      }
    }
    // All that run at the same time are equally slow.
    const double taken =
        this->model.SecondsAt(static_cast<double>(this->requests.size()));
    for (Request& request : this->requests) {
      if (request.sent == this->now && !request.refused) {
        request.due = this->now + duration_cast<Duration>(
                                      std::chrono::duration<double>(taken));
      }
    }
  }

  Instant last_gossip{};
};

}  // namespace chervilpass
