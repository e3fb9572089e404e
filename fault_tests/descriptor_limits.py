"""Runs routers out of connections: few descriptors, callers that open connections and
leave them idle, new configurations and requests at the same time. Real processes on loopback.

    descriptor_limits.py [--cell NAME]... [--subnet N]

A cell fails if a configuration is not in force at the router under load 2 s after its
acknowledgement, if an allowed request is refused or lost, or if a caller over the limit
gets no complete answer."""

import http.client
import json
import os
import resource
import socket
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
import fleet as fleets  # noqa: E402
import platform_fleet  # noqa: E402

FEW, MANY = 300, 4100   # descriptors
LOAD_S = 12.0
IDLE_A_SECOND = 40
KEPT = 2                # connections with a request about every 100 ms
CONFIG_PERIOD_S = 1.0
IN_FORCE_S = 2.0        # from the acknowledgement of a configuration
ANSWER_S = 3.0          # longest wait for an answer
REFUSED_S = 1.5         # from the request of a caller over the limit to its answer
FAILED = []


def check(what, condition, seen=""):
    print("%s: %s %s" % ("ok" if condition else "FAILED", what, seen), flush=True)
    if not condition:
        FAILED.append(what)


def change_configs(fleet, new, end):
    """Configurations with a new route and a new key each until `end`; adds to `new` from when
    they have to be in force."""
    while time.monotonic() < end - IN_FORCE_S:
        name = "new-%d" % fleet.version
        fleet.slow_routes.append(name)
        fleet.keys.append("key-" + name)
        if fleet.put_config():
            new.append((time.monotonic() + IN_FORCE_S, name))
        time.sleep(CONFIG_PERIOD_S)


def start_limited(router, soft, hard):
    """Starts the router's process anew with these limits of descriptors."""
    process = router.process
    process.kill()
    with open(process.log, "a") as log:
        process.child = subprocess.Popen(
            [os.path.join(fleets.BUILD, process.binary), "--config", process.config], stdout=log, stderr=log,
            stdin=subprocess.DEVNULL,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard)))


class Load:
    """Callers of one router until `end`. Answers are counted by kind of connection and status;
    "lost" is a connection that ended without a complete answer."""

    def __init__(self, fleet, router, new, end):
        self.fleet, self.router, self.new, self.end = fleet, router, new, end
        self.lock = threading.Lock()
        self.counts, self.idle, self.bad_refusals, self.late, self.slowest_s = {}, [], [], set(), 0.0
        jobs = [self.keep_idle, self.ask_once] + [self.ask_kept] * KEPT
        self.threads = [threading.Thread(target=job, daemon=True) for job in jobs]
        for thread in self.threads:
            thread.start()

    def count(self, kind, status):
        with self.lock:
            self.counts[(kind, status)] = self.counts.get((kind, status), 0) + 1

    def statuses(self, kind):
        return {status: number for (which, status), number in sorted(self.counts.items(), key=str) if which == kind}

    def connect(self):
        return http.client.HTTPConnection(self.router.ip, platform_fleet.CALLER_PORT, timeout=ANSWER_S)

    def request(self, connection, path="/lookup/x", key="key-skagen"):
        connection.request("GET", path, headers={
            "Host": platform_fleet.HOST, "Authorization": "Token " + key,
            "Chervilpass-Request-Id": "limits-%d" % time.monotonic_ns(), "Chervilpass-Deadline-Ms": "3000"})
        response = connection.getresponse()
        return response, response.read()

    def check_refusal(self, response, body):
        if not response.headers["Retry-After"] or json.loads(body or "{}").get("executed") != "no":
            with self.lock:
                self.bad_refusals.append((dict(response.headers), body))

    def ask(self, connection, kind, **request):
        """False if the connection has ended."""
        begun = time.monotonic()
        try:
            response, body = self.request(connection, **request)
        except (OSError, http.client.HTTPException):
            self.count(kind, "lost")
            connection.close()
            return False
        self.count(kind, response.status)
        with self.lock:
            self.slowest_s = max(self.slowest_s, time.monotonic() - begun)
        if response.status == 503:
            self.check_refusal(response, body)
        return not response.will_close

    # ---- callers ----

    def keep_idle(self):
        """Connections that are left idle, every second one after a request; the callers keep all."""
        begun = time.monotonic()
        while time.monotonic() < self.end:
            connection = self.connect()
            if len(self.idle) % 2 == 0:
                self.ask(connection, "idle")
            else:
                connection.connect()
            self.idle.append(connection)
            time.sleep(max(0.0, begun + len(self.idle) / IDLE_A_SECOND - time.monotonic()))

    def ask_kept(self):
        """One connection that is in use all the time, for the newest route that has to be in force."""
        connection = self.connect()
        while time.monotonic() < self.end:
            due = [name for at, name in list(self.new) if time.monotonic() >= at]
            if due:
                before = self.refusals_by_configuration()
                whole = self.ask(connection, "kept", path="/%s/x" % due[-1], key="key-" + due[-1])
                if self.refusals_by_configuration() > before:
                    self.late.add(due[-1])
            else:
                whole = self.ask(connection, "kept")
            if not whole:
                connection.close()
                connection = self.connect()
            time.sleep(0.1)

    def refusals_by_configuration(self):
        with self.lock:
            return sum(number for (_, status), number in self.counts.items() if status in (401, 404))

    def ask_once(self):
        """A connection for each request."""
        while time.monotonic() < self.end:
            connection = self.connect()
            self.ask(connection, "once")
            connection.close()
            time.sleep(0.05)

    def join(self):
        for thread in self.threads:
            thread.join(LOAD_S + 15)
        for connection in self.idle:
            connection.close()


