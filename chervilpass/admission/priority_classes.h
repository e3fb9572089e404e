// Classes of requests by rank: what sets a request of one priority apart from
// requests of the others that use the same service.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "chervilpass/admission/priority_rank.h"
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
  /// Ranks beyond this number are grouped, but never across priorities: there
  /// are as many classes as priorities then, if those are more. One for each
  /// urgency that servers distinguish.
  std::size_t max_classes = 10;

  bool operator==(const PriorityClassSettings&) const = default;
};

/// How requests of one class are treated.
struct PriorityClass {
  std::uint32_t urgency = 0;  ///< stated to servers; 0 is the most urgent
  double max_utilisation = 0;
  double added_delay_weight = 1;

  bool operator==(const PriorityClass&) const = default;
};

/// The ranks with which requests can use a service.
std::set<PriorityRank> RanksOf(const routing::RouteTable& table,
                               std::string_view service);

/// The classes of one service. Immutable.
/// Invariant: a more urgent class has no higher urgency number, no lower
/// maximum utilisation and no higher weight of the delay that it adds.
class PriorityClasses {
 public:
  /// Without any rank, as for a service that is not known.
  PriorityClasses() = default;

  explicit PriorityClasses(const std::set<PriorityRank>& ranks,
                           const PriorityClassSettings& settings = {});

  /// False if there are no two ranks: requests are treated alike then.
  bool Active() const { return this->classes.size() > 1; }

  /// The class of a rank: of the next less urgent one if there is none, as for
  /// a request that was received under another configuration. None if not
  /// active.
  std::optional<PriorityClass> Of(const PriorityRank& rank) const;

  /// The least urgent rank of the class that Of() returns: the same for all
  /// requests of a class, and in the order of the classes. The rank itself if
  /// not active.
  PriorityRank LastRankOf(const PriorityRank& rank) const;

  /// True if no class is more urgent.
  bool MostUrgent(const PriorityRank& rank) const {
    return !this->Active() || rank <= this->classes.begin()->first;
  }

  /// By their least urgent ranks.
  const std::map<PriorityRank, PriorityClass>& All() const {
    return this->classes;
  }

  bool operator==(const PriorityClasses&) const = default;

 private:
  std::map<PriorityRank, PriorityClass>::const_iterator Find(
      const PriorityRank& rank) const;

  std::map<PriorityRank, PriorityClass> classes;  ///< by least urgent rank
};

/// Classes of the services of a configuration, by name: active ones only. A
/// service has them if its routes differ in priority: organisations of
/// different priorities that make the same requests are served alike.
std::map<std::string, PriorityClasses> ActiveClasses(
    const routing::RouteTable& table,
    const PriorityClassSettings& settings = {});

/// "urgency U, maximum utilisation M, weight W".
std::string Describe(const PriorityClass& described);

/// Each class with its least urgent rank, "PRIORITY/ROUTE PRIORITY", for the
/// log.
std::string DescribeClasses(const PriorityClasses& classes);

}  // namespace chervilpass::admission
