// Tests of the router's decisions: routes, retries, event streams, the registry
// of backend servers, cooldowns and the routing state.
#include <criterion/criterion.h>

#include <fmt/format.h>

#include "chervilpass/core/random.h"
#include "chervilpass/routing/cooldown_tracker.h"
#include "chervilpass/routing/route_table.h"
#include "chervilpass/routing/server_registry.h"
#include "chervilpass/serving/event_stream.h"
#include "chervilpass/serving/retry_policy.h"
#include "chervilpass/serving/routing_state.h"
#include "chervilpass/serving/run_time_estimator.h"
#include "chervilpass/serving/shutdown_gate.h"

using namespace chervilpass;
using namespace chervilpass::routing;
using namespace chervilpass::serving;

namespace {

Route RouteOf(RouteKind kind, std::uint32_t attempts, bool resumable = false) {
  Route route;
  route.kind = kind;
  route.attempts = attempts;
  route.resumable = resumable;
  return route;
}

BackendServer Server(const std::string& id, std::uint16_t port) {
  BackendServer server;
  server.id = id;
  server.service = "orders";
  server.address = {"10.0.0.1", port};
  server.data_centre = "a";
  server.slots = 4;
  return server;
}

ServerRecord Record(const std::string& id,
                    std::uint64_t revision,
                    std::uint16_t port) {
  return {id, revision, Server(id, port)};
}

constexpr Instant kStart{};

}  // namespace

Test(route_table, the_longest_matching_path_prefix_wins) {
  RouteTableData data;
  for (const char* prefix : {"/a/", "/a/b/", "/"}) {
    Route route;
    route.name = prefix;
    route.host = "h";
    route.path_prefix = prefix;
    data.routes.push_back(route);
  }
  const auto table = RouteTable::Create(data);
  cr_assert((table->Find("h", "/a/b/c")->name) == "/a/b/");
  cr_assert((table->Find("h", "/a/bc")->name) == "/a/");
  cr_assert((table->Find("h", "/x")->name) == "/");
  cr_assert_null(table->Find("other", "/a/"));
}

Test(route_table, services_are_picked_by_weight_and_never_with_weight_zero) {
  Route route;
  route.shares = {{"x", 90}, {"none", 0}, {"y", 10}};
  cr_assert(route.PickService(0) == "x");
  cr_assert(route.PickService(0.899) == "x");
  cr_assert(route.PickService(0.901) == "y");
  cr_assert(route.PickService(0.999999) == "y");
  Random random(3);
  for (int i = 0; i < 1000; ++i) {
    cr_assert(route.PickService(random.Unit()) != "none");
  }
  route.shares = {{"x", 0}};
  cr_assert(route.PickService(0.5).empty());
}

Test(route_table, keys_identify_their_organisation) {
  RouteTableData data;
  data.organisations = {{"one", {"k1", "k2"}, 1}, {"two", {"k3"}, {}}};
  const auto table = RouteTable::Create(data);
  cr_assert((table->OrganisationOf("k2")->name) == "one");
  cr_assert((table->OrganisationOf("k3")->name) == "two");
  cr_assert_null(table->OrganisationOf("k4"));
  cr_assert_null(table->OrganisationOf(""));
}

// Every sequence of four outcomes, for every kind of route: a request that may
// not be repeated is never retried after a send that may have run, and a
// refusal states "not run" only if no send can have run.
Test(retry_policy, every_sequence_of_outcomes_keeps_the_invariants) {
  const SendOutcome all[] = {SendOutcome::kNotSent, SendOutcome::kNotExecuted,
                             SendOutcome::kFailed, SendOutcome::kUnknown};
  const Route routes[] = {RouteOf(RouteKind::kNonIdempotent, 1),
                          RouteOf(RouteKind::kNonIdempotent, 3),
                          RouteOf(RouteKind::kIdempotent, 2),
                          RouteOf(RouteKind::kStream, 2, true),
                          RouteOf(RouteKind::kStream, 2, false)};
  for (const Route& route : routes) {
    for (int code = 0; code < 4 * 4 * 4 * 4; ++code) {
      for (const bool budget : {false, true}) {
        RetryPolicy policy({}, route);
        std::uint32_t may_have_run = 0;
        for (int step = 0, rest = code; step < 4; ++step, rest /= 4) {
          const SendOutcome outcome = all[rest % 4];
          const bool ran = outcome == SendOutcome::kFailed ||
                           outcome == SendOutcome::kUnknown;
          may_have_run += ran ? 1 : 0;
          const RetryDecision decision = policy.OnSendEnded(
              outcome, seconds(1), [budget] { return budget; });
          cr_assert_leq(may_have_run, route.attempts);
          if (decision == RetryDecision::kRetry) {
            cr_assert(may_have_run == 0 || route.MayRepeat());
            cr_assert(may_have_run < route.attempts);
            continue;
          }
          cr_assert(decision != RetryDecision::kRefuse || may_have_run == 0);
          cr_assert(decision != RetryDecision::kFail || may_have_run > 0);
          cr_assert((policy.Executed() == admission::Executed::kNo) ==
                    (may_have_run == 0));
          break;
        }
      }
    }
  }
}

