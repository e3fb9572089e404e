"""Backend servers ask for rest (Retry-After with 503), or say in their answers that they
leave (Server-Leaving). Counts what reaches them afterwards. Real processes on loopback.

    resting_servers.py [--cell NAME]... [--subnet N] [--random FIRST LAST]

The servers log each request with the VM that sent it. By default, all connections on
loopback come from 127.0.0.1; the routers are therefore chervil-router-with-cuts, which
takes its VM's address for connections to servers (cut_links.c). A cell fails if

 - more than two requests of a VM reach a server between REACTION_S after it asked that VM
   for rest and the end of the rest;
 - a request reaches a leaving server from a VM that had passed on such an answer of it
   more than DRAIN_S before the caller sent the request;
 - a request gets another answer than 200 or a refusal, or its answer is cut;
 - a refusal is late or names no time to retry;
 - a request that may run once runs twice;
 - a request is not served although other servers have room for it.

The restart of a VM excuses the first two. A Retry-After that is not one decimal number,
0 or more, names no time of rest.

"--random" plays seeds FIRST to LAST: rests, leaving, restarts of servers and routers and
silent servers at random moments. In a seed without restarts and silences, it checks all
but the last rule; in the others, the first two, "once", and that refusals name a time."""

import collections
import http.client
import json
import math
import os
import random
import re
import signal
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
import fleet as fleets  # noqa: E402
import platform_fleet  # noqa: E402

REACTION_S = 0.5           # after a server asked for rest
REST_REQUESTS = 2          # may reach it from a VM from then to the end of the rest
DRAIN_S = 2.0
REFUSAL_S = 0.5
AFTER_S = 1.5              # from the end of a rest until all is served again
CONTACT_S = 4.0            # from the start of a server until it is used
RATE = 12                  # requests per second to each router
DEADLINE_S = 6.0
STREAMS = ("draft", "once")
ONCE = ("once", "file")
# Values of Retry-After that name no time of rest, or one that has passed.
BAD_FIELDS = [["0"], ["-1"], [""], ["soon"], ["1e999"], ["0x10"], ["nan"], ["Sun, 06 Nov 1994 08:49:37 GMT"],
              ["0.2", "0.4"], ["0.25"]]
BAD_LEAVING = ["", "0", "soon", "x" * 500]
FAILED = []

Outcome = collections.namedtuple("Outcome", "request route vm sent head_at seconds kind status retry_after seal detail")
# What a server logged until it was killed or the play ended.
ServerLog = collections.namedtuple("ServerLog", "server arrivals answers runs")


def check(what, condition, seen=""):
    print("%s: %s %s" % ("ok" if condition else "FAILED", what, seen), flush=True)
    if not condition:
        FAILED.append(what)


class RestFleet(platform_fleet.PlatformFleet):
    """A fleet whose servers log which VM sent them a request."""

    def __init__(self, subnet):
        super().__init__(os.path.join(fleets.ROOT, "run", "resting_servers-%d" % subnet), subnet)
        self.logs = []            # of servers that were killed
        self.vm_restarts = []     # (ip, begin, end)
        self.silences = []        # (server's name, begin, end)
        for router in self.routers:
            router.process.start = lambda router=router: self.start_router(router)

    def start_router(self, router):
        environment = dict(os.environ, CUT_PORT=str(platform_fleet.WORKER_PORT), SOURCE_IP=router.ip)
        with open(router.process.log, "a") as log:
            router.process.child = subprocess.Popen(
                [os.path.join(fleets.BUILD, "chervil-router-with-cuts"), "--config", router.process.config],
                stdin=subprocess.DEVNULL, stdout=log, stderr=log, env=environment)

    def read_log(self, server):
        def read(name):
            return json.loads(fleets.http("GET", "http://%s/admin/%s" % (server.address, name), timeout=2)[1] or "{}")
        log = read("arrival_log")
        return ServerLog(server.name, log.get("arrivals", []), log.get("answers", []), read("runs"))

    def start(self):
        super().start()
        fleets.wait_until(lambda: all(self.ask(router, "GET", "/lookup/x", "probe-%d" % time.monotonic_ns())[0] == 200
                                      for router in self.routers), 10, "calls are served through all routers")

    def all_logs(self):
        return self.logs + [self.read_log(server) for server in self.workers + self.plain if server.running()]

    def restart_server(self, server):
        self.logs.append(self.read_log(server))
        server.kill()
        server.start()

    def restart_router(self, router, pause=0.2):
        begin = time.monotonic()
        router.process.kill()
        time.sleep(pause)
        router.process.start()
        self.vm_restarts.append((router.ip, begin, time.monotonic()))

    def silence(self, server, seconds):
        begin = time.monotonic()
        self.signal(server, signal.SIGSTOP)
        time.sleep(seconds)
        self.signal(server, signal.SIGCONT)
        # What waited at the server is logged when it goes on.
        self.silences.append((server.name, begin, time.monotonic() + 0.1))

    def rest(self, servers, fields, **limits):
        for server in servers:
            self.worker_faults(server, rest=fields, **limits)

    def rest_together(self, servers, seconds):
        """All turn requests away until the same moment, with the time left; returns it."""
        end = time.monotonic() + seconds
        for server in servers:
            self.rest([server], ["left"], rest_for_ms=max(1, int((end - time.monotonic()) * 1000)))
        return end

    def first_workers(self):
        """The model workers that hold the first layer; a path may begin there."""
        def holds_first(process):
            layers = json.loads(fleets.http("GET", "http://%s/v1/report" % process.address, timeout=1)[1])["layers"]
            return layers["from"] == 0 and layers["target"] > 0
        return [process for process in self.workers if holds_first(process)]


