"""Stops one router each 3.5 s, faster than one stop takes, and starts each again at once, while callers
use all of them; one of them can get further signals while it leaves. Real processes on loopback.

    rolling_stops.py [--seeds FIRST LAST] [--stops N] [--at N] [--further SIGNAL@S]... [--router FILE]
                     [--late-streams N] [--gap S] [--long-share X] [--kills-next]
                     [--restart-after S] [--list] [--subnet N]
    rolling_stops.py --cell NAME [--router FILE] [--subnet N]

`--further TERM@6.5` sends SIGTERM 6.5 s after the first one to the router that is stopped as number `--at`.
`--late-streams` sends it so many streams 5 s after the first signal, which take about 1.9 s.
`--long-share` is the share of streams that take 5 to 10 s.
With `--kills-next` the SIGKILL at the end of a grace period reaches whichever process the VM runs then,
also the next one, and callers are sent to that one as soon as it is ready. Each order to stop, SIGTERM or
SIGINT, has a grace period of its own. `--restart-after` is the time from the end of a process to the start
of the next one.
`--router` names the program to run as routers, of an older version for instance. `--list` prints each
request that ended without a complete answer: when it was sent and ended, counted from its router's SIGTERM,
its events, and the log lines that name it.

A play fails if a router does not end in order within its grace period, writes no router.stopped, does not
name its sources or a killed predecessor, or if a request that it has read ends without a complete answer. Not counted is one that is sent no later
than 3 s after SIGTERM and in progress at its server in the last sixth of the grace period."""

import argparse
import collections
import http.client
import json
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

GRACE_S = 8.0
GAP_S = 3.5
LATEST_SENT_S = 3.0                # after SIGTERM; what is sent later must not be cut
LAST_SIXTH_S = GRACE_S * 5 / 6
AFTERWARDS_S = 1.0                 # a stop counts as planned work until so long after its grace period
RETURN_S = 5.0                     # after the last kill of a next process, until its successor must have served
LOSS_SLACK_S = 0.2                 # a connection that ends this soon after its request may not have been read
ADDRESS_LIFETIME_S = 2.0           # afterwards callers can know of a SIGTERM
DEADLINE_S = 20.0
WARM_UP_S = 2.0
STREAM_CALLERS, CALL_CALLERS = 8, 3  # of each router
START_SLACK_S = 0.5                # from one start to the next, beside what is known of it
LATE_SENT_S, LATE_EVENTS = 5.0, (58, 66)
LONG_SHARE, LONG_EVENTS = 0.15, (170, 330)  # of 30 ms: 5 to 10 s
MAX_EVENTS = 182                   # of the others
STOP_ORDERS = (signal.SIGTERM, signal.SIGINT)
PROGRESS_FACTS = ("quiet_ms", "age_ms", "leaving_ms")
FACTS = {"request.cut": PROGRESS_FACTS, "request.unfinished": PROGRESS_FACTS, "request.draining": PROGRESS_FACTS,
         "request.ended": ("uptime_ms", "outcome", "elapsed_ms")}  # in the part of a line that collectors keep
KEPT_CHARACTERS = 200
NOTED = ("request.cut", "request.unfinished", "request.unread", "response.unsent")
FAILED = []


def lacks_facts(event, line):
    return not all('"%s"' % fact in line[:KEPT_CHARACTERS] for fact in FACTS.get(event, ()))


Outcome = collections.namedtuple("Outcome", "request route form router sent ended kind status events expected")


def check(what, condition, seen=""):
    print("%s: %s %s" % ("ok" if condition else "FAILED", what, seen), flush=True)
    if not condition:
        FAILED.append(what)


def draw_events(draw, long_share):
    if draw.random() < long_share:
        return draw.randrange(*LONG_EVENTS)
    return min(MAX_EVENTS, max(3, int(draw.lognormvariate(3.97, 0.8))))


def draw_work_ms(draw):
    return draw.randrange(1000, 4000) if draw.random() < 0.06 else draw.randrange(5, 600)


