// Tests of what sets requests of different priorities and organisations apart.
#include <criterion/criterion.h>

#include <cmath>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "chervilpass/admission/capacity_policy.h"
#include "chervilpass/core/random.h"
#include "chervilpass/placement/stage_cost.h"
#include "chervilpass/serving/retry_policy.h"

using namespace chervilpass;
using namespace chervilpass::admission;

namespace {

routing::Route MakeRoute(const std::string& name, std::uint32_t priority) {
  routing::Route route;
  route.name = name;
  route.host = name;
  route.path_prefix = "/";
  route.priority = priority;
  route.shares = {{"chat", 1}};
  return route;
}

routing::RouteTableData TableData(
    const std::vector<std::uint32_t>& priorities) {
  routing::RouteTableData data;
  data.version = 1;
  data.services.push_back({"chat", "/", 1, std::nullopt});
  for (const std::uint32_t priority : priorities) {
    data.routes.push_back(
        MakeRoute("route" + std::to_string(data.routes.size()), priority));
  }
  return data;
}

PriorityClasses ClassesOf(const routing::RouteTableData& data) {
  return PriorityClasses(RanksOf(*routing::RouteTable::Create(data), "chat"));
}

// Of requests without an organisation's priority.
PriorityRank RouteRank(std::uint32_t priority) {
  return RankOf(std::nullopt, priority);
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
  model.batch_limit = 192;
  model.typical_prompt_tokens = 772;
  model.typical_answer_tokens = 145;
  model.accelerator_kinds["middle"] = {21600, 16, 8.2};
  return model;
}

placement::PathCandidate Worker(const placement::ModelProfile& model,
                                double sequences) {
  placement::PathCandidate worker;
  worker.worker = "w";
  worker.layers = {0, 10};
  worker.kind = model.accelerator_kinds.at("middle");
  worker.load.sequences = sequences;
  worker.load.context_tokens = sequences * 813;
  return worker;
}

}  // namespace

// Guards against a change for deployments whose requests all have one priority.
Test(priority_classes, one_priority_changes_nothing) {
  const PriorityClasses classes = ClassesOf(TableData({2, 2, 2}));
  cr_assert(!classes.Active());
  cr_assert(!classes.Of(RouteRank(2)).has_value());
  cr_assert(classes.MostUrgent(RouteRank(2)));
  cr_assert(!PriorityClasses().Of(RouteRank(0)).has_value());
}

// Load: three kinds of streams on one service; the most urgent kind earned the
// smallest share of its credit.
Test(priority_classes, less_urgent_requests_leave_headroom) {
  const PriorityClasses classes = ClassesOf(TableData({1, 0, 2}));
  cr_assert(classes.Active());
  const auto first = *classes.Of(RouteRank(0));
  const auto middle = *classes.Of(RouteRank(1));
  const auto last = *classes.Of(RouteRank(2));
  cr_assert_eq(first.urgency, 0);
  cr_assert_eq(last.urgency, 9);
  cr_assert_float_eq(first.max_utilisation, 0.95, 1e-12);
  cr_assert_float_eq(middle.max_utilisation, 0.9, 1e-12);
  cr_assert_float_eq(last.max_utilisation, 0.85, 1e-12);
  cr_assert_float_eq(first.added_delay_weight, 0.5, 1e-12);
  cr_assert_float_eq(middle.added_delay_weight, 1, 1e-12);
  cr_assert_float_eq(last.added_delay_weight, 2, 1e-12);
  cr_assert(classes.MostUrgent(RouteRank(0)));
  cr_assert(!classes.MostUrgent(RouteRank(1)));
}

// Load: many priorities; none may be left without capacity.
Test(priority_classes, many_priorities_stay_within_the_bounds) {
  std::vector<std::uint32_t> priorities;
  for (std::uint32_t i = 0; i < 30; ++i) {
    priorities.push_back(7 * i);
  }
  const PriorityClasses classes = ClassesOf(TableData(priorities));
  double utilisation = 1;
  double weight = 0;
  std::uint32_t urgency = 0;
  for (const auto& [rank, found] : classes.All()) {
    cr_assert(found.urgency >= urgency && found.urgency <= 9);
    cr_assert(found.max_utilisation < utilisation &&
              found.max_utilisation >= 0.8 - 1e-12);
    cr_assert(found.added_delay_weight > weight &&
              found.added_delay_weight <= 2 + 1e-12);
    urgency = found.urgency;
    utilisation = found.max_utilisation;
    weight = found.added_delay_weight;
  }
  // Received under another configuration.
  cr_assert_eq(classes.All().size(), 30);
  cr_assert(classes.Of(RouteRank(8)) == classes.Of(RouteRank(14)));
  cr_assert(classes.Of(RouteRank(1000)) == classes.Of(RouteRank(7 * 29)));
}

