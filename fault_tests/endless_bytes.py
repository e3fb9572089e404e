"""Sends a router bytes without end, from callers, a backend server, the store and to its other
ports, and bodies that are held back, and looks at the router's memory and at sound requests beside
them. Real processes on loopback.

    endless_bytes.py [--row NAME]... [--side NAME]... [--senders N]... [--seconds S] [--subnet N]

A row fails if the router's resident memory passes MEMORY_SHARE of its limit, if it ends, if it has
met no sender, or if sound requests are served less often than SOUND_SHARE or later than SOUND_S.
A side is the first part of a row's name."""

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
# To other ports than the callers'.
PORT_FORMS = {form: CALLER_FORMS[form] for form in ("extension", "fields")}
PORT_FORMS["body"] = (HEAD + CHUNKED, b"10000\r\n" + PIECE + b"\r\n")
PORTS = {"peers": platform_fleet.STATE_PORT, "forwarded": platform_fleet.STATE_PORT + 1,
         "readiness": platform_fleet.READINESS_PORT, "directory": platform_fleet.DIRECTORY_PORT,
         "metrics": platform_fleet.METRICS}
SERVER_FORMS = {
    "extension": (SEALED + CHUNKED + b"5;a=", PIECE),
    "trailer": (SEALED + CHUNKED + b"1\r\na\r\n0\r\nX-A: ", PIECE),
    "field": (SEALED + b"X-A: ", PIECE),
    "fields": (SEALED, b"X-A: b\r\n" * 1024),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1024),
    "body": (SEALED + b"\r\n", PIECE),
}
ROWS = (["caller-" + form for form in CALLER_FORMS] + ["server-" + form for form in SERVER_FORMS]
        + ["%s-%s" % (port, form) for port in PORTS for form in PORT_FORMS]
        + ["%s-%s" % (side, form) for side in ("store", "report") for form in SERVER_FORMS])
STORE_PROXY_PORT = 9001


def check(what, condition, seen=""):
    print("%s: %s %s" % ("ok" if condition else "FAILED", what, seen), flush=True)
    if not condition:
        FAILED.append(what)


