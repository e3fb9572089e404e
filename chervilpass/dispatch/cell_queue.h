// The queue before one cell: who may run next, seen from fibers.
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

/// Describes a CellQueue.
struct CellQueueSettings {
  std::uint32_t limit = 256;                ///< waiting requests
  Duration max_expected_wait = seconds(2);  ///< expected; refused above it

  bool operator==(const CellQueueSettings&) const = default;
};

/// Lets requests run one cell, in fair order. Fiber thread only.
class CellQueue {
 public:
  CellQueue(io::Runtime* runtime, CellQueueSettings settings);
  ~CellQueue();
  CellQueue(const CellQueue&) = delete;
  CellQueue& operator=(const CellQueue&) = delete;

  /// Sessions that the cell can run at once.
  void SetCapacity(std::uint32_t capacity);

  /// Suspends the fiber until the request may run. Refuses at once if the
  /// queue is full, or the expected wait passes the deadline or the longest
  /// wait allowed, and as soon as the deadline has passed.
  Result<void, admission::Refusal> Enter(admission::Ticket ticket);

  /// A request that had entered has ended after `held`.
  void Leave(const std::string& organisation, Duration held);

  std::uint32_t Running() const;
  std::uint32_t Waiting() const;
  std::uint32_t Capacity() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace chervilpass::dispatch