class Stop:
    """A stop of one router, in order as far as its process does that."""

    def __init__(self, number, router, further, arguments):
        self.number, self.router, self.further = number, router, further
        self.restart_after_s = arguments.restart_after
        self.begun, self.code, self.ended_s, self.events = time.monotonic(), None, None, []
        self.next_killed_s = []  # ages of the next processes that were killed
        self.kill_next_at_s = [after_s + GRACE_S for after_s, order in [(0, signal.SIGTERM)] + further
                               if order in STOP_ORDERS] if arguments.kills_next else []
        with open(router.process.log) as log:
            self.log_begin = log.seek(0, os.SEEK_END)
        router.process.send(signal.SIGTERM)

    def play(self):
        for after_s, number in self.further:
            self.wait(after_s)
            self.router.process.send(number)
        self.wait(GRACE_S)
        if self.router.process.running():  # as the platform does at the end of the grace period
            self.router.process.kill()
            self.code = "killed"
        else:
            self.code = self.router.process.child.returncode
        self.ended_s = time.monotonic() - self.begun
        with open(self.router.process.log) as log:
            log.seek(self.log_begin)
            self.events = [json.loads(line) for line in log if line.startswith("{")]
        time.sleep(self.restart_after_s)
        self.router.process.start()
        started = time.monotonic()
        for at_s in self.kill_next_at_s:
            if time.monotonic() - self.begun < at_s:
                started = self.kill_next(at_s, started)

    def kill_next(self, at_s, started):
        """Kills the process that was started then; returns when its successor is."""
        self.wait(at_s)
        self.next_killed_s.append(time.monotonic() - started)
        self.router.process.kill()
        time.sleep(self.restart_after_s)
        self.router.process.start()
        return time.monotonic()

    def wait(self, after_s):
        try:
            self.router.process.child.wait(max(0.0, self.begun + after_s - time.monotonic()))
        except subprocess.TimeoutExpired:
            pass

    def last_kill(self):
        return self.begun + max(self.kill_next_at_s, default=0)

    def count(self, event):
        return sum(line.get("event") == event for line in self.events)


