"""Sound backend servers fall silent for a while and go on; requests that run there
meanwhile must be answered. Real processes on loopback.

    silent_servers.py [--cell NAME]... [--subnet N] [--random FIRST LAST]

Servers are paused and resumed, up to half of a kind at a time, while callers send
streams and calls to four routers. A cell fails if

 - an answer that has begun breaks off, or lacks an event;
 - a request gets 502 or 504, or a connection ends without an answer;
 - a request that may run once has run twice;
 - a refusal names no time to retry.

Beside routers that leave, two cases do not count: an answer that its server still
writes in the last sixth of the grace period, to a request sent at most 3 s after
SIGTERM, and a connection that ends within 0.2 s, whose request reached no server.

"--random" plays seeds FIRST to LAST: a mix of all that the cells do."""

import argparse
import http.client
import os
import random
import signal
import sys
import threading
import time
import zlib

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
import fleet as fleets  # noqa: E402
import platform_fleet  # noqa: E402

LONGEST_SILENCE_S = 2.0
DEADLINE_S = 20.0
GRACE_S = 8.0              # from SIGTERM until the platform ends a router
# An answer that its server still writes in the last part of the grace period may
# be cut, if the request was sent soon after SIGTERM.
LAST_PART_S = GRACE_S / 6
SENT_SOON_S = 3.0
LOSS_SLACK_S = 0.2         # a connection that ends this soon after its request may not have been read
EVENTS = 60                # of a stream, at 30 ms each
SHARED_PROMPT = "5c1e07a2:8,91bd3f06:4,%x:2"
FAILED = []


def check(what, condition, seen=""):
    print("%s: %s %s" % ("ok" if condition else "FAILED", what, seen), flush=True)
    if not condition:
        FAILED.append(what)


class Caller:
    """Sends one request after the other to a router, each on a connection of its own.
    `retries` repeats a refused request after the time that the refusal names."""

    def __init__(self, fleet, router, route, number, retries=0):
        self.fleet, self.router, self.route, self.number, self.retries = fleet, router, route, number, retries
        self.outcomes = []  # (request, kind, status, seconds, detail)
        self.begun = {}     # when requests were sent
        self.stopped = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        count = 0
        while not self.stopped:
            count += 1
            for attempt in range(1 + self.retries):
                request = "%s-%d-%d-%d" % (self.route, self.number, count, attempt)
                outcome, retry_after = self.send(request)
                if outcome:
                    self.outcomes.append(outcome)
                if retry_after is None:
                    break
                time.sleep(min(retry_after, 1.0))
            time.sleep(0.05)

    def send(self, request):
        """Returns the outcome, or None if the router did not read the request, and the
        seconds after which a refusal asks the caller to come again."""
        streamed = self.route in ("draft", "once")
        headers = {"Host": platform_fleet.HOST, "Chervilpass-Request-Id": request, "Authorization": "Token key-skagen",
                   "Chervilpass-Deadline-Ms": str(int(DEADLINE_S * 1000))}
        if streamed:
            headers["Chervilpass-Token-Counts"] = "14,%d" % EVENTS
            headers["Chervilpass-Prompt-Prefix"] = SHARED_PROMPT % zlib.crc32(request.encode())
        connection = http.client.HTTPConnection(self.router.ip, platform_fleet.CALLER_PORT, timeout=DEADLINE_S + 2)
        begun = self.begun[request] = time.monotonic()
        status, kind, detail, retry_after = 0, "silent", "", None
        try:
            connection.connect()
        except OSError:
            connection.close()
            return None, None
        try:
            method = "GET" if self.route == "lookup" else "POST"
            path = "/%s/x%s" % (self.route, "" if streamed else "?work_ms=30")
            connection.request(method, path, headers=headers)
            response = connection.getresponse()
            status, kind = response.status, "cut"
            text = response.read().decode()
            kind = {200: "served", 503: "refused", 429: "refused"}.get(status, "failed")
            if kind == "refused":
                field = response.getheader("Retry-After")
                retry_after = float(field) if field else None
                detail = text if field else "no Retry-After"
            elif kind == "failed":
                detail = text[:200]
            elif streamed:
                detail = self.fleet.find_stream_error(text, EVENTS)
                kind = "wrong" if detail else kind
        except (OSError, http.client.HTTPException) as error:
            detail = repr(error)[:80]
        finally:
            connection.close()
        return (request, kind, status, time.monotonic() - begun, detail), retry_after


