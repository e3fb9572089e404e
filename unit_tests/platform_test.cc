// Tests of the adapter to the users' platform: field names, formats and invalid
// input.
#include <fmt/format.h>

#include <functional>

#include "chervilpass/core/random.h"
#include "platform/config_decoder.h"
#include "platform/entry_calls.h"
#include "platform/request_codec.h"
#include "platform/store_client.h"
#include "platform/worker_decoder.h"

// Included last: its macros clash with names in Boost.
#include <criterion/criterion.h>

using namespace chervilpass;
using namespace platform;

namespace {

const std::string kConfig = R"({"version":7,"routes":[
  {"name":"r1","host":"h.example","pathPrefix":"/lohu/","kind":"stream",
   "timeoutMs":20000,"sloMs":500,"priority":1,
   "split":[{"service":"llm","weight":90},{"service":"app","weight":10}],
   "attempts":2,"public":false,"sticky":true,"resumable":true,"gapAimMs":200},
  {"name":"r2","host":"h.example","pathPrefix":"/cufi/","kind":"non_idempotent",
   "timeoutMs":800,"service":"app","public":true}],
 "services":[{"name":"llm","healthPath":"/health","maxConns":988,
   "engine":{"slots":192,"kvBytes":426000,"step_ms":0.85,"per_seq_ms":0.003,
   "context_per_k":0.004,"read_per_s":272000.0,"loads_at_once":6,
   "models":[{"name":"m","loadS":14.0}],"usual":{"prompt":772,"answer":145},
   "layers":80,"layerMb":1750.0,"actBytes":21300,"pipeMbps":9300.0,
   "kinds":[{"name":"t4","mb":14400.0,"pace":15.0,"readX":15.0}]}},
  {"name":"app","healthPath":"/health","maxConns":48}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
   "headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"hule","apiKeys":["k1","k2"],"priority":1}]})";

const std::string kWorker = R"({"service":"llm","address":"10.0.0.9:8080",
  "zone":"a","version":"v1","slots":192,"state":"ready","warmupLeftMs":0,
  "stage":"colocated","models":[{"name":"m","version":1}],"kind":"t4",
  "layers":{"from":10,"target":16,"version":1},"seq":4,"born":1700000000000})";

const std::string kReport = R"({"stage":"colocated","busy":true,"seq":2,
  "waiting":1,"running":12,"kvUsed":41000,"kvTotal":90000,"pace":1.5,
  "layers":{"from":0,"target":6},
  "stalled":[{"id":"r7","address":"10.0.0.9:8080"}]})";

boost::json::value Json(const std::string& text) {
  return *ParseJson(text);
}

io::HttpRequest CallerRequest() {
  io::HttpRequest request;
  request.method = "POST";
  request.target = "/lohu/2f?x=1";
  request.path = "/lohu/2f";
  request.query = "x=1";
  request.body = "body";
  request.headers.Add("Host", "h.example");
  request.headers.Add("Chervilpass-Request-Id", "r1");
  request.headers.Add("Chervilpass-Deadline-Ms", "1500");
  request.headers.Add("Chervilpass-Token-Counts", "1460,80");
  request.headers.Add("Chervilpass-Prompt-Prefix", "5c1e:800,91bd:410");
  request.headers.Add("Chervilpass-Tenant", "forged");
  request.headers.Add("Chervilpass-Hop-Count", "forged");
  request.headers.Add("Authorization", "Token k1");
  request.headers.Add("Connection", "keep-alive, X-Own");
  request.headers.Add("X-Own", "1");
  request.headers.Add("X-End", "2");
  return request;
}

// Mutates a text at a few positions: replaces, deletes, copies or inserts
// bytes.
std::string Mutated(std::string text, Random* random) {
  const std::uint64_t times = 1 + random->Below(4);
  for (std::uint64_t i = 0; i < times && !text.empty(); ++i) {
    const std::size_t at = random->Below(text.size());
    switch (random->Below(4)) {
      case 0:
        text[at] = static_cast<char>(random->Below(256));
        break;
      case 1:
        text.erase(at, 1 + random->Below(12));
        break;
      case 2:
        text.insert(at,
                    text.substr(random->Below(text.size()), random->Below(16)));
        break;
      default: {
        const char* odd[] = {"null", "-1",   "1e99", "[]",
                             "{}",   "\"\"", "true", "99999999999999999999"};
        text.insert(at, odd[random->Below(8)]);
      }
    }
  }
  return text;
}

