"""Counts the servers that one request runs on while servers break off answers, end, fall
silent, or are out of reach of a VM. Real processes on loopback.

    route_attempts.py [--cell NAME]... [--subnet N] [--random FIRST LAST]

Callers send streams that may be resumed and calls that may be repeated to four routers,
each request once. A cell fails if

 - a request runs on more servers than its route allows; servers that were killed between
   the start and the end of the request do not count;
 - a request that may run once runs twice;
 - a stream that is served lacks an event, or has one twice;
 - in the cell "breaks": a request is lost although its servers went on and broke off fewer
   of its runs than its route has attempts. The others print how many are.

It prints how many requests were served, cut and refused, so that what a bound on attempts
costs can be compared.

"--random" plays seeds FIRST to LAST: a mix of all faults."""

import collections
import json
import os
import random
import signal
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
import fleet as fleets  # noqa: E402
import platform_fleet  # noqa: E402

ATTEMPTS = 2               # of the routes that may be repeated
DEADLINE_S = 10.0
EVENTS = 20                # of a stream, at 30 ms each
PLAY_S = 10.0
HOWS = ("partial", "reset", "gap")
FAILED = []

Outcome = collections.namedtuple("Outcome", "request route begin end kind detail")


def check(what, condition, seen=""):
    print("%s: %s %s" % ("ok" if condition else "FAILED", what, seen), flush=True)
    if not condition:
        FAILED.append(what)


class AttemptsFleet(platform_fleet.PlatformFleet):
    """A fleet whose routers can lose their links to all servers."""

    def __init__(self, subnet):
        super().__init__(os.path.join(fleets.ROOT, "run", "route_attempts-%d" % subnet), subnet)
        for data_centre in self.data_centres:
            self.add_worker(data_centre)
        self.kills = []   # (server, time)
        self.killed_runs = []  # (server, runs) of servers that were killed

    def read_runs(self, server):
        text = fleets.http("GET", "http://%s/admin/runs" % server.address, timeout=2)[1]
        return json.loads(text or "{}")

    def restart_server(self, server, pause):
        self.killed_runs.append((server.name, self.read_runs(server)))
        self.kills.append((server.name, time.monotonic()))
        server.kill()
        time.sleep(pause)
        server.start()

    def silence(self, server, seconds):
        self.signal(server, signal.SIGSTOP)
        time.sleep(seconds)
        self.signal(server, signal.SIGCONT)

    def cut_routers(self, count):
        """Starts routers again whose connections to servers fail."""
        for router in self.routers[:count]:
            router.process.kill()
            environment = dict(os.environ, CUT_PORT=str(platform_fleet.WORKER_PORT), SOURCE_IP=router.ip,
                               CUT_FILE=os.path.join(self.folder, "cut"))
            with open(router.process.log, "a") as log:
                router.process.child = subprocess.Popen(
                    [os.path.join(fleets.BUILD, "chervil-router-with-cuts"), "--config", router.process.config],
                    stdin=subprocess.DEVNULL, stdout=log, stderr=log, env=environment)
        self.wait_ready()

    def runs_by_server(self):
        """(server, runs by request) of each process that has run."""
        return self.killed_runs + [(server.name, self.read_runs(server)) for server in self.workers + self.plain]


class Callers:
    """Send requests to all routers until they are stopped."""

    def __init__(self, fleet, routes=("draft", "draft", "lookup", "once", "file"), each=1):
        self.fleet, self.outcomes, self.stopped, self.lock = fleet, [], False, threading.Lock()
        self.threads = [threading.Thread(target=self.run, args=(router, route, copy), daemon=True)
                        for router in fleet.routers for number, route in enumerate(routes)
                        for copy in range(number * each, number * each + each)]
        for thread in self.threads:
            thread.start()

    def run(self, router, route, copy):
        count = 0
        while not self.stopped:
            count += 1
            request = "%s-%s-%d-%d" % (route, router.name, copy, count)
            begin = time.monotonic()
            status, text, headers = self.fleet.ask(
                router, "GET" if route == "lookup" else "POST", "/%s/x" % route, request, timeout=DEADLINE_S,
                Chervilpass_Token_Counts="10,%d" % EVENTS)
            kind = {200: "served", 503: "refused", 429: "refused", 0: "cut" if headers else "closed"}.get(
                status, "failed")
            detail = ""
            if kind == "served" and route in ("draft", "once"):
                detail = self.fleet.find_stream_error(text, EVENTS)
                if detail:
                    kind, detail = "wrong", detail + ": " + text[-160:]
            with self.lock:
                self.outcomes.append(Outcome(request, route, begin, time.monotonic(), kind, detail or text[-120:]))
            time.sleep(0.02 if kind == "served" else 0.1)

    def stop(self):
        self.stopped = True
        for thread in self.threads:
            thread.join(DEADLINE_S + 3)


def runs_of(fleet):
    """By request: the servers that ran it, each as often as it did."""
    runs = collections.defaultdict(list)
    for server, counts in fleet.runs_by_server():
        for request, count in counts.items():
            runs[request] += [server] * count
    return runs