// Guards against classes of ranks that no request has: an organisation's
// priority takes precedence, and unused shares and keys do not count.
Test(priority_classes, ranks_are_those_of_possible_requests) {
  auto data = TableData({1, 3});
  data.keys_required = true;
  data.organisations = {
      {"a", {"k1"}, 2}, {"b", {"k2"}, 2}, {"without keys", {}, 0}};
  using Ranks = std::set<PriorityRank>;
  const auto ranks = [&data] {
    return RanksOf(*routing::RouteTable::Create(data), "chat");
  };
  cr_assert(ranks() == (Ranks{{2, 1}, {2, 3}}));
  data.organisations.push_back({"c", {"k3"}, std::nullopt});
  cr_assert(ranks() == (Ranks{{1, 1}, {2, 1}, {2, 3}, {3, 3}}));
  data.organisations.pop_back();
  data.routes[1].open = true;
  cr_assert(ranks() == (Ranks{{2, 1}, {3, 3}}));
  data.routes[1].shares = {{"chat", 0}, {"other", 1}};
  cr_assert(ranks() == (Ranks{{2, 1}}));
  cr_assert(!ClassesOf(data).Active());
  cr_assert(ActiveClasses(*routing::RouteTable::Create(data)).empty());
}

// Load: organisations that all have a priority of their own, and three kinds of
// streams. The most urgent kind earned the smallest share of its credit, since
// classes followed organisations alone.
Test(priority_classes, routes_rank_requests_of_the_same_priority) {
  auto data = TableData({0, 1, 2});
  data.keys_required = true;
  data.organisations = {{"a", {"k1"}, 0}, {"b", {"k2"}, 1}};
  const PriorityClasses classes = ClassesOf(data);
  cr_assert_eq(classes.All().size(), 6);
  const std::vector<std::uint32_t> urgencies = {0, 2, 4, 5, 7, 9};
  std::size_t next = 0;
  for (const std::uint32_t organisation : {0, 1}) {
    for (const std::uint32_t route : {0, 1, 2}) {
      const auto found = classes.Of(RankOf(organisation, route));
      cr_assert_eq(found->urgency, urgencies[next]);
      cr_assert_float_eq(found->max_utilisation, 0.95 - 0.03 * next, 1e-12);
      cr_assert_float_eq(found->added_delay_weight,
                         0.5 * std::pow(4, next / 5.0), 1e-12);
      ++next;
    }
  }
  cr_assert_eq(ActiveClasses(*routing::RouteTable::Create(data)).size(), 1);
  // Routes that do not differ give no classes, whatever the organisations.
  for (routing::Route& route : data.routes) {
    route.priority = 1;
  }
  cr_assert(ActiveClasses(*routing::RouteTable::Create(data)).empty());
}

// Guards against another order than before of requests that differed in
// priority, with and without a priority of the organisation.
Test(priority_classes, ranks_keep_the_order_of_priorities) {
  const std::vector<std::optional<std::uint32_t>> organisations = {std::nullopt,
                                                                   0, 1, 2};
  for (const auto& a : organisations) {
    for (const auto& b : organisations) {
      for (const std::uint32_t route_a : {0, 1, 2}) {
        for (const std::uint32_t route_b : {0, 1, 2}) {
          const PriorityRank of_a = RankOf(a, route_a);
          const PriorityRank of_b = RankOf(b, route_b);
          const std::uint32_t before_a = a.value_or(route_a);
          const std::uint32_t before_b = b.value_or(route_b);
          cr_assert(before_a >= before_b || of_a < of_b);
          // Among requests of the same priority the route decides.
          cr_assert(before_a != before_b ||
                    (of_a < of_b) == (route_a < route_b));
        }
      }
    }
  }
  // Without priorities of organisations the classes are those of the routes.
  auto data = TableData({1, 0, 2});
  const PriorityClasses open = ClassesOf(data);
  data.keys_required = true;
  data.organisations = {{"a", {"k1"}, std::nullopt}};
  cr_assert(ClassesOf(data) == open);
  cr_assert_eq(open.All().size(), 3);
}

