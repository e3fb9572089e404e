// Tests of the router's decisions: routes, attempts, event streams, and the
// books of backend servers.
#include <criterion/criterion.h>

#include <fmt/format.h>

#include "chervilpass/core/random.h"
#include "chervilpass/routing/cooldown_tracker.h"
#include "chervilpass/routing/route_table.h"
#include "chervilpass/routing/server_registry.h"
#include "chervilpass/serving/event_stream.h"
#include "chervilpass/serving/retry_policy.h"
#include "chervilpass/serving/routing_state.h"

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

Test(route_table, the_longest_prefix_of_the_host_wins) {
  RouteTableData parts;
  for (const char* prefix : {"/a/", "/a/b/", "/"}) {
    Route route;
    route.name = prefix;
    route.host = "h";
    route.path_prefix = prefix;
    parts.routes.push_back(route);
  }
  const auto table = RouteTable::Create(parts);
  cr_assert((table->Find("h", "/a/b/c")->name) == "/a/b/");
  cr_assert((table->Find("h", "/a/bc")->name) == "/a/");
  cr_assert((table->Find("h", "/x")->name) == "/");
  cr_assert_null(table->Find("other", "/a/"));
}

Test(route_table, shares_follow_their_weights_and_zero_gets_nothing) {
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

Test(route_table, keys_lead_to_their_organisation) {
  RouteTableData parts;
  parts.organisations = {{"one", {"k1", "k2"}, 1}, {"two", {"k3"}, {}}};
  const auto table = RouteTable::Create(parts);
  cr_assert((table->OrganisationOf("k2")->name) == "one");
  cr_assert((table->OrganisationOf("k3")->name) == "two");
  cr_assert_null(table->OrganisationOf("k4"));
  cr_assert_null(table->OrganisationOf(""));
}

// Every sequence of four outcomes, for every kind of route: what may not be
// repeated is never sent after a send that may have run, and "not run" is said
// only if no send can have run.
Test(attempt_policy, every_sequence_of_outcomes_keeps_the_promises) {
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
          const RetryDecision next = policy.OnSendEnded(
              outcome, seconds(1), [budget] { return budget; });
          cr_assert_leq(may_have_run, route.attempts);
          if (next == RetryDecision::kRetry) {
            cr_assert(may_have_run == 0 || route.MayRepeat());
            cr_assert(may_have_run < route.attempts);
            continue;
          }
          cr_assert(next != RetryDecision::kRefuse || may_have_run == 0);
          cr_assert(next != RetryDecision::kFail || may_have_run > 0);
          cr_assert((policy.Executed() == admission::Executed::kNo) ==
                    (may_have_run == 0));
          break;
        }
      }
    }
  }
}

Test(attempt_policy, without_time_or_budget_nothing_is_sent_again) {
  const Route route = RouteOf(RouteKind::kIdempotent, 2);
  RetryPolicy late({}, route);
  cr_assert(late.OnSendEnded(SendOutcome::kUnknown, milliseconds(1),
                             [] { return true; }) == RetryDecision::kFail);
  RetryPolicy poor({}, route);
  cr_assert(poor.OnSendEnded(SendOutcome::kNotExecuted, seconds(1),
                             [] { return false; }) == RetryDecision::kRefuse);
  // What was never sent is no retry, and needs no budget.
  RetryPolicy unsent({}, route);
  cr_assert(unsent.OnSendEnded(SendOutcome::kNotSent, seconds(1),
                               [] { return false; }) == RetryDecision::kRetry);
}

