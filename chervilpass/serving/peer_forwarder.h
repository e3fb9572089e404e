// Sends a request through another VM, because this VM reaches no backend server
// for it. The other VM serves it like a request of its own callers.
#pragma once

#include <functional>
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
  /// `tried` are VMs that the request is not sent to.
  PeerForwarder(const RouterDependencies& dependencies,
                const RequestContext& context,
                std::set<io::Endpoint> tried = {})
      : dependencies(dependencies), context(context), tried(std::move(tried)) {}

  /// True if a VM is left to which the request can be sent. A request that
  /// another VM has forwarded is not sent on.
  bool Possible() const;

  /// Sends the request to a VM. `set_call` is called with the call before the
  /// request is sent, so that it can be cancelled; false if the request is not
  /// to be sent any more. The VM may run the request `attempts` times; a stream
  /// goes on after `last_event_id`.
  ForwardedCall Send(const io::HttpRequest& request,
                     Duration time_left,
                     std::uint32_t attempts,
                     std::optional<std::uint64_t> last_event_id,
                     const std::function<bool(io::HttpCall*)>& set_call);

  /// Does not send the request to these VMs, in addition to earlier ones.
  void Exclude(const std::set<io::Endpoint>& vms) {
    this->tried.insert(vms.begin(), vms.end());
  }

  /// VMs that the request was sent to.
  const std::set<io::Endpoint>& Tried() const { return this->tried; }

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
