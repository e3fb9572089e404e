"""Plays all planned work in which a request must not be lost, and judges each request by what callers, backend
servers and the operator have seen. Real processes on loopback, with the settings of the deploy file.

    lost_requests.py [--cell NAME]... [--seeds FIRST LAST] [--seconds S] [--list] [--subnet N]

The cells play one kind of planned work each, over and over, or all of them at once: "sigterm" (a series of stops
3.5 s apart, and a second one of two routers in the middle of their requests), "sighup", "config" (routes, keys
and time limits come and go), "kept" (no planned work: connections are kept and idle), "all". Callers keep
connections or not, send bodies in pieces, an empty line after the body, the next request early; they read slowly,
or close their sending side. Some keep addresses for three times their lifetime. A cell fails if

 - KEPT: a router closes kept connections, more than three times, without an answer to a request that has reached a
   server;
 - SIGTERM: a request that a router has read ends without a whole answer, from the router's SIGTERM until 1 s after
   its grace period. Read is what has reached a server, or what ends later than 0.2 s after its last byte. Not
   counted is one that was sent no later than 3 s after the signal and at which a server is still at work in the last
   sixth of the grace period;
 - SIGHUP: the same for requests that are sent up to 2 s after a router's SIGHUP and end after it;
 - CONFIG: the same between a configuration's sending and 3 s after its acknowledgement, if a router cuts requests over
   three times as often then as at other times; not counted are requests that have used seven tenths of their time,
   and for SIGHUP and CONFIG alike those that SIGTERM does not count;
 - SERVED: a request that its router has logged as served is not whole at its caller, or the other way round;
 - FOREIGN: a caller gets bytes that belong to no answer of its requests.

With --sabotage a relay between some callers and one router, or a kill, breaks a rule on purpose; the cell then fails
unless the rule is found broken: "vanish" kills each router 5.5 s after its SIGTERM, "close" closes a kept connection
under a request, "reload" closes the connections of a router at its SIGHUP, "closing" ends the play by a kill of all
routers 4 s after the last SIGTERM, which a judge that does not know of it takes for the stop's fault."""

import argparse
import bisect
import collections
import json
import os
import random
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
import fleet as fleets  # noqa: E402
import platform_fleet  # noqa: E402
from stop_series import Closed, Reader  # noqa: E402

GRACE_S, LOSS_SLACK_S, APPLY_S = 8.0, 0.2, 2.0
AFTERWARDS_S = 1.0                 # a stop, or a configuration, counts so long afterwards
LATEST_SENT_S = 3.0                # after SIGTERM; what is sent later must not be cut
LAST_SIXTH_S = GRACE_S * 5 / 6
USED_SHARE = 0.7                   # of a request's time
MORE_OFTEN = 3                     # cuts beside configurations, against those at other times
MAX_KEPT = 3                       # kept connections that are closed under a request
ADDRESS_LIFETIME_S = 2.0
RESTART_S = 0.7                    # from the end of a process to the start of the next one
GAP_S = 3.5
CLOSING_S = 4.0                    # from the last SIGTERM
LOG_DELAY_S = 1.0                  # a line is written out this late at most
DEADLINE_S, CALL_TIMEOUT_S = 20.0, 10.0
IDLE_LIMITS_MS = (15000, 4000, 2500)
IDLE_SHARE = 0.8                   # of the shortest limit; callers reuse connections that were idle for so long
FORMS = ("kept", "fresh", "pieces", "line", "early", "slow", "half", "kept")  # of a router's callers
RULES = ("KEPT", "SIGTERM", "SIGHUP", "CONFIG", "SERVED", "FOREIGN", "SCRIPT")
KINDS = {"sigterm": ("stops",), "sighup": ("reloads",), "config": ("configs",), "kept": (),
         "all": ("stops", "reloads", "configs")}
SABOTAGES = {"vanish": ("sigterm", "SIGTERM"), "close": ("kept", "KEPT"), "reload": ("sighup", "SIGHUP"),
             "closing": ("sigterm", "SIGTERM")}

Outcome = collections.namedtuple("Outcome", "request route form router reused sent ended kind status whole detail")


