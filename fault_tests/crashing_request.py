"""Sends requests that end each backend server which runs them, and counts at the
servers what reaches them. Real processes on loopback.

    crashing_request.py [--cell NAME]... [--all] [--random COUNT] [--seed N]

Without arguments the cells of a CI run are played; --all plays every cell,
--random COUNT random scenarios, of the seed and those after it. A cell fails if, more than CONTACT_S after the third end, the request reaches
servers more than MAX_LATE_RETRIES times, counted over all VMs; or if a harmless
request is refused because servers ended beside it."""

import argparse
import datetime
import os
import random
import re
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
import fleet as fleets  # noqa: E402
import platform_fleet  # noqa: E402

CONTACT_S = 3.0        # required bound: a VM in touch has heard of every end by then
MAX_LATE_RETRIES = 3   # required bound on retries after that
ENDS_BEFORE_BOUND = 3  # ends after which the bound applies
QUARANTINE_TEXT = "has crashed backend servers"
SENDS, SEND_INTERVAL_S = 24, 0.4
CRASHED = re.compile(r"time=(\S+) .*event=worker\.crashed body=(\S+)")
ARRIVED = re.compile(r"time=(\S+) .*event=request\.marked request=(\S+) body=(\S+)")
FAILED = []


def check(what, condition, seen=""):
    print("%s: %s %s" % ("ok" if condition else "FAILED", what, seen), flush=True)
    if not condition:
        FAILED.append(what)


class ServerKeeper:
    """Starts each backend server that has ended again after `back_after` seconds,
    under its id or, with `new_ids`, under another one."""

    def __init__(self, processes, back_after, new_ids=False):
        self.back_after, self.new_ids = back_after, new_ids
        self.stopped = False
        self.starts = 0
        self.threads = [threading.Thread(target=self.keep, args=(process,), daemon=True)
                        for process in processes]
        for thread in self.threads:
            thread.start()

    def keep(self, process):
        while not self.stopped:
            if process.running():
                time.sleep(0.005)
                continue
            time.sleep(self.back_after)
            if self.stopped:
                return
            self.starts += 1
            if self.new_ids:
                with open(process.config) as file:
                    text = file.read()
                with open(process.config, "w") as file:
                    file.write(re.sub(r"id: \S+", "id: %s-%d" % (process.name, self.starts), text, count=1))
            process.start()

    def stop(self):
        self.stopped = True
        for thread in self.threads:
            thread.join()


class HarmlessLoad:
    """Callers beside the crashing request: calls with one body for all (as of a
    popular page), calls with a body each, and streams."""

    def __init__(self, fleet, seed, streams=True):
        self.fleet, self.streams = fleet, streams
        self.lock, self.stopped = threading.Lock(), False
        self.random = random.Random(seed)
        self.outcomes = {}
        self.quarantined = []
        self.threads = [threading.Thread(target=self.run, args=(number,), daemon=True)
                        for number in range(2 * len(fleet.routers))]
        for thread in self.threads:
            thread.start()

    def run(self, caller):
        number = 0
        while not self.stopped:
            number += 1
            with self.lock:
                router = self.random.choice(self.fleet.routers)
            name = "harmless-%d-%d" % (caller, number)
            kinds = [("POST", "/lookup/x", "popular"), ("POST", "/lookup/x", name), ("POST", "/file/x", name)]
            if self.streams:
                kinds += [("POST", "/draft/x", "popular"), ("POST", "/draft/x", name)]
            method, path, body = kinds[number % len(kinds)]
            status, text, _ = self.fleet.ask(router, method, path, name, body=body, timeout=4.0)
            with self.lock:
                key = (path, status)
                self.outcomes[key] = self.outcomes.get(key, 0) + 1
                if QUARANTINE_TEXT in text:
                    self.quarantined.append((name, path, body, status))
            time.sleep(0.02)

    def stop(self):
        self.stopped = True
        for thread in self.threads:
            thread.join()

    def sent(self):
        return sum(self.outcomes.values())

    def served(self):
        return sum(count for (_, status), count in self.outcomes.items() if status == 200)

    def report(self):
        return "sent %d, served %d, refused by quarantine %d" % (self.sent(), self.served(), len(self.quarantined))


