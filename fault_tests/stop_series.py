"""Plays stops of routers in series that overlap, drawn from a seed, beside other planned work and
trouble of the workers, and checks that each request that ends without a complete answer is named by a
log line of its router. Real processes on loopback.

    stop_series.py [--seeds FIRST LAST | --seed N] [--seconds S] [--subnet N] [--dense] [--whole-grace]

Beside the stops, drawn by the seed: workers that leave or are ordered to give up layers; workers that
are silent, or slow from a SIGTERM on; routers that are cut off from the workers, so that others serve
their requests; grace periods that differ and change, with and without a signal; a router whose output
nobody reads. Callers send streams of several lengths, bodies in pieces, two requests at once, the next
request at the end of a stream; some read slowly or rest while they read. With --dense up to five of six
routers leave at once, while answers become slower, as beside more load; all of it is planned work. With
--whole-grace stops take their whole grace period, and the SIGKILL at its end reaches the next process if that
has started. A seed fails if

 - LOST: a request that has run, or whose connection ends later than 0.2 s after it, gets no complete
   answer. Not counted are those that were sent no later than 3 s after SIGTERM and at which a worker is
   still at work in the last sixth of the grace period, those beside trouble of their router or of the
   workers, and those of callers that rest while they read;
 - UNNAMED: a request that was lost, counted or not, has no line in a log that tells why;
 - SILENT: a request that was in progress at a router between SIGTERM and its exit has no line in its log;
 - TWICE, REFUSED, ORDER, ENDED, SCRIPT: as in soak.py; a process is killed at the end of its grace period.

The logs and soak.txt (findings and events, with times as in the logs) stay in run/stops-SUBNET/seed-N."""

import argparse
import collections
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
import fleet as fleets  # noqa: E402
import platform_fleet  # noqa: E402
import soak  # noqa: E402
from process_life import ignores_broken_pipes  # noqa: E402

GRACE_RANGE = (4, 12)
STREAM_S, CALL_S = 20.0, 8.0    # timeouts of the routes
LATE_S = 3.0                    # what is sent later after a SIGTERM is to be finished
LOSS_SLACK_S = soak.LOSS_SLACK_S
LINE_SLACK_S = 0.15             # an answer that ends so soon after SIGTERM may have been ended before it
LARGE_BODY = 400 * 1024
SMALL_BUFFER = 4096
RULES = ("LOST", "UNNAMED", "SILENT", "TWICE", "REFUSED", "ORDER", "ENDED", "SCRIPT")
# Lines that tell why a request got no complete answer. A request that ended as served needs another one.
TELLING = ("request.cut", "request.unfinished", "request.unread", "request.refused_unread", "response.unsent",
           "request.not_repeated", "request.exception")

Outcome = collections.namedtuple("Outcome", "request route router sent ended kind status reader detail events expected")


class Closed(Exception):
    """The connection has ended before the end of an answer."""


class Reader:
    """Reads answers from a connection, at some pace."""

    def __init__(self, connection, draw, reader):
        self.connection, self.draw, self.reader, self.data = connection, draw, reader, b""
        self.rest_at = time.monotonic() + draw.uniform(0.2, 4) if reader == "rests" else None

    def more(self):
        if self.rest_at and time.monotonic() > self.rest_at:
            self.rest_at = None
            time.sleep(self.draw.uniform(1, 4))
        if self.reader == "slow":
            time.sleep(0.02)
        try:
            piece = self.connection.recv(8192 if self.reader != "fast" else 65536)
        except OSError as error:
            raise Closed(repr(error)) from None
        if not piece:
            raise Closed("closed")
        self.data += piece

    def until(self, mark):
        while mark not in self.data:
            self.more()
        text, self.data = self.data.split(mark, 1)
        return text

    def exactly(self, size):
        while len(self.data) < size:
            self.more()
        text, self.data = self.data[:size], self.data[size:]
        return text

    def answer(self, seen):
        """Reads an answer into `seen`; raises Closed if it is not complete. Returns whether the connection
        is kept."""
        while True:
            head = self.until(b"\r\n\r\n").decode()
            status = int(head.split()[1])
            if status >= 200:
                break
        seen["status"] = status
        fields = {name.strip().lower(): value.strip() for name, _, value in
                  (line.partition(":") for line in head.split("\r\n")[1:])}
        seen["retry_after"] = fields.get("retry-after")
        if fields.get("transfer-encoding", "") == "chunked":
            while True:
                size = int(self.until(b"\r\n"), 16)
                seen["body"] += self.exactly(size)
                self.exactly(2)
                if size == 0:
                    break
        elif "content-length" in fields:
            seen["body"] += self.exactly(int(fields["content-length"]))
        else:
            raise Closed("an answer without a length")
        return fields.get("connection", "").lower() != "close"


