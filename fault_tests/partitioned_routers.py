"""Some routers lose their links to all backend servers for a while; callers, the store
and the other routers still reach them. Real processes on loopback.

    partitioned_routers.py [--cell NAME]... [--subnet N] [--random FIRST LAST]

Callers keep the address that they have. Half of the requests are streams, half calls, a
quarter may run once only. A cell fails if

 - from CONTACT_S after the begin of the cut to its end, more than 10 and 1 in 50 of the
   first attempts fail at the cut routers, or at the others;
 - more than 1 in 50 fails from AFTER_S after the end on;
 - a request that may run once runs twice, or has run although it was refused;
 - with all routers cut, a refusal is late or names no time to retry.

"--random" plays seeds FIRST to LAST: kinds and numbers of cuts in series that overlap
with kills and planned stops of routers; they check the requests that may run once."""

import argparse
import collections
import os
import random
import signal
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
import fleet as fleets  # noqa: E402
import platform_fleet  # noqa: E402

CUT_FROM_S, CUT_S, END_S = 3.0, 9.0, 17.0
CONTACT_S, AFTER_S = 3.0, 1.0
GAP_S = 0.1                # between two requests to a router
REFUSAL_S = 0.5            # a request that cannot be served is refused within this time
SLACK_REQUESTS, SLACK_SHARE = 10, 1 / 50
KINDS = {"hang": "h", "reset": "r", "refuse": "n"}
REQUESTS = [("POST", "/draft/x", "10,12"), ("GET", "/lookup/x", ""), ("POST", "/once/y", "10,20"),
            ("POST", "/file/x", "")]
ONCE = ("/once/y", "/file/x")
FAILED = []


def check(what, condition, seen=""):
    print("%s: %s %s" % ("ok" if condition else "FAILED", what, seen), flush=True)
    if not condition:
        FAILED.append(what)


class CutFleet:
    """A fleet whose routers can be cut off from the backend servers."""

    def __init__(self, subnet):
        folder = os.path.join(fleets.ROOT, "run", "partitioned_routers-%d" % subnet)
        self.fleet = platform_fleet.PlatformFleet(os.path.join(folder, "fleet"), subnet)
        self.cut_files = {}
        for router in self.fleet.routers:
            self.cut_files[router] = os.path.join(folder, router.name + ".cut")
            self.restore(router)
            router.process.start = lambda process=router.process, router=router: self.start(process, router)
        self.results, self.lock, self.threads = [], threading.Lock(), []
        self.stopped = False

    def start(self, process, router):
        environment = dict(os.environ, CUT_FILE=self.cut_files[router], CUT_PORT=str(platform_fleet.WORKER_PORT))
        with open(process.log, "a") as log:
            process.child = subprocess.Popen(
                [os.path.join(fleets.BUILD, "chervil-router-with-cuts"), "--config", process.config],
                stdin=subprocess.DEVNULL, stdout=log, stderr=log, env=environment)

    def cut(self, router, kind):
        with open(self.cut_files[router], "w") as cut_file:
            cut_file.write(KINDS[kind])

    def restore(self, router):
        if os.path.exists(self.cut_files[router]):
            os.unlink(self.cut_files[router])

    def send(self, router, number):
        method, path, counts = REQUESTS[number % len(REQUESTS)]
        request = "cut-%s-%d" % (router.name, number)
        extra = {"Chervilpass_Token_Counts": counts} if counts else {}
        begun = time.monotonic()
        status, text, headers = self.fleet.ask(router, method, path, request, timeout=5, **extra)
        with self.lock:
            self.results.append((begun, router, path, request, status, time.monotonic() - begun,
                                 headers.get("Retry-After")))

    def load(self):
        number = 0
        while not self.stopped:
            number += 1
            for router in self.fleet.routers:
                thread = threading.Thread(target=self.send, args=(router, number), daemon=True)
                thread.start()
                self.threads.append(thread)
            time.sleep(GAP_S)

    def start_load(self):
        self.loop = threading.Thread(target=self.load, daemon=True)
        self.loop.start()

    def stop_load(self):
        self.stopped = True
        self.loop.join(5)
        for thread in self.threads:
            thread.join(8)

    def between(self, begin, end, routers):
        return [result for result in self.results if begin <= result[0] < end and result[1] in routers]

    def check_once(self, name):
        runs = self.fleet.runs()
        once = [result for result in self.results if result[2] in ONCE]
        twice = [result[3] for result in once if runs.get(result[3], 0) > 1]
        check("%s: what may run once does" % name, not twice, "%d sent, twice %s" % (len(once), twice[:5]))
        false = [result[3] for result in once if result[4] in (408, 421, 429, 503) and runs.get(result[3], 0)]
        check("%s: what is refused has not run" % name, not false, false[:5])