// Load: many priorities of organisations and routes. Guards against more
// classes than urgencies; requests that differed in priority before still
// differ.
Test(priority_classes, ranks_are_grouped_within_a_priority) {
  for (const std::uint32_t count : {2, 3, 4, 7, 10, 12}) {
    auto data = TableData({0, 1, 2, 3, 4, 5});
    data.keys_required = true;
    for (std::uint32_t i = 0; i < count; ++i) {
      const std::string name = "o" + std::to_string(i);
      data.organisations.push_back({name, {name}, i});
    }
    const PriorityClasses classes = ClassesOf(data);
    cr_assert_leq(classes.All().size(), std::max(10U, count));
    cr_assert_geq(classes.All().size(), count);
    std::optional<PriorityRank> last;
    std::optional<PriorityClass> before;
    for (std::uint32_t i = 0; i < count; ++i) {
      for (std::uint32_t route = 0; route < 6; ++route) {
        const PriorityRank rank = RankOf(i, route);
        const PriorityClass found = *classes.Of(rank);
        const PriorityRank found_last = classes.LastRankOf(rank);
        cr_assert_eq(found_last.priority, i);
        cr_assert(found_last >= rank && (!last || found_last >= *last));
        cr_assert(found.urgency <= 9 && found.max_utilisation >= 0.8 - 1e-12);
        cr_assert(!before ||
                  (found.urgency >= before->urgency &&
                   found.max_utilisation <= before->max_utilisation &&
                   found.added_delay_weight >= before->added_delay_weight));
        last = found_last;
        before = found;
      }
      cr_assert(i == 0 ||
                classes.Of(RankOf(i - 1, 5)) != classes.Of(RankOf(i, 0)));
    }
    if (count == 2) {
      cr_assert_eq(classes.All().size(), 10);
    }
  }
}

// Load: a burst that is over. The least urgent requests get all free capacity
// again a second later.
Test(capacity_shortage, ends_after_its_lifetime_and_for_less_urgent_only) {
  CapacityShortage shortage;
  const Instant start{};
  shortage.OnRefused("chat", RouteRank(1), start);
  cr_assert(shortage.ShortFor("chat", RouteRank(2), start + milliseconds(900)));
  cr_assert(!shortage.ShortFor("chat", RouteRank(1), start));
  cr_assert(!shortage.ShortFor("chat", RouteRank(0), start));
  cr_assert(!shortage.ShortFor("other", RouteRank(2), start));
  cr_assert(!shortage.ShortFor("chat", RouteRank(2), start + seconds(1)));
  shortage.Expire(start + seconds(1));
  cr_assert(!shortage.ShortFor("chat", RouteRank(2), start));
}

// Guards against another choice of paths while classes are inactive: the cost
// is the one of the earlier formula, bit for bit.
Test(stage_cost, without_classes_the_cost_is_as_before) {
  const placement::ModelProfile model = Model();
  const placement::PathChooserSettings settings;
  placement::PathQuery query;
  query.layers = {0, 80};
  for (double sequences = 0; sequences < 190; sequences += 0.37) {
    query.prompt_tokens = 100 + 13.7 * sequences;
    query.answer_tokens = 145 + 0.3 * sequences;
    const auto worker = Worker(model, sequences);
    const double tokens = query.prompt_tokens + query.answer_tokens;
    const double step =
        ToSeconds(model.step_time) +
        ToSeconds(model.step_per_sequence) * (1 + 2 * sequences) +
        ToSeconds(model.step_per_1000_context_tokens) / 1000 *
            (tokens * (1 + sequences) + worker.load.context_tokens);
    const double decode = query.answer_tokens *
                          (1 + 0.5 * std::min(1.0, sequences / 8)) *
                          worker.kind.step_factor * step;
    const double service =
        decode + query.prompt_tokens * (worker.kind.prefill_factor /
                                        model.prefill_tokens_per_second);
    const double expected = 10.0 / 80 * 1 * service * 1 +
                            query.answer_tokens * ToSeconds(settings.hop_delay);
    const placement::StageCost cost(model, query, settings, true);
    cr_assert_eq(cost.Seconds(worker, 10, false), expected);
  }
}

