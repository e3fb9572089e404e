// Tests of the selection of paths by objective.
#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>

#include "chervilpass/serving/routing_state.h"

using namespace chervilpass;
using namespace chervilpass::placement;

namespace {

using Found = Result<ChosenPath, NoPathReason>;

const Instant kStart{seconds(1000)};
constexpr LayerRange kAllLayers{0, 80};

ModelProfile Model() {
  ModelProfile model;
  model.layers = 80;
  model.kv_bytes_per_token = 426000;
  model.step_time = microseconds(850);
  model.step_per_sequence = microseconds(3);
  model.step_per_1000_context_tokens = microseconds(4);
  model.prefill_tokens_per_second = 272000;
  model.prefill_chunk_tokens = 512;
  model.steps_per_pass = 3;
  model.batch_limit = 192;
  model.typical_prompt_tokens = 772;
  model.typical_answer_tokens = 145;
  model.accelerator_kinds["fast"] = {200000, 3.1, 3.2};
  model.accelerator_kinds["slow"] = {200000, 15, 15};
  return model;
}

PathCandidate Worker(const std::string& kind, double sequences) {
  return {kind,
          {},
          "a",
          kAllLayers,
          Model().accelerator_kinds.at(kind),
          1,
          {sequences, 850 * sequences, 850 * 80 * sequences}};
}

PathQuery Query(double prompt_tokens, Duration left) {
  PathQuery query;
  query.layers = kAllLayers;
  query.from_data_centre = "a";
  query.prompt_tokens = prompt_tokens;
  query.answer_tokens = 145;
  query.objective = {left, milliseconds(250)};
  return query;
}

// The choice between a fast and a slow worker with these requests.
ObjectiveChoice Choose(double fast, double slow, const PathQuery& query) {
  const ModelProfile model = Model();
  const std::vector<PathCandidate> workers = {Worker("fast", fast),
                                              Worker("slow", slow)};
  const auto search = [&](const PathQuery& wanted) {
    Random random(1);
    return ChoosePath(model, workers, wanted, {}, &random);
  };
  return ChooseByObjective(search(query).value(), query, {}, search);
}

serving::RoutingState State(bool by_objective) {
  serving::RoutingStateSettings settings;
  settings.data_centre = "a";
  if (by_objective) {
    settings.objective_paths = ObjectiveCostSettings();
  }
  serving::RoutingState state(settings, 1);
  for (std::uint64_t i = 0; i < 11; ++i) {
    routing::BackendServer server;
    server.id = fmt::format("w{}", i);
    server.service = "app";
    server.address = {fmt::format("127.0.0.{}", i + 1), 8000};
    server.data_centre = "a";
    server.slots = 192;
    server.model = "m";
    server.accelerator_kind = i < 3 ? "fast" : "slow";
    server.layers = kAllLayers;
    state.Servers().ApplyChange({server.id, i + 1, server}, false, kStart);
  }
  return state;
}

struct LateStreams {
  int urgent = 0;
  int large = 0;  // of the urgent ones
  int relaxed = 0;
};

// Streams of several kinds, whose times follow the load when they begin.
LateStreams Serve(bool by_objective, int per_second) {
  auto state = State(by_objective);
  Random random(7);
  std::vector<std::pair<Instant, Path>> running;  // until
  LateStreams late;
  for (int i = 0; i < 20 * per_second; ++i) {
    const Instant now = kStart + i * Duration(seconds(1)) / per_second;
    std::erase_if(running, [&](const auto& stream) {
      if (stream.first <= now) {
        state.Loads().Remove(stream.second, 850);
      }
      return stream.first <= now;
    });
    const bool relaxed = random.Below(3) == 0;
    const bool large = random.Below(10) == 0;
    const Duration objective = milliseconds(relaxed ? 1000 : 500);
    const auto found = state.FindPathByObjective(
        "app", Model(), Query(large ? 1700 : 650, objective), now);
    cr_assert(found.has_value());
    const auto& [path, cost, times] = found.value().chosen;
    running.emplace_back(now + times.first_event + 48 * times.event_interval,
                         path);
    state.Loads().Add(path, 850);
    const bool is_late = times.first_event > objective;
    late.urgent += is_late && !relaxed;
    late.large += is_late && !relaxed && large;
    late.relaxed += is_late && relaxed;
  }
  return late;
}

}  // namespace

