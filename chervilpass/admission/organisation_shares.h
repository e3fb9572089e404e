// Max-min fair shares of the capacity of the fleet by organisation, measured in
// tokens in flight. Bertsekas and Gallager, "Data Networks", 2nd edition, 1992,
// section 6.5.2.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "chervilpass/core/time.h"

namespace chervilpass::admission {

/// Settings of OrganisationShares.
struct OrganisationSharesSettings {
  bool enabled = false;
  /// How much less of a worker's capacity an organisation over its share uses.
  double utilisation_step = 0.05;
  /// Reported loads are outdated after this time.
  Duration load_lifetime = seconds(3);
  /// An organisation without a refusal in this time has all that it asks for.
  Duration refusal_lifetime = seconds(1);
  /// How far such an organisation may grow before it counts as over its share.
  double growth = 1.25;
  /// Shares are computed at most once in this time.
  Duration update_interval = milliseconds(100);
  std::size_t max_notices = 32;  ///< the largest organisations, in a datagram

  bool operator==(const OrganisationSharesSettings&) const = default;
};

/// Tokens in flight by organisation, a hash of its name.
using OrganisationTokens = std::map<std::uint32_t, double>;

/// The key of an organisation in the loads that VMs exchange.
std::uint32_t OrganisationKey(const std::string& organisation);

/// The largest amount up to which each demand can be met if all together get
/// `capacity`; infinite if all demands can be met in full.
double FairLevel(std::vector<double> demands, double capacity);

/// Not thread-safe. Requests without an organisation are not counted.
/// Invariant: local tokens are the sums of what was added and not yet removed.
class OrganisationShares {
 public:
  explicit OrganisationShares(OrganisationSharesSettings settings = {})
      : settings(settings) {}

  /// The number of organisations in the configuration.
  void SetOrganisations(std::size_t count) { this->organisations = count; }

  /// False unless shares are enabled and there are two organisations.
  bool Active() const {
    return this->settings.enabled && this->organisations >= 2;
  }

  void Add(const std::string& organisation, double tokens);
  void Remove(const std::string& organisation, double tokens);

  /// Replaces what another VM of this data centre has in flight.
  void OnPeerLoads(const std::string& peer,
                   OrganisationTokens tokens,
                   Instant now);

  /// Replaces what all VMs of another data centre have in flight.
  void OnDataCentreLoads(const std::string& data_centre,
                         OrganisationTokens tokens,
                         Instant now);

  /// Sets the number of VMs that are alive: in the fleet, and other ones in
  /// this data centre.
  void SetVms(std::size_t fleet) { this->fleet_vms = fleet; }
  void SetDataCentrePeers(std::size_t peers) {
    this->data_centre_peers = peers;
  }

  /// What this VM has in flight: the largest organisations.
  OrganisationTokens LocalTokens() const;

  /// What this data centre has in flight: the largest organisations.
  OrganisationTokens DataCentreTokens(Instant now) const;

  /// What the fleet has in flight. Without recent loads of other VMs, this VM's
  /// counts times the number of VMs.
  OrganisationTokens FleetTokens(Instant now) const;

  /// A request of the organisation was refused for lack of capacity.
  void OnRefused(const std::string& organisation, Instant now);

  /// True if the organisation has more than its share in flight: other
  /// organisations cannot get what they ask for beside it.
  bool OverShare(const std::string& organisation, Instant now);

  /// True if another organisation, which was not over its share, was refused
  /// recently.
  bool OthersShort(const std::string& organisation, Instant now) const;

  double UtilisationStep() const { return this->settings.utilisation_step; }

  /// Removes outdated loads and refusals.
  void Expire(Instant now);

 private:
  struct Received {
    OrganisationTokens tokens;
    Instant at;
  };

  bool Recent(const Received& received, Instant now) const {
    return now - received.at < this->settings.load_lifetime;
  }
  OrganisationTokens Largest(const OrganisationTokens& tokens) const;
  bool AddPeers(OrganisationTokens* totals, Instant now) const;
  void Update(Instant now);

  OrganisationSharesSettings settings;
  std::size_t organisations = 0;
  std::size_t fleet_vms = 1;
  std::size_t data_centre_peers = 0;
  OrganisationTokens local;
  std::map<std::string, Received> peers;         ///< by VM
  std::map<std::string, Received> data_centres;  ///< other ones, by name
  std::map<std::uint32_t, Instant> refused;      ///< organisations, lately
  /// Refused organisations that were not over their share.
  std::map<std::uint32_t, Instant> refused_under;
  OrganisationTokens totals;  ///< of the fleet, as of `updated`
  double level = 0;
  Instant updated{};
  bool computed = false;
};

/// Counts tokens of an organisation as in flight during its lifetime.
class TokensInFlight {
 public:
  TokensInFlight(OrganisationShares* shares,
                 std::string organisation,
                 double tokens)
      : shares(shares), organisation(std::move(organisation)), tokens(tokens) {
    this->shares->Add(this->organisation, this->tokens);
  }
  ~TokensInFlight() { this->shares->Remove(this->organisation, this->tokens); }
  TokensInFlight(const TokensInFlight&) = delete;
  TokensInFlight& operator=(const TokensInFlight&) = delete;

 private:
  OrganisationShares* shares;
  std::string organisation;
  double tokens;
};

}  // namespace chervilpass::admission