// Load: workers fuller than the bound of a less urgent class.
Test(stage_cost, bound_and_weight_follow_the_query) {
  const placement::ModelProfile model = Model();
  const placement::PathChooserSettings settings;
  placement::PathQuery query;
  query.layers = {0, 80};
  query.prompt_tokens = 700;
  query.answer_tokens = 145;
  const auto nearly_full = Worker(model, 0.9 * model.batch_limit);
  const auto seconds = [&](const placement::PathCandidate& worker) {
    return placement::StageCost(model, query, settings, true)
        .Seconds(worker, 10, true);
  };
  cr_assert(std::isfinite(seconds(nearly_full)));
  query.max_utilisation = 0.85;
  cr_assert_eq(seconds(nearly_full), placement::kNoCapacityCost);
  query.max_utilisation.reset();
  const double even = seconds(nearly_full);
  query.added_delay_weight = 0.5;
  cr_assert_lt(seconds(nearly_full), even);
  query.added_delay_weight = 2;
  cr_assert_gt(seconds(nearly_full), even);
  // An idle worker has nobody to delay.
  const double idle = seconds(Worker(model, 0));
  query.added_delay_weight = 1;
  cr_assert_eq(seconds(Worker(model, 0)), idle);
}

namespace {

// Two organisations, which send to a service with priorities 0 and 2.
CapacityPolicy Policy(bool shares) {
  CapacityPolicySettings settings;
  settings.shares.enabled = shares;
  CapacityPolicy policy(settings);
  auto data = TableData({0, 2});
  data.keys_required = true;
  data.organisations = {{"large", {"k1"}, std::nullopt},
                        {"small", {"k2"}, std::nullopt}};
  policy.ApplyConfig(*routing::RouteTable::Create(data));
  return policy;
}

CapacityClaim Claim(std::uint32_t priority,
                    const std::string& organisation = "large") {
  return {"chat", RouteRank(priority), organisation, false};
}

}  // namespace

// Load: urgent requests lack capacity while the least urgent ones are
// resubmitted.
Test(capacity_policy, headroom_is_kept_while_it_is_needed) {
  CapacityPolicy policy = Policy(false);
  const Instant now{};
  cr_assert(policy.BoundsFor(Claim(0), now) == UtilisationBounds{});
  const double lowered =
      policy.ClassesOf("chat").Of(RouteRank(2))->max_utilisation;
  const UtilisationBounds lent = {lowered, std::nullopt};
  cr_assert(policy.BoundsFor(Claim(2), now) == lent);
  policy.OnLacked(Claim(0), {}, now);
  const UtilisationBounds kept = {lowered, lowered};
  cr_assert(policy.BoundsFor(Claim(2), now) == kept);
  cr_assert(policy.BoundsFor(Claim(0), now) == UtilisationBounds{});
  cr_assert(policy.BoundsFor(Claim(2), now + seconds(1)) == lent);
  CapacityClaim returned = Claim(2);
  returned.returned = true;
  cr_assert(policy.BoundsFor(returned, now) == UtilisationBounds{});
}

// Guards against organisations that wait for each other: a large one that is
// refused under its lowered bound does not make others leave headroom.
Test(capacity_policy, only_organisations_over_their_share_leave_headroom) {
  CapacityPolicy policy = Policy(true);
  const Instant now{};
  policy.Shares().Add("large", 90000);
  policy.Shares().Add("small", 5000);
  policy.OnLacked(Claim(0, "large"), {}, now);
  cr_assert(!policy.Shares().OthersShort("small", now));
  policy.OnLacked(Claim(0, "small"), {}, now);
  const auto bounds = policy.BoundsFor(Claim(0, "large"), now);
  cr_assert_float_eq(*bounds.preferred, 0.9, 1e-12);
  cr_assert_float_eq(*bounds.limit, 0.9, 1e-12);
  cr_assert(policy.BoundsFor(Claim(0, "small"), now) == UtilisationBounds{});
  const auto later = policy.BoundsFor(Claim(0, "large"), now + seconds(1));
  cr_assert(!later.limit.has_value());
  cr_assert(Policy(false).BoundsFor(Claim(0, "large"), now) ==
            UtilisationBounds{});
}