Test(retry_policy, there_is_no_retry_without_time_or_budget) {
  const Route route = RouteOf(RouteKind::kIdempotent, 2);
  RetryPolicy out_of_time({}, route);
  cr_assert(out_of_time.OnSendEnded(SendOutcome::kUnknown, milliseconds(1), [] {
    return true;
  }) == RetryDecision::kFail);
  RetryPolicy out_of_budget({}, route);
  cr_assert(out_of_budget.OnSendEnded(SendOutcome::kNotExecuted, seconds(1),
                                      [] { return false; }) ==
            RetryDecision::kRefuse);
  // A request that was never sent does not count as a retry: no budget needed.
  RetryPolicy unsent({}, route);
  cr_assert(unsent.OnSendEnded(SendOutcome::kNotSent, seconds(1),
                               [] { return false; }) == RetryDecision::kRetry);
}

Test(event_stream, events_are_complete_for_any_split_of_the_bytes) {
  const std::string bytes =
      "id: 1\ndata: a\n\n: comment\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda";
  for (std::size_t size = 1; size <= bytes.size(); ++size) {
    EventSplitter splitter("version");
    std::string out;
    std::vector<std::uint64_t> ids;
    for (std::size_t at = 0; at < bytes.size(); at += size) {
      splitter.Feed(std::string_view(bytes).substr(at, size));
      while (const auto event = splitter.Next()) {
        out += event->bytes;
        if (event->id) {
          ids.push_back(*event->id);
        }
      }
    }
    cr_assert(out == bytes.substr(0, bytes.size() - 8), "pieces of %zu", size);
    cr_assert(ids == std::vector<std::uint64_t>({1, 2}));
    cr_assert(splitter.HasPartial());
  }
}

Test(event_stream, gaps_and_repetitions_of_ids_are_detected) {
  const auto event = [](std::optional<std::uint64_t> id) {
    return StreamEvent{"", id};
  };
  EventSequence fresh(std::nullopt);
  cr_assert(fresh.Accept(event(5)) == EventOrder::kNext);
  cr_assert(fresh.Accept(event(6)) == EventOrder::kNext);
  cr_assert(fresh.Accept(event(6)) == EventOrder::kRepeated);
  cr_assert(fresh.Accept(event(8)) == EventOrder::kGap);
  cr_assert(fresh.Accept(event(7)) == EventOrder::kNext);
  cr_assert(fresh.Accept(event(std::nullopt)) == EventOrder::kUnnumbered);
  EventSequence resumed(12);
  cr_assert(resumed.Accept(event(14)) == EventOrder::kGap);
  cr_assert(resumed.Accept(event(13)) == EventOrder::kNext);
}

namespace {

EventOrder OrderOf(const std::string& bytes,
                   std::optional<std::uint64_t> last) {
  EventSplitter splitter("version");
  splitter.Feed(bytes);
  const auto event = splitter.Next();
  cr_assert(event.has_value());
  return EventSequence(last).Accept(*event);
}

}  // namespace

Test(event_stream, only_events_belong_to_a_stream) {
  for (const std::string event :
       {"id: 8\ndata: x\n\n", "version: 3\nid: 8\ndata: x\ndata: y\n\n",
        "event: token\r\nid:8\r\n: comment\r\ndata\r\n\r\n"}) {
    cr_assert(OrderOf(event, 7) == EventOrder::kNext, "%s", event.c_str());
  }
  for (const std::string event : {": alive\n\n", "retry: 100\n\n"}) {
    cr_assert(OrderOf(event, 7) == EventOrder::kUnnumbered, "%s",
              event.c_str());
  }
  // A stream without ids.
  cr_assert(OrderOf("data: x\n\n", std::nullopt) == EventOrder::kUnnumbered);
  for (const std::string bytes :
       {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        "{\"error\": \"failed\"}\n\n", "data: failed\n\n", "id: x\ndata: y\n\n",
        "id: 8\ndata: x\nHTTP/1.1 500 Error\n\n",
        "id: 8\ndata: x\ncontent-length: 5\n\n"}) {
    cr_assert(OrderOf(bytes, 7) == EventOrder::kForeign, "%s", bytes.c_str());
  }
}

Test(server_registry, an_older_record_never_replaces_a_newer_one) {
  ServerRegistry registry{ServerRegistrySettings{}};
  registry.ApplyChange(Record("s", 10, 80), false, kStart);
  ServerRecord leaving = Record("s", 12, 80);
  leaving.server->leaving = true;
  registry.ApplyChange(leaving, false, kStart);
  registry.ApplyChange(Record("s", 11, 80), false, kStart);
  cr_assert(registry.Find("s")->leaving);
  registry.ApplyListing({Record("s", 10, 80)}, 11, kStart);
  cr_assert(registry.Find("s")->leaving);
  registry.ApplyChange({"s", 13, std::nullopt}, true, kStart);
  registry.ApplyChange(Record("s", 12, 80), false, kStart);
  cr_assert_null(registry.Find("s"));
  registry.ApplyChange(Record("s", 14, 80), false, kStart);
  cr_assert_not_null(registry.Find("s"));
}

Test(server_registry, an_unreadable_record_removes_only_its_server) {
  ServerRegistry registry{ServerRegistrySettings{}};
  registry.ApplyListing({Record("good", 1, 80), Record("bad", 2, 81)}, 3,
                        kStart);
  registry.ApplyChange({"bad", 4, std::nullopt}, false, kStart);
  cr_assert_null(registry.Find("bad"));
  cr_assert_null(registry.FindByAddress({"10.0.0.1", 81}));
  cr_assert_not_null(registry.Find("good"));
}

