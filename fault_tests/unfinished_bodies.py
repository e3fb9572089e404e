"""Lets a small crowd of untrusted callers send a router bodies that stay unfinished, and looks at
the memory that the process and the kernel hold for it. Real processes on loopback.

    unfinished_bodies.py [--cell NAME]... [--group NAME]... [--subnet N]
                         [--memory-mb N --descriptors N --callers N]

The last three play the cells by hand with the limits of a VM and another crowd; the tests keep theirs.

A cell fails if the router's process ends, if its resident memory and the kernel's queues of its
sockets together pass MEMORY_SHARE of limits.memory_mb, if it opens more than limits.descriptors,
or if no ordinary request is answered after the crowd has stopped sending. The cell "mixed" also fails
if a refusal is not of the documented form, or if an unfinished request has run at a server."""

import argparse
import itertools
import json
import os
import re
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
import endless_bytes  # noqa: E402
import fleet as fleets  # noqa: E402
import platform_fleet  # noqa: E402
from endless_bytes import CHUNKED, HEAD, KEY  # noqa: E402

MEMORY_LIMIT_MB = 96
MEMORY_SHARE = 0.8       # of the limit
DESCRIPTORS = 800        # about 250 of them for callers
CALLERS = 200
SECONDS = 6.0            # that the crowd sends for
RECONNECT_S = 0.2
SAMPLE_S = 0.1
ANSWER_S = 60.0          # generous: until an ordinary request is answered
STALL_S = 20.0           # a caller's own limit for one write
GIVE_UP_MB = 1500        # a cell ends here
BODY_BYTES = endless_bytes.BODY_BYTES
ANSWER_BYTES = 2 * 1024 * 1024
UNKNOWN_KEY = b"Authorization: Token key-unknown\r\n"
LENGTH = b"Content-Length: %d\r\n" % BODY_BYTES
SHORT_BODY = b"a" * (BODY_BYTES - 1)
LARGE_CHUNKS = (b"10000\r\n" + endless_bytes.PIECE + b"\r\n") * (BODY_BYTES // 65536 - 1) + b"ffff\r\n" + b"a" * 65535
SMALL_CHUNKS = b"1\r\na\r\n" * (BODY_BYTES // 6)
SMALL_PIECE = 16 * 1024
GET = b"GET /%s/x HTTP/1.1\r\n" + HEAD.split(b"\r\n", 1)[1] + KEY
FILLED_GET = GET + b"X-A: " + b"a" * 8192 + b"\r\n\r\n"
FAILED = []


def in_pieces(data):
    for begin in range(0, len(data), SMALL_PIECE):
        yield data[begin:begin + SMALL_PIECE]
        time.sleep(0.005)


def again(data):
    while True:
        yield data


def body(fields, data, pieces=False):
    """A form: what a caller sends first, and the pieces that follow."""
    return HEAD + fields, lambda: in_pieces(data) if pieces else [data]


# By name: what a caller sends on a connection. It reads no answer, except for "continue".
FORMS = {
    "length": body(KEY + LENGTH + b"\r\n", SHORT_BODY),
    "length-pieces": body(KEY + LENGTH + b"\r\n", SHORT_BODY, True),
    "length-unknown-key": body(UNKNOWN_KEY + LENGTH + b"\r\n", SHORT_BODY),
    "length-no-key": body(LENGTH + b"\r\n", SHORT_BODY),
    "continue": body(KEY + LENGTH + b"Expect: 100-continue\r\n\r\n", SHORT_BODY),
    "chunks": body(KEY + CHUNKED, LARGE_CHUNKS),
    "chunks-pieces": body(KEY + CHUNKED, LARGE_CHUNKS, True),
    "chunks-unknown-key": body(UNKNOWN_KEY + CHUNKED, LARGE_CHUNKS),
    "chunks-no-key": body(CHUNKED, LARGE_CHUNKS),
    "small-chunks": body(KEY + CHUNKED, SMALL_CHUNKS),
    "small-chunks-pieces": body(KEY + CHUNKED, SMALL_CHUNKS, True),
    "trailers": (HEAD + KEY + CHUNKED + b"1\r\na\r\n0\r\n", lambda: again(b"X-A: b\r\n" * 2048)),
    "trailers-no-key": (HEAD + CHUNKED + b"1\r\na\r\n0\r\n", lambda: again(b"X-A: b\r\n" * 2048)),
    "length-whole": body(KEY + LENGTH + b"\r\n", SHORT_BODY + b"a"),
    "chunks-whole": body(KEY + CHUNKED, LARGE_CHUNKS + b"\r\n0\r\n\r\n"),
    "small-chunks-whole": body(KEY + CHUNKED, SMALL_CHUNKS + b"0\r\n\r\n"),
    "pipelined": (b"", lambda: again(FILLED_GET)),
    "unread-answers": (GET + b"\r\n", lambda: []),
}
MAY_RUN = ("length-whole", "chunks-whole", "small-chunks-whole", "pipelined", "unread-answers")
GROUPS = {
    "lengths": ["length", "length-pieces", "length-unknown-key", "length-no-key", "continue"],
    "chunks": ["chunks", "chunks-pieces", "chunks-unknown-key", "chunks-no-key", "small-chunks", "small-chunks-pieces",
               "trailers", "trailers-no-key"],
    "answers": ["pipelined", "unread-answers"],
    "listeners": ["listeners-length", "listeners-chunks", "listeners-pipelined", "listeners-small-chunks",
                  "listeners-trailers"],
    "whole": ["length-whole", "chunks-whole", "small-chunks-whole"],
    "mixed": ["mixed"],
}
CELLS = [cell for cells in GROUPS.values() for cell in cells]
PORTS = endless_bytes.PORTS
PORT_PATHS = {"readiness": b"/v1/ready", "directory": b"/v1/resolve?name=app.example&zone=hal-1",
              "metrics": b"/metrics", "peers": b"/v1/state", "forwarded": b"/lookup/x"}


def make_answer(request, body):
    return (b"HTTP/1.1 200 OK\r\nChervilpass-Instance-Id: large\r\nChervilpass-Request-Id: %s\r\n"
            b"Chervilpass-Server-Seal: s\r\nContent-Length: %d\r\n\r\n" % (request, len(body)) + body)


class LargeAnswers:
    """A backend server whose answers are large."""

    def __init__(self, ip):
        self.listener = socket.create_server((ip, platform_fleet.WORKER_PORT), backlog=512)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        try:
            with connection:
                connection.settimeout(STALL_S)
                while data := endless_bytes.read_head(connection):
                    request = re.search(rb"(?i)chervilpass-request-id: ([^\r]*)", data)
                    answer = b"" if data.startswith(b"GET /health") else b"a" * ANSWER_BYTES
                    connection.sendall(make_answer(request[1] if request else b"", answer))
        except OSError:
            pass


class LimitedFleet(platform_fleet.PlatformFleet):
    """One router with lowered limits, and a route to the server with large answers."""

    def add_router(self, data_centre, ip):
        router = super().add_router(data_centre, ip)
        with open(router.process.config) as file:
            text = file.read()
        with open(router.process.config, "w") as file:
            file.write(text.replace("limits: {", "limits: {memory_mb: %d, descriptors: %d, " %
                                    (MEMORY_LIMIT_MB, DESCRIPTORS)))
        return router

    def config(self):
        config = super().config()
        config["routes"].append({"name": "noise", "host": platform_fleet.HOST, "pathPrefix": "/noise/",
                                 "kind": "idempotent", "timeoutMs": 9000, "sloMs": 500, "service": "register-2",
                                 "attempts": 1})
        return config


class Caller(threading.Thread):
    """Sends one form on one connection after the other until `stopped`, and keeps the last one. If
    `keeps_refusals`, it reads what it has got once the router has ended the connection."""

    def __init__(self, ip, port, name, form, path, keeps_refusals=False):
        super().__init__(daemon=True)
        self.address, self.name, self.form, self.path = (ip, port), name, form, path
        self.connection, self.stopped, self.connections = None, False, 0
        self.keeps_refusals, self.refusals, self.first_bytes = keeps_refusals, [], b""

    def run(self):
        while not self.stopped:
            try:
                self.connection = socket.socket()
                self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)  # the router's side holds answers
                self.connection.settimeout(STALL_S)
                self.connection.connect(self.address)
                self.connections += 1
                self.send_form()
            except OSError:
                pass
            if not self.stopped:
                if self.keeps_refusals:
                    self.keep_refusal()
                self.connection.close()
                time.sleep(RECONNECT_S)

    def fill(self, data):
        request = b"%s-%d" % (self.name.encode(), self.connections)
        return data.replace(b"/%s/x", self.path).replace(b"%s", request)

    def send_form(self):
        first, pieces = self.form
        self.connection.sendall(self.fill(first))
        if b"100-continue" in first:
            self.first_bytes = self.connection.recv(1024)
        for piece in pieces():
            if self.stopped:
                return
            self.connection.sendall(self.fill(piece) if piece.startswith(b"GET ") else piece)
        while not self.stopped and not self.ended():
            time.sleep(SAMPLE_S)

    def keep_refusal(self):
        data, self.first_bytes = self.first_bytes, b""
        try:
            self.connection.settimeout(0)
            while piece := self.connection.recv(65536):
                data += piece
        except OSError:
            pass
        data = data.removeprefix(b"HTTP/1.1 100 Continue\r\n\r\n")
        if data:
            self.refusals.append(data)

    def ended(self):
        """True once the router has closed the connection. Reads nothing."""
        info = self.connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return info[0] != 1  # TCP_ESTABLISHED


class Usage:
    """Samples what the router's process and the kernel hold for it; keeps the peaks."""

    def __init__(self, router):
        self.router, self.pid = router, router.process.child.pid
        address = socket.inet_aton(router.ip)[::-1].hex().upper()
        self.local = re.compile(r" *\d+: (%s):" % address)
        self.peak, self.resident, self.queues, self.descriptors = 0.0, 0.0, 0.0, 0

    def sockets(self):
        names = []
        for name in os.listdir("/proc/%d/fd" % self.pid):
            try:
                names.append(os.readlink("/proc/%d/fd/%s" % (self.pid, name)))
            except OSError:
                pass
        self.descriptors = max(self.descriptors, len(names))
        return {name[8:-1] for name in names if name.startswith("socket:[")}

    def queued_mb(self):
        """Of the rows of the router's addresses, and of its connections to others."""
        inodes, bytes_held = self.sockets(), 0
        with open("/proc/net/tcp") as rows:
            for row in rows:
                fields = row.split()
                if fields[3] != "0A" and (self.local.match(row) or fields[9] in inodes):
                    bytes_held += sum(int(size, 16) for size in fields[4].split(":"))
        return bytes_held / 2 ** 20

    def sample(self):
        """False once the process has ended."""
        try:
            with open("/proc/%d/status" % self.pid) as status:
                resident = next(int(line.split()[1]) for line in status if line.startswith("VmRSS")) / 1024
            queues = self.queued_mb()
        except (OSError, StopIteration):
            return False
        if resident + queues > self.peak:
            self.peak, self.resident, self.queues = resident + queues, resident, queues
        return True


def check(what, condition, seen=""):
    print("%s: %s %s" % ("ok" if condition else "FAILED", what, seen), flush=True)
    if not condition:
        FAILED.append(what)


def make_crowd(router, cell):
    if cell.startswith("listeners-"):
        shape = cell.split("-", 1)[1]
        crowd = []
        for number, (port, path) in enumerate(list(PORT_PATHS.items()) * (CALLERS // len(PORT_PATHS))):
            form = (b"", lambda: again(FILLED_GET)) if shape == "pipelined" else FORMS[shape]
            crowd.append(Caller(router.ip, PORTS[port], "%s-%d" % (cell, number), form, path))
        return crowd
    forms = list(FORMS) if cell == "mixed" else [cell]
    crowd = []
    for number, form in zip(range(CALLERS), itertools.cycle(forms)):
        path = b"/noise/x" if form == "unread-answers" else b"/lookup/x"
        crowd.append(Caller(router.ip, platform_fleet.CALLER_PORT, "%s-%d" % (cell, number), FORMS[form], path,
                            cell == "mixed" and form not in MAY_RUN))
    return crowd


def answered(fleet, cell):
    """Asks one ordinary request after the other until one is answered."""
    router, until = fleet.routers[0], time.monotonic() + ANSWER_S
    while time.monotonic() < until and router.process.running():
        if fleet.ask(router, "GET", "/lookup/x", "ordinary-%s-%d" % (cell, time.monotonic_ns()), timeout=3.0)[0] == 200:
            return True
        time.sleep(SAMPLE_S)
    return False


def refused_properly(data):
    """The status of a whole response that keeps the promises for refusals, or None."""
    head, _, body = data.partition(b"\r\n\r\n")
    try:
        status = int(re.match(rb"HTTP/1.1 (\d{3}) ", head)[1])
        whole = int(re.search(rb"(?i)\r\ncontent-length: (\d+)", head)[1]) == len(body)
        executed = json.loads(body)["executed"]
    except (TypeError, ValueError, KeyError):
        return None
    told = status != 503 or re.search(rb"(?i)\r\nretry-after: \d", head)
    return status if whole and told and status in (401, 408, 413, 431, 503) and executed == "no" else None


def check_refusals(fleet, cell, crowd):
    crowd = [caller for caller in crowd if caller.keeps_refusals]
    refusals = [(refused_properly(data), data) for caller in crowd for data in caller.refusals]
    statuses = [status for status, _ in refusals]
    check("%s: refusals have the documented form" % cell, 503 in statuses and None not in statuses,
          "%s %s" % ({status: statuses.count(status) for status in set(statuses)},
                     next((data for status, data in refusals if not status), b"")))
    runs = fleet.runs()
    check("%s: no unfinished request has run" % cell,
          any(request.startswith("ordinary-%s-" % cell) for request in runs)
          and not {request.rsplit("-", 1)[0] for request in runs} & {caller.name for caller in crowd},
          "%d requests have run" % len(runs))


def start_anew(fleet):
    router = fleet.routers[0]
    router.process.kill()  # each cell starts with a fresh process
    router.process.start()
    fleet.wait_ready()
    return router


def play(fleet, _, cell):
    router = start_anew(fleet)
    usage = Usage(router)
    usage.sample()
    before = usage.peak
    crowd = make_crowd(router, cell)
    for caller in crowd:
        caller.start()
    until = time.monotonic() + SECONDS
    while time.monotonic() < until and usage.sample() and usage.peak < GIVE_UP_MB:
        time.sleep(SAMPLE_S)
    for caller in crowd:
        caller.stopped = True
    served = answered(fleet, cell)  # beside the connections that the crowd keeps
    usage.sample()
    for caller in crowd:
        caller.connection.close()
    check("%s: the router goes on" % cell, router.process.running())
    check("%s: it has met the crowd" % cell, all(caller.connections > 0 for caller in crowd),
          "%d connections" % sum(caller.connections for caller in crowd))
    check_usage(cell, usage, before)
    check("%s: an ordinary request is answered afterwards" % cell, served)
    if cell == "mixed":
        check_refusals(fleet, cell, crowd)


def check_usage(cell, usage, before):
    check("%s: process and queues stay within %.0f MB" % (cell, MEMORY_SHARE * MEMORY_LIMIT_MB),
          usage.peak <= MEMORY_SHARE * MEMORY_LIMIT_MB,
          "%.0f MB before, at most %.0f: %.0f in the process, %.0f in queues" % (before, usage.peak, usage.resident,
                                                                               usage.queues))
    check("%s: it opens at most %d descriptors" % (cell, DESCRIPTORS), usage.descriptors <= DESCRIPTORS,
          "%d" % usage.descriptors)


def main():
    global MEMORY_LIMIT_MB, DESCRIPTORS, CALLERS
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--cell", action="append", choices=CELLS, default=[])
    parser.add_argument("--group", action="append", choices=GROUPS, default=[])
    parser.add_argument("--subnet", type=int, default=200)
    parser.add_argument("--memory-mb", type=int, default=MEMORY_LIMIT_MB)
    parser.add_argument("--descriptors", type=int, default=DESCRIPTORS)
    parser.add_argument("--callers", type=int, default=CALLERS)
    arguments = parser.parse_args()
    MEMORY_LIMIT_MB, DESCRIPTORS, CALLERS = arguments.memory_mb, arguments.descriptors, arguments.callers
    cells = arguments.cell + [cell for group in arguments.group for cell in GROUPS[group]] or CELLS
    play_cells(cells, arguments.subnet, "unfinished-bodies", LargeAnswers, play)


def play_cells(cells, subnet, folder, make_server, play_cell):
    """Calls `play_cell` with the fleet, the server behind the route "noise" and each cell."""
    fleet = LimitedFleet(os.path.join(fleets.BUILD, "%s-%d" % (folder, subnet)), subnet, ("hal-1",), routers_each=1,
                         workers_each=2)
    fleet.max_body_bytes = BODY_BYTES
    ip = "127.0.%d.190" % subnet
    server = make_server(ip)
    try:
        fleet.start()
        fleet.put_object("servers", "large", {
            "service": "register-2", "address": "%s:%d" % (ip, platform_fleet.WORKER_PORT), "zone": "hal-1",
            "version": "1", "slots": 500, "state": "ready", "warmupLeftMs": 0, "seq": 1,
            "born": int(time.time() * 1000)})
        for cell in cells:
            play_cell(fleet, server, cell)
    finally:
        server.listener.close()
        fleet.stop()


if __name__ == "__main__":
    main()
    sys.exit(1 if FAILED else 0)
