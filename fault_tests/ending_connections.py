"""Requests at the edge of a connection: callers that close their sending side after a request,
callers that leave, and bodies that still arrive when a router ends. Real processes on loopback.

    ending_connections.py [--cell NAME]... [--subnet N]

A cell fails if a request gets no complete answer, if one that is refused as not run has run, if
the work for a caller that has left goes on, or if a router ends late."""

import json
import os
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
import fleet as fleets  # noqa: E402
import platform_fleet  # noqa: E402

GRACE_S = 8.0
GONE_S = 0.5          # after a caller has left, work for it ends within this time
REQUESTS = 20         # of each form
EVENTS = 40           # of 30 ms
BODY_PIECES = 12      # a late body arrives in so many pieces
FAILED = []


def check(what, condition, seen=""):
    print("%s: %s %s" % ("ok" if condition else "FAILED", what, seen), flush=True)
    if not condition:
        FAILED.append(what)


def head(method, path, request, events, fields=""):
    return ("%s %s HTTP/1.1\r\nHost: %s\r\nChervilpass-Request-Id: %s\r\nAuthorization: Token key-skagen\r\n"
            "Chervilpass-Deadline-Ms: 6000\r\nChervilpass-Token-Counts: 10,%d\r\n%s\r\n" % (
                method, path, platform_fleet.HOST, request, events, fields)).encode()


def read_to_end(connection):
    data = b""
    try:
        while True:
            piece = connection.recv(65536)
            if not piece:
                return data
            data += piece
    except OSError:
        return data


def final_answer(data):
    """(status, whole) of the final answer in `data`; interim ones are skipped."""
    while data.startswith(b"HTTP/1.1 1"):
        end = data.find(b"\r\n\r\n")
        if end < 0:
            return 0, False
        data = data[end + 4:]
    head_end = data.find(b"\r\n\r\n")
    if not data.startswith(b"HTTP/1.1 ") or head_end < 0:
        return 0, False
    fields, body = data[:head_end].lower(), data[head_end + 4:]
    status = int(data[9:12])
    if b"transfer-encoding: chunked" in fields:
        return status, body.endswith(b"0\r\n\r\n")
    length = [int(line.split(b":")[1]) for line in fields.split(b"\r\n") if line.startswith(b"content-length:")]
    return status, bool(length) and len(body) == length[0]


class Request:
    """A request on a connection of its own, sent by `send(connection)`."""

    def __init__(self, router, name, send):
        self.name, self.begun, self.data = name, time.monotonic(), b""
        self.thread = threading.Thread(target=self.play, args=(router, send), daemon=True)
        self.thread.start()

    def play(self, router, send):
        try:
            with socket.create_connection((router.ip, platform_fleet.CALLER_PORT), 3) as connection:
                connection.settimeout(10)
                try:
                    send(connection)
                except OSError:
                    pass  # the answer may have arrived all the same
                self.data = read_to_end(connection)
        except OSError:
            pass

    def answer(self):
        self.thread.join(15)
        return final_answer(self.data)


def half_closing(request):
    def send(connection):
        connection.sendall(request)
        connection.shutdown(socket.SHUT_WR)
    return send


def play_half_closed(name, fleet):
    """The connection of a caller that has closed its sending side is open for the answer."""
    router = fleet.routers[0]
    forms = {"call": ("GET", "/lookup/x?work_ms=150"), "filing": ("POST", "/file/x?work_ms=150"), "stream": ("POST", "/draft/x")}
    for form, (method, path) in forms.items():
        requests = [Request(router, "%s-%d" % (form, number),
                            half_closing(head(method, path, "half-%s-%d" % (form, number), EVENTS)))
                    for number in range(REQUESTS if form == "stream" else 4)]
        answers = [request.answer() for request in requests]
        check("%s: each %s is answered" % (name, form), all(answer == (200, True) for answer in answers),
              "%d of %d" % (answers.count((200, True)), len(answers)))


