"""Plays a series of stops, 3.5 s apart, while a share of the answers of backend servers is in trouble, and looks at
each request that ends without a whole answer beside a stop. Real processes on loopback; played by hand.

    troubled_servers.py KIND [--seeds FIRST LAST] [--share X] [--deadline S] [--seconds S] [--router FILE] [--list]
                        [--subnet N]

A relay of this script stands between the routers and all servers; the addresses that servers register are its own.
KIND is what it does to a share of the answers: status0, status101 (that status, the body stays), status0_empty (000,
no body, the connection is kept), hang_first, hang_head, hang_mid, hang_end (nothing more before the answer, after its
head, within it, before its end), half_close, head_close, no_seal, no_length, no_length_hang (without a length; the
connection stays open), extra, extra_late (a second answer, at once, or up to 1 s later and then also in the middle of the next one, which
the users' servers don't do), slow5 (five times as long).
Reports, orders and health are left alone. A quarter of the callers give up after 2 s without a byte.

A request counts beside a stop if it has reached a server, or ends later than 0.2 s after it was sent, and ends without a
whole answer between its router's SIGTERM and 9 s later. Excused are a server that breaks off, a time limit, a caller that
gives up, and a request that was sent no later than 3 s after the signal and is at work in the last sixth of the grace
period. A play fails if

 - LOST: a request beside a stop has no excuse;
 - UNNAMED: no line of a router names a request beside a stop, excused or not;
 - UNFINISHED: a stream whose server hangs before the end (hang_end) is not completed, although another server has
   answered its resumption whole;
 - WRONG, FOREIGN: a 200 has another body, or a connection has bytes of no answer."""

import argparse
import asyncio
import collections
import json
import os
import random
import signal
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
import fleet as fleets  # noqa: E402
import lost_requests  # noqa: E402
import platform_fleet  # noqa: E402

KINDS = ("none", "status0", "status0_empty", "status101", "hang_first", "hang_head", "hang_mid", "hang_end", "half_close",
         "head_close", "no_seal", "no_length", "no_length_hang", "extra", "extra_late", "slow5")
FORMS = ("kept", "fresh", "giveup", "pieces", "line", "giveup", "half", "kept")
GIVE_UP_S = 2.0
SLOWER_S = 0.12                    # later by that: each event of a slow stream
SLOW_EVENTS = 60                   # at most, so that slow streams can end within the deadline
EXTRA_DELAYS_S = (0.001, 0.02, 0.3, 1.0)
RELAY_PORT, RELAY_STORE_OCTET = 8100, 201
EXTRA = (b"HTTP/1.1 200 OK\r\nChervilpass-Request-Id: extra\r\nChervilpass-Server-Seal: extra\r\nContent-Length: 5\r\n\r\n"
         b"extra")


def field(head, name):
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.strip().lower() == name:
            return value.strip().decode()
    return None


def without(head, *names):
    lines = head.split(b"\r\n")
    return b"\r\n".join(lines[:1] + [line for line in lines[1:] if line.partition(b":")[0].strip().lower() not in names])


async def read_pieces(reader, head):
    """Yields (bytes as received, payload) of a body; the last piece of one in chunks has no payload."""
    if (field(head, b"transfer-encoding") or "").lower() == "chunked":
        size = -1
        while size != 0:
            line = await reader.readuntil(b"\r\n")
            size = int(line.split(b";")[0], 16)
            rest = await reader.readexactly(size + 2)
            yield line + rest, rest[:-2]
        return
    data = await reader.readexactly(int(field(head, b"content-length") or 0))
    middle = (len(data) + 1) // 2
    for part in (data[:middle], data[middle:]):
        if part:
            yield part, part


class Gone(Exception):
    """The router has closed the connection."""


