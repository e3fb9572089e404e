// Tests of what operators are shown of where a request would be sent.
#include <boost/json.hpp>

#include "chervilpass/serving/route_preview.h"

// Last: its macros clash with headers of Boost.
#include <criterion/criterion.h>

using namespace chervilpass;
using namespace chervilpass::serving;

namespace {

constexpr Instant kStart{};
const std::string kKey = "secret";
const std::string kQuery = "host=h&path=%2Forders%2F1";

void AddServer(RoutingState* state, const std::string& id, std::uint16_t port) {
  routing::BackendServer server;
  server.id = id;
  server.service = "orders";
  server.address = {"10.0.0.1", port};
  server.data_centre = "a";
  server.slots = 4;
  state->Servers().ApplyChange({id, 1, server}, false, kStart);
}

RoutingState State() {
  RoutingStateSettings settings;
  settings.data_centre = "a";
  RoutingState state(settings, 1);
  routing::RouteTableData data;
  data.version = 7;
  routing::Route route;
  route.name = "r";
  route.host = "h";
  route.path_prefix = "/orders/";
  route.priority = 2;
  route.shares = {{"orders", 1}};
  data.routes.push_back(route);
  data.services.push_back({"orders", "", 0, std::nullopt});
  data.organisations.push_back({"o", {}, 1});
  state.ApplyConfig(routing::RouteTable::Create(data));
  return state;
}

io::HttpResponse Ask(const RoutingState& state,
                     const std::string& query,
                     const std::string& authorization = "Token " + kKey,
                     const std::string& key = kKey) {
  io::HttpRequest request;
  request.path = "/v1/where";
  request.query = query;
  request.headers.Add("Authorization", authorization);
  return AnswerPreview(state, request, key, kStart);
}

}  // namespace

Test(route_preview, only_operators_get_an_answer) {
  // Guards against callers who read the state of the fleet.
  const RoutingState state = State();
  cr_assert(Ask(state, kQuery).status == 200);
  cr_assert(Ask(state, kQuery, "Token secre").status == 403);
  cr_assert(Ask(state, kQuery, "Token secrets").status == 403);
  cr_assert(Ask(state, kQuery, "Token ").status == 403);
  cr_assert(Ask(state, kQuery, "Bearer secret").status == 403);
  cr_assert(Ask(state, kQuery, "Token ", "").status == 403);
  cr_assert(Ask(state, "", "Token ", "").status == 403);
}

Test(route_preview, unreadable_questions_are_refused_with_their_fault) {
  // Guards against an answer to another question than the one that was asked.
  const RoutingState state = State();
  for (const char* query :
       {"", "host=h", "path=/orders/", "host=h&path=orders", "host=h&path=/%",
        "host=h&path=/%4", "host=h&path=/%zz", "host=h&path=/%00",
        "host=h&path=/&prompt_tokens=0", "host=h&path=/&prompt_tokens=-1",
        "host=h&path=/&answer_tokens=12x", "host=h&path=/&format=xml",
        "host=h&path=/&colour=red", "host=h&path=/&host", "&", "host=h&path=/&",
        "host=h&path=/&answer_tokens=99999999999999999999",
        "host=h&path=/&organisation=nobody"}) {
    const io::HttpResponse response = Ask(state, query);
    cr_assert(response.status == 400, "%s: %u", query, response.status);
    cr_assert(response.body.size() > 5);
  }
}

Test(route_preview, each_server_has_a_cost_or_what_excludes_it) {
  // Guards against a server that gets no requests for a reason not shown.
  RoutingState state = State();
  AddServer(&state, "s0", 80);
  AddServer(&state, "s1", 81);
  AddServer(&state, "s2", 82);
  state.ServerLoads()["s0"].local = 2;
  state.RecordRest("s1", {}, seconds(3), kStart);
  const auto preview =
      PreviewRoute(state, {"h", "/orders/1", "o", {}, {}, false}, kStart);
  cr_assert(preview.has_value());
  cr_assert(preview.value().route == "r" && preview.value().priority == 1);
  const PreviewedService& service = preview.value().services.front();
  cr_assert(service.destination == "s2" && service.refusal.empty());
  cr_assert(service.candidates[0].cost == 0.5);
  cr_assert(!service.candidates[1].excluded_by.empty());
  cr_assert(!service.candidates[1].cost);
  cr_assert(ToJson(preview.value()).find("\"destination\":\"s2\"") !=
            std::string::npos);
  cr_assert(ToText(preview.value()).find("goes to s2") != std::string::npos);
}

Test(route_preview, a_refusal_states_its_reason_and_when_to_retry) {
  // Guards against an operator who sees no destination and no reason.
  const RoutingState state = State();
  const auto preview =
      PreviewRoute(state, {"h", "/orders/1", "", {}, {}, false}, kStart);
  const PreviewedService& service = preview.value().services.front();
  cr_assert(service.destination.empty() && !service.refusal.empty());
  cr_assert(service.retry_after > Duration::zero());
  const auto unknown =
      PreviewRoute(state, {"h", "/other", "", {}, {}, false}, kStart);
  cr_assert(unknown.has_value() && unknown.value().route.empty());
}

Test(route_preview, the_choice_of_requests_is_not_affected) {
  // Guards against a question that changes what the VM does.
  RoutingState asked = State();
  RoutingState other = State();
  for (RoutingState* state : {&asked, &other}) {
    AddServer(state, "s0", 80);
    AddServer(state, "s1", 81);
  }
  for (int i = 0; i < 20; ++i) {
    Ask(asked, kQuery);
    cr_assert(asked.PickServer("orders", {}, kStart)->id ==
              other.PickServer("orders", {}, kStart)->id);
  }
}

Test(route_preview, the_bounds_of_the_class_are_shown) {
  // Guards against an operator who cannot tell why a less urgent request is
  // refused while workers have capacity.
  RoutingState state = State();
  AddServer(&state, "s0", 80);
  const std::string json_query = kQuery + "&format=json";
  cr_assert(Ask(state, kQuery).body.find("class: none") != std::string::npos);
  cr_assert(Ask(state, json_query).body.find("\"class\":null") !=
            std::string::npos);
  // A second route with a more urgent priority gives the service classes.
  routing::RouteTableData data = state.Table()->Data();
  data.version = 8;
  routing::Route urgent = data.routes.front();
  urgent.name = "urgent";
  urgent.path_prefix = "/urgent/";
  urgent.priority = 0;
  data.routes.push_back(urgent);
  cr_assert(state.ApplyConfig(routing::RouteTable::Create(data)));
  const std::string text = Ask(state, kQuery).body;
  cr_assert(text.find("class: urgency 9, maximum utilisation 0.900, "
                      "weight 2.00") != std::string::npos,
            "%s", text.c_str());
  const auto json = boost::json::parse(Ask(state, json_query).body);
  const auto& shown = json.at("services").at(0).at("class");
  cr_assert_eq(shown.at("urgency").to_number<int>(), 9);
  cr_assert_float_eq(shown.at("maximum_utilisation").to_number<double>(), 0.9,
                     1e-12);
  cr_assert_float_eq(shown.at("weight").to_number<double>(), 2, 1e-12);
  const std::string first = Ask(state, "host=h&path=%2Furgent%2F1").body;
  cr_assert(first.find("class: urgency 0, maximum utilisation 0.950, "
                       "weight 0.50") != std::string::npos,
            "%s", first.c_str());
}
