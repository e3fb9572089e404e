"""Stops routers in series while each of them has several long streams in progress, and lists every request
that ended without a complete answer, with the runs of it at its backend servers. Real processes on loopback.

    dense_stops.py [--seeds FIRST LAST] [--stops N] [--gap S] [--long-share X] [--form FORM] [--router FILE]
                   [--end HOW@S] [--subnet N]

`--form` draws callers that read slowly ("slow"), close their sending side ("half-closed") or both, beside plain
ones. `--end` ends the play S seconds after the last but one SIGTERM:

    kill          SIGKILL of all routers
    term          SIGTERM of all routers, SIGKILL right after it
    term-1        SIGTERM of all routers, SIGKILL after 1 s
    term-grace    SIGTERM of all routers, SIGKILL at the end of the grace period
    callers       callers close their connections, then SIGKILL of all routers
    workers       SIGKILL of all model workers, and of all routers 0.3 s later

A play without `--end` fails if a request that a router has read ends without a complete answer although no server
was at work on it in the last sixth of the grace period, or it was sent later than 3 s after SIGTERM, or if
a request in progress at the exit has no line request.cut that begins with what tells why. With `--end` the play
reports what the logs name. Any play fails if it has met no stream in progress, or if no line names a stream without a
complete answer that was sent over 0.1 s before the end of its router."""

import argparse
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
import rolling_stops  # noqa: E402
from rolling_stops import DEADLINE_S, GRACE_S, LAST_SIXTH_S, LATEST_SENT_S, LOSS_SLACK_S, Outcome, check  # noqa: E402

STREAM_CALLERS = 14                # of each router
LONG_EVENTS = (240, 420)           # of 30 ms: 7 to 13 s
READ_PIECE, READ_PAUSE_S = 256, 0.01
LAST_EVENT = b"\r\n0\r\n"
WRITTEN_S = 0.1                    # a leaving router writes its lines out within this time
NAMED_EVENTS = ("request.cut", "request.unfinished", "request.draining", "request.ended")