class Play:
    def __init__(self, seed, folder, subnet, arguments):
        self.draw, self.seed, self.arguments = random.Random(seed), seed, arguments
        self.fleet = platform_fleet.PlatformFleet(folder, subnet, ("hal-1", "hal-2", "hal-3"), routers_each=2,
                                                  workers_each=3)
        self.fleet.call_timeout_ms = 10000
        self.fleet.stream_timeout_ms = int(DEADLINE_S * 1000)
        if arguments.kills_next and not arguments.router:
            self.fleet.whole_grace = True
            self.fleet.build_routers()
        for router in self.fleet.routers:
            router.process.binary = arguments.router or router.process.binary
        self.outcomes, self.stops, self.threads, self.stopped = [], [], [], False

    def spawn(self, function, *args):
        thread = threading.Thread(target=function, args=args, daemon=True)
        self.threads.append(thread)
        thread.start()

    # ---- callers ----

    def choose(self, home, draw):
        now = time.monotonic()
        leaving = {stop.router.name for stop in list(self.stops)
                   if stop.ended_s is None and now - stop.begun > ADDRESS_LIFETIME_S}
        if home.name not in leaving and draw.random() < 0.8:
            return home
        return draw.choice([router for router in self.fleet.routers if router.name not in leaving])

    def call(self, number, home, streams, draw):
        connection, router, count = None, home, 0
        while not self.stopped:
            if connection is None:
                router = self.choose(home, draw)
                connection = http.client.HTTPConnection(router.ip, platform_fleet.CALLER_PORT, timeout=DEADLINE_S + 2)
                try:
                    connection.connect()
                except OSError:
                    connection = None
                    time.sleep(0.05)
                    continue
            count += 1
            kept = self.send(connection, "r%d-%d-%d" % (self.seed, number, count), router, streams, draw)
            if not kept or draw.random() < 0.2:
                connection.close()
                connection = None
            time.sleep(draw.uniform(0, 0.3))
        if connection:
            connection.close()

    def send_late(self, number, stop, draw):
        time.sleep(max(0.0, stop.begun + LATE_SENT_S - time.monotonic()))
        connection = http.client.HTTPConnection(stop.router.ip, platform_fleet.CALLER_PORT, timeout=DEADLINE_S + 2)
        self.send(connection, "r%d-late-%d" % (self.seed, number), stop.router, True, draw,
                  draw.randrange(*LATE_EVENTS))
        connection.close()

    def send(self, connection, request, router, streams, draw, events=0):
        """Returns True if the connection can be used again."""
        events = events or (draw_events(draw, self.arguments.long_share) if streams else 0)
        route = draw.choice(("draft", "draft", "once") if streams else ("file", "lookup"))
        path = "/%s/x" % route + ("" if streams else "?work_ms=%d" % draw_work_ms(draw))
        form = draw.choice(("length", "chunks"))
        body = b"b" * draw.randrange(200, 1400)
        headers = {"Host": platform_fleet.HOST, "Chervilpass-Request-Id": request, "Authorization": "Token key-skagen",
                   "Chervilpass-Deadline-Ms": str(int(DEADLINE_S * 1000)), "Chervilpass-Token-Counts": "10,%d" % events}
        kind, status, text, kept = "silent", 0, b"", False
        try:
            if form == "chunks":
                headers["Transfer-Encoding"] = "chunked"
                connection.request("POST", path, iter((body[:100], body[100:])), headers, encode_chunked=True)
            else:
                connection.request("POST", path, body, headers)
        except (OSError, http.client.HTTPException):
            return False  # not sent whole
        sent = time.monotonic()
        try:
            response = connection.getresponse()
            status, kind = response.status, "cut"
            while response.chunked:
                piece = response.read1(65536)
                if not piece:
                    break
                text += piece
            response.read()
            kind, kept = "answered", not response.will_close
        except (OSError, http.client.HTTPException):
            pass
        self.outcomes.append(Outcome(request, route, form, router, sent, time.monotonic(), kind, status,
                                     text.count(b"\n\n") if streams and status == 200 else 0, events))
        return kept

    # ---- the series ----

    def play(self):
        self.fleet.start()
        for index, router in enumerate(self.fleet.routers):
            for copy in range(STREAM_CALLERS + CALL_CALLERS):
                self.spawn(self.call, index * 20 + copy, router, copy < STREAM_CALLERS,
                           random.Random(self.draw.random()))
        time.sleep(WARM_UP_S)
        order = list(self.fleet.routers)
        self.draw.shuffle(order)
        begun, series = time.monotonic(), []
        for number in range(1, self.arguments.stops + 1):
            time.sleep(max(0.0, begun + (number - 1) * self.arguments.gap - time.monotonic()))
            stop = Stop(number, order[(number - 1) % len(order)],
                        self.arguments.further if number == self.arguments.at else [], self.arguments)
            self.stops.append(stop)
            for late in range(self.arguments.late_streams if number == self.arguments.at else 0):
                self.spawn(self.send_late, late, stop, random.Random(self.draw.random()))
            series.append(threading.Thread(target=stop.play, daemon=True))
            series[-1].start()
        for thread in series:
            thread.join()
        time.sleep(RETURN_S if self.arguments.kills_next else AFTERWARDS_S)
        self.stopped = True
        for thread in self.threads:
            thread.join(max(0.0, DEADLINE_S))
        self.runs = self.fleet.runs()
        self.lines = collections.defaultdict(list)
        self.builds, self.lives_s, self.late_facts = set(), [], []
        for router in self.fleet.routers:
            with open(router.process.log) as log:
                for line in log:
                    self.read_start(line)
                    if '"request":"r%d-' % self.seed in line:
                        fields = json.loads(line)
                        self.lines[fields["request"]].append("%s %s" % (router.name, fields["event"]))
                        if lacks_facts(fields["event"], line):
                            self.late_facts.append(line[:KEPT_CHARACTERS])

    def read_start(self, line):
        if '"event":"router.started"' in line:
            self.builds.add(json.loads(line).get("build", "-"))
        elif '"event":"router.predecessor"' in line:
            self.lives_s.append(int(json.loads(line)["started_before_ms"]) / 1000)

    def report_starts(self, name):
        """What the logs of the next processes say of their builds and of those that were killed."""
        killed, told, left = [age_s for stop in self.stops for age_s in stop.next_killed_s], 0, list(self.lives_s)
        for age_s in killed:
            expected_s = age_s + self.arguments.restart_after
            found = next((life_s for life_s in left if abs(life_s - expected_s) <= START_SLACK_S), None)
            if found is not None:
                told += 1
                left.remove(found)
        check("%s: each next process that was killed is told by the one after" % name, told == len(killed),
              "%d of %d, lives %s" % (told, len(killed), ["%.2f" % life_s for life_s in self.lives_s]))
        if self.arguments.kills_next:
            check("%s: next processes were killed" % name, killed, len(killed))
            for stop in self.stops:
                served = sum(outcome.router is stop.router and outcome.sent > stop.last_kill() and
                             outcome.status == 200 and outcome.kind == "answered" for outcome in self.outcomes)
                check("%s: %s serves again after its stop" % (name, stop.router.name), served, served)
        here = subprocess.run(["cmake", "-DSOURCE=" + fleets.ROOT, "-P",
                               os.path.join(fleets.ROOT, "scripts", "build_id.cmake")],
                              stdout=subprocess.PIPE, check=True).stdout.decode().strip()
        # The commit may be made after the build.
        check("%s: all routers name the sources that they were built from" % name,
              {build.split("-")[1] for build in self.builds} == {here.split("-")[1]}, "%s, here %s" % (self.builds, here))

    def stop_of(self, outcome):
        """The stop of its router in which a request ended, or None."""
        found = [stop for stop in self.stops if stop.router is outcome.router and
                 stop.begun <= outcome.ended <= max(stop.begun + GRACE_S, stop.last_kill()) + AFTERWARDS_S]
        return found[-1] if found else None

    def judge(self, outcome):
        stop = self.stop_of(outcome)
        if outcome.kind == "silent" and not self.runs.get(outcome.request) and \
                outcome.ended - outcome.sent <= LOSS_SLACK_S:
            return "unread"
        if stop is None:
            return "beside no stop"
        in_progress = not outcome.expected or outcome.events < outcome.expected
        if in_progress and outcome.sent - stop.begun <= LATEST_SENT_S and outcome.ended - stop.begun >= LAST_SIXTH_S:
            return "allowed"
        return "LOST"

    def report(self, name):
        failed = [(outcome, self.judge(outcome), self.stop_of(outcome)) for outcome in self.outcomes
                  if outcome.kind != "answered"]
        for stop in self.stops:
            mine = [(outcome, verdict) for outcome, verdict, other in failed if other is stop]
            counts = collections.Counter((verdict, bool(outcome.expected)) for outcome, verdict in mine)
            named = sum(bool(self.lines[outcome.request]) for outcome, verdict in mine if verdict == "LOST")
            delays = [line.get("max_wake_delay_ms", "-") for line in stop.events
                      if line.get("event") == "router.stopped"]
            further = ["%s@%.1f" % (signal.Signals(number).name, after_s) for after_s, number in stop.further]
            check("%s: stop %d, %s ends in order" % (name, stop.number, stop.router.name),
                  stop.code == 0 and stop.count("router.stopped") == 1,
                  "code %s after %.2f s, next process killed %s; router.stopped %d, %s; LOST %d streams, %d calls (%d named in a log); allowed "
                  "%d, %d; unread %d; wake delay %s ms; further %s" % (
                      stop.code, stop.ended_s,
                      ", ".join("after %.2f s" % age_s for age_s in stop.next_killed_s) or "-",
                      stop.count("router.stopped"),
                      ", ".join("%s %d" % (event, stop.count(event)) for event in NOTED),
                      counts["LOST", True], counts["LOST", False], named, counts["allowed", True],
                      counts["allowed", False], counts["unread", True] + counts["unread", False],
                      delays[0] if delays else "-", " ".join(further) or "-"))
        lost = [outcome for outcome, verdict, _ in failed if verdict == "LOST"]
        check("%s: no request is lost" % name, not lost, "%d of %d requests" % (len(lost), len(self.outcomes)))
        if not self.arguments.router:  # earlier versions state them later
            check("%s: lines of requests begin with what tells why" % name, not self.late_facts,
                  self.late_facts[:3])
        beside = sum(verdict == "beside no stop" for _, verdict, _ in failed)
        check("%s: no request ends without an answer beside no stop" % name, not beside, beside)
        if not self.arguments.router:  # earlier versions do not write these lines
            self.report_starts(name)
        statuses = collections.Counter(outcome.status for outcome in self.outcomes if outcome.kind == "answered")
        print("%s: answers by status %s" % (name, sorted(statuses.items())))
        for outcome, verdict, stop in failed if self.arguments.list or lost else []:
            if verdict == "unread" and not self.arguments.list:
                continue
            origin = stop.begun if stop else outcome.sent
            print("  %s %s %s (%s) at %s, %s: status %d, sent %+.2f s, ended %+.2f s, %d of %d events, %d runs; "
                  "lines: %s" % (
                      verdict, outcome.request, outcome.route, outcome.form, outcome.router.name, outcome.kind,
                      outcome.status, outcome.sent - origin, outcome.ended - origin, outcome.events, outcome.expected,
                      self.runs.get(outcome.request, 0), ", ".join(self.lines[outcome.request]) or "none"))
        sys.stdout.flush()


