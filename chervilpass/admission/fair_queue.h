// Weighted fair queue of the requests that wait for a cell: start-time fair
// queueing over organisations (Goyal, Vin and Cheng, "Start-time fair
// queueing", IEEE/ACM Transactions on Networking, 1997). Within an organisation
// the higher priority goes first, then the earlier arrival.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chervilpass/core/time.h"

namespace chervilpass::admission {

/// Number of a waiting request, given by the owner of the queue.
using TicketId = std::uint64_t;

/// One request that asks to run.
struct Ticket {
  TicketId id = 0;
  std::string organisation;
  std::uint32_t weight = 1;             ///< above 0
  std::uint32_t concurrency_limit = 0;  ///< of the organisation; 0: none
  std::uint32_t priority = 0;
  double cost = 1;  ///< expected work, in tokens
  Instant deadline{};

  bool operator==(const Ticket&) const = default;
};

/// Decides who runs next. Not thread-safe; owner-driven: call `Next` whenever
/// capacity may have become free.
/// Invariants: running <= capacity; for each organisation running <= its
/// limit; virtual time never falls.
class FairQueue {
 public:
  FairQueue(std::uint32_t capacity, std::uint32_t queue_limit)
      : capacity(capacity), queue_limit(queue_limit) {}

  /// Capacity may change while requests run; nothing is taken back.
  void SetCapacity(std::uint32_t capacity) { this->capacity = capacity; }

  /// Adds a request; false if the queue is full.
  bool Push(const Ticket& ticket);

  /// The next request to start, now counted as running.
  std::optional<Ticket> Next();

  /// Requests whose deadline has passed while they waited; they are removed.
  std::vector<Ticket> TakeExpired(Instant now);

  /// Removes a waiting request; false if it is not waiting.
  bool Remove(TicketId id);

  /// A running request has ended.
  void Finish(const std::string& organisation);

  std::uint32_t Running() const { return this->running; }
  std::uint32_t Waiting() const { return this->waiting; }
  std::uint32_t Capacity() const { return this->capacity; }

  /// Requests that would start before a new one of this organisation, at most.
  std::uint32_t Ahead(const std::string& organisation,
                      std::uint32_t weight) const;

 private:
  struct QueuedTicket {
    Ticket ticket;
    std::uint64_t arrival = 0;
  };
  struct Flow {
    std::vector<QueuedTicket> waiting;  ///< in starting order
    double finish_tag = 0;
    std::uint32_t running = 0;
    std::uint32_t weight = 1;
    std::uint32_t limit = 0;
  };

  static bool HasRoom(const Flow& flow) {
    return flow.limit == 0 || flow.running < flow.limit;
  }
  void DropIfIdle(const std::string& organisation);

  std::uint32_t capacity;
  std::uint32_t queue_limit;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t arrivals = 0;
  double virtual_time = 0;
  std::map<std::string, Flow> flows;  ///< by organisation
};

}  // namespace chervilpass::admission
