"""Stand-ins for the users' platform: its store and the workers, as PROTOCOL.md describes them."""

import asyncio
import json
import time

from .web import Cut, Response, Server

HEARTBEAT_S = 1.2
STALL_S = 3.0
HISTORY = 10000


class Store:
    """Objects by kind and name, conditional writes, watches."""

    def __init__(self):
        self.kinds, self.rev, self.history = {}, 1, []
        self.changed = asyncio.Condition()
        self.server = Server(self.handle)

    async def apply(self, kind, name, spec, deleted=False):
        self.rev += 1
        objects = self.kinds.setdefault(kind, {})
        if deleted:
            item = dict(objects.pop(name))
            item["metadata"] = dict(item["metadata"], rev=self.rev)
        else:
            created = objects[name]["metadata"]["createdRev"] if name in objects else self.rev
            item = {"metadata": {"name": name, "rev": self.rev, "createdRev": created, "finalizers": [],
                                 "deleting": False}, "spec": spec, "status": {}}
            objects[name] = item
        self.history.append((self.rev, kind, item, deleted))
        async with self.changed:
            self.changed.notify_all()
        return item

    async def put(self, kind, name, spec):
        """What a worker or the operator writes; nothing happens if it changes nothing."""
        known = self.kinds.get(kind, {}).get(name)
        if known is None or known["spec"] != spec:
            await self.apply(kind, name, spec)

    async def remove(self, kind, name):
        if name in self.kinds.get(kind, {}):
            await self.apply(kind, name, None, deleted=True)

    def answer(self, status, body):
        return Response(status, {"Content-Type": "application/json"}, json.dumps(body))

    def events(self, kind, since):
        return [{"object": item, "deleted": deleted} for rev, of, item, deleted in self.history
                if rev > since and of == kind]

    async def handle(self, request):
        parts = request.path.split("/")
        if parts[:3] != ["", "v1", "objects"]:
            return self.answer(404, {})
        await asyncio.sleep(0.004)
        kind, name = parts[3], parts[4] if len(parts) > 4 else ""
        objects = self.kinds.setdefault(kind, {})
        if request.method == "GET" and "watch" in request.query:
            since = int(request.query["watch"])
            wait_s = min(int(request.query.get("waitMs", "0")), 30000) / 1000
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait_for(lambda: self.events(kind, since)), wait_s)
                except asyncio.TimeoutError:
                    pass
            return self.answer(200, {"events": self.events(kind, since), "storeRevision": self.rev})
        if request.method == "GET" and name:
            return self.answer(200, objects[name]) if name in objects else self.answer(404, {})
        if request.method == "GET":
            after = request.query.get("after", "")
            names = sorted(other for other in objects if other > after)
            return self.answer(200, {"items": [objects[other] for other in names[:500]],
                                     "hasMore": len(names) > 500, "storeRevision": self.rev})
        body = json.loads(request.body) if request.body else {}
        metadata = body.get("metadata", {})
        name = name or metadata.get("name", "")
        expected = metadata.get("rev", request.query.get("rev"))
        if request.method == "POST":
            if name in objects:
                return self.answer(409, objects[name])
            return self.answer(201, await self.apply(kind, name, body.get("spec")))
        if name not in objects:
            return self.answer(404, {})
        if expected is not None and int(expected) != objects[name]["metadata"]["rev"]:
            return self.answer(409, objects[name])
        if request.method == "DELETE":
            return self.answer(200, await self.apply(kind, name, None, deleted=True))
        if objects[name]["spec"] == body.get("spec"):
            return self.answer(200, objects[name])
        return self.answer(200, await self.apply(kind, name, body.get("spec")))


