// Tests of the pacing of servers that have started or come back: how their
// share of load follows their answers, and how VMs share it.
#include <criterion/criterion.h>

#include "unit_tests/server_pace_fleet.h"

using namespace chervilpass;
using namespace chervilpass::routing;

Test(pace_parts, the_parts_of_all_vms_sum_up_to_the_part_of_the_fleet) {
  // Guards against a fleet that sends a multiple of what a server may get.
  for (const std::size_t vms : {1U, 26U, 88U}) {
    std::vector<std::uint64_t> keys;
    for (std::size_t i = 0; i < vms; ++i) {
      keys.push_back(PaceVmKey(VmName(i)));
    }
    for (const double share : {0.002, 0.02, 0.1, 0.33, 0.9}) {
      const std::uint32_t fleet_part = FleetPart(share, 192);
      std::uint32_t sum = 0;
      for (const std::uint64_t key : keys) {
        const std::uint32_t part =
            OwnPart(fleet_part, vms, PaceRank(key, keys, 7, 0));
        cr_assert(part <= fleet_part / vms + 1);
        sum += part;
      }
      cr_assert(sum == fleet_part, "%zu VMs: %u, not %u", vms, sum, fleet_part);
    }
  }
}

Test(pace_parts, other_vms_get_their_turn_without_an_answer) {
  // Guards against a server that is never tried again since the one VM that may
  // send to it has no requests.
  std::vector<std::uint64_t> keys;
  for (std::size_t i = 0; i < 26; ++i) {
    keys.push_back(PaceVmKey(VmName(i)));
  }
  ServerPace pace({}, keys[5]);
  pace.SetFleet(keys, kStart);
  pace.OnStarts({{kOld, {}}}, kStart);
  pace.OnStarts({{kServer, {}}}, kStart + seconds(10));
  int turns = 0;
  for (int second = 10; second < 310; ++second) {
    pace.Tick(kStart + seconds(second));
    turns += pace.OwnPartOf(kServer, 4) > 0 ? 1 : 0;
  }
  cr_assert(turns >= 3 && turns <= 30, "%d turns", turns);
}

Test(server_pace, servers_in_service_before_the_vm_are_not_paced) {
  // Guards against a restarted VM that takes no load from running servers.
  ServerPace pace({}, 1);
  pace.OnStarts({{kOld, {}}}, kStart);
  pace.OnStarts({{kOld, {}}, {kServer, {}}}, kStart + seconds(1));
  cr_assert(pace.NonePaced());
  cr_assert(pace.ShareOf(kServer) == 1);
  cr_assert(pace.OwnPartOf(kServer, 4) == UINT32_MAX);
  pace.OnStarts({{kServer, {}}, {"s@2", {}}}, kStart + seconds(9));
  cr_assert(pace.ShareOf(kServer) == 1);
  cr_assert(pace.ShareOf("s@2") == ServerPaceSettings().first_share);
}

Test(server_pace, a_registration_that_lapses_is_no_new_start) {
  // Guards against all servers being paced at once after an outage of the
  // store.
  ServerPace pace({}, 1);
  pace.OnStarts({{kOld, {}}}, kStart);
  pace.OnStarts({}, kStart + seconds(20));
  pace.OnStarts({{kOld, {}}}, kStart + seconds(60));
  cr_assert(pace.ShareOf(kOld) == 1);
}

Test(server_pace, a_cold_server_in_a_burst_is_not_flooded) {
  // Guards against a burst that one VM sends to a server that has just started
  // and is slow beyond a few requests.
  Fleet fleet(1, {100, 20, 0.1, 0.1});
  fleet.StartServer();
  fleet.Run(seconds(5));
  cr_assert(fleet.peak <= 60, "%zu in flight", fleet.peak);
  cr_assert(fleet.refusals == 0);
  cr_assert(fleet.late * 5 < fleet.answers, "%zu of %zu late", fleet.late,
            fleet.answers);
  fleet.model.knee = 100;  // It has warmed up.
  const Duration time = fleet.RunUntil(0.9, seconds(30));
  cr_log_info("%zu of %zu late; warm: 90 %% after %lld ms", fleet.late,
              fleet.answers, static_cast<long long>(ToMilliseconds(time)));
  cr_assert(time < seconds(8), "%lld ms",
            static_cast<long long>(ToMilliseconds(time)));
}

Test(server_pace, one_new_server_gets_its_load_from_88_vms) {
  // Guards against 88 VMs that all send to a new server, and against a share
  // that grows 88 times as fast as the answers allow.
  for (const std::size_t vms : {1U, 26U, 88U}) {
    Fleet fleet(vms, {192, 192, 0.4, 0.4});
    fleet.StartServer();
    fleet.Run(milliseconds(300));
    cr_assert(fleet.peak <= 20, "%zu VMs: %zu in flight", vms, fleet.peak);
    const Duration time = fleet.RunUntil(0.9, seconds(60));
    cr_assert(fleet.refusals * 100 <= fleet.answers, "%zu VMs: %zu refused",
              vms, fleet.refusals);
    cr_assert(time > seconds(1) && time < seconds(15), "%zu VMs: %lld ms", vms,
              static_cast<long long>(ToMilliseconds(time)));
    cr_log_info("%zu VMs: 90 %% after %lld ms", vms,
                static_cast<long long>(ToMilliseconds(time)));
  }
}

