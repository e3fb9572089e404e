// Decides how much of the workers' capacity a request may use, and when its
// caller should retry if there is none: by its priority, by its organisation's
// share, and by the requests that lacked capacity recently.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "chervilpass/admission/capacity_shortage.h"
#include "chervilpass/admission/organisation_shares.h"
#include "chervilpass/admission/priority_classes.h"
#include "chervilpass/admission/recent_refusals.h"
#include "chervilpass/admission/room_estimator.h"
#include "chervilpass/admission/served_floor.h"

namespace chervilpass::admission {

/// Settings of a CapacityPolicy.
struct CapacityPolicySettings {
  PriorityClassSettings classes;
  OrganisationSharesSettings shares;
  /// Of classes. With several classes many of them send few requests to a VM.
  ServedFloorSettings floor{.retention = seconds(300)};

  bool operator==(const CapacityPolicySettings&) const = default;
};

/// A request that asks for capacity.
struct CapacityClaim {
  std::string service;
  PriorityRank rank;
  std::string organisation;  ///< empty if it has none
  /// This VM has refused it lately for lack of capacity.
  bool returned = false;

  bool operator==(const CapacityClaim&) const = default;
};

/// Maximum utilisation of workers for a request; none is the common maximum.
struct UtilisationBounds {
  std::optional<double> preferred;  ///< leaves headroom to others
  /// If nothing is free under the preferred one: without the headroom that
  /// nobody has lacked recently.
  std::optional<double> limit;
  /// `limit` leaves headroom to other organisations.
  bool limited_by_share = false;

  bool operator==(const UtilisationBounds&) const = default;
};

/// Not thread-safe.
class CapacityPolicy {
 public:
  explicit CapacityPolicy(CapacityPolicySettings settings = {});

  /// Derives the classes and the number of organisations.
  void ApplyConfig(const routing::RouteTable& table);

  /// The classes of requests to a service.
  const PriorityClasses& ClassesOf(const std::string& service) const;

  /// Active classes of all services.
  const std::map<std::string, PriorityClasses>& Classes() const {
    return this->classes;
  }

  /// False if all requests to the service are treated alike.
  bool ActiveFor(const std::string& service) const {
    return this->ClassesOf(service).Active() || this->shares.Active();
  }

  /// The bounds for a request that has not run. A request that returned is not
  /// bound by its class: newer ones of its class may have been served. A
  /// class or organisation that is served far less often than all requests
  /// is not bound while that is so.
  UtilisationBounds BoundsFor(const CapacityClaim& claim, Instant now);

  /// The request found no capacity within its bounds: less urgent ones, unless
  /// it left headroom to other organisations itself, and organisations over
  /// their share leave headroom from now on.
  void OnLacked(const CapacityClaim& claim,
                const UtilisationBounds& bounds,
                Instant now);

  /// A server has begun to respond to the request.
  void OnServed(const CapacityClaim& claim, Instant now);

  /// The request is refused for lack of capacity. Returns when its caller
  /// should retry; `draw` is uniform in [0, 1).
  Duration OnRefused(const CapacityClaim& claim, Instant now, double draw);

  /// Services in which a request lacked capacity recently.
  std::set<std::string> ShortServices(Instant now) const {
    return this->shortage.Services(now);
  }

  OrganisationShares& Shares() { return this->shares; }
  RoomEstimator& RoomOf(const std::string& service) {
    return this->rooms[service];
  }
  RecentRefusals& Refusals() { return this->refusals; }

  void Expire(Instant now);

 private:
  // The same for all requests of a class.
  PriorityRank ClassRankOf(const CapacityClaim& claim) const {
    return this->ClassesOf(claim.service).LastRankOf(claim.rank);
  }
  std::string ClassKind(const CapacityClaim& claim) const;

  CapacityPolicySettings settings;
  std::map<std::string, PriorityClasses> classes;  ///< by service
  CapacityShortage shortage;
  OrganisationShares shares;
  std::map<std::string, RoomEstimator> rooms;  ///< by service
  RecentRefusals refusals;
  ServedFloor by_class;         ///< of each service
  ServedFloor by_organisation;  ///< of each service
};

/// Counts a run of a stream as in progress during its lifetime.
class CountedRun {
 public:
  CountedRun(CapacityPolicy* policy,
             std::string service,
             std::string organisation,
             double tokens)
      : policy(policy),
        service(std::move(service)),
        tokens(&policy->Shares(), std::move(organisation), tokens) {
    this->policy->RoomOf(this->service).OnStreamBegun();
  }
  ~CountedRun() { this->policy->RoomOf(this->service).OnStreamEnded(); }
  CountedRun(const CountedRun&) = delete;
  CountedRun& operator=(const CountedRun&) = delete;

 private:
  CapacityPolicy* policy;
  std::string service;
  TokensInFlight tokens;
};

}  // namespace chervilpass::admission
