"""What a leaving router expects of streams, against what comes of them. Real processes on loopback.

    leaving_estimates.py [--cell NAME]... [--seed N] [--subnet N] [--router PATH]

Callers send streams whose lengths vary widely to all routers at a steady rate; their hints are
right at the median only. The cells:
    steady    a stop every 3.5 s
    slow      answers slow down after SIGTERM, by several factors, at once or over some seconds
    restarts  a stop every 3.5 s while model workers restart
    cold      routers are stopped some seconds after their start
    late-limit, late-hint  as steady, with fewer stops; beside it, each leaving router gets long streams
              whose callers state a limit, or a hint, that is far too low

Prints a table by the time from SIGTERM until a stream was sent (below 0: in progress at SIGTERM):
how the streams ended, how many of the refused ones would have ended in time ("needl."), and how
long those that were sent on took, as a multiple of the estimate. The cells "steady", "cold" and "late-*"
fail if a stream that was sent later than 3 s after SIGTERM is broken off."""

import argparse
import http.client
import json
import math
import os
import random
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
import fleet as fleets  # noqa: E402
import platform_fleet  # noqa: E402

GRACE_S = 8.0
EVENT_S = 0.03
MEAN_EVENTS, SPREAD, MOST_EVENTS, LIMIT = 73, 0.89, 182, 400
HINT_SPREAD = 0.5
RATE_EACH = 4.0            # streams a second for each router
WARM_UP_S = 20.0
STOP_INTERVAL_S = 3.5
LATE_S = 3.0               # streams sent later after SIGTERM must be whole
PHASES = ((0.0, 2.0), (2.0, LATE_S), (LATE_S, GRACE_S))
SLOW_DOWNS = tuple((factor, over_ms) for over_ms in (0, 4000) for factor in (1.5, 2, 3, 5))
SLOW_RECOVERY_S = 13.0     # until the samples of a slow-down have been replaced
COLD_S = 4.0
LATE_EVENTS, LATE_BEGIN_S, LATE_INTERVAL_S = 170, 0.45, 0.55
LATE_STOPS = 4
FAILED = []


def check(what, condition, seen=""):
    print("%s: %s %s" % ("ok" if condition else "FAILED", what, seen), flush=True)
    if not condition:
        FAILED.append(what)


class EstimateFleet(platform_fleet.PlatformFleet):
    def config(self):
        config = super().config()
        for service in config["services"]:
            if "engine" in service:
                service["engine"].update(kvBytes=100, slots=400)
        return config

    def add_worker(self, data_centre):
        return self.add_process("worker-%d" % (len(self.workers) + 1),
                                "kind: small\nslots: 400\nlargest_range: 5\nwork_ms: 30\nload_layer_ms: 10\n",
                                data_centre, "llm", self.workers)


class Stop:
    """From the SIGTERM of a router until it has been started again."""

    def __init__(self, router, label):
        self.router, self.label = router, label
        self.begun, self.ended = time.monotonic(), None
        router.process.send(signal.SIGTERM)


