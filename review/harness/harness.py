"""Stand-ins and routers for the scripts of this review: a store, plain servers, a TCP proxy that can fall silent or
reset, and routers as separate processes. All but the routers run in one asyncio loop on loopback addresses."""

import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "app.example"
KEY = "key-skagen"
DRAIN_S, CONTACT_S = 2.0, 3.0
FRONT, READY, DIRECTORY, GOSSIP, STATE, FORWARD = 8227, 8220, 8224, 7340, 7341, 7342
STORE_PORT, SERVER_PORT = 8223, 8100
SLOTS = 32  # of a server


def now():
    return time.monotonic()


async def read_message(reader):
    """Reads one HTTP/1.1 message with a length, in chunks or without a body. Returns (first line, headers, body), or
    None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def message(first_line, headers, body=b""):
    text = first_line + "\r\n" + "".join("%s: %s\r\n" % item for item in headers)
    return (text + "Content-Length: %d\r\n\r\n" % len(body)).encode("latin-1") + body


class Listener:
    """A server of kept connections; `answer` takes (first line, headers, body) and returns bytes, or None to reset."""

    def __init__(self, ip, port):
        self.ip, self.port, self.writers, self.server = ip, port, set(), None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 20)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first_line, headers, body = await read_message(reader)
                answer = await self.answer(first_line, headers, body)
                if answer is None:
                    writer.transport.abort()
                    return
                writer.write(answer)
                await writer.drain()
                if b"\r\nConnection: close\r\n" in answer.split(b"\r\n\r\n")[0] + b"\r\n":
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """As the end of its process: nothing listens any more, and all connections break."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Listener):
    """The platform's metadata store (PROTOCOL.md)."""

    def __init__(self, ip):
        super().__init__(ip, STORE_PORT)
        self.kinds, self.history, self.revision, self.waiters = {}, [], 10, set()

    def put(self, kind, name, spec):
        self.revision += 1
        item = {"metadata": {"name": name, "rev": self.revision, "createdRev": self.revision, "finalizers": [],
                             "deleting": False}, "spec": spec, "status": {}}
        self.kinds.setdefault(kind, {})[name] = item
        self.changed(kind, item, False)
        return item

    def remove(self, kind, name):
        item = self.kinds.get(kind, {}).pop(name, None)
        if item:
            self.revision += 1
            item = dict(item, metadata=dict(item["metadata"], rev=self.revision))
            self.changed(kind, item, True)

    def changed(self, kind, item, deleted):
        self.history.append((self.revision, kind, {"object": item, "deleted": deleted}))
        for waiter in self.waiters:
            waiter.set()

    def events(self, kind, since):
        return [event for revision, k, event in self.history if k == kind and revision > since]

    async def answer(self, first_line, headers, body):
        method, target, _ = first_line.split(" ")
        path, _, query = target.partition("?")
        fields = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        parts = path[len("/v1/objects/"):].split("/")
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        items = self.kinds.setdefault(kind, {})

        def reply(status, value):
            return message("HTTP/1.1 %d X" % status, [("Content-Type", "application/json")], json.dumps(value).encode())
        await asyncio.sleep(0.004)
        if method == "GET" and "watch" in fields:
            since, until = int(fields["watch"]), now() + int(fields.get("waitMs", 0)) / 1000
            changed = asyncio.Event()
            self.waiters.add(changed)
            while not self.events(kind, since) and now() < until:
                changed.clear()
                try:
                    await asyncio.wait_for(changed.wait(), until - now())
                except asyncio.TimeoutError:
                    break
            self.waiters.discard(changed)
            return reply(200, {"events": self.events(kind, since), "storeRevision": self.revision})
        if method == "GET" and name:
            return reply(200, items[name]) if name in items else reply(404, {})
        if method == "GET":
            return reply(200, {"items": [items[n] for n in sorted(items)], "hasMore": False,
                               "storeRevision": self.revision})
        given = json.loads(body) if body else {}
        metadata = given.get("metadata", {})
        name = name or metadata.get("name", "")
        known = items.get(name)
        revision = metadata.get("rev", fields.get("rev"))
        if method == "POST" and known:
            return reply(409, known)
        if method != "POST" and not known:
            return reply(404, {})
        if known and revision is not None and int(revision) != known["metadata"]["rev"]:
            return reply(409, known)
        if method == "DELETE":
            self.remove(kind, name)
            return reply(200, {})
        if known and known["spec"] == given.get("spec"):
            return reply(200, known)
        return reply(201 if method == "POST" else 200, self.put(kind, name, given.get("spec")))