def describe(results):
    statuses = collections.Counter(result[4] for result in results)
    slowest = sorted(result[5] for result in results)
    return "%d of %d served, p95 %.2f s, %s" % (statuses[200], len(results),
                                                slowest[int(len(slowest) * 0.95)] if slowest else 0, dict(statuses))


def check_served(what, results, slack):
    failed = sum(result[4] != 200 for result in results)
    check(what, results and failed <= slack + SLACK_SHARE * len(results), describe(results))


def play_cut(name, kind, count, fleet):
    fleet.fleet.start()
    routers = fleet.fleet.routers
    cut = routers[::len(routers) // count][:count]
    others = [router for router in routers if router not in cut]
    begin = time.monotonic()
    fleet.start_load()
    time.sleep(CUT_FROM_S)
    cut_from = time.monotonic()
    for router in cut:
        fleet.cut(router, kind)
    time.sleep(CUT_S)
    cut_until = time.monotonic()
    for router in cut:
        fleet.restore(router)
    time.sleep(begin + END_S - cut_until)
    fleet.stop_load()
    print("%s: first 3 s: cut %s; others %s" % (name, describe(fleet.between(cut_from, cut_from + CONTACT_S, cut)),
                                                describe(fleet.between(cut_from, cut_from + CONTACT_S, others))))
    during = fleet.between(cut_from + CONTACT_S, cut_until, cut)
    if others:
        check_served("%s: the cut routers serve" % name, during, SLACK_REQUESTS)
        check_served("%s: the others serve" % name, fleet.between(cut_from + CONTACT_S, cut_until, others),
                     SLACK_REQUESTS)
    else:
        refused = [result for result in during if result[4] == 503]
        check("%s: all is refused" % name, len(refused) == len(during), describe(during))
        check("%s: refusals are given at once, with a time to retry" % name,
              all(result[5] <= REFUSAL_S and result[6] for result in refused), describe(refused))
    check_served("%s: all serve after the cut" % name, fleet.between(cut_until + AFTER_S, begin + END_S, routers), 0)
    fleet.check_once(name)


def play_random(seed, fleet):
    draw = random.Random(seed)
    fleet.fleet.start()
    fleet.start_load()
    until, restarts, stopping = time.monotonic() + 12, [], set()
    while time.monotonic() < until:
        router = draw.choice(fleet.fleet.routers)
        action = draw.random()
        if action < 0.5:
            fleet.cut(router, draw.choice(list(KINDS)))
        elif action < 0.8:
            fleet.restore(router)
        elif router in stopping:
            continue
        elif action < 0.9:
            router.process.kill()
            router.process.start()
        else:
            stopping.add(router)  # until the end: its restart follows its exit
            fleet.fleet.signal(router.process, signal.SIGTERM)
            restarts.append(fleet.fleet.in_background(
                lambda router=router: (router.process.child.wait(), router.process.start())))
        time.sleep(draw.random())
    for router in fleet.fleet.routers:
        fleet.restore(router)
    for restarted in restarts:
        restarted()
    time.sleep(2)
    fleet.stop_load()
    fleet.check_once("seed-%d" % seed)


CELLS = {"hang": ("hang", 2), "reset": ("reset", 2), "refuse": ("refuse", 2), "hang-3": ("hang", 3),
         "reset-1": ("reset", 1), "all": ("hang", 4), "all-reset": ("reset", 4)}


def run(subnet, play, *arguments):
    fleet = CutFleet(subnet)
    try:
        play(*arguments, fleet)
    finally:
        fleet.fleet.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--cell", action="append", choices=CELLS)
    parser.add_argument("--subnet", type=int, default=67)
    parser.add_argument("--random", nargs=2, type=int, metavar=("FIRST", "LAST"))
    arguments = parser.parse_args()
    if arguments.random:
        for seed in range(arguments.random[0], arguments.random[1] + 1):
            run(arguments.subnet, play_random, seed)
    else:
        for name in arguments.cell or CELLS:
            run(arguments.subnet, play_cut, name, *CELLS[name])
    print("partitioned_routers: %d failed" % len(FAILED))
    return 1 if FAILED else 0


if __name__ == "__main__":
    sys.exit(main())