Test(server_registry, a_reused_address_belongs_to_the_newer_server) {
  ServerRegistry registry{ServerRegistrySettings{}};
  registry.ApplyChange(Record("old", 5, 80), false, kStart);
  registry.ApplyChange(Record("new", 9, 80), false, kStart);
  cr_assert_null(registry.Find("old"));
  cr_assert((registry.FindByAddress({"10.0.0.1", 80})->id) == "new");
  // A late change of the old server does not give the address back to it.
  registry.ApplyChange(Record("old", 6, 80), false, kStart);
  cr_assert((registry.FindByAddress({"10.0.0.1", 80})->id) == "new");
}

Test(server_registry, registrations_expired_in_an_outage_have_a_grace_period) {
  ServerRegistry registry{ServerRegistrySettings{}};
  registry.ApplyListing({Record("a", 1, 80), Record("b", 2, 81)}, 3, kStart);
  registry.OnStoreRegained(kStart + seconds(10));
  registry.ApplyListing({}, 5, kStart + seconds(10));
  cr_assert_eq(registry.Usable("orders").size(), 2);
  registry.ApplyChange(Record("a", 6, 80), false, kStart + seconds(11));
  registry.Expire(kStart + seconds(13));
  cr_assert_not_null(registry.Find("a"));
  cr_assert_null(registry.Find("b"));
  // Without an outage a removal takes effect at once.
  registry.ApplyChange({"a", 7, std::nullopt}, true, kStart + seconds(20));
  cr_assert_null(registry.Find("a"));
}

// Guards against requests that find out, late, that a worker is still gone: on
// a fleet of 88 VMs each VM sent some to a silent worker after each cooldown.
Test(cooldown_tracker, lost_worker_has_to_answer_a_probe_before_its_return) {
  CooldownTrackerSettings settings;
  settings.proof_time = milliseconds(500);
  CooldownTracker tracker{settings};
  const Instant start{seconds(10)};
  tracker.StartCooldown("w", CooldownReason::kUnreachable, start);
  tracker.StartCooldown("suspect", CooldownReason::kSuspected, start);
  tracker.StartCooldown("full", CooldownReason::kFull, start);
  const Instant after = start + settings.unreachable_cooldown;
  cr_assert(tracker.ToProve(start).empty());
  cr_assert_eq(tracker.ToProve(after).size(), 2);
  cr_assert(tracker.InCooldown("w", after));
  cr_assert_not(tracker.InCooldown("full", after));
  tracker.ClearUnreachable("w");
  cr_assert_not(tracker.InCooldown("w", after));
  // Without an answer or a new cooldown it is not left out for ever.
  cr_assert_not(tracker.InCooldown("suspect", after + settings.proof_time));
}

Test(cooldown_tracker, the_unreachable_cooldown_grows_with_each_repetition) {
  CooldownTracker tracker{CooldownTrackerSettings{}};
  cr_assert(tracker.StartCooldown("w", CooldownReason::kUnreachable, kStart));
  cr_assert(!tracker.StartCooldown("w", CooldownReason::kUnreachable, kStart));
  cr_assert(tracker.IsUnreachable("w", kStart + milliseconds(1400)));
  cr_assert(!tracker.IsUnreachable("w", kStart + seconds(4)));
  cr_assert(tracker.StartCooldown("w", CooldownReason::kUnreachable,
                                  kStart + seconds(4)));
  cr_assert(
      tracker.IsUnreachable("w", kStart + seconds(4) + milliseconds(2900)));
  cr_assert(tracker.StartCooldown("v", CooldownReason::kFull, kStart));
  cr_assert(tracker.InCooldown("v", kStart));
  cr_assert(!tracker.IsUnreachable("v", kStart));
  tracker.ClearUnreachable("w");
  cr_assert(!tracker.InCooldown("w", kStart + seconds(4)));
}

// Guards against inc-6f28 (second site): workers that were giving up layers
// refused for seconds and were retried every 250 ms.
Test(cooldown_tracker, the_full_cooldown_grows_while_a_worker_keeps_refusing) {
  CooldownTracker tracker{CooldownTrackerSettings{}};
  int attempts = 0;
  for (Instant now = kStart; now < kStart + seconds(8);
       now += milliseconds(10)) {
    if (!tracker.InCooldown("w", now)) {
      ++attempts;
      tracker.StartCooldown("w", CooldownReason::kFull, now);
      // Older requests still complete there.
      tracker.ClearUnreachable("w");
    }
  }
  cr_assert_leq(attempts, 8, "%d tries", attempts);
  cr_assert(!tracker.IsUnreachable("w", kStart + seconds(8)));
}

Test(cooldown_tracker, refusals_are_cleared_when_a_worker_changes_layers) {
  CooldownTracker tracker{CooldownTrackerSettings{}};
  tracker.StartCooldown("w", CooldownReason::kFull, kStart);
  cr_assert(!tracker.RefusedRepeatedly("w"));
  tracker.StartCooldown("w", CooldownReason::kFull, kStart + milliseconds(300));
  cr_assert(tracker.RefusedRepeatedly("w"));
  tracker.StartCooldown("w", CooldownReason::kRefusing,
                        kStart + milliseconds(300));
  cr_assert(tracker.IsRefusing("w", kStart + milliseconds(1200)));
  // A worker that a peer reported as refusing is in cooldown, not unreachable.
  cr_assert(tracker.InCooldown("w", kStart + milliseconds(1200)));
  cr_assert(!tracker.IsUnreachable("w", kStart + milliseconds(1200)));
  tracker.ClearRefusals("w");
  cr_assert(!tracker.InCooldown("w", kStart + milliseconds(400)));
  cr_assert(!tracker.RefusedRepeatedly("w"));
}