def check_all(name, fleet, callers):
    callers.stop()
    runs, outcomes = runs_of(fleet), callers.outcomes
    kinds = collections.Counter((outcome.route, outcome.kind) for outcome in outcomes)
    print("%s: %s" % (name, ", ".join("%s %s %d" % (*kind, count) for kind, count in sorted(kinds.items()))))
    excess, twice, lost = [], [], []
    for outcome in outcomes:
        killed = {server for server, at in fleet.kills if outcome.begin <= at <= outcome.end + 1}
        servers = [server for server in runs[outcome.request] if server not in killed]
        if outcome.route in ("once", "file"):
            twice += [(outcome.request, servers)] * (len(runs[outcome.request]) > 1)
        elif len(servers) > ATTEMPTS:
            excess.append((outcome.request, outcome.kind, servers))
        elif outcome.kind in ("cut", "closed", "failed") and len(servers) < ATTEMPTS and not killed:
            lost.append((outcome.request, outcome.kind, servers, outcome.detail))
    again = sum(len(runs[outcome.request]) > 1 for outcome in outcomes)
    check("%s: no request runs on more servers than its route allows" % name, not excess,
          "%d of %d ran again, %d too often; %s" % (again, len(outcomes), len(excess), excess[:4]))
    check("%s: what may run once runs once" % name, not twice, twice[:4])
    wrong = [outcome for outcome in outcomes if outcome.kind == "wrong"]
    check("%s: streams are whole" % name, not wrong, wrong[:3])
    print("%s: %d lost although they ran on fewer servers; %s" % (name, len(lost), lost[:4]))
    return outcomes, lost


def check_lost(name, lost):
    check("%s: no request is lost with attempts left" % name, not lost, "%d; %s" % (len(lost), lost[:4]))


def play_breaks(name, fleet):
    """Each third stream of each worker breaks off, in one of three ways."""
    fleet.start()
    for number, worker in enumerate(fleet.workers):
        fleet.worker_faults(worker, break_every=3, break_after=4, break_how=HOWS[number % len(HOWS)])
    callers = Callers(fleet)
    time.sleep(PLAY_S)
    _, lost = check_all(name, fleet, callers)
    check_lost(name, lost)


def play_kills(name, fleet):
    """Streams break off while workers end and start again: runs there do not count."""
    fleet.start()
    for worker in fleet.workers:
        fleet.worker_faults(worker, break_every=4, break_after=4, break_how="reset")
    callers = Callers(fleet, routes=("draft", "draft"))
    until = time.monotonic() + PLAY_S
    for number in range(100):
        if time.monotonic() >= until:
            break
        fleet.restart_server(fleet.workers[number % len(fleet.workers)], 0.3)
        fleet.worker_faults(fleet.workers[number % len(fleet.workers)], break_every=4, break_after=4)
        time.sleep(0.7)
    check_all(name, fleet, callers)


def play_cut(name, fleet):
    """One router reaches no server and forwards its requests while streams break off."""
    fleet.start()
    fleet.cut_routers(1)
    for worker in fleet.workers:
        fleet.worker_faults(worker, break_every=3, break_after=4, break_how="reset")
    callers = Callers(fleet)
    time.sleep(1)
    with open(os.path.join(fleet.folder, "cut"), "w") as cut:
        cut.write("n")  # new connections are refused
    time.sleep(PLAY_S)
    os.unlink(os.path.join(fleet.folder, "cut"))
    check_all(name, fleet, callers)


def play_random(seed, fleet):
    name, draw = "seed-%d" % seed, random.Random(seed)
    fleet.start()
    callers = Callers(fleet, each=draw.choice([1, 1, 2]))
    until = time.monotonic() + PLAY_S
    others = []
    while time.monotonic() < until:
        worker, kind = draw.choice(fleet.workers), draw.random()
        if kind < 0.5:
            fleet.worker_faults(worker, break_every=draw.choice([0, 1, 2, 3, 5]), break_after=draw.choice([0, 1, 4, 12]),
                                break_how=draw.choice(HOWS))
        elif kind < 0.65:
            fleet.worker_faults(draw.choice(fleet.plain), lose_answers=draw.choice([1, 3, 8]))
        elif kind < 0.85:
            others.append(threading.Thread(target=fleet.silence, args=(worker, draw.uniform(0.2, 1.5)), daemon=True))
            others[-1].start()
        else:
            for other in others:
                other.join()
            fleet.restart_server(worker, draw.uniform(0, 0.5))
        time.sleep(draw.uniform(0.05, 0.6))
    for other in others:
        other.join()
    check_all(name, fleet, callers)


CELLS = {"breaks": play_breaks, "kills": play_kills, "cut": play_cut}


def main():
    platform_fleet.play_cells(__doc__, CELLS, play_random, AttemptsFleet, subnet=75)
    print("route_attempts: %d failed" % len(FAILED))
    return 1 if FAILED else 0


if __name__ == "__main__":
    sys.exit(main())