class StopSeries(soak.Soak):
    def __init__(self, seed, folder, subnet, seconds, dense, whole_grace):
        self.draw, self.seconds = random.Random(seed), seconds
        self.fleet = platform_fleet.PlatformFleet(folder, subnet, ("hal-1", "hal-2", "hal-3"), routers_each=2,
                                                  workers_each=2)
        self.whole_grace = whole_grace
        if whole_grace:
            self.fleet.whole_grace = True
            self.fleet.build_routers()
        self.fleet.call_timeout_ms, self.fleet.stream_timeout_ms = int(CALL_S * 1000), int(STREAM_S * 1000)
        self.record = open(os.path.join(folder, "soak.txt"), "w", buffering=1)
        self.found, self.counts, self.lock = collections.Counter(), collections.Counter(), threading.Lock()
        self.trouble, self.threads, self.outcomes = soak.Trouble(), [], []
        self.work = {}       # by (server, process id): spans of (request, begin, end)
        self.busy, self.stopped, self.closed, self.start_lock = set(), False, False, threading.Lock()
        self.stops = collections.defaultdict(list)  # by router: [SIGTERM, end, grace period]
        self.grace = {router.name: 8 for router in self.fleet.routers}
        self.planned_only = self.draw.random() < 0.5
        self.grace_changes = self.draw.random() < 0.5
        self.answers_slow_down = self.draw.random() < 0.4
        self.gaps_s = (1, 3.5)
        if dense:
            self.planned_only, self.answers_slow_down, self.gaps_s = True, True, (0.1, 1)
        self.few_callers = self.draw.random() < 0.3 and not dense
        self.unread = self.draw.choice(self.fleet.routers) if self.draw.random() < 0.3 else None
        self.cut_files = {router.name: os.path.join(folder, router.name + ".cut") for router in self.fleet.routers}

    # ---- processes ----

    def start_unless_closed(self, process):
        router = next((router for router in self.fleet.routers if router.process is process), None)
        if router is None:
            process.start()
        else:
            environment = dict(os.environ, CUT_FILE=self.cut_files[router.name],
                               CUT_PORT=str(platform_fleet.WORKER_PORT))
            if router is self.unread:
                process.pipe = getattr(process, "pipe", None) or os.pipe()
                output = process.pipe[1]
            else:
                output = os.open(process.log, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
            process.child = subprocess.Popen(
                [os.path.join(fleets.BUILD, "chervil-router-with-cuts"), "--config", process.config],
                stdout=output, stderr=output, stdin=subprocess.DEVNULL, env=environment)
            if router is not self.unread:
                os.close(output)
        process.started = time.monotonic()

    def set_grace(self, router, seconds, tell):
        self.grace[router.name] = seconds
        with open(router.process.config) as file:
            lines = [line for line in file.read().splitlines() if not line.startswith("limits:")]
        lines.append("limits: {grace_seconds: %s, whole_grace: %s, retry_share: 0.2, retry_reserve: 200}" % (
            seconds, str(self.whole_grace).lower()))
        new = "%s.%d" % (router.process.config, threading.get_ident())
        with open(new, "w") as file:
            file.write("\n".join(lines) + "\n")
        os.rename(new, router.process.config)
        self.note("%s: grace period %s s%s" % (router.name, seconds, ", SIGHUP" if tell else ""))
        if tell:
            self.signal(router.process, signal.SIGHUP)

    # ---- planned work and trouble ----

    def stop_router(self, router, draw, again=True):
        process = router.process
        if not self.claim(process):
            return
        fleets.wait_until(lambda: ignores_broken_pipes(process), 5, "%s is prepared for signals" % router.name)
        if self.grace_changes and draw.random() < 0.5:
            self.set_grace(router, draw.randrange(GRACE_RANGE[0], GRACE_RANGE[1] + 1), draw.random() < 0.5)
            time.sleep(draw.choice((0.05, draw.uniform(0, 1))))
        if not self.planned_only and draw.random() < 0.5:  # others serve its requests, this router too
            self.spawn(self.cut_off, random.Random(draw.random()))
            time.sleep(draw.uniform(0.3, 1.2))
        begun = time.monotonic()
        stop = [begun, float("inf"), self.grace[router.name]]
        self.stops[router.name].append(stop)
        self.signal(process, signal.SIGTERM)
        self.spawn(self.beside_stop, random.Random(draw.random()))
        if self.grace_changes and draw.random() < 0.25:
            time.sleep(draw.uniform(0.1, 2))
            self.set_grace(router, draw.randrange(GRACE_RANGE[0], GRACE_RANGE[1] + 1), draw.random() < 0.5)
            stop[2] = self.grace[router.name]
        for _ in range(draw.choice((0, 0, 0, 1, 3))):
            time.sleep(draw.uniform(0, 1))
            if process.running():
                self.signal(process, draw.choice((signal.SIGTERM, signal.SIGINT, signal.SIGHUP)))
        try:
            code = process.child.wait(max(0.0, begun + stop[2] - time.monotonic()))
        except subprocess.TimeoutExpired:
            code = "killed"
            process.kill()
        stop[1] = time.monotonic()
        self.note("%s ended with %s after %.2f s of %s s" % (router.name, code, stop[1] - begun, stop[2]))
        if code != 0:
            self.fail("ENDED", "%s after SIGTERM: %s after %.2f s of %s s" % (
                router.name, code, stop[1] - begun, stop[2]))
        self.start_process(process)
        if self.whole_grace and code == 0:
            self.kill_next(process, begun + stop[2])
        self.busy.discard(process.name)
        self.counts["stops"] += 1
        if again and draw.random() < 0.25:
            time.sleep(draw.uniform(1.0, 2.5))
            self.stop_router(router, draw, False)

    def kill_next(self, process, at):
        """The kill of a stop ends the next process, if that has started by then."""
        if time.monotonic() >= at:
            return
        time.sleep(at - time.monotonic())
        process.kill()
        self.note("%s: the next process is killed" % process.name)
        self.counts["next processes killed"] += 1
        self.start_process(process)

    def beside_stop(self, draw):
        """Other work at some time of a stop."""
        kinds = [self.worker_leaves, self.give_up_layers, self.give_up_layers]
        if not self.planned_only:
            kinds += [self.silence, self.silence, self.cut_off, self.cut_off]
        if self.answers_slow_down:
            kinds += [self.slow_down] * 3
        for kind in draw.sample(kinds, 2):
            time.sleep(draw.uniform(0, 2))
            kind(draw)

    def worker_leaves(self, draw):
        self.server_leaves(None, draw)
        self.counts["servers left"] += 1

    def give_up_layers(self, draw):
        reports = {worker: json.loads(fleets.http("GET", "http://%s/v1/report" % worker.address, timeout=1)[1] or "{}")
                   for worker in self.fleet.workers}
        held = {worker: (report["layers"]["from"], report["layers"]["target"])
                for worker, report in reports.items() if report}
        ready = [worker for worker in held if held[worker][1] > held[worker][0] and worker.name not in self.busy]
        if not ready:
            return
        worker = draw.choice(sorted(ready, key=lambda item: item.name))
        begin, end = held[worker]
        kept = draw.randrange(begin, end)
        begin, end = draw.choice(((kept, end), (begin, kept)))
        order = json.dumps({"operation": "place", "from": begin, "target": end, "mode": "queue"})
        status = fleets.http("POST", "http://%s/v1/order" % worker.address, order, timeout=1)[0]
        self.note("%s: ordered from %s to %s: %d" % (worker.name, held[worker], (begin, end), status))
        self.counts["layers given up"] += status == 202

    def silence(self, draw):
        worker = draw.choice(self.fleet.workers + self.fleet.plain)
        span = self.trouble.begin("workers")
        self.note("%s is silent" % worker.name)
        worker.send(signal.SIGSTOP)
        time.sleep(draw.uniform(2, 3))
        worker.send(signal.SIGCONT)
        span[1] = time.monotonic()
        self.counts["silences"] += 1

    def slow_down(self, draw):
        """Work takes longer, as beside more load; beyond twice as long it is trouble."""
        factor, group = draw.choice((1.5, 2) if self.planned_only else (2, 3, 6)), draw.choice(
            (self.fleet.workers, self.fleet.plain))
        span = self.trouble.begin("workers" if factor > 2 else "load")
        self.note("%s and others: slower by %s" % (group[0].name, factor))
        for server in group:
            self.fleet.worker_faults(server, slow=factor)
        time.sleep(draw.uniform(1.5, 5))
        for server in group:
            self.fleet.worker_faults(server, slow=1)
        span[1] = time.monotonic()
        self.counts["slow-downs"] += 1

    def cut_off(self, draw):
        router = draw.choice(self.fleet.routers)
        span, kind = self.trouble.begin(router.name), draw.choice("hrn")
        self.note("%s is cut off from the workers (%s)" % (router.name, kind))
        with open(self.cut_files[router.name], "w") as file:
            file.write(kind)
        time.sleep(draw.uniform(1, 4))
        try:
            os.unlink(self.cut_files[router.name])
        except FileNotFoundError:
            pass
        span[1] = time.monotonic()
        self.counts["cuts"] += 1

    def play_stops(self):
        until, order = time.monotonic() + self.seconds, []
        while time.monotonic() < until:
            if not order:
                order = self.draw.sample(self.fleet.routers, len(self.fleet.routers))
            # Callers need a router: at least one is not stopping.
            if sum(router.process.name in self.busy for router in self.fleet.routers) < len(self.fleet.routers) - 1:
                self.spawn(self.stop_router, order.pop(), random.Random(self.draw.random()))
            time.sleep(self.draw.uniform(*self.gaps_s))

    # ---- callers ----

    def request(self, name, draw, large):
        """(route, method, path, events, body, chunked) of a request."""
        route = "file" if large else draw.choice(("draft", "draft", "draft", "once", "once", "file", "lookup"))
        events = draw.choice((draw.randrange(3, 60), draw.randrange(60, 270)))
        body = b"b" * (LARGE_BODY if large else draw.choice((0, 0, 1200, 30000)) if route != "lookup" else 0)
        work_ms = draw.choice((5, 200, draw.randrange(200, 5000)))
        query = "?work_ms=%d" % work_ms if route in ("file", "lookup") else ""
        chunked = bool(body) and draw.random() < 0.5
        fields = ("" if not body else "Transfer-Encoding: chunked\r\n" if chunked else
                  "Content-Length: %d\r\n" % len(body))
        head = ("%s /%s/x%s HTTP/1.1\r\nHost: %s\r\nChervilpass-Request-Id: %s\r\nAuthorization: Token %s\r\n"
                "Chervilpass-Deadline-Ms: %d\r\nChervilpass-Token-Counts: 10,%d\r\n%s\r\n" % (
                    "GET" if route == "lookup" else "POST", route, query, platform_fleet.HOST, name, soak.BASE_KEY,
                    1000 * (STREAM_S if route in soak.STREAMS else CALL_S), events, fields)).encode()
        return route, events, head, body, chunked

    def write(self, connection, head, body, chunked, slow_s):
        pieces = 1 if not slow_s else 8
        connection.sendall(head)
        size = -(-len(body) // pieces)
        for piece in range(pieces if body else 0):
            time.sleep(slow_s / pieces)
            data = body[piece * size:(piece + 1) * size]
            if data:
                connection.sendall(b"%x\r\n%s\r\n" % (len(data), data) if chunked else data)
        if chunked:
            connection.sendall(b"0\r\n\r\n")

    def call(self, number, draw):
        """A caller with one connection at a time."""
        style = draw.choice(("fast", "fast", "fast", "slow", "rests"))
        router, reader, count = draw.choice(self.fleet.routers), None, 0
        while not self.stopped:
            if reader is None:
                connection = socket.socket()
                if style != "fast":
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
                connection.settimeout(STREAM_S + 4)
                try:
                    connection.connect((router.ip, platform_fleet.CALLER_PORT))
                except OSError:
                    connection.close()
                    router = draw.choice(self.fleet.routers)
                    time.sleep(0.05)
                    continue
                reader = Reader(connection, draw, style)
            names = []
            for _ in range(2 if draw.random() < 0.15 else 1):
                count += 1
                names.append("c%d-%d" % (number, count))
            kept = self.send(reader, names, router, draw, style)
            if not kept:
                reader.connection.close()
                reader, router = None, draw.choice(self.fleet.routers)
            if draw.random() < 0.5:  # else the next request follows at once
                time.sleep(draw.uniform(0, 0.5))
        if reader:
            reader.connection.close()

    def send(self, reader, names, router, draw, style):
        """Sends the requests at once and reads their answers. Returns whether the connection is kept."""
        requests = [(name,) + self.request(name, draw, style != "fast" and draw.random() < 0.6) for name in names]
        slow_s = draw.uniform(0.2, 2) if len(names) == 1 and draw.random() < 0.2 else 0
        begun = time.monotonic()
        try:
            for _, _, _, head, body, chunked in requests:
                self.write(reader.connection, head, body, chunked, slow_s)
        except OSError:
            if time.monotonic() - begun > 0.5:
                self.counts["not sent whole"] += 1
            return False
        sent, kept = time.monotonic(), True
        for position, (name, route, events, _, body, _) in enumerate(requests):
            seen, kind, detail = {"status": 0, "body": b"", "retry_after": None}, "answered", ""
            begun = time.monotonic()
            if not kept:
                kind, detail = "silent", "behind a close"
            else:
                try:
                    kept = reader.answer(seen)
                except Closed as closed:
                    kept, kind, detail = False, "cut" if seen["status"] else "silent", str(closed)
            if position and detail != "behind a close" and kind == "silent":
                detail = "second, " + detail
            text = seen["body"].decode()
            if route in soak.STREAMS and seen["status"] == 200:
                wrong = self.stream_error(text, events, kind == "answered")
                if wrong:
                    self.fail("ORDER", "%s at %s: %s" % (name, router.name, wrong))
            outcome = Outcome(name, route, router.name, max(sent, begun), time.monotonic(), kind, seen["status"], style,
                              "%s, body %d" % (detail, len(body)), text.count("\n\n"), events)
            self.outcomes.append(outcome)
            if kind != "answered":
                self.note("outcome " + self.show(outcome))
            if seen["status"] in (429, 503):
                time.sleep(min(0.5, float(seen["retry_after"] or 0.1)))
        return kept

    # ---- checks ----

    def collect_runs(self, server):
        text = fleets.http("GET", "http://%s/admin/work_log" % server.address, timeout=1)[1]
        if text:
            self.work[server.name, server.child.pid] = [
                (span["id"], span["begin"] / 1000, span["end"] / 1000 or float("inf")) for span in json.loads(text)]

    def index_work(self):
        self.runs_of = collections.defaultdict(list)  # by request: (server, begin, end)
        for (server, _), spans in self.work.items():
            for request, begin, end in spans:
                self.runs_of[request].append((server, begin, end))

    def index_lines(self):
        self.lines = collections.defaultdict(list)  # by request: (router, event, line)
        for router in self.fleet.routers:
            self.read_unread(router)
            with open(router.process.log, errors="replace") as log:
                for line in log:
                    match = re.search(r'"request":"([^"]+)"', line)
                    event = re.search(r'"event":"([^"]+)"', line)
                    if match and event:
                        self.lines[match.group(1)].append((router.name, event.group(1), line.strip()))

    def read_unread(self, router):
        if router is self.unread:  # what its pipe still holds
            os.set_blocking(router.process.pipe[0], False)
            with open(router.process.log, "ab") as log:
                try:
                    log.write(os.read(router.process.pipe[0], 1 << 20))
                except BlockingIOError:
                    pass

    def show(self, outcome):
        stop = self.stop_of(outcome)
        after = "" if not stop else ", SIGTERM at %+.2f, exit at %+.2f s from its sending" % (
            stop[0] - outcome.sent, stop[1] - outcome.sent)
        return "%s %s at %s: %s %d after %.3f s (%s), %d of %d events, reader %s%s" % (
            outcome.request, outcome.route, outcome.router, outcome.kind, outcome.status, outcome.ended - outcome.sent,
            outcome.detail, outcome.events, outcome.expected, outcome.reader, after)

    def stop_of(self, outcome):
        """The stop of its router that a request touches."""
        return next((stop for stop in self.stops[outcome.router]
                     if stop[0] <= outcome.ended and outcome.sent <= stop[1]), None)

    def passes(self, outcome):
        """Why a request that got no complete answer is not counted, if it is not."""
        runs, stop = self.runs_of[outcome.request], self.stop_of(outcome)
        if not runs and outcome.detail.startswith("behind a close"):
            return "behind a close"
        if not runs and outcome.ended - outcome.sent <= LOSS_SLACK_S:
            return "crossed a close"
        if outcome.ended - outcome.sent >= (STREAM_S if outcome.route in soak.STREAMS else CALL_S) - 0.05:
            return "out of time"
        if stop and outcome.sent <= stop[0] + LATE_S and any(
                begin <= stop[0] + stop[2] and end >= stop[0] + stop[2] * 5 / 6 for _, begin, end in runs):
            return "at work in the last sixth"
        if outcome.reader == "rests":
            return "its caller rested"
        for name in (outcome.router, "workers"):
            if self.trouble.touches(name, outcome.sent, outcome.ended):
                return "beside trouble"
        return ""

    def told(self, outcome):
        """Events of the lines of its router that tell why a request got no complete answer."""
        return sorted({event + ("" if event != "request.ended" else
                                " " + re.search(r'"outcome":"([^"]*)"', line).group(1))
                       for router, event, line in self.lines[outcome.request] if router == outcome.router and
                       (event in TELLING or (event == "request.ended" and '"outcome":"served"' not in line))})

    def check_outcomes(self):
        self.index_work()
        self.index_lines()
        for outcome in self.outcomes:
            runs = self.runs_of[outcome.request]
            shown = "%s, runs %s" % (self.show(outcome), ["%s %+.2f to %+.2f" % (
                server, begin - outcome.sent, end - outcome.sent) for server, begin, end in runs])
            unread = self.unread and outcome.router == self.unread.name
            if outcome.kind != "answered":
                reason = self.passes(outcome)
                self.counts["no answer: " + (reason or "LOST")] += 1
                told = self.told(outcome)
                lines = "; ".join(line for _, _, line in self.lines[outcome.request])
                if not reason:
                    self.fail("LOST", "%s; told by %s; %s" % (shown, told, lines))
                if reason not in ("crossed a close", "behind a close") and not unread:
                    for item in told:
                        self.counts["told by " + item] += 1
                    if not told:
                        self.fail("UNNAMED", "%s; %s; %s" % (reason or "LOST", shown, lines))
            else:
                self.counts["status %d" % outcome.status] += 1
            self.check_named(outcome, shown, unread)
            if outcome.route in soak.ONCE and len(runs) > 1:
                self.fail("TWICE", shown)
            if outcome.route in soak.ONCE and outcome.status in (408, 421, 429, 503) and runs:
                self.fail("REFUSED", shown)

    def check_named(self, outcome, shown, unread):
        """A router that leaves writes a line for each request that it had read."""
        stop = self.stop_of(outcome)
        if not stop or unread or outcome.ended < stop[0] + LINE_SLACK_S:
            return
        if outcome.reader != "fast" and outcome.kind == "answered":
            return  # when the router had written its answer is not known
        read = (outcome.kind == "answered" or self.runs_of[outcome.request] or
                outcome.ended - outcome.sent > LOSS_SLACK_S)
        if outcome.detail.startswith("behind a close") or not read or outcome.sent > stop[1] - LINE_SLACK_S:
            return
        self.counts["in progress at a stop"] += 1
        if not any(router == outcome.router for router, _, _ in self.lines[outcome.request]):
            self.fail("SILENT", shown)

    def play(self):
        for router in self.fleet.routers:
            router.process.start = lambda process=router.process: self.start_unless_closed(process)
        for process in self.fleet.all_processes():
            process.started = time.monotonic()
        self.fleet.start()
        if self.grace_changes:
            for router in self.fleet.routers:
                self.set_grace(router, self.draw.randrange(GRACE_RANGE[0], GRACE_RANGE[1] + 1), True)
        self.spawn(self.watch_processes)
        self.spawn(self.collect_all_runs)
        for number in range(8 if self.few_callers else 30):
            self.spawn(self.call, number, random.Random(self.draw.random()))
        time.sleep(1.5)
        self.play_stops()
        fleets.wait_until(lambda: not self.busy, 2 * GRACE_RANGE[1] + 10, "all stops are over")
        self.stopped = True
        for thread in self.threads:
            thread.join(STREAM_S + 5)
        for server in self.fleet.workers + self.fleet.plain:
            self.collect_runs(server)
        time.sleep(0.3)  # lines are written out each 200 ms
        self.check_outcomes()

    def report(self, name):
        for rule in RULES:
            print("%s: %s %s: %d" % ("FAILED" if self.found[rule] else "ok", name, rule, self.found[rule]), flush=True)
        kind = ", ".join(text for text, on in (
            ("planned work only", self.planned_only), ("grace changes", self.grace_changes),
            ("few callers", self.few_callers), ("slow-downs", self.answers_slow_down),
            ("unread output", self.unread)) if on)
        print("%s: %s: %d requests, %s" % (name, kind or "-", len(self.outcomes), ", ".join(
            "%s %d" % item for item in sorted(self.counts.items()))), flush=True)


def play_seed(seed, subnet, seconds, dense, whole_grace):
    folder = os.path.join(fleets.ROOT, "run", "stops-%d" % subnet, "seed-%d" % seed)
    series = StopSeries(seed, folder, subnet, seconds, dense, whole_grace)
    try:
        series.play()
    finally:
        series.stopped = True
        with series.start_lock:
            series.closed = True
        series.fleet.stop()
    series.report("seed-%d" % seed)
    return sum(series.found.values())


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", nargs=2, type=int, metavar=("FIRST", "LAST"), default=(1, 2))
    parser.add_argument("--seed", type=int)
    parser.add_argument("--seconds", type=float, default=25.0)
    parser.add_argument("--subnet", type=int, default=92)
    parser.add_argument("--dense", action="store_true")
    parser.add_argument("--whole-grace", action="store_true")
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # and stop the fleet
    first, last = (arguments.seed, arguments.seed) if arguments.seed is not None else arguments.seeds
    failed = sum(play_seed(seed, arguments.subnet, arguments.seconds, arguments.dense, arguments.whole_grace)
                 for seed in range(first, last + 1))
    print("stop_series: %d seeds, %d failed checks" % (last - first + 1, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
