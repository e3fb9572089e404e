#include "chervilpass/serving/peer_forwarder.h"

#include <algorithm>

#include "chervilpass/serving/call_proxy.h"
#include "platform/request_codec.h"

namespace chervilpass::serving {

std::vector<io::Endpoint> PeerForwarder::Targets() const {
  std::vector<io::Endpoint> targets = this->dependencies.forward_targets();
  std::erase_if(targets, [this](const io::Endpoint& target) {
    return this->tried.contains(target);
  });
  return targets;
}

bool PeerForwarder::Possible() const {
  return !this->context.forwarded && this->tried.size() < kMaxPeers &&
         !this->Targets().empty();
}

ForwardedCall PeerForwarder::Send(
    const io::HttpRequest& request,
    Duration time_left,
    std::uint32_t attempts,
    std::optional<std::uint64_t> last_event_id,
    const std::function<bool(io::HttpCall*)>& set_call) {
  const std::vector<io::Endpoint> targets = this->Targets();
  const io::Endpoint target =
      targets[this->dependencies.routing_state->Rng().Below(targets.size())];
  this->tried.insert(target);
  this->dependencies.metrics->Increment("chervil_requests_forwarded_total");
  this->dependencies.log->Info("request.forwarded",
                               {{"request", this->context.metadata.request_id},
                                {"to_vm", target.ip},
                                {"attempt", this->tried.size()},
                                {"attempts_left", attempts}});
  const Instant deadline = this->dependencies.runtime->Now() + time_left;
  ForwardedCall forwarded;
  auto opened = this->dependencies.http->Open(
      target, std::min(this->dependencies.connect_timeout, time_left));
  if (opened.has_error()) {
    forwarded.detail = opened.error().detail;
    return forwarded;
  }
  if (!set_call(opened.value().get())) {
    return forwarded;
  }
  this->last_peer = target.ip;
  forwarded.call = std::move(opened).value();
  forwarded.outcome = SendOutcome::kUnknown;
  const Duration left = deadline - this->dependencies.runtime->Now();
  const auto sent = forwarded.call->Send(
      platform::RequestForPeer(request, left, attempts, last_event_id), left);
  if (sent.has_error()) {
    forwarded.detail = sent.error().detail;
    return forwarded;
  }
  auto head =
      ReadMatchingHead(forwarded.call.get(), this->context.metadata.request_id);
  if (head.has_error()) {
    forwarded.detail = head.error().detail;
    return forwarded;
  }
  RecordPeerStatements(this->dependencies, this->context, head.value());
  forwarded.outcome = SendOutcome::kResponse;
  forwarded.head = std::move(head).value();
  return forwarded;
}

}  // namespace chervilpass::serving