class DenseStops(rolling_stops.Play):
    """Long streams of one kind; requests are judged by the runs at their servers."""

    def __init__(self, seed, folder, subnet, arguments):
        super().__init__(seed, folder, subnet, arguments)
        self.fleet.whole_grace = not arguments.router
        self.fleet.build_routers()
        for router in self.fleet.routers:
            router.process.binary = arguments.router or router.process.binary
        self.connections, self.ended_at = set(), None

    # ---- callers ----

    def call_streams(self, number, home, draw):
        count = 0
        while not self.stopped:
            count += 1
            self.stream("d%d-%d-%d" % (self.seed, number, count), self.choose(home, draw), draw)
            time.sleep(draw.uniform(0, 0.2))

    def form(self, draw):
        forms = {"plain": ["plain"], "mixed": ["plain", "slow", "half-closed"]}
        return draw.choice(forms.get(self.arguments.form, ["plain", self.arguments.form]))

    def stream(self, request, router, draw):
        events = (draw.randrange(*LONG_EVENTS) if draw.random() < self.arguments.long_share
                  else rolling_stops.draw_events(draw, 0))
        route, form = draw.choice(("draft", "draft", "once")), self.form(draw)
        body = b"b" * draw.randrange(200, 1400)
        framing = "Content-Length: %d" % len(body)
        if draw.random() < 0.5:
            framing = "Transfer-Encoding: chunked"
            body = b"64\r\n" + body[:100] + b"\r\n%x\r\n" % (len(body) - 100) + body[100:] + b"\r\n0\r\n\r\n"
        head = ("POST /%s/x HTTP/1.1\r\nHost: %s\r\nChervilpass-Request-Id: %s\r\nAuthorization: Token key-skagen\r\n"
                "Chervilpass-Deadline-Ms: %d\r\nChervilpass-Token-Counts: 10,%d\r\n%s\r\n\r\n" % (
                    route, platform_fleet.HOST, request, DEADLINE_S * 1000, events, framing)).encode()
        connection = socket.socket()
        connection.settimeout(DEADLINE_S + 2)
        try:
            if form == "slow":
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            connection.connect((router.ip, platform_fleet.CALLER_PORT))
            connection.sendall(head + body)
            if form == "half-closed":
                connection.shutdown(socket.SHUT_WR)
        except OSError:
            connection.close()
            return
        self.connections.add(connection)
        sent = time.monotonic()
        data = self.read(connection, form)
        ended = time.monotonic()
        self.connections.discard(connection)
        connection.close()
        status = int(data[9:12] or 0) if data.startswith(b"HTTP/1.1 ") else 0
        whole = LAST_EVENT in data if b"chunked" in data.split(b"\r\n\r\n")[0] else bool(data)
        kind = "answered" if whole else "cut" if status else "silent"
        self.outcomes.append(Outcome(request, route, form, router, sent, ended, kind, status,
                                     data.count(b"\n\n") if status == 200 else 0, events))

    def read(self, connection, form):
        data = b""
        try:
            while not self.stopped or self.ended_at is None:
                piece = connection.recv(READ_PIECE if form == "slow" else 65536)
                data += piece
                whole = data.endswith(b"\r\n0\r\n\r\n")
                if not piece or whole or b"Content-Length" in data.split(b"\r\n\r\n")[0]:
                    break
                if form == "slow":
                    time.sleep(READ_PAUSE_S)
        except OSError:
            pass
        return data

    # ---- the play ----

    def play(self):
        self.fleet.start()
        for index, router in enumerate(self.fleet.routers):
            for copy in range(STREAM_CALLERS):
                self.spawn(self.call_streams, index * 20 + copy, router, random.Random(self.draw.random()))
        time.sleep(rolling_stops.WARM_UP_S + 2)
        order = list(self.fleet.routers)
        self.draw.shuffle(order)
        begun, series, end_at = time.monotonic(), [], None
        for number in range(1, self.arguments.stops + 1):
            time.sleep(max(0.0, begun + (number - 1) * self.arguments.gap - time.monotonic()))
            self.stops.append(rolling_stops.Stop(number, order[(number - 1) % len(order)], [], self.arguments))
            if self.arguments.end is None:
                series.append(threading.Thread(target=self.stops[-1].play, daemon=True))
            elif number < self.arguments.stops - 1:
                series.append(threading.Thread(target=self.stops[-1].play, daemon=True))
            else:
                series.append(threading.Thread(target=lambda: None))
                end_at = end_at or time.monotonic() + self.arguments.end[1]
            series[-1].start()
        if end_at:
            time.sleep(max(0.0, end_at - time.monotonic()))
            self.end(self.arguments.end[0])
        for thread in series:
            thread.join()
        if not end_at:
            time.sleep(rolling_stops.AFTERWARDS_S)
        self.stopped = True
        for thread in self.threads:
            thread.join(DEADLINE_S)
        self.read_logs()

    def end(self, how):
        self.ended_at = time.monotonic()
        processes = [router.process for router in self.fleet.routers]
        if how == "callers":
            for connection in list(self.connections):
                try:
                    connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
        elif how == "workers":
            for worker in self.fleet.workers:
                worker.kill()
            time.sleep(0.3)
        elif how.startswith("term"):
            for process in processes:
                if process.running():
                    process.send(signal.SIGTERM)
            time.sleep({"term": 0.0, "term-1": 1.0, "term-grace": GRACE_S}[how])
        for process in processes:
            if process.running():
                process.kill()
        self.stopped = True

    def read_logs(self):
        self.spans, self.lines, self.unclear = collections.defaultdict(list), collections.defaultdict(list), []
        for worker in self.fleet.workers:
            if worker.running():
                for span in json.loads(fleets.http("GET", "http://%s/admin/work_log" % worker.address, timeout=5)[1]):
                    self.spans[span["id"]].append((worker.name, span["begin"] / 1000, span["end"] / 1000))
        for router in self.fleet.routers:
            with open(router.process.log) as log:
                for line in log:
                    if '"request":"d%d-' % self.seed not in line:
                        continue
                    fields = json.loads(line)
                    self.lines[fields["request"]].append("%s %s" % (router.name, fields["event"]))
                    if rolling_stops.lacks_facts(fields["event"], line):
                        self.unclear.append(line[:rolling_stops.KEPT_CHARACTERS])

    # ---- the verdict ----

    def excuse(self, outcome, stop):
        """Why a request without a complete answer at its router's stop is let pass; empty if it is not."""
        if outcome.kind == "silent" and not self.spans[outcome.request] and outcome.ended - outcome.sent <= LOSS_SLACK_S:
            return "not read"
        if outcome.sent - stop.begun > LATEST_SENT_S:
            return ""
        # The latest run is the one that the caller was receiving.
        latest = max(self.spans[outcome.request], key=lambda span: span[1], default=None)
        at_work = latest is not None and (latest[2] == 0 or latest[2] >= stop.begun + LAST_SIXTH_S)
        return "at work in the last sixth" if at_work else ""

    def stop_around(self, outcome):
        found = [stop for stop in self.stops if stop.router is outcome.router and
                 stop.begun <= outcome.ended <= stop.begun + GRACE_S + rolling_stops.AFTERWARDS_S]
        return found[-1] if found else None

    def report_dense(self, name):
        failed = [(outcome, self.stop_around(outcome)) for outcome in self.outcomes if outcome.kind != "answered"]
        lost, unnamed, cut = [], [], 0
        for outcome, stop in sorted(failed, key=lambda entry: entry[0].ended):
            if stop is None:
                continue
            excuse = self.excuse(outcome, stop)
            cut += excuse != "not read"
            events = NAMED_EVENTS + (("request.sent_while_leaving",) if self.ended_at else ())
            lines = [line for line in self.lines[outcome.request] if line.split()[1] in events]
            known = outcome.ended - outcome.sent > WRITTEN_S or not self.ended_at
            if not excuse:
                lost.append(outcome)
            if excuse != "not read" and not lines and known:
                unnamed.append(outcome)
            spans = ", ".join("%s %+.2f to %s" % (worker, begin - stop.begun,
                                                  "%+.2f" % (end - stop.begun) if end else "-")
                              for worker, begin, end in self.spans[outcome.request])
            print("  %s: stop %d, %s %s %s %s: status %d, sent %+.2f, ended %+.2f, %d of %d events; runs %s; lines %s" % (
                excuse or "LOST", stop.number, stop.router.name, outcome.request, outcome.form, outcome.kind,
                outcome.status, outcome.sent - stop.begun, outcome.ended - stop.begun, outcome.events,
                outcome.expected, spans or "none", ", ".join(lines) or "none"))
        print("%s: %d of %d requests without a complete answer at %d stops; LOST %d, without a line %d" % (
            name, cut, len(self.outcomes), len(self.stops), len(lost), len(unnamed)))
        if self.arguments.end is None:
            beside = sum(stop is None for _, stop in failed)
            check("%s: no request is lost" % name, not lost, len(lost))
            check("%s: lines begin with what tells why" % name, not self.unclear, self.unclear[:2])
            check("%s: no request ends without an answer beside no stop" % name, not beside, beside)
        check("%s: no request without a complete answer has no line" % name, not unnamed, len(unnamed))
        check("%s: streams were in progress at exits" % name, cut, cut)


