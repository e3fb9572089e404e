// Values that cross between the daemons, free of Cap'n Proto types.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "chervilpass/admission/refusal.h"
#include "chervilpass/core/time.h"
#include "chervilpass/io/http.h"
#include "chervilpass/membership/member.h"
#include "chervilpass/quarantine/strike.h"

namespace chervilpass::rpc {

/// One attempt at a completion.
struct CompletionRequest {
  std::string request_id;
  std::string session;  ///< name of the session on the engines
  std::string organisation;
  std::string pipeline;
  std::uint32_t cell = 0;
  std::vector<std::uint32_t> prompt;    ///< token ids
  std::vector<std::uint32_t> accepted;  ///< token ids the caller has already
  std::uint32_t max_tokens = 0;         ///< in all, accepted ones included
  std::uint64_t seed = 0;
  std::uint32_t epoch = 0;  ///< rises with each attempt of one request
  Duration deadline{0};     ///< from now
  std::uint64_t fingerprint = 0;

  bool operator==(const CompletionRequest&) const = default;
};

/// The completion ended with its last token.
struct Finished {
  std::uint32_t tokens = 0;  ///< in all, accepted ones included

  bool operator==(const Finished&) const = default;
};

/// How an attempt at a completion ended, with the load of the cell.
struct CompletionOutcome {
  std::variant<Finished, admission::Refusal> result;
  std::uint32_t in_flight = 0;  ///< sessions of the cell
  std::uint32_t capacity = 0;   ///< sessions the cell can hold

  bool operator==(const CompletionOutcome&) const = default;
};

/// A call to a plain service.
struct ServiceRequest {
  std::string request_id;
  std::string organisation;
  std::string service;
  std::string idempotency_key;  ///< Empty if the call may be repeated.
  io::HttpRequest call;
  Duration deadline{0};  ///< from now

  bool operator==(const ServiceRequest&) const = default;
};

/// How a call to a plain service ended.
struct ServiceOutcome {
  std::variant<io::HttpResponse, admission::Refusal> result;
  bool replayed = false;  ///< An earlier outcome, returned again.

  bool operator==(const ServiceOutcome&) const = default;
};

/// What the ledger knows of an idempotency key.
struct ClaimAbsent {
  bool operator==(const ClaimAbsent&) const = default;
};
struct ClaimRunning {
  bool operator==(const ClaimRunning&) const = default;
};
struct ClaimUnknown {
  bool operator==(const ClaimUnknown&) const = default;
};
struct ClaimUnavailable {
  std::string detail;
  bool operator==(const ClaimUnavailable&) const = default;
};
using ClaimState = std::variant<ClaimAbsent,
                                ClaimRunning,
                                ClaimUnknown,
                                io::HttpResponse,
                                ClaimUnavailable>;

/// What control knows of the fleet, as sent to the other daemons.
struct View {
  std::uint64_t generation = 0;
  std::vector<membership::Member> members;
  std::uint64_t config_version = 0;
  std::string config;  ///< JSON; empty if the receiver has this version.
  std::vector<quarantine::Strike> strikes;
  std::vector<std::string> leaving_backends;

  bool operator==(const View&) const = default;
};

/// Configuration sent from one control to another.
struct ConfigChanges {
  std::uint64_t version = 0;
  bool is_full = false;  ///< True if `body` is not a delta.
  std::string body;      ///< JSON

  bool operator==(const ConfigChanges&) const = default;
};

/// An operator's change, as a JSON delta from the version it was made on.
struct ChangeRequest {
  std::string change_id;
  std::string delta;

  bool operator==(const ChangeRequest&) const = default;
};

/// The change is in force from this version on.
struct ChangeAccepted {
  std::uint64_t version = 0;
  bool operator==(const ChangeAccepted&) const = default;
};
/// Somebody else changed the same objects; both values are shown.
struct ChangeConflict {
  std::string detail;
  bool operator==(const ChangeConflict&) const = default;
};
/// The changed configuration would not be valid.
struct ChangeInvalid {
  std::string detail;
  bool operator==(const ChangeInvalid&) const = default;
};
/// Nothing is known of the change; asking again with the same id is safe.
struct ChangeUnavailable {
  std::string detail;
  bool operator==(const ChangeUnavailable&) const = default;
};
using ChangeResult = std::
    variant<ChangeAccepted, ChangeConflict, ChangeInvalid, ChangeUnavailable>;

/// What went wrong between two daemons.
enum class RpcErrorCode {
  kDisconnected,  ///< The connection broke or was never made.
  kTimeout,       ///< No answer within the deadline.
  kFailed,        ///< The peer reported a failure of its own.
};

/// Error of the RPC layer.
struct RpcError {
  RpcErrorCode code = RpcErrorCode::kFailed;
  std::string detail;

  bool operator==(const RpcError&) const = default;
};

}  // namespace chervilpass::rpc