// Guards against a record that hides that a server has said it leaves, and
// against a later start that counts as leaving too.
Test(server_registry, a_server_that_says_it_leaves_is_leaving) {
  ServerRegistry registry{ServerRegistrySettings{}};
  ServerRecord record = Record("s", 10, 80);
  record.server->started = {1000};
  registry.ApplyChange(record, false, kStart);
  const std::uint64_t generation = registry.Generation();
  cr_assert(!registry.MarkLeaving("s", {999}));
  cr_assert(registry.MarkLeaving("t", {1000}));
  cr_assert(!registry.MarkLeaving("t", {1000}));
  cr_assert(registry.IsLeaving("t") && !registry.IsLeaving("s"));
  cr_assert_eq(registry.Usable("orders").size(), 1);
  cr_assert_eq(registry.Generation(), generation);
  cr_assert(registry.MarkLeaving("s", {1000}));
  cr_assert(!registry.MarkLeaving("s", {1000}));
  cr_assert_gt(registry.Generation(), generation);
  cr_assert(registry.Usable("orders").empty() && registry.Find("s")->leaving);
  // The store says ready again, in a listing and after a removal.
  record.revision = 11;
  record.server->slots = 9;
  registry.ApplyChange(record, false, kStart);
  cr_assert(registry.Usable("orders").empty());
  cr_assert_eq(registry.Find("s")->slots, 9);
  registry.ApplyListing({record}, 12, kStart);
  cr_assert(registry.Usable("orders").empty());
  registry.ApplyChange({"s", 13, std::nullopt}, true, kStart);
  cr_assert_null(registry.Find("s"));
  record.revision = 14;
  registry.ApplyChange(record, false, kStart);
  cr_assert(registry.Usable("orders").empty());
  // Another start of it, and then again one that leaves.
  record.revision = 15;
  record.server->started = {2000};
  registry.ApplyChange(record, false, kStart);
  cr_assert_eq(registry.Usable("orders").size(), 1);
  cr_assert(!registry.MarkLeaving("s", {1000}));
  cr_assert_eq(registry.Usable("orders").size(), 1);
  cr_assert(registry.MarkLeaving("s", {2000}));
  cr_assert(registry.Usable("orders").empty());
}

// Guards against a registration that an outage of the store keeps although its
// server has said that it leaves.
Test(server_registry, the_grace_period_does_not_keep_a_leaving_server) {
  ServerRegistry registry{ServerRegistrySettings{}};
  registry.ApplyListing({Record("a", 1, 80), Record("b", 2, 81)}, 3, kStart);
  cr_assert(registry.MarkLeaving("a", {}));
  registry.OnStoreRegained(kStart);
  registry.ApplyListing({}, 5, kStart);
  cr_assert_null(registry.Find("a"));
  cr_assert_not_null(registry.Find("b"));
}

Test(routing_state, an_older_configuration_is_not_applied) {
  RoutingState routing_state({}, 1);
  RouteTableData data;
  data.version = 7;
  cr_assert(routing_state.ApplyConfig(RouteTable::Create(data)));
  data.version = 6;
  cr_assert(!routing_state.ApplyConfig(RouteTable::Create(data)));
  cr_assert_eq(routing_state.Table()->Version(), 7);
}

// A worker restarts under its old id, which must not keep the cooldown of the
// process before.
Test(routing_state, a_restarted_worker_is_not_in_cooldown) {
  RoutingState routing_state({}, 1);
  ServerRecord record = Record("w", 1, 80);
  record.server->started = {1000};
  routing_state.Servers().ApplyChange(record, false, kStart);
  routing_state.StartCooldown("w", CooldownReason::kUnreachable, kStart);
  cr_assert(routing_state.InCooldown("w", kStart));
  record.revision = 2;
  record.server->started = {2000};
  routing_state.Servers().ApplyChange(record, false, kStart);
  cr_assert(!routing_state.InCooldown("w", kStart));
}

// Guards against requests to a resting server, and against a rest that a
// restarted server or another one on its address inherits.
Test(routing_state, a_rest_holds_for_one_start_of_a_server) {
  RoutingState routing_state({}, 1);
  ServerRecord record = Record("s", 1, 80);
  record.server->started = {1000};
  routing_state.Servers().ApplyChange(record, false, kStart);
  cr_assert(routing_state.SendWait("s", kStart) == Duration::zero());
  cr_assert(routing_state.RecordRest("s", {1000}, seconds(3), kStart));
  cr_assert(!routing_state.RecordRest("s", {1000}, seconds(2), kStart));
  const Instant later = kStart + seconds(1);
  cr_assert(routing_state.RestLeft("s", later) == seconds(2));
  cr_assert(routing_state.SendWait("s", later) == seconds(2));
  cr_assert(!routing_state.PickServer("orders", {}, later, seconds(1)));
  cr_assert(routing_state.PickServer("orders", {}, later, seconds(2)));
  // A change of the same start's record does not end the rest.
  record.revision = 2;
  record.server->slots = 9;
  routing_state.Servers().ApplyChange(record, false, later);
  cr_assert(routing_state.RestLeft("s", later) == seconds(2));
  ServerRecord other = Record("t", 3, 80);
  other.server->started = {1000};
  routing_state.Servers().ApplyChange(other, false, later);
  cr_assert(routing_state.RestLeft("t", later) == Duration::zero());
  record.revision = 4;
  record.server->started = {2000};
  routing_state.Servers().ApplyChange(record, false, later);
  cr_assert(routing_state.RestLeft("s", later) == Duration::zero());
  // A late response of the earlier start says nothing about this one.
  routing_state.RecordRest("s", {1000}, seconds(3), later);
  cr_assert(routing_state.RestLeft("s", later) == Duration::zero());
  routing_state.Expire(kStart + seconds(9), {});
  cr_assert(routing_state.RecordRest("s", {1000}, seconds(3), later));
}

