// Weighted fair queue of the requests waiting for a cell: start-time fair
// queueing over organisations (Goyal, Vin and Cheng, "Start-time fair
// queueing", IEEE/ACM Transactions on Networking, 1997). Within an organisation
// requests start by descending priority, then in order of arrival.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chervilpass/core/time.h"

namespace chervilpass::admission {

/// Id of a request, assigned by the owner of the queue.
using TicketId = std::uint64_t;

/// A queued request.
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

/// Chooses the next request to start. Not thread-safe. The owner calls `Next`
/// whenever capacity may have become free.
/// Invariants: `Next` starts a request only while running < capacity and the
/// organisation is below its limit; virtual time never decreases.
class FairQueue {
 public:
  FairQueue(std::uint32_t capacity, std::uint32_t queue_limit)
      : capacity(capacity), queue_limit(queue_limit) {}

  /// Sets the number of requests that may run concurrently. Running requests
  /// are not stopped if it decreases.
  void SetCapacity(std::uint32_t capacity) { this->capacity = capacity; }

  /// Adds a request; false if the queue is full.
  bool Push(const Ticket& ticket);

  /// Removes the next request to start and counts it as running; empty if
  /// there is no free capacity or no request that may start.
  std::optional<Ticket> Next();

  /// Removes and returns the waiting requests whose deadline has passed.
  std::vector<Ticket> TakeExpired(Instant now);

  /// Removes a waiting request; false if it is not waiting.
  bool Remove(TicketId id);

  /// Records the end of a running request of this organisation.
  void Finish(const std::string& organisation);

  std::uint32_t Running() const { return this->running; }
  std::uint32_t Waiting() const { return this->waiting; }
  std::uint32_t Capacity() const { return this->capacity; }

  /// Estimates how many waiting requests would start before a new one of this
  /// organisation.
  std::uint32_t EstimateAhead(const std::string& organisation,
                              std::uint32_t weight) const;

 private:
  struct QueuedTicket {
    Ticket ticket;
    std::uint64_t arrival = 0;
  };
  struct Flow {
    std::vector<QueuedTicket> waiting;  ///< in the order they start
    double finish_tag = 0;
    std::uint32_t running = 0;
    std::uint32_t weight = 1;
    std::uint32_t limit = 0;
  };

  static bool HasCapacity(const Flow& flow) {
    return flow.limit == 0 || flow.running < flow.limit;
  }
  void DropIfIdle(const std::string& organisation);

  std::uint32_t capacity;
  std::uint32_t queue_limit;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t arrival_count = 0;
  double virtual_time = 0;
  std::map<std::string, Flow> flows;  ///< by organisation
};

}  // namespace chervilpass::admission
