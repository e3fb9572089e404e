#include "chervilpass/admission/fair_queue.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace chervilpass::admission {

bool FairQueue::Push(const Ticket& ticket) {
  assert(ticket.weight > 0);
  if (this->waiting >= this->queue_limit) {
    return false;
  }
  Flow& flow = this->flows[ticket.organisation];
  flow.weight = ticket.weight;
  flow.limit = ticket.concurrency_limit;
  const QueuedTicket queued{ticket, ++this->arrival_count};
  const auto position =
      std::upper_bound(flow.waiting.begin(), flow.waiting.end(), queued,
                       [](const QueuedTicket& a, const QueuedTicket& b) {
                         return a.ticket.priority != b.ticket.priority
                                    ? a.ticket.priority > b.ticket.priority
                                    : a.arrival < b.arrival;
                       });
  flow.waiting.insert(position, queued);
  ++this->waiting;
  return true;
}

std::optional<Ticket> FairQueue::Next() {
  if (this->running >= this->capacity) {
    return std::nullopt;
  }
  // Chooses the flow with the smallest start tag among those below their limit.
  // A flow that was idle starts at the current virtual time and so accumulates
  // no credit.
  Flow* chosen = nullptr;
  double min_start = 0;
  for (auto& [organisation, flow] : this->flows) {
    if (flow.waiting.empty() || !HasCapacity(flow)) {
      continue;
    }
    const double start = std::max(this->virtual_time, flow.finish_tag);
    if (chosen == nullptr || start < min_start) {
      chosen = &flow;
      min_start = start;
    }
  }
  if (chosen == nullptr) {
    return std::nullopt;
  }
  const Ticket ticket = chosen->waiting.front().ticket;
  chosen->waiting.erase(chosen->waiting.begin());
  this->virtual_time = min_start;
  chosen->finish_tag = min_start + ticket.cost / ticket.weight;
  ++chosen->running;
  ++this->running;
  --this->waiting;
  assert(this->running <= this->capacity);
  return ticket;
}

std::vector<Ticket> FairQueue::TakeExpired(Instant now) {
  std::vector<Ticket> expired;
  for (auto& [organisation, flow] : this->flows) {
    std::erase_if(flow.waiting, [&](const QueuedTicket& queued) {
      if (queued.ticket.deadline > now) {
        return false;
      }
      expired.push_back(queued.ticket);
      return true;
    });
  }
  this->waiting -= static_cast<std::uint32_t>(expired.size());
  return expired;
}

bool FairQueue::Remove(TicketId id) {
  for (auto& [organisation, flow] : this->flows) {
    const auto removed = std::erase_if(
        flow.waiting,
        [id](const QueuedTicket& queued) { return queued.ticket.id == id; });
    if (removed > 0) {
      --this->waiting;
      this->DropIfIdle(organisation);
      return true;
    }
  }
  return false;
}

void FairQueue::Finish(const std::string& organisation) {
  const auto found = this->flows.find(organisation);
  assert(found != this->flows.end() && found->second.running > 0);
  --found->second.running;
  --this->running;
  this->DropIfIdle(organisation);
}

// An idle flow with a finish tag in the past would get the same start tag as a
// new one.
void FairQueue::DropIfIdle(const std::string& organisation) {
  const auto found = this->flows.find(organisation);
  const Flow& flow = found->second;
  if (flow.running == 0 && flow.waiting.empty() &&
      flow.finish_tag <= this->virtual_time) {
    this->flows.erase(found);
  }
}

std::uint32_t FairQueue::EstimateAhead(const std::string& organisation,
                                       std::uint32_t weight) const {
  const auto same_flow = this->flows.find(organisation);
  const std::size_t already_waiting =
      same_flow == this->flows.end() ? 0 : same_flow->second.waiting.size();
  // While this organisation starts its waiting requests and the new one, each
  // other organisation starts its share by weight, at most what it has waiting.
  double ahead = static_cast<double>(already_waiting);
  for (const auto& [name, flow] : this->flows) {
    if (name == organisation) {
      continue;
    }
    const double share = static_cast<double>(already_waiting + 1) *
                         flow.weight / static_cast<double>(weight);
    ahead += std::min(static_cast<double>(flow.waiting.size()), share);
  }
  return static_cast<std::uint32_t>(std::lround(ahead));
}

}  // namespace chervilpass::admission
