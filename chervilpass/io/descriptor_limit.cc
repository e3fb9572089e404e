#include "chervilpass/io/descriptor_limit.h"

#include <sys/resource.h>

#include <algorithm>

namespace chervilpass::io {
namespace {

// Smaller limits reduce the constants below in proportion.
constexpr std::size_t kFullShares = 256;     // descriptors
constexpr std::size_t kMinReserve = 64;      // descriptors
constexpr std::size_t kReserveShare = 32;    // of the limit: 1 in 32
constexpr std::size_t kMinPeers = 16;        // connections
constexpr std::size_t kPeerShare = 16;       // of the limit: 1 in 16
constexpr std::size_t kMinDirectory = 16;    // connections
constexpr std::size_t kDirectoryShare = 32;  // of the limit: 1 in 32
constexpr std::size_t kReadiness = 8;        // connections
constexpr std::size_t kMetrics = 4;          // connections
constexpr std::size_t kCallerRefusals = 24;  // connections
constexpr std::size_t kOtherRefusals = 2;    // connections
// Of what is left for requests.
constexpr std::size_t kForwardedShare = 8;  // 1 in 8
constexpr std::size_t kIdleShare = 16;      // 1 in 16

}  // namespace

std::size_t RaiseDescriptorLimit(std::size_t wanted) {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return wanted;
  }
  const rlim_t target = std::min<rlim_t>(limit.rlim_max, wanted);
  if (limit.rlim_cur < target) {
    const rlimit raised{target, limit.rlim_max};
    if (::setrlimit(RLIMIT_NOFILE, &raised) == 0) {
      limit = raised;
    }
  }
  return static_cast<std::size_t>(std::min<rlim_t>(limit.rlim_cur, wanted));
}

std::size_t DescriptorDivision::Sum() const {
  std::size_t sum = this->reserve + this->idle_to_servers;
  for (const ListenerShare* share :
       {&this->callers, &this->forwarded, &this->readiness, &this->directory,
        &this->peers, &this->metrics}) {
    sum += share->connections + share->refusals;
  }
  return sum + this->callers.connections + this->forwarded.connections;
}

DescriptorDivision DivideDescriptors(std::size_t limit) {
  const auto reduced = [limit](std::size_t size) {
    return std::max<std::size_t>(
        1, size * std::min(limit, kFullShares) / kFullShares);
  };
  DescriptorDivision division;
  division.reserve = std::max(reduced(kMinReserve), limit / kReserveShare);
  const std::size_t refusals = reduced(kOtherRefusals);
  division.peers = {std::max(reduced(kMinPeers), limit / kPeerShare), refusals};
  division.directory = {
      std::max(reduced(kMinDirectory), limit / kDirectoryShare), refusals};
  division.readiness = {reduced(kReadiness), refusals};
  division.metrics = {reduced(kMetrics), refusals};
  division.callers = {0, reduced(kCallerRefusals)};
  division.forwarded = {0, refusals};
  division.idle_to_servers = 0;
  const std::size_t used = division.Sum();
  const std::size_t left = limit > used ? limit - used : 0;
  division.idle_to_servers = std::max<std::size_t>(1, left / kIdleShare);
  division.forwarded.connections =
      std::max<std::size_t>(1, left / kForwardedShare / 2);
  const std::size_t spent =
      division.idle_to_servers + 2 * division.forwarded.connections;
  division.callers.connections =
      std::max<std::size_t>(1, left > spent ? (left - spent) / 2 : 0);
  return division;
}

}  // namespace chervilpass::io
