#include "programs/ctl/where.h"

#include <fmt/format.h>

#include <fstream>

#include "chervilpass/app/program.h"
#include "chervilpass/io/http_client.h"

namespace chervilpass {
namespace {

constexpr Duration kTimeout = seconds(5);
constexpr std::string_view kTarget = "/v1/where";

std::string PercentEncode(std::string_view text) {
  std::string encoded;
  for (const char c : text) {
    const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                       (c >= '0' && c <= '9') || c == '-' || c == '.' ||
                       c == '_' || c == '/' || c == ':';
    encoded += plain ? std::string(1, c)
                     : fmt::format("%{:02X}", static_cast<unsigned char>(c));
  }
  return encoded;
}

int Ask(io::Runtime* runtime,
        const io::Endpoint& router,
        const io::HttpRequest& request) {
  const auto client = io::HttpClient::Create(runtime, {});
  const auto response = client->Call(router, request, kTimeout);
  if (response.has_error()) {
    fmt::print(stderr, "{} does not answer: {}\n", router.ToText(),
               response.error().detail);
    return app::kExitFailure;
  }
  if (response.value().status != 200) {
    fmt::print(stderr, "status {}: {}", response.value().status,
               response.value().body);
    return response.value().status == 400 ? app::kExitBadInput
                                          : app::kExitFailure;
  }
  fmt::print("{}", response.value().body);
  return app::kExitOk;
}

}  // namespace

int Where(const std::vector<std::string>& arguments,
          const std::string& key_file,
          bool json) {
  const auto router =
      arguments.size() < 3 ? std::nullopt : io::Endpoint::Parse(arguments[0]);
  if (!router) {
    fmt::print(stderr,
               "where ROUTER-IP:METRICS-PORT HOST PATH [organisation=NAME] "
               "[prompt_tokens=N] [answer_tokens=N]\n");
    return app::kExitBadInput;
  }
  std::ifstream file(key_file);
  std::string key;
  if (!(file >> key)) {
    fmt::print(stderr,
               "--key-file: a file with the operators' key is expected\n");
    return app::kExitBadInput;
  }
  io::HttpRequest request;
  request.path = kTarget;
  request.query = "host=" + PercentEncode(arguments[1]) +
                  "&path=" + PercentEncode(arguments[2]);
  for (std::size_t i = 3; i < arguments.size(); ++i) {
    const std::size_t equals = arguments[i].find('=');
    request.query +=
        "&" + (equals == std::string::npos
                   ? PercentEncode(arguments[i])
                   : arguments[i].substr(0, equals + 1) +
                         PercentEncode(arguments[i].substr(equals + 1)));
  }
  request.query += json ? "&format=json" : "";
  request.headers.Add("Authorization", "Token " + key);
  io::Runtime::Run([&](io::Runtime& runtime) {
    app::ExitNow(Ask(&runtime, *router, request));
  });
  return app::kExitOk;
}

}  // namespace chervilpass
