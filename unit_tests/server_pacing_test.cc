// Tests of what paced servers get from path selection, calls to plain services,
// placement and gossip.
#include <criterion/criterion.h>

#include <fmt/format.h>

#include <algorithm>

#include "chervilpass/fleet/pace_exchange.h"
#include "chervilpass/placement/paced_path.h"
#include "chervilpass/placement/planner.h"
#include "chervilpass/routing/pace_parts.h"

using namespace chervilpass;
using namespace chervilpass::placement;
using namespace chervilpass::serving;

namespace {

constexpr Instant kStart{};
const Instant kLater = kStart + seconds(20);

ModelProfile Model() {
  ModelProfile model;
  model.layers = 8;
  model.layer_mb = 10;
  model.kv_bytes_per_token = 1000;
  model.step_time = milliseconds(10);
  model.batch_limit = 100;
  model.typical_answer_tokens = 20;
  model.accelerator_kinds["k"] = {36000, 1, 1};
  return model;
}

PathCandidate Candidate(const std::string& worker, double share, bool over) {
  PathCandidate candidate;
  candidate.worker = worker;
  candidate.data_centre = "a";
  candidate.layers = {0, 8};
  candidate.kind = Model().accelerator_kinds.at("k");
  candidate.capacity_share = share;
  candidate.over_own_part = over;
  return candidate;
}

PathQuery Query() {
  PathQuery query;
  query.layers = {0, 8};
  query.from_data_centre = "a";
  query.answer_tokens = 20;
  return query;
}

// The worker of the path; empty if there is none.
std::string Chosen(const std::vector<PathCandidate>& candidates) {
  Random random(1);
  const auto found = ChoosePacedPath(Model(), candidates, Query(), {}, &random);
  return found.has_value() ? found.value().path.front().worker : "";
}

routing::ServerRecord Record(const std::string& id, bool model) {
  routing::BackendServer server;
  server.id = id;
  server.service = "orders";
  server.address = {"10.0.0.1", static_cast<std::uint16_t>(HashText(id))};
  server.data_centre = "a";
  server.slots = 4;
  if (model) {
    server.model = "m";
    server.accelerator_kind = "k";
    server.layers = {0, 8};
  }
  return {id, 1, server};
}

// One server from before the start of this VM, and one that came later.
struct PacedState {
  explicit PacedState(bool model, std::size_t vms = 88, bool pacing = true)
      : state(Settings(pacing), 1) {
    std::vector<membership::Member> members(vms);
    for (std::size_t i = 0; i < vms; ++i) {
      members[i].vm = fmt::format("vm{}", i);
    }
    this->state.Servers().ApplyChange(Record("old", model), false, kStart);
    this->state.Expire(kStart, {});
    fleet::SetPacingVms(this->state, members, kStart);
    this->state.Servers().ApplyChange(Record("new", model), false, kLater);
    this->state.Expire(kLater, {});
  }

  static RoutingStateSettings Settings(bool pacing) {
    RoutingStateSettings settings;
    settings.vm = "vm0";
    settings.data_centre = "a";
    if (pacing) {
      settings.server_pacing = routing::ServerPaceSettings();
    }
    return settings;
  }

  RoutingState state;
};

}  // namespace

Test(paced_path, a_paced_worker_is_not_used_beyond_its_share) {
  // Guards against a burst that overflows from a full worker to a cold one.
  PathCandidate full = Candidate("full", 1, false);
  full.load.sequences = 99;
  PathCandidate cold = Candidate("cold", 0.1, false);
  cold.load.sequences = 5;
  cr_assert(Chosen({full, cold}) == "cold");
  cold.load.sequences = 10;
  cr_assert(Chosen({full, cold}).empty());
  cold.load.sequences = 0;
  cold.over_own_part = true;
  cr_assert(Chosen({full, cold}).empty());
}

Test(paced_path, callers_are_served_where_only_paced_workers_hold_a_layer) {
  // Guards against refusals after a restart of all workers.
  PathCandidate cold = Candidate("cold", 0.1, true);
  cold.load.sequences = 50;
  cr_assert(Chosen({cold}) == "cold");
  // With a single slot the share of the capacity is not below 1.
  cr_assert(Chosen({Candidate("one slot", 1, true)}) == "one slot");
  PathCandidate other = Candidate("other", 1, false);
  other.layers = {0, 4};
  cr_assert(!Chosen({cold, other}).empty());
}

Test(paced_path, one_request_fits_into_any_share) {
  // Guards against a worker with few slots that is never tried.
  PathCandidate cold = Candidate(
      "cold",
      PacedCapacityShare(
          0.02, RequestSlots(Model(), Candidate("", 1, false).kind, {0, 8})),
      false);
  cr_assert(Chosen({cold, Candidate("old", 1, true)}) == "cold");
}

