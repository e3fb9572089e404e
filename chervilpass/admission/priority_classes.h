// Classes of requests by priority: what sets a request of one priority apart
// from requests of the others that use the same service.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "chervilpass/core/time.h"
#include "chervilpass/routing/route_table.h"

namespace chervilpass::admission {

/// Settings of PriorityClasses. The values for the classes between the most
/// and the least urgent one are evenly spaced.
struct PriorityClassSettings {
  /// Share of a worker's capacity up to which the most urgent class uses it.
  double max_utilisation = 0.95;
  /// How much less of it each further class uses, and the least that any uses.
  /// A twentieth of the slots of a worker are the requests that a fleet sends
  /// to it within about a load report's age.
  double utilisation_step = 0.05;
  double min_utilisation = 0.8;
  /// Weight of the delay that a request adds to others relative to its own, of
  /// the most and the least urgent class.
  double first_added_delay_weight = 0.5;
  double last_added_delay_weight = 2;

  bool operator==(const PriorityClassSettings&) const = default;
};

/// How requests of one priority are treated.
struct PriorityClass {
  std::uint32_t urgency = 0;  ///< stated to servers; 0 is the most urgent
  double max_utilisation = 0;
  double added_delay_weight = 1;

  bool operator==(const PriorityClass&) const = default;
};

/// The priorities with which requests can use a service. An organisation's
/// priority takes precedence over that of the route.
std::set<std::uint32_t> PrioritiesOf(const routing::RouteTable& table,
                                     std::string_view service);

/// The classes of one service. Immutable.
/// Invariant: a more urgent class has no higher urgency number, no lower
/// maximum utilisation and no higher weight of the delay that it adds.
class PriorityClasses {
 public:
  /// Without any priority, as for a service that is not known.
  PriorityClasses() = default;

  explicit PriorityClasses(const std::set<std::uint32_t>& priorities,
                           const PriorityClassSettings& settings = {});

  /// False if there are no two priorities: requests are treated alike then.
  bool Active() const { return this->classes.size() > 1; }

  /// The class of a priority: of the next less urgent one if there is none, as
  /// for a request that was received under another configuration. None if not
  /// active.
  std::optional<PriorityClass> Of(std::uint32_t priority) const;

  /// True if no priority is more urgent.
  bool MostUrgent(std::uint32_t priority) const {
    return !this->Active() || priority <= this->classes.begin()->first;
  }

  const std::map<std::uint32_t, PriorityClass>& All() const {
    return this->classes;
  }

  bool operator==(const PriorityClasses&) const = default;

 private:
  std::map<std::uint32_t, PriorityClass> classes;  ///< by priority
};

/// Classes of the services of a configuration, by name: active ones only. A
/// service has them if its routes differ in priority: organisations of
/// different priorities that make the same requests are served alike.
std::map<std::string, PriorityClasses> ActiveClasses(
    const routing::RouteTable& table,
    const PriorityClassSettings& settings = {});

/// "PRIORITY: urgency U, maximum utilisation M, weight W" of each class, for
/// the log.
std::string DescribeClasses(const PriorityClasses& classes);

}  // namespace chervilpass::admission
