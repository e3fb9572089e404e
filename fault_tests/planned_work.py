"""Stops a router, or changes the configuration, while callers use it, and checks
that each request which a router has read gets a complete answer or a refusal.
Real processes on loopback.

    planned_work.py [--cell NAME]... [--subnet N]

The cells "stop-*" send SIGTERM to one router and then requests of several lengths
to it until it is gone. A cell fails if a request that was sent after the signal
breaks off, if one that would end well before the process is refused, other than a
stream whose caller can know of the stop, if such a stream is begun, or if a refusal
is late or names no time to retry.

The cell "stop-cold" stops a router that knows no usual times of calls yet. It fails as well
if a call that may not be repeated gets 502.

The cell "silent-workers" pauses all model workers for a second while streams run;
the cell "config-changes" changes the configuration again and again while callers
reuse their connections. They fail if a request gets no complete answer."""

import argparse
import http.client
import os
import random
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
import fleet as fleets  # noqa: E402
import platform_fleet  # noqa: E402

GRACE_S = 8.0              # from SIGTERM until the platform ends the process
LOSS_SLACK_S = 0.2         # a connection that ends this soon after its request may not have been read
REFUSAL_S = 0.25           # a request that cannot be served is refused within this time
CLEAR_EXCESS_S = 0.5       # work that takes so much longer than the time left cannot end in time
SHORT_SHARE = 0.6          # work that takes at most this share of the time left is served
ADDRESS_LIFETIME_S = 2.0   # afterwards callers can know of a SIGTERM, and streams are refused
NOTICE_S = 0.25            # a process acts on SIGTERM within this time
EVENT_S = 0.03             # pace of the stand-in's streams
SILENCE_S = 1.0            # a sound server may be silent for so long
CONFIG_INTERVAL_S = 0.25
CONFIG_CHANGES_S = 15.0
IDLE_LIMITS_MS = (15000, 1500, 4000)
IDLE_SHARE = 0.8           # callers reuse connections that were idle for this share of the last limit
WARM_UP_REQUESTS = 12      # of each kind; estimates need eight
FAILED = []


def check(what, condition, seen=""):
    print("%s: %s %s" % ("ok" if condition else "FAILED", what, seen), flush=True)
    if not condition:
        FAILED.append(what)


class Outcome:
    """How one request ended: "served", "refused", "failed" (another complete
    answer), "cut" (begun and broken off), "silent" (sent, and closed without an
    answer), or "unsent" (no connection)."""

    def __init__(self, name, sent_at, expected_s):
        self.name, self.sent_at, self.expected_s = name, sent_at, expected_s
        self.kind, self.status, self.elapsed_s, self.retry_after = "unsent", 0, 0.0, None


def ask(ip, method, path, name, started, expected_s, timeout, headers):
    """Sends a request on a connection of its own."""
    outcome = Outcome(name, time.monotonic() - started, expected_s)
    connection = http.client.HTTPConnection(ip, platform_fleet.CALLER_PORT, timeout=timeout + 2)
    begun = time.monotonic()
    try:
        connection.connect()
        outcome.kind = "silent"
        connection.request(method, path, headers=dict({
            "Host": platform_fleet.HOST, "Chervilpass-Request-Id": name, "Authorization": "Token key-skagen",
            "Chervilpass-Deadline-Ms": str(int(timeout * 1000))}, **headers))
        response = connection.getresponse()
        outcome.status, outcome.retry_after = response.status, response.getheader("Retry-After")
        outcome.kind = "cut"
        response.read()
        outcome.kind = "served" if response.status == 200 else "refused" if response.status == 503 else "failed"
    except (OSError, http.client.HTTPException):
        pass
    finally:
        connection.close()
    outcome.elapsed_s = time.monotonic() - begun
    return outcome


