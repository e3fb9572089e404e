// core-bench: cost of decisions on hot paths as the numbers of workers,
// organisations and nodes grow (Google Benchmark).
#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include "chervilpass/admission/fair_queue.h"
#include "chervilpass/config/config_json.h"
#include "chervilpass/ledger/shard_log.h"
#include "chervilpass/membership/detector.h"
#include "chervilpass/membership/rendezvous.h"
#include "chervilpass/routing/cell_chooser.h"
#include "chervilpass/rpc/gossip_codec.h"

namespace chervilpass {
namespace {

membership::Member MakeMember(std::int64_t number) {
  membership::Member member;
  member.vm = fmt::format("entry-vm-{}", number);
  member.data_centre = "dk-sjaelland-hal-1";
  member.region = "dk-sjaelland";
  member.ip = "127.0.0.1";
  member.boot_id = 1700000000000;
  return member;
}

void ChooseCell(benchmark::State& state) {
  std::vector<routing::CellCandidate> candidates;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    candidates.push_back({static_cast<std::uint32_t>(i),
                          routing::Locality::kSameDataCentre,
                          {static_cast<std::uint32_t>(i % 7), 64},
                          false});
  }
  Random random(1);
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        routing::ChooseCell(candidates, 12345, {}, &random));
  }
}
BENCHMARK(ChooseCell)->Arg(5)->Arg(55)->Arg(275);

void FairQueueTurn(benchmark::State& state) {
  admission::FairQueue queue(1, 1000000);
  admission::TicketId id = 0;
  const auto push = [&](std::int64_t organisation) {
    admission::Ticket ticket;
    ticket.id = ++id;
    ticket.organisation = fmt::format("organisation-{}", organisation);
    ticket.deadline = Instant::max();
    queue.Push(ticket);
  };
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    push(i);
  }
  std::int64_t next = 0;
  for (auto _ : state) {
    const auto ticket = queue.Next();
    queue.Finish(ticket->organisation);
    push(next++ % state.range(0));
  }
}
BENCHMARK(FairQueueTurn)->Arg(10)->Arg(90)->Arg(360);

void RendezvousOwner(benchmark::State& state) {
  std::vector<std::string> vms;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    vms.push_back(MakeMember(i).vm);
  }
  std::uint64_t key = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(membership::RendezvousOrder(vms, ++key));
  }
}
BENCHMARK(RendezvousOwner)->Arg(9)->Arg(60)->Arg(410);

void DetectorPeriod(benchmark::State& state) {
  Instant now{};
  membership::Detector detector({}, MakeMember(0), 1, now);
  for (std::int64_t i = 1; i < state.range(0); ++i) {
    detector.AddSeed(MakeMember(i), now);
  }
  for (auto _ : state) {
    now += milliseconds(500);
    benchmark::DoNotOptimize(detector.OnTick(now));
  }
}
BENCHMARK(DetectorPeriod)->Arg(9)->Arg(90)->Arg(410);

void GossipRoundTrip(benchmark::State& state) {
  membership::GossipMessage message;
  message.from = "entry-vm-1";
  for (std::int64_t i = 0; i < 6; ++i) {
    message.members.push_back(MakeMember(i));
  }
  for (auto _ : state) {
    const std::string bytes = rpc::EncodeGossip(message);
    benchmark::DoNotOptimize(rpc::DecodeGossip(bytes));
  }
  state.counters["bytes"] =
      static_cast<double>(rpc::EncodeGossip(message).size());
}
BENCHMARK(GossipRoundTrip);

config::FleetConfig MakeFleet(std::int64_t organisations) {
  config::FleetConfig fleet;
  fleet.version = 1;
  for (std::int64_t i = 0; i < organisations; ++i) {
    const std::string name = fmt::format("organisation-{}", i);
    fleet.organisations[name] = {name, {std::string(64, 'a')}};
    for (int pipeline = 0; pipeline < 5; ++pipeline) {
      fleet.rows[{name, fmt::format("pipeline-{}", pipeline)}] = {};
    }
  }
  return fleet;
}

void DeltaOfOneRow(benchmark::State& state) {
  const config::FleetConfig older = MakeFleet(state.range(0));
  config::FleetConfig newer = older;
  newer.version = 2;
  newer.rows.begin()->second.weight = 5;
  for (auto _ : state) {
    benchmark::DoNotOptimize(config::ToJson(config::Difference(older, newer)));
  }
  state.counters["delta_bytes"] = static_cast<double>(
      config::ToJson(config::Difference(older, newer)).size());
  state.counters["whole_bytes"] =
      static_cast<double>(config::ToJson(newer).size());
}
BENCHMARK(DeltaOfOneRow)->Arg(10)->Arg(360);

void ParseWholeConfig(benchmark::State& state) {
  const std::string json = config::ToJson(MakeFleet(state.range(0)));
  for (auto _ : state) {
    benchmark::DoNotOptimize(config::ConfigFromJson(json));
  }
}
BENCHMARK(ParseWholeConfig)->Arg(10)->Arg(360);

void LedgerClaim(benchmark::State& state) {
  ledger::ShardLog log({});
  Instant now{};
  std::uint64_t version = 0;
  std::uint64_t id = 0;
  for (auto _ : state) {
    now += milliseconds(20);
    const std::string name = std::to_string(++id);
    auto actions = log.Claim({"organisation", name}, name, 1, {}, now);
    while (!actions.empty()) {
      if (std::holds_alternative<ledger::ReadSegment>(actions.front())) {
        actions =
            log.OnRead(std::get<ledger::ReadSegment>(actions.front()).index,
                       ledger::SegmentMissing{}, now);
      } else if (std::holds_alternative<ledger::WriteSegment>(
                     actions.front())) {
        actions = log.OnWrite(ledger::WriteCommitted{++version}, now);
      } else {
        break;
      }
    }
  }
}
BENCHMARK(LedgerClaim);

}  // namespace
}  // namespace chervilpass

BENCHMARK_MAIN();