// Guards against a rest that ends with a rate limit's wait, or the other way
// round.
Test(routing_state, the_longer_of_rest_and_rate_limit_counts) {
  RoutingState routing_state({}, 1);
  routing_state.Servers().ApplyChange(Record("s", 1, 80), false, kStart);
  routing_state.RecordRateLimit("s", {1.0, kStart});
  routing_state.SetNextSend("s", kStart + seconds(2));
  routing_state.RecordRest("s", {}, seconds(1), kStart);
  cr_assert(routing_state.SendWait("s", kStart) == seconds(2));
  routing_state.RecordRest("s", {}, seconds(3), kStart);
  cr_assert(routing_state.SendWait("s", kStart) == seconds(3));
}

// Guards against callers that come back before a server does, or all at once.
Test(routing_state, refused_callers_return_when_the_first_server_is_back) {
  RoutingState routing_state({}, 1);
  for (int i = 0; i < 3; ++i) {
    routing_state.Servers().ApplyChange(
        Record(fmt::format("s{}", i), 1, static_cast<std::uint16_t>(80 + i)),
        false, kStart);
  }
  cr_assert(routing_state.RetryAfterRests("orders", kStart) ==
            Duration::zero());
  routing_state.RecordRest("s0", {}, seconds(6), kStart);
  routing_state.RecordRest("s1", {}, seconds(4), kStart);
  cr_assert(routing_state.RetryAfterRests("orders", kStart) ==
            Duration::zero());
  routing_state.RecordRest("s2", {}, hours(1), kStart);
  std::set<Duration> times;
  for (int i = 0; i < 100; ++i) {
    const Duration time = routing_state.RetryAfterRests("orders", kStart);
    cr_assert(time >= seconds(4) && time <= seconds(6));
    times.insert(time);
  }
  cr_assert(*times.rbegin() - *times.begin() > seconds(1));
  cr_assert(routing_state.RetryAfterRests("orders", kStart + seconds(4)) ==
            Duration::zero());
  routing_state.RecordRest("s0", {}, hours(1), kStart);
  routing_state.RecordRest("s1", {}, hours(1), kStart);
  cr_assert(routing_state.RetryAfterRests("orders", kStart) <= seconds(15));
  cr_assert(routing_state.RetryAfterRests("none", kStart) == Duration::zero());
}

namespace {

placement::ModelProfile EightLayers() {
  placement::ModelProfile model;
  model.layers = 8;
  model.layer_mb = 10;
  model.kv_bytes_per_token = 1000;
  model.batch_limit = 8;
  model.typical_answer_tokens = 20;
  model.accelerator_kinds["k"] = {36000, 1, 1};
  return model;
}

}  // namespace

// Guards against a resting first worker that counts as available because
// workers of later layers do not rest.
Test(routing_state, only_workers_with_the_first_layer_rest) {
  RoutingState routing_state({}, 1);
  const placement::ModelProfile model = EightLayers();
  const auto add = [&](const std::string& id, std::uint16_t port,
                       placement::LayerRange layers) {
    ServerRecord record = Record(id, port, port);
    record.server->model = layers.Empty() ? "" : "m";
    record.server->layers = layers;
    record.server->accelerator_kind = "k";
    routing_state.Servers().ApplyChange(record, false, kStart);
  };
  add("first", 80, {0, 4});
  add("second", 81, {4, 8});
  add("spare", 82, {});
  placement::PathQuery query;
  query.layers = {0, 8};
  query.max_send_wait = milliseconds(250);
  const auto find = [&] {
    return routing_state.FindPath("orders", model, query, kStart).has_value();
  };
  cr_assert(find());
  routing_state.RecordRest("second", {}, seconds(3), kStart);
  cr_assert(find(), "a resting worker still runs later stages");
  routing_state.RecordRest("first", {}, seconds(3), kStart);
  cr_assert(!find());
  cr_assert(routing_state.RetryAfterRests("orders", kStart) >= seconds(3));
}

// Guards against requests that are refused because the only path leads through
// a worker that is better avoided.
Test(routing_state, avoided_workers_are_used_if_there_is_no_other_path) {
  RoutingState routing_state({}, 1);
  const placement::ModelProfile model = EightLayers();
  for (const std::uint16_t port : {80, 81}) {
    ServerRecord record = Record(fmt::format("s{}", port), port, port);
    record.server->layers = {0, 8};
    record.server->accelerator_kind = "k";
    routing_state.Servers().ApplyChange(record, false, kStart);
  }
  placement::PathQuery query;
  query.layers = {0, 8};
  const auto worker = [&] {
    const auto found = routing_state.FindPath("orders", model, query, kStart);
    return found.has_value() ? found.value().path.front().worker : "";
  };
  query.avoided = {"s80"};
  for (int i = 0; i < 20; ++i) {
    cr_assert(worker() == "s81");
  }
  query.excluded = {"s81"};
  cr_assert(worker() == "s80");
}