Test(organisation_shares, level_is_max_min_fair) {
  cr_assert_float_eq(FairLevel({80, 10, 10}, 60), 40, 1e-9);
  cr_assert_float_eq(FairLevel({80, 30, 10}, 60), 25, 1e-9);
  cr_assert_float_eq(FairLevel({INFINITY, INFINITY}, 10), 5, 1e-9);
  cr_assert(std::isinf(FairLevel({1, 2}, 3)));
  cr_assert(std::isinf(FairLevel({}, 0)));
}

// Load: one of 24 organisations alone at night, and another one that begins.
Test(organisation_shares, unused_shares_are_lent_and_come_back_at_once) {
  OrganisationSharesSettings settings;
  settings.enabled = true;
  OrganisationShares shares(settings);
  shares.SetOrganisations(24);
  const Instant now{};
  shares.Add("large", 100000);
  cr_assert(!shares.OverShare("large", now));
  // It has nothing in flight yet.
  shares.OnRefused("small", now);
  cr_assert(shares.OverShare("large", now));
  cr_assert(shares.OthersShort("large", now));
  cr_assert(!shares.OverShare("small", now));
  cr_assert(!shares.OverShare("large", now + seconds(2)));
  cr_assert(!shares.OverShare("", now));
  shares.SetOrganisations(1);
  shares.OnRefused("small", now);
  cr_assert(!shares.OverShare("large", now));
}

// Guards against streams that end by an exception and count for ever.
Test(organisation_shares, tokens_end_with_their_stream) {
  OrganisationShares shares;
  try {
    const TokensInFlight tokens(&shares, "a", 812.3);
    const TokensInFlight none(&shares, "", 100);
    cr_assert_eq(shares.LocalTokens().size(), 1);
    throw std::runtime_error("lost");
  } catch (const std::runtime_error&) {
  }
  cr_assert(shares.LocalTokens().empty());
}

// Load: gossip of all peers is lost.
Test(organisation_shares, outdated_loads_give_way_to_local_ones) {
  OrganisationShares shares;
  const Instant now{};
  const std::uint32_t a = OrganisationKey("a");
  const std::uint32_t b = OrganisationKey("b");
  shares.SetVms(10);
  shares.SetDataCentrePeers(4);
  shares.Add("a", 100);
  cr_assert_float_eq(shares.FleetTokens(now)[a], 1000, 1e-9);
  cr_assert_float_eq(shares.DataCentreTokens(now)[a], 500, 1e-9);
  // Two of four peers have reported.
  shares.OnPeerLoads("vm2", {{a, 100}, {b, 50}}, now);
  shares.OnPeerLoads("vm3", {{b, 50}}, now);
  shares.OnDataCentreLoads("other", {{a, 30}}, now);
  cr_assert_float_eq(shares.DataCentreTokens(now)[a], 300, 1e-9);
  cr_assert_float_eq(shares.FleetTokens(now)[a], 330, 1e-9);
  cr_assert_float_eq(shares.FleetTokens(now)[b], 200, 1e-9);
  cr_assert_float_eq(shares.FleetTokens(now + seconds(3))[a], 1000, 1e-9);
  shares.Expire(now + seconds(3));
  cr_assert(!shares.FleetTokens(now).contains(b));
}

