"""Sends a router bytes without end, from callers and from a backend server, and bodies that are
held back, and looks at the router's memory and at sound requests beside them. Real processes on
loopback.

    endless_bytes.py [--row NAME]... [--senders N]... [--seconds S] [--subnet N]

A row fails if the router's resident memory passes MEMORY_SHARE of its limit, if it ends, or if
sound requests are served less often than SOUND_SHARE or later than SOUND_S."""

import argparse
import http.client
import multiprocessing
import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
import fleet as fleets  # noqa: E402
import platform_fleet  # noqa: E402

MEMORY_LIMIT_MB = 256      # limits.memory_mb of the routers, by default
MEMORY_SHARE = 0.8         # of the limit
SOUND_SHARE = 199 / 200    # of the sound requests that are served
SOUND_S = 0.5              # the slowest of them
SOUND_THREADS = 4
RECONNECTS_PER_S = 1200    # of all senders; more keep this script busy, and not the router
MIN_RECONNECT_S = 0.05
GIVE_UP_MB = 1500          # a row ends here
BODY_BYTES = 4 * 1024 * 1024
PIECE = b"a" * 65536
HELD_BODY = b"a" * (BODY_BYTES - 1)  # sent once
HEAD = b"POST /%s/x HTTP/1.1\r\nHost: app.example\r\nChervilpass-Request-Id: %s\r\nChervilpass-Deadline-Ms: 9000\r\n"
KEY = b"Authorization: Token key-skagen\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
SEALED = b"HTTP/1.1 200 OK\r\nChervilpass-Request-Id: %s\r\nChervilpass-Server-Seal: s\r\n"
FAILED = []

# What a sender sends first, and then again and again. "%s" stands for the request's id.
CALLER_FORMS = {
    "extension": (HEAD + CHUNKED + b"5;a=", PIECE),
    "trailer": (HEAD + CHUNKED + b"1\r\na\r\n0\r\nX-A: ", PIECE),
    "field": (HEAD + b"X-A: ", PIECE),
    "fields": (HEAD, b"X-A: b\r\n" * 1024),
    "empty-lines": (b"", b"\r\n" * 4096),
    "held-body": (HEAD + b"Content-Length: %d\r\n\r\n" % BODY_BYTES, HELD_BODY),
    "held-body-with-key": (HEAD + KEY + b"Content-Length: %d\r\n\r\n" % BODY_BYTES, HELD_BODY),
}
SERVER_FORMS = {
    "extension": (SEALED + CHUNKED + b"5;a=", PIECE),
    "trailer": (SEALED + CHUNKED + b"1\r\na\r\n0\r\nX-A: ", PIECE),
    "field": (SEALED + b"X-A: ", PIECE),
    "fields": (SEALED, b"X-A: b\r\n" * 1024),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1024),
    "body": (SEALED + b"\r\n", PIECE),
}
ROWS = ["caller-" + form for form in CALLER_FORMS] + ["server-" + form for form in SERVER_FORMS]


def check(what, condition, seen=""):
    print("%s: %s %s" % ("ok" if condition else "FAILED", what, seen), flush=True)
    if not condition:
        FAILED.append(what)


class EndlessServer:
    """A backend server of the service register-2, whose answers have the form that is set."""

    def __init__(self, ip):
        self.form, self.stopped = None, False
        self.listener = socket.create_server((ip, platform_fleet.WORKER_PORT), backlog=512)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        connection.settimeout(10)
        try:
            data = b""
            while b"\r\n\r\n" not in data:
                piece = connection.recv(65536)
                if not piece:
                    return
                data += piece
            if data.startswith(b"GET /health"):
                connection.sendall(b"HTTP/1.1 200 OK\r\nChervilpass-Instance-Id: endless\r\nContent-Length: 0\r\n\r\n")
                return
            request = next((line.split(b": ", 1)[1] for line in data.split(b"\r\n")
                            if line.lower().startswith(b"chervilpass-request-id: ")), b"")
            send_form(connection, SERVER_FORMS[self.form], request, lambda: self.stopped)
        except OSError:
            pass
        finally:
            connection.close()


def send_form(connection, form, request, stopped):
    first, again = form
    connection.sendall(first.replace(b"%s", request))
    while not stopped():
        connection.sendall(again)
        if again is HELD_BODY:
            return


class EndlessFleet(platform_fleet.PlatformFleet):
    def config(self):
        config = super().config()
        config["routes"].append({"name": "noise", "host": platform_fleet.HOST, "pathPrefix": "/noise/",
                                 "kind": "idempotent", "timeoutMs": 9000, "sloMs": 500, "service": "register-2",
                                 "attempts": 1})
        return config


class SoundCallers:
    """Callers in a process of their own: in that of the senders they would wait for its interpreter."""

    def __init__(self, ip, name):
        context = multiprocessing.get_context("spawn")
        self.results, sender = context.Pipe(duplex=False)
        self.stopped = context.Event()
        self.process = context.Process(target=call_until_stopped, args=(ip, name, self.stopped, sender), daemon=True)
        self.process.start()
        self.results.recv()  # they have begun

    def stop(self):
        """Whether each request was served, and its seconds."""
        self.stopped.set()
        served = self.results.recv()
        self.process.join()
        return served


def call_until_stopped(ip, name, stopped, results):
    served = []
    threads = [threading.Thread(target=call_sound, args=(ip, "%s-%d" % (name, number), stopped, served))
               for number in range(SOUND_THREADS)]
    for thread in threads:
        thread.start()
    results.send("begun")
    for thread in threads:
        thread.join()
    results.send(served)