class Load:
    """Requests at a steady rate to each router, each on a connection of its own. `kept`
    sends them one after the other on one connection to each router."""

    def __init__(self, fleet, route, rate=RATE, events=8, kept=False, name="", query=""):
        self.fleet, self.route, self.gap, self.events, self.kept = fleet, route, 1.0 / rate, events, kept
        self.query = query
        self.name = name or route
        self.outcomes, self.threads, self.stopped, self.lock = [], [], False, threading.Lock()
        self.loops = [threading.Thread(target=self.loop, args=(router,), daemon=True) for router in fleet.routers]
        for loop in self.loops:
            loop.start()

    def connect(self, router):
        return http.client.HTTPConnection(router.ip, platform_fleet.CALLER_PORT, timeout=DEADLINE_S + 2)

    def loop(self, router):
        number, connection = 0, self.connect(router) if self.kept else None
        # The loops are out of step, else their requests come in bursts larger than the slots.
        time.sleep(self.gap * random.Random("%s-%s" % (self.name, router.name)).random())
        next_at = time.monotonic()
        while not self.stopped:
            number += 1
            request = "%s-%s-%d" % (self.name, router.name, number)
            if self.kept:
                self.send(router, request, connection)
            else:
                thread = threading.Thread(target=self.send_once, args=(router, request), daemon=True)
                thread.start()
                self.threads.append(thread)
            next_at = max(next_at + self.gap, time.monotonic())
            time.sleep(max(0, next_at - time.monotonic()))
        if connection:
            connection.close()

    def send_once(self, router, request):
        connection = self.connect(router)
        self.send(router, request, connection)
        connection.close()

    def send(self, router, request, connection):
        headers = {"Host": platform_fleet.HOST, "Chervilpass-Request-Id": request, "Authorization": "Token key-skagen",
                   "Chervilpass-Deadline-Ms": str(int(DEADLINE_S * 1000))}
        if self.route in STREAMS:
            headers["Chervilpass-Token-Counts"] = "10,%d" % self.events
        sent, head_at, status, kind, retry_after, seal, detail = time.monotonic(), None, 0, "silent", None, None, ""
        try:
            if connection.sock is None:
                connection.connect()
        except OSError:
            return  # the router is being restarted
        try:
            connection.request("GET" if self.route == "lookup" else "POST", "/%s/x%s" % (self.route, self.query),
                               headers=headers)
            response = connection.getresponse()
            head_at, status, kind = time.monotonic(), response.status, "cut"
            retry_after, seal = response.getheader("Retry-After"), response.getheader("Chervilpass-Server-Seal")
            text = response.read().decode()
            kind = {200: "served", 503: "refused", 429: "refused"}.get(status, "failed")
            detail = text[:200] if kind != "served" else ""
            if kind == "served" and self.route in STREAMS:
                detail = self.fleet.find_stream_error(text, self.events)
                kind = "wrong" if detail else kind
        except (OSError, http.client.HTTPException) as error:
            detail = repr(error)[:80]
            connection.close()
        with self.lock:
            self.outcomes.append(Outcome(request, self.route, router.ip, sent, head_at, time.monotonic() - sent, kind,
                                         status, retry_after, seal, detail))

    def stop(self):
        self.stopped = True
        for thread in self.loops + self.threads:
            thread.join(DEADLINE_S + 3)

    def sent_between(self, begin, end):
        return [outcome for outcome in self.outcomes if begin <= outcome.sent < end]