// Calls `visit` for each member of each object below `value`, which it may
// change as long as it puts it back.
void ForEachMember(boost::json::value& value,
                   const std::function<void(boost::json::object&,
                                            const std::string&)>& visit) {
  if (auto* array = value.if_array()) {
    for (auto& item : *array) {
      ForEachMember(item, visit);
    }
  }
  if (auto* object = value.if_object()) {
    std::vector<std::string> names;
    for (const auto& member : *object) {
      names.emplace_back(member.key());
    }
    for (const std::string& name : names) {
      ForEachMember((*object)[name], visit);
      visit(*object, name);
    }
  }
}

}  // namespace

Test(config_decoder, reads_routes_services_keys_and_limits) {
  const auto result = DecodeConfig(Json(kConfig));
  cr_assert(result.has_value());
  cr_assert(result.value().unreadable.empty());
  const auto& config = result.value().data;
  cr_assert_eq(config.version, 7);
  cr_assert(config.keys_required);
  cr_assert(config.routes[0].kind == routing::RouteKind::kStream);
  cr_assert(config.routes[0].resumable && config.routes[0].MayRepeat());
  cr_assert_eq(config.routes[0].shares.size(), 2);
  cr_assert(config.routes[1].open);
  cr_assert(!config.routes[1].MayRepeat());
  cr_assert((config.routes[1].shares[0].service) == "app");
  const auto& model = *config.services[0].model;
  cr_assert_eq(model.layers, 80);
  cr_assert_eq(model.MaxLayers(model.accelerator_kinds.at("t4")), 8);
  cr_assert(model.step_time == microseconds(850));
  cr_assert(!config.services[1].model);
  cr_assert(config.limits.idle_timeout == seconds(15));
}

namespace {

// The configuration if all of it can be read.
std::optional<routing::RouteTableData> Strict(const boost::json::value& body) {
  auto result = DecodeConfig(body);
  return result.has_error() || !result.value().unreadable.empty()
             ? std::nullopt
             : std::optional(result.value().data);
}

}  // namespace

// Guards against one item of a new form that holds back all other changes.
Test(config_decoder, unreadable_items_keep_their_last_form) {
  const auto known = *Strict(Json(kConfig));
  auto body = Json(kConfig);
  auto& object = body.as_object();
  object["version"] = 8;
  object["routes"].as_array()[0].as_object()["attempts"] = "many";
  object["routes"].as_array()[1].as_object()["timeoutMs"] = 900;
  object["services"].as_array()[0].as_object()["engine"] = "new";
  object["services"].as_array()[1].as_object()["maxConns"] = 50;
  object["tenants"].as_array()[0].as_object()["priority"] = "high";
  object["tenants"].as_array()[0].as_object()["apiKeys"] =
      boost::json::array{"k2", "k3", 4};
  object["limits"].as_object()["maxBodyBytes"] = "any";
  const auto result = DecodeConfig(body, known);
  cr_assert(result.has_value());
  const auto table = routing::RouteTable::Create(result.value().data);
  cr_assert_eq(table->Version(), 8);
  cr_assert_eq(result.value().unreadable.size(), 4);
  for (const auto& item : result.value().unreadable) {
    cr_assert(item.last_kept);
  }
  cr_assert(*table->Find("h.example", "/lohu/x") == known.routes[0]);
  cr_assert(table->Find("h.example", "/cufi/x")->timeout == milliseconds(900));
  cr_assert(*table->Service("llm") == known.services[0]);
  cr_assert_eq(table->Service("app")->connection_limit, 50);
  cr_assert(table->Limits() == known.limits);
  // Keys follow the new form: k1 has been revoked.
  cr_assert(table->KeysRequired());
  cr_assert(table->OrganisationOf("k1") == nullptr);
  cr_assert(table->OrganisationOf("k2") != nullptr);
  cr_assert(table->OrganisationOf("k3")->priority == 1U);
}