def read_head(connection):
    """The bytes of a request up to the end of its head; empty if there is none."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = connection.recv(65536)
        if not piece:
            return b""
        data += piece
    return data


class EndlessServer:
    """A backend server whose answers have the form that is set."""

    def __init__(self, ip):
        self.form, self.stopped, self.met = None, False, 0
        self.listener = socket.create_server((ip, platform_fleet.WORKER_PORT), backlog=512)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        connection.settimeout(10)
        try:
            data = read_head(connection)
            if data.startswith(b"GET /health"):
                connection.sendall(b"HTTP/1.1 200 OK\r\nChervilpass-Instance-Id: endless\r\nContent-Length: 0\r\n\r\n")
                return
            form = self.form
            if form is None:
                return
            self.met += 1
            request = next((line.split(b": ", 1)[1] for line in data.split(b"\r\n")
                            if line.lower().startswith(b"chervilpass-request-id: ")), b"")
            send_form(connection, SERVER_FORMS[form], request, lambda: self.stopped)
        except OSError:
            pass
        finally:
            connection.close()


class StoreProxy:
    """Stands between a router and the store; while a form is set, its answers are of that form."""

    def __init__(self, ip, store):
        self.form, self.store, self.met, self.open = None, store, 0, []
        self.listener = socket.create_server((ip, STORE_PROXY_PORT), backlog=512)
        threading.Thread(target=self.accept, daemon=True).start()

    def set_form(self, form):
        self.form, self.met = form, 0
        for connection in self.open:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.open = []

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        form = self.form
        try:
            if form is not None:
                read_head(connection)
                self.met += 1
                send_form(connection, SERVER_FORMS[form], b"", lambda: self.form != form)
                return
            with socket.create_connection(self.store) as upstream:
                self.open += [connection, upstream]
                back = threading.Thread(target=pump, args=(upstream, connection), daemon=True)
                back.start()
                pump(connection, upstream)
                back.join()
        except OSError:
            pass
        finally:
            connection.close()


def pump(source, target):
    try:
        while data := source.recv(65536):
            target.sendall(data)
        target.shutdown(socket.SHUT_WR)
    except OSError:
        pass


def send_form(connection, form, request, stopped):
    first, again = form
    connection.sendall(first.replace(b"%s", request))
    while not stopped():
        connection.sendall(again)
        if again is HELD_BODY:
            return


class EndlessFleet(platform_fleet.PlatformFleet):
    store_port = platform_fleet.STORE_PORT

    def store_address(self):
        return "127.0.%d.200:%d" % (self.subnet, self.store_port)

    def add_router(self, data_centre, ip):
        self.store_port = STORE_PROXY_PORT
        router = super().add_router(data_centre, ip)
        self.store_port = platform_fleet.STORE_PORT
        return router

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
        sender.close()  # so that its end is noticed
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
    def __init__(self, fleet, server, model_server, store, name, senders, seconds):
        self.fleet, self.server, self.model_server, self.store = fleet, server, model_server, store
        self.name, self.senders, self.seconds = name, senders, seconds
        self.side, self.form = name.split("-", 1)
        self.router, self.stopped, self.served, self.met = fleet.routers[0], False, [], 0

    def status_mb(self, field):
        try:
            with open("/proc/%d/status" % self.router.process.child.pid) as status:
                return next(int(line.split()[1]) for line in status if line.startswith(field)) // 1024
        except (OSError, StopIteration):
            return GIVE_UP_MB

    def send_endless(self, number):
        """As a caller, or as one whose request is answered without end."""
        port = PORTS.get(self.side, platform_fleet.CALLER_PORT)
        count = 0
        while not self.stopped:
            count += 1
            request = b"%s-e-%d-%d" % (self.name.encode(), number, count)
            try:
                with socket.create_connection((self.router.ip, port), 3) as connection:
                    connection.settimeout(3)
                    self.met += 1
                    if self.side == "server":
                        connection.sendall((HEAD + KEY + b"Content-Length: 0\r\n\r\n").replace(
                            b"/%s/", b"/noise/").replace(b"%s", request))
                    else:
                        first, again = CALLER_FORMS[self.form] if self.side == "caller" else PORT_FORMS[self.form]
                        send_form(connection, (first.replace(b"/%s/", b"/lookup/"), again), request,
                                  lambda: self.stopped)
                    while not self.stopped and connection.recv(65536):
                        pass
            except OSError:
                pass
            time.sleep(max(MIN_RECONNECT_S, self.senders / RECONNECTS_PER_S))

    def begin(self):
        """Starts the senders; returns their threads. A store or a report has one sender a connection."""
        for side, server in (("server", self.server), ("report", self.model_server)):
            server.form, server.stopped, server.met = self.form if side == self.side else None, False, 0
        if self.side == "store":
            self.store.set_form(self.form)
        senders = 0 if self.side in ("store", "report") else self.senders
        threads = [threading.Thread(target=self.send_endless, args=(number,), daemon=True) for number in range(senders)]
        for thread in threads:
            thread.start()
        return threads

    def end(self, threads):
        self.stopped = self.server.stopped = self.model_server.stopped = True
        other = {"server": self.server, "report": self.model_server, "store": self.store}.get(self.side)
        if other:
            self.met = other.met
        self.server.form = self.model_server.form = None
        self.store.set_form(None)
        until = time.monotonic() + 6
        for thread in threads:
            thread.join(max(0.0, until - time.monotonic()))

    def play(self):
        if not self.router.process.running():
            self.router.process.start()
            self.fleet.wait_ready()
        with open("/proc/%d/clear_refs" % self.router.process.child.pid, "w") as peaks:
            peaks.write("5")  # resets VmHWM
        before_mb = self.status_mb("VmRSS")
        sound_callers = SoundCallers(self.router.ip, self.name)
        threads = self.begin()
        until = time.monotonic() + self.seconds
        while time.monotonic() < until and self.status_mb("VmRSS") < GIVE_UP_MB:
            time.sleep(0.05)
        peak_mb = self.status_mb("VmHWM")
        self.served = sound_callers.stop()
        self.end(threads)
        self.report(before_mb, peak_mb)

    def report(self, before_mb, peak_mb):
        name = "%s, %d senders" % (self.name, self.senders)
        check("%s: the router goes on" % name, self.router.process.running())
        check("%s: it has met senders" % name, self.met > 0, "%d connections" % self.met)
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
    parser.add_argument("--side", action="append", choices=sorted({row.split("-", 1)[0] for row in ROWS}))
    parser.add_argument("--senders", action="append", type=int)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--subnet", type=int, default=86)
    arguments = parser.parse_args()
    folder = os.path.join(fleets.BUILD, "endless-bytes-%d" % arguments.subnet)
    fleet = EndlessFleet(folder, arguments.subnet, ("hal-1",), routers_each=1, workers_each=2)
    fleet.max_body_bytes = BODY_BYTES
    ip, model_ip = "127.0.%d.190" % arguments.subnet, "127.0.%d.191" % arguments.subnet
    server, model_server = EndlessServer(ip), EndlessServer(model_ip)
    store = StoreProxy("127.0.%d.200" % arguments.subnet,
                       ("127.0.%d.200" % arguments.subnet, platform_fleet.STORE_PORT))
    rows = arguments.row or [row for row in ROWS if row.split("-", 1)[0] in (arguments.side or ["caller", "server"])]
    try:
        fleet.start()
        fleet.put_object("servers", "endless", {
            "service": "register-2", "address": "%s:%d" % (ip, platform_fleet.WORKER_PORT), "zone": "hal-1",
            "version": "1", "slots": 500, "state": "ready", "warmupLeftMs": 0, "seq": 1,
            "born": int(time.time() * 1000)})
        fleet.put_object("servers", "endless-model", {
            "service": "llm", "address": "%s:%d" % (model_ip, platform_fleet.WORKER_PORT), "zone": "hal-1",
            "version": "v1", "slots": 8, "state": "ready", "warmupLeftMs": 0, "seq": 1,
            "born": int(time.time() * 1000), "kind": "small", "layers": {"from": 0, "target": 0, "version": 1}})
        time.sleep(0.5)
        for senders in arguments.senders or [8]:
            for name in rows:
                Row(fleet, server, model_server, store, name, senders, arguments.seconds).play()
    finally:
        fleet.stop()


if __name__ == "__main__":
    main()
    sys.exit(1 if FAILED else 0)