// Load: a busy fast worker, which requests with time to spare occupied.
Test(objective_cost, a_request_with_time_to_spare_leaves_the_fast_worker) {
  const auto choice = Choose(60, 2, Query(500, seconds(1)));
  cr_assert(choice.decision.fit == ObjectiveFit::kTimeToSpare);
  cr_assert(choice.decision.changed && choice.chosen.path[0].worker == "slow");
  cr_assert_leq(choice.decision.used.first_event, milliseconds(500));
  cr_assert(
      Choose(60, 2, Query(500, milliseconds(160))).chosen.path[0].worker ==
      "fast");
  // Nobody waits for an idle one.
  cr_assert(Choose(0, 0, Query(500, seconds(9))).chosen.path[0].worker ==
            "fast");
}

// Load: large prompts where fast workers are fuller. The cheapest path, which
// counts the whole stream and the delay of others, began too late.
Test(objective_cost, a_request_that_would_be_late_gets_the_earliest_event) {
  PathQuery query = Query(1600, milliseconds(320));
  query.added_delay_weight = 2;
  const auto choice = Choose(100, 5, query);
  cr_assert(choice.decision.fit == ObjectiveFit::kMissed);
  cr_assert(choice.decision.changed);
  cr_assert_lt(choice.decision.used.first_event,
               choice.decision.cheapest.first_event);
}

// Guards against refusals and worse paths for requests that are late already,
// that have no time to spare, or for which the further search finds nothing.
Test(objective_cost, the_cheapest_path_is_used_where_nothing_is_better) {
  const ChosenPath cheapest{{{"w", {}, kAllLayers}},
                            seconds(1),
                            {milliseconds(300), milliseconds(20)}};
  ChosenPath other = cheapest;
  other.path[0].worker = "v";
  const auto stays = [&](std::int64_t left_ms, const Found& found) {
    int searches = 0;
    const auto choice = ChooseByObjective(
        cheapest, Query(700, milliseconds(left_ms)), {}, [&](const auto&) {
          ++searches;
          return found;
        });
    cr_assert(choice.chosen == cheapest && !choice.decision.changed);
    return searches;
  };
  cr_assert(stays(-1, other) == 0 && stays(0, other) == 0);
  cr_assert(stays(500, other) == 0);
  cr_assert_eq(stays(2000, NoPathReason::kNoCapacity), 1);
  cr_assert_eq(stays(310, other), 1);
  // Pauses over their objective make a stream late as well.
  other.times = {milliseconds(200), milliseconds(260)};
  cr_assert(stays(310, other) == 1 && stays(2000, other) == 1);
}

// Load: kinds of streams that share workers near their capacity. Large prompts
// and urgent kinds were late most often.
Test(objective_cost, fewer_urgent_streams_are_late_in_a_mixed_load) {
  LateStreams before;
  LateStreams after;
  for (const int per_second : {120, 240, 245}) {
    before = Serve(false, per_second);
    after = Serve(true, per_second);
    fmt::print(stderr, "{}/s: late {}, large {}, relaxed {}; then {}, {}, {}\n",
               per_second, before.urgent, before.large, before.relaxed,
               after.urgent, after.large, after.relaxed);
    cr_assert(after.urgent <= before.urgent && after.large <= before.large &&
              after.relaxed <= before.relaxed);
  }
  cr_assert_lt(2 * after.urgent, before.urgent);
}

// Guards against another choice while the setting is off: an objective changes
// neither the path nor the random state.
Test(objective_cost, with_the_setting_off_each_choice_is_as_before) {
  const ModelProfile model = Model();
  auto state = State(false);
  Random random(1);
  for (int i = 0; i < 300; ++i) {
    const PathQuery query = Query(100 + 4 * i, milliseconds(2 * i));
    const auto candidates = state.PathCandidates("app", model, kStart);
    const auto expected = ChoosePath(model, candidates, query, {}, &random);
    const auto found = state.FindPathByObjective("app", model, query, kStart);
    cr_assert(found.value().chosen == expected.value());
    cr_assert(found.value().decision == ObjectiveDecision());
    state.Loads().Add(expected.value().path, 900);
  }
  cr_assert_eq(random.Next(), state.Rng().Next());
}