// Guards against access without a key through items that cannot be read.
Test(config_decoder, unreadable_items_open_no_route) {
  const auto known = *Strict(Json(kConfig));
  auto body = Json(kConfig);
  auto& routes = body.as_object()["routes"].as_array();
  auto& r2 = routes[1].as_object();
  r2["attempts"] = "many";
  const auto open = [&](const routing::RouteTableData& before) {
    const auto table =
        routing::RouteTable::Create(DecodeConfig(body, before).value().data);
    const auto* route = table->Find("h.example", "/cufi/x");
    return route != nullptr && route->open;
  };
  cr_assert(open(known));
  cr_assert(!open({}));
  // An open route with a shorter prefix does not take its requests.
  boost::json::object wide = routes[1].as_object();
  wide["name"] = "wide";
  wide["pathPrefix"] = "/";
  wide.erase("attempts");
  routes.push_back(wide);
  cr_assert(!open({}));
  for (const boost::json::value& closed :
       {boost::json::value(false), boost::json::value("yes"),
        boost::json::value(nullptr)}) {
    routes[1].as_object()["public"] = closed;
    cr_assert(!open(known));
  }
  for (const boost::json::value& tenants :
       {boost::json::value("new"), boost::json::value(boost::json::array{1}),
        boost::json::value(boost::json::object())}) {
    body.as_object()["tenants"] = tenants;
    cr_assert(DecodeConfig(body, known).value().data.keys_required);
    cr_assert(DecodeConfig(body).value().data.keys_required);
    cr_assert(DecodeConfig(body).value().data.organisations.empty());
  }
}

// Guards against a configuration that is refused as a whole since an optional
// field is null.
Test(config_decoder, fields_that_are_null_count_as_missing) {
  auto body = Json(kConfig);
  std::string seen;
  int optional = 0;
  ForEachMember(body,
                [&](boost::json::object& object, const std::string& name) {
                  const auto value = object[name];
                  object.erase(name);
                  const auto without = Strict(body);
                  object[name] = nullptr;
                  const auto with_null = Strict(body);
                  object[name] = value;
                  optional += without.has_value() ? 1 : 0;
                  if (without.has_value() != with_null.has_value() ||
                      (without.has_value() && !(*without == *with_null))) {
                    seen += " " + name;
                  }
                });
  cr_assert_geq(optional, 25);
  cr_assert(seen.empty(), "%s", seen.c_str());
}

Test(config_decoder, requests_of_an_unknown_kind_are_never_retried) {
  auto body = Json(kConfig);
  body.as_object()["routes"].as_array()[0].as_object()["kind"] = "new_kind";
  const auto result = DecodeConfig(body);
  cr_assert(result.has_value());
  cr_assert(result.value().unreadable.empty());
  cr_assert(!result.value().data.routes[0].MayRepeat());
}

Test(config_decoder, errors_name_the_field) {
  auto body = Json(kConfig);
  body.as_object()["routes"].as_array()[1].as_object()["timeoutMs"] = "soon";
  const auto result = DecodeConfig(body);
  cr_assert(result.has_value());
  cr_assert_eq(result.value().unreadable.size(), 1);
  const UnreadableItem& item = result.value().unreadable[0];
  cr_assert(item.name == "r2");
  cr_assert(item.detail.find("routes[1]: timeoutMs") != std::string::npos, "%s",
            item.detail.c_str());
  // The item is not in use.
  cr_assert(result.value().data.routes[1].shares.empty());
  cr_assert(!result.value().data.routes[1].open);
  body.as_object()["version"] = "new";
  cr_assert(DecodeConfig(body).has_error());
}

Test(worker_decoder, reads_a_registration) {
  const auto server = DecodeWorker("i-1", Json(kWorker));
  cr_assert(server.has_value());
  cr_assert(server.value().layers == (placement::LayerRange{10, 16}));
  cr_assert((server.value().accelerator_kind) == "t4");
  cr_assert_eq(server.value().started.milliseconds, 1700000000000);
  cr_assert(!server.value().leaving);
}