class StoppingRouter:
    """Sends requests to a router from its SIGTERM until it is gone."""

    def __init__(self, fleet, router):
        self.fleet, self.router = fleet, router
        self.outcomes, self.threads = [], []

    def send(self, *arguments):
        thread = threading.Thread(target=lambda: self.outcomes.append(ask(self.router.ip, *arguments)), daemon=True)
        thread.start()
        self.threads.append(thread)

    def play(self, requests, interval_s):
        """`requests`: (name, method, path, seconds, timeout, headers) to send at each step."""
        self.fleet.signal(self.router.process, signal.SIGTERM)
        started = time.monotonic()
        step = 0
        while self.router.process.running() and time.monotonic() - started < GRACE_S:
            for name, method, path, seconds, timeout, headers in requests:
                self.send(method, path, "%s-%d" % (name, step), started, seconds, timeout, headers)
            step += 1
            time.sleep(max(0.0, started + step * interval_s - time.monotonic()))
        self.router.process.child.wait(GRACE_S)
        ended_s = time.monotonic() - started
        for thread in self.threads:
            thread.join(10)
        return ended_s


def report(name, fleet, outcomes, ended_s, kinds):
    ran = fleet.runs()
    for kind in kinds:
        mine = [outcome for outcome in outcomes if outcome.name.startswith(kind + "-")]
        counts = {}
        for outcome in mine:
            counts[outcome.kind] = counts.get(outcome.kind, 0) + 1
        print("%s: %s %s" % (name, kind, " ".join("%s %d" % item for item in sorted(counts.items()))))
    broken = [outcome for outcome in outcomes if outcome.kind == "cut" or
              (outcome.kind == "silent" and (outcome.name in ran or outcome.elapsed_s > LOSS_SLACK_S))]
    check("%s: no request that was taken after SIGTERM is broken off" % name, not broken,
          "; ".join("%s sent at %.2f s, %s after %.2f s" % (item.name, item.sent_at, item.kind, item.elapsed_s)
                    for item in broken[:5]))

    def late_stream(outcome, margin_s):
        return outcome.name.startswith("stream") and outcome.sent_at > ADDRESS_LIFETIME_S + margin_s
    begun = [outcome for outcome in outcomes if late_stream(outcome, NOTICE_S) and outcome.name in ran]
    check("%s: no stream is begun once callers can know of the stop" % name, not begun,
          "; ".join("%s sent at %.2f s, %s" % (item.name, item.sent_at, item.kind) for item in begun[:5]))
    short = [outcome for outcome in outcomes if not late_stream(outcome, 0) and
             outcome.expected_s <= SHORT_SHARE * (ended_s - outcome.sent_at) and outcome.kind != "served"]
    check("%s: work that ends well before the process is served" % name, not short,
          "; ".join("%s sent at %.2f s, %s %d" % (item.name, item.sent_at, item.kind, item.status)
                    for item in short[:5]))
    refused = [outcome for outcome in outcomes if outcome.kind == "refused"]
    slow = [outcome for outcome in refused if outcome.elapsed_s > REFUSAL_S or not outcome.retry_after]
    slow += [outcome for outcome in outcomes if outcome.kind == "failed" and
             outcome.expected_s > ended_s - outcome.sent_at + CLEAR_EXCESS_S]
    check("%s: what would not end in time is refused at once" % name, refused and not slow,
          "%d refused; %s" % (len(refused), ["%s %s %.2f s, Retry-After %s" % (
              item.name, item.kind, item.elapsed_s, item.retry_after) for item in slow[:5]]))


def stream_request(events):
    return ("stream%d" % events, "POST", "/draft/x", events * EVENT_S, 20.0,
            {"Chervilpass-Token-Counts": "10,%d" % events})


def call_request(milliseconds):
    name = "call%d" % milliseconds
    return (name, "POST", "/%s/x?work_ms=%d" % (name, milliseconds), milliseconds / 1000, 20.0, {})


