"""Plays overlapping series of faults, drawn from a seed, against a fleet of real processes,
and checks what its callers see. Real processes on loopback.

    soak.py [--seeds FIRST LAST | --seed N] [--seconds S] [--subnet N]

Callers use kept connections, or close their sending side after a request, or send bodies slowly; an
operator changes the configuration about each second. Others send bytes without end, or hold bodies back.
A seed fails if

 - LOST: a request sent whole on a connection gets no complete answer. Not counted are
   requests beside unplanned trouble of their router or a crash of a server of their kind,
   and those that cross the close of a connection and do not run;
 - CONFIG: a configuration is not in force 2 s after its acknowledgement at a router in
   touch, or a process goes back to an older one;
 - DENIED: a proper request gets a 4xx other than 408, 421 and 429;
 - TWICE: a request that must not be repeated has run more than once;
 - REFUSED: such a request has run although its answer says that it has not;
 - ORDER: a stream lacks an event, or has one twice;
 - ENDED: a process ends by itself, or not in order within its grace period;
 - SCRIPT: an error of this script.

The logs and soak.txt (findings and faults, with times as in the logs) stay in
run/soak-SUBNET/seed-N."""

import argparse
import collections
import datetime
import http.client
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
import traceback

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
import fleet as fleets  # noqa: E402
import platform_fleet  # noqa: E402
import ending_connections  # noqa: E402
import endless_bytes  # noqa: E402
from process_life import ignores_broken_pipes  # noqa: E402

BASE_KEY = "key-skagen"
CONTACT_S = 3.0            # without trouble for so long, a router is in touch
APPLY_S = 2.0              # from an acknowledgement until the configuration must be in force
LOSS_SLACK_S = 0.2         # a connection that ends this soon after its request may not have been read
GRACE_S = 8.0
DEADLINE_S = 6.0
DRAIN_S = 4.0              # a server that leaves serves for so long after the store has accepted it
KEPT_ROUTES = 8            # of the added ones
STREAMS = ("draft", "once")
ONCE = ("once", "file")    # must not be repeated
CALLERS = ("lookup", "lookup", "file", "draft", "once")  # of each router
ODD_CALLERS = 3            # of each router
RULES = ("LOST", "CONFIG", "DENIED", "TWICE", "REFUSED", "ORDER", "ENDED", "SCRIPT")

Outcome = collections.namedtuple("Outcome", "request route router sent ended kind status detail")


class Trouble:
    """Spans of trouble by name (of a router, of a group of servers, or of the store)."""

    def __init__(self):
        self.spans = collections.defaultdict(list)

    def begin(self, name):
        span = [time.monotonic(), float("inf")]
        self.spans[name].append(span)
        return span

    def touches(self, name, begin, end):
        """True if there was trouble within `begin` to `end` or up to CONTACT_S before."""
        return any(first <= end and last + CONTACT_S >= begin for first, last in list(self.spans[name]))


