#include "chervilpass/admission/capacity_policy.h"

#include <fmt/format.h>

#include <algorithm>

namespace chervilpass::admission {
namespace {

// Lowers a bound, which is the common maximum if it has no value.
void Lower(std::optional<double>* bound, double maximum, double step) {
  *bound = bound->value_or(maximum) - step;
}

std::string OrganisationKind(const CapacityClaim& claim) {
  return claim.service + " " + claim.organisation;
}

}  // namespace

CapacityPolicy::CapacityPolicy(CapacityPolicySettings settings)
    : settings(settings), shares(settings.shares), by_class(settings.floor) {}

void CapacityPolicy::ApplyConfig(const routing::RouteTable& table) {
  this->classes = ActiveClasses(table, this->settings.classes);
  const auto& organisations = table.Data().organisations;
  this->shares.SetOrganisations(table.KeysRequired() ? organisations.size()
                                                     : 0);
  std::erase_if(this->rooms, [&](const auto& entry) {
    return table.Service(entry.first) == nullptr;
  });
}

const PriorityClasses& CapacityPolicy::ClassesOf(
    const std::string& service) const {
  static const PriorityClasses kInactive;
  const auto found = this->classes.find(service);
  return found == this->classes.end() ? kInactive : found->second;
}

std::string CapacityPolicy::ClassKind(const CapacityClaim& claim) const {
  const PriorityRank rank = this->ClassRankOf(claim);
  return fmt::format("{} {}/{}", claim.service, rank.priority,
                     rank.route_priority);
}

UtilisationBounds CapacityPolicy::BoundsFor(const CapacityClaim& claim,
                                            Instant now) {
  UtilisationBounds bounds;
  const PriorityClasses& of_service = this->ClassesOf(claim.service);
  if (!claim.returned && !of_service.MostUrgent(claim.rank)) {
    const auto of_request = of_service.Of(claim.rank);
    bounds.preferred = of_request->max_utilisation;
    if (this->shortage.ShortFor(claim.service, this->ClassRankOf(claim), now) &&
        !this->by_class.Below(this->ClassKind(claim), now)) {
      bounds.limit = bounds.preferred;
    }
  }
  if (this->shares.OverShare(claim.organisation, now)) {
    const double maximum = this->settings.classes.max_utilisation;
    const double step = this->shares.UtilisationStep();
    Lower(&bounds.preferred, maximum, step);
    if (this->shares.OthersShort(claim.organisation, now) &&
        !this->by_organisation.Below(OrganisationKind(claim), now)) {
      Lower(&bounds.limit, maximum, step);
      bounds.limited_by_share = true;
    }
  }
  return bounds;
}

// Otherwise an organisation over its share would make the less urgent requests
// of the others leave headroom, and their refusals would bind it in turn.
void CapacityPolicy::OnLacked(const CapacityClaim& claim,
                              const UtilisationBounds& bounds,
                              Instant now) {
  if (!bounds.limited_by_share) {
    this->shortage.OnRefused(claim.service, this->ClassRankOf(claim), now);
  }
  this->shares.OnRefused(claim.organisation, now);
}

void CapacityPolicy::OnServed(const CapacityClaim& claim, Instant now) {
  if (this->ActiveFor(claim.service)) {
    this->by_class.OnEnded(this->ClassKind(claim), true, now);
    this->by_organisation.OnEnded(OrganisationKind(claim), true, now);
  }
}

Duration CapacityPolicy::OnRefused(const CapacityClaim& claim,
                                   Instant now,
                                   double draw) {
  this->by_class.OnEnded(this->ClassKind(claim), false, now);
  this->by_organisation.OnEnded(OrganisationKind(claim), false, now);
  RoomEstimator& room = this->RoomOf(claim.service);
  const PriorityRank rank = this->ClassRankOf(claim);
  room.OnRefused(rank, now);
  const auto bound = this->BoundsFor(claim, now).limit;
  const double maximum = this->settings.classes.max_utilisation;
  const double headroom =
      std::max(0.0, maximum - bound.value_or(maximum)) / maximum;
  return room.RetryAfter(rank, headroom, now, draw);
}

void CapacityPolicy::Expire(Instant now) {
  this->shortage.Expire(now);
  this->shares.Expire(now);
  this->refusals.Expire(now);
  this->by_class.Expire(now);
  this->by_organisation.Expire(now);
}

}  // namespace chervilpass::admission