Test(worker_decoder, rejects_missing_and_invalid_fields) {
  for (const char* field :
       {"service", "address", "zone", "version", "slots", "state", "seq"}) {
    auto missing = Json(kWorker);
    missing.as_object().erase(field);
    cr_assert(DecodeWorker("i", missing).has_error(), "%s missing", field);
    auto wrong = Json(kWorker);
    wrong.as_object()[field] = boost::json::array();
    cr_assert(DecodeWorker("i", wrong).has_error(), "%s wrong", field);
  }
  auto state = Json(kWorker);
  state.as_object()["state"] = "resting";
  cr_assert(DecodeWorker("i", state).has_error());
  auto born = Json(kWorker);
  born.as_object()["born"] = 1.5;
  cr_assert(DecodeWorker("i", born).has_error());
  cr_assert(DecodeWorker("i", Json("[1]")).has_error());
}

Test(worker_decoder, decodes_reports_and_encodes_orders) {
  const auto report = DecodeReport(kReport);
  cr_assert(report.has_value());
  cr_assert(report.value().order_in_progress);
  cr_assert_eq(report.value().orders_accepted, 2);
  cr_assert_eq(report.value().stalled.size(), 1);
  cr_assert(
      (EncodePlacementOrder({20, 31}, 5)) ==
      R"({"operation":"place","from":20,"target":31,"mode":"queue","expected":5})");
  const placement::Path path = {{"x", {"10.1.64.9", 8080}, {0, 20}},
                                {"y", {"10.2.64.3", 8080}, {20, 80}}};
  cr_assert((EncodePath(path)) == "10.1.64.9:8080=0-20,10.2.64.3:8080=20-80");
}

Test(request_codec, reads_the_metadata_of_a_request) {
  const auto metadata = ReadRequest(CallerRequest());
  cr_assert(metadata.has_value());
  cr_assert((*metadata.value().key) == "k1");
  cr_assert(*metadata.value().time_left == milliseconds(1500));
  cr_assert_eq(metadata.value().generation->prompt_tokens, 1460);
  cr_assert_eq(metadata.value().generation->max_answer_tokens, 80);
}

namespace {

std::vector<std::string> PromptPartsOf(
    const std::vector<std::string>& prefixes) {
  io::HttpRequest request;
  request.headers.Add("Chervilpass-Request-Id", "r1");
  for (const std::string& prefix : prefixes) {
    request.headers.Add("chervilpass-prompt-prefix", prefix);
  }
  const auto metadata = ReadRequest(request);
  cr_assert(metadata.has_value(), "a request is never refused for its parts");
  return metadata.value().prompt_parts;
}

}  // namespace

Test(request_codec, reads_the_parts_of_a_prompt_without_the_last) {
  using Ids = std::vector<std::string>;
  cr_assert(PromptPartsOf({"5c1e:800,91bd:410,e44:25"}) ==
            (Ids{"5c1e", "91bd"}));
  cr_assert(PromptPartsOf({"5c1e:800"}).empty());
  cr_assert(PromptPartsOf({""}).empty());
  cr_assert(PromptPartsOf({}).empty());
  cr_assert(PromptPartsOf({"5C1E:800, 005c1e:7 ,a:1"}) == Ids{"5c1e"},
            "the same id in another spelling");
  cr_assert(PromptPartsOf({"a:1,,b:2, ,c:3,"}) == (Ids{"a", "b"}),
            "empty items are skipped");
  cr_assert(PromptPartsOf({"a:1,b:2", "c:3"}) == (Ids{"a", "b"}),
            "several fields are one list");
  cr_assert(PromptPartsOf({"0:1,b:2"}) == Ids{"0"});
  for (const std::string malformed :
       {"a:1,b", "a:1,:2,c:3", "a:1,xyz:2,c:3", "a:1,b:x,c:3", "a:1,b:-1,c:3",
        "a:1;b:2", "a b:1,c:2", "0xa:1,b:2"}) {
    cr_assert(PromptPartsOf({malformed}).empty(), "%s", malformed.c_str());
  }
  cr_assert(PromptPartsOf({std::string(65, 'a') + ":1,b:2"}).empty());
  std::string many;
  for (int i = 1; i <= 1000; ++i) {
    many += fmt::format("{:x}:1,", i);
  }
  const auto first = PromptPartsOf({many});
  cr_assert_eq(first.size(), 64);
  cr_assert((first.back()) == "40");
}