class Worker:
    """A worker that registers itself. `run(worker, request)` answers a request."""

    def __init__(self, platform, worker_id, service, zone, address, slots=8, first_beat_s=0.0):
        self.platform, self.id, self.service, self.zone, self.address = platform, worker_id, service, zone, address
        self.slots, self.first_beat_s = slots, first_beat_s
        self.work_s = 0.005  # of one request
        self.alive, self.registers, self.seq, self.last_beat, self.state = False, True, 0, 0.0, "ready"
        self.server = Server(self.handle)
        self.beats = None

    async def start(self):
        self.born = int(time.time() * 1000)
        self.alive = True
        self.platform.workers[self.address] = self
        await self.server.start(*self.address)
        self.beats = asyncio.ensure_future(self.beat())
        self.platform.record("worker started", worker=self.id, service=self.service, address="%s:%d" % self.address)

    def entry(self):
        return {"service": self.service, "address": "%s:%d" % self.address, "zone": self.zone, "version": "1",
                "slots": self.slots, "state": self.state, "warmupLeftMs": 0, "seq": 0, "born": self.born}

    async def register(self):
        # Only what is more than `seq` changes the entry.
        if self.alive and self.registers:
            self.last_beat = time.monotonic()
            await self.platform.store.put("servers", self.id, self.entry())

    async def beat(self):
        await asyncio.sleep(self.first_beat_s)
        while self.alive:
            await self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def leave(self, drain_s, stays_s):
        """Reports that it drains, serves everybody for `drain_s`, then takes no new connections,
        goes on with what it has for `stays_s` and exits."""
        self.state = "draining"
        await self.register()
        self.platform.record("draining, acknowledged by the store", worker=self.id)
        await asyncio.sleep(drain_s)
        self.server.stop_listening()
        self.platform.record("takes no new connections", worker=self.id)
        await asyncio.sleep(stays_s)
        self.platform.record("exits", worker=self.id, running=getattr(self, "running", 0))
        self.alive = False
        self.server.crash()
        await self.platform.store.remove("servers", self.id)

    def crash(self):
        """Ends at once and says nothing; its entry goes after three intervals of silence."""
        self.alive = False
        self.server.crash()
        self.platform.record("worker crashed", worker=self.id)
        asyncio.ensure_future(self.lapse())

    async def lapse(self):
        await asyncio.sleep(max(0.0, self.last_beat + 3 * HEARTBEAT_S - time.monotonic()))
        if self.id in self.platform.store.kinds.get("servers", {}):
            await self.platform.store.remove("servers", self.id)
            self.platform.record("entry removed", worker=self.id)

    def refusal(self, status, **headers):
        fields = {"Chervilpass-Not-Executed": "1"}
        fields.update({name.replace("_", "-"): value for name, value in headers.items()})
        return Response(status, fields)

    def seal(self, request):
        return {"Chervilpass-Request-Id": request.header("Chervilpass-Request-Id"),
                "Chervilpass-Server-Seal": "seal-of-" + self.id}

    async def handle(self, request):
        if request.path == "/health":
            return Response(200, {"Chervilpass-Instance-Id": self.id})
        if request.path in ("/v1/report", "/v1/order"):
            return await self.control(request)
        expected = request.header("Chervilpass-Expect-Instance")
        if expected and expected != self.id:
            return Response(421, {"Chervilpass-Instance-Id": self.id})
        return await self.run(request)

    async def control(self, request):
        return Response(404)

    async def run(self, request):
        """A plain service: works for a while and returns the begin of the body."""
        self.platform.record("run", worker=self.id, request=request.header("Chervilpass-Request-Id"))
        await asyncio.sleep(self.work_s)
        return Response(200, self.seal(request), b"done " + request.body[:64])


