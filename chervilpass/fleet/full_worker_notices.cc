#include "chervilpass/fleet/full_worker_notices.h"

#include <algorithm>

namespace chervilpass::fleet {
namespace {

// A notice that is repeated in a load datagram seems to end later by the
// difference of the two datagrams' delays.
constexpr Duration kDelayDifference = milliseconds(50);

}  // namespace

FullWorkerNotices::FullWorkerNotices(FullWorkerNoticesSettings settings,
                                     Instant now)
    : settings(settings),
      bytes(settings.bytes_per_second, settings.burst_bytes, now) {}

bool FullWorkerNotices::OnRefused(std::uint32_t worker,
                                  Duration left,
                                  Instant now) {
  if (!this->settings.enabled || left <= Duration::zero()) {
    return false;
  }
  this->Expire(now);
  if (this->others.contains(worker)) {
    return false;
  }
  Own& notice = this->own[worker];
  const bool is_new = notice.until == Instant{};
  notice.until = now + std::min(left, this->settings.max_time);
  if (!is_new && now - notice.sent < this->settings.interval) {
    return false;
  }
  notice.sent = now;
  return true;
}

std::vector<membership::FullWorkerNotice> FullWorkerNotices::OnReceived(
    const std::vector<membership::FullWorkerNotice>& notices,
    Instant now) {
  std::vector<membership::FullWorkerNotice> applied;
  if (!this->settings.enabled) {
    return applied;
  }
  this->Expire(now);
  for (membership::FullWorkerNotice notice : notices) {
    if (applied.size() >= this->settings.max_notices) {
      break;
    }
    const Duration left = std::min<Duration>(milliseconds(notice.milliseconds),
                                             this->settings.max_time);
    if (left <= Duration::zero()) {
      continue;
    }
    notice.milliseconds = static_cast<std::uint16_t>(ToMilliseconds(left));
    Instant& until = this->others[notice.worker];
    const bool repeated = now + left <= until + kDelayDifference;
    until = std::max(until, now + left);
    if (repeated) {
      continue;
    }
    applied.push_back(notice);
  }
  return applied;
}

std::vector<membership::FullWorkerNotice> FullWorkerNotices::InForce(
    Instant now) {
  this->Expire(now);
  std::vector<membership::FullWorkerNotice> notices;
  for (const auto& [worker, notice] : this->own) {
    const auto left = ToMilliseconds(notice.until - now);
    if (left > 0) {
      notices.push_back({worker, static_cast<std::uint16_t>(left)});
    }
  }
  std::sort(notices.begin(), notices.end(), [](const auto& a, const auto& b) {
    return a.milliseconds > b.milliseconds;
  });
  if (notices.size() > this->settings.max_notices) {
    notices.resize(this->settings.max_notices);
  }
  return notices;
}

std::size_t FullWorkerNotices::TakeReceivers(std::size_t receivers,
                                             std::size_t datagram_bytes,
                                             Instant now) {
  std::size_t taken = 0;
  while (taken < receivers &&
         this->bytes.TryTake(now, static_cast<double>(datagram_bytes))) {
    ++taken;
  }
  return taken;
}

// The time of the last notice is kept for as long as it delays the next one.
void FullWorkerNotices::Expire(Instant now) {
  std::erase_if(this->own, [&](const auto& entry) {
    return now >= entry.second.until &&
           now - entry.second.sent >= this->settings.interval;
  });
  std::erase_if(this->others,
                [now](const auto& entry) { return now >= entry.second; });
}

}  // namespace chervilpass::fleet