Test(request_codec, errors_name_the_header_field) {
  io::HttpRequest request;
  cr_assert(ReadRequest(request).has_error());
  request = CallerRequest();
  request.headers = {};
  request.headers.Add("Chervilpass-Request-Id", "r");
  request.headers.Add("Chervilpass-Deadline-Ms", "soon");
  const auto metadata = ReadRequest(request);
  cr_assert(metadata.has_error());
  cr_assert(metadata.error().detail.find("Deadline") != std::string::npos);
}

Test(request_codec, forwards_a_request_without_hop_by_hop_and_router_fields) {
  serving::ForwardMetadata metadata;
  metadata.instance = "i-7";
  metadata.organisation = "hule";
  metadata.time_left = milliseconds(900);
  metadata.last_event_id = 12;
  const auto out = ForwardedRequest(CallerRequest(), metadata);
  cr_assert((out.method) == "POST");
  cr_assert((out.target) == "/lohu/2f?x=1");
  cr_assert((out.body) == "body");
  cr_assert((*out.headers.Find("Chervilpass-Tenant")) == "hule");
  cr_assert((*out.headers.Find("Chervilpass-Deadline-Ms")) == "900");
  cr_assert((*out.headers.Find("Chervilpass-Expect-Instance")) == "i-7");
  cr_assert((*out.headers.Find("Last-Event-Id")) == "12");
  cr_assert((*out.headers.Find("Chervilpass-Prompt-Prefix")) ==
            "5c1e:800,91bd:410");
  cr_assert((*out.headers.Find("X-End")) == "2");
  for (const char* dropped :
       {"Authorization", "Connection", "X-Own", "Chervilpass-Hop-Count"}) {
    cr_assert(!out.headers.Find(dropped), "%s", dropped);
  }
}

Test(request_codec, reads_the_metadata_of_a_response) {
  io::HttpResponse head;
  head.status = 503;
  head.headers.Add("Chervilpass-Not-Executed", "1");
  head.headers.Add("At-Server", "10.2.64.3:8080");
  head.headers.Add("Chervilpass-Server-Load", "3,1,8");
  const auto metadata = ReadResponse(head);
  cr_assert(metadata.not_executed);
  cr_assert(metadata.faulty_worker->port == 8080);
  cr_assert_eq(metadata.load->slots, 8);
  head.headers = {};
  cr_assert(!ReadResponse(head).not_executed);
  head.status = 421;
  cr_assert(ReadResponse(head).not_executed);
}

Test(request_codec, reads_a_rate_limit_only_if_it_is_one_number) {
  const auto read = [](std::initializer_list<const char*> fields) {
    io::HttpResponse head;
    for (const char* field : fields) {
      head.headers.Add("Server-Limit", field);
    }
    return ReadResponse(head).rate_limit;
  };
  cr_assert(!read({}).limit && !read({}).unreadable);
  cr_assert(read({"11.1"}).limit == 11.1);
  cr_assert(read({" 0.5 "}).limit == 0.5);
  cr_assert(read({"0"}).limit == 0.0);
  cr_assert(read({"1e9"}).limit == 1e9);
  for (const char* text : {"-1", "-0", "nan", "inf", "1e999", "", "1,2", "1;",
                           "a", "0x10", "1 2", "+1"}) {
    cr_assert(read({text}).unreadable && !read({text}).limit, "%s", text);
  }
  cr_assert(read({"1", "2"}).unreadable);
}