class Relay:
    """Passes on what routers and servers send to each other, and troubles a share of the answers."""

    def __init__(self, arguments):
        self.kind, self.share, self.subnet = arguments.kind, arguments.share, arguments.subnet
        self.draw, self.octets = random.Random(arguments.seeds[0]), arguments.relay_octets
        self.log = open(arguments.relay_log, "w", buffering=1)

    def note(self, **fields):
        self.log.write(json.dumps(fields) + "\n")

    # Registrations, paths and At-Server name servers by their addresses.
    def to_servers(self, data):
        return data.replace(b":%d" % RELAY_PORT, b":%d" % platform_fleet.WORKER_PORT)

    def to_routers(self, data):
        return data.replace(b":%d" % platform_fleet.WORKER_PORT, b":%d" % RELAY_PORT)

    async def run(self):
        servers = [await asyncio.start_server(lambda reader, writer, octet=octet: self.serve(octet, reader, writer),
                                              "127.0.%d.%d" % (self.subnet, octet), RELAY_PORT, limit=1 << 22)
                   for octet in self.octets]
        servers.append(await asyncio.start_server(self.pass_to_store, "127.0.%d.%d" % (self.subnet, RELAY_STORE_OCTET),
                                                  platform_fleet.STORE_PORT))
        self.note(event="ready")
        await asyncio.Event().wait()

    async def pass_to_store(self, reader, writer):
        async def copy(source, target, change):
            try:
                while data := await source.read(65536):
                    target.write(change(data))
                    await target.drain()
            except OSError:
                pass
            target.close()
        try:
            store, to_store = await asyncio.open_connection("127.0.%d.200" % self.subnet, platform_fleet.STORE_PORT)
        except OSError:
            writer.close()
            return
        await asyncio.gather(copy(reader, to_store, self.to_routers), copy(store, writer, lambda data: data))

    async def serve(self, octet, reader, writer):
        try:
            server, to_server = await asyncio.open_connection("127.0.%d.%d" % (self.subnet, octet),
                                                              platform_fleet.WORKER_PORT, limit=1 << 22)
        except OSError:
            writer.close()
            return
        watcher = asyncio.create_task(self.watch(reader, to_server))
        try:
            while await self.exchange(octet, reader, writer, server, to_server):
                pass
        except (Gone, OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        watcher.cancel()
        writer.close()
        to_server.transport.abort()

    async def watch(self, reader, to_server):
        while not reader.at_eof() and not reader._eof:
            await asyncio.sleep(0.01)
        to_server.transport.abort()

    async def hold(self, reader, writer):
        while not reader._eof and not writer.is_closing():
            await asyncio.sleep(0.01)
        raise Gone()

    async def exchange(self, octet, reader, writer, server, to_server):
        """Passes on one request and its answer; False if the connection ends then."""
        head = await reader.readuntil(b"\r\n\r\n")
        begun, request, kind = time.monotonic(), None, "none"
        path = head.split(b" ")[1]
        if not path.startswith((b"/health", b"/v1/", b"/admin", b"/part")):
            request = field(head, b"chervilpass-request-id") or ""
            if self.draw.random() < self.share and not request.startswith("probe-"):
                kind = self.kind
            self.note(event="begin", request=request, at=begun, server=octet)
        body = b"".join([raw async for raw, _ in read_pieces(reader, head)])
        to_server.write(self.to_servers(head) + body)
        await to_server.drain()
        why = "router"
        try:
            why = await self.answer(kind, begun, reader, writer, server)
        finally:
            if request is not None:
                self.note(event="end", request=request, at=time.monotonic(), kind=kind, why=why, server=octet)
        return why == "whole" and kind != "no_length"

    async def answer(self, kind, begun, reader, writer, server):
        head = await server.readuntil(b"\r\n\r\n")
        if b" 200 " not in head[:14]:
            kind = "none"
        stream = b"chunked" in head.lower()
        if kind == "slow5" and not stream:
            await asyncio.sleep(4 * (time.monotonic() - begun))
        if kind == "hang_first":
            await self.hold(reader, writer)
        await self.put(writer, self.troubled_head(kind, head))
        if kind in ("hang_head", "status0_empty"):
            await self.hold(reader, writer)
        if kind == "head_close":
            return "broke"
        stop_after, count = self.draw.choice((1, self.draw.randrange(1, 100))) if stream else 1, 0
        async for raw, payload in read_pieces(server, head):
            at_end = not payload if stream else count == 1
            if kind in ("hang_mid", "half_close") and (count >= stop_after or at_end):
                if kind == "half_close":
                    return "broke"
                await self.hold(reader, writer)
            if kind == "hang_end" and stream and at_end:
                await self.hold(reader, writer)
            count += 1
            await self.put(writer, (payload if kind.startswith("no_length") else raw) +
                           (EXTRA if kind == "extra" and at_end else b""))
            if kind == "slow5" and stream:
                await asyncio.sleep(SLOWER_S)
        if kind == "no_length_hang":
            await self.hold(reader, writer)
        if kind == "extra_late":
            asyncio.get_running_loop().call_later(self.draw.choice(EXTRA_DELAYS_S),
                                                  lambda: None if writer.is_closing() else writer.write(EXTRA))
        return "whole"

    def troubled_head(self, kind, head):
        if kind in ("status0", "status0_empty", "status101"):
            head = head.replace(b"HTTP/1.1 200", b"HTTP/1.1 " + (b"101" if kind == "status101" else b"000"), 1)
        if kind == "status0_empty":
            return without(head, b"content-length", b"transfer-encoding")[:-2] + b"Content-Length: 0\r\n\r\n"
        if kind == "no_seal":
            return without(head, b"chervilpass-server-seal")
        if kind.startswith("no_length"):
            return without(head, b"content-length", b"transfer-encoding")
        return head

    async def put(self, writer, data):
        writer.write(self.to_routers(data))
        await writer.drain()


class Play(lost_requests.Play):
    def __init__(self, seed, arguments):
        arguments.sabotage = None
        super().__init__("sigterm", seed, arguments)
        self.arguments, self.troubled, self.run_spans = arguments, set(), collections.defaultdict(list)
        self.lines = collections.defaultdict(list)
        for router in self.fleet.routers:
            router.process.binary = arguments.router or router.process.binary
        octets = []
        for process in self.fleet.workers + self.fleet.plain:
            with open(process.config) as config:
                text = config.read()
            with open(process.config, "w") as config:
                config.write(text.replace(self.fleet.store_address(), "127.0.%d.%d:%d" % (
                    arguments.subnet, RELAY_STORE_OCTET, platform_fleet.STORE_PORT)))
            octets.append(process.address.split(":")[0].split(".")[-1])
        self.relay_log = os.path.join(self.fleet.folder, "relay.jsonl")
        self.relay_process = subprocess.Popen(
            [sys.executable, os.path.abspath(__file__), arguments.kind, "--seeds", str(seed), str(seed), "--share",
             str(arguments.share), "--subnet", str(arguments.subnet), "--relay-log", self.relay_log, "--relay-octets"] + octets)
        fleets.wait_until(self.relay_runs, 10, "the relay runs")

    def relay_runs(self):
        try:
            with open(self.relay_log) as log:
                return "ready" in log.read()
        except OSError:
            return False

    def request(self, name, form, draw):
        route, pieces, expected = super().request(name, form, draw)
        if self.arguments.kind == "slow5" and isinstance(expected, int) and expected > SLOW_EVENTS:
            pieces = [piece.replace("Token-Counts: 10,%d" % expected, "Token-Counts: 10,%d" % SLOW_EVENTS) for piece in pieces]
            expected = SLOW_EVENTS
        return route, pieces, expected

    def exchange(self, connection, reader, name, router, form, answers, draw):
        connection.settimeout(GIVE_UP_S if form == "giveup" else self.arguments.deadline + 2)
        return super().exchange(connection, reader, name, router, form, answers, draw)

    def read_logs(self):
        open_runs = {}
        with open(self.relay_log) as log:
            for line in log:
                fields = json.loads(line)
                if fields["event"] == "begin":
                    run = [fields["at"], float("inf"), "open", "none"]
                    self.run_spans[fields["request"]].append(run)
                    open_runs[fields["request"], fields["server"]] = run
                elif fields["event"] == "end":
                    open_runs[fields["request"], fields["server"]][1:] = [fields["at"], fields["why"], fields["kind"]]
                    if fields["kind"] != "none":
                        self.troubled.add(fields["request"])
        for router in self.fleet.routers:
            with open(router.process.log) as log:
                for line in log:
                    if '"request":"%s' % self.prefix in line:
                        fields = json.loads(line)
                        self.lines[fields["request"]].append(" ".join(
                            [fields["event"]] + [fields[name] for name in ("outcome", "reason") if fields.get(name)]))

    def excuses(self, outcome, term):
        runs, took_s = self.run_spans[outcome.request], outcome.ended - outcome.sent
        if "timed out" in outcome.detail:
            yield "gave up"
        if any(why == "broke" and end <= outcome.ended + 0.05 for _, end, why, _ in runs):
            yield "broke off"
        limit_s = lost_requests.DEADLINE_S if outcome.route in ("draft", "once") else lost_requests.CALL_TIMEOUT_S
        if took_s >= min(limit_s, self.arguments.deadline) - 0.05:
            yield "time"
        if outcome.sent <= term + lost_requests.LATEST_SENT_S and any(
                begin < term + lost_requests.GRACE_S and end >= term + lost_requests.LAST_SIXTH_S
                for begin, end, _, _ in runs):
            yield "last sixth"

    def report_trouble(self, name, show):
        self.read_logs()
        found, counts = collections.defaultdict(list), collections.Counter()
        for outcome in self.outcomes:
            if outcome.kind == "answered":
                if outcome.status == 200 and not outcome.whole:
                    found["WRONG"].append((outcome, None, []))
                continue
            runs = self.run_spans[outcome.request]
            hung = any(kind == "hang_end" for _, _, _, kind in runs)
            if hung and outcome.route == "draft" and any(why == "whole" for _, _, why, _ in runs):
                found["UNFINISHED"].append((outcome, None, []))
            if not self.run_spans[outcome.request] and outcome.ended - outcome.sent <= lost_requests.LOSS_SLACK_S:
                continue
            term = self.begun_before(self.stops[outcome.router], outcome.ended)
            if term is None or outcome.ended > term + lost_requests.GRACE_S + lost_requests.AFTERWARDS_S:
                continue
            excuses = list(self.excuses(outcome, term))
            counts["+".join(excuses) or "none"] += 1
            if not excuses:
                found["LOST"].append((outcome, term, excuses))
            if not self.lines[outcome.request]:
                found["UNNAMED"].append((outcome, term, excuses))
        print("%s: %d requests, %d stops, %d answers in trouble; beside a stop without a whole answer, by excuse: %s" % (
            name, len(self.outcomes), sum(map(len, self.stops.values())), len(self.troubled), dict(counts)))
        for rule in ("LOST", "UNNAMED", "UNFINISHED", "WRONG"):
            print("%s: %s %s: %d" % ("FAILED" if found[rule] else "ok", name, rule, len(found[rule])))
            for outcome, term, excuses in found[rule][:20 if show else 5]:
                base = term if term is not None else outcome.sent
                print("    %s (%s, %s) at %s: %s %d, sent %+.2f s, ended %+.2f s after %s; %s; runs %s; lines: %s" % (
                    outcome.request, outcome.route, outcome.form, outcome.router, outcome.kind, outcome.status,
                    outcome.sent - base, outcome.ended - base, "SIGTERM" if term is not None else "it was sent",
                    outcome.detail, ["%+.2f to %+.2f s, %s, %s" % (begin - base, end - base, why, kind)
                                     for begin, end, why, kind in self.run_spans[outcome.request]],
                    ", ".join(self.lines[outcome.request]) or "none"))
        for rule in ("FOREIGN", "SCRIPT"):
            print("%s: %s %s: %d %s" % ("FAILED" if self.found[rule] else "ok", name, rule, len(self.found[rule]),
                                        self.found[rule][:3]))
        sys.stdout.flush()
        return sum(map(len, found.values())) + len(self.found["FOREIGN"]) + len(self.found["SCRIPT"])


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("kind", choices=KINDS)
    parser.add_argument("--seeds", nargs=2, type=int, metavar=("FIRST", "LAST"), default=(1, 1))
    parser.add_argument("--share", type=float, default=0.12)
    parser.add_argument("--deadline", type=float, default=15)
    parser.add_argument("--seconds", type=float, default=22)
    parser.add_argument("--router", metavar="FILE", type=os.path.abspath)
    parser.add_argument("--list", action="store_true")
    parser.add_argument("--subnet", type=int, default=231)
    parser.add_argument("--relay-log", help=argparse.SUPPRESS)
    parser.add_argument("--relay-octets", nargs="*", type=int, help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.relay_log:
        asyncio.run(Relay(arguments).run())
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # and stop the fleet
    lost_requests.DEADLINE_S, lost_requests.FORMS = arguments.deadline, FORMS
    failed = 0
    for seed in range(arguments.seeds[0], arguments.seeds[1] + 1):
        play = Play(seed, arguments)
        try:
            play.play()
        finally:
            play.stopped = True
            play.fleet.stop()
            play.relay_process.terminate()
            play.relay_process.wait()
        failed += play.report_trouble("%s, seed %d" % (arguments.kind, seed), arguments.list)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
