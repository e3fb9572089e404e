// Tests of membership in fleets of 9 to 410 VMs, on a simulated network. The
// bounds come from the stated target: 410 VMs, 13 KB/s a VM for control.
#include <criterion/criterion.h>
#include <fmt/format.h>

#include "chervilpass/fleet/router_detector.h"
#include "unit_tests/membership_simulation.h"

using namespace chervilpass;

namespace {

constexpr std::size_t kSizes[] = {9, 91, 195, 410};
constexpr double kControlBytesPerSecond = 13000;
constexpr std::uint64_t kMaxUnfragmentedBytes = 1472;

MembershipSimulationSettings SettingsFor(std::size_t vms) {
  MembershipSimulationSettings settings;
  settings.vms = vms;
  settings.data_centres = vms > 100 ? 5 : 3;
  settings.detector = fleet::RouterDetectorSettings();
  return settings;
}

double BytesPerVmSecond(const MembershipSimulation& simulation,
                        std::size_t vms,
                        Duration duration) {
  return static_cast<double>(simulation.Counters().bytes) /
         static_cast<double>(vms) / ToSeconds(duration);
}

std::vector<std::size_t> Herd(std::size_t vms) {
  std::vector<std::size_t> herd;
  for (std::size_t i = 0; i < vms; ++i) {
    if (i % 5 < 3) {
      herd.push_back(i);
    }
  }
  return herd;
}

// All VMs start within 0.3 s and become ready 2 s later.
void CheckStartAndCalm(std::size_t vms) {
  MembershipSimulation simulation(SettingsFor(vms));
  simulation.StartFleet();
  simulation.RunFor(seconds(2));
  for (std::size_t i = 0; i < vms; ++i) {
    cr_assert_eq(simulation.PresentAt(i), vms, "VM %zu of %zu", i, vms);
  }
  simulation.RunFor(seconds(4));
  cr_assert_gt(simulation.ReadyShare(), 0.99, "%zu VMs: %f", vms,
               simulation.ReadyShare());
  simulation.ResetCounters();
  const Duration calm = seconds(60);
  simulation.RunFor(calm);
  cr_assert_eq(simulation.ReadyShare(), 1, "%zu VMs", vms);
  cr_assert_eq(simulation.Counters().false_deaths, 0, "%zu VMs", vms);
  cr_assert_lt(BytesPerVmSecond(simulation, vms, calm), kControlBytesPerSecond,
               "%zu VMs", vms);
  cr_assert_leq(simulation.Counters().max_datagram_bytes,
                kMaxUnfragmentedBytes);
}

}  // namespace

Test(membership_scale, start_and_calm_of_9_to_195_vms) {
  for (const std::size_t vms : {9, 91, 195}) {
    CheckStartAndCalm(vms);
  }
}

Test(membership_scale, start_and_calm_of_410_vms) {
  CheckStartAndCalm(410);
}

// Without the store, VMs know each other from their seeds.
Test(membership_scale, start_without_the_store) {
  MembershipSimulationSettings settings = SettingsFor(195);
  settings.has_store = false;
  MembershipSimulation simulation(settings);
  simulation.StartFleet();
  simulation.RunFor(seconds(8));
  cr_assert_gt(simulation.ReadyShare(), 0.99, "%f", simulation.ReadyShare());
}

// Three in 100 datagrams are lost, and a third of the VMs is up to 0.4 s late.
Test(membership_scale, few_false_deaths_with_loss_and_slow_vms) {
  for (const std::size_t vms : {9, 91, 195}) {
    MembershipSimulationSettings settings = SettingsFor(vms);
    settings.loss = 0.03;
    settings.slow_share = 1.0 / 3;
    MembershipSimulation simulation(settings);
    simulation.StartFleet();
    simulation.RunFor(seconds(10));
    simulation.ResetCounters();
    const double before = simulation.VmHours();
    simulation.RunFor(seconds(60));
    const double hours = simulation.VmHours() - before;
    cr_assert_lt(static_cast<double>(simulation.Counters().false_deaths), hours,
                 "%zu VMs: %lu in %f VM-hours", vms,
                 static_cast<unsigned long>(simulation.Counters().false_deaths),
                 hours);
  }
}