Test(server_pace, all_vms_use_a_server_with_few_slots_within_seconds) {
  // Guards against VMs that leave a warm server aside since only one VM could
  // send to it while it was paced.
  for (const std::size_t vms : {2U, 4U, 26U}) {
    Fleet fleet(vms, {8, 8, 0.1, 0.1});
    fleet.StartServer();
    const Instant begin = fleet.now;
    while (fleet.LowestShare() < 0.9 && fleet.now - begin < seconds(60)) {
      fleet.Run(kTick);
    }
    const Duration time = fleet.now - begin;
    cr_log_info("%zu VMs: all at 90 %% after %lld ms, %zu of %zu refused", vms,
                static_cast<long long>(ToMilliseconds(time)), fleet.refusals,
                fleet.answers);
    cr_expect(time < seconds(15), "%zu VMs: %lld ms", vms,
              static_cast<long long>(ToMilliseconds(time)));
  }
}

Test(server_pace,
     a_slow_healthy_server_ends_at_the_share_that_it_keeps_up_with) {
  // Guards against a slow server that is driven to its floor or flooded: its
  // answers reach 1.5 times the predicted time at 60 of its 100 slots.
  for (const std::size_t vms : {1U, 26U}) {
    Fleet fleet(vms, {100, 40, 0.1, 0.1});
    fleet.StartServer();
    fleet.Run(seconds(20));
    double sum = 0;
    for (int i = 0; i < 100; ++i) {
      fleet.Run(milliseconds(100));
      sum += fleet.MedianShare();
    }
    cr_log_info("%zu VMs: mean share %.3f, highest %.3f", vms, sum / 100,
                fleet.HighestShare());
    cr_assert(sum > 40 && sum < 75, "%zu VMs: mean share %.3f", vms, sum / 100);
    cr_assert(fleet.paces[0]->IsPaced(kServer));
  }
}

Test(server_pace, each_outage_of_a_flapping_server_lowers_its_first_share) {
  // Guards against a server that fails every few seconds and gets all its load
  // back each time.
  Fleet fleet(1, {100, 100, 0.1, 0.1});
  fleet.StartServer();
  fleet.RunUntil(1, seconds(20));
  double earlier = 1;
  for (int outage = 0; outage < 4; ++outage) {
    fleet.Outage();
    cr_assert(fleet.MedianShare() < earlier);
    earlier = fleet.MedianShare();
    fleet.Run(seconds(4));
  }
  cr_assert(earlier >= ServerPaceSettings().min_share);
  fleet.Run(seconds(70));
  fleet.Outage();
  cr_assert(fleet.MedianShare() == ServerPaceSettings().returned_share);
}

Test(server_pace, half_of_a_service_recovers_within_seconds) {
  // Guards against callers who are refused since half of the servers idle after
  // an outage. No server gets all its load at once either.
  Fleet fleet(26, {48, 48, 0.05, 0.05});
  fleet.StartServer();
  fleet.RunUntil(1, seconds(30));
  fleet.Outage();
  fleet.peak = 0;
  fleet.Run(milliseconds(200));
  cr_assert(fleet.peak <= 24, "%zu in flight", fleet.peak);
  const Duration time = fleet.RunUntil(0.9, seconds(30));
  cr_log_info("90 %% after %lld ms",
              static_cast<long long>(ToMilliseconds(time)));
  cr_assert(time < seconds(6), "%lld ms",
            static_cast<long long>(ToMilliseconds(time)));
}

Test(server_pace, idle_too_long_is_bounded_in_answers) {
  // Guards against a healthy server that idles although its answers are good:
  // each round is one answer for each request in flight.
  for (const std::uint32_t slots : {4U, 16U, 192U}) {
    ServerPace pace({}, 1);
    pace.OnStarts({{kOld, {}}}, kStart);
    Instant now = kStart + seconds(10);
    pace.OnStarts({{kServer, {}}}, now);
    std::uint32_t answers = 0;
    int rounds = 0;
    for (; pace.ShareOf(kServer) < 0.9 && rounds < 100; ++rounds) {
      const Instant sent = now;
      now += milliseconds(400);
      const std::uint32_t part = pace.OwnPartOf(kServer, slots);
      for (std::uint32_t i = 0; i < part; ++i, ++answers) {
        pace.OnAnswer(kServer,
                      {PaceEvidence::kAnswered, sent, 1, 1, 1, 1.0 * slots},
                      now);
      }
    }
    cr_log_info("%u slots: %u answers in %d rounds", slots, answers, rounds);
    cr_assert(rounds <= 6, "%u slots: %d rounds", slots, rounds);
    cr_assert(answers <= 2.2 * slots + 6, "%u slots: %u answers", slots,
              answers);
  }
}