Test(paced_calls, the_part_of_a_vm_limits_its_calls_to_a_new_server) {
  // Guards against 88 VMs that each send one call to a server with 4 slots.
  PacedState paced(false);
  cr_assert(paced.state.PaceShareOf("old") == 1);
  cr_assert(paced.state.PaceShareOf("new") < 1);
  std::size_t sending = 0;
  for (std::size_t i = 0; i < 88; ++i) {
    RoutingStateSettings settings = PacedState::Settings(true);
    settings.vm = fmt::format("vm{}", i);
    std::vector<std::uint64_t> vms;
    for (std::size_t j = 0; j < 88; ++j) {
      vms.push_back(routing::PaceVmKey(fmt::format("vm{}", j)));
    }
    sending +=
        routing::OwnPart(routing::FleetPart(0.1, 4), 88,
                         routing::PaceRank(routing::PaceVmKey(settings.vm), vms,
                                           routing::PaceStartKey("new@0"), 0));
  }
  cr_assert(sending == 1, "%zu VMs", sending);
  paced.state.ServerLoads()["new"].local = 1;
  for (int i = 0; i < 20; ++i) {
    cr_assert(paced.state.PickServer("orders", {}, kLater)->id == "old");
  }
  cr_assert(paced.state.Pacing()->HeldBack() == 20);
  // It is used if nothing else is left.
  cr_assert(paced.state.PickServer("orders", {"old"}, kLater)->id == "new");
}

Test(paced_calls, an_ejected_server_comes_back_at_a_small_share) {
  // Guards against a recovered server that gets all its load at once.
  PacedState paced(false, 1);
  for (int i = 0; i < 3; ++i) {
    paced.state.ServerHealth().OnFailure("old", kLater);
  }
  paced.state.Expire(kLater + milliseconds(250), {});
  cr_assert(paced.state.PaceShareOf("old") ==
            routing::ServerPaceSettings().returned_share);
}

Test(paced_calls, without_the_setting_nothing_is_paced) {
  // Guards against a change of behaviour where no settings ask for it.
  PacedState paced(true, 88, false);
  cr_assert(paced.state.Pacing() == nullptr);
  cr_assert(paced.state.PaceShareOf("new") == 1);
  for (const PathCandidate& candidate :
       paced.state.PathCandidates("orders", Model(), kLater)) {
    cr_assert(candidate.capacity_share == 1 && !candidate.over_own_part);
  }
  cr_assert(fleet::CollectPaces(paced.state, kLater).empty());
}

Test(paced_streams, refusals_and_slow_events_shrink_the_share_of_a_worker) {
  // Guards against a cold worker whose streams are late.
  PacedState paced(true, 1);
  const double first = paced.state.PaceShareOf("new");
  paced.state.RecordRefusal("new", Model(), kLater + seconds(1));
  const double refused = paced.state.PaceShareOf("new");
  cr_assert(refused <= first);
  const placement::Path path = {{"new", {}, {0, 8}}};
  Instant now = kLater + seconds(2);
  for (int i = 0; i < 5; ++i) {
    StreamPaceRecorder recorder(&paced.state);
    now += milliseconds(10);
    recorder.OnRunBegun("orders", Model(), path, 0, now);
    recorder.OnRunEnded(path, true, now + milliseconds(5));
  }
  const double failed = paced.state.PaceShareOf("new");
  cr_assert(failed < refused);
  for (int i = 0; i < 40; ++i) {
    StreamPaceRecorder recorder(&paced.state);
    recorder.OnRunBegun("orders", Model(), path, 0, now);
    now += milliseconds(i % 2 == 0 ? 100 : 90);
    recorder.OnEvents(1, false, now);
    recorder.OnRunEnded(path, false, now);
  }
  cr_assert(paced.state.PaceShareOf("new") < std::min(failed, first / 2));
}

Test(paced_streams, quick_first_events_end_the_pacing_of_a_worker) {
  // Guards against a healthy worker that idles.
  PacedState paced(true, 1);
  const placement::Path path = {{"new", {}, {0, 8}}};
  Instant now = kLater;
  for (int i = 0; i < 400; ++i) {
    StreamPaceRecorder recorder(&paced.state);
    recorder.OnRunBegun("orders", Model(), path, 0, now);
    now += milliseconds(10);
    recorder.OnEvents(1, false, now);
  }
  cr_assert(paced.state.PaceShareOf("new") == 1);
  const auto notices = fleet::CollectPaces(paced.state, now);
  cr_assert(notices.size() == 1 && notices[0].share == 255);
  // Another VM takes the news over once a second VM confirms it.
  PacedState other(true);
  fleet::ApplyPaces(other.state, "vm1", notices, now);
  cr_assert(other.state.PaceShareOf("new") < 0.2);
  for (int i = 0; i < 10; ++i) {
    now += milliseconds(300);
    fleet::ApplyPaces(other.state, "vm1", notices, now);
    fleet::ApplyPaces(other.state, "vm2", notices, now);
  }
  cr_assert(other.state.PaceShareOf("new") == 1);
}

Test(paced_planner, a_paced_spare_is_the_last_choice_for_a_repair) {
  // Guards against repairs on workers that have just started, and against
  // repairs that are left out since only such are there.
  const ModelProfile model = Model();
  std::vector<PlannedWorker> workers;
  for (const char* id : {"holder", "spare1", "spare2"}) {
    PlannedWorker worker;
    worker.worker = id;
    worker.data_centre = "a";
    worker.kind = {45, 1, 1};  // four layers
    worker.layers = {0, 4};
    workers.push_back(worker);
  }
  workers[0].paced = true;
  workers[1].paced = true;
  auto orders = PlanPlacement(model, workers, {});
  cr_assert(!orders.empty() && orders[0].worker == "spare2");
  workers[2].paced = true;
  cr_assert(!PlanPlacement(model, workers, {}).empty());
}
