// Sends a request through another VM, because this VM reaches no backend server
// for it. The other VM serves it like a request of its own callers.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "chervilpass/serving/request_context.h"

namespace chervilpass::serving {

/// A request that was sent to another VM, or the attempt to do so.
struct ForwardedCall {
  /// kNotSent: no connection was established. kResponse: `head` has arrived,
  /// the body has not been read. kUnknown: it may have run.
  SendOutcome outcome = SendOutcome::kNotSent;
  std::unique_ptr<io::HttpCall> call;
  io::HttpResponse head;
  std::string detail;
};

/// Forwards one request. Invariant: it is sent to each VM once at most.
class PeerForwarder {
 public:
  PeerForwarder(const RouterDependencies& dependencies,
                const RequestContext& context)
      : dependencies(dependencies), context(context) {}

  /// True if a VM is left to which the request can be sent. A request that
  /// another VM has forwarded is not sent on.
  bool Possible() const;

  /// Sends the request to a VM. `scope` cancels the call until its SetCall() is
  /// called again. A stream goes on after `last_event_id`.
  ForwardedCall Send(CallScope* scope,
                     std::optional<std::uint64_t> last_event_id);

  /// The VM of the last call.
  const std::string& LastPeer() const { return this->last_peer; }

 private:
  static constexpr std::size_t kMaxPeers = 3;  // VMs tried for one request

  std::vector<io::Endpoint> Targets() const;

  const RouterDependencies& dependencies;
  const RequestContext& context;
  std::set<io::Endpoint> tried;
  std::string last_peer;
};

}  // namespace chervilpass::serving
