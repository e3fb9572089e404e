"""Runs the benchmarks. Each prints lines `bench=NAME value=V unit=U bound=B
verdict=ok|short`; the bounds come from the performance target. Both values of a
ratio come from the same run. --quick shortens the runs."""

import argparse
import os
import re
import signal
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
import fleet as fleets  # noqa: E402
from fleet import CONTROL_METRICS_PORT, Fleet, Process, Stage  # noqa: E402

RUN = os.path.join(fleets.ROOT, "run")
PERFORMANCE = os.path.join(fleets.BUILD, "performance_tests")
MISSED_BOUNDS = []


def print_result(name, value, unit, bound=None, at_least=False):
    """Prints one result. The bound is a maximum, or with `at_least` a minimum."""
    verdict = "ok"
    if bound is not None and ((value < bound) if at_least else (value > bound)):
        verdict = "short"
        MISSED_BOUNDS.append(name)
    print("bench=%s value=%.4g unit=%s bound=%s verdict=%s" %
          (name, value, unit, "-" if bound is None else "%g" % bound, verdict), flush=True)


def parse_fields(text):
    return dict(part.split("=", 1) for part in text.split() if "=" in part)


# ---- hop: latency that each process adds to a token ----

def bench_hop(quick):
    fleet = Fleet(os.path.join(RUN, "hop"), 31)
    fleet.add_vm("vm-1", "hal-1", "dk")
    fleet.add_pipeline("sprogmodel", 32, token_limit=2000)
    for number in range(4):
        stage = Stage(number * 8, number * 8 + 7, "fast", 0, 0, 0)
        fleet.add_engine("s%d" % number, "sprogmodel", stage, "hal-1", "dk")
    fleet.add_organisation("skagen", "key-skagen")
    tokens = 300 if quick else 1500
    try:
        fleet.start()
        intervals = token_intervals_ms(fleet, tokens)
        cell = re.search(r"chosen=([0-9a-f]{8})", open(fleet.vms[0].entry.log).read()).group(1)
        done = subprocess.run(
            [os.path.join(PERFORMANCE, "hop-bench"), "--engines", ",".join(e.address for e in fleet.engines),
             "--dispatch", "%s:%d" % (fleet.vms[0].ip, fleets.DISPATCH_PORT), "--entry",
             "%s:%d" % (fleet.vms[0].ip, fleets.HTTP_PORT), "--cell", cell, "--tokens", str(tokens)],
            capture_output=True, text=True, timeout=120)
        sys.stderr.write(done.stderr)
        rows = {text.split()[0]: parse_fields(text) for text in done.stdout.splitlines()}
    finally:
        fleet.stop()
    direct, dispatch = float(rows["direct"]["median_ms"]), float(rows["dispatch"]["median_ms"])
    entry = intervals[len(intervals) // 2]
    print_result("hop.direct.median", direct, "ms/token")
    print_result("hop.direct.p99", float(rows["direct"]["p99_ms"]), "ms/token")
    print_result("hop.through_dispatch.median", dispatch, "ms/token")
    print_result("hop.through_dispatch.p99", float(rows["dispatch"]["p99_ms"]), "ms/token")
    print_result("hop.through_entry.median", entry, "ms/token")
    print_result("hop.through_entry.p99", intervals[int(0.99 * (len(intervals) - 1))], "ms/token")
    one = {name: float(rows["one_" + name]["median_ms"]) for name in ("direct", "dispatch", "entry")}
    worst = {name: float(rows["one_" + name]["p99_ms"]) for name in ("direct", "dispatch", "entry")}
    for name in ("direct", "dispatch", "entry"):
        print_result("hop.one_token.%s.median" % name, one[name], "ms")
        print_result("hop.one_token.%s.p99" % name, worst[name], "ms")
    print_result("hop.added_by_dispatch", one["dispatch"] - one["direct"], "ms/token")
    print_result("hop.added_by_entry", one["entry"] - one["dispatch"], "ms/token")
    # The processes may add a tenth of the 30 ms between tokens.
    print_result("hop.added_by_both", one["entry"] - one["direct"], "ms/token", 3)


def token_intervals_ms(fleet, tokens):
    """Returns the sorted intervals between tokens, in ms, as a caller over plain
    HTTP receives them."""
    import http.client
    connection = http.client.HTTPConnection(fleet.vms[0].ip, fleets.HTTP_PORT, timeout=60)
    connection.request("POST", "/v1/completions",
                       '{"model": "sprogmodel", "prompt": "hop", "max_tokens": %d, "stream": true}' % tokens,
                       {"Authorization": "Bearer key-skagen"})
    response = connection.getresponse()
    times = []
    while True:
        text = response.readline()
        if not text or text.startswith(b"data: [DONE]"):
            break
        if text.startswith(b"data: "):
            times.append(time.perf_counter())
    return sorted((b - a) * 1000 for a, b in zip(times, times[1:]))


# ---- ledger ----

def bench_ledger(quick):
    folder = os.path.join(RUN, "ledger")
    os.makedirs(folder, exist_ok=True)
    address = "127.0.32.40:9000"
    platform = Process("platform", "fake-platform",
                       "listen: '%s'\nwrites_per_second: 100000\nreads_per_second: 100000\n" % address, folder)
    platform.start()
    try:
        fleets.wait_until(lambda: fleets.http("GET", "http://%s/vms" % address)[0] == 200, 5, "platform")
        for rate in (10, 100, 200):
            count = min(1000, rate * (2 if quick else 10))
            done = subprocess.run([os.path.join(PERFORMANCE, "ledger-bench"), "--platform", address, "--rate",
                                   str(rate), "--count", str(count)], capture_output=True, text=True, timeout=200)
            for text in done.stdout.splitlines():
                row = parse_fields(text)
                name = "ledger.%s.%d_per_s" % (row["mode"], rate)
                print_result(name + ".writes_per_1000_claims", float(row["writes_per_1000"]), "writes")
                print_result(name + ".p50", float(row["p50_ms"]), "ms")
                print_result(name + ".p99", float(row["p99_ms"]), "ms")
    finally:
        platform.send(signal.SIGTERM)
        platform.child.wait(5)


# ---- recovery ----

def bench_recovery(quick):
    rounds = 2 if quick else 10
    fleet = fleets.small_fleet(os.path.join(RUN, "recovery"), 33)
    pipeline = ("name: sprogmodel, layers: 32, rate: 20, prompt_words: {low: 4, high: 20}, "
                "answer_tokens: {low: 30, high: 60}")
    vm = fleet.vms[0]
    faults = {
        "stage": lambda: [fleet.engines[2]],
        "dispatch": lambda: [vm.dispatch],
        "entry": lambda: [vm.entry],
        "vm": vm.processes,
        "frozen_dispatch": lambda: [vm.dispatch],
    }
    try:
        fleet.start()
        for name, victims in faults.items():
            silences_s, lost = [], 0
            for round_number in range(rounds):
                label = "%s-%d" % (name, round_number)
                load = fleets.run_load(fleet, label, 2500, [pipeline], seed=100 + round_number, patience_ms=20000,
                                       background=True)
                time.sleep(1)
                for process in victims():
                    process.send(signal.SIGSTOP) if name == "frozen_dispatch" else process.kill()
                time.sleep(1.5)
                for process in victims():
                    process.send(signal.SIGCONT) if name == "frozen_dispatch" else process.start()
                load.communicate()
                fleets.wait_until(fleet.ready, 20, "the fleet is ready again")
                records = fleets.read_csv(fleet, label)
                silences_s.append(max(float(r["longest_gap_ms"]) for r in records) / 1000)
                silences_s[-1] = max(silences_s[-1], max(float(r["first_token_ms"]) for r in records) / 1000)
                lost += sum(r["ending"] != "correct" for r in records)
            silences_s.sort()
            print_result("recovery.%s.longest_silence.p50" % name, silences_s[len(silences_s) // 2], "s", 3)
            print_result("recovery.%s.longest_silence.worst" % name, silences_s[-1], "s", 3)
            print_result("recovery.%s.requests_lost" % name, lost, "requests", 0)
    finally:
        fleet.stop()


# ---- throughput as a share of its upper bound ----

# (accelerator, batch_us, decode_us, prefill_us), one per stage
KINDS = [("a", 2000, 60, 20), ("b", 2500, 80, 25), ("c", 3000, 100, 30), ("d", 2500, 90, 25), ("e", 2000, 70, 20)]
BATCH_LIMIT = 3


def bench_throughput(quick):
    """Loads five stages with two replicas each; each stage runs on another kind of
    accelerator."""
    prompt, answer = 16, 40
    fleet = Fleet(os.path.join(RUN, "throughput"), 34, "warning")
    fleet.add_vm("vm-1", "hal-1", "dk")
    fleet.add_vm("vm-2", "hal-1", "dk")
    fleet.add_pipeline("sprogmodel", 40, token_limit=512, cell_replicas=2)
    pool = []
    for number, (kind, batch_us, decode_us, prefill_us) in enumerate(KINDS):
        for replica in range(2):
            fleet.add_engine("s%d%d" % (number, replica), "sprogmodel",
                             Stage(number * 8, number * 8 + 7, kind, batch_us, decode_us, prefill_us), "hal-1", "dk",
                             session_limit=96, batch_limit=BATCH_LIMIT)
            pool.append("{stage: %d, batch_us: %d, decode_us: %d, prefill_us: %d, batch_limit: %d}" %
                        (number, batch_us, decode_us, prefill_us, BATCH_LIMIT))
    fleet.add_organisation("skagen", "key-skagen")
    fleet.add_organisation("odense", "key-odense")
    fleet.add_row("skagen", "sprogmodel", weight=2)
    fleet.add_row("odense", "sprogmodel", weight=1)
    rate_at_bound = rate_bound(prompt, answer) / answer
    results = {}
    try:
        fleet.start()
        for share in (0.7, 0.9, 1.0, 1.5, 3.0):
            pipeline = ("name: sprogmodel, layers: 40, rate: %.2f, prompt_words: {low: %d, high: %d}, "
                        "answer_tokens: {low: %d, high: %d}" % (share * rate_at_bound, prompt, prompt, answer, answer))
            done = fleets.run_load(fleet, "at-%.1f" % share, 4000 if quick else 10000, [pipeline],
                                   organisations=[("skagen", "key-skagen", 1, 2), ("odense", "key-odense", 1, 1)],
                                   patience_ms=20000, extra="pool:\n" + "".join("  - %s\n" % row for row in pool))
            results[share] = done.stdout
            rows = [parse_fields(text) for text in done.stdout.splitlines()]
            summary = {key: value for row in rows for key, value in row.items()}
            ratio = float(summary["ratio"])
            print_result("throughput.ratio_at_%.1f" % share, ratio, "of_bound", 0.95 if share >= 1 else None,
                         at_least=True)
            wrong = int(rows[0]["wrong"]) + int(rows[0]["unanswered"])
            print_result("throughput.wrong_at_%.1f" % share, wrong, "requests", 0)
            if share == 0.9:
                first = [text for text in done.stdout.splitlines() if text.startswith("first_token_ms")][0]
                token_interval = [text for text in done.stdout.splitlines() if text.startswith("token_gap_ms")][0]
                print_result("throughput.first_token_p95_at_0.9", float(parse_fields(first)["p95"]), "ms", 300)
                print_result("throughput.token_gap_p95_at_0.9", float(parse_fields(token_interval)["p95"]), "ms", 30)
            if share == 3.0:
                for text in done.stdout.splitlines():
                    if text.startswith("organisation="):
                        row = parse_fields(text)
                        deviation = abs(float(row["share"]) / float(row["weight_share"]) - 1)
                        print_result("throughput.share_off_weight_%s" % row["organisation"], deviation, "ratio", 0.05)
    finally:
        fleet.stop()
    return results


def rate_bound(prompt, answer):
    """Returns the upper bound on throughput in tokens/s, by the load tool's
    formula. The offered rates are multiples of this bound."""
    slowest = None
    for _, batch_us, decode_us, prefill_us in KINDS:
        time_us = prefill_us * prompt + decode_us * (answer - 1) + batch_us / BATCH_LIMIT * answer
        rate = 2 * answer / time_us * 1e6
        slowest = rate if slowest is None else min(slowest, rate)
    return slowest


# ---- control: cost per node as the fleet grows ----

def cpu_seconds(pid):
    parts = open("/proc/%d/stat" % pid).read().rsplit(")", 1)[1].split()
    return (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid):
    for text in open("/proc/%d/status" % pid):
        if text.startswith("VmRSS"):
            return int(text.split()[1]) / 1024
    return 0


def control_fleet(nodes, organisations):
    """Makes a fleet of control daemons only, in up to seven data centres of three
    regions."""
    fleet = Fleet(os.path.join(RUN, "control"), 35, "warning")
    locations = [("r1-a", "r1"), ("r1-b", "r1"), ("r1-c", "r1"), ("r2-a", "r2"), ("r2-b", "r2"), ("r3-a", "r3"),
                 ("r3-b", "r3")]
    for number in range(nodes):
        data_centre, region = locations[number % len(locations)]
        fleet.vms.append(fleets.Vm("vm-%03d" % number, data_centre, region, "127.0.35.%d" % (1 + number)))
    for number in range(5):
        fleet.add_pipeline("pipeline-%d" % number, 32)
    for number in range(organisations):
        fleet.add_organisation("org-%03d" % number, "key-%03d" % number)
        for pipeline in range(5):
            fleet.add_row("org-%03d" % number, "pipeline-%d" % pipeline, weight=1)
    return fleet


def start_control(fleet):
    fleet.platform = Process("platform", "fake-platform", "listen: '127.0.35.240:9000'\n", fleet.folder)
    fleet.platform_address = lambda: "127.0.35.240:9000"
    vms = fleet.vms
    for vm in vms:
        fleet.vms = [vm, vms[0], vms[1 % len(vms)]]  # two seeds are enough
        fleet.vms = list(dict.fromkeys(fleet.vms))
        fleet.write_vm(vm)
    fleet.vms = vms
    fleet.platform.start()
    for vm in vms:
        vm.control.start()
    fleet.init()


def control_metric(vm, name):
    return fleets.Fleet.metrics(None, vm.ip, CONTROL_METRICS_PORT).get(name, 0)


def measure_window(fleet, seconds, action=lambda: None):
    """Runs `action` and returns costs over at least `seconds`: cores and bytes/s as
    means of a sample of nodes, platform calls/s of the whole fleet, and the
    largest resident size in MB."""
    sample = fleet.vms[:: max(1, len(fleet.vms) // 5)]
    names = ["chervil_gossip_bytes_sent", "chervil_gossip_datagrams_sent", "chervil_gossip_bytes_received",
             "chervil_config_bytes_pulled_total"]
    before = [{name: control_metric(vm, name) for name in names} for vm in sample]
    counts = fleet.platform_counts()
    cpu = [cpu_seconds(vm.control.child.pid) for vm in sample]
    start = time.monotonic()
    action()
    time.sleep(max(0, seconds - (time.monotonic() - start)))
    elapsed = time.monotonic() - start
    cost = {"cpu": sum(cpu_seconds(vm.control.child.pid) - c for vm, c in zip(sample, cpu)) / len(sample) / elapsed}
    after = [{name: control_metric(vm, name) for name in names} for vm in sample]
    for name in names:
        cost[name] = sum(a[name] - b[name] for a, b in zip(after, before)) / len(sample) / elapsed
    cost["bytes"] = cost["chervil_gossip_bytes_sent"] + cost["chervil_config_bytes_pulled_total"]
    later = fleet.platform_counts()
    cost["reads"] = (later["reads"] - counts["reads"]) / elapsed
    cost["writes"] = (later["writes"] - counts["writes"]) / elapsed
    cost["waiting"] = later["waiting_watches"]
    cost["rss"] = max(resident_mb(vm.control.child.pid) for vm in sample)
    return cost


def seconds_until_in_force(fleet, weight):
    """Changes one row and returns the seconds until every node applies it."""
    table = fleet.ctl("table", "get").stdout
    path = os.path.join(fleet.folder, "table.csv")
    with open(path, "w") as out:
        out.write(re.sub(r"(org-000,pipeline-0,)\d+", r"\g<1>%d" % weight, table))
    done = fleet.ctl("table", "apply", path)
    accepted = time.monotonic()
    version = int(re.search(r"version (\d+)", done.stdout).group(1))
    pending = list(fleet.vms)
    while pending and time.monotonic() - accepted < 30:
        pending = [vm for vm in pending if control_metric(vm, "chervil_config_version") < version]
    return time.monotonic() - accepted


def bench_control(quick, sizes=None):
    sizes = sizes or ([5, 10, 20] if quick else [5, 10, 20, 40, 80])
    seconds = 5 if quick else 8
    points = {}
    for nodes in sizes:
        fleet = control_fleet(nodes, 360)
        try:
            start_control(fleet)
            fleets.wait_until(lambda: all(control_metric(vm, "chervil_members_alive") == nodes and
                                          control_metric(vm, "chervil_config_version") >= 1 for vm in fleet.vms), 60,
                              "all control daemons know each other")
            time.sleep(3)
            quiet = measure_window(fleet, seconds)
            delays = sorted(seconds_until_in_force(fleet, 2 + turn) for turn in range(3 if quick else 5))
            # At most one change per second; the target of 5,300 per day is 3.7 per
            # minute.
            changes = measure_window(
                fleet, seconds, lambda: [seconds_until_in_force(fleet, 20 + turn) for turn in range(seconds)])
            points[nodes] = (quiet, changes)
            prefix = "control.%d_nodes." % nodes
            print_result(prefix + "quiet.bytes_sent", quiet["chervil_gossip_bytes_sent"] / 1000, "KB/s/node", 13)
            print_result(prefix + "quiet.datagrams_sent", quiet["chervil_gossip_datagrams_sent"], "1/s/node")
            print_result(prefix + "quiet.cpu", quiet["cpu"] * 100, "%core/node", 4.1)
            print_result(prefix + "quiet.resident", quiet["rss"], "MB/node", 256)
            print_result(prefix + "quiet.platform_reads", quiet["reads"], "1/s")
            print_result(prefix + "quiet.waiting_watches", quiet["waiting"], "watches")
            print_result(prefix + "changes.bytes", changes["bytes"] / 1000, "KB/s/node")
            print_result(prefix + "changes.cpu", changes["cpu"] * 100, "%core/node")
            print_result(prefix + "change_in_force.p50", delays[len(delays) // 2], "s", 5)
            print_result(prefix + "change_in_force.worst", delays[-1], "s", 5)
        finally:
            for vm in fleet.vms:
                vm.control.send(signal.SIGKILL)
            for vm in fleet.vms:
                if vm.control.child:
                    vm.control.child.wait(5)
            fleet.platform.kill()
    print_fits(points)
    return points


def fit_line(xs, ys):
    """Fits y = a + b x by least squares and returns (a, b)."""
    count = len(xs)
    mean_x, mean_y = sum(xs) / count, sum(ys) / count
    sum_squares = sum((x - mean_x) ** 2 for x in xs)
    b = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / sum_squares if sum_squares else 0
    return mean_y - b * mean_x, b


def print_fits(points):
    xs = sorted(points)
    for name, unit, scale, bound in (("chervil_gossip_bytes_sent", "KB/s/node", 1e-3, 13), ("cpu", "%core/node", 100, 4.1),
                                     ("rss", "MB/node", 1, 256), ("reads", "platform_reads/s", 1, 2000)):
        a, b = fit_line(xs, [points[x][0][name] * scale for x in xs])
        print_result("control.at_410_nodes.%s" % name, a + b * 410, unit, bound)
        print("  fit: %s = %.4g + %.4g x nodes, points %s" %
              (name, a, b, ", ".join("%d: %.4g" % (x, points[x][0][name] * scale) for x in xs)), flush=True)


# ---- core ----

def bench_core(quick):
    done = subprocess.run([os.path.join(PERFORMANCE, "core-bench"), "--benchmark_min_time=%s" % ("0.05" if quick else "0.2")],
                          capture_output=True, text=True, timeout=300)
    for text in done.stdout.splitlines():
        match = re.match(r"(\S+)\s+([\d.]+) ns\s+([\d.]+) ns\s+\d+(.*)", text)
        if match:
            print("bench=core.%s value=%s unit=ns bound=- verdict=ok%s" % (match.group(1), match.group(3),
                                                                           match.group(4)))


BENCHES = {"hop": bench_hop, "ledger": bench_ledger, "recovery": bench_recovery, "throughput": bench_throughput,
           "control": bench_control, "core": bench_core}


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("names", nargs="*", metavar="|".join(BENCHES))
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--nodes", default="", help="fleet sizes of control, such as 5,10,20")
    options = parser.parse_args()
    for name in options.names or list(BENCHES):
        if name == "control" and options.nodes:
            bench_control(options.quick, [int(n) for n in options.nodes.split(",")])
        else:
            BENCHES[name](options.quick)
    if MISSED_BOUNDS:
        print("bounds missed: " + ", ".join(MISSED_BOUNDS))
    return 1 if MISSED_BOUNDS else 0


if __name__ == "__main__":
    sys.exit(main())