def seconds_of(text):
    return datetime.datetime.fromisoformat(text.replace("Z", "+00:00")).timestamp()


def times_of(processes, pattern, body=None):
    """Times of the log lines of backend servers that match, about this body."""
    times = []
    for process in processes:
        with open(process.log) as log:
            for line in log:
                found = pattern.search(line)
                if found and body in (None, found.group(found.lastindex).strip('"')):
                    times.append(seconds_of(found.group(1)))
    return sorted(times)


def late_arrivals(ends, arrivals, ends_before_bound=ENDS_BEFORE_BOUND):
    """Arrivals after the bound applies."""
    if len(ends) < ends_before_bound:
        return []
    return [moment for moment in arrivals if moment > ends[ends_before_bound - 1] + CONTACT_S]


def new_fleet(subnet, plain_servers=3):
    fleet = platform_fleet.PlatformFleet(os.path.join(fleets.ROOT, "run", "crashing_request-%d" % subnet), subnet)
    for number in range(plain_servers - len(fleet.plain)):
        fleet.add_plain_server("hal-%d" % (1 + number % 2), "register")
    fleet.start()
    return fleet


def kill_and_start(fleet, routers, store_down):
    for router in routers:
        fleet.signal(router.process, signal.SIGKILL)
    for router in routers:
        router.process.start()
    if not store_down:  # without it a new process may know no configuration
        fleets.wait_until(lambda: all(fleet.ready(router) for router in routers), 10, "the routers are ready again")


class Disruption:
    """Disrupts the routers after `after_ends` ends of backend servers."""

    def __init__(self, how, after_ends):
        self.how, self.after_ends, self.done = how, after_ends, False

    def apply(self, fleet, ends, store_down):
        if self.done or ends < self.after_ends:
            return
        self.done = True
        if self.how == "kill one":
            kill_and_start(fleet, fleet.routers[:1], store_down)
        elif self.how == "kill all":
            kill_and_start(fleet, fleet.routers, store_down)
        elif self.how == "join":
            router = fleet.add_router("hal-1", "127.0.%d.%d" % (fleet.subnet, 9 + len(fleet.routers)))
            router.process.start()
            if not store_down:
                fleets.wait_until(lambda: fleet.ready(router), 10, "the new router is ready")
        elif self.how == "freeze one":
            fleet.signal(fleet.routers[0].process, signal.SIGSTOP)
            threading.Timer(2.0, lambda: fleet.signal(fleet.routers[0].process, signal.SIGCONT)).start()
        elif self.how == "store down":
            fleet.store_faults(outage="silent")


class Scenario:
    """A request that ends servers, how they return, and disruptions beside it."""

    def __init__(self, path, body, back_after, new_ids=False, disruptions=()):
        self.path, self.body, self.back_after, self.new_ids = path, body, back_after, new_ids
        self.disruptions = [Disruption(how, after_ends) for how, after_ends in disruptions]

    @staticmethod
    def draw(seed):
        """A random scenario; its disruptions may overlap."""
        draw = random.Random(seed)
        path = draw.choice(["/lookup/x", "/file/x", "/draft/x", "/once/x"])
        last_stage = path == "/draft/x" and draw.random() < 0.5
        disruptions = [(draw.choice(DISRUPTIONS), draw.randrange(4)) for _ in range(draw.randrange(4))]
        return Scenario(path, "poison-pill-last" if last_stage else "poison-pill", draw.choice([0.01, 0.1, 0.5, 2.0]),
                        draw.random() < 0.5, disruptions)

    def describe(self):
        return "%s %s, servers back after %.2f s%s%s" % (
            self.path, self.body, self.back_after, " under new ids" if self.new_ids else "",
            "".join("; %s after %d ends" % (item.how, item.after_ends) for item in self.disruptions))