def shown(items, total):
    return "%d of %d; %s" % (len(items), total, "; ".join(
        "%s %s %d after %.2f s %s" % (item.request, item.kind, item.status, item.seconds, item.detail)
        for item in items[:4]))


def check_served(name, what, outcomes):
    lost = [outcome for outcome in outcomes if outcome.kind != "served"]
    check("%s: %s" % (name, what), outcomes and not lost, shown(lost, len(outcomes)))


def rest_seconds(fields):
    if len(fields) != 1 or not re.fullmatch(r"[0-9]+(\.[0-9]+)?", fields[0]):
        return 0.0
    return float(fields[0])


def check_rests(name, fleet, logs):
    """The first rule, for each answer that asked for rest."""
    rests, worst = 0, (0, "")
    for log in logs:
        silences = [silence for silence in fleet.silences if silence[0] == log.server]
        for answer in log.answers:
            at, seconds = answer["at"] / 1000, rest_seconds(answer["rest"])
            if seconds <= REACTION_S or any(ip == answer["vm"] and begin < at + seconds and end > at
                                            for ip, begin, end in fleet.vm_restarts):
                continue
            rests += 1
            # Whole milliseconds, as logged: what arrives in that of the end is not within the rest.
            late = ["%.3f" % ((arrival["at"] - answer["at"]) / 1000) for arrival in log.arrivals
                    if arrival["vm"] == answer["vm"] and
                    1000 * REACTION_S < arrival["at"] - answer["at"] < math.floor(1000 * seconds + 1e-6) and
                    not any(begin <= arrival["at"] / 1000 <= end for _, begin, end in silences)]
            worst = max(worst, (len(late), "%s asked %s for %.2f s at %.2f, then %s" %
                                (log.server, answer["vm"], seconds, at, " ".join(late[:6]))))
    check("%s: at most %d requests of a VM reach a resting server" % (name, REST_REQUESTS), worst[0] <= REST_REQUESTS,
          "%d rests, most %d %s" % (rests, *worst))
    return rests


def check_leaving(name, fleet, logs, outcomes):
    """The second rule, for each server that said that it leaves and each VM."""
    by_request = {outcome.request: outcome for outcome in outcomes}
    told, late = 0, collections.Counter()
    for log in logs:
        passed_on = collections.defaultdict(list)  # by VM: when it passed on an answer that said so
        for answer in log.answers:
            outcome = by_request.get(answer["id"])
            if answer["leaving"] == "1" and outcome and outcome.seal == "seal-" + log.server:
                passed_on[answer["vm"]].append(outcome.head_at)
        told += len(passed_on)
        for arrival in log.arrivals:
            vm, outcome = arrival["vm"], by_request.get(arrival["id"])
            restarted = max([end for ip, begin, end in fleet.vm_restarts
                             if ip == vm and begin < arrival["at"] / 1000] + [0])
            known = [passed_at for passed_at in passed_on.get(vm, []) if passed_at >= restarted]
            if outcome and known and outcome.sent > min(known) + DRAIN_S:
                late[(log.server, vm)] += 1
    check("%s: no request reaches a leaving server" % name, not late,
          "%d VMs and servers; %d late, %s" % (told, sum(late.values()), dict(late)))
    return told


def check_answers(name, logs, outcomes, sound=True):
    """The rules on answers. `sound`: no server or VM was restarted or silent."""
    total = len(outcomes)
    if sound:
        broken = [outcome for outcome in outcomes if outcome.kind in ("cut", "wrong", "silent")]
        check("%s: no answer is cut" % name, not broken, shown(broken, total))
        failed = [outcome for outcome in outcomes if outcome.kind == "failed"]
        check("%s: nothing fails" % name, not failed, shown(failed, total))
    refused = [outcome for outcome in outcomes if outcome.kind == "refused"]
    unnamed = [outcome for outcome in refused if rest_seconds([outcome.retry_after or ""]) <= 0]
    check("%s: refusals name a time to retry" % name, not unnamed, shown(unnamed, total))
    if sound:
        late = [outcome for outcome in refused if outcome.seconds > REFUSAL_S]
        check("%s: refusals are given at once" % name, not late, shown(late, total))
    runs = collections.Counter()
    for log in logs:
        runs.update(log.runs)
    twice = {request: count for request, count in runs.items() if count > 1 and request.split("-")[0] in ONCE}
    check("%s: what may run once runs once" % name, not twice, twice)


