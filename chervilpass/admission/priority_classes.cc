#include "chervilpass/admission/priority_classes.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <vector>

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

// The least urgent rank of each class. Only neighbours of the same priority
// share a class, so that requests that differ in priority always differ in
// class.
std::set<PriorityRank> LastRanks(const std::set<PriorityRank>& ranks,
                                 std::size_t max_classes) {
  if (ranks.size() <= max_classes) {
    return ranks;
  }
  std::map<std::uint32_t, std::vector<PriorityRank>> by_priority;
  for (const PriorityRank& rank : ranks) {
    by_priority[rank.priority].push_back(rank);
  }
  const std::size_t max_groups =
      std::max<std::size_t>(1, max_classes / by_priority.size());
  std::set<PriorityRank> last;
  for (const auto& [priority, grouped] : by_priority) {
    const std::size_t groups = std::min(max_groups, grouped.size());
    for (std::size_t i = 1; i <= groups; ++i) {
      last.insert(grouped[i * grouped.size() / groups - 1]);
    }
  }
  return last;
}

}  // namespace

std::set<PriorityRank> RanksOf(const routing::RouteTable& table,
                               std::string_view service) {
  std::set<PriorityRank> ranks;
  for (const routing::Route& route : table.Data().routes) {
    if (!Uses(route, service)) {
      continue;
    }
    if (route.open || !table.KeysRequired()) {
      ranks.insert(RankOf(std::nullopt, route.priority));
      continue;
    }
    for (const routing::OrganisationKeys& organisation :
         table.Data().organisations) {
      if (!organisation.keys.empty()) {
        ranks.insert(RankOf(organisation.priority, route.priority));
      }
    }
  }
  return ranks;
}

PriorityClasses::PriorityClasses(const std::set<PriorityRank>& ranks,
                                 const PriorityClassSettings& settings) {
  const auto last_ranks = LastRanks(ranks, settings.max_classes);
  const double last = std::max(1.0, static_cast<double>(last_ranks.size()) - 1);
  const double step =
      std::min(settings.utilisation_step,
               (settings.max_utilisation - settings.min_utilisation) / last);
  double position = 0;
  for (const PriorityRank& rank : last_ranks) {
    PriorityClass& added = this->classes[rank];
    added.urgency =
        static_cast<std::uint32_t>(std::lround(kMaxUrgency * position / last));
    added.max_utilisation = std::max(
        settings.min_utilisation, settings.max_utilisation - position * step);
    added.added_delay_weight = settings.first_added_delay_weight *
                               std::pow(settings.last_added_delay_weight /
                                            settings.first_added_delay_weight,
                                        position / last);
    ++position;
  }
}

std::optional<PriorityClass> PriorityClasses::Of(
    const PriorityRank& rank) const {
  return this->Active() ? std::optional(this->Find(rank)->second)
                        : std::nullopt;
}

PriorityRank PriorityClasses::LastRankOf(const PriorityRank& rank) const {
  return this->Active() ? this->Find(rank)->first : rank;
}

std::map<PriorityRank, PriorityClass>::const_iterator PriorityClasses::Find(
    const PriorityRank& rank) const {
  const auto found = this->classes.lower_bound(rank);
  return found == this->classes.end() ? std::prev(found) : found;
}

std::map<std::string, PriorityClasses> ActiveClasses(
    const routing::RouteTable& table,
    const PriorityClassSettings& settings) {
  std::map<std::string, PriorityClasses> active;
  for (const routing::ServiceProfile& service : table.Data().services) {
    PriorityClasses classes(RanksOf(table, service.name), settings);
    if (classes.Active() && HasRoutesOfSeveralPriorities(table, service.name)) {
      active.emplace(service.name, std::move(classes));
    }
  }
  return active;
}

std::string Describe(const PriorityClass& described) {
  return fmt::format("urgency {}, maximum utilisation {:.3f}, weight {:.2f}",
                     described.urgency, described.max_utilisation,
                     described.added_delay_weight);
}

std::string DescribeClasses(const PriorityClasses& classes) {
  std::string text;
  for (const auto& [rank, described] : classes.All()) {
    text += fmt::format("{}{}/{}: {}", text.empty() ? "" : "; ", rank.priority,
                        rank.route_priority, Describe(described));
  }
  return text;
}

}  // namespace chervilpass::admission