class Soak:
    def __init__(self, seed, folder, subnet, seconds):
        self.draw, self.seconds = random.Random(seed), seconds
        centres = ("hal-1", "hal-2", "hal-3")[:self.draw.choice((2, 3))]
        self.fleet = platform_fleet.PlatformFleet(folder, subnet, centres, routers_each=2, workers_each=3)
        self.record = open(os.path.join(folder, "soak.txt"), "w", buffering=1)
        self.found, self.counts, self.lock = collections.Counter(), collections.Counter(), threading.Lock()
        self.trouble, self.threads, self.outcomes = Trouble(), [], []
        self.run_counts = collections.defaultdict(dict)  # by request: runs by (server, process id)
        self.busy, self.stopping, self.stopped = set(), {}, False  # busy: names of processes whose end is expected
        self.closed, self.start_lock = False, threading.Lock()  # closed: nothing is started any more
        self.leavings = collections.defaultdict(list)  # by router: [SIGTERM, end]
        self.seen = {}   # newest configuration seen, by (router, process id)
        self.step = 0
        self.idle_limits = {0: self.fleet.idle_timeout_ms / 1000}  # by configuration, of those that may be in force
        self.unread = self.draw.choice(self.fleet.routers) if self.draw.random() < 0.4 else None

    def note(self, text):
        now = datetime.datetime.now(datetime.timezone.utc).strftime("%H:%M:%S.%f")[:-3]
        self.record.write("%s %s\n" % (now, text))

    def fail(self, rule, text):
        with self.lock:
            self.found[rule] += 1
        self.note("%s: %s" % (rule, text))

    def run_thread(self, function, *args):
        try:
            function(*args)
        except Exception:  # a fault of this script: what it did not play or check must not pass
            self.fail("SCRIPT", traceback.format_exc())

    def spawn(self, function, *args):
        thread = threading.Thread(target=self.run_thread, args=(function,) + args, daemon=True)
        self.threads.append(thread)
        thread.start()

    # ---- processes ----

    def start_process(self, process):
        with self.start_lock:
            if not self.closed:
                self.start_unless_closed(process)

    def start_unless_closed(self, process):
        if self.unread and process is self.unread.process:
            if not hasattr(process, "pipe"):
                process.pipe = os.pipe()
            process.child = subprocess.Popen([os.path.join(fleets.BUILD, process.binary), "--config", process.config],
                                             stdout=process.pipe[1], stderr=process.pipe[1], stdin=subprocess.DEVNULL)
        else:
            process.start()
        process.started = time.monotonic()

    def signal(self, process, number):
        """Signals a process that has prepared for signals."""
        try:
            if not ignores_broken_pipes(process):
                return
        except (OSError, StopIteration):
            return
        self.note("%s to %s" % (number.name, process.name))
        process.send(number)

    def watch_processes(self):
        while not self.stopped:
            for process in self.fleet.all_processes():
                if process.name not in self.busy and not process.running() and process.name not in self.busy:
                    self.fail("ENDED", "%s by itself, exit code %s" % (process.name, process.child.returncode))
                    self.start_process(process)
            time.sleep(0.02)

    def claim(self, process, group=()):
        """True if the caller may end this process; of a group of servers, at most a third at once."""
        with self.lock:
            if process.name in self.busy or time.monotonic() - process.started < 1.0:
                return False
            if group and sum(other.name in self.busy for other in group) >= max(1, len(group) // 3):
                return False
            self.busy.add(process.name)
            return True

    # ---- faults ----

    def stop_in_order(self, router, draw):
        process = router.process
        if not self.claim(process):
            return
        fleets.wait_until(lambda: ignores_broken_pipes(process), 5, "%s is prepared for signals" % router.name)
        begun = self.stopping[router.name] = time.monotonic()
        leaving = [begun, float("inf")]
        self.leavings[router.name].append(leaving)
        self.signal(process, signal.SIGTERM)
        for _ in range(draw.choice((0, 0, 1, 2, 4))):
            time.sleep(draw.uniform(0, 0.6))
            if process.running():
                self.signal(process, draw.choice((signal.SIGTERM, signal.SIGINT, signal.SIGHUP)))
        try:
            code = process.child.wait(GRACE_S + 1 - (time.monotonic() - begun))
        except subprocess.TimeoutExpired:
            code = "none"
        elapsed_s = time.monotonic() - begun
        if code != 0 and not (code == "none" and self.trouble.touches(router.name, begun, begun + elapsed_s)):
            self.fail("ENDED", "%s after SIGTERM, exit code %s after %.2f s" % (router.name, code, elapsed_s))
        if code == "none":
            self.trouble.begin(router.name)[1] = time.monotonic()
            process.kill()
        self.note("%s ended with %s after %.2f s" % (router.name, code, elapsed_s))
        leaving[1] = time.monotonic() + LOSS_SLACK_S
        self.start_process(process)
        del self.stopping[router.name]
        self.busy.discard(process.name)

    def stop_all(self, _, draw):
        for router in self.fleet.routers:
            self.spawn(self.stop_in_order, router, random.Random(draw.random()))
            time.sleep(1.0)

    def change_settings(self, router, draw):
        for _ in range(draw.randrange(1, 6)):
            with open(router.process.config) as file:
                lines = [line for line in file.read().splitlines() if not line.startswith("limits:")]
            lines.append("limits: {grace_seconds: 8, retry_share: 0.2, retry_reserve: %d}" % draw.randrange(100, 300))
            new = "%s.%d" % (router.process.config, threading.get_ident())  # changes may overlap
            with open(new, "w") as file:
                file.write("\n".join(lines) + "\n")
            os.rename(new, router.process.config)
            self.signal(router.process, signal.SIGHUP)
            time.sleep(draw.uniform(0, 0.3))

    def pause(self, router, draw):
        span = self.trouble.begin(router.name)
        self.signal(router.process, signal.SIGSTOP)
        time.sleep(draw.uniform(0.1, 2.5))
        router.process.send(signal.SIGCONT)
        span[1] = time.monotonic()

    def kill(self, router, draw):
        if not self.claim(router.process):
            return
        span = self.trouble.begin(router.name)
        self.note("SIGKILL to " + router.name)
        router.process.kill()
        time.sleep(draw.choice((0, 0, 0.5)))
        self.start_process(router.process)
        span[1] = time.monotonic()
        self.busy.discard(router.process.name)

    def stray(self, router, draw):
        for _ in range(draw.randrange(1, 7)):
            self.signal(router.process, draw.choice((signal.SIGUSR1, signal.SIGUSR2, signal.SIGPIPE)))
            time.sleep(draw.uniform(0, 0.1))

    def crash_server(self, _, draw):
        group = draw.choice((self.fleet.workers, self.fleet.plain))
        server = draw.choice(group)
        if not self.claim(server, group):
            return
        span = self.trouble.begin(group is self.fleet.workers)
        self.note("crash of " + server.name)
        server.kill()
        time.sleep(draw.uniform(0.1, 1.5))
        self.start_process(server)
        span[1] = time.monotonic()
        self.busy.discard(server.name)

    def server_leaves(self, _, draw):
        """A planned departure: it excuses nothing."""
        group = draw.choice((self.fleet.workers, self.fleet.plain))
        server = draw.choice(group)
        if not self.claim(server, group):
            return
        self.note("%s leaves" % server.name)
        order = json.dumps({"drain": True, "leaving": draw.random() < 0.5})
        # A server that has just been started may not listen yet.
        fleets.wait_until(lambda: fleets.http("POST", "http://%s/admin/faults" % server.address, order)[0] == 200,
                          GRACE_S, "%s takes the order to leave" % server.name)
        entry = "http://%s/v1/objects/servers/%s" % (self.fleet.store_address(), server.name)
        while not self.stopped and '"draining"' not in fleets.http("GET", entry, timeout=1)[1]:
            time.sleep(0.1)
        time.sleep(DRAIN_S)
        while not self.stopped and '"running":0' not in fleets.http("GET", "http://%s/v1/report" % server.address)[1]:
            time.sleep(0.05)
        self.collect_runs(server)
        server.kill()
        fleets.http("DELETE", entry, timeout=1)
        self.note("%s is gone" % server.name)
        time.sleep(draw.uniform(0, 1))
        self.start_process(server)
        self.busy.discard(server.name)

    def store_fault(self, _, draw):
        if self.trouble.touches("store", time.monotonic() + CONTACT_S - 0.5, time.monotonic()):
            return
        fault = draw.choice(({"outage": "busy"}, {"outage": "silent"}, {"outage": "reset"}, {"slow_ms": 400},
                             {"lose_answers": 3}, {"forget_history": True}))
        span = self.trouble.begin("store")
        self.note("store: %s" % fault)
        self.fleet.store_faults(**fault)
        time.sleep(draw.uniform(0.2, 3.0))
        self.fleet.store_faults(outage="", slow_ms=0, lose_answers=0)
        span[1] = time.monotonic()
        self.note("store: calm")

    def send_noise(self, router, draw):
        """Bytes without end, or a body that is held back, on some connections."""
        name = draw.choice(sorted(endless_bytes.CALLER_FORMS))
        first, again = endless_bytes.CALLER_FORMS[name]
        until = time.monotonic() + draw.uniform(0.3, 2.0)
        self.note("%s from callers of %s" % (name, router.name))

        def send():
            try:
                with socket.create_connection((router.ip, platform_fleet.CALLER_PORT), 1) as connection:
                    connection.settimeout(1)
                    endless_bytes.send_form(connection, (first.replace(b"/%s/", b"/lookup/"), again), b"noise",
                                            lambda: self.stopped or time.monotonic() > until)
                    while time.monotonic() < until and connection.recv(65536):
                        pass
            except OSError:
                pass
        for _ in range(draw.randrange(1, 5)):
            self.spawn(send)

    def play_faults(self):
        kinds = ([self.send_noise] * 2 + [self.stop_in_order] * 3 + [self.change_settings] * 3 + [self.stray] * 2 +
                 [self.server_leaves] * 3 + [self.stop_all] * (self.draw.random() < 0.5))
        if self.draw.random() < 0.6:  # else all trouble is planned, and excuses nothing
            kinds += [self.pause, self.kill, self.crash_server] * 2 + [self.store_fault]
        until = time.monotonic() + self.seconds
        while time.monotonic() < until:
            self.spawn(self.draw.choice(kinds), self.draw.choice(self.fleet.routers),
                       random.Random(self.draw.random()))
            time.sleep(self.draw.choice((0.05, self.draw.uniform(0.2, 1.6))))

    # ---- operator ----

    def operate(self, draw):
        while not self.stopped:
            self.step += 1
            steps = range(max(1, self.step - KEPT_ROUTES + 1), self.step + 1)
            self.fleet.slow_routes = ["added-%d" % step for step in steps]
            self.fleet.keys = [BASE_KEY] + ["key-%d" % step for step in steps]
            if draw.random() < 0.2:
                self.fleet.idle_timeout_ms = draw.choice((15000, 1500, 500))
            self.idle_limits[self.step] = self.fleet.idle_timeout_ms / 1000
            if self.fleet.put_config():
                acknowledged = time.monotonic()
                self.note("configuration %d acknowledged as version %d, idle limit %d ms" % (
                    self.step, self.fleet.version, self.fleet.idle_timeout_ms))
                for router in self.fleet.routers:
                    self.spawn(self.probe, router, self.step, acknowledged, draw.uniform(0.1, 1.5))
            time.sleep(draw.uniform(0.7, 1.4))

    def probe(self, router, step, acknowledged, early_s):
        """Asks for a configuration before it must be in force, and when it must be."""
        for after_s in (early_s, APPLY_S):
            time.sleep(max(0.0, acknowledged + after_s - time.monotonic()))
            if after_s == APPLY_S:
                for older in [other for other in list(self.idle_limits) if other < step]:
                    self.idle_limits.pop(older, None)
            if not self.stopped:
                self.ask_for(router, step, "GET /added-%d/x" % step, "key-%d" % step, True, after_s)
                if step > KEPT_ROUTES:
                    old = step - KEPT_ROUTES
                    self.ask_for(router, step, "GET /added-%d/x" % old, BASE_KEY, False, after_s)
                    self.ask_for(router, step, "GET /lookup/x", "key-%d" % old, False, after_s)

    def ask_for(self, router, step, what, key, allowed, after_s):
        process = (router.name, router.process.child.pid)
        seen, sent = self.seen.get(process, 0), time.monotonic()
        leaving = router.name in self.stopping
        request = "probe-%d-%s-%.1f-%d" % (step, router.name, after_s, time.monotonic_ns())
        status, text, _ = self.fleet.ask(router, *what.split(), request, key, timeout=3.0)
        if process[1] != router.process.child.pid:
            return
        taken = (status == 200) if allowed else status in (401, 404)
        missed = status in (401, 403, 404) if allowed else status == 200
        if taken and allowed:
            self.seen[process] = max(self.seen.get(process, 0), step)
        self.counts["probes"] += taken or missed
        in_touch = (not leaving and router.name not in self.stopping and sent - router.process.started > CONTACT_S and
                    not any(self.trouble.touches(name, sent, time.monotonic()) for name in (router.name, "store")))
        self.counts["probes in touch"] += in_touch and after_s >= APPLY_S
        if missed and seen >= step:
            self.fail("CONFIG", "%s went back: %s %s for configuration %d, %d was seen, request %s" % (
                router.name, what, status, step, seen, request))
        elif missed and in_touch and after_s >= APPLY_S:
            self.fail("CONFIG", "%s: %s with %s got %s, %.2f s after the acknowledgement of %d, request %s" % (
                router.name, what, key, status, after_s, step, request))

    # ---- callers ----

    def idle_limit(self):
        return min(list(self.idle_limits.values()))

    def call(self, number, route, router, draw):
        connection, count = None, 0
        while not self.stopped:
            if connection is None:
                connection = http.client.HTTPConnection(router.ip, platform_fleet.CALLER_PORT, timeout=DEADLINE_S + 2)
                try:
                    connection.connect()
                    idle_s = 0.0
                except OSError:
                    connection, router = None, draw.choice(self.fleet.routers)
                    time.sleep(0.05)
                    continue
            count += 1
            keep_s, pause_s = self.send(connection, "%s-%d-%d" % (route, number, count), route, router, idle_s, draw)
            if not keep_s:
                connection.close()
                connection, router = None, draw.choice(self.fleet.routers)
            if pause_s is None:
                pause_s = draw.uniform(0, 0.1)
                if draw.random() < 0.1:  # callers reuse connections that were idle for four fifths of the limit
                    pause_s = min(1.5, self.idle_limit()) * draw.uniform(0.1, 0.8)
            idle_since = time.monotonic()
            time.sleep(pause_s)
            idle_s = time.monotonic() - idle_since
            if connection and idle_s > min(keep_s, 0.8 * self.idle_limit()):
                connection.close()
                connection = None
        if connection:
            connection.close()

    def call_oddly(self, number, router, draw):
        """Requests on connections of their own, whose sending side is closed after the request, or whose
        bodies arrive slowly."""
        count = 0
        while not self.stopped:
            count += 1
            route, events = draw.choice(("lookup", "file", "draft", "once")), draw.randrange(3, 40)
            request = "odd-%s-%d-%d" % (route, number, count)
            body = b"b" * 1200 if route in ("file", "draft", "once") and draw.random() < 0.6 else b""
            chunked, half = draw.random() < 0.5, draw.random() < 0.5
            fields = "" if not body else ("Transfer-Encoding: chunked\r\n" if chunked else
                                          "Content-Length: %d\r\n" % len(body))
            head = ending_connections.head("POST" if route != "lookup" else "GET", "/%s/x" % route, request, events,
                                           fields)
            send = ending_connections.slowly(head, body, draw.uniform(0, 2.5), chunked) if body else None
            sent, kind, status, data = time.monotonic(), "unsent", 0, b""
            try:
                with socket.create_connection((router.ip, platform_fleet.CALLER_PORT), 1) as connection:
                    connection.settimeout(DEADLINE_S + 2)
                    try:
                        if send:
                            send(connection)
                        else:
                            connection.sendall(head)
                        sent, kind = time.monotonic(), "silent"
                        if half:
                            connection.shutdown(socket.SHUT_WR)
                    except OSError:
                        pass  # the answer may have come before the end of the body
                    data = ending_connections.read_to_end(connection)
            except OSError:
                pass
            status, whole = ending_connections.final_answer(data)
            if status:
                kind = "answered" if whole else "cut"
            if kind != "unsent":
                outcome = Outcome(request, route, router.name, sent, time.monotonic(), kind, status,
                                  "half-closed" * half + " body" * bool(body))
                self.outcomes.append(outcome)
                self.counts["odd requests"] += 1
                if kind != "answered":
                    self.note("outcome %s at %s: %s %d after %.3f s %s" % (
                        request, router.name, kind, status, outcome.ended - sent, outcome.detail))
            router = draw.choice(self.fleet.routers)
            time.sleep(draw.uniform(0, 0.2))

    def send(self, connection, request, route, router, idle_s, draw):
        """Returns for how long the connection can be kept, and the time of a refusal."""
        events = draw.randrange(3, 40)
        headers = {"Host": platform_fleet.HOST, "Chervilpass-Request-Id": request, "Authorization": "Token " + BASE_KEY,
                   "Chervilpass-Deadline-Ms": str(int(DEADLINE_S * 1000)), "Chervilpass-Token-Counts": "10,%d" % events}
        sent, status, detail, kind, keep_s, pause_s = time.monotonic(), 0, "", "silent", 0, None
        try:
            connection.request("GET" if route == "lookup" else "POST", "/%s/x" % route, headers=headers)
        except (OSError, http.client.HTTPException):
            return 0, None  # not sent whole
        sent = time.monotonic()
        try:
            response = connection.getresponse()
            status, kind = response.status, "cut"
            try:
                text = response.read().decode()
                kind = "answered"
            except http.client.IncompleteRead as error:
                text, detail = error.partial.decode(), "IncompleteRead"
            if kind == "answered" and not response.will_close:
                named = re.search(r"timeout=(\d+)", response.getheader("Keep-Alive") or "")
                keep_s = int(named.group(1)) if named else float("inf")
            if status == 200 and route in STREAMS:
                wrong = self.stream_error(text, events, kind == "answered")
                if wrong:
                    self.fail("ORDER", "%s at %s: %s" % (request, router.name, wrong))
            elif status != 200:
                detail = text[:200]
            if status in (429, 503):
                pause_s = min(0.5, float(response.getheader("Retry-After") or 0.1))
        except (OSError, http.client.HTTPException) as error:
            detail = "%s after %.3f s idle" % (repr(error)[:80], idle_s)
        outcome = Outcome(request, route, router.name, sent, time.monotonic(), kind, status, detail)
        self.outcomes.append(outcome)
        if kind != "answered" or status not in (200, 429, 503):
            self.note("outcome %s at %s: %s %d after %.3f s %s" % (request, router.name, kind, status,
                                                                   outcome.ended - sent, detail))
        return keep_s, pause_s

    def stream_error(self, text, events, whole):
        if whole:
            return self.fleet.find_stream_error(text, events)
        blocks = text.split("\n\n")[:-1]
        return self.fleet.find_stream_error("\n\n".join(blocks), len(blocks)) if blocks else ""

    # ---- checks ----

    def collect_runs(self, server):
        pid = server.child.pid
        text = fleets.http("GET", "http://%s/admin/runs" % server.address, timeout=1)[1]
        for request, count in json.loads(text or "{}").items():
            self.run_counts[request][server.name, pid] = count

    def collect_all_runs(self):
        while not self.stopped:
            for server in self.fleet.workers + self.fleet.plain:
                self.collect_runs(server)
            time.sleep(0.5)

    def runs(self, request):
        return sum(self.run_counts.get(request, {}).values())

    def excuse(self, outcome):
        if self.trouble.touches(outcome.router, outcome.sent, outcome.ended):
            return "trouble of the router"
        if self.trouble.touches(outcome.route in STREAMS, outcome.sent, outcome.ended):
            return "crash of a server"
        if outcome.kind == "silent" and outcome.ended - outcome.sent <= LOSS_SLACK_S and not self.runs(outcome.request):
            leaving = any(begin <= outcome.ended <= end for begin, end in self.leavings[outcome.router])
            return "crossed a close, %sleaving" % ("" if leaving else "not ")
        return ""

    def check_outcomes(self):
        for outcome in self.outcomes:
            shown = "%s at %s: %s %d after %.3f s, %d runs, %s" % (
                outcome.request, outcome.router, outcome.kind, outcome.status, outcome.ended - outcome.sent,
                self.runs(outcome.request), outcome.detail)
            if outcome.kind != "answered":
                excuse = self.excuse(outcome)
                self.counts["not answered: " + (excuse or "LOST")] += 1
                if not excuse:
                    self.fail("LOST", shown)
            else:
                beside = any(self.trouble.touches(name, outcome.sent, outcome.ended)
                             for name in (outcome.router, outcome.route in STREAMS))
                self.counts["status %d%s" % (outcome.status, " beside trouble" * beside)] += 1
            if 400 <= outcome.status < 500 and outcome.status not in (408, 421, 429):
                self.fail("DENIED", shown)
            if outcome.route in ONCE and self.runs(outcome.request) > 1:
                self.fail("TWICE", "%s %s" % (shown, self.run_counts[outcome.request]))
            if outcome.route in ONCE and outcome.status in (408, 421, 429, 503) and self.runs(outcome.request):
                self.fail("REFUSED", "%s %s" % (shown, self.run_counts[outcome.request]))

    def play(self):
        for process in self.fleet.all_processes():
            process.started = time.monotonic()
        self.fleet.start()
        if self.unread:
            self.unread.process.kill()
            self.start_process(self.unread.process)
            self.fleet.wait_ready()
        operator = random.Random(self.draw.random())
        for function, *args in [(self.watch_processes,), (self.collect_all_runs,), (self.operate, operator)]:
            self.spawn(function, *args)
        for index, router in enumerate(self.fleet.routers):
            for copy, route in enumerate(CALLERS):
                self.spawn(self.call, index * 10 + copy, route, router, random.Random(self.draw.random()))
            for copy in range(ODD_CALLERS):
                self.spawn(self.call_oddly, index * 10 + copy, router, random.Random(self.draw.random()))
        self.play_faults()
        fleets.wait_until(lambda: not self.busy, 2 * GRACE_S, "all faults are over")
        time.sleep(0.5)
        self.stopped = True
        for thread in self.threads:
            thread.join(DEADLINE_S + 3)
        for server in self.fleet.workers + self.fleet.plain:
            self.collect_runs(server)
        self.check_outcomes()

    def report(self, name):
        for rule in RULES:
            print("%s: %s %s: %d" % ("FAILED" if self.found[rule] else "ok", name, rule, self.found[rule]), flush=True)
        print("%s: %d requests, %d configurations, %s" % (name, len(self.outcomes), self.step, ", ".join(
            "%s %d" % item for item in sorted(self.counts.items()))), flush=True)


def play_seed(seed, subnet, seconds):
    folder = os.path.join(fleets.ROOT, "run", "soak-%d" % subnet, "seed-%d" % seed)
    soak = Soak(seed, folder, subnet, seconds)
    try:
        soak.play()
    finally:
        soak.stopped = True
        with soak.start_lock:
            soak.closed = True
        soak.fleet.stop()
    soak.report("seed-%d" % seed)
    return sum(soak.found.values())


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", nargs=2, type=int, metavar=("FIRST", "LAST"), default=(1, 2))
    parser.add_argument("--seed", type=int)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--subnet", type=int, default=78)
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # and stop the fleet
    first, last = (arguments.seed, arguments.seed) if arguments.seed is not None else arguments.seeds
    failed = sum(play_seed(seed, arguments.subnet, arguments.seconds) for seed in range(first, last + 1))
    print("soak: %d seeds, %d failed checks" % (last - first + 1, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
