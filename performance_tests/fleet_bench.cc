// fleet-bench: cost of path selection, of a planner round, of load datagrams
// and of walks over workers and members, by the size of the fleet (Google
// Benchmark). Arguments: workers and VMs, both in three data centres.
#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <array>

#include "chervilpass/fleet/load_gossip_schedule.h"
#include "chervilpass/fleet/relays.h"
#include "chervilpass/placement/planner.h"
#include "chervilpass/rpc/gossip_codec.h"
#include "chervilpass/serving/routing_state.h"

namespace chervilpass {
namespace {

constexpr int kDataCentres = 3;
constexpr int kWorkersUsedByPeer = 200;  // with requests in flight
constexpr Instant kStart{seconds(1000)};

std::string DataCentre(int number) {
  return fmt::format("dk-sjaelland-hal-{}", number % kDataCentres);
}

placement::ModelProfile Model() {
  placement::ModelProfile model;
  model.layers = 80;
  model.layer_mb = 1750;
  model.kv_bytes_per_token = 426000;
  model.step_time = microseconds(850);
  model.step_per_sequence = microseconds(3);
  model.step_per_1000_context_tokens = microseconds(4);
  model.prefill_tokens_per_second = 272000;
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

std::vector<placement::PlannedWorker> EmptyWorkers(int count) {
  const placement::ModelProfile model = Model();
  const std::array<const char*, 5> kinds = {"large", "middle", "small",
                                            "middle", "small"};
  std::vector<placement::PlannedWorker> workers;
  for (int i = 0; i < count; ++i) {
    placement::PlannedWorker worker;
    worker.worker = fmt::format("worker-instance-{:05}", i);
    worker.data_centre = DataCentre(i);
    worker.kind = model.accelerator_kinds.at(
        kinds[static_cast<std::size_t>(i / kDataCentres) % kinds.size()]);
    workers.push_back(worker);
  }
  return workers;
}

// Workers with the layers that the planner gives them.
std::vector<placement::PlannedWorker> PlacedWorkers(int count) {
  const placement::ModelProfile model = Model();
  auto workers = EmptyWorkers(count);
  std::map<std::string, placement::LayerRange> layers;
  for (const auto& order : placement::PlanPlacement(model, workers, {})) {
    layers[order.worker] = order.layers;
  }
  for (placement::PlannedWorker& worker : workers) {
    worker.layers = layers[worker.worker];
  }
  return workers;
}

std::vector<membership::Member> Members(int count) {
  std::vector<membership::Member> members;
  for (int i = 0; i < count; ++i) {
    membership::Member member;
    member.vm = fmt::format("127.3.{}.{}", i / 200, 10 + i % 200);
    member.data_centre = DataCentre(i);
    member.region = "dk-sjaelland";
    member.ip = member.vm;
    member.boot_id = 1700000000000;
    member.status = membership::Status::kAlive;
    member.store_up = true;
    member.entry_up = true;
    members.push_back(member);
  }
  return members;
}

void FillRegistry(int workers, routing::ServerRegistry* servers) {
  const placement::ModelProfile model = Model();
  std::uint64_t revision = 0;
  for (const placement::PlannedWorker& worker : PlacedWorkers(workers)) {
    routing::BackendServer server;
    server.id = worker.worker;
    server.service = "app";
    server.address = {
        fmt::format("127.9.{}.{}", revision / 200, 10 + revision % 200), 8000};
    server.data_centre = worker.data_centre;
    server.slots = 192;
    server.model = "model";
    for (const auto& [name, kind] : model.accelerator_kinds) {
      if (kind == worker.kind) {
        server.accelerator_kind = name;
      }
    }
    server.layers = worker.layers;
    servers->ApplyChange({server.id, ++revision, server}, false, kStart);
  }
}

placement::LoadsByKey PeerLoads(int workers, int peer) {
  placement::LoadsByKey loads;
  for (int i = 0; i < std::min(kWorkersUsedByPeer, workers / 3); ++i) {
    const int number = (peer * 37 + i) * kDataCentres % workers;
    loads[placement::WorkerKey(fmt::format("worker-instance-{:05}", number))] =
        {1 + i % 3 * 1.0, 0, 9000.0 + i};
  }
  return loads;
}

std::unique_ptr<serving::RoutingState> MakeRoutingState(int workers, int vms) {
  serving::RoutingStateSettings settings;
  settings.vm = "127.3.0.10";
  settings.data_centre = DataCentre(0);
  auto routing_state = std::make_unique<serving::RoutingState>(settings, 1);
  FillRegistry(workers, &routing_state->Servers());
  placement::LoadTracker& loads = routing_state->Loads();
  const int peers = vms / kDataCentres - 1;
  loads.SetDataCentrePeerCount(static_cast<std::size_t>(peers));
  for (int peer = 0; peer < peers; ++peer) {
    loads.OnPeerLoads(fmt::format("127.3.0.{}", 11 + peer),
                      PeerLoads(workers, peer), kStart);
  }
  loads.OnDataCentreLoads(DataCentre(1), PeerLoads(workers, 1), kStart);
  loads.OnDataCentreLoads(DataCentre(2), PeerLoads(workers, 2), kStart);
  return routing_state;
}

int Workers(const benchmark::State& state) {
  return static_cast<int>(state.range(0));
}

int Vms(const benchmark::State& state) {
  return static_cast<int>(state.range(1));
}

void Sizes(benchmark::internal::Benchmark* cases) {
  cases->Args({100, 30})->Args({300, 100})->Args({1000, 100});
  cases->Args({3000, 300})->Unit(benchmark::kMicrosecond);
}

placement::PathQuery Query() {
  placement::PathQuery query;
  query.layers = {0, 80};
  query.from_data_centre = DataCentre(0);
  query.prompt_tokens = 800;
  query.answer_tokens = 150;
  return query;
}

void PathCandidates(benchmark::State& state) {
  const auto routing_state = MakeRoutingState(Workers(state), Vms(state));
  const placement::ModelProfile model = Model();
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        routing_state->PathCandidates("app", model, kStart));
  }
}
BENCHMARK(PathCandidates)->Apply(Sizes);

void FindPath(benchmark::State& state) {
  const auto routing_state = MakeRoutingState(Workers(state), Vms(state));
  const placement::ModelProfile model = Model();
  const placement::PathQuery query = Query();
  Duration cost{0};
  int found = 0;
  for (auto _ : state) {
    const auto path = routing_state->FindPath("app", model, query, kStart);
    if (path.has_value()) {
      cost += path.value().cost;
      ++found;
    }
  }
  state.counters["path_ms"] =
      found == 0 ? 0 : ToSeconds(cost) * 1000 / static_cast<double>(found);
}
BENCHMARK(FindPath)->Apply(Sizes);

// Each path is chosen after a peer's loads have arrived, as in a busy fleet.
void FindPathAfterLoads(benchmark::State& state) {
  const auto routing_state = MakeRoutingState(Workers(state), Vms(state));
  const placement::ModelProfile model = Model();
  const placement::PathQuery query = Query();
  int peer = 0;
  for (auto _ : state) {
    peer = (peer + 1) % (Vms(state) / kDataCentres - 1);
    routing_state->Loads().OnPeerLoads(fmt::format("127.3.0.{}", 11 + peer),
                                       PeerLoads(Workers(state), peer), kStart);
    benchmark::DoNotOptimize(
        routing_state->FindPath("app", model, query, kStart));
  }
}
BENCHMARK(FindPathAfterLoads)->Apply(Sizes);

void PlanInCalm(benchmark::State& state) {
  const placement::ModelProfile model = Model();
  const auto workers = PlacedWorkers(Workers(state));
  std::size_t orders = 0;
  for (auto _ : state) {
    orders = placement::PlanPlacement(model, workers, {}).size();
  }
  state.counters["orders"] = static_cast<double>(orders);
}
BENCHMARK(PlanInCalm)->Apply(Sizes);

// A twentieth of the workers does not respond.
void PlanAfterLosses(benchmark::State& state) {
  const placement::ModelProfile model = Model();
  auto workers = PlacedWorkers(Workers(state));
  for (std::size_t i = 0; i < workers.size(); i += 20) {
    workers[i].usable = false;
  }
  std::size_t orders = 0;
  for (auto _ : state) {
    orders = placement::PlanPlacement(model, workers, {}).size();
  }
  state.counters["orders"] = static_cast<double>(orders);
}
BENCHMARK(PlanAfterLosses)->Apply(Sizes);

void DataCentreTotals(benchmark::State& state) {
  const auto routing_state = MakeRoutingState(Workers(state), Vms(state));
  for (auto _ : state) {
    benchmark::DoNotOptimize(routing_state->Loads().DataCentreTotals(kStart));
  }
}
BENCHMARK(DataCentreTotals)->Apply(Sizes);

void EncodeDataCentreTotals(benchmark::State& state) {
  const auto routing_state = MakeRoutingState(Workers(state), Vms(state));
  std::size_t bytes = 0;
  for (auto _ : state) {
    membership::GossipMessage message;
    message.kind = membership::MessageKind::kLoads;
    message.from = "127.3.0.10";
    message.loads_of_data_centre = true;
    for (const auto& [worker, load] :
         routing_state->Loads().DataCentreTotals(kStart)) {
      message.loads.push_back(
          {worker, static_cast<std::uint16_t>(load.sequences),
           static_cast<std::uint32_t>(load.kv_token_layers / 1000)});
    }
    bytes = rpc::EncodeGossip(message).size();
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(EncodeDataCentreTotals)->Apply(Sizes);

void UsableServers(benchmark::State& state) {
  routing::ServerRegistry servers{routing::ServerRegistrySettings{}};
  FillRegistry(Workers(state), &servers);
  for (auto _ : state) {
    benchmark::DoNotOptimize(servers.Usable("app"));
  }
}
BENCHMARK(UsableServers)->Apply(Sizes);

void IsRelay(benchmark::State& state) {
  const auto members = Members(Vms(state));
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        fleet::IsRelay(members, members.back().vm, fleet::FleetPhase::kSteady));
  }
}
BENCHMARK(IsRelay)->Apply(Sizes);

void RelaysFor(benchmark::State& state) {
  const auto members = Members(Vms(state));
  for (auto _ : state) {
    benchmark::DoNotOptimize(fleet::RelaysFor(members, members.back().vm));
  }
}
BENCHMARK(RelaysFor)->Apply(Sizes);

void LoadGossipRound(benchmark::State& state) {
  const auto members = Members(Vms(state));
  fleet::LoadGossipSchedule schedule({}, 7);
  for (auto _ : state) {
    benchmark::DoNotOptimize(schedule.Next(members, members.front(), 1200));
  }
}
BENCHMARK(LoadGossipRound)->Apply(Sizes);

}  // namespace
}  // namespace chervilpass

BENCHMARK_MAIN();