class Silences:
    """Pauses servers of a group again and again: up to `most` at a time, each for a time
    within `seconds`, with `gaps` between the starts."""

    def __init__(self, fleet, group, most, seconds, gaps, seed):
        self.fleet, self.group, self.most, self.seconds, self.gaps = fleet, group, most, seconds, gaps
        self.random = random.Random(seed)
        self.paused, self.count, self.stopped = [], 0, False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.stopped:
            self.resume(time.monotonic())
            sound = [server for server in self.group if server not in [other for other, _ in self.paused]]
            if len(self.paused) < self.most and sound:
                server = self.random.choice(sound)
                self.fleet.signal(server, signal.SIGSTOP)
                self.paused.append((server, time.monotonic() + self.random.uniform(*self.seconds)))
                self.count += 1
            until = time.monotonic() + self.random.uniform(*self.gaps)
            while time.monotonic() < until and not self.stopped:
                self.resume(time.monotonic())
                time.sleep(0.01)
        self.resume(float("inf"))

    def resume(self, now):
        for server, until in [item for item in self.paused if item[1] <= now]:
            self.fleet.signal(server, signal.SIGCONT)
            self.paused.remove((server, until))

    def stop(self):
        self.stopped = True
        self.thread.join(5)


def run_counts(fleet):
    return {request: count for request, count in fleet.runs().items() if count > 1}


def is_allowed_loss(outcome, caller, stops, ran):
    """`stops` holds the time of SIGTERM by router, `ran` the requests that reached
    servers."""
    request, kind, _, seconds, _ = outcome
    stopped = stops.get(caller.router.name)
    if stopped is None:
        return False
    sent = caller.begun[request]
    ended = sent + seconds
    if not stopped < ended <= stopped + GRACE_S:
        return False
    if kind == "silent":
        return seconds <= LOSS_SLACK_S and request not in ran
    return kind == "cut" and sent <= stopped + SENT_SOON_S and ended >= stopped + GRACE_S - LAST_PART_S


def report(name, fleet, callers, stops):
    outcomes = [outcome for caller in callers for outcome in caller.outcomes]
    for route in sorted({caller.route for caller in callers}):
        mine = [outcome for outcome in outcomes if outcome[0].startswith(route + "-")]
        kinds = {kind: sum(outcome[1] == kind for outcome in mine) for kind in {outcome[1] for outcome in mine}}
        print("%s: %s %s" % (name, route, " ".join("%s %d" % item for item in sorted(kinds.items()))), flush=True)

    def shown(items):
        return "%d of %d; %s" % (len(items), len(outcomes), "; ".join(
            "%s %s %d after %.2f s %s" % outcome for outcome in items[:6]))
    ran = fleet.runs()
    allowed = [outcome for caller in callers for outcome in caller.outcomes
               if is_allowed_loss(outcome, caller, stops, ran)]
    if allowed:
        print("%s: ended with their router: %s" % (name, shown(allowed)))
    broken = [outcome for outcome in outcomes if outcome[1] in ("cut", "wrong", "silent") and outcome not in allowed]
    check("%s: no answer is cut" % name, not broken, shown(broken))
    failed = [outcome for outcome in outcomes if outcome[1] == "failed"]
    check("%s: no request fails" % name, not failed, shown(failed))
    unnamed = [outcome for outcome in outcomes if outcome[4] == "no Retry-After"]
    check("%s: refusals name a time to retry" % name, not unnamed, shown(unnamed))
    repeated = run_counts(fleet)
    once = {request: count for request, count in repeated.items() if request.split("-")[0] in ("once", "file")}
    check("%s: what may run once has run once" % name, not once, once)
    print("%s: %d requests, %d of them run more than once" % (name, len(outcomes), len(repeated)), flush=True)


def play(name, fleet, routes, group, most, seconds, seed, play_s=20.0, beside=None, retries=0, per_router=2,
         stops=None):
    """`beside` is called again and again during the play with the step's number. It
    puts the time of SIGTERM into `stops`, by router."""
    callers = [Caller(fleet, router, route, index * 100 + copy, retries)
               for index, router in enumerate(fleet.routers) for route in routes for copy in range(per_router)]
    time.sleep(0.5)
    silences = Silences(fleet, group, most, seconds, (0.1, 1.0), seed)
    begun, step = time.monotonic(), 0
    while time.monotonic() - begun < play_s:
        step += 1
        if beside:
            beside(step)
        time.sleep(0.3)
    silences.stop()
    for caller in callers:
        caller.stopped = True
    for caller in callers:
        caller.thread.join(DEADLINE_S + 4)
    print("%s: %d silences" % (name, silences.count), flush=True)
    report(name, fleet, callers, stops or {})