// Load: many callers refused at once. They return over the time in which the
// streams in progress free capacity, the urgent ones first.
Test(room_estimator, retries_are_spread_by_priority) {
  const RoomEstimatorSettings settings;
  RoomEstimator room(settings);
  const Instant now{};
  for (int i = 0; i < 20; ++i) {
    room.OnStreamBegun();
  }
  cr_assert(room.RetryAfter(RouteRank(0), 0, now, 0) == settings.min_wait);
  cr_assert(room.RetryAfter(RouteRank(0), 0, now, 1) ==
            settings.min_wait + settings.min_spread);
  for (int i = 0; i < 10; ++i) {
    room.OnRefused(RouteRank(0), now);
    room.OnRefused(RouteRank(1), now);
  }
  // A stream ends each 100 ms: ten refused callers take a second.
  cr_assert_float_eq(ToSeconds(room.RetryAfter(RouteRank(0), 0, now, 1)), 1.3,
                     1e-6);
  cr_assert_float_eq(ToSeconds(room.RetryAfter(RouteRank(1), 0, now, 0)), 1,
                     1e-6);
  cr_assert_gt(room.RetryAfter(RouteRank(1), 0.1, now, 0),
               room.RetryAfter(RouteRank(1), 0, now, 0));
  cr_assert(room.RetryAfter(RouteRank(0), 0, now + seconds(2), 1) ==
            settings.min_wait + settings.min_spread);
  for (int i = 0; i < 5000; ++i) {
    room.OnRefused(RouteRank(0), now);
  }
  cr_assert_leq(room.RetryAfter(RouteRank(2), 0.1, now, 1), settings.max_wait);
  cr_assert_lt(room.RetryAfter(RouteRank(2), 0.1, now, 0), settings.max_wait);
}

// Load: more refused requests than are kept.
Test(recent_refusals, are_bounded_and_expire) {
  RecentRefusalsSettings settings;
  settings.max_requests = 10;
  RecentRefusals refusals(settings);
  const Instant now{};
  refusals.OnRefused(1, now);
  cr_assert(!refusals.TakeReturn(2, now));
  cr_assert(refusals.TakeReturn(1, now + milliseconds(29999)));
  refusals.OnRefused(1, now);
  cr_assert(!refusals.TakeReturn(1, now + seconds(30)));
  for (std::uint64_t i = 1; i <= 12; ++i) {
    refusals.OnRefused(i, now + seconds(40));
  }
  cr_assert_eq(refusals.Size(), 10);
  cr_assert(!refusals.TakeReturn(2, now + seconds(41)));
  cr_assert(refusals.TakeReturn(12, now + seconds(41)));
  refusals.Expire(now + seconds(70));
  cr_assert_eq(refusals.Size(), 0);
  cr_assert(!refusals.TakeReturn(11, now + seconds(70)));
}

// Guards against a class without any bound: requests without a body that are
// all alike, of which some are refused.
Test(recent_refusals, each_refusal_stands_for_one_return) {
  RecentRefusals refusals;
  const Instant now{};
  refusals.OnRefused(7, now);
  refusals.OnRefused(7, now + seconds(1));
  cr_assert(refusals.TakeReturn(7, now + seconds(2)));
  // The first refusal, which has returned, expires.
  refusals.Expire(now + seconds(30));
  cr_assert(refusals.TakeReturn(7, now + milliseconds(30500)));
  cr_assert(!refusals.TakeReturn(7, now + milliseconds(30500)));
}

namespace {

using serving::RetryDecision;
using serving::RetryPolicy;
using serving::SendOutcome;

RetryDecision AfterRejections(RetryPolicy* policy,
                              int rejections,
                              Duration time_left,
                              bool budget = true) {
  RetryDecision decision = RetryDecision::kRetry;
  for (int i = 0; i < rejections; ++i) {
    decision = policy->OnSendEnded(SendOutcome::kNotExecuted, time_left,
                                   [budget] { return budget; });
  }
  return decision;
}

}  // namespace

// Load: 244 requests that were refused after one or two full workers, with 20 s
// left and other workers free.
Test(retry_policy, waits_for_capacity_once_servers_have_rejected) {
  const routing::Route route = MakeRoute("chat", 0);
  const auto left = seconds(20);
  RetryPolicy before({}, route);
  cr_assert(AfterRejections(&before, 4, left) == RetryDecision::kRefuse);
  RetryPolicy policy({}, route);
  policy.AllowWaits();
  cr_assert(!policy.MayWait(left));
  cr_assert(AfterRejections(&policy, 3, left) == RetryDecision::kRetry);
  cr_assert(policy.MayWait(left));
  cr_assert(AfterRejections(&policy, 20, left) == RetryDecision::kWait);
  cr_assert(AfterRejections(&policy, 1, left, false) == RetryDecision::kRefuse);
  cr_assert(AfterRejections(&policy, 1, milliseconds(249)) ==
            RetryDecision::kRefuse);
}