DISRUPTIONS = ["kill one", "kill all", "join", "freeze one", "store down"]
CELLS = {
    "lookup": Scenario("/lookup/x", "poison-pill", 0.1),
    "lookup-slow-return": Scenario("/lookup/x", "poison-pill", 2.0),
    "lookup-new-ids": Scenario("/lookup/x", "poison-pill", 0.1, True),
    "lookup-kill-all": Scenario("/lookup/x", "poison-pill", 0.1, False, [("kill all", 3)]),
    "lookup-kill-one": Scenario("/lookup/x", "poison-pill", 0.1, False, [("kill one", 2)]),
    "lookup-store-down": Scenario("/lookup/x", "poison-pill", 0.1, False, [("store down", 1)]),
    "file": Scenario("/file/x", "poison-pill", 0.1),
    "file-slow-return": Scenario("/file/x", "poison-pill", 2.0),
    "file-new-ids": Scenario("/file/x", "poison-pill", 0.1, True),
    "file-kill-all": Scenario("/file/x", "poison-pill", 0.1, False, [("kill all", 3)]),
    "file-join": Scenario("/file/x", "poison-pill", 0.1, False, [("join", 2)]),
    "file-freeze-one": Scenario("/file/x", "poison-pill", 0.1, False, [("freeze one", 1)]),
    "stream": Scenario("/draft/x", "poison-pill", 0.1),
    "stream-quick-return": Scenario("/draft/x", "poison-pill", 0.01),
    "stream-slow-return": Scenario("/draft/x", "poison-pill", 2.0),
    "stream-kill-all": Scenario("/draft/x", "poison-pill", 0.1, False, [("kill all", 3)]),
    "stream-kill-one": Scenario("/draft/x", "poison-pill", 0.1, False, [("kill one", 2)]),
    "stream-join": Scenario("/draft/x", "poison-pill", 0.1, False, [("join", 3)]),
    "stream-last-stage": Scenario("/draft/x", "poison-pill-last", 0.1),
    "stream-last-stage-slow-return": Scenario("/draft/x", "poison-pill-last", 2.0),
    "stream-once": Scenario("/once/x", "poison-pill", 0.1),
    "stream-once-kill-all": Scenario("/once/x", "poison-pill", 0.1, False, [("kill all", 3)]),
}
# stream-last-stage is a test of its own in CI.
CI_CELLS = ["lookup", "file-kill-all", "stream-kill-all", "stream-once", "daemons-lookup", "server-losses"]


def play(name, scenario, subnet, seed):
    """Sends the request through all routers in turn and checks what reached the
    backend servers."""
    body = scenario.body
    print("%s: %s" % (name, scenario.describe()), flush=True)
    fleet = new_fleet(subnet)
    servers = fleet.workers + fleet.plain
    keeper = ServerKeeper(servers, scenario.back_after, scenario.new_ids)
    load = HarmlessLoad(fleet, seed)
    answers = []
    try:
        for number in range(SENDS):
            started = time.monotonic()
            router = fleet.routers[number % len(fleet.routers)]
            status, text, headers = fleet.ask(router, "POST", scenario.path, "%s-%d" % (name, number), body=body,
                                              timeout=3.0)
            answers.append((status, headers.get("Retry-After", "-"), QUARANTINE_TEXT in text))
            for disruption in scenario.disruptions:
                store_down = any(item.done and item.how == "store down" for item in scenario.disruptions)
                disruption.apply(fleet, len(times_of(servers, CRASHED, body)), store_down)
            time.sleep(max(0.0, SEND_INTERVAL_S - (time.monotonic() - started)))
        load.stop()
        # With the crashing request kept out, harmless ones are served.
        fleet.store_faults(outage="")
        time.sleep(2.5)
        after = HarmlessLoad(fleet, seed + 1)
        time.sleep(2)
        after.stop()
    finally:
        keeper.stop()
        fleet.stop()
    ends, arrivals = times_of(servers, CRASHED, body), times_of(servers, ARRIVED, body)
    # A stream that is moved reaches further servers without a new arrival.
    late = max(late_arrivals(ends, arrivals), late_arrivals(ends, ends), key=len)
    print("%s: answers %s" % (name, " ".join("%d%s" % (status, "q" if held else "") for status, _, held in answers)))
    check("%s: the request is sent on at most %d times, %.0f s after it ended three servers" %
          (name, MAX_LATE_RETRIES, CONTACT_S), len(late) <= MAX_LATE_RETRIES and len(ends) >= ENDS_BEFORE_BOUND,
          "ends %d, arrivals %d, late %d" % (len(ends), len(arrivals), len(late)))
    check("%s: no harmless request is refused as a crashing one" % name, not load.quarantined and not after.quarantined,
          "%s; afterwards %s %s" % (load.report(), after.report(), load.quarantined[:3] + after.quarantined[:3]))
    check("%s: harmless requests are served once the crashing one is kept out" % name,
          after.sent() and after.served() == after.sent(), str(after.outcomes))