// Guards against a rest that is not read, or read from a field that states
// none.
Test(request_codec, reads_a_rest_of_a_refusal_in_seconds) {
  const auto read = [](std::initializer_list<std::string> fields,
                       unsigned status = 503) {
    io::HttpResponse head;
    head.status = status;
    for (const std::string& field : fields) {
      head.headers.Add("retry-after", field);
    }
    return ReadResponse(head).rest;
  };
  cr_assert(!read({}).rest && !read({}).unreadable);
  cr_assert(read({"3"}).rest == seconds(3));
  cr_assert(read({" 0.5\t"}).rest == milliseconds(500));
  cr_assert(read({"3600"}).rest == hours(1));
  cr_assert(read({"7200"}).rest == hours(1));
  cr_assert(read({"99999999999999999999"}).rest == hours(1));
  cr_assert(!read({"3"}, 429).rest && !read({"x"}, 200).unreadable);
  for (const char* text : {"0", "0.0"}) {
    cr_assert(read({text}).rest == Duration::zero(), "%s", text);
    cr_assert(!read({text}).unreadable, "%s", text);
  }
  for (const std::string& text :
       {std::string("-1"), std::string("-0"), std::string("nan"),
        std::string("inf"), std::string("1e999"), std::string("1e2"),
        std::string(""), std::string("3 s"), std::string("3,5"),
        std::string("+1"), std::string("0x10"), std::string("soon"),
        std::string("Fri, 04 Dec 2026 15:00:00 GMT"), std::string(500, '1')}) {
    cr_assert(read({text}).unreadable && !read({text}).rest, "%s",
              text.c_str());
  }
  cr_assert(read({"2", "5", "3"}).rest == seconds(5));
  cr_assert(read({"x", "5"}).rest == seconds(5) && read({"x", "5"}).unreadable);
}

// Guards against a leaving server that is not recognised, or one that is taken
// for leaving because of another value.
Test(request_codec, reads_that_a_server_is_leaving) {
  const auto read = [](const char* value, unsigned status) {
    io::HttpResponse head;
    head.status = status;
    head.headers.Add("server-leaving", value);
    return ReadResponse(head).leaving;
  };
  cr_assert(read("1", 200) && read(" 1 ", 503) && read("1", 421));
  for (const char* value : {"", "0", "true", "11", "1,1", "-1"}) {
    cr_assert(!read(value, 200), "%s", value);
  }
  cr_assert(!ReadResponse({}).leaving);
}

// Guards against callers that see what a server tells routers only.
Test(request_codec, that_a_server_is_leaving_is_not_forwarded) {
  io::HttpResponse head;
  head.status = 500;
  head.headers.Add("server-leaving", "1");
  head.headers.Add("Retry-After", "3");
  const io::HttpResponse forwarded = ForwardedResponse(head);
  cr_assert(!forwarded.headers.Find("Server-Leaving"));
  cr_assert((*forwarded.headers.Find("Retry-After")) == "3");
}

Test(request_codec, only_a_refusal_before_execution_has_a_not_executed_status) {
  using admission::Executed;
  using admission::RefusalCode;
  for (int code = 1; code <= 18; ++code) {
    const auto response = RefusalResponse(
        {static_cast<RefusalCode>(code), Executed::kUnknown, seconds(1), "x"},
        "r1");
    cr_assert(response.status != 429 && response.status != 503 &&
                  response.status != 408 && response.status != 421,
              "code %d", code);
  }
  const auto refused = RefusalResponse(
      {RefusalCode::kNoBackend, Executed::kNo, milliseconds(900), "x"}, "r1");
  cr_assert_eq(refused.status, 503);
  cr_assert((*refused.headers.Find("Retry-After")) == "0.90");
}

Test(entry_calls, reads_requests_and_creates_responses) {
  io::HttpRequest request;
  request.path = "/v1/resolve";
  request.query = "name=h.example&region=r&zone=hal-1";
  const auto entry_request = ReadEntryRequest(request);
  cr_assert(std::get<AddressListRequest>(entry_request).data_centre == "hal-1");
  request.method = "POST";
  cr_assert(std::holds_alternative<UnknownRequest>(ReadEntryRequest(request)));
  cr_assert((AddressListResponse({"10.1.0.40:8227"}, seconds(2)).body) ==
            R"({"addresses":["10.1.0.40:8227"],"ttlS":2E0})");
  cr_assert_eq(ReadinessResponse(false).status, 503);
}

