// Decides when a leaving process does what, from the order to stop to its exit.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

#include "chervilpass/core/recent_delays.h"
#include "chervilpass/core/time.h"

namespace chervilpass::drain {

/// What a drain depends on and may change during it.
struct DrainSettings {
  Duration grace{0};        ///< from the order to stop until the kill
  Duration address_ttl{0};  ///< lifetime stated in address lists
  /// The process ends with the grace period even if nothing is left to do.
  bool whole_grace = false;

  bool operator==(const DrainSettings&) const = default;
};

/// What a process owes at a moment.
struct DrainObservation {
  Instant now{};
  std::size_t in_flight = 0;    ///< without a whole response to write
  std::size_t connections = 0;  ///< open, of callers and other VMs
  /// Of whole responses, not acknowledged. What has been written counts from
  /// phase kEstablished on.
  std::size_t unsent_bytes = 0;
  /// By which the last wait was exceeded; none before the first one.
  std::optional<Duration> wake_delay;

  bool operator==(const DrainObservation&) const = default;
};

enum class DrainPhase {
  kServing,      ///< connections are accepted
  kEstablished,  ///< requests are read on open connections only
  kFinalWrites,  ///< nothing is read any more
  kEnded,
};

/// A name for log lines.
std::string_view DrainPhaseName(DrainPhase phase);

/// What is to be done now, and when to decide again.
struct DrainStep {
  DrainPhase phase = DrainPhase::kServing;
  Instant end{};  ///< when the last responses are sent
  bool stop_accepting = false;
  bool close_idle_callers = false;
  bool close_idle_peers = false;
  /// Requests of which a part has arrived get their refusal.
  bool refuse_unread = false;
  Duration wait{0};

  bool operator==(const DrainStep&) const = default;
};

/// The order of a drain. Without I/O and without a clock of its own. Not
/// thread-safe.
///
/// Invariants: a drain ends no sooner than the last sixth of the grace period
/// begins, unless it may end early; phases follow one another in their order.
class DrainController {
 public:
  /// `start` is the time of the order to stop.
  explicit DrainController(Instant start) : start(start) {}

  /// When the last responses are sent. Comes nearer while waits are exceeded.
  Instant End(const DrainSettings& settings) const;

  /// Called first at the start, and again after each wait, with the settings
  /// then in force.
  DrainStep Next(const DrainSettings& settings,
                 const DrainObservation& observation);

  DrainPhase Phase() const { return this->phase; }

 private:
  bool MayEndEarly(const DrainSettings& settings,
                   const DrainObservation& observation) const;

  /// True while a request is in progress or a peer is receiving a response.
  bool Unfinished(const DrainObservation& observation);

  void ExtendReads(const DrainSettings& settings, Instant now);

  DrainStep ServingStep(const DrainSettings& settings, Instant now) const;

  Instant start;
  DrainPhase phase = DrainPhase::kServing;
  RecentDelays wake_delays;  ///< of phase kServing
  Instant reads_until{};     ///< at least, of phase kEstablished
  bool unread_refused = false;
  std::size_t unsent_bytes = 0;
  Instant received_at{};  ///< when peers last received a part of them
};

}  // namespace chervilpass::drain