def parse_end(text):
    how, after_s = text.split("@")
    return how, float(after_s)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", nargs=2, type=int, metavar=("FIRST", "LAST"), default=(1, 1))
    parser.add_argument("--stops", type=int, default=6)
    parser.add_argument("--gap", type=float, default=rolling_stops.GAP_S)
    parser.add_argument("--long-share", type=float, default=0.35)
    parser.add_argument("--form", default="plain", choices=("plain", "slow", "half-closed", "mixed"))
    parser.add_argument("--router", metavar="FILE", type=os.path.abspath)
    parser.add_argument("--end", type=parse_end, metavar="HOW@S")
    parser.add_argument("--subnet", type=int, default=120)
    arguments = parser.parse_args()
    arguments.kills_next, arguments.restart_after = False, 0.3
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # and stop the fleet
    for seed in range(arguments.seeds[0], arguments.seeds[1] + 1):
        folder = os.path.join(fleets.ROOT, "run", "dense-stops-%d" % arguments.subnet, "seed-%d" % seed)
        play = DenseStops(seed, folder, arguments.subnet, arguments)
        try:
            play.play()
        finally:
            play.stopped = True
            play.fleet.stop()
        play.report_dense("seed %d" % seed)
    return 1 if rolling_stops.FAILED else 0


if __name__ == "__main__":
    sys.exit(main())