def play_callers_leave(name, fleet):
    """Callers close their connections while a worker runs their requests."""
    router = fleet.routers[0]
    connections = []
    for number in range(REQUESTS):
        connection = socket.create_connection((router.ip, platform_fleet.CALLER_PORT), 3)
        connection.sendall(head("POST", "/draft/x", "leaves-%d" % number, 400))
        connections.append(connection)
    fleets.wait_until(lambda: running(fleet) == REQUESTS, 5, "all streams run")
    for connection in connections:
        connection.setblocking(False)
        try:
            while connection.recv(65536):
                pass
        except OSError:
            pass
        connection.close()
    left = time.monotonic()
    while running(fleet) and time.monotonic() - left < 5:
        time.sleep(0.02)
    elapsed_s = time.monotonic() - left
    check("%s: the work for callers that have left ends" % name, elapsed_s <= GONE_S, "after %.2f s" % elapsed_s)


def running(fleet):
    return sum(json.loads(fleets.http("GET", "http://%s/v1/report" % worker.address)[1])["running"]
               for worker in fleet.workers)


def slowly(request, body, seconds, chunked):
    def send(connection):
        connection.sendall(request)
        size = len(body) // BODY_PIECES
        for piece in range(BODY_PIECES):
            time.sleep(seconds / BODY_PIECES)
            data = body[piece * size:(piece + 1) * size]
            connection.sendall(b"%x\r\n%s\r\n" % (len(data), data) if chunked else data)
        if chunked:
            connection.sendall(b"0\r\n\r\n")
    return send


def play_late_bodies(name, fleet):
    """Bodies that take 0.3 to 2.5 s arrive at a router until it has ended, in the way of a
    caller that uses a connection for as long as it is accepted."""
    router = fleet.routers[0]
    body = b"b" * 1200
    fleet.signal(router.process, signal.SIGTERM)
    begun, requests = time.monotonic(), []
    while router.process.running() and time.monotonic() - begun < GRACE_S + 1:
        number = len(requests)
        chunked = number % 2 == 0
        fields = "Transfer-Encoding: chunked\r\n" if chunked else "Content-Length: %d\r\n" % len(body)
        requests.append(Request(router, "late-%d" % number, slowly(
            head("POST", "/file/x", "late-%d" % number, EVENTS, fields), body, (0.3, 1.0, 2.5)[number % 3], chunked)))
        time.sleep(0.04)
    ended_s = time.monotonic() - begun
    check("%s: the router ends in order" % name, router.process.child.poll() == 0 and ended_s <= GRACE_S,
          "exit code %s after %.2f s" % (router.process.child.poll(), ended_s))
    ran, silent, false_refusals, counts = fleet.runs(), [], [], {}
    for request in requests:
        status, whole = request.answer()
        connected = request.begun - begun < ended_s - 0.2
        counts[status] = counts.get(status, 0) + 1
        if not whole and connected:
            silent.append("%s begun at %.2f s" % (request.name, request.begun - begun))
        if status == 503 and ran.get(request.name):
            false_refusals.append(request.name)
    check("%s: each request gets a complete answer" % name, not silent, "%s, without: %d %s" % (
        counts, len(silent), silent[:5]))
    check("%s: what is refused as not run has not run" % name, not false_refusals, false_refusals[:5])


CELLS = {"half-closed": play_half_closed, "callers-leave": play_callers_leave, "late-bodies": play_late_bodies}


def make_fleet(subnet):
    folder = os.path.join(fleets.BUILD, "ending-connections-%d" % subnet)
    fleet = platform_fleet.PlatformFleet(folder, subnet, ("hal-1",), routers_each=2, workers_each=2)
    fleet.start()
    return fleet


if __name__ == "__main__":
    platform_fleet.play_cells(__doc__, CELLS, None, make_fleet, 87)
    sys.exit(1 if FAILED else 0)
