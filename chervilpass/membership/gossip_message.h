// Messages that VMs exchange by gossip, each in one datagram.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "chervilpass/core/time.h"
#include "chervilpass/membership/member.h"
#include "chervilpass/membership/member_table.h"
#include "chervilpass/quarantine/strike.h"

namespace chervilpass::membership {

enum class MessageKind : std::uint8_t {
  kPing,
  kAck,
  kPingRequest,
  kJoin,
  kLoads,  ///< Carries loads only; ignored by the detector.
};

/// Load in flight on one worker, from one VM or from all of a data centre.
struct WorkerLoadNotice {
  std::uint32_t worker = 0;  ///< hash of the worker's id
  std::uint16_t sequences = 0;
  std::uint32_t kv_kilo_token_layers = 0;  ///< reserved, in thousands
  /// 0: no statement about a rate limit; 1: the server takes any number of
  /// requests; else 2 more than its limit in thousandths of requests a second.
  std::uint32_t rate_limit = 0;
  std::uint16_t rate_limit_age = 0;  ///< of the statement, 1/100 s

  auto operator<=>(const WorkerLoadNotice&) const = default;
};

/// Reports that a backend server accepts no new work: the VM list says that it
/// is leaving, or it kept refusing despite free capacity.
struct LeavingNotice {
  std::string backend;
  WallTime at;  ///< time of the report, by the clock of the reporting VM

  auto operator<=>(const LeavingNotice&) const = default;
};

/// Reports that a backend server did not answer a request.
struct UnreachableNotice {
  std::string backend;
  WallTime at;  ///< time of detection, by the clock of the detecting VM

  auto operator<=>(const UnreachableNotice&) const = default;
};

/// Reports that a start of a backend server has said that it leaves.
struct DepartureNotice {
  std::string backend;
  WallTime started;
  WallTime at;  ///< time of the statement, by the clock of the reporting VM

  auto operator<=>(const DepartureNotice&) const = default;
};

/// Reports that a worker has just refused a request for lack of capacity.
struct FullWorkerNotice {
  std::uint32_t worker = 0;        ///< hash of the worker's id
  std::uint16_t milliseconds = 0;  ///< for so long it should get no request

  auto operator<=>(const FullWorkerNotice&) const = default;
};

/// Tokens of an organisation's requests that a VM has in flight.
struct OrganisationLoadNotice {
  std::uint32_t organisation = 0;  ///< hash of its name
  std::uint32_t tokens = 0;

  auto operator<=>(const OrganisationLoadNotice&) const = default;
};

/// The share of its full load that a start of a backend server is given.
struct ServerPaceNotice {
  std::uint64_t start = 0;  ///< hash of the server's id and start
  std::uint8_t share = 0;   ///< of 255
  std::uint16_t age = 0;    ///< of the statement, 1/100 s

  auto operator<=>(const ServerPaceNotice&) const = default;
};

/// What a list of loads that is not whole says of the loads that it lacks.
struct PartialLoads {
  /// Of a VM's own loads: the list is a random sample, this share of 65535 of
  /// all. 0 for sums of a data centre.
  std::uint16_t share = 0;
  /// Of a data centre's sums: the average of the workers that are not listed.
  std::uint32_t rest_sequences_hundredths = 0;
  std::uint32_t rest_kv_kilo_token_layers = 0;

  auto operator<=>(const PartialLoads&) const = default;
};

/// Contents of one datagram. The first member is the sender itself, with two
/// exceptions: messages of kind kLoads have no members, and the list of members
/// sent in answer to a join request continues in further datagrams.
struct GossipMessage {
  MessageKind kind = MessageKind::kPing;
  std::uint64_t sequence = 0;
  std::string from;
  std::string target;  ///< for kPingRequest: the member to probe
  std::vector<Member> members;
  std::vector<quarantine::Strike> strikes;
  std::vector<quarantine::Clearance> clearances;
  std::vector<LeavingNotice> leaving;
  std::vector<UnreachableNotice> unreachable;
  std::vector<DepartureNotice> departures;
  std::vector<WorkerLoadNotice> loads;
  /// True if the loads are totals of the sender's data centre, not of the
  /// sender alone.
  bool loads_of_data_centre = false;
  /// Set if `loads` is not the whole list. Builds without the field ignore
  /// such messages: they carry no sender that these know.
  std::optional<PartialLoads> partial_loads;
  /// In messages of kind kLoads, as the following two.
  std::vector<FullWorkerNotice> full_workers;
  std::vector<OrganisationLoadNotice> organisation_loads;
  std::vector<ServerPaceNotice> server_paces;
  /// Changes of members that the receiver is taken to know.
  std::vector<MemberUpdate> updates;
  /// Digest of the sender's table; 0: its build does not compare tables.
  std::uint64_t table_digest = 0;
  /// Digests of the parts of the sender's table, if the tables differ.
  std::optional<BucketDigests> bucket_digests;
  /// Buckets of which `updates` has all records, one bit for each. The receiver
  /// replies with those that the sender lacks.
  std::uint64_t listed_buckets = 0;
  /// VMs whose whole records the sender asks for, by MemberKey.
  std::vector<std::uint64_t> wanted;
  /// The receiver passes on the notices that are new to it at once.
  bool pass_on = false;

  bool operator==(const GossipMessage&) const = default;
};

}  // namespace chervilpass::membership
