// Writes a RoutePreview as text and as JSON.
#include <fmt/format.h>

#include <boost/json.hpp>

#include "chervilpass/serving/route_preview.h"

namespace chervilpass::serving {
namespace {

namespace json = boost::json;

json::value ToValue(const PreviewCandidate& candidate) {
  json::object value = {{"server", candidate.server},
                        {"data_centre", candidate.data_centre},
                        {"from", candidate.layers.from},
                        {"to", candidate.layers.to},
                        {"pace", candidate.pace},
                        {"requests", candidate.requests},
                        {"slots", candidate.slots},
                        {"send_wait_ms", ToMilliseconds(candidate.send_wait)}};
  value["cost"] = candidate.cost ? json::value(*candidate.cost) : json::value();
  value["excluded_by"] = candidate.excluded_by.empty()
                             ? json::value()
                             : json::value(candidate.excluded_by);
  return value;
}

json::value ClassValue(const std::optional<admission::PriorityClass>& shown) {
  if (!shown) {
    return nullptr;
  }
  return json::object{{"urgency", shown->urgency},
                      {"maximum_utilisation", shown->max_utilisation},
                      {"weight", shown->added_delay_weight}};
}

}  // namespace

std::string ToText(const RoutePreview& preview) {
  std::string text =
      fmt::format("configuration {}\nroute {}\norganisation {}\npriority {}\n",
                  preview.config_version,
                  preview.route.empty() ? "none: 404" : preview.route,
                  preview.organisation.empty() ? "none" : preview.organisation,
                  preview.priority);
  for (const PreviewedService& service : preview.services) {
    text += fmt::format(
        "service {} (weight {}): {}\n", service.service, service.weight,
        service.refusal.empty()
            ? "goes to " + service.destination
            : fmt::format("refused: {}, Retry-After {} ms or more",
                          service.refusal,
                          ToMilliseconds(service.retry_after)));
    text += fmt::format("  class: {}\n",
                        service.priority_class
                            ? admission::Describe(*service.priority_class)
                            : "none, all requests are treated alike");
    for (const PreviewCandidate& candidate : service.candidates) {
      text += fmt::format(
          "  {} {} layers {}-{} pace {:.2f} requests {:.0f} of {:.0f} "
          "wait {} ms: {}\n",
          candidate.server, candidate.data_centre, candidate.layers.from,
          candidate.layers.to, candidate.pace, candidate.requests,
          candidate.slots, ToMilliseconds(candidate.send_wait),
          candidate.cost ? fmt::format("cost {:.3f}", *candidate.cost)
                         : candidate.excluded_by);
    }
  }
  return text;
}

std::string ToJson(const RoutePreview& preview) {
  json::array services;
  for (const PreviewedService& service : preview.services) {
    json::array candidates;
    for (const PreviewCandidate& candidate : service.candidates) {
      candidates.push_back(ToValue(candidate));
    }
    services.push_back(
        json::object{{"service", service.service},
                     {"weight", service.weight},
                     {"class", ClassValue(service.priority_class)},
                     {"destination", service.destination},
                     {"refusal", service.refusal},
                     {"retry_after_ms", ToMilliseconds(service.retry_after)},
                     {"candidates", std::move(candidates)}});
  }
  return json::serialize(
      json::object{{"config_version", preview.config_version},
                   {"route", preview.route},
                   {"organisation", preview.organisation},
                   {"priority", preview.priority},
                   {"services", std::move(services)}});
}

}  // namespace chervilpass::serving