def change_config(fleet):
    """Returns a function that sends a configuration, of one kind of change after the other."""
    def change(step):
        kind = step % 5
        if kind == 0:
            fleet.idle_timeout_ms = (15000, 1500, 400)[step // 5 % 3]
        elif kind == 1:
            fleet.keys = ["key-skagen"] + ["key-%d" % step] * (step // 5 % 2)
        elif kind == 2:
            fleet.slow_routes = ["added-%d" % number for number in range(step // 5 % 4)]
        elif kind == 3:
            fleet.stream_timeout_ms = (20000, 25000)[step // 5 % 2]
        fleet.put_config()
    return change


def play_one(name, fleet, seed):
    fleet.start()
    play(name, fleet, ["draft", "once"], fleet.workers, 1, (0.2, LONGEST_SILENCE_S), seed)


def play_half(name, fleet, seed):
    fleet.start()
    play(name, fleet, ["draft", "once"], fleet.workers, len(fleet.workers) // 2, (0.2, LONGEST_SILENCE_S), seed)


def play_config(name, fleet, seed):
    fleet.start()
    play(name, fleet, ["draft", "once", "lookup"], fleet.workers, len(fleet.workers) // 2, (0.2, LONGEST_SILENCE_S),
         seed, beside=change_config(fleet))


def play_budget(name, fleet, seed):
    """The routers may repeat next to nothing."""
    fleet.retry_share, fleet.retry_reserve = 0.0, 1
    fleet.build_routers()
    fleet.start()
    play(name, fleet, ["draft", "once"], fleet.workers, len(fleet.workers) // 2, (0.2, LONGEST_SILENCE_S), seed,
         retries=2)


def play_leaving(name, fleet, seed):
    """One router after the other leaves and is started again."""
    fleet.start()
    stops = {}

    def restart(step):
        if step % 30 == 5:
            router = fleet.routers[step // 30 % len(fleet.routers)]
            stops[router.name] = time.monotonic()
            fleet.signal(router.process, signal.SIGTERM)
        for router in fleet.routers:
            if not router.process.running():
                router.process.start()
    play(name, fleet, ["draft", "once"], fleet.workers, len(fleet.workers) // 3, (0.2, LONGEST_SILENCE_S), seed,
         beside=restart, stops=stops)


def play_calls(name, fleet, seed):
    """Both plain servers in turn, at most one at a time."""
    fleet.call_timeout_ms = 15000
    fleet.start()
    play(name, fleet, ["lookup", "file"], fleet.plain, 1, (0.2, LONGEST_SILENCE_S), seed, per_router=3)


def play_all_plain(name, fleet, seed):
    fleet.call_timeout_ms = 15000
    fleet.start()
    play(name, fleet, ["lookup", "file"], fleet.plain, len(fleet.plain), (0.2, LONGEST_SILENCE_S), seed, per_router=3)


def play_random(name, fleet, seed):
    draw = random.Random(seed)
    fleet.call_timeout_ms = 15000
    if draw.random() < 0.25:
        fleet.retry_share, fleet.retry_reserve = 0.0, 1
        fleet.build_routers()
    fleet.start()
    calls = draw.random() < 0.25
    group = fleet.plain if calls else fleet.workers
    routes = ["lookup", "file"] if calls else ["draft", "once"] + ["lookup"] * (draw.random() < 0.3)
    beside = change_config(fleet) if draw.random() < 0.5 else None
    play(name, fleet, routes, group, draw.randrange(1, len(group) // 2 + 1), (0.2, draw.uniform(0.5, LONGEST_SILENCE_S)),
         seed, beside=beside, play_s=10.0, retries=draw.randrange(3))


CELLS = {"one": play_one, "half": play_half, "config": play_config, "budget": play_budget, "leaving": play_leaving,
         "calls": play_calls, "all-plain": play_all_plain}


def run(cell, name, subnet, seed):
    fleet = platform_fleet.PlatformFleet(os.path.join(fleets.ROOT, "run", "silent_servers-%d" % subnet), subnet)
    try:
        cell(name, fleet, seed)
    finally:
        fleet.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--cell", action="append", choices=CELLS)
    parser.add_argument("--subnet", type=int, default=68)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--random", nargs=2, type=int, metavar=("FIRST", "LAST"))
    arguments = parser.parse_args()
    if arguments.random:
        for seed in range(arguments.random[0], arguments.random[1] + 1):
            run(play_random, "seed-%d" % seed, arguments.subnet, seed)
    else:
        for name in arguments.cell or CELLS:
            run(CELLS[name], name, arguments.subnet, arguments.seed)
    print("silent_servers: %d failed" % len(FAILED))
    return 1 if FAILED else 0


if __name__ == "__main__":
    sys.exit(main())