// The store is unavailable while workers leave, so that only their refusals
// show that they accept no new work.
Test(routing_state, a_worker_that_refuses_despite_capacity_is_reported) {
  RoutingState routing_state({}, 1);
  placement::ModelProfile model;
  model.layers = 80;
  model.layer_mb = 1750;
  model.kv_bytes_per_token = 426000;
  model.batch_limit = 192;
  model.accelerator_kinds["k"] = {36000, 1, 1};
  ServerRecord record = Record("w", 1, 80);
  record.server->layers = {0, 10};
  record.server->accelerator_kind = "k";
  routing_state.Servers().ApplyChange(record, false, kStart);
  Instant now = kStart;
  cr_assert(!routing_state.RecordRefusal("w", model, now),
            "one refusal may be chance");
  now += milliseconds(300);
  cr_assert(routing_state.RecordRefusal("w", model, now));
  cr_assert(routing_state.IsRefusing("w", now + milliseconds(900)));
  cr_assert(!routing_state.RecordRefusal("w", model, now),
            "peers informed already");
  // A full worker gets a short cooldown only and is not reported to peers.
  routing_state.OnLayersChanged("w");
  cr_assert(!routing_state.InCooldown("w", now));
  routing_state.Loads().OnPeerLoads(
      "peer", {{placement::WorkerKey("w"), {180, 0, 0}}}, now);
  routing_state.RecordRefusal("w", model, now);
  now += milliseconds(300);
  cr_assert(!routing_state.RecordRefusal("w", model, now));
  cr_assert(!routing_state.IsRefusing("w", now));
}

// Burst of requests to a plain service.
Test(routing_state, the_server_with_the_most_free_slots_is_picked) {
  RoutingStateSettings settings;
  settings.data_centre = "a";
  RoutingState routing_state(settings, 1);
  for (int i = 0; i < 3; ++i) {
    routing_state.Servers().ApplyChange(
        Record(fmt::format("s{}", i), 1, static_cast<std::uint16_t>(80 + i)),
        false, kStart);
  }
  routing_state.ServerLoads()["s0"].local = 3;
  routing_state.ServerLoads()["s1"].local = 1;
  routing_state.ServerLoads()["s2"].local = 2;
  cr_assert((routing_state.PickServer("orders", {}, kStart)->id) == "s1");
  cr_assert((routing_state.PickServer("orders", {"s1"}, kStart)->id) == "s2");
  cr_assert(!routing_state.PickServer("orders", {"s0", "s1", "s2"}, kStart));
}

namespace {

constexpr EstimateCaution kCautious{0.95, 1.1, 3};

// Streams with 30 ms an event and 100 ms before the first one. Each has as many
// events as tokens; the estimates of the callers are off by up to a factor of
// two.
void ServeStreams(RunTimeEstimator* run_times, int count) {
  for (int i = 0; i < count; ++i) {
    const std::uint32_t events = 20 + 10 * (i % 8);
    const std::uint32_t hint = i % 2 == 0 ? events / 2 : events * 2;
    run_times->OnStreamEnded(
        "llm", {milliseconds(100), milliseconds(100 + 30 * events), events,
                GenerationSize{100, 200, hint}});
  }
}

}  // namespace

Test(run_time_estimator, without_runs_there_is_no_estimate) {
  RunTimeEstimator run_times({});
  cr_assert(!run_times.StreamTime("llm", {100, 50, std::nullopt}, kCautious));
  cr_assert(!run_times.CallTime("lookup", kCautious));
  ServeStreams(&run_times, 7);
  cr_assert(!run_times.StreamTime("llm", {100, 50, std::nullopt}, kCautious));
  ServeStreams(&run_times, 1);
  cr_assert(run_times.StreamTime("llm", {100, 50, std::nullopt}, kCautious));
  cr_assert(!run_times.StreamTime("other", {100, 50, std::nullopt}, kCautious));
}

Test(run_time_estimator, a_stream_takes_its_limit_at_the_pace_of_others) {
  RunTimeEstimator run_times({});
  ServeStreams(&run_times, 8);
  const Duration time =
      *run_times.StreamTime("llm", {100, 50, std::nullopt}, kCautious);
  cr_assert(time >= milliseconds(100 + 30 * 50));
  cr_assert(time <= milliseconds(1800));
}

Test(run_time_estimator, hints_count_as_far_as_they_were_right) {
  RunTimeEstimator run_times({});
  ServeStreams(&run_times, 64);
  // Hints of half the length occur: the bound is several times the hint.
  const Duration hinted =
      *run_times.StreamTime("llm", {100, 200, 10}, kCautious);
  cr_assert(hinted >= milliseconds(100 + 30 * 20));
  cr_assert(hinted <
            *run_times.StreamTime("llm", {100, 200, std::nullopt}, kCautious));
  // No answer had more than 90 events.
  cr_assert(*run_times.StreamTime("llm", {100, 200, 190}, kCautious) <
            milliseconds(100 + 30 * 130));
}

// Guards against estimates that stay at the stated limit where no answer keeps
// to it.
Test(run_time_estimator, answers_beyond_their_limits_raise_the_estimate) {
  RunTimeEstimator run_times({});
  const GenerationSize size{100, 20, std::nullopt};
  for (int i = 0; i < 64; ++i) {
    run_times.OnStreamEnded(
        "llm", {milliseconds(100), milliseconds(100 + 30 * 170), 170, size});
  }
  cr_assert(*run_times.StreamTime("llm", size, kCautious) >=
            milliseconds(100 + 30 * 170));
}

Test(run_time_estimator, recent_runs_replace_earlier_ones) {
  RunTimeEstimator run_times({});
  for (const int milliseconds_each : {2000, 20}) {
    for (int i = 0; i < 64; ++i) {
      run_times.OnCallEnded("lookup", milliseconds(milliseconds_each));
    }
  }
  cr_assert(*run_times.CallTime("lookup", kCautious) < milliseconds(30));
  cr_assert(!run_times.CallTime("file", kCautious));
}