def metric(router, name):
    """None if there is no answer."""
    text = fleets.http("GET", "http://%s:%d/metrics" % (router.ip, platform_fleet.METRICS))[1]
    values = [line.split()[1] for line in text.split("\n") if line.startswith(name)]
    return float(values[0]) if values else None


def add_up(counts):
    total = {}
    for statuses in counts:
        for status, number in statuses.items():
            total[status] = total.get(status, 0) + number
    return total


def play(name, fleet, soft, hard):
    """Each router has its own callers. Returns the numbers of answers by status."""
    for router in fleet.routers:
        start_limited(router, soft, hard)
    fleet.wait_ready()
    new = []
    end = time.monotonic() + LOAD_S
    loads = [Load(fleet, router, new, end) for router in fleet.routers]
    change_configs(fleet, new, end)
    for load in loads:
        load.join()
    seen = {kind: add_up([load.statuses(kind) for load in loads]) for kind in ("idle", "kept", "once")}
    print("%s: %d idle connections, answers by status %s, slowest %.2f s" % (
        name, sum(len(load.idle) for load in loads), seen, max(load.slowest_s for load in loads)), flush=True)
    late = set().union(*(load.late for load in loads))
    check("%s: configurations are in force in time" % name, not late and new, "%d of %d late" % (len(late), len(new)))
    total = add_up(seen.values())
    wrong = {status: number for status, number in total.items() if status not in (200, 503)}
    check("%s: every request gets a complete answer, none 401, 404 or 502" % name, not wrong, wrong)
    bad = [refusal for load in loads for refusal in load.bad_refusals]
    check("%s: refusals say when to come again and that nothing was run" % name, not bad, bad[:1])
    check("%s: connections in use are served" % name, set(seen["kept"]) == {200}, seen["kept"])
    failures = [metric(router, "chervil_" + what) for router in fleet.routers
                for what in ("accept_failures", "connect_failures_local")]
    check("%s: no router runs out of descriptors" % name, not any(failures) and None not in failures, failures)
    return total


def fill_with_requests(name, fleet):
    """More requests at a time than the router has descriptors for."""
    router = fleet.routers[0]
    sockets = []
    request = ("POST /file/x HTTP/1.1\r\nHost: %s\r\nAuthorization: Token key-skagen\r\n"
               "Chervilpass-Request-Id: fill-%%d\r\nContent-Length: 10\r\n\r\nabc" % platform_fleet.HOST)
    answers, lost, waiting = 0, 0, 0
    for number in range(FEW):
        connection = socket.create_connection((router.ip, platform_fleet.CALLER_PORT), ANSWER_S)
        sockets.append(connection)
        try:
            connection.sendall((request % number).encode())
        except OSError:
            pass  # the answer is looked for below
    time.sleep(REFUSED_S)
    for connection in sockets:
        connection.setblocking(False)
        received = b""
        try:
            while True:
                piece = connection.recv(65536)
                if not piece:
                    break
                received += piece
        except BlockingIOError:
            pass
        except OSError:
            pass
        lines = received.lower()
        if lines.startswith(b"http/1.1 503") and b"retry-after:" in lines and b"connection: close" in lines:
            answers += 1
        elif not received:
            # Still open: its body is awaited.
            try:
                closed = connection.recv(1) == b""
            except BlockingIOError:
                closed = False
            except OSError:
                closed = True
            lost += closed
            waiting += not closed
        else:
            lost += 1
    check("%s: callers over the limit are refused in full at once" % name, lost == 0 and answers > 0,
          "%d refused, %d without an answer, %d whose body is awaited" % (answers, lost, waiting))
    fleet.slow_routes.append("while-full")
    acknowledged = fleet.put_config()
    time.sleep(IN_FORCE_S)
    version = metric(router, "chervil_config_version")
    check("%s: the configuration is in force while all connections are taken" % name,
          acknowledged and version == fleet.version, "%s of %d" % (version, fleet.version))
    for connection in sockets:
        connection.close()


def play_few(name, fleet):
    play(name, fleet, FEW, FEW)
    fill_with_requests(name, fleet)


def play_raised(name, fleet):
    """The process may raise its limit itself."""
    seen = play(name, fleet, FEW, MANY)
    check("%s: nothing is refused" % name, set(seen) == {200}, seen)


CELLS = {"few": play_few, "raised": play_raised}


def make_fleet(subnet):
    folder = os.path.join(fleets.BUILD, "descriptor-limits-%d" % subnet)
    fleet = platform_fleet.PlatformFleet(folder, subnet, routers_each=2, workers_each=1)
    fleet.call_timeout_ms = 2000
    fleet.start()
    return fleet


if __name__ == "__main__":
    platform_fleet.play_cells(__doc__, CELLS, None, make_fleet, 84)
    sys.exit(1 if FAILED else 0)