class Rig:
    def __init__(self, fleet, seed):
        self.fleet, self.stops, self.outcomes = fleet, [], []
        self.running = True
        self.lock = threading.Lock()
        for router in fleet.routers:
            draw = random.Random("%d %s" % (seed, router.name))
            threading.Thread(target=self.send_all, args=(router, draw), daemon=True).start()

    def send_all(self, router, draw):
        due, number = time.monotonic(), 0
        while self.running:
            due += draw.expovariate(RATE_EACH)
            number += 1
            events = int(min(MOST_EVENTS, max(1, draw.lognormvariate(math.log(MEAN_EVENTS) - SPREAD ** 2 / 2, SPREAD))))
            hint = max(1, int(events * draw.lognormvariate(0, HINT_SPREAD)))
            time.sleep(max(0.0, due - time.monotonic()))
            threading.Thread(target=self.send, args=(router, "%s-%d" % (router.name, number), events, LIMIT, hint),
                             daemon=True).start()

    def send_late(self, stop, stop_number, limit, hint):
        """Sends long streams to a leaving router at a steady rate, as a caller does that knows no other one."""
        sent_after, number = LATE_BEGIN_S, 0
        while sent_after < GRACE_S:
            time.sleep(max(0.0, stop.begun + sent_after - time.monotonic()))
            number += 1
            threading.Thread(target=self.send, daemon=True, args=(
                stop.router, "late-%s-%d-%d" % (stop.router.name, stop_number, number), LATE_EVENTS, limit,
                hint)).start()
            sent_after += LATE_INTERVAL_S

    def send(self, router, name, events, limit, hint):
        kind, sent = "unsent", time.monotonic()
        connection = http.client.HTTPConnection(router.ip, platform_fleet.CALLER_PORT, timeout=30)
        try:
            connection.connect()
            kind = "silent"
            headers = {
                "Host": platform_fleet.HOST, "Chervilpass-Request-Id": name, "Authorization": "Token key-skagen",
                "Chervilpass-Deadline-Ms": "20000", "Chervilpass-Token-Counts": "10,%d" % limit}
            if hint:
                headers["Chervilpass-Length-Hint"] = "%d" % hint
            connection.request("POST", "/once/x?events=%d" % events, headers=headers)
            response = connection.getresponse()
            kind = "cut" if response.status == 200 else "failed"
            body = response.read()
            if response.status == 200:
                kind = "served" if body.count(b"id: ") == events else "cut"
            elif response.status == 503:
                kind = "refused"
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        with self.lock:
            self.outcomes.append((router, name, sent, time.monotonic(), kind, events, hint))

    def stop(self, router, label=""):
        self.stops.append(Stop(router, label))
        return self.stops[-1]

    def restart(self, stop):
        stop.router.process.child.wait(GRACE_S + 2)
        stop.ended = time.monotonic()
        stop.router.process.start()

    def stop_in_background(self, router, label=""):
        stop = self.stop(router, label)
        thread = threading.Thread(target=self.restart, args=(stop,), daemon=True)
        thread.start()
        return thread

    def finish(self):
        self.running = False
        time.sleep(9)


def verdicts(fleet):
    """The estimates by request, of those that a leaving router has sent on."""
    found = {}
    for router in fleet.routers:
        with open(router.process.log) as log:
            for line in log:
                if "request.sent_while_leaving" in line:
                    entry = json.loads(line)
                    found.setdefault(entry["request"], {key: int(entry[key]) for key in
                                                        ("expected_ms", "left_ms", "age_ms")})
    return found


def quantile(values, share):
    values = sorted(values)
    return values[min(len(values) - 1, int(share * len(values)))] if values else float("nan")


def report(name, rig, late_cuts_fail):
    taken = verdicts(rig.fleet)
    labels = []
    late_cut = []
    print("%-22s %-10s %5s %5s %5s %5s %5s %6s | %s" % ("stops", "sent after", "sent", "whole", "cut", "refus", "other",
                                                       "needl.", "elapsed / expected p50 p95 max, over"))
    for stop in rig.stops:
        if stop.label not in labels:
            labels.append(stop.label)
    for label in labels:
        stops = [stop for stop in rig.stops if stop.label == label and stop.ended]
        for begin, end in ((-GRACE_S, 0.0),) + PHASES:
            mine = [(item, stop) for item in rig.outcomes for stop in stops
                    if item[0] is stop.router and begin <= item[2] - stop.begun < end and
                    item[2] < stop.ended and (begin >= 0 or item[3] > stop.begun)]
            kinds = [item[4] for item, _ in mine]
            # Pace of the streams that ran during the stop.
            paces = [(item[3] - item[2]) / item[5] for item in rig.outcomes for stop in stops
                     if item[4] == "served" and item[5] > 20 and stop.begun < item[3] < stop.ended + 1 and
                     item[2] > stop.begun - 2]
            pace = quantile(paces, 0.9)
            needless = sum(1 for item, stop in mine if item[4] == "refused" and
                           item[2] + item[5] * pace < stop.begun + GRACE_S - 0.75)
            ratios = [(item[3] - item[2]) * 1000 / max(1, taken[item[1]]["expected_ms"] + taken[item[1]]["age_ms"])
                      for item, _ in mine if item[1] in taken and item[4] in ("served", "cut")]
            print("%-22s %4.0f..%-4.0f %5d %5d %5d %5d %5d %6d | %5.2f %5.2f %5.2f %4d of %d" % (
                label or name, begin, end, len(mine), kinds.count("served"), kinds.count("cut"), kinds.count("refused"),
                len(kinds) - kinds.count("served") - kinds.count("cut") - kinds.count("refused"), needless,
                quantile(ratios, 0.5), quantile(ratios, 0.95), max(ratios, default=float("nan")),
                sum(1 for ratio in ratios if ratio > 1), len(ratios)))
            for item, stop in mine:
                if item[4] in ("silent", "unsent", "failed"):
                    print("    %s: %s %s sent at %.2f s, after %.2f s" % (
                        item[4], label or name, item[1], item[2] - stop.begun, item[3] - item[2]))
                if item[4] == "cut" and begin >= 0:
                    entry = taken.get(item[1], {})
                    print("    cut: %s %s sent at %.2f s, %d events, hint %s, expected %s of %s ms" % (
                        label or name, item[1], item[2] - stop.begun, item[5], item[6], entry.get("expected_ms"),
                        entry.get("left_ms")))
                    if begin >= LATE_S:
                        late_cut.append(item[1])
    if late_cuts_fail:
        check("%s: streams sent later than %.0f s after SIGTERM are whole" % (name, LATE_S), not late_cut,
              " ".join(late_cut))