// Guards against requests that a leaving VM accepts and then cuts, and against
// short ones that it refuses although they would end.
Test(shutdown_gate, requests_are_accepted_if_they_end_before_the_process) {
  ShutdownGate gate({});
  const GenerationSize size{100, 50, std::nullopt};  // 1.6 to 1.8 s
  cr_assert(!gate.ObjectionToStream("llm", size, seconds(60), kStart));
  cr_assert(
      !gate.ObjectionToCall("lookup", milliseconds(500), seconds(60), kStart));
  gate.SetEnd(kStart, kStart + milliseconds(2500), seconds(3));
  cr_assert(gate.ObjectionToStream("llm", size, seconds(60), kStart),
            "nothing is known");
  cr_assert(
      !gate.ObjectionToCall("lookup", milliseconds(500), seconds(60), kStart));
  ServeStreams(&gate.RunTimes(), 8);
  for (int i = 0; i < 8; ++i) {
    gate.RunTimes().OnCallEnded("lookup", milliseconds(1000));
  }
  const Duration end = milliseconds(2500);
  for (Duration at{0}; at <= end; at += milliseconds(10)) {
    const bool stream_fits = at <= end - milliseconds(1800);
    const bool stream_cut = at > end - milliseconds(1600);
    const bool stream_sent =
        !gate.ObjectionToStream("llm", size, seconds(60), kStart + at);
    cr_assert(!stream_fits || stream_sent);
    cr_assert(!stream_cut || !stream_sent);
    const bool call_fits = at <= end - milliseconds(1650);
    const bool call_cut = at > end - seconds(1);
    const bool call_sent = !gate.ObjectionToCall("lookup", milliseconds(500),
                                                 seconds(60), kStart + at);
    cr_assert(!call_fits || call_sent);
    cr_assert(!call_cut || !call_sent);
  }
  cr_assert(gate.ObjectionToStream("llm", std::nullopt, seconds(60), kStart),
            "no size");
}

// The estimates in the log explain the decision.
Test(shutdown_gate, a_verdict_has_the_estimates_that_it_rests_on) {
  ShutdownGate gate({});
  ServeStreams(&gate.RunTimes(), 8);
  gate.SetEnd(kStart, kStart + seconds(8), seconds(2));
  const GenerationSize size{100, 50, std::nullopt};  // 1.6 to 1.8 s
  const ShutdownVerdict stream =
      gate.JudgeStream("llm", size, seconds(60), kStart + seconds(1));
  cr_assert(stream.expected && *stream.expected >= milliseconds(1600) &&
            *stream.expected <= milliseconds(1900));
  cr_assert(stream.left == seconds(7));
  cr_assert(!stream.objection);
  const ShutdownVerdict unknown =
      gate.JudgeStream("other", size, seconds(60), kStart + seconds(1));
  cr_assert(!unknown.expected && unknown.objection);
  const ShutdownVerdict late =
      gate.JudgeStream("llm", size, seconds(60), kStart + seconds(2));
  cr_assert(late.expected == seconds(60) && late.objection);
  cr_assert(late.left == seconds(4), "without the time to spare");
  const ShutdownVerdict call = gate.JudgeCall("lookup", milliseconds(100),
                                              seconds(60), kStart + seconds(7));
  cr_assert(call.expected == milliseconds(400));
  cr_assert(call.left == milliseconds(500));
}

// A refusal costs a caller that could not know of the shutdown a retry.
Test(shutdown_gate, more_streams_are_accepted_while_addresses_are_valid) {
  ShutdownGate gate({});
  ServeStreams(&gate.RunTimes(), 64);
  gate.SetEnd(kStart, kStart + seconds(3), milliseconds(500));
  const GenerationSize size{100, 200, 50};
  cr_assert(!gate.ObjectionToStream("llm", size, seconds(60), kStart));
  cr_assert(gate.ObjectionToStream("llm", size, seconds(60),
                                   kStart + milliseconds(500)));
}

// Guards against streams that are begun late and cut when the process ends,
// because they exceed what their callers state, or a server was silent.
Test(shutdown_gate, late_streams_are_accepted_by_their_deadlines_alone) {
  ShutdownGate gate({});
  ServeStreams(&gate.RunTimes(), 64);
  gate.SetEnd(kStart, kStart + seconds(8), seconds(2));
  const std::vector<std::optional<GenerationSize>> sizes = {
      GenerationSize{100, 50, std::nullopt},  // 1.6 to 1.8 s
      GenerationSize{100, 1, std::nullopt}, GenerationSize{100, 400, 1},
      std::nullopt};
  const auto sent = [&](const std::optional<GenerationSize>& size,
                        Duration time_left, Duration at) {
    return !gate.ObjectionToStream("llm", size, time_left, kStart + at);
  };
  cr_assert(sent(sizes.front(), seconds(60), milliseconds(1990)));
  const Duration latest_deadline = seconds(6);
  for (const auto& size : sizes) {
    for (Duration at = seconds(2); at < seconds(8); at += milliseconds(10)) {
      cr_assert(!sent(size, seconds(20), at));
      const Duration time_left = latest_deadline - at;
      if (time_left > Duration::zero()) {
        cr_assert(sent(size, time_left, at));
      }
      cr_assert(!sent(size, time_left + milliseconds(1), at));
    }
  }
}