class Proxy:
    """Between one router and the store. While `silent`, nothing passes in either direction; connections stay."""

    def __init__(self, ip, port, to):
        self.ip, self.port, self.to, self.silent, self.open = ip, port, to, False, asyncio.Event()
        self.open.set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    async def serve(self, reader, writer):
        try:
            await self.open.wait()
            to_reader, to_writer = await asyncio.open_connection(*self.to)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.copy(reader, to_writer), self.copy(to_reader, writer))

    async def copy(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.open.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    def cut(self):
        self.open.clear()

    def heal(self):
        self.open.set()


class Server(Listener):
    """A plain server (PROTOCOL.md, "Workers"): runs a request, echoes its id and seals its answer. It leaves as the
    page says: reports `draining`, goes on for drainMs after the store has accepted that and `linger_s` longer, and
    ends."""

    def __init__(self, fleet, number, zone):
        super().__init__("127.0.%d.%d" % (fleet.subnet, 100 + number % 100), SERVER_PORT + number // 100)
        self.fleet, self.id, self.zone = fleet, "i-%04x" % (0x5a00 + number), zone
        self.work_s, self.acked, self.ended, self.running = 0.06, None, False, 0
        self.seq = 0

    def entry(self, state):
        return {"service": "register", "address": "%s:%d" % (self.ip, self.port), "zone": self.zone, "version": "1",
                "slots": SLOTS, "state": state, "warmupLeftMs": 0, "seq": 1, "born": self.born}

    async def start(self):
        self.born = int(time.time() * 1000)
        await super().start()
        self.fleet.store.put("servers", self.id, self.entry("ready"))

    async def answer(self, first_line, headers, body):
        method, target, _ = first_line.split(" ")
        request = headers.get("chervilpass-request-id", "")
        if not request:
            state = 200 if self.acked is None else 503
            return message("HTTP/1.1 %d X" % state, [("Chervilpass-Instance-Id", self.id)])
        arrival = {"at": now(), "server": self.id, "id": request, "method": method, "ran": False, "done": False}
        self.fleet.arrivals.append(arrival)
        if headers.get("chervilpass-expect-instance", self.id) != self.id:
            return message("HTTP/1.1 421 X", [("Chervilpass-Request-Id", request), ("Chervilpass-Not-Executed", "1")])
        arrival["ran"] = True
        self.running += 1
        await asyncio.sleep(self.work_s)
        self.running -= 1
        arrival["done"] = not self.ended  # the end of the process cuts what is running
        return message("HTTP/1.1 200 OK", [("Chervilpass-Request-Id", request),
                                           ("Chervilpass-Server-Seal", "%s.%s" % (self.id, request)),
                                           ("Chervilpass-Server-Load", "%d,0,%d" % (self.running, SLOTS))] +
                       ([("Connection", "close")] if self.acked is not None else []), b"x" * 200)

    async def leave(self, linger_s, reports=True):
        """Some never report `draining`: their entry is removed, and they go on for the same time."""
        if reports:
            self.fleet.store.put("servers", self.id, self.entry("draining"))
        else:
            self.fleet.store.remove("servers", self.id)
        self.acked = now()
        await asyncio.sleep(DRAIN_S + linger_s)
        self.ended = True
        self.stop()
        self.fleet.store.remove("servers", self.id)


class Router:
    def __init__(self, fleet, number, zone):
        self.fleet, self.zone = fleet, zone
        self.ip = "127.0.%d.%d" % (fleet.subnet, number)
        self.name = "front-%d" % number
        self.proxy = Proxy(self.ip, 9000, (fleet.store.ip, STORE_PORT))
        self.out_since, self.process = [], None  # spans in which it was cut off

    def in_touch(self, at):
        return all(not (begin <= at and at - CONTACT_S < end) for begin, end in self.out_since)

    def start(self):
        fields = {"node": self.name, "ip": self.ip, "zone": self.zone, "region": "dk-sjaelland",
                  "listen": {"front": "%s:%d" % (self.ip, FRONT), "ready": "%s:%d" % (self.ip, READY),
                             "directory": "%s:%d" % (self.ip, DIRECTORY)},
                  "portRange": [GOSSIP, STATE, FORWARD],
                  "seeds": ["%s:8229" % router.ip for router in self.fleet.routers[:3]],
                  "platform": {"address": "%s:9000" % self.ip},
                  "bounds": {"graceS": 8, "budgetRatio": 0.2, "retrySlack": 202},
                  "limits": {"memoryMb": 260, "maxFds": 4100}}

        def fill(found):
            value = fields
            for step in found.group(1).split("."):
                value = value[int(step)] if isinstance(value, list) else value[step]
            return json.dumps(value) if found.group(2) else ",".join(value) if isinstance(value, list) else str(value)
        with open(os.path.join(ROOT, "deploy", "router.yaml.in")) as file:
            text = re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, file.read())
        config = os.path.join(self.fleet.folder, self.name + ".yaml")
        with open(config, "w") as file:
            file.write(text)
        self.log = open(os.path.join(self.fleet.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen([os.path.join(ROOT, "target", "chervil-router"), "--config", config], cwd=ROOT,
                                        stdout=self.log, stderr=self.log, stdin=subprocess.DEVNULL)

    def cut(self):
        self.proxy.cut()
        self.out_since.append([now(), float("inf")])

    def heal(self):
        self.proxy.heal()
        self.out_since[-1][1] = now()

    def freeze(self):
        self.process.send_signal(signal.SIGSTOP)
        self.out_since.append([now(), float("inf")])

    def wake(self):
        self.process.send_signal(signal.SIGCONT)
        self.out_since[-1][1] = now()


def free_subnet():
    """Of 127.0.N.0: another fleet on this machine has other addresses."""
    for subnet in random.sample(range(70, 250), 180):
        try:
            for host, port in ((200, STORE_PORT), (1, FRONT), (1, GOSSIP)):
                with socket.socket() as probe:
                    probe.bind(("127.0.%d.%d" % (subnet, host), port))
            return subnet
        except OSError:
            continue
    raise RuntimeError("no free addresses")


class Fleet:
    def __init__(self, zones, routers_each, servers):
        self.subnet, self.zones = free_subnet(), zones
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store("127.0.%d.200" % self.subnet)
        self.routers, self.servers, self.arrivals, self.sent = [], [], [], {}
        for index, zone in enumerate(zones):
            for number in range(routers_each):
                self.routers.append(Router(self, 1 + index * routers_each + number, zone))
        self.next_server, self.initial = 0, servers
        self.stopping = False
        self.lag = 0.0  # longest delay of this script's own loop
        self.latest = 0.0  # longest time from an acknowledgement to a late request

    async def watch_loop(self):
        while not self.stopping:
            begin = now()
            await asyncio.sleep(0.005)
            self.lag = max(self.lag, now() - begin - 0.005)

    def config(self):
        def route(name, kind, attempts):
            return {"name": name, "host": HOST, "pathPrefix": "/%s/" % name, "kind": kind, "timeoutMs": 3000,
                    "sloMs": 500, "priority": 1, "service": "register", "attempts": attempts}
        return {"version": 7, "routes": [route("file", "non_idempotent", 1), route("lookup", "idempotent", 2)],
                "services": [{"name": "register", "healthPath": "/health", "maxConns": 400}],
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 3000,
                           "idleTimeoutMs": 15000},
                "tenants": [{"name": "skagen", "apiKeys": [KEY]}]}

    async def add_server(self):
        server = Server(self, self.next_server, self.zones[self.next_server % len(self.zones)])
        self.next_server += 1
        self.servers.append(server)
        await server.start()
        return server

    async def start(self):
        await self.store.start()
        self.store.put("config", "main", self.config())
        for _ in range(self.initial):
            await self.add_server()
        for router in self.routers:
            await router.proxy.start()
        for router in self.routers:
            router.start()
        until = now() + 15
        while not all([await self.ready(router) for router in self.routers]):
            if now() > until:
                raise RuntimeError("the routers are not ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(3)
        self.loop_watch = asyncio.create_task(self.watch_loop())

    async def ready(self, router):
        try:
            reader, writer = await asyncio.open_connection(router.ip, READY)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            first_line, _, _ = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return " 200" in first_line
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def call(self, router, connection, method, path, deadline_s=1.0):
        """Sends a request on a kept connection, or a new one; returns the connection for the next request."""
        request = "%016x" % random.getrandbits(64)
        sent = {"id": request, "router": router.name, "method": method, "at": now(), "status": 0}
        self.sent[request] = sent
        try:
            if connection is None:
                connection = await asyncio.wait_for(asyncio.open_connection(router.ip, FRONT), 1)
            reader, writer = connection
            writer.write(message("%s %s HTTP/1.1" % (method, path),
                                 [("Host", HOST), ("Chervilpass-Request-Id", request),
                                  ("Chervilpass-Deadline-Ms", str(int(deadline_s * 1000))),
                                  ("Authorization", "Token " + KEY)], b"filing" if method == "POST" else b""))
            first_line, headers, _ = await asyncio.wait_for(read_message(reader), deadline_s + 1)
            sent["status"] = int(first_line.split(" ")[1])
            sent["sealed"] = "chervilpass-server-seal" in headers
            if headers.get("connection", "").lower() == "close":
                writer.close()
                connection = None
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            if connection:
                connection[1].close()
            connection = None
        sent["ended"] = now()
        return connection

    async def client(self, router, pause_s):
        connection = None
        while not self.stopping:
            method, path = random.choice([("POST", "/file/x"), ("GET", "/lookup/x")])
            connection = await self.call(router, connection, method, path)
            await asyncio.sleep(random.uniform(0.5, 1.5) * pause_s)

    def late_requests(self, begin, lines):
        """Adds a line for each arrival to `lines`. Returns those that break DRAIN, and how many calls of these that may
        run once got no answer of their server."""
        servers = {server.id: server for server in self.servers}
        routers = {router.name: router for router in self.routers}
        late, lost = [], 0
        for arrival in self.arrivals:
            sent, since = self.sent[arrival["id"]], servers[arrival["server"]].acked
            lines.append("%.3f %s %s sent to %s at %.3f reaches %s%s, runs %s, whole %s, the client gets %s" % (
                arrival["at"] - begin, arrival["method"], arrival["id"], sent["router"], sent["at"] - begin,
                arrival["server"], " %.3f s after its leaving was acknowledged" % (arrival["at"] - since)
                if since and since < arrival["at"] else "", arrival["ran"], arrival["done"], sent["status"]))
            if since and arrival["ran"] and arrival["at"] > since + DRAIN_S and routers[sent["router"]].in_touch(
                    arrival["at"]):
                late.append(lines[-1])
                self.latest = max(self.latest, arrival["at"] - since)
                lost += arrival["method"] == "POST" and sent["status"] != 200
        return late, lost

    def judge_drain(self, begin, lines, record):
        """Writes the record. Returns the exit code."""
        late, lost = self.late_requests(begin, lines)
        arrived = {arrival["id"] for arrival in self.arrivals}
        lines += ["%.3f %s %s sent to %s reaches no server, the client gets %s" % (
            sent["at"] - begin, sent["method"], sent["id"], sent["router"], sent["status"])
            for sent in self.sent.values() if sent["id"] not in arrived]
        calls = [sent for sent in self.sent.values() if "ended" in sent]
        summary = ["requests %d, answered 200 %d" % (len(calls), sum(sent["status"] == 200 for sent in calls)),
                   "DRAIN: requests that ran later than %.1f s after the acknowledgement, by routers in touch: %d" % (
                       DRAIN_S, len(late)),
                   "the latest of them %.3f s after it; the longest delay of this script's own loop %.3f s" % (
                       self.latest, self.lag),
                   "of these, calls that may run once and got no answer of the server: %d" % lost]
        with open(record, "w") as file:
            file.write("\n".join(summary + late[:20] + [""] + lines) + "\n")
        print("\n".join(summary))
        return 1 if late else 0

    def stop(self):
        for router in self.routers:
            if router.process and router.process.poll() is None:
                router.process.kill()
                router.process.wait()


def play(main, limit_s=115):
    """Runs main() for `limit_s` at most. Exits with what it returns, with 2 after an error."""
    async def guarded():
        # Connections that break at the end are no errors.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(main(), limit_s)
    try:
        code = asyncio.run(guarded())
    except BaseException as error:  # noqa: B902
        print("could not run: %r" % error)
        code = 2
    sys.stdout.flush()
    os._exit(code)