def warm_up(fleet, router, requests):
    """The router sees each kind of request before it is stopped, more often than its estimates need: a request that
    is sent twice does not count in them."""
    for name, method, path, seconds, timeout, headers in requests:
        threads = [threading.Thread(target=ask, args=(router.ip, method, path, "warm-%s-%d" % (name, copy), 0.0, seconds,
                                                      timeout, headers))
                   for copy in range(WARM_UP_REQUESTS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()


# Per cell: the requests, and the seconds from one of each to the next.
STOP_CELLS = {
    "stop-streams": ([stream_request(events) for events in (60, 120, 160, 200)], 0.25),
    "stop-calls": ([call_request(milliseconds) for milliseconds in (5, 1000, 3000, 5000)], 0.5),
}


def play_stop(name, fleet):
    requests, interval_s = STOP_CELLS[name]
    fleet.slow_routes = [request[0] for request in requests if request[0].startswith("call")]
    for _ in range(2):
        fleet.add_plain_server("hal-1", "register")
    fleet.start()
    router = fleet.routers[1]
    warm_up(fleet, router, requests)
    stopping = StoppingRouter(fleet, router)
    ended_s = stopping.play(requests, interval_s)
    report(name, fleet, stopping.outcomes, ended_s, [request[0] for request in requests])


def play_stop_cold(name, fleet):
    fleet.call_timeout_ms = 20000
    fleet.slow_routes = ["call2000"]
    for _ in range(2):
        fleet.add_plain_server("hal-1", "register")
    fleet.start()
    stopping = StoppingRouter(fleet, fleet.routers[1])
    ended_s = stopping.play([("file", "POST", "/file/x?work_ms=2000", 2.0, 20.0, {}), call_request(2000)], 0.5)
    ran, outcomes = fleet.runs(), stopping.outcomes
    for kind in ("file", "call2000"):
        kinds = [outcome.kind for outcome in outcomes if outcome.name.startswith(kind)]
        print("%s: %s %s" % (name, kind, " ".join("%s %d" % (item, kinds.count(item)) for item in sorted(set(kinds)))))
    broken = [outcome for outcome in outcomes if outcome.kind == "cut" or
              (outcome.kind == "silent" and (outcome.name in ran or outcome.elapsed_s > LOSS_SLACK_S))]
    check("%s: no request that was taken after SIGTERM is broken off" % name, not broken,
          "%d of %d in %.2f s" % (len(broken), len(outcomes), ended_s))
    failed = [outcome for outcome in outcomes if outcome.kind == "failed" and outcome.name.startswith("file")]
    check("%s: calls that may not be repeated end or are refused" % name, not failed,
          ["%s sent at %.2f s, %d after %.2f s" % (item.name, item.sent_at, item.status, item.elapsed_s)
           for item in failed])
    late = [outcome for outcome in outcomes if outcome.kind == "refused" and
            (outcome.elapsed_s > REFUSAL_S or not outcome.retry_after or outcome.name in ran)]
    check("%s: refusals are given at once, name a time and are true" % name, not late, len(late))


def play_silent_workers(name, fleet):
    fleet.start()
    begun = time.monotonic()
    outcomes = []
    threads = []
    for number in range(5 * len(fleet.routers)):
        router = fleet.routers[number % len(fleet.routers)]
        route = "once" if number % 5 == 4 else "draft"
        threads.append(threading.Thread(target=lambda router=router, route=route, number=number: outcomes.append(
            ask(router.ip, "POST", "/%s/x" % route, "%s-%d" % (route, number), begun, 0, 20.0,
                {"Chervilpass-Token-Counts": "10,100"})), daemon=True))
        threads[-1].start()
        time.sleep(0.05)
    for worker in fleet.workers:
        fleet.signal(worker, signal.SIGSTOP)
    time.sleep(SILENCE_S)
    for worker in fleet.workers:
        fleet.signal(worker, signal.SIGCONT)
    for thread in threads:
        thread.join(20)
    broken = [outcome for outcome in outcomes if outcome.kind != "served"]
    check("%s: streams go on after their workers were silent for %.0f s" % (name, SILENCE_S),
          len(outcomes) == len(threads) and not broken,
          "; ".join("%s %s %d after %.2f s" % (item.name, item.kind, item.status, item.elapsed_s)
                    for item in broken[:6]))


class ReusingCaller:
    """Sends requests on a kept connection, after pauses of up to the time for which
    the last configuration allows it to be idle."""

    def __init__(self, fleet, number, limit):
        self.fleet, self.number, self.limit = fleet, number, limit
        self.random = random.Random(number)
        self.stopped, self.sent, self.unanswered = False, 0, []
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        connection, reused = None, False
        ip = self.fleet.routers[self.number % len(self.fleet.routers)].ip
        while not self.stopped:
            if connection is None:
                connection, reused = http.client.HTTPConnection(ip, platform_fleet.CALLER_PORT, timeout=20), False
            self.sent += 1
            name = "reuse-%d-%d" % (self.number, self.sent)
            kind = self.random.choice(["GET /lookup/x", "POST /file/x", "POST /draft/x"])
            method, path = kind.split()
            begun = time.monotonic()
            try:
                connection.request(method, path, headers={
                    "Host": platform_fleet.HOST, "Chervilpass-Request-Id": name,
                    "Authorization": "Token key-skagen", "Chervilpass-Deadline-Ms": "15000",
                    "Chervilpass-Token-Counts": "10,%d" % self.random.randrange(5, 80)})
                response = connection.getresponse()
                response.read()
                closes = response.getheader("Connection") == "close"
            except (OSError, http.client.HTTPException) as error:
                self.unanswered.append((name, kind, reused, time.monotonic() - begun, repr(error)))
                closes = True
            if closes:
                connection.close()
                connection = None
            reused = True
            time.sleep(self.random.random() ** 2 * min(4.0, IDLE_SHARE * self.limit() / 1000))


def play_config_changes(name, fleet):
    fleet.start()
    process = fleet.add_plain_server("hal-1", "register-2")
    process.start()
    callers = [ReusingCaller(fleet, number, lambda: fleet.idle_timeout_ms) for number in range(32)]
    started = time.monotonic()
    step = 0
    while time.monotonic() - started < CONFIG_CHANGES_S:
        step += 1
        fleet.plain_service = ("register", "register-2")[step // 2 % 2]
        fleet.idle_timeout_ms = IDLE_LIMITS_MS[step // 6 % len(IDLE_LIMITS_MS)]
        fleet.keys = ["key-skagen"] + ["key-%d" % step] * (step % 2)
        fleet.slow_routes = ["added-%d" % number for number in range(step % 5)]
        fleet.put_config()
        time.sleep(CONFIG_INTERVAL_S)
    for caller in callers:
        caller.stopped = True
    for caller in callers:
        caller.thread.join(20)
    ran = fleet.runs()
    # A request that crosses the close of its idle connection has not been read.
    lost = [item for caller in callers for item in caller.unanswered
            if not item[2] or item[0] in ran or item[3] > LOSS_SLACK_S]
    crossed = sum(len(caller.unanswered) for caller in callers) - len(lost)
    check("%s: each request beside a change gets a complete answer" % name, not lost,
          "%d sent, %d crossed a close, lost %s" % (sum(caller.sent for caller in callers), crossed, lost[:5]))


def play(name, subnet):
    fleet = platform_fleet.PlatformFleet(os.path.join(fleets.ROOT, "run", "planned_work-%d" % subnet), subnet)
    try:
        if name in STOP_CELLS:
            play_stop(name, fleet)
        else:
            OTHER_CELLS[name](name, fleet)
    finally:
        fleet.stop()


OTHER_CELLS = {"stop-cold": play_stop_cold, "silent-workers": play_silent_workers, "config-changes": play_config_changes}
CELLS = list(STOP_CELLS) + list(OTHER_CELLS)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--cell", action="append", choices=CELLS)
    parser.add_argument("--subnet", type=int, default=62)
    arguments = parser.parse_args()
    for name in arguments.cell or CELLS:
        play(name, arguments.subnet)
    print("planned_work: %d failed" % len(FAILED))
    return 1 if FAILED else 0


if __name__ == "__main__":
    sys.exit(main())