Test(event_stream, events_are_whole_however_the_bytes_arrive) {
  const std::string bytes =
      "id: 1\ndata: a\n\n: comment\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda";
  for (std::size_t size = 1; size <= bytes.size(); ++size) {
    EventSplitter splitter;
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

Test(event_stream, ids_go_on_without_gap_or_repetition) {
  EventSequence fresh(std::nullopt);
  cr_assert(fresh.Accept(5) == EventOrder::kNext);
  cr_assert(fresh.Accept(6) == EventOrder::kNext);
  cr_assert(fresh.Accept(6) == EventOrder::kRepeated);
  cr_assert(fresh.Accept(8) == EventOrder::kGap);
  cr_assert(fresh.Accept(7) == EventOrder::kNext);
  cr_assert(fresh.Accept(std::nullopt) == EventOrder::kUnnumbered);
  EventSequence resumed(12);
  cr_assert(resumed.Accept(14) == EventOrder::kGap);
  cr_assert(resumed.Accept(13) == EventOrder::kNext);
}

Test(server_book, never_goes_back_to_an_older_record) {
  ServerRegistry book{ServerRegistrySettings{}};
  book.ApplyChange(Record("s", 10, 80), false, kStart);
  ServerRecord leaving = Record("s", 12, 80);
  leaving.server->leaving = true;
  book.ApplyChange(leaving, false, kStart);
  book.ApplyChange(Record("s", 11, 80), false, kStart);
  cr_assert(book.Find("s")->leaving);
  book.ApplyListing({Record("s", 10, 80)}, 11, kStart);
  cr_assert(book.Find("s")->leaving);
  book.ApplyChange({"s", 13, std::nullopt}, true, kStart);
  book.ApplyChange(Record("s", 12, 80), false, kStart);
  cr_assert_null(book.Find("s"));
  book.ApplyChange(Record("s", 14, 80), false, kStart);
  cr_assert_not_null(book.Find("s"));
}

Test(server_book, an_unreadable_record_names_no_server_and_leaves_the_rest) {
  ServerRegistry book{ServerRegistrySettings{}};
  book.ApplyListing({Record("good", 1, 80), Record("bad", 2, 81)}, 3, kStart);
  book.ApplyChange({"bad", 4, std::nullopt}, false, kStart);
  cr_assert_null(book.Find("bad"));
  cr_assert_null(book.FindByAddress({"10.0.0.1", 81}));
  cr_assert_not_null(book.Find("good"));
}

Test(server_book, an_address_used_again_belongs_to_the_newer_server) {
  ServerRegistry book{ServerRegistrySettings{}};
  book.ApplyChange(Record("old", 5, 80), false, kStart);
  book.ApplyChange(Record("new", 9, 80), false, kStart);
  cr_assert_null(book.Find("old"));
  cr_assert((book.FindByAddress({"10.0.0.1", 80})->id) == "new");
  // News of the old one that arrives late does not take it back.
  book.ApplyChange(Record("old", 6, 80), false, kStart);
  cr_assert((book.FindByAddress({"10.0.0.1", 80})->id) == "new");
}

Test(server_book, registrations_that_lapsed_in_an_outage_have_time_to_return) {
  ServerRegistry book{ServerRegistrySettings{}};
  book.ApplyListing({Record("a", 1, 80), Record("b", 2, 81)}, 3, kStart);
  book.OnStoreRegained(kStart + seconds(10));
  book.ApplyListing({}, 5, kStart + seconds(10));
  cr_assert_eq(book.Usable("orders").size(), 2);
  book.ApplyChange(Record("a", 6, 80), false, kStart + seconds(11));
  book.Expire(kStart + seconds(13));
  cr_assert_not_null(book.Find("a"));
  cr_assert_null(book.Find("b"));
  // Without an outage a removal counts at once.
  book.ApplyChange({"a", 7, std::nullopt}, true, kStart + seconds(20));
  cr_assert_null(book.Find("a"));
}

Test(avoid_book, unreachable_workers_are_kept_away_from_for_longer_each_time) {
  CooldownTracker book{CooldownTrackerSettings{}};
  cr_assert(book.StartCooldown("w", CooldownReason::kUnreachable, kStart));
  cr_assert(!book.StartCooldown("w", CooldownReason::kUnreachable, kStart));
  cr_assert(book.IsUnreachable("w", kStart + milliseconds(1400)));
  cr_assert(!book.IsUnreachable("w", kStart + seconds(4)));
  cr_assert(book.StartCooldown("w", CooldownReason::kUnreachable,
                               kStart + seconds(4)));
  cr_assert(book.IsUnreachable("w", kStart + seconds(4) + milliseconds(2900)));
  cr_assert(book.StartCooldown("v", CooldownReason::kFull, kStart));
  cr_assert(book.InCooldown("v", kStart));
  cr_assert(!book.IsUnreachable("v", kStart));
  book.Clear("w");
  cr_assert(!book.InCooldown("w", kStart + seconds(4)));
}

// Incident inc-6f28, second site: workers that were giving up layers refused
// for seconds and were tried again every 250 ms.
Test(avoid_book, a_worker_that_goes_on_refusing_is_tried_less_and_less) {
  CooldownTracker book{CooldownTrackerSettings{}};
  int tries = 0;
  for (Instant now = kStart; now < kStart + seconds(8);
       now += milliseconds(10)) {
    if (!book.InCooldown("w", now)) {
      ++tries;
      book.StartCooldown("w", CooldownReason::kFull, now);
      // Older requests still end well there.
      book.Clear("w");
    }
  }
  cr_assert_leq(tries, 8, "%d tries", tries);
  cr_assert(!book.IsUnreachable("w", kStart + seconds(8)));
}

Test(avoid_book, refusals_are_forgotten_once_a_worker_holds_other_layers) {
  CooldownTracker book{CooldownTrackerSettings{}};
  book.StartCooldown("w", CooldownReason::kFull, kStart);
  cr_assert(!book.RefusedRepeatedly("w"));
  book.StartCooldown("w", CooldownReason::kFull, kStart + milliseconds(300));
  cr_assert(book.RefusedRepeatedly("w"));
  book.StartCooldown("w", CooldownReason::kRefusing,
                     kStart + milliseconds(300));
  cr_assert(book.IsRefusing("w", kStart + milliseconds(1200)));
  // What a peer has found makes a worker avoided, not unreachable.
  cr_assert(book.InCooldown("w", kStart + milliseconds(1200)));
  cr_assert(!book.IsUnreachable("w", kStart + milliseconds(1200)));
  book.ClearRefusals("w");
  cr_assert(!book.InCooldown("w", kStart + milliseconds(400)));
  cr_assert(!book.RefusedRepeatedly("w"));
}

Test(world, a_configuration_is_never_replaced_by_an_older_one) {
  RoutingState world({}, 1);
  RouteTableData parts;
  parts.version = 7;
  cr_assert(world.ApplyConfig(RouteTable::Create(parts)));
  parts.version = 6;
  cr_assert(!world.ApplyConfig(RouteTable::Create(parts)));
  cr_assert_eq(world.Table()->Version(), 7);
}

// Pattern: a worker restarts under its old id with a clean record.
Test(world, a_restarted_worker_is_not_avoided_for_what_it_was) {
  RoutingState world({}, 1);
  ServerRecord record = Record("w", 1, 80);
  record.server->started = {1000};
  world.Servers().ApplyChange(record, false, kStart);
  world.StartCooldown("w", CooldownReason::kUnreachable, kStart);
  cr_assert(world.InCooldown("w", kStart));
  record.revision = 2;
  record.server->started = {2000};
  world.Servers().ApplyChange(record, false, kStart);
  cr_assert(!world.InCooldown("w", kStart));
}

// Pattern: burst on a plain service.
// Pattern: the store is away while workers leave, so that only their refusals
// tell that they take no new work.
Test(world, peers_are_told_of_a_worker_that_refuses_though_it_has_room) {
  RoutingState world({}, 1);
  placement::ModelProfile model;
  model.layers = 80;
  model.layer_mb = 1750;
  model.kv_bytes_per_token = 426000;
  model.batch_limit = 192;
  model.kinds["k"] = {36000, 1, 1};
  ServerRecord record = Record("w", 1, 80);
  record.server->layers = {0, 10};
  record.server->accelerator_kind = "k";
  world.Servers().ApplyChange(record, false, kStart);
  Instant now = kStart;
  cr_assert(!world.NoteRefusal("w", model, now), "one refusal may be chance");
  now += milliseconds(300);
  cr_assert(world.NoteRefusal("w", model, now));
  cr_assert(world.IsRefusing("w", now + milliseconds(900)));
  cr_assert(!world.NoteRefusal("w", model, now), "told already");
  // A full worker is left alone for a moment only, and nobody is told.
  world.OnLayersChanged("w");
  cr_assert(!world.InCooldown("w", now));
  world.Loads().OnPeerLoads("peer", {{placement::WorkerKey("w"), {180, 0, 0}}},
                            now);
  world.NoteRefusal("w", model, now);
  now += milliseconds(300);
  cr_assert(!world.NoteRefusal("w", model, now));
  cr_assert(!world.IsRefusing("w", now));
}

Test(world, plain_requests_go_where_slots_are_free) {
  RoutingStateSettings settings;
  settings.data_centre = "a";
  RoutingState world(settings, 1);
  for (int i = 0; i < 3; ++i) {
    world.Servers().ApplyChange(
        Record(fmt::format("s{}", i), 1, static_cast<std::uint16_t>(80 + i)),
        false, kStart);
  }
  world.ServerLoads()["s0"].local = 3;
  world.ServerLoads()["s1"].local = 1;
  world.ServerLoads()["s2"].local = 2;
  cr_assert((world.PickServer("orders", {}, kStart)->id) == "s1");
  cr_assert((world.PickServer("orders", {"s1"}, kStart)->id) == "s2");
  cr_assert(!world.PickServer("orders", {"s0", "s1", "s2"}, kStart));
}
