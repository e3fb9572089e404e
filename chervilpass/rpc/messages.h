// Messages between the daemons as plain values without Cap'n Proto types.
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
  std::string session;  ///< session name on the engines
  std::string organisation;
  std::string pipeline;
  std::uint32_t cell = 0;
  std::vector<std::uint32_t> prompt;  ///< token ids
  std::vector<std::uint32_t>
      accepted;                  ///< token ids that the caller already has
  std::uint32_t max_tokens = 0;  ///< total, including accepted ones
  std::uint64_t seed = 0;
  std::uint32_t epoch = 0;  ///< increases with each attempt of one request
  Duration deadline{0};     ///< from now
  std::uint64_t fingerprint = 0;

  bool operator==(const CompletionRequest&) const = default;
};

/// The completion ended with its last token.
struct Finished {
  std::uint32_t tokens = 0;  ///< total, including accepted ones

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
  std::string
      idempotency_key;  ///< empty if the call may be retried without one
  io::HttpRequest call;
  Duration deadline{0};  ///< from now

  bool operator==(const ServiceRequest&) const = default;
};

/// How a call to a plain service ended.
struct ServiceOutcome {
  std::variant<io::HttpResponse, admission::Refusal> result;
  bool replayed = false;  ///< `result` is the stored outcome of an earlier call

  bool operator==(const ServiceOutcome&) const = default;
};

/// The ledger has no claim on the idempotency key.
struct ClaimAbsent {
  bool operator==(const ClaimAbsent&) const = default;
};
/// The call with the idempotency key is running.
struct ClaimRunning {
  bool operator==(const ClaimRunning&) const = default;
};
/// The call may have run, but no outcome was recorded.
struct ClaimUnknown {
  bool operator==(const ClaimUnknown&) const = default;
};
/// The ledger cannot be queried now.
struct ClaimUnavailable {
  std::string detail;
  bool operator==(const ClaimUnavailable&) const = default;
};
/// State of an idempotency key in the ledger; an HttpResponse is the recorded
/// response.
using ClaimState = std::variant<ClaimAbsent,
                                ClaimRunning,
                                ClaimUnknown,
                                io::HttpResponse,
                                ClaimUnavailable>;

/// The state of the fleet that control sends to the other daemons and to
/// chervilctl.
struct View {
  std::uint64_t generation = 0;
  std::vector<membership::Member> members;
  std::uint64_t config_version = 0;
  std::string config;  ///< JSON; empty if the receiver has this version
  std::vector<quarantine::Strike> strikes;
  std::vector<std::string> leaving_backends;

  bool operator==(const View&) const = default;
};

/// Configuration that a control daemon sends to another one or to chervilctl.
struct ConfigChanges {
  std::uint64_t version = 0;
  bool is_full = false;  ///< true: `body` is a configuration; false: a delta
  std::string body;      ///< JSON

  bool operator==(const ConfigChanges&) const = default;
};

/// An operator's change.
struct ChangeRequest {
  std::string change_id;
  std::string delta;  ///< JSON, from the version that the change is based on

  bool operator==(const ChangeRequest&) const = default;
};

/// The change was accepted and takes effect with this version.
struct ChangeAccepted {
  std::uint64_t version = 0;
  bool operator==(const ChangeAccepted&) const = default;
};
/// A concurrent change has set the same objects to other values, and `detail`
/// has both, or the version that the change is based on is no longer available.
struct ChangeConflict {
  std::string detail;
  bool operator==(const ChangeConflict&) const = default;
};
/// The changed configuration would not be valid.
struct ChangeInvalid {
  std::string detail;
  bool operator==(const ChangeInvalid&) const = default;
};
/// It is unknown whether the change was accepted; a retry with the same id is
/// safe.
struct ChangeUnavailable {
  std::string detail;
  bool operator==(const ChangeUnavailable&) const = default;
};
/// The result of a ChangeRequest.
using ChangeResult = std::
    variant<ChangeAccepted, ChangeConflict, ChangeInvalid, ChangeUnavailable>;

/// Kind of an RPC failure.
enum class RpcErrorCode {
  kDisconnected,  ///< The connection broke or could not be established.
  kTimeout,       ///< No answer within the deadline.
  kFailed,        ///< Any other failure, such as one that the peer reported.
};

/// Error of the RPC layer.
struct RpcError {
  RpcErrorCode code = RpcErrorCode::kFailed;
  std::string detail;

  bool operator==(const RpcError&) const = default;
};

}  // namespace chervilpass::rpc