def call_sound(ip, name, stopped, served):
    connection = None
    count = 0
    while not stopped.is_set():
        count += 1
        connection = connection or http.client.HTTPConnection(ip, platform_fleet.CALLER_PORT, timeout=3)
        begun = time.monotonic()
        try:
            connection.request("GET", "/lookup/x", headers={
                "Host": platform_fleet.HOST, "Chervilpass-Request-Id": "%s-%d" % (name, count),
                "Authorization": "Token key-skagen", "Chervilpass-Deadline-Ms": "3000"})
            response = connection.getresponse()
            response.read()
            served.append((response.status == 200, time.monotonic() - begun))
        except (OSError, http.client.HTTPException):
            served.append((False, time.monotonic() - begun))
            connection.close()
            connection = None
        time.sleep(0.02)


class Row:
    def __init__(self, fleet, server, name, senders, seconds):
        self.fleet, self.server, self.name, self.senders, self.seconds = fleet, server, name, senders, seconds
        self.router, self.stopped, self.served = fleet.routers[0], False, []

    def status_mb(self, field):
        try:
            with open("/proc/%d/status" % self.router.process.child.pid) as status:
                return next(int(line.split()[1]) for line in status if line.startswith(field)) // 1024
        except (OSError, StopIteration):
            return GIVE_UP_MB

    def send_endless(self, number):
        """As a caller, or as one whose request is answered without end."""
        count = 0
        while not self.stopped:
            count += 1
            request = b"%s-e-%d-%d" % (self.name.encode(), number, count)
            side, form = self.name.split("-", 1)
            try:
                with socket.create_connection((self.router.ip, platform_fleet.CALLER_PORT), 3) as connection:
                    connection.settimeout(3)
                    if side == "caller":
                        first, again = CALLER_FORMS[form]
                        send_form(connection, (first.replace(b"/%s/", b"/lookup/"), again), request,
                                  lambda: self.stopped)
                    else:
                        connection.sendall((HEAD + KEY + b"Content-Length: 0\r\n\r\n").replace(
                            b"/%s/", b"/noise/").replace(b"%s", request))
                    while not self.stopped and connection.recv(65536):
                        pass
            except OSError:
                pass
            time.sleep(max(MIN_RECONNECT_S, self.senders / RECONNECTS_PER_S))

    def play(self):
        if not self.router.process.running():
            self.router.process.start()
            self.fleet.wait_ready()
        with open("/proc/%d/clear_refs" % self.router.process.child.pid, "w") as peaks:
            peaks.write("5")  # resets VmHWM
        before_mb = self.status_mb("VmRSS")
        if self.name.startswith("server-"):
            self.server.form, self.server.stopped = self.name.split("-", 1)[1], False
        sound_callers = SoundCallers(self.router.ip, self.name)
        threads = [threading.Thread(target=self.send_endless, args=(number,), daemon=True)
                   for number in range(self.senders)]
        for thread in threads:
            thread.start()
        until = time.monotonic() + self.seconds
        while time.monotonic() < until and self.status_mb("VmRSS") < GIVE_UP_MB:
            time.sleep(0.05)
        peak_mb = self.status_mb("VmHWM")
        self.served = sound_callers.stop()
        self.stopped = self.server.stopped = True
        until = time.monotonic() + 6
        for thread in threads:
            thread.join(max(0.0, until - time.monotonic()))
        self.report(before_mb, peak_mb)

    def report(self, before_mb, peak_mb):
        name = "%s, %d senders" % (self.name, self.senders)
        check("%s: the router goes on" % name, self.router.process.running())
        check("%s: its memory stays within %.0f MB" % (name, MEMORY_SHARE * MEMORY_LIMIT_MB),
              peak_mb <= MEMORY_SHARE * MEMORY_LIMIT_MB, "%d MB before, at most %d MB" % (before_mb, peak_mb))
        good = sum(ok for ok, _ in self.served)
        slowest = max([seconds for _, seconds in self.served], default=99.0)
        check("%s: sound requests beside them are served in time" % name,
              good >= SOUND_SHARE * len(self.served) and slowest <= SOUND_S,
              "%d of %d, the slowest after %.2f s" % (good, len(self.served), slowest))
        if peak_mb > MEMORY_SHARE * MEMORY_LIMIT_MB and self.router.process.running():
            self.router.process.kill()  # the next row starts with a fresh process


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--row", action="append", choices=ROWS)
    parser.add_argument("--senders", action="append", type=int)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--subnet", type=int, default=86)
    arguments = parser.parse_args()
    folder = os.path.join(fleets.BUILD, "endless-bytes-%d" % arguments.subnet)
    fleet = EndlessFleet(folder, arguments.subnet, ("hal-1",), routers_each=1, workers_each=2)
    fleet.max_body_bytes = BODY_BYTES
    ip = "127.0.%d.190" % arguments.subnet
    server = EndlessServer(ip)
    try:
        fleet.start()
        fleet.put_object("servers", "endless", {
            "service": "register-2", "address": "%s:%d" % (ip, platform_fleet.WORKER_PORT), "zone": "hal-1",
            "version": "1", "slots": 500, "state": "ready", "warmupLeftMs": 0, "seq": 1,
            "born": int(time.time() * 1000)})
        time.sleep(0.5)
        for senders in arguments.senders or [8]:
            for name in arguments.row or ROWS:
                Row(fleet, server, name, senders, arguments.seconds).play()
    finally:
        fleet.stop()


if __name__ == "__main__":
    main()
    sys.exit(1 if FAILED else 0)