Test(membership_scale, a_death_is_known_within_three_seconds) {
  for (const std::size_t vms : kSizes) {
    MembershipSimulation simulation(SettingsFor(vms));
    simulation.StartFleet();
    simulation.RunFor(seconds(10));
    constexpr int kDeaths = 10;
    double known = 0;
    for (int i = 0; i < kDeaths; ++i) {
      const std::size_t vm = 3 + static_cast<std::size_t>(i) * 17 % (vms - 3);
      simulation.Kill(vm);
      simulation.RunFor(seconds(3));
      known += simulation.KnownDeadShare(vm) / kDeaths;
      simulation.RunFor(seconds(1));
      simulation.Restart(vm);
      simulation.RunFor(seconds(2));
    }
    cr_assert_geq(known, 0.99, "%zu VMs: %f", vms, known);
  }
}

// Three in five VMs end at once and start again 8 s later.
Test(membership_scale, a_herd_that_ends_and_returns) {
  for (const std::size_t vms : {9, 91, 195}) {
    MembershipSimulation simulation(SettingsFor(vms));
    simulation.StartFleet();
    simulation.RunFor(seconds(10));
    simulation.ResetCounters();
    const std::vector<std::size_t> herd = Herd(vms);
    for (const std::size_t vm : herd) {
      simulation.Kill(vm);
    }
    simulation.RunFor(seconds(8));
    double known = 0;
    for (const std::size_t vm : herd) {
      known += simulation.KnownDeadShare(vm) / static_cast<double>(herd.size());
    }
    cr_assert_geq(known, 0.99, "%zu VMs: %f", vms, known);
    for (const std::size_t vm : herd) {
      simulation.Restart(vm);
    }
    simulation.RunFor(seconds(6));
    cr_assert_gt(simulation.ReadyShare(), 0.99, "%zu VMs: %f", vms,
                 simulation.ReadyShare());
    cr_assert_eq(simulation.Counters().false_deaths, 0, "%zu VMs", vms);
    cr_assert_lt(BytesPerVmSecond(simulation, vms, seconds(14)),
                 kControlBytesPerSecond, "%zu VMs", vms);
  }
}

// VMs leave, end and start again one after the other.
Test(membership_scale, a_rolling_stop_declares_no_running_vm_dead) {
  for (const std::size_t vms : {9, 91, 195}) {
    MembershipSimulation simulation(SettingsFor(vms));
    simulation.StartFleet();
    simulation.RunFor(seconds(10));
    simulation.ResetCounters();
    const std::size_t count = std::min<std::size_t>(vms, 20);
    for (std::size_t vm = 0; vm < count; ++vm) {
      simulation.Leave(vm);
      simulation.RunFor(milliseconds(1200));
      simulation.Kill(vm);
      simulation.RunFor(milliseconds(300));
      simulation.Restart(vm);
      simulation.RunFor(milliseconds(300));
    }
    simulation.RunFor(seconds(4));
    cr_assert_gt(simulation.ReadyShare(), 0.99, "%zu VMs: %f", vms,
                 simulation.ReadyShare());
    cr_assert_eq(simulation.Counters().false_deaths, 0, "%zu VMs", vms);
  }
}

// The two sides declare each other dead, rightly; when they meet again, each
// VM refutes its own death only.
Test(membership_scale, two_sides_that_meet_again) {
  for (const std::size_t vms : kSizes) {
    MembershipSimulation simulation(SettingsFor(vms));
    simulation.StartFleet();
    simulation.RunFor(seconds(10));
    std::set<std::size_t> side;
    for (std::size_t i = 0; i < vms / 2; ++i) {
      side.insert(i);
    }
    simulation.Partition(side);
    simulation.RunFor(seconds(8));
    simulation.Partition({});
    simulation.ResetCounters();
    simulation.RunFor(seconds(6));
    cr_assert_gt(simulation.ReadyShare(), 0.99, "%zu VMs: %f", vms,
                 simulation.ReadyShare());
    cr_assert_eq(simulation.Counters().false_deaths, 0, "%zu VMs", vms);
  }
}
