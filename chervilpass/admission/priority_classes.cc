#include "chervilpass/admission/priority_classes.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace chervilpass::admission {
namespace {

constexpr double kMaxUrgency = 9;

bool Uses(const routing::Route& route, std::string_view service) {
  return std::any_of(route.shares.begin(), route.shares.end(),
                     [service](const routing::ServiceShare& share) {
                       return share.weight > 0 && share.service == service;
                     });
}

bool HasRoutesOfSeveralPriorities(const routing::RouteTable& table,
                                  std::string_view service) {
  std::set<std::uint32_t> priorities;
  for (const routing::Route& route : table.Data().routes) {
    if (Uses(route, service)) {
      priorities.insert(route.priority);
    }
  }
  return priorities.size() > 1;
}

}  // namespace

std::set<std::uint32_t> PrioritiesOf(const routing::RouteTable& table,
                                     std::string_view service) {
  std::set<std::uint32_t> priorities;
  for (const routing::Route& route : table.Data().routes) {
    if (!Uses(route, service)) {
      continue;
    }
    if (route.open || !table.KeysRequired()) {
      priorities.insert(route.priority);
      continue;
    }
    for (const routing::OrganisationKeys& organisation :
         table.Data().organisations) {
      if (!organisation.keys.empty()) {
        priorities.insert(organisation.priority.value_or(route.priority));
      }
    }
  }
  return priorities;
}

PriorityClasses::PriorityClasses(const std::set<std::uint32_t>& priorities,
                                 const PriorityClassSettings& settings) {
  const double last = std::max(1.0, static_cast<double>(priorities.size()) - 1);
  const double step =
      std::min(settings.utilisation_step,
               (settings.max_utilisation - settings.min_utilisation) / last);
  double rank = 0;
  for (const std::uint32_t priority : priorities) {
    PriorityClass& added = this->classes[priority];
    added.urgency =
        static_cast<std::uint32_t>(std::lround(kMaxUrgency * rank / last));
    added.max_utilisation = std::max(settings.min_utilisation,
                                     settings.max_utilisation - rank * step);
    added.added_delay_weight = settings.first_added_delay_weight *
                               std::pow(settings.last_added_delay_weight /
                                            settings.first_added_delay_weight,
                                        rank / last);
    ++rank;
  }
}

std::optional<PriorityClass> PriorityClasses::Of(std::uint32_t priority) const {
  if (!this->Active()) {
    return std::nullopt;
  }
  const auto found = this->classes.lower_bound(priority);
  return found == this->classes.end() ? this->classes.rbegin()->second
                                      : found->second;
}

std::map<std::string, PriorityClasses> ActiveClasses(
    const routing::RouteTable& table,
    const PriorityClassSettings& settings) {
  std::map<std::string, PriorityClasses> active;
  for (const routing::ServiceProfile& service : table.Data().services) {
    PriorityClasses classes(PrioritiesOf(table, service.name), settings);
    if (classes.Active() && HasRoutesOfSeveralPriorities(table, service.name)) {
      active.emplace(service.name, std::move(classes));
    }
  }
  return active;
}

std::string DescribeClasses(const PriorityClasses& classes) {
  std::string text;
  for (const auto& [priority, described] : classes.All()) {
    text += fmt::format(
        "{}{}: urgency {}, maximum utilisation {:.3f}, weight {:.2f}",
        text.empty() ? "" : "; ", priority, described.urgency,
        described.max_utilisation, described.added_delay_weight);
  }
  return text;
}

}  // namespace chervilpass::admission
