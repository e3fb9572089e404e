#include "chervilpass/dispatch/cell_queue.h"

#include <boost/fiber/future.hpp>
#include <map>

namespace chervilpass::dispatch {
namespace {

using admission::Executed;
using admission::Refusal;
using admission::RefusalCode;

constexpr Duration kExpiryInterval = milliseconds(20);
constexpr Duration kMinRetryAfter = seconds(1);

using Admission = Result<void, Refusal>;

Refusal Overloaded(Duration expected_wait, const char* detail) {
  return {RefusalCode::kOverloaded, Executed::kNo,
          std::max(expected_wait, kMinRetryAfter), detail};
}

}  // namespace

struct CellQueue::State : std::enable_shared_from_this<CellQueue::State> {
  State(io::Runtime* runtime, CellQueueSettings settings)
      : runtime(runtime), settings(settings), queue(0, settings.limit) {}

  // Admits queued requests until the capacity is used up.
  void AdmitNext() {
    while (const auto ticket = this->queue.Next()) {
      const auto found = this->waiting.find(ticket->id);
      boost::fibers::promise<Admission> promise = std::move(found->second);
      this->waiting.erase(found);
      promise.set_value(success());
    }
  }

  // Refuses requests whose deadline passes in the queue. Runs only while
  // requests are waiting.
  void ExpireLoop() {
    while (!this->waiting.empty()) {
      this->runtime->SleepFor(kExpiryInterval);
      for (const auto& ticket : this->queue.TakeExpired(this->runtime->Now())) {
        const auto found = this->waiting.find(ticket.id);
        boost::fibers::promise<Admission> promise = std::move(found->second);
        this->waiting.erase(found);
        promise.set_value(Refusal{RefusalCode::kDeadlinePassed, Executed::kNo,
                                  kMinRetryAfter,
                                  "the deadline passed in the queue"});
      }
    }
    this->expire_loop_running = false;
  }

  io::Runtime* runtime;
  CellQueueSettings settings;
  admission::FairQueue queue;
  admission::WaitEstimator estimator;
  std::map<admission::TicketId, boost::fibers::promise<Admission>> waiting;
  admission::TicketId last_ticket = 0;
  bool expire_loop_running = false;
};

CellQueue::CellQueue(io::Runtime* runtime, CellQueueSettings settings)
    : state(std::make_shared<State>(runtime, settings)) {}

CellQueue::~CellQueue() = default;

void CellQueue::SetCapacity(std::uint32_t capacity) {
  this->state->queue.SetCapacity(capacity);
  this->state->AdmitNext();
}

Admission CellQueue::Enter(admission::Ticket ticket) {
  State& state = *this->state;
  ticket.id = ++state.last_ticket;
  const Instant now = state.runtime->Now();
  const bool must_wait = state.queue.Running() >= state.queue.Capacity();
  if (must_wait) {
    const std::uint32_t ahead =
        state.queue.EstimateAhead(ticket.organisation, ticket.weight) + 1;
    const Duration wait =
        state.estimator.Estimate(ahead, state.queue.Capacity());
    if (now + wait > ticket.deadline) {
      return Overloaded(wait, "the expected wait passes the deadline");
    }
    if (wait > state.settings.max_expected_wait) {
      return Overloaded(wait, "the expected wait is over the longest allowed");
    }
  }
  if (!state.queue.Push(ticket)) {
    return Overloaded(Duration(0), "the queue of the cell is full");
  }
  auto admission = state.waiting[ticket.id].get_future();
  state.AdmitNext();
  if (!state.expire_loop_running && !state.waiting.empty()) {
    state.expire_loop_running = true;
    state.runtime->Spawn(
        [self = this->state->shared_from_this()] { self->ExpireLoop(); });
  }
  return admission.get();
}

void CellQueue::Leave(const std::string& organisation, Duration held) {
  this->state->queue.Finish(organisation);
  this->state->estimator.OnFinished(held);
  this->state->AdmitNext();
}

std::uint32_t CellQueue::Running() const {
  return this->state->queue.Running();
}

std::uint32_t CellQueue::Waiting() const {
  return this->state->queue.Waiting();
}

std::uint32_t CellQueue::Capacity() const {
  return this->state->queue.Capacity();
}

}  // namespace chervilpass::dispatch