class ModelWorker(Worker):
    """Holds a range of layers of a model and serves streams."""

    def __init__(self, platform, worker_id, service, zone, address, kind, mb, layer_mb, layers, load_s, model,
                 first_beat_s=0.0):
        super().__init__(platform, worker_id, service, zone, address, slots=64, first_beat_s=first_beat_s)
        self.kind, self.mb, self.layer_mb, self.layer_count, self.load_s = kind, mb, layer_mb, layers, load_s
        self.model, self.held, self.busy, self.running = model, (0, 0), False, 0
        self.pause_every, self.pause_s = 0, 0.0  # a pause after so many events

    def entry(self):
        held = [self.held[0], self.held[1]]
        return dict(super().entry(), kind=self.kind, stage="colocated",
                    models=[{"name": self.model, "version": 1, "adapters": []}],
                    layers={"from": held[0], "target": held[1], "version": 1})

    async def control(self, request):
        if request.path == "/v1/report":
            report = {"stage": "colocated", "models": [{"name": self.model, "version": 1, "adapters": []}],
                      "busy": self.busy, "seq": self.seq, "waiting": 0, "running": self.running, "kvUsed": 0,
                      "kvTotal": 100000, "handles": 0, "kind": self.kind, "born": self.born,
                      "layers": {"from": self.held[0], "target": self.held[1], "version": 1}, "stalled": []}
            return Response(200, {"Content-Type": "application/json"}, json.dumps(report))
        expected_id = request.header("Chervilpass-Expect-Instance")
        if expected_id and expected_id != self.id:
            return Response(421, {"Chervilpass-Instance-Id": self.id})
        order = json.loads(request.body)
        if order.get("operation") != "place":
            return Response(404)
        wanted = (order["from"], order["target"])
        self.platform.record("order", worker=self.id, kind=self.kind, mb=self.mb, layers="%d-%d" % wanted,
                             needs_mb=(wanted[1] - wanted[0]) * self.layer_mb, expected=order.get("expected"),
                             seq=self.seq)
        if order.get("expected", self.seq) != self.seq or self.busy:
            return Response(409)
        if wanted == self.held:
            return Response(200)
        if (wanted[1] - wanted[0]) * self.layer_mb > self.mb:
            # "A worker that is ordered to hold more than its `mb` crashes."
            self.crash()
            raise Cut()
        self.seq += 1
        self.busy = True
        asyncio.ensure_future(self.load(wanted))
        return Response(202)

    async def load(self, wanted):
        await asyncio.sleep(self.load_s * (wanted[1] - wanted[0]) / self.layer_count)
        if self.alive:
            self.held, self.busy = wanted, False
            await self.register()

    def path_of(self, request):
        text = request.header("Chervilpass-Hop-Count")
        if not text:
            return [(self.address, (0, self.layer_count))]
        path = []
        for item in text.split(","):
            address, _, layers = item.strip().partition("=")
            ip, _, port = address.partition(":")
            first, _, last = layers.partition("-")
            path.append(((ip, int(port)), (int(first), int(last))))
        return path

    def dead(self, path):
        return [address for address, _ in path
                if address not in self.platform.workers or not self.platform.workers[address].alive]

    async def run(self, request):
        path = self.path_of(request)
        gone = self.dead(path)
        if gone:
            await asyncio.sleep(STALL_S)
            return self.refusal(503, At_Server="%s:%d" % gone[0])
        for address, (first, last) in path:
            held = self.platform.workers[address].held
            if not held[0] <= first < last <= held[1]:
                return Response(421, {"At-Server": "%s:%d" % address})
        self.platform.record("run", worker=self.id, request=request.header("Chervilpass-Request-Id"))
        counts = request.header("Chervilpass-Token-Counts", "10,8").split(",")
        first_id = int(request.header("Last-Event-Id", "0") or "0") + 1
        return Response(200, dict(self.seal(request), **{"Content-Type": "text/event-stream"}),
                        pieces=self.events(request.header("Chervilpass-Request-Id"), path, first_id, int(counts[1])))

    async def events(self, request_id, path, first_id, last_id):
        self.running += 1
        written = first_id - 1
        try:
            for number in range(first_id, last_id + 1):
                await asyncio.sleep(0.02)
                if self.dead(path):
                    await asyncio.sleep(STALL_S)
                    raise Cut()
                if self.pause_every and number % self.pause_every == 0:
                    # The request is preempted and read again.
                    await asyncio.sleep(self.pause_s)
                yield b"id: %d\ndata: token %d\n\n" % (number, number)
                written = number
        finally:
            self.running -= 1
            self.platform.record("run ended", worker=self.id, request=request_id, written=written, of=last_id,
                                 alive=self.alive)


class SilentProxy:
    """Passes connections on to `target`. Open ones can go silent for good, while new ones work."""

    def __init__(self, target):
        self.target, self.server, self.epoch = target, None, 0

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port)

    def silence_open_connections(self):
        self.epoch += 1

    async def serve(self, reader, writer):
        epoch = self.epoch
        try:
            there, back = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return

        async def pump(source, sink):
            try:
                while True:
                    data = await source.read(65536)
                    if epoch == self.epoch:
                        if not data:
                            sink.close()
                            return
                        sink.write(data)
                        await sink.drain()
                    elif not data:
                        return
            except OSError:
                sink.transport.abort()
        await asyncio.gather(pump(reader, back), pump(there, writer))
