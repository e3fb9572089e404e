"""Sends a router with lowered limits single requests with the largest legal body, one at a time, in
each form, and looks at what its server gets. In the cell "after-crowd" the process has met the crowd
"mixed" of unfinished_bodies.py before; in "beside-unread" another caller has sent as large a request and
does not read its response, which is as large. Real processes on loopback.

    largest_requests.py [--cell NAME]... [--subnet N]

A cell fails if the request is not served ("after-crowd": in several attempts), if it does not run once with its whole body, or if the
router's process ends or passes the bounds of unfinished_bodies.py."""

import argparse
import concurrent.futures
import http.client
import os
import re
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
import endless_bytes  # noqa: E402
import platform_fleet  # noqa: E402
import unfinished_bodies  # noqa: E402
from endless_bytes import BODY_BYTES, CHUNKED, HEAD, KEY  # noqa: E402
from unfinished_bodies import LENGTH, check  # noqa: E402

BODY = b"".join(b"%07d\n" % number for number in range(BODY_BYTES // 8))
TRAILER_FIELDS = b"X-A: b\r\n" * 2000  # of at most 16384 bytes
SAMPLE_S = 0.01  # a request takes a fraction of a second
REQUEST_S = 60.0  # generous: until the request is answered
SETTLE_S = 1.0  # the server has answered by then, and the router has not given up the write yet


def chunks(size, trailer=b""):
    return b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in
                    (BODY[begin:begin + size] for begin in range(0, BODY_BYTES, size))) + b"0\r\n" + trailer + b"\r\n"


# By name: the last fields of the head, and the bytes of the body.
CELLS = {
    "length": lambda: (LENGTH + b"\r\n", BODY),
    "continue": lambda: (LENGTH + b"Expect: 100-continue\r\n\r\n", BODY),
    "chunks": lambda: (CHUNKED, chunks(65536)),
    "small-chunks": lambda: (CHUNKED, chunks(1)),
    "trailers": lambda: (CHUNKED, chunks(65536, TRAILER_FIELDS)),
    "after-crowd": lambda: (LENGTH + b"\r\n", BODY),
    "beside-unread": lambda: (LENGTH + b"\r\n", BODY),
}


class BodyKeeper(unfinished_bodies.LargeAnswers):
    """A backend server that keeps the bodies of requests by their ids."""

    def __init__(self, ip):
        self.bodies = {}
        super().__init__(ip)

    def serve(self, connection):
        try:
            with connection:
                connection.settimeout(REQUEST_S)
                while data := endless_bytes.read_head(connection):
                    head, body = data.split(b"\r\n\r\n", 1)
                    length = re.search(rb"(?i)\r\ncontent-length: (\d+)", head)
                    while len(body) < int(length[1] if length else 0) and (piece := connection.recv(1 << 20)):
                        body += piece
                    request = re.search(rb"(?i)chervilpass-request-id: ([^\r]*)", head)
                    if request:
                        self.bodies.setdefault(request[1], []).append(body)
                    answer = b"a" * unfinished_bodies.ANSWER_BYTES if head.startswith(b"GET /noise/") else b""
                    connection.sendall(unfinished_bodies.make_answer(request[1] if request else b"", answer))
        except OSError:
            pass


def exchange(router, request, cell):
    """The status of the response, and its body."""
    fields, body = CELLS[cell]()
    head = (HEAD + KEY + fields).replace(b"/%s/x", b"/noise/x").replace(b"%s", request)
    try:
        with socket.create_connection((router.ip, platform_fleet.CALLER_PORT), REQUEST_S) as connection:
            connection.sendall(head)
            if b"100-continue" in fields:
                interim = connection.recv(1024)
                check("%s: the body is asked for" % cell, interim == b"HTTP/1.1 100 Continue\r\n\r\n", interim)
            connection.sendall(body)
            response = http.client.HTTPResponse(connection)
            response.begin()
            return response.status, response.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, str(error)


def leave_unread(fleet):
    """Sends a request whose server returns its body; returns the connection once the server has run it."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.settimeout(REQUEST_S)
    connection.connect((fleet.routers[0].ip, platform_fleet.CALLER_PORT))
    connection.sendall((HEAD + KEY + LENGTH + b"\r\n").replace(b"/%s/x", b"/lookup/x").replace(b"%s", b"unread") + BODY)
    until = time.monotonic() + REQUEST_S
    while "unread" not in fleet.runs() and time.monotonic() < until:
        time.sleep(SAMPLE_S)
    time.sleep(SETTLE_S)
    return connection


def play(fleet, server, cell):
    unread = None
    if cell == "after-crowd":
        unfinished_bodies.play(fleet, server, "mixed")
    else:
        unfinished_bodies.start_anew(fleet)
    if cell == "beside-unread":
        unread = leave_unread(fleet)
    router = fleet.routers[0]
    usage = unfinished_bodies.Usage(router)
    usage.sample()
    before, until = usage.peak, time.monotonic() + REQUEST_S
    while True:
        request = b"%s-%d" % (cell.encode(), time.monotonic_ns())
        with concurrent.futures.ThreadPoolExecutor(1) as caller:
            result = caller.submit(exchange, router, request, cell)
            while not result.done():
                usage.sample()
                time.sleep(SAMPLE_S)
        status, answer = result.result()
        if status == 200 or cell != "after-crowd" or time.monotonic() > until:
            break
        time.sleep(1.0)  # Retry-After
    check("%s: the request is served" % cell, status == 200, "%d %s" % (status, answer))
    bodies = server.bodies.get(request, [])
    check("%s: it runs once, with its whole body" % cell, bodies == [BODY], [len(body) for body in bodies])
    check("%s: the router goes on" % cell, usage.sample())
    unfinished_bodies.check_usage(cell, usage, before)
    if unread:
        unread.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--cell", action="append", choices=CELLS)
    parser.add_argument("--subnet", type=int, default=206)
    arguments = parser.parse_args()
    unfinished_bodies.play_cells(arguments.cell or CELLS, arguments.subnet, "largest-requests", BodyKeeper, play)


if __name__ == "__main__":
    main()
    sys.exit(1 if unfinished_bodies.FAILED else 0)
