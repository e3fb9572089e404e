// Settings of the failure detector.
#pragma once

#include <cstdint>

#include "chervilpass/core/time.h"
#include "chervilpass/membership/suspicion.h"

namespace chervilpass::membership {

/// Settings of a Detector.
struct DetectorSettings {
  Duration probe_period = milliseconds(500);
  Duration probe_timeout = milliseconds(150);  ///< before indirect probes
  /// Without an answer for this long a member is suspected.
  Duration probe_deadline = milliseconds(500);
  SuspicionSettings suspicion;
  std::uint32_t indirect_probes = 3;
  /// Whole records in one datagram to a VM that reads no updates.
  std::uint32_t members_per_datagram = 6;
  /// Updates in one datagram; about 28 bytes each.
  std::uint32_t updates_per_datagram = 32;
  /// Times log2(members + 1). Comparisons of tables make up for lost changes.
  std::uint32_t retransmit_factor = 2;
  /// Probe periods for each ping to a member believed to be dead; the pings let
  /// partitioned regions rejoin.
  std::uint32_t periods_per_dead_ping = 8;
  /// A round of probes includes members of other regions only if the number of
  /// the period in which it starts is a multiple of this.
  std::uint32_t periods_per_remote_probe = 4;
  Duration forget_after = hours(1);  ///< for dead members
  /// Fleets of up to this size send notices to all members directly; in larger
  /// ones each VM passes them on to `notice_fanout` others.
  std::uint32_t max_direct_notices = 32;
  std::uint32_t notice_fanout = 6;
  Duration sync_interval = milliseconds(200);  ///< between table comparisons
  /// Records that this VM sends in comparisons of tables: a second, and at once
  /// for each member.
  double sync_records_per_second = 200;
  double sync_burst_per_member = 10;
  /// Between two requests for the whole record of the same VM.
  Duration want_interval = milliseconds(400);
  std::uint32_t wanted_per_datagram = 8;
  /// Between two lists of all members in answer to join requests.
  Duration join_answer_interval = milliseconds(250);
  /// Members to which this VM sends at once what it found out by a probe.
  std::uint32_t announce_fanout = 3;
  /// A call of OnTick that is later than this means that this VM was stalled.
  Duration local_stall_threshold = milliseconds(300);

  bool operator==(const DetectorSettings&) const = default;
};

}  // namespace chervilpass::membership