// Guards against streams that are cut because callers keep addresses for long:
// estimates count for less than 3 s after the signal, however late it is
// noticed.
Test(shutdown_gate, long_lived_addresses_do_not_delay_the_caution) {
  ShutdownGate gate({});
  ServeStreams(&gate.RunTimes(), 8);
  gate.SetEnd(kStart, kStart + seconds(8), seconds(60));
  const GenerationSize size{100, 130, std::nullopt};  // 4 to 4.5 s
  cr_assert(!gate.ObjectionToStream("llm", size, seconds(60),
                                    kStart + milliseconds(2400)));
  // Half a second before the 3 s end that count for callers, which begin with
  // the signal and not with its notice.
  for (Duration at = milliseconds(2500); at < seconds(8);
       at += milliseconds(10)) {
    cr_assert(gate.ObjectionToStream("llm", size, seconds(60), kStart + at));
  }
}

// Guards against streams that are cut because the runs that have ended lately
// do not show yet that workers have slowed down.
Test(shutdown_gate, a_slow_down_is_seen_in_streams_in_progress) {
  ShutdownGate gate({});
  ServeStreams(&gate.RunTimes(), 8);
  gate.SetEnd(kStart, kStart + milliseconds(5500), seconds(3));
  const GenerationSize size{100, 50, std::nullopt};  // 1.6 to 1.8 s
  const auto sent = [&](Duration at, const std::vector<Duration>& intervals) {
    return !gate.ObjectionToStream("llm", size, seconds(60), kStart + at,
                                   intervals);
  };
  const std::vector<Duration> usual(10, milliseconds(30));
  const std::vector<Duration> slow(10, milliseconds(90));
  for (const Duration at : {milliseconds(300), milliseconds(2400)}) {
    cr_assert(sent(at, usual));
  }
  // 4.6 to 5.1 s.
  cr_assert(sent(milliseconds(300), slow));
  cr_assert(!sent(milliseconds(2400), slow));
  const std::vector<Duration> few(3, milliseconds(90));
  cr_assert(sent(milliseconds(2400), few));
  std::vector<Duration> one_slow = usual;
  one_slow.front() = seconds(1);
  cr_assert(sent(milliseconds(2400), one_slow), "it may wait for a worker");
  // A pace that is higher than that of ended runs promises nothing.
  const std::vector<Duration> fast(10, milliseconds(3));
  gate.SetEnd(kStart, kStart + milliseconds(3950), seconds(3));
  cr_assert(!sent(milliseconds(2400), fast));
}

// A stream shows a slow-down within few events, or by its silence.
Test(event_pace, it_follows_the_latest_events) {
  EventPace pace;
  for (int i = 0; i < 3; ++i) {
    pace.OnEvents(1, milliseconds(30));
  }
  cr_assert(!pace.Interval(Duration::zero()));
  pace.OnEvents(3, milliseconds(90));
  const auto near = [&](Duration silence, Duration expected) {
    const Duration interval = *pace.Interval(silence);
    return interval > expected - milliseconds(1) &&
           interval < expected + milliseconds(1);
  };
  cr_assert(near(Duration::zero(), milliseconds(30)));
  cr_assert(near(milliseconds(30), milliseconds(30)));
  cr_assert(*pace.Interval(milliseconds(600)) > milliseconds(100));
  for (int i = 0; i < 8; ++i) {
    pace.OnEvents(1, milliseconds(150));
  }
  cr_assert(*pace.Interval(Duration::zero()) > milliseconds(120));
  for (int i = 0; i < 20; ++i) {
    pace.OnEvents(1, milliseconds(30));
  }
  cr_assert(*pace.Interval(Duration::zero()) < milliseconds(33));
}

Test(shutdown_gate, a_call_with_a_short_deadline_ends_in_time) {
  ShutdownGate gate({});
  for (int i = 0; i < 8; ++i) {
    gate.RunTimes().OnCallEnded("lookup", seconds(5));
  }
  gate.SetEnd(kStart, kStart + seconds(2), Duration::zero());
  cr_assert(
      gate.ObjectionToCall("lookup", milliseconds(500), seconds(60), kStart));
  cr_assert(
      !gate.ObjectionToCall("lookup", milliseconds(500), seconds(1), kStart));
  cr_assert(!gate.MustRespond(kStart + milliseconds(1450)));
  cr_assert(gate.MustRespond(kStart + milliseconds(1500)));
}

// Guards against calls that a VM which knows no usual time of them takes late
// in its grace period, and cannot complete.
Test(shutdown_gate, a_call_of_unknown_duration_is_not_accepted_late) {
  ShutdownGate gate({});
  gate.SetEnd(kStart, kStart + seconds(8), Duration::zero());
  const auto accepted = [&](Duration objective, Duration time_left,
                            Duration at) {
    return !gate.ObjectionToCall("file", objective, time_left, kStart + at);
  };
  cr_assert(accepted(milliseconds(500), seconds(20), seconds(5)));
  cr_assert(!accepted(milliseconds(500), seconds(20), seconds(6)));
  cr_assert(accepted(milliseconds(500), seconds(1), seconds(6)));
  cr_assert(accepted(Duration::zero(), seconds(7), Duration::zero()));
  cr_assert(!accepted(Duration::zero(), seconds(20), Duration::zero()));
}

// Guards against callers that are sent from one leaving VM to the next.
Test(shutdown_gate, retries_wait_until_a_vm_is_ready) {
  ShutdownGate gate({});
  gate.SetEnd(kStart, kStart + seconds(8), seconds(2));
  const Instant now = kStart + seconds(3);
  cr_assert(gate.RetryAfter(0.9, now) == milliseconds(50));
  cr_assert(gate.RetryAfter(0.2, now) == seconds(2));
  cr_assert(gate.RetryAfter(0, now) == seconds(6));
}