Test(server_pace, a_server_that_takes_its_load_is_no_longer_paced) {
  // Guards against pacing that lasts since the service has little load.
  ServerPace pace({}, 1);
  pace.OnStarts({{kOld, {}}}, kStart);
  Instant now = kStart + seconds(10);
  pace.OnStarts({{kServer, {}}}, now);
  for (int i = 0; i < 24; ++i) {
    const Instant sent = now;
    now += milliseconds(400);
    pace.OnAnswer(kServer, {PaceEvidence::kAnswered, sent, 1, 1, 0.1, 4}, now);
  }
  cr_assert(!pace.IsPaced(kServer));
  const auto changes = pace.TakeChanges();
  cr_assert(changes.size() >= 2);
  cr_assert(changes.front().cause == PaceCause::kNewStart);
  cr_assert(changes.back().ended);
  cr_assert(changes.back().paced_for > Duration::zero());
}

Test(server_pace, slow_answers_of_a_server_that_warms_up_are_not_bad) {
  // Guards against a server at its floor because it says that it is slow still;
  // its refusals count.
  ServerPace pace({}, 1);
  pace.OnStarts({{kOld, {}}}, kStart);
  const Instant now = kStart + seconds(10);
  pace.OnStarts({{kServer, seconds(5)}}, now);
  const double first = pace.ShareOf(kServer);
  cr_assert(first < ServerPaceSettings().first_share);
  for (int i = 1; i < 20; ++i) {
    pace.OnAnswer(kServer, {PaceEvidence::kAnswered, now, 4, 1, 1, 4},
                  now + milliseconds(200 * i));
  }
  cr_assert(pace.ShareOf(kServer) == first);
  pace.OnAnswer(kServer, {PaceEvidence::kRefused, now, 1, 1, 1, 4},
                now + seconds(4));
  cr_assert(pace.ShareOf(kServer) < first);
}

Test(server_pace, the_false_good_news_of_one_vm_does_not_flood_a_server) {
  // Guards against a VM that states a full share in each datagram.
  const ServerPaceSettings settings;
  ServerPace pace(settings, 1);
  pace.SetFleet({1, 2, 3, 4}, kStart);
  pace.OnStarts({{kOld, {}}}, kStart);
  Instant now = kStart + seconds(10);
  pace.OnStarts({{kServer, {}}}, now);
  const std::uint64_t key = PaceStartKey(kServer);
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(300);
    pace.OnStatements("liar", {{key, 1, now}}, now);
    pace.Tick(now);
  }
  cr_assert(pace.ShareOf(kServer) <=
            settings.first_share * settings.growth + 1e-9);
  // With the statement of a second VM the lower one counts.
  pace.OnStatements("honest", {{key, 0.2, now}}, now);
  pace.Tick(now);
  cr_assert(pace.ShareOf(kServer) <= 0.2);
}

Test(server_pace, what_two_vms_state_is_taken_over_step_by_step) {
  // Guards against a VM without requests for a server that never learns that
  // the server is warm, and against a jump to the full share.
  const ServerPaceSettings settings;
  ServerPace pace(settings, 1);
  pace.OnStarts({{kOld, {}}}, kStart);
  Instant now = kStart + seconds(10);
  pace.OnStarts({{kServer, {}}}, now);
  const std::uint64_t key = PaceStartKey(kServer);
  double earlier = pace.ShareOf(kServer);
  for (int i = 0; i < 10; ++i) {
    now += milliseconds(300);
    pace.OnStatements("vm2", {{key, 1, now}}, now);
    pace.OnStatements("vm3", {{key, 1, now}}, now);
    const double share = pace.ShareOf(kServer);
    cr_assert(share <= settings.max_growth * earlier + 1e-9);
    earlier = share;
  }
  cr_assert(!pace.IsPaced(kServer));
  // Statements from before an outage say nothing of the server after it.
  pace.OnOutage(kServer, now + milliseconds(1));
  pace.OnStatements("vm2", {{key, 1, now}}, now + milliseconds(2));
  pace.OnStatements("vm3", {{key, 1, now}}, now + milliseconds(2));
  cr_assert(pace.ShareOf(kServer) == settings.returned_share);
}

Test(server_pace, outages_of_this_vms_own_links_are_cleared) {
  // Guards against all servers being paced after a fault of this VM's link.
  ServerPace pace({}, 1);
  pace.OnStarts({{kOld, {}}}, kStart);
  pace.OnOutage(kOld, kStart + seconds(5));
  cr_assert(pace.IsPaced(kOld));
  pace.ClearOutages(kStart + seconds(6));
  cr_assert(!pace.IsPaced(kOld));
  cr_assert(pace.NonePaced());
}