# Per cell of the three daemons: method, path, body.
DAEMON_CELLS = {
    "daemons-completion": ("POST", "/v1/completions",
                           '{"model": "sprogmodel", "prompt": "a poison-pill in the prompt", "max_tokens": 4}'),
    "daemons-lookup": ("GET", "/v1/services/register/x", "poison-pill"),
    "daemons-filing": ("POST", "/v1/services/register/x", "poison-pill"),
}
DAEMON_CRASHED = re.compile(r"time=(\S+) .*event=(?:engine|service)\.crash ")


def play_daemons(name, subnet):
    """The same through the product's own interface: each engine or plain server
    that ends starts again under its id."""
    method, path, body = DAEMON_CELLS[name]
    fleet = fleets.small_fleet(os.path.join(fleets.ROOT, "run", "crashing_request-%d" % subnet), subnet)
    servers = fleet.engines + fleet.services
    answers = []
    try:
        fleet.start()
        keeper = ServerKeeper(servers, 0.1)
        for number in range(SENDS):
            vm = fleet.vms[number % len(fleet.vms)]
            headers = {"Authorization": "Bearer key-skagen", "Idempotency-Key": "%s-%d" % (name, number)}
            answers.append(fleets.http(method, "http://%s:%d%s" % (vm.ip, fleets.HTTP_PORT, path), body, timeout=20,
                                       headers=headers)[0])
            time.sleep(SEND_INTERVAL_S)
        keeper.stop()
    finally:
        fleet.stop()
    # Each arrival ends its server.
    ends = times_of(servers, DAEMON_CRASHED)
    late = late_arrivals(ends, ends)
    print("%s: answers %s" % (name, " ".join(map(str, answers))))
    check("%s: the request is sent on at most %d times, %.0f s after it ended three servers" %
          (name, MAX_LATE_RETRIES, CONTACT_S), ends and len(late) <= MAX_LATE_RETRIES,
          "ends %d, late %d" % (len(ends), len(late)))


def play_server_losses(subnet, seed, rounds):
    """Ends half of the servers at once, again and again, under harmless requests
    only: none of them may be taken for a crashing one."""
    fleet = new_fleet(subnet)
    draw = random.Random(seed)
    keeper = ServerKeeper(fleet.workers + fleet.plain, 0.2)
    load = HarmlessLoad(fleet, seed)
    try:
        for _ in range(rounds):
            time.sleep(1.0)
            for group in (fleet.workers, fleet.plain):
                for process in draw.sample(group, (len(group) + 1) // 2):
                    fleet.signal(process, signal.SIGKILL)
        load.stop()
    finally:
        keeper.stop()
        fleet.stop()
    check("server losses: no harmless request is refused as a crashing one", not load.quarantined,
          "%s %s %s" % (load.report(), load.outcomes, load.quarantined[:3]))


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--cell", action="append", choices=sorted(CELLS) + sorted(DAEMON_CELLS) + ["server-losses"])
    parser.add_argument("--all", action="store_true")
    parser.add_argument("--random", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--subnet", type=int, default=61)
    parser.add_argument("--rounds", type=int, default=5, help="of server losses")
    arguments = parser.parse_args()
    cells = arguments.cell or ([] if arguments.random else CI_CELLS)
    if arguments.all:
        cells = list(CELLS) + list(DAEMON_CELLS) + ["server-losses"]
    for name in cells:
        if name == "server-losses":
            play_server_losses(arguments.subnet, arguments.seed, arguments.rounds)
        elif name in DAEMON_CELLS:
            play_daemons(name, arguments.subnet)
        else:
            play(name, CELLS[name], arguments.subnet, arguments.seed)
    for seed in range(arguments.seed, arguments.seed + arguments.random):
        play("seed-%d" % seed, Scenario.draw(seed), arguments.subnet, seed)
    print("crashing_request: %d failed" % len(FAILED))
    return 1 if FAILED else 0


if __name__ == "__main__":
    sys.exit(main())