// Malformed input gives an error or a value that satisfies its invariants, and
// never crashes the process.
Test(fuzz, mutated_input_gives_an_error_or_a_valid_value, .timeout = 60) {
  int read = 0;
  for (std::uint64_t seed = 0; seed < 12000; ++seed) {
    Random random(seed);
    if (const auto body = ParseJson(Mutated(kConfig, &random))) {
      const auto result = DecodeConfig(*body);
      if (result.has_value()) {
        ++read;
        const auto table = routing::RouteTable::Create(result.value().data);
        table->Find("h.example", "/lohu/x");
        table->OrganisationOf("k1");
        for (const auto& service : table->Data().services) {
          if (service.model) {
            for (const auto& [name, kind] : service.model->accelerator_kinds) {
              cr_assert_leq(service.model->MaxLayers(kind),
                            service.model->layers);
            }
          }
        }
      }
    }
    if (const auto body = ParseJson(Mutated(kWorker, &random))) {
      const auto server = DecodeWorker("i", *body);
      if (server.has_value()) {
        cr_assert_leq(server.value().layers.from, server.value().layers.to);
        cr_assert_gt(server.value().address.port, 0);
      }
    }
    (void)DecodeReport(Mutated(kReport, &random));
    const std::string object =
        R"({"metadata":{"name":"main","rev":4,"deleting":false},"spec":{}})";
    if (const auto body = ParseJson(Mutated(object, &random))) {
      (void)DecodeObject(*body);
    }
    const io::HttpRequest caller = CallerRequest();
    io::HttpRequest request;
    for (const io::HttpHeader& field : caller.headers.All()) {
      request.headers.Add(field.name, Mutated(field.value, &random));
    }
    (void)ReadRequest(request);
    io::HttpResponse head;
    head.headers.Add("Chervilpass-Server-Load", Mutated("3,1,8", &random));
    head.headers.Add("At-Server", Mutated("10.2.64.3:8080", &random));
    head.headers.Add("Server-Leaving", Mutated("1", &random));
    head.headers.Add("Retry-After", Mutated("1.5", &random));
    head.status = 503;
    const auto rest = ReadResponse(head).rest.rest;
    cr_assert(!rest || (*rest >= Duration::zero() && *rest <= hours(1)));
  }
  cr_assert_gt(read, 100, "mutations are too strong: %d were read", read);
}

// A forwarded request tells how often it may run; a build that does not know
// the field passes it on to no server.
Test(request_codec, a_forwarded_request_carries_the_attempts_that_are_left) {
  io::HttpRequest received = CallerRequest();
  received.headers.Add("Chervilpass-Attempts-Left", "7");
  const auto for_peer = RequestForPeer(received, milliseconds(900), 2, 12);
  const auto metadata = ReadRequest(for_peer);
  cr_assert(metadata.has_value());
  cr_assert(metadata.value().attempts_left == 2U);
  cr_assert(metadata.value().last_event_id == 12U);
  cr_assert(!ForwardedRequest(for_peer, {})
                 .headers.Find("Chervilpass-Attempts-Left"));
  // As the build before forwards it.
  cr_assert(!ReadRequest(CallerRequest()).value().attempts_left);
  const std::pair<const char*, std::optional<std::uint32_t>> values[] = {
      {"0", 1},
      {"1", 1},
      {"4294967296", UINT32_MAX},
      {"99999999999999999999", {}},
      {"-1", {}},
      {"", {}},
      {"two", {}}};
  for (const auto& [text, expected] : values) {
    io::HttpRequest request = CallerRequest();
    request.headers.Add("Chervilpass-Attempts-Left", text);
    cr_assert(ReadRequest(request).value().attempts_left == expected, "%s",
              text);
  }
}

Test(request_codec, a_departure_is_read_by_other_vms_and_not_by_callers) {
  io::HttpResponse response;
  response.headers.Add("Chervilpass-Server-Seal", "seal");
  cr_assert(!ReadDeparture(response));
  AddDeparture(&response, {"i-7f3a", {1700000000000}});
  const auto departure = ReadDeparture(response);
  cr_assert(departure == (serving::ServerDeparture{"i-7f3a", {1700000000000}}));
  cr_assert_eq(ResponseOfPeer(response).headers.All().size(), 1);
  cr_assert_eq(ForwardedResponse(response).headers.All().size(), 1);
  for (const char* text : {"", " ", "5", "5 ", "x i-7", "-5 i-7", "i-7 5",
                           "99999999999999999999 i-7"}) {
    io::HttpResponse malformed;
    malformed.headers.Add("Chervilpass-Departure", text);
    cr_assert(!ReadDeparture(malformed), "%s", text);
  }
}