// Guards against a stream that is refused with time left because one worker
// could not be connected to. Such workers are no full ones: without a rejection
// there is no wait.
Test(retry_policy, a_send_that_was_not_sent_does_not_end_the_wait) {
  for (const int rejections : {0, 4}) {
    RetryPolicy policy({}, MakeRoute("chat", 0));
    policy.AllowWaits();
    auto decision = AfterRejections(&policy, rejections, seconds(20));
    for (int sends = rejections; sends < 5; ++sends) {
      decision = policy.OnSendEnded(SendOutcome::kNotSent, seconds(20),
                                    [] { return false; });
    }
    cr_assert(decision == (rejections == 0 ? RetryDecision::kRefuse
                                           : RetryDecision::kWait));
  }
}

// Guards against a request that is sent again after it may have run.
Test(retry_policy, does_not_wait_after_a_send_that_may_have_run) {
  routing::Route route = MakeRoute("chat", 0);
  route.kind = routing::RouteKind::kStream;
  route.resumable = true;
  route.attempts = 3;
  RetryPolicy policy({}, route);
  policy.AllowWaits();
  cr_assert(policy.OnSendEnded(SendOutcome::kUnknown, seconds(20),
                               [] { return true; }) == RetryDecision::kRetry);
  cr_assert(!policy.MayWait(seconds(20)));
  cr_assert(AfterRejections(&policy, 5, seconds(20)) == RetryDecision::kFail);
}

// Load: workers that stay full. The waits grow, stay well inside the objective
// first, and end before the time left does.
Test(retry_policy, waits_are_bounded) {
  RetryPolicy policy({}, MakeRoute("chat", 0));
  policy.AllowWaits();
  Duration left = seconds(20);
  Duration objective = milliseconds(500);
  AfterRejections(&policy, 4, left);
  int waits = 0;
  while (policy.MayWait(left)) {
    const Duration wait = policy.NextWait(left, objective, 0.5);
    cr_assert(wait > Duration::zero() && wait <= milliseconds(500));
    cr_assert_leq(wait, left / 8);
    cr_assert(objective <= milliseconds(20) || wait <= objective / 4);
    left -= wait;
    objective -= wait;
    cr_assert_lt(++waits, 200);
  }
  cr_assert_gt(left, milliseconds(150));
}

// Load: two organisations, of which the small one sends the least urgent
// requests. Guards against a shortage that goes on without end because each of
// the two leaves headroom to the other, as a trial has shown.
Test(capacity_policy, shares_and_priorities_do_not_bind_each_other) {
  CapacityPolicy policy = Policy(true);
  Instant now{};
  policy.Shares().Add("large", 90000);
  policy.Shares().Add("small", 5000);
  policy.OnLacked(Claim(0, "large"), {}, now);
  // No worker has room below the lowered bounds, all have within the full one.
  Instant last_bound{};
  for (int i = 0; i < 60; ++i) {
    now += milliseconds(100);
    for (const CapacityClaim& claim : {Claim(2, "small"), Claim(0, "large")}) {
      const UtilisationBounds bounds = policy.BoundsFor(claim, now);
      if (bounds.limit) {
        policy.OnLacked(claim, bounds, now);
        last_bound = now;
      }
    }
  }
  cr_assert_lt(last_bound - Instant{}, seconds(3));
}

// Load: urgent requests that lack capacity without end. The least urgent ones
// are still served at least a quarter as often as all.
Test(capacity_policy, no_priority_or_organisation_is_left_unserved) {
  CapacityPolicy policy = Policy(true);
  Instant now{};
  policy.Shares().Add("large", 90000);
  policy.Shares().Add("small", 5000);
  int served = 0;
  constexpr int kSteps = 400;
  for (int i = 0; i < kSteps; ++i) {
    now += milliseconds(50);
    policy.OnLacked(Claim(0, "small"), {}, now);
    policy.OnServed(Claim(0, "small"), now);
    // No worker has room below the lowered bounds.
    if (policy.BoundsFor(Claim(2), now).limit) {
      policy.OnLacked(Claim(2), {}, now);
      policy.OnRefused(Claim(2), now, 0.5);
    } else {
      policy.OnServed(Claim(2), now);
      ++served;
    }
  }
  // Of all requests (kSteps + served) / (2 * kSteps) are served.
  const double all = (kSteps + served) / (2.0 * kSteps);
  cr_assert_geq(served, 0.25 * all * kSteps, "%d served", served);
  cr_assert_lt(served, kSteps / 2, "%d served: no headroom is left", served);
}

