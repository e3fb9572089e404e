#include "chervilpass/admission/organisation_shares.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "chervilpass/core/hash.h"

namespace chervilpass::admission {
namespace {

// Below this the rest of a sum of added and removed tokens is a rounding error.
constexpr double kMinTokens = 0.5;

void AddTokens(const OrganisationTokens& tokens,
               double factor,
               OrganisationTokens* totals) {
  for (const auto& [organisation, count] : tokens) {
    (*totals)[organisation] += factor * count;
  }
}

}  // namespace

std::uint32_t OrganisationKey(const std::string& organisation) {
  return static_cast<std::uint32_t>(HashText(organisation));
}

double FairLevel(std::vector<double> demands, double capacity) {
  std::sort(demands.begin(), demands.end());
  double left = capacity;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    const double equal = left / static_cast<double>(demands.size() - i);
    if (demands[i] > equal) {
      return equal;
    }
    left -= demands[i];
  }
  return std::numeric_limits<double>::infinity();
}

void OrganisationShares::Add(const std::string& organisation, double tokens) {
  if (!organisation.empty()) {
    this->local[OrganisationKey(organisation)] += tokens;
  }
}

void OrganisationShares::Remove(const std::string& organisation,
                                double tokens) {
  const auto found = this->local.find(OrganisationKey(organisation));
  if (organisation.empty() || found == this->local.end()) {
    return;
  }
  found->second -= tokens;
  if (found->second < kMinTokens) {
    this->local.erase(found);
  }
}

void OrganisationShares::OnPeerLoads(const std::string& peer,
                                     OrganisationTokens tokens,
                                     Instant now) {
  this->peers[peer] = {std::move(tokens), now};
}

void OrganisationShares::OnDataCentreLoads(const std::string& data_centre,
                                           OrganisationTokens tokens,
                                           Instant now) {
  this->data_centres[data_centre] = {std::move(tokens), now};
}

OrganisationTokens OrganisationShares::Largest(
    const OrganisationTokens& tokens) const {
  if (tokens.size() <= this->settings.max_notices) {
    return tokens;
  }
  std::vector<std::pair<double, std::uint32_t>> ordered;
  for (const auto& [organisation, count] : tokens) {
    ordered.emplace_back(count, organisation);
  }
  std::sort(ordered.rbegin(), ordered.rend());
  ordered.resize(this->settings.max_notices);
  OrganisationTokens largest;
  for (const auto& [count, organisation] : ordered) {
    largest[organisation] = count;
  }
  return largest;
}

OrganisationTokens OrganisationShares::LocalTokens() const {
  return this->Largest(this->local);
}

// Peers without recent loads count with the average of the others. False if
// there are none.
bool OrganisationShares::AddPeers(OrganisationTokens* sums, Instant now) const {
  double recent = 0;
  for (const auto& [peer, received] : this->peers) {
    recent += this->Recent(received, now) ? 1 : 0;
  }
  if (recent == 0) {
    return false;
  }
  const double scale =
      std::max(1.0, static_cast<double>(this->data_centre_peers) / recent);
  for (const auto& [peer, received] : this->peers) {
    if (this->Recent(received, now)) {
      AddTokens(received.tokens, scale, sums);
    }
  }
  return true;
}

OrganisationTokens OrganisationShares::DataCentreTokens(Instant now) const {
  OrganisationTokens sums = this->local;
  if (!this->AddPeers(&sums, now)) {
    sums.clear();
    AddTokens(this->local, 1 + static_cast<double>(this->data_centre_peers),
              &sums);
  }
  return this->Largest(sums);
}

OrganisationTokens OrganisationShares::FleetTokens(Instant now) const {
  OrganisationTokens sums = this->local;
  bool known = this->AddPeers(&sums, now);
  for (const auto& [data_centre, received] : this->data_centres) {
    if (this->Recent(received, now)) {
      known = true;
      AddTokens(received.tokens, 1, &sums);
    }
  }
  if (!known) {
    sums.clear();
    AddTokens(this->local,
              static_cast<double>(std::max<std::size_t>(1, this->fleet_vms)),
              &sums);
  }
  return sums;
}

void OrganisationShares::OnRefused(const std::string& organisation,
                                   Instant now) {
  if (organisation.empty()) {
    return;
  }
  const std::uint32_t key = OrganisationKey(organisation);
  // Before this refusal counts as demand.
  if (!this->OverShare(organisation, now)) {
    this->refused_under[key] = now;
  }
  // A new one is a new demand; others are found within `update_interval`.
  this->computed = this->computed && this->refused.contains(key);
  this->refused[key] = now;
}

// All tokens in flight together are the capacity, which is exact only while it
// is short: the bounds of organisations over their share matter only then.
void OrganisationShares::Update(Instant now) {
  if (this->computed && now - this->updated < this->settings.update_interval) {
    return;
  }
  this->totals = this->FleetTokens(now);
  this->updated = now;
  this->computed = true;
  double capacity = 0;
  for (const auto& [organisation, tokens] : this->totals) {
    capacity += tokens;
  }
  std::vector<double> demands;
  for (const auto& [organisation, tokens] : this->totals) {
    const auto found = this->refused.find(organisation);
    const bool short_of = found != this->refused.end() &&
                          now - found->second < this->settings.refusal_lifetime;
    demands.push_back(short_of ? std::numeric_limits<double>::infinity()
                               : this->settings.growth * tokens);
  }
  // A refused organisation may have nothing in flight.
  for (const auto& [organisation, at] : this->refused) {
    if (!this->totals.contains(organisation) &&
        now - at < this->settings.refusal_lifetime) {
      demands.push_back(std::numeric_limits<double>::infinity());
    }
  }
  this->level = FairLevel(std::move(demands), capacity);
}

bool OrganisationShares::OverShare(const std::string& organisation,
                                   Instant now) {
  if (!this->Active() || organisation.empty()) {
    return false;
  }
  this->Update(now);
  const auto found = this->totals.find(OrganisationKey(organisation));
  return found != this->totals.end() && found->second > this->level;
}

bool OrganisationShares::OthersShort(const std::string& organisation,
                                     Instant now) const {
  const std::uint32_t key = OrganisationKey(organisation);
  return std::any_of(this->refused_under.begin(), this->refused_under.end(),
                     [&](const auto& entry) {
                       return entry.first != key &&
                              now - entry.second <
                                  this->settings.refusal_lifetime;
                     });
}

void OrganisationShares::Expire(Instant now) {
  const auto outdated = [&](const auto& entry) {
    return !this->Recent(entry.second, now);
  };
  std::erase_if(this->peers, outdated);
  std::erase_if(this->data_centres, outdated);
  for (auto* times : {&this->refused, &this->refused_under}) {
    std::erase_if(*times, [&](const auto& entry) {
      return now - entry.second >= this->settings.refusal_lifetime;
    });
  }
}

}  // namespace chervilpass::admission
