"""Backend servers name the number of requests per second that they take from all
routers together. Counts what arrives at them. Real processes on loopback.

    worker_limits.py [--cell NAME]... [--subnet N] [--random FIRST LAST]

In each cell four routers get a steady load, and after LIMIT_FROM_S some servers name a
limit, until LIMIT_UNTIL_S. A cell fails if

 - a server gets more than one and a half times its limit and 5 requests within 4 s,
   later than 3 s after it first named it;
 - less than USED_SHARE of the allowed rate is used while demand is higher;
 - a refusal is late or names no time to retry;
 - requests are not served as before soon after the end of the limits.

"--random" plays seeds FIRST to LAST: services, limits, restarts of servers and routers
at random moments; they check the first rule for routers that were not restarted."""

import json
import os
import random
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
import fleet as fleets  # noqa: E402
import platform_fleet  # noqa: E402

LIMIT_FROM_S, LIMIT_UNTIL_S, END_S = 2.0, 15.0, 19.0
CONTACT_S = 3.0            # a limit is in force this long after it was first named
WINDOW_S = 4.0
EXCESS_FACTOR, EXCESS_REQUESTS = 1.5, 5
USED_SHARE = 0.8
REFUSAL_S = 0.5            # a refusal may follow a wait that was worthwhile
LIFTED_S = 1.5             # from the end of a limit until it has no effect
BAD_FIELDS = [["-1"], ["nan"], [""], ["1", "2"], ["1,2"], ["1e999"], ["0x1"], ["x" * 500], ["1e9"]]
FAILED = []


def check(what, condition, seen=""):
    print("%s: %s %s" % ("ok" if condition else "FAILED", what, seen), flush=True)
    if not condition:
        FAILED.append(what)


class Load:
    """Requests at a steady rate to each of the routers, each on a connection of its own."""

    def __init__(self, fleet, name, per_router, path, method, **extra):
        self.fleet, self.name, self.gap = fleet, name, 1.0 / per_router
        self.path, self.method, self.extra = path, method, extra
        self.outcomes, self.threads, self.stopped = [], [], False
        self.lock = threading.Lock()
        self.loops = [threading.Thread(target=self.loop, args=(router,), daemon=True) for router in fleet.routers]
        for loop in self.loops:
            loop.start()

    def loop(self, router):
        number = 0
        while not self.stopped:
            number += 1
            thread = threading.Thread(target=self.send, daemon=True,
                                      args=(router, "%s-%s-%d" % (self.name, router.name, number)))
            thread.start()
            self.threads.append(thread)
            time.sleep(self.gap)

    def send(self, router, request):
        begun = time.monotonic()
        status, text, headers = self.fleet.ask(router, self.method, self.path, request, timeout=5, **self.extra)
        with self.lock:
            self.outcomes.append((begun, status, time.monotonic() - begun, headers.get("Retry-After"), text))

    def stop(self):
        self.stopped = True
        for thread in self.loops + self.threads:
            thread.join(8)

    def sent_between(self, begin, end):
        return [outcome for outcome in self.outcomes if begin <= outcome[0] < end]


def arrivals_at(process):
    text = fleets.http("GET", "http://%s/admin/arrivals" % process.address, timeout=2)[1]
    return sorted(moment / 1000 for moment in json.loads(text or "[]"))


def most_in_window(moments):
    return max([sum(first <= other < first + WINDOW_S for other in moments) for first in moments] + [0])


def check_rate(name, process, limit, begin, end):
    """Checks the arrivals at a server whose limit was named at `begin`; returns their number."""
    moments = [moment for moment in arrivals_at(process) if begin + CONTACT_S <= moment < end]
    allowed = EXCESS_FACTOR * limit * WINDOW_S + EXCESS_REQUESTS
    most = most_in_window(moments)
    check("%s: %s gets at most what it allows" % (name, process.name), most <= allowed,
          "limit %s, %d in 4 s, %.0f allowed, %.2f of the limit used" %
          (limit, most, allowed, len(moments) / max(limit * (end - begin - CONTACT_S), 1e-9)))
    return len(moments)


def check_refusals(name, outcomes):
    refused = [outcome for outcome in outcomes if outcome[1] in (429, 503)]
    late = [outcome for outcome in refused if outcome[2] > REFUSAL_S]
    check("%s: refusals are given at once" % name, not late,
          "%d refused, slowest %.2f s" % (len(refused), max([outcome[2] for outcome in refused] + [0])))
    check("%s: refusals name a time to retry" % name, all(outcome[3] for outcome in refused))


def play_limits(name, fleet, limits, load, enough):
    """Plays the limits, by process, under a load. `enough` tells whether the servers without
    a limit can serve the whole load."""
    begin = time.monotonic()
    time.sleep(LIMIT_FROM_S)
    named = time.monotonic()
    for process, limit in limits.items():
        fleet.worker_faults(process, rate_limit=[str(limit)])
    time.sleep(LIMIT_UNTIL_S - LIMIT_FROM_S)
    lifted = time.monotonic()
    for process in limits:
        fleet.worker_faults(process, rate_limit=[])
    time.sleep(begin + END_S - time.monotonic())
    load.stop()
    used = sum(check_rate(name, process, limit, named, lifted) for process, limit in limits.items())
    during = load.sent_between(named + CONTACT_S, lifted)
    served = [outcome for outcome in during if outcome[1] == 200]
    statuses = {status: sum(outcome[1] == status for outcome in during) for status in {o[1] for o in during}}
    if enough:
        check("%s: the other servers take the rest" % name, len(served) == len(during), statuses)
    else:
        allowed = sum(limits.values()) * (lifted - named - CONTACT_S)
        check("%s: the allowed rate is used" % name, used >= USED_SHARE * allowed,
              "%d of %.0f, served %d of %d, %s" % (used, allowed, len(served), len(during), statuses))
    check("%s: nothing fails" % name, set(statuses) <= {200, 429, 503}, statuses)
    check_refusals(name, during)
    after = load.sent_between(lifted + LIFTED_S, END_S + begin)
    check("%s: all is served after the end of the limits" % name,
          all(outcome[1] == 200 for outcome in after) and after,
          "%d of %d" % (sum(outcome[1] == 200 for outcome in after), len(after)))