namespace {

// Requests of one rank that arrive at random times.
struct Arrivals {
  PriorityRank rank;
  double per_second = 0;
  int requests = 0;
  int served = 0;

  double Share() const { return static_cast<double>(served) / requests; }
};

// Serves requests of ranks with as many streams as workers have room for, of a
// mean second each; random times keep arrivals and ends out of step. Returns
// the share of all requests that were served.
double ServeFor(CapacityPolicy* policy,
                Duration duration,
                double slots,
                std::vector<Arrivals>* arrivals) {
  constexpr Duration kStep = milliseconds(10);
  std::multiset<Instant> ends;
  Random random(1);
  int requests = 0;
  int served = 0;
  for (Instant now{}; now < Instant{} + duration; now += kStep) {
    ends.erase(ends.begin(), ends.upper_bound(now));
    for (Arrivals& of_rank : *arrivals) {
      if (random.Unit() < of_rank.per_second * ToSeconds(kStep)) {
        const CapacityClaim claim = {"chat", of_rank.rank, "", false};
        const UtilisationBounds bounds = policy->BoundsFor(claim, now);
        ++of_rank.requests;
        ++requests;
        const auto streams = static_cast<double>(ends.size());
        if (streams + 1 <= bounds.limit.value_or(0.95) * slots) {
          policy->OnServed(claim, now);
          ends.insert(now +
                      duration_cast<Duration>(std::chrono::duration<double>(
                          -std::log(1 - random.Unit()))));
          ++of_rank.served;
          ++served;
        } else {
          policy->OnLacked(claim, bounds, now);
          policy->OnRefused(claim, now, 0.5);
        }
      }
    }
  }
  return static_cast<double>(served) / requests;
}

// Six classes: two priorities of organisations, three of routes.
CapacityPolicy PolicyOfSixClasses() {
  CapacityPolicy policy;
  auto data = TableData({0, 1, 2});
  data.keys_required = true;
  data.organisations = {{"a", {"k1"}, 0}, {"b", {"k2"}, 1}};
  policy.ApplyConfig(*routing::RouteTable::Create(data));
  return policy;
}

std::vector<Arrivals> SixRanks(double per_second) {
  std::vector<Arrivals> arrivals;
  for (const std::uint32_t organisation : {1, 0}) {
    for (const std::uint32_t route : {2, 1, 0}) {
      arrivals.push_back({RankOf(organisation, route), per_second});
    }
  }
  return arrivals;
}

}  // namespace

// Load: twice as many requests as workers have room for, of six classes. Guards
// against classes that more urgent ones leave nothing to.
Test(capacity_policy, no_class_is_left_unserved) {
  for (const double per_second : {20.0, 64.0}) {
    CapacityPolicy policy = PolicyOfSixClasses();
    std::vector<Arrivals> arrivals = SixRanks(per_second);
    const double all =
        ServeFor(&policy, seconds(120), 3 * per_second, &arrivals);
    for (const Arrivals& of_rank : arrivals) {
      cr_assert_geq(of_rank.Share(), 0.25 * all, "%u/%u: %.3f of %.3f",
                    of_rank.rank.priority, of_rank.rank.route_priority,
                    of_rank.Share(), all);
      // The most urgent class is the last one.
      cr_assert_leq(of_rank.Share(), arrivals.back().Share());
    }
    // Within an organisation's priority the urgent route is served most.
    cr_assert_gt(arrivals.back().Share(), arrivals[3].Share() + 0.1);
  }
}

// Load: a class that rarely sends requests to this VM, while others lack
// capacity without end.
Test(capacity_policy, a_rare_class_is_not_left_unserved) {
  for (std::size_t rare = 0; rare < 6; ++rare) {
    CapacityPolicy policy = PolicyOfSixClasses();
    std::vector<Arrivals> arrivals = SixRanks(20);
    arrivals[rare].per_second = 0.15;
    const double all = ServeFor(&policy, seconds(600), 60, &arrivals);
    cr_assert_geq(arrivals[rare].Share(), 0.25 * all, "%zu: %.3f of %.3f", rare,
                  arrivals[rare].Share(), all);
  }
}
