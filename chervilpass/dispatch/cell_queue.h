// Admission queue of one cell: suspends request fibers until they may run.
#pragma once

#include <memory>
#include <string>
#include <variant>

#include "chervilpass/admission/fair_queue.h"
#include "chervilpass/admission/refusal.h"
#include "chervilpass/admission/wait_estimator.h"
#include "chervilpass/core/result.h"
#include "chervilpass/io/runtime.h"

namespace chervilpass::dispatch {

/// Settings of a CellQueue.
struct CellQueueSettings {
  std::uint32_t limit = 256;  ///< maximum number of waiting requests
  Duration max_expected_wait = seconds(2);  ///< longer waits are refused

  bool operator==(const CellQueueSettings&) const = default;
};

/// Admits requests to one cell in fair-queue order. Fiber thread only.
class CellQueue {
 public:
  CellQueue(io::Runtime* runtime, CellQueueSettings settings);
  ~CellQueue();
  CellQueue(const CellQueue&) = delete;
  CellQueue& operator=(const CellQueue&) = delete;

  /// Sets the number of requests that may run concurrently, and admits waiting
  /// requests up to it.
  void SetCapacity(std::uint32_t capacity);

  /// Suspends the fiber until the request may run. Returns kOverloaded at once
  /// if the queue is full or the expected wait exceeds the time to the deadline
  /// or `max_expected_wait`, and kDeadlinePassed once the deadline passes in
  /// the queue.
  Result<void, admission::Refusal> Enter(admission::Ticket ticket);

  /// Frees the slot of an admitted request of `organisation` that ran for
  /// `held`, and admits the next one.
  void Leave(const std::string& organisation, Duration held);

  std::uint32_t Running() const;   ///< admitted requests
  std::uint32_t Waiting() const;   ///< queued requests
  std::uint32_t Capacity() const;  ///< requests that may run concurrently

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace chervilpass::dispatch