class Relay:
    """Passes on the connections of some callers to a router, and closes them to break a rule."""

    def __init__(self, router, address):
        self.router, self.address, self.pairs, self.close_next = router, address, set(), False
        self.listener = socket.create_server(address)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            caller, _ = self.listener.accept()
            try:
                server = socket.create_connection((self.router.ip, platform_fleet.CALLER_PORT), 2)
            except OSError:
                caller.close()
                continue
            pair = (caller, server)
            self.pairs.add(pair)
            for source, target in (pair, pair[::-1]):
                threading.Thread(target=self.pass_on, args=(source, target, pair), daemon=True).start()

    def pass_on(self, source, target, pair):
        requests = 0
        try:
            while data := source.recv(65536):
                target.sendall(data)
                requests += source is pair[0]
                if self.close_next and source is pair[0] and requests > 1:
                    time.sleep(0.1)  # the request reaches a server
                    self.shut(pair)
            target.shutdown(socket.SHUT_WR)
        except OSError:
            self.shut(pair)

    def shut(self, pair):
        self.pairs.discard(pair)
        for connection in pair:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def shut_all(self):
        for pair in list(self.pairs):
            self.shut(pair)


class Play:
    def __init__(self, cell, seed, arguments):
        self.cell, self.draw, self.seconds, self.sabotage = cell, random.Random(seed), arguments.seconds, arguments.sabotage
        folder = os.path.join(fleets.ROOT, "run", "lost-requests-%d" % arguments.subnet, "%s-%d" % (cell, seed))
        self.fleet = platform_fleet.PlatformFleet(folder, arguments.subnet, ("hal-1", "hal-2", "hal-3"), routers_each=2)
        self.fleet.call_timeout_ms, self.fleet.stream_timeout_ms = int(CALL_TIMEOUT_S * 1000), int(DEADLINE_S * 1000)
        self.fleet.use_deployed_settings(["served_requests_per_log_line: 1"])
        self.prefix, self.found, self.lock = "%s%d" % (cell, seed), collections.defaultdict(list), threading.Lock()
        self.outcomes, self.threads, self.stopped = [], [], False
        self.stops, self.reloads = collections.defaultdict(list), collections.defaultdict(list)  # times, by router
        self.configs = []   # [sent, acknowledged]
        self.leaving = {}   # by router: time of SIGTERM
        self.relay = None

    def run_thread(self, function, *args):
        try:
            function(*args)
        except Exception as error:  # a fault of this script: what it did not play must not pass
            self.found["SCRIPT"].append("%s: %r" % (function.__name__, error))

    def spawn(self, function, *args):
        thread = threading.Thread(target=self.run_thread, args=(function,) + args, daemon=True)
        self.threads.append(thread)
        thread.start()

    # ---- planned work ----

    def stop(self, router):
        process, begun = router.process, time.monotonic()
        with self.lock:
            if router.name in self.leaving or not process.running():
                return
            self.leaving[router.name] = begun
        self.stops[router.name].append(begun)
        process.send(signal.SIGTERM)
        if self.sabotage == "vanish":
            time.sleep(5.5)
            process.kill()
        try:
            process.child.wait(max(0.0, begun + GRACE_S - time.monotonic()))
        except Exception:
            self.found["SIGTERM"].append("%s did not end within its grace period" % router.name)
            process.kill()
        time.sleep(RESTART_S)
        process.start()
        with self.lock:
            del self.leaving[router.name]

    def play_stops(self, draw, until):
        order = list(self.fleet.routers)
        draw.shuffle(order)
        for number in range(10000):
            if time.monotonic() + (GRACE_S if self.cell != "all" else 0) > until:
                return
            self.spawn(self.stop, order[number % len(order)])
            if number % 3 == 1:  # two more, in the middle of their requests
                time.sleep(draw.uniform(0.1, 1))
                for router in draw.sample(order, 2):
                    self.spawn(self.stop, router)
                    time.sleep(0.3)
            time.sleep(draw.uniform(0.8, 1.1) * GAP_S)

    def play_reloads(self, draw, until):
        while time.monotonic() < until:
            router = draw.choice(self.fleet.routers)
            if router.name not in self.leaving or draw.random() < 0.5:
                if router.process.running() and self.prepared(router):
                    self.reloads[router.name].append(time.monotonic())
                    router.process.send(signal.SIGHUP)
                    if self.sabotage == "reload" and self.relay.router is router:
                        self.relay.shut_all()
            time.sleep(draw.uniform(0.05, 0.8))

    def prepared(self, router):
        try:
            with open(router.process.log) as log:
                return '"event":"router.started"' in log.read()
        except OSError:
            return False

    def play_configs(self, draw, until):
        step = 0
        while time.monotonic() < until:
            step += 1
            self.fleet.keys = ["key-skagen"] + ["key-%d" % step] * (step % 2)
            self.fleet.slow_routes = ["added-%d" % number for number in range(step % 5)]
            self.fleet.idle_timeout_ms = IDLE_LIMITS_MS[step // 6 % len(IDLE_LIMITS_MS)]
            self.fleet.call_timeout_ms = int(CALL_TIMEOUT_S * 1000) - step % 2 * 2000
            sent = time.monotonic()
            if self.fleet.put_config():
                self.configs.append((sent, time.monotonic()))
            time.sleep(draw.uniform(0.1, 1.2))

    # ---- callers ----

    def choose(self, home, lifetime_s, draw):
        now = time.monotonic()
        gone = {name for name, begun in list(self.leaving.items()) if now - begun > lifetime_s}
        if home.name not in gone and draw.random() < 0.8:
            return home
        return draw.choice([router for router in self.fleet.routers if router.name not in gone] or [home])

    def call(self, number, home, form, draw):
        lifetime_s, count, connection, reader, answers = ADDRESS_LIFETIME_S * draw.choice((1, 1, 3)), 0, None, None, 0
        router = home
        while not self.stopped:
            if connection is None:
                router, answers = self.choose(home, lifetime_s, draw), 0
                relayed = self.relay and self.relay.router is router and form == "kept"
                address = self.relay.address if relayed else (router.ip, platform_fleet.CALLER_PORT)
                try:
                    connection = socket.create_connection(address, 1)
                except OSError:
                    time.sleep(0.05)
                    continue
                connection.settimeout(DEADLINE_S + 2)
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                reader = Reader(connection, draw, "slow" if form == "slow" else "fast")
            count += 1
            kept = self.exchange(connection, reader, "%s-%d-%d" % (self.prefix, number, count), router, form, answers,
                                 draw)
            answers += 1
            if not kept or form in ("fresh", "half") or draw.random() < 0.05:
                connection.close()
                connection = None
            time.sleep(draw.uniform(0, 0.3) if form != "kept" or draw.random() < 0.9 else
                       IDLE_SHARE * min(IDLE_LIMITS_MS) / 1000 * draw.uniform(0.5, 1))
        if connection:
            connection.close()

    def request(self, name, form, draw):
        """Returns the route, the pieces to send, and what the whole answer to them is."""
        route = draw.choice(("draft", "draft", "once", "file", "lookup"))
        if self.sabotage == "close" and form == "kept":
            route = "lookup"  # not answered within the time until the close
        events = min(182, max(3, int(draw.lognormvariate(3.97, 0.8)))) if draw.random() < 0.9 else draw.randrange(170, 260)
        path = "/%s/x" % route
        if self.sabotage == "close" and form == "kept":
            path += "?work_ms=500"
        elif route in ("file", "lookup"):
            path += "?work_ms=%d" % (draw.randrange(5, 600) if draw.random() < 0.94 else draw.randrange(1000, 4000))
        body = ("b" * draw.randrange(200, 1400)) if route != "lookup" else ""
        fields = ["Host: " + platform_fleet.HOST, "Chervilpass-Request-Id: " + name, "Authorization: Token key-skagen",
                  "Chervilpass-Deadline-Ms: %d" % (DEADLINE_S * 1000), "Chervilpass-Token-Counts: 10,%d" % events]
        chunked = body and (form == "pieces" or draw.random() < 0.3)
        if body:
            fields.append("Transfer-Encoding: chunked" if chunked else "Content-Length: %d" % len(body))
        head = "%s %s HTTP/1.1\r\n%s\r\n\r\n" % ("POST" if body else "GET", path, "\r\n".join(fields))
        if chunked:
            halves = (body[:100], body[100:])
            pieces = [head] + ["%x\r\n%s\r\n" % (len(half), half) for half in halves] + ["0\r\n\r\n"]
        else:
            pieces = [head, body]
        if form not in ("pieces", "slow"):
            pieces = ["".join(pieces)]
        if form == "line":
            pieces[-1] += "\r\n"
        return route, pieces, events if route in ("draft", "once") else "%s skagen %s" % (path, body)

    def exchange(self, connection, reader, name, router, form, answers, draw):
        """Returns True if the connection can be used again."""
        route, pieces, expected = self.request(name, form, draw)
        seen, kind, detail, kept = {"status": 0, "body": b""}, "silent", "", False
        try:
            for piece in pieces:
                connection.sendall(piece.encode())
                if len(pieces) > 1:
                    time.sleep(draw.uniform(0, 0.02))
            sent = time.monotonic()
            if form == "half":
                connection.shutdown(socket.SHUT_WR)
        except OSError:
            return False  # not sent whole
        try:
            kept = reader.answer(seen)
            kind = "answered"
        except Closed as error:
            kind, detail = ("cut" if seen["status"] else "silent"), str(error)
        except (ValueError, IndexError) as error:
            kind = "cut"
            self.found["FOREIGN"].append("%s at %s (%s): %r" % (name, router.name, form, error))
        ended = time.monotonic()
        wrong = ""
        if kind == "answered" and seen["status"] == 200:
            text = seen["body"].decode()
            wrong = self.fleet.find_stream_error(text, expected) if isinstance(expected, int) else \
                "" if text == expected else "%d bytes of %d" % (len(text), len(expected))
        if kind == "answered" and reader.data:
            self.found["FOREIGN"].append("%s at %s (%s): %r after the answer" % (name, router.name, form, reader.data[:40]))
        self.outcomes.append(Outcome(name, route, form, router.name, answers > 0, sent, ended, kind, seen["status"],
                                     kind == "answered" and not wrong, detail or wrong))
        if form == "early" and kept and kind == "answered" and draw.random() < 0.5:
            return self.exchange_early(connection, reader, name, router, draw)
        return kept and kind == "answered"

    def exchange_early(self, connection, reader, name, router, draw):
        """Sends two requests at once; a router that has the second one has read it, whatever becomes of the first."""
        first, second = (self.request(name + part, "early", draw) for part in ("-a", "-b"))
        try:
            connection.sendall(("".join(first[1]) + "".join(second[1])).encode())
        except OSError:
            return False
        sent, kept = time.monotonic(), True
        for part, (route, _, expected) in (("-a", first), ("-b", second)):
            seen, kind, detail = {"status": 0, "body": b""}, "silent", ""
            try:
                kept = kept and reader.answer(seen)
                kind = "answered" if seen["status"] else "silent"
            except Closed as error:
                kind, kept, detail = ("cut" if seen["status"] else "silent"), False, str(error)
            text, wrong = seen["body"].decode(), ""
            if kind == "answered" and seen["status"] == 200:
                wrong = self.fleet.find_stream_error(text, expected) if isinstance(expected, int) else \
                    "" if text == expected else "another body"
            ended = time.monotonic()
            self.outcomes.append(Outcome(name + part, route, "early", router.name, True, sent, ended, kind,
                                         seen["status"], kind == "answered" and not wrong, detail or wrong))
        return kept

    # ---- the play ----

    def play(self):
        self.fleet.start()
        if self.sabotage in ("close", "reload"):
            self.relay = Relay(self.fleet.routers[0], (self.fleet.routers[0].ip, 7099))
            self.relay.close_next = self.sabotage == "close"
        for index, router in enumerate(self.fleet.routers):
            for copy, form in enumerate(FORMS):
                self.spawn(self.call, index * 20 + copy, router, form, random.Random(self.draw.random()))
        time.sleep(2)
        until = time.monotonic() + self.seconds
        for kind in KINDS[self.cell]:
            self.spawn(getattr(self, "play_" + kind), random.Random(self.draw.random()), until)
        time.sleep(max(0.0, until - time.monotonic()))
        if self.sabotage == "closing":
            self.close_play()
        fleets.wait_until(lambda: not self.leaving, 2 * GRACE_S, "all stops are over")
        self.stopped = True
        for thread in list(self.threads):
            thread.join(DEADLINE_S)
        time.sleep(LOG_DELAY_S)
        self.arrivals, self.work = collections.Counter(), collections.defaultdict(list)
        for server in self.fleet.workers + self.fleet.plain:
            log = fleets.http("GET", "http://%s/admin/arrival_log" % server.address, timeout=5)[1]
            for arrival in json.loads(log)["arrivals"]:
                self.arrivals[arrival["id"]] += 1
            for span in json.loads(fleets.http("GET", "http://%s/admin/work_log" % server.address, timeout=5)[1]):
                self.work[span["id"]].append((span["begin"] / 1000, span["end"] / 1000 or float("inf")))
        self.logged = collections.defaultdict(list)  # by (router, request): outcome and status
        for router in self.fleet.routers:
            with open(router.process.log) as log:
                for line in log:
                    if '"event":"request.ended"' in line and self.prefix in line:
                        fields = json.loads(line)
                        if fields["forwarded"] == "false":
                            self.logged[router.name, fields["request"]].append((fields["outcome"], fields["status"]))

    def close_play(self):
        """Ends the play within a stop, as a day ends that closes with a fault of all VMs."""
        fleets.wait_until(lambda: not self.leaving, 2 * GRACE_S, "all stops are over")
        time.sleep(LATEST_SENT_S)
        self.spawn(self.stop, self.fleet.routers[0])
        time.sleep(CLOSING_S)
        for router in self.fleet.routers:
            router.process.kill()

    # ---- the judge ----

    def read(self, outcome):
        return self.arrivals[outcome.request] or outcome.ended - outcome.sent > LOSS_SLACK_S

    def begun_before(self, times, at):
        """The last one of the times up to `at`, or None."""
        index = bisect.bisect_right(times, at)
        return times[index - 1] if index else None

    def at_work_late(self, outcome, term):
        return any(begin < term + GRACE_S and end >= term + LAST_SIXTH_S for begin, end in self.work[outcome.request])

    def allowed(self, outcome):
        """Cut by the end of a stop although it was sent early enough, and still at work then."""
        term = self.begun_before(self.stops[outcome.router], outcome.ended)
        return term is not None and outcome.ended <= term + GRACE_S + AFTERWARDS_S and \
            outcome.sent <= term + LATEST_SENT_S and self.at_work_late(outcome, term)

    def parts(self, outcome):
        """The parts of the rule, but for CONFIG, that a request without a whole answer breaks."""
        if outcome.reused and outcome.kind == "silent" and self.arrivals[outcome.request]:
            yield "KEPT"
        if self.allowed(outcome):
            return
        term = self.begun_before(self.stops[outcome.router], outcome.ended)
        if term is not None and outcome.ended <= term + GRACE_S + AFTERWARDS_S:
            yield "SIGTERM"
        hup = self.begun_before(self.reloads[outcome.router], outcome.ended)
        first = bisect.bisect_left(self.reloads[outcome.router], outcome.sent - APPLY_S)
        if hup is not None and self.reloads[outcome.router][first:] and \
                self.reloads[outcome.router][first] <= outcome.ended:
            yield "SIGHUP"

    def beside_config(self, at):
        return any(sent <= at <= acknowledged + APPLY_S + AFTERWARDS_S for sent, acknowledged in self.configs)

    def judge_configs(self, cut):
        """The cuts of a router beside configurations, if they are much more frequent than its others."""
        begin, end = min(item.sent for item in self.outcomes), max(item.ended for item in self.outcomes)
        steps = [begin + 0.05 * step for step in range(int((end - begin) / 0.05))]
        beside_s = 0.05 * sum(self.beside_config(step) for step in steps)
        by_router = collections.defaultdict(lambda: ([], []))
        for outcome in cut:
            time_s = DEADLINE_S if outcome.route in ("draft", "once") else CALL_TIMEOUT_S
            if outcome.ended - outcome.sent < USED_SHARE * time_s and not self.allowed(outcome):
                by_router[outcome.router][not self.beside_config(outcome.ended)].append(outcome)
        for beside, others in by_router.values():
            other_s = end - begin - beside_s
            if beside and len(beside) * other_s > MORE_OFTEN * len(others) * beside_s:
                self.found["CONFIG"] += [self.describe(outcome) for outcome in beside]

    def describe(self, outcome):
        return "%s %s (%s%s) at %s: %s %d, sent %s ended %+.2f s, %d arrivals, logged %s; %s" % (
            outcome.request, outcome.route, outcome.form, ", reused" * outcome.reused, outcome.router, outcome.kind,
            outcome.status, ", ".join("%s %+.2f s" % (name, outcome.sent - at) for name, at in (
                (name, self.begun_before(times[outcome.router], outcome.ended)) for name, times in (
                    ("SIGTERM", self.stops), ("SIGHUP", self.reloads))) if at is not None) or "-",
            outcome.ended - outcome.sent, self.arrivals[outcome.request],
            self.logged.get((outcome.router, outcome.request), "nothing"), outcome.detail)

    def judge(self):
        cut = [outcome for outcome in self.outcomes if outcome.kind != "answered" and self.read(outcome)]
        for outcome in cut:
            for part in self.parts(outcome):
                self.found[part].append(self.describe(outcome))
        if self.outcomes:
            self.judge_configs(cut)
        for outcome in self.outcomes:
            lines = self.logged.get((outcome.router, outcome.request), [])
            served = ("served", "200") in lines
            if self.sabotage not in ("vanish", "closing") and served != (outcome.whole and outcome.status == 200) and (lines or outcome.kind == "answered"):
                self.found["SERVED"].append(self.describe(outcome))
        return cut

    def report(self, name, show):
        cut, broken = self.judge(), []
        for rule in RULES:
            found = self.found[rule]
            is_broken = len(found) > (MAX_KEPT if rule == "KEPT" else 0)
            broken += [rule] * is_broken
            print("%s: %s %s: %d" % ("FAILED" if is_broken else "ok", name, rule, len(found)), flush=True)
            for text in found[:20 if show or is_broken else 0]:
                print("    " + text)
        statuses = collections.Counter("%s %d" % (outcome.kind, outcome.status) for outcome in self.outcomes)
        print("%s: %d requests, %d stops, %d reloads, %d configurations, %d read and without a whole answer; %s" % (
            name, len(self.outcomes), sum(map(len, self.stops.values())), sum(map(len, self.reloads.values())),
            len(self.configs), len(cut), ", ".join("%s: %d" % item for item in sorted(statuses.items()))), flush=True)
        if show:
            for outcome in cut:
                print("    " + self.describe(outcome))
        if self.sabotage:
            rule = SABOTAGES[self.sabotage][1]
            caught = rule in broken
            print("%s: sabotage %s is found by %s" % ("ok" if caught else "FAILED", self.sabotage, rule))
            return 0 if caught else 1
        return len(broken)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--cell", action="append", choices=KINDS)
    parser.add_argument("--sabotage", choices=SABOTAGES)
    parser.add_argument("--seeds", nargs=2, type=int, metavar=("FIRST", "LAST"), default=(1, 1))
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--list", action="store_true")
    parser.add_argument("--subnet", type=int, default=160)
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # and stop the fleet
    failed, cells = 0, arguments.cell or list(KINDS)
    if arguments.sabotage:
        cells = [SABOTAGES[arguments.sabotage][0]]
    for seed in range(arguments.seeds[0], arguments.seeds[1] + 1):
        for cell in cells:
            play = Play(cell, seed, arguments)
            try:
                play.play()
            finally:
                play.stopped = True
                play.fleet.stop()
            failed += play.report("%s, seed %d" % (cell, seed), arguments.list)
    print("lost_requests: %d failed checks" % failed)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