def play_steady(name, rig):
    for index in range(9):
        rig.stop_in_background(rig.fleet.routers[index * 2 % len(rig.fleet.routers) + index // 3 % 2])
        time.sleep(STOP_INTERVAL_S)
    time.sleep(GRACE_S)


def set_pace(fleet, factor, over_ms=0):
    for worker in fleet.workers:
        fleet.worker_faults(worker, slow=factor, slow_over_ms=over_ms)


def play_slow(name, rig):
    for index, (factor, over_ms) in enumerate(SLOW_DOWNS):
        stop = rig.stop(rig.fleet.routers[index % len(rig.fleet.routers)],
                        "%s x%s %s" % (name, factor, "over 4 s" if over_ms else "at once"))
        time.sleep(0.2)
        set_pace(rig.fleet, factor, over_ms)
        rig.restart(stop)
        set_pace(rig.fleet, 1)
        time.sleep(SLOW_RECOVERY_S)


def play_restarts(name, rig):
    for index in range(9):
        rig.stop_in_background(rig.fleet.routers[index * 2 % len(rig.fleet.routers) + index // 3 % 2])
        worker = rig.fleet.workers[index % len(rig.fleet.workers)]
        time.sleep(1.0)
        worker.kill()
        time.sleep(1.0)
        worker.start()
        time.sleep(STOP_INTERVAL_S - 2)
    time.sleep(GRACE_S)


def play_cold(name, rig):
    for index in range(4):
        router = rig.fleet.routers[index]
        rig.restart(rig.stop(router, name + " first"))
        fleets.wait_until(lambda: rig.fleet.ready(router), 10, "ready again")
        time.sleep(COLD_S)
        rig.restart(rig.stop(router, name + " again"))


def play_late(limit, hint):
    def play_stops(name, rig):
        for index in range(LATE_STOPS):
            rig.stop_in_background(rig.fleet.routers[index * 2 % len(rig.fleet.routers)])
            threading.Thread(target=rig.send_late, args=(rig.stops[-1], index + 1, limit, hint), daemon=True).start()
            time.sleep(STOP_INTERVAL_S)
        time.sleep(GRACE_S)
    return play_stops


CELLS = {"steady": (play_steady, True), "slow": (play_slow, False), "restarts": (play_restarts, False),
         "cold": (play_cold, True), "late-limit": (play_late(20, None), True),
         "late-hint": (play_late(LIMIT, 8), True)}


def play(name, subnet, seed, router):
    fleet = EstimateFleet(os.path.join(fleets.BUILD, "leaving-%d" % subnet), subnet, routers_each=3, workers_each=3)
    fleet.call_timeout_ms = 10000
    if router:
        for item in fleet.routers:
            item.process.binary = os.path.abspath(router)
    try:
        fleet.start()
        rig = Rig(fleet, seed)
        time.sleep(WARM_UP_S)
        function, late_cuts_fail = CELLS[name]
        function(name, rig)
        rig.finish()
        report(name, rig, late_cuts_fail)
    finally:
        fleet.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--cell", action="append", choices=CELLS)
    parser.add_argument("--subnet", type=int, default=140)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--router", help="another program to play, for a comparison")
    arguments = parser.parse_args()
    for name in arguments.cell or CELLS:
        print("cell %s, seed %d" % (name, arguments.seed), flush=True)
        play(name, arguments.subnet, arguments.seed, arguments.router)
    return 1 if FAILED else 0


if __name__ == "__main__":
    sys.exit(main())