def play_plain(name, fleet):
    fleet.start()
    limits = {process: 1.0 for process in fleet.plain}
    play_limits(name, fleet, limits, Load(fleet, name, 5, "/lookup/x", "GET"), enough=False)


def play_below_one(name, fleet):
    fleet.start()
    limits = {fleet.plain[0]: 0.25}
    play_limits(name, fleet, limits, Load(fleet, name, 5, "/file/x", "POST"), enough=True)


def first_workers(fleet):
    """The model workers that hold the first layer; a path may begin there."""
    def holds_first(process):
        text = fleets.http("GET", "http://%s/v1/report" % process.address, timeout=1)[1]
        layers = json.loads(text)["layers"]
        return layers["from"] == 0 and layers["target"] > 0
    return [process for process in fleet.workers if holds_first(process)]


def play_model(name, fleet):
    fleet.start()
    firsts = first_workers(fleet)
    limits = {process: 3.0 for process in firsts}
    play_limits(name, fleet, limits, Load(fleet, name, 5, "/draft/x", "POST", Chervilpass_Token_Counts="10,5"),
                enough=False)


def play_model_some(name, fleet):
    fleet.start()
    limits = {process: 1.0 for process in first_workers(fleet)[:1]}
    play_limits(name, fleet, limits, Load(fleet, name, 5, "/draft/x", "POST", Chervilpass_Token_Counts="10,5"),
                enough=True)


def play_bad_values(name, fleet):
    fleet.start()
    loads = [Load(fleet, name + "-call", 5, "/lookup/x", "GET"),
             Load(fleet, name + "-stream", 3, "/draft/x", "POST", Chervilpass_Token_Counts="10,5")]
    for field in BAD_FIELDS * 2:
        for process in fleet.plain + fleet.workers:
            fleet.worker_faults(process, rate_limit=field)
        time.sleep(0.5)
    for load in loads:
        load.stop()
        served = sum(outcome[1] == 200 for outcome in load.outcomes)
        check("%s: no request is lost (%s)" % (name, load.name), served == len(load.outcomes),
              "%d of %d" % (served, len(load.outcomes)))


def play_restart(name, fleet):
    """A server that starts again under its id names no limit; one router is killed."""
    fleet.start()
    load = Load(fleet, name, 5, "/lookup/x", "GET")
    time.sleep(1)
    named = time.monotonic()
    for process in fleet.plain:
        fleet.worker_faults(process, rate_limit=["1"])
    time.sleep(6)
    fleet.routers[0].process.kill()
    fleet.routers[0].process.start()
    time.sleep(3)
    ended = time.monotonic()
    for process in fleet.plain:
        check_rate(name, process, 1.0, named, ended)
        process.kill()
        process.start()
    time.sleep(6)
    load.stop()
    after = load.sent_between(ended + 4, ended + 6)
    check("%s: a server that started again is used as before" % name,
          all(outcome[1] == 200 for outcome in after) and after,
          "%d of %d" % (sum(outcome[1] == 200 for outcome in after), len(after)))


def play_random(seed, fleet):
    name, draw = "seed-%d" % seed, random.Random(seed)
    fleet.start()
    model = draw.random() < 0.5
    load = (Load(fleet, name, draw.choice([2, 5, 8]), "/draft/x", "POST", Chervilpass_Token_Counts="10,4") if model
            else Load(fleet, name, draw.choice([5, 10]), draw.choice(["/lookup/x", "/file/x"]), "GET"))
    group = fleet.workers if model else fleet.plain
    limits = {process: draw.choice([0, 0.3, 1, 2, 5, 11]) for process in group if draw.random() < 0.7}
    time.sleep(1)
    named = time.monotonic()
    for process, limit in limits.items():
        fleet.worker_faults(process, rate_limit=[str(limit)])
    for _ in range(draw.randrange(4)):
        time.sleep(draw.random() * 2)
        router = draw.choice(fleet.routers)
        router.process.kill()
        time.sleep(draw.random())
        router.process.start()
    time.sleep(max(0, named + 12 - time.monotonic()))
    ended = time.monotonic()
    load.stop()
    for process, limit in limits.items():
        check_rate(name, process, limit, named, ended)


CELLS = {"plain": play_plain, "below-one": play_below_one, "model": play_model, "model-some": play_model_some,
         "bad-values": play_bad_values, "restart": play_restart}


def make_fleet(subnet):
    return platform_fleet.PlatformFleet(os.path.join(fleets.ROOT, "run", "worker_limits-%d" % subnet), subnet)


def main():
    platform_fleet.play_cells(__doc__, CELLS, play_random, make_fleet, subnet=65)
    print("worker_limits: %d failed" % len(FAILED))
    return 1 if FAILED else 0


if __name__ == "__main__":
    sys.exit(main())