def check_all(name, fleet, loads, sound=True):
    """Stops the loads and checks the rules; returns the outcomes, the rests and the leaving servers by VM."""
    for load in loads:
        load.stop()
    logs = fleet.all_logs()
    outcomes = [outcome for load in loads for outcome in load.outcomes]
    kinds = collections.Counter((outcome.route, outcome.kind) for outcome in outcomes)
    print("%s: %s" % (name, ", ".join("%s %s %d" % (*kind, count) for kind, count in sorted(kinds.items()))),
          flush=True)
    senders = {arrival["vm"] for log in logs for arrival in log.arrivals} - {""}  # empty: gone already
    check("%s: requests come from the addresses of the VMs" % name,
          senders and senders <= {router.ip for router in fleet.routers}, senders)
    rests = check_rests(name, fleet, logs)
    told = check_leaving(name, fleet, logs, outcomes)
    check_answers(name, logs, outcomes, sound)
    return outcomes, rests, told


def arrivals_between(fleet, server, begin, end):
    return sum(begin <= arrival["at"] / 1000 < end for arrival in fleet.read_log(server).arrivals)


# ---- rest ----


def play_one_rests(name, fleet):
    """The first plain server turns each request away; later, each third one."""
    fleet.start()
    loads = [Load(fleet, "lookup"), Load(fleet, "file", rate=4)]
    time.sleep(1)
    fleet.rest(fleet.plain[:1], ["3"])
    time.sleep(6.5)
    fleet.rest(fleet.plain[:1], ["1.5"], rest_every=3)
    time.sleep(5)
    _, rests, _ = check_all(name, fleet, loads)
    check("%s: rests were asked for" % name, rests > 0)
    check_served(name, "the other server takes all that may be sent twice", loads[0].outcomes)


def check_all_rest(name, loads, begin, end, until):
    """The refusals while all servers rest from `begin` to `end`, and the answers after it."""
    during = [outcome for load in loads for outcome in load.sent_between(begin + REACTION_S, end)]
    refused = [outcome for outcome in during if outcome.kind == "refused"]
    check("%s: requests are refused while all servers rest" % name, refused, "%d of %d" % (len(refused), len(during)))
    wrong = []
    for outcome in refused:
        left, named = end - outcome.sent, rest_seconds([outcome.retry_after or ""])
        if not left - REACTION_S <= named <= left + AFTER_S:
            wrong.append("%.2f for %.2f" % (named, left))
    check("%s: refusals name the time that is left of the rests" % name, not wrong,
          "%d of %d; %s" % (len(wrong), len(refused), wrong[:6]))
    check_served(name, "all is served after the rests",
                 [outcome for load in loads for outcome in load.sent_between(end + AFTER_S, until)])


def play_all_rest(name, fleet):
    fleet.start()
    loads = [Load(fleet, "lookup"), Load(fleet, "file", rate=4)]
    time.sleep(1)
    begin = time.monotonic()
    end = fleet.rest_together(fleet.plain, 4.0)
    until = end + AFTER_S + 2.5
    time.sleep(until - time.monotonic())
    check_all(name, fleet, loads)
    check_all_rest(name, loads, begin, end, until)