def parse_further(text):
    name, after_s = text.split("@")
    return float(after_s), signal.Signals["SIG" + name]


# Options of the cells. In late-delay most VMs leave, so that one of them takes streams while it leaves;
# it gets no processor for a moment after that.
CELLS = {"late-order": "--seeds 1 1 --stops 2 --at 1 --further TERM@4.5 --further INT@5.5 --further TERM@6.4",
         "late-delay": "--seeds 1 1 --stops 5 --at 1 --gap 0.7 --late-streams 12 --further STOP@5.6 --further CONT@5.9",
         "next-process": "--seeds 1 1 --stops 4 --long-share 0 --kills-next",
         "further-order": "--seeds 1 1 --stops 3 --at 2 --long-share 0 --kills-next --restart-after 0.7 "
                          "--further TERM@5"}


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--cell", choices=CELLS)
    parser.add_argument("--seeds", nargs=2, type=int, metavar=("FIRST", "LAST"), default=(1, 1))
    parser.add_argument("--stops", type=int, default=6)
    parser.add_argument("--at", type=int, default=3)
    parser.add_argument("--further", type=parse_further, action="append", default=[], metavar="SIGNAL@S")
    parser.add_argument("--late-streams", type=int, default=0)
    parser.add_argument("--gap", type=float, default=GAP_S)
    parser.add_argument("--router", metavar="FILE", type=os.path.abspath)
    parser.add_argument("--long-share", type=float, default=LONG_SHARE)
    parser.add_argument("--kills-next", action="store_true")
    parser.add_argument("--restart-after", type=float, default=0.0, metavar="S")
    parser.add_argument("--list", action="store_true")
    parser.add_argument("--subnet", type=int, default=110)
    arguments = parser.parse_args()
    if arguments.cell:
        arguments = parser.parse_args(sys.argv[1:] + CELLS[arguments.cell].split())
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # and stop the fleet
    for seed in range(arguments.seeds[0], arguments.seeds[1] + 1):
        folder = os.path.join(fleets.ROOT, "run", "rolling-stops-%d" % arguments.subnet, "seed-%d" % seed)
        play = Play(seed, folder, arguments.subnet, arguments)
        try:
            play.play()
        finally:
            play.stopped = True
            play.fleet.stop()
        play.report(arguments.cell or "seed %d" % seed)
    return 1 if FAILED else 0


if __name__ == "__main__":
    sys.exit(main())
