"""Estimates what each role costs at the target size by linear extrapolation from
small fleets. Prints the measured points, the fit and the cost at the target."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import bench  # noqa: E402
import fleet as fleets  # noqa: E402
from fleet import Fleet, Stage  # noqa: E402

# The target fleet, its load per second and its budgets. CONTROL_* are per node,
# in %core, MB and KB/s; PLATFORM_* are calls per second.
NODES, WORKERS = 410, 2200
REQUESTS, TOKENS = 3800.0, 950000.0
CONTROL_CPU, CONTROL_MB, CONTROL_KB = 4.1, 256, 13
PLATFORM_READS, PLATFORM_WRITES = 2000, 400
CHANGES_PER_SECOND = 5300 / 86400
TOKENS_PER_NODE, REQUESTS_PER_NODE = TOKENS / NODES, REQUESTS / NODES


def print_row(role, what, value, unit, budget, mechanism):
    verdict = "" if budget is None else (" OVER" if value > budget else " fits")
    print("capacity: role=%s what=%s at_target=%.4g unit=%s budget=%s%s mechanism=%s" %
          (role, what, value, unit, "-" if budget is None else "%g" % budget, verdict, mechanism), flush=True)


def data_path(quick):
    """Estimates CPU time per token and memory of entry and dispatcher, with a fit
    over three request rates on one VM."""
    fleet = Fleet(os.path.join(bench.RUN, "capacity"), 36, "warning")
    fleet.add_vm("vm-1", "hal-1", "dk")
    fleet.add_pipeline("sprogmodel", 32, token_limit=512)
    for number in range(4):
        for replica in range(2):
            fleet.add_engine("s%d%d" % (number, replica), "sprogmodel",
                             Stage(number * 8, number * 8 + 7, "fast", 1500, 10, 5), "hal-1", "dk", session_limit=256,
                             batch_limit=64)
    fleet.add_organisation("skagen", "key-skagen")
    vm = None
    points = {"entry": [], "dispatch": []}
    try:
        fleet.start()
        vm = fleet.vms[0]
        for rate in (5, 10, 20):
            pids = {"entry": vm.entry.child.pid, "dispatch": vm.dispatch.child.pid}
            before = {name: bench.cpu_seconds(pid) for name, pid in pids.items()}
            start = time.monotonic()
            done = fleets.run_load(
                fleet, "rate-%d" % rate, 4000 if quick else 8000,
                ["name: sprogmodel, layers: 32, rate: %d, prompt_words: {low: 16, high: 16}, "
                 "answer_tokens: {low: 50, high: 50}" % rate],
                organisations=[("skagen", "key-skagen", 1, 1)], patience_ms=20000)
            elapsed = time.monotonic() - start
            tokens = sum(int(record["tokens"]) for record in fleets.read_csv(fleet, "rate-%d" % rate))
            for name, pid in pids.items():
                cpu = bench.cpu_seconds(pid) - before[name]
                points[name].append((tokens / elapsed, cpu / elapsed * 100, bench.resident_mb(pid)))
            print("  " + done.stdout.splitlines()[0], flush=True)
    finally:
        fleet.stop()
    for name, mechanism in (("entry", "fibers on one thread, one callback per token"),
                            ("dispatch", "steps of many sessions in one HTTP request")):
        xs = [point[0] for point in points[name]]
        a, b = bench.fit_line(xs, [point[1] for point in points[name]])
        print("  fit: %s cpu%% = %.4g + %.4g x tokens/s, points %s" %
              (name, a, b, ", ".join("%.0f: %.3g" % point[:2] for point in points[name])))
        print_row(name, "cpu", a + b * TOKENS_PER_NODE, "%core", None, mechanism)
        print_row(name, "resident", max(point[2] for point in points[name]), "MB", None, mechanism)
    return points


def main():
    quick = "--quick" in sys.argv[1:]
    print("target: %.0f tokens/s and %.1f requests/s per node" % (TOKENS_PER_NODE, REQUESTS_PER_NODE))
    data_path(quick)
    # Datagrams are full from about 12 nodes on; smaller fleets have a different
    # slope from the target's.
    points = bench.bench_control(quick, [20, 40, 80])
    sizes = sorted(points)

    # Window 0 is without changes of the configuration, window 1 with them.
    def cost_at(metric, scale, window=0, size=NODES):
        a, b = bench.fit_line(sizes, [points[n][window][metric] * scale for n in sizes])
        return a + b * size
    print_row("control", "quiet_cpu", cost_at("cpu", 100), "%core", CONTROL_CPU, "one SWIM probe per period")
    print_row("control", "quiet_sent", cost_at("chervil_gossip_bytes_sent", 1e-3), "KB/s", CONTROL_KB,
              "datagrams of bounded size")
    print_row("control", "quiet_received", cost_at("chervil_gossip_bytes_received", 1e-3), "KB/s", CONTROL_KB,
              "datagrams of bounded size")
    print_row("control", "resident", cost_at("rss", 1, 1), "MB", CONTROL_MB, "records by VM, 64 versions kept")
    print_row("control", "cpu_at_one_change_a_second", cost_at("cpu", 100, 1), "%core", CONTROL_CPU,
              "deltas pulled from peers; 5,300 per day are one every 16 s")
    quiet = cost_at("chervil_gossip_bytes_sent", 1e-3)
    per_change = cost_at("bytes", 1e-3, 1) - quiet  # the window has one change per second
    print_row("control", "bytes_at_the_rate_of_changes", quiet + per_change * CHANGES_PER_SECOND, "KB/s", CONTROL_KB,
              "deltas pulled from peers")
    # Only relays call the platform: two per data centre at any fleet size. The
    # largest fleet has seven data centres, as many as the target.
    largest = points[sizes[-1]][0]
    print_row("platform", "reads", largest["reads"], "1/s", PLATFORM_READS,
              "two relays per data centre read the VM list")
    print_row("platform", "waiting_watches", largest["waiting"], "watches", None, "two relays per data centre watch")
    shards, interval = 4, 0.010
    print_row("platform", "ledger_writes_at_most", shards / interval, "1/s", PLATFORM_WRITES,
              "%d shards, each with one write per %d ms" % (shards, interval * 1000))
    return 0


if __name__ == "__main__":
    sys.exit(main())