def play_model(name, fleet):
    """Half of the workers at which paths begin ask for rest again and again, and serve what
    comes all the same; then all workers turn paths away that begin there, so that no move of
    layers helps."""
    fleet.start()
    loads = [Load(fleet, "draft", rate=6), Load(fleet, "once", rate=2)]
    time.sleep(1)
    firsts = fleet.first_workers()
    print("%s: paths begin at %s" % (name, [worker.name for worker in firsts]), flush=True)
    resting = firsts[:len(firsts) // 2]
    for _ in range(3):
        fleet.rest(resting, ["2"], rest_for_ms=300)
        time.sleep(1.5)
    half_until = time.monotonic()
    time.sleep(2.5)  # the last rest ends
    begin = time.monotonic()
    end = fleet.rest_together(fleet.workers, 3.0)
    until = end + AFTER_S + 2.0
    time.sleep(until - time.monotonic())
    check_all(name, fleet, loads)
    check_served(name, "the other workers take all that may be sent twice", loads[0].sent_between(0, half_until))
    check_all_rest(name, loads, begin, end, until)


def play_short(name, fleet):
    """Rests of 0.2 s: of one server, then of both at a time."""
    fleet.start()
    loads = [Load(fleet, "lookup"), Load(fleet, "file", rate=4)]
    time.sleep(1)
    fleet.rest(fleet.plain[:1], ["0.2"])
    time.sleep(3)
    fleet.rest(fleet.plain[:1], [])
    for _ in range(5):
        time.sleep(0.8)
        fleet.rest_together(fleet.plain, 0.2)
    time.sleep(1)
    check_all(name, fleet, loads)
    check_served(name, "what may be sent twice is served", loads[0].outcomes)


def play_bad_values(name, fleet):
    """Fields that name no time; then an hour, ended by a start of the server."""
    fleet.start()
    loads = [Load(fleet, "lookup"), Load(fleet, "draft", rate=3)]
    time.sleep(1)
    server, worker = fleet.plain[0], fleet.first_workers()[0]
    for step, fields in enumerate(BAD_FIELDS):
        fleet.rest([server, worker], fields)
        for process in (server, worker):
            fleet.worker_faults(process, leaving=step < len(BAD_LEAVING),
                                leaving_value=BAD_LEAVING[step % len(BAD_LEAVING)])
        time.sleep(0.35)
    fleet.rest([server, worker], [])
    ended = time.monotonic()
    time.sleep(AFTER_S + 0.7)
    fleet.rest([server], ["3600"])
    count = arrivals_between(fleet, server, ended + AFTER_S, time.monotonic())
    check("%s: a server that named no time is used again" % name, count > 0, "%d requests" % count)
    time.sleep(2.5)
    fleet.restart_server(server)
    time.sleep(CONTACT_S)
    begin = time.monotonic()
    fleet.rest_together(fleet.plain[1:], 1.0)
    time.sleep(1)
    check_all(name, fleet, loads)
    count = arrivals_between(fleet, server, begin, time.monotonic())
    check("%s: the server that started again is used" % name, count > 0, "%d requests" % count)
    for load in loads:
        check_served(name, "no request is lost (%s)" % load.route, load.outcomes)


def play_restart(name, fleet):
    """Both servers ask for an hour, then start again under their ids."""
    fleet.start()
    loads = [Load(fleet, "lookup")]
    time.sleep(1)
    fleet.rest(fleet.plain, ["3600"])
    time.sleep(4)
    for server in fleet.plain:
        fleet.restart_server(server)
    ended = time.monotonic()
    time.sleep(CONTACT_S + 2)
    check_all(name, fleet, loads)
    check_served(name, "servers that started again are used", loads[0].sent_between(ended + CONTACT_S,
                                                                                    ended + CONTACT_S + 2))


# ---- leaving ----


def play_leaving_plain(name, fleet):
    """The store says ready on and on; its entry is removed once and comes back."""
    fleet.start()
    loads = [Load(fleet, "lookup"), Load(fleet, "file", rate=4), Load(fleet, "lookup", kept=True, name="lookup-kept")]
    time.sleep(1)
    fleet.worker_faults(fleet.plain[0], leaving=True)
    time.sleep(5)
    fleets.http("DELETE", "http://%s/v1/objects/servers/%s" % (fleet.store_address(), fleet.plain[0].name))
    time.sleep(5)
    outcomes, _, told = check_all(name, fleet, loads)
    check("%s: VMs were told" % name, told > 0)
    check_served(name, "all requests", outcomes)


def play_leaving_lapsed(name, fleet):
    """The registration of the server lapses; answers to earlier requests say meanwhile that
    it leaves; then the same start is registered again."""
    for _ in range(2):
        fleet.add_plain_server("hal-1", "register")
    fleet.start()
    loads = [Load(fleet, "lookup", rate=3, query="?work_ms=1200")]
    time.sleep(3)
    server = fleet.plain[0]
    fleet.worker_faults(server, unregistered_ms=4000)
    fleets.http("DELETE", "http://%s/v1/objects/servers/%s" % (fleet.store_address(), server.name))
    time.sleep(0.3)
    fleet.worker_faults(server, leaving=True)
    time.sleep(4 + CONTACT_S)
    outcomes, _, told = check_all(name, fleet, loads)
    check("%s: VMs were told" % name, told > 0)
    check_served(name, "all requests", outcomes)


def play_leaving_model(name, fleet):
    fleet.start()
    loads = [Load(fleet, "draft", rate=6), Load(fleet, "once", rate=3)]
    time.sleep(1)
    fleet.worker_faults(fleet.first_workers()[0], leaving=True)
    time.sleep(9)
    outcomes, _, told = check_all(name, fleet, loads)
    check("%s: VMs were told" % name, told > 0)
    check_served(name, "all requests", outcomes)


def play_leaving_return(name, fleet):
    """The server starts again under its id; then the other one rests."""
    fleet.start()
    loads = [Load(fleet, "lookup")]
    time.sleep(1)
    server = fleet.plain[0]
    fleet.worker_faults(server, leaving=True)
    time.sleep(DRAIN_S + 2)
    fleet.restart_server(server)
    time.sleep(CONTACT_S)
    begin = time.monotonic()
    fleet.rest_together(fleet.plain[1:], 2.0)
    time.sleep(2)
    outcomes, _, told = check_all(name, fleet, loads)
    check("%s: VMs were told" % name, told > 0)
    count = arrivals_between(fleet, server, begin, time.monotonic())
    check("%s: the server that started again is used" % name, count > 0, "%d requests" % count)
    check_served(name, "all requests", outcomes)


def play_leaving_streams(name, fleet):
    """Streams of 3 s, on connections of their own and on kept ones."""
    fleet.start()
    loads = [Load(fleet, "draft", rate=2, events=90), Load(fleet, "once", rate=2, events=90),
             Load(fleet, "draft", rate=2, events=60, kept=True, name="draft-kept"),
             Load(fleet, "draft", rate=4, events=4, kept=True, name="draft-short")]
    time.sleep(2.5)
    fleet.worker_faults(fleet.first_workers()[0], leaving=True)
    time.sleep(8)
    outcomes, _, told = check_all(name, fleet, loads)
    check("%s: VMs were told" % name, told > 0)
    check_served(name, "all requests", outcomes)


# ---- random ----


def play_random(seed, fleet):
    name, draw = "seed-%d" % seed, random.Random(seed)
    fleet.start()
    model = draw.random() < 0.5
    routes = ["draft", "once"] if model else ["lookup", "file"]
    loads = [Load(fleet, routes[0], rate=draw.choice([4, 8, 12]), events=draw.choice([4, 8, 40])),
             Load(fleet, routes[1], rate=3, events=8, kept=draw.random() < 0.5)]
    group = fleet.workers if model else fleet.plain
    sound, until = True, time.monotonic() + 12
    calm = draw.random() < 0.3  # no restarts and silences
    while time.monotonic() < until:
        server, kind = draw.choice(group), draw.random()
        if kind < 0.35:
            fleet.rest([server], [draw.choice(["0.2", "1", "2.5", "4"])], rest_every=draw.choice([1, 1, 2, 5]),
                       rest_for_ms=draw.choice([300, 1000, 3000]))
        elif kind < 0.5:
            fleet.rest_together(draw.sample(group, draw.randrange(1, len(group) + 1)), draw.uniform(0.2, 3))
        elif kind < 0.6:
            fleet.worker_faults(server, leaving=True)
        elif not calm and kind < 0.75:
            sound = False
            fleet.restart_server(server)
        elif not calm and kind < 0.85:
            sound = False
            fleet.restart_router(draw.choice(fleet.routers), draw.random())
        elif not calm:
            sound = False
            fleet.silence(server, draw.uniform(0.1, 0.9))
        time.sleep(draw.uniform(0.1, 1.0))
    check_all(name, fleet, loads, sound)


CELLS = {"one-rests": play_one_rests, "all-rest": play_all_rest, "model": play_model, "short": play_short,
         "bad-values": play_bad_values, "restart": play_restart, "leaving-plain": play_leaving_plain,
         "leaving-lapsed": play_leaving_lapsed, "leaving-model": play_leaving_model,
         "leaving-return": play_leaving_return, "leaving-streams": play_leaving_streams}


def main():
    platform_fleet.play_cells(__doc__, CELLS, play_random, RestFleet, subnet=70)
    print("resting_servers: %d failed" % len(FAILED))
    return 1 if FAILED else 0


if __name__ == "__main__":
    sys.exit(main())
