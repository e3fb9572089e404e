"""A small fleet of chervil-router on loopback, with stand-ins for the users'
platform: a store, model workers and plain backend servers. Every started
process is stopped by its process id."""

import argparse
import http.client
import json
import os
import re
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import fleet as fleets  # noqa: E402

TEMPLATE = os.path.join(fleets.ROOT, "deploy", "router.yaml.in")
CALLER_PORT, READINESS_PORT, DIRECTORY_PORT, STATE_PORT, GOSSIP_PORT, METRICS = 7000, 7001, 7002, 7003, 7004, 7005
FORWARD_PORT = 7006
WORKER_PORT, STORE_PORT = 8000, 9000
LAYERS = 8
HOST = "app.example"


def render(template, fields):
    """Fills in the placeholders {{a}}, {{a.b}}, {{a.0}} and {{a|json}} of a settings template."""
    def fill(match):
        value = fields
        for step in match.group(1).split("."):
            value = value[int(step)] if isinstance(value, list) else value[step]
        if match.group(2):
            return json.dumps(value)
        return ",".join(value) if isinstance(value, list) else str(value)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, template)


class Router:
    def __init__(self, name, data_centre, ip):
        self.name, self.data_centre, self.ip = name, data_centre, ip
        self.process = None


class PlatformFleet:
    """Routers, workers and the store. `subnet` is the third octet of the loopback
    addresses, so that several fleets can run at once."""

    def __init__(self, folder, subnet, data_centres=("hal-1", "hal-2"), routers_each=2, workers_each=3):
        self.folder, self.subnet = folder, subnet
        os.makedirs(folder, exist_ok=True)
        for name in os.listdir(folder):
            os.unlink(os.path.join(folder, name))
        self.version = 0
        self.keys = ["key-skagen"]
        self.plain_service = "register"
        self.slow_routes = []  # names of idempotent routes with a long timeout
        self.idle_timeout_ms = 15000
        self.max_body_bytes, self.max_header_bytes = 1048576, 16384
        self.call_timeout_ms = 3000
        self.stream_timeout_ms = 20000
        self.retry_share, self.retry_reserve = 0.2, 200
        self.whole_grace = False  # of stops; earlier builds do not know the setting
        self.store = fleets.Process("store", "fake-store", "listen: '%s'\n" % self.store_address(), folder)
        self.routers, self.workers, self.plain = [], [], []
        self.data_centres, self.routers_each = data_centres, routers_each
        self.build_routers()
        for data_centre in data_centres:
            for _ in range(workers_each):
                self.add_worker(data_centre)
            self.add_plain_server(data_centre, "register")

    def store_address(self):
        return "127.0.%d.200:%d" % (self.subnet, STORE_PORT)

    # ---- description ----

    def build_routers(self):
        """Describes the routers anew, by the current settings; before the start."""
        self.routers = []
        for number, data_centre in enumerate(self.data_centres):
            for index in range(self.routers_each):
                self.add_router(data_centre,
                                "127.0.%d.%d" % (self.subnet, 1 + number * self.routers_each + index))

    def add_router(self, data_centre, ip):
        router = Router("router-%d" % (len(self.routers) + 1), data_centre, ip)
        seeds = ",".join("%s:%d" % (other.ip, STATE_PORT) for other in self.routers[:3])
        router.process = fleets.Process(router.name, "chervil-router", """vm: %s
ip: %s
data_centre: %s
region: dk-sjaelland
listen: {callers: '%s:%d', readiness: '%s:%d', directory: '%s:%d', metrics_port: %d}
peers: {gossip_port: %d, state_port: %d, seeds: '%s'}
store: {address: '%s'}
limits: {grace_seconds: 8%s, retry_share: %s, retry_reserve: %s}
log: {format: json}
""" % (router.name, ip, data_centre, ip, CALLER_PORT, ip, READINESS_PORT, ip, DIRECTORY_PORT, METRICS, GOSSIP_PORT,
            STATE_PORT, seeds, self.store_address(), ", whole_grace: true" if self.whole_grace else "",
            self.retry_share, self.retry_reserve), self.folder)
        self.routers.append(router)
        return router

    def use_deployed_settings(self, extra_limits):
        """Gives all routers the settings that the platform renders from the deploy file's template, and further
        lines of its section `limits`; before the start."""
        with open(TEMPLATE) as file:
            template = file.read().replace("limits:\n", "limits:\n" + "".join("  %s\n" % line for line in extra_limits))
        for router in self.routers:
            address = {"front": CALLER_PORT, "ready": READINESS_PORT, "directory": DIRECTORY_PORT}
            fields = {"node": router.name, "ip": router.ip, "zone": router.data_centre, "region": "dk-sjaelland",
                      "listen": {name: "%s:%d" % (router.ip, port) for name, port in address.items()},
                      "portRange": [GOSSIP_PORT, STATE_PORT, FORWARD_PORT],
                      "seeds": ["%s:%d" % (other.ip, STATE_PORT) for other in self.routers[:3]],
                      "platform": {"address": self.store_address()},
                      "bounds": {"graceS": 8, "budgetRatio": self.retry_share, "retrySlack": self.retry_reserve},
                      "limits": {"memoryMb": 260, "maxFds": 4200}}
            with open(router.process.config, "w") as file:
                file.write(render(template, fields))

    def add_process(self, name, extra, data_centre, service, group):
        # Workers have last octets from 100 on, plain servers from 150 on.
        address = "127.0.%d.%d:%d" % (self.subnet, 100 + len(self.workers) + 50 * (group is self.plain) +
                                      (len(self.plain) if group is self.plain else 0), WORKER_PORT)
        process = fleets.Process(name, "fake-worker", "id: %s\nservice: %s\ndata_centre: %s\nlisten: '%s'\nstore: '%s'\n%s"
                                 % (name, service, data_centre, address, self.store_address(), extra), self.folder)
        process.address, process.data_centre = address, data_centre
        group.append(process)
        return process

    def add_worker(self, data_centre):
        return self.add_process("worker-%d" % (len(self.workers) + 1),
                                "kind: small\nlargest_range: 5\nwork_ms: 30\nload_layer_ms: 10\n", data_centre, "llm",
                                self.workers)

    def add_plain_server(self, data_centre, service):
        return self.add_process("plain-%d" % (len(self.plain) + 1), "work_ms: 5\nslots: 8\n", data_centre, service,
                                self.plain)

    def config(self):
        def route(name, kind, service, **extra):
            return dict({"name": name, "host": HOST, "pathPrefix": "/%s/" % name, "kind": kind,
                         "timeoutMs": self.call_timeout_ms, "sloMs": 500, "service": service,
                         "attempts": 2 if kind != "non_idempotent" else 1}, **extra)
        engine = {"slots": 64, "kvBytes": 8000, "step_ms": 1, "read_per_s": 100000, "loads_at_once": 4,
                  "usual": {"prompt": 100, "answer": 20}, "layers": LAYERS, "layerMb": 100, "actBytes": 1000,
                  "pipeMbps": 1000, "models": [{"name": "m", "loadS": 1}],
                  "kinds": [{"name": "small", "mb": 590, "pace": 1, "readX": 1}]}
        return {"version": self.version,
                "routes": [route("draft", "stream", "llm", sticky=True, resumable=True, gapAimMs=500,
                                 timeoutMs=self.stream_timeout_ms),
                           route("once", "stream", "llm", sticky=True, gapAimMs=500, timeoutMs=self.stream_timeout_ms,
                                attempts=1),
                           route("file", "non_idempotent", self.plain_service),
                           route("lookup", "idempotent", self.plain_service),
                           route("open", "idempotent", self.plain_service, public=True)] +
                [route(name, "idempotent", self.plain_service, timeoutMs=20000) for name in self.slow_routes],
                "services": [{"name": "llm", "healthPath": "/health", "maxConns": 100, "engine": engine},
                             {"name": "register", "healthPath": "/health", "maxConns": 100},
                             {"name": "register-2", "healthPath": "/health", "maxConns": 100}],
                "limits": {"maxHeaderBytes": self.max_header_bytes, "maxBodyBytes": self.max_body_bytes,
                           "headerTimeoutMs": 3000,
                           "idleTimeoutMs": self.idle_timeout_ms},
                "tenants": [{"name": "skagen", "apiKeys": self.keys}]}

    # ---- start and stop ----

    def start(self):
        self.store.start()
        fleets.wait_until(lambda: self.put_config(), 10, "the store accepts the configuration")
        for process in self.workers + self.plain:
            process.start()
        for router in self.routers:
            router.process.start()
        self.wait_ready()

    def wait_ready(self, seconds=15):
        fleets.wait_until(lambda: all(self.ready(router) for router in self.routers), seconds, "all routers are ready")
        fleets.wait_until(lambda: all(self.stream_whole(router, 3) for router in self.routers), seconds,
                          "streams are served through all routers")
        fleets.wait_until(lambda: all(len(self.resolve(router, "nowhere")) == len(self.routers)
                                      for router in self.routers), seconds, "all routers list each other")

    def all_processes(self):
        return [self.store] + self.workers + self.plain + [router.process for router in self.routers]

    def stop(self):
        for process in self.all_processes():
            if process.child:
                process.kill()

    # ---- operator and stand-ins ----

    def put_config(self):
        self.version += 1
        body = json.dumps({"metadata": {"name": "main"}, "spec": self.config()})
        base = "http://%s/v1/objects/config" % self.store_address()
        status = fleets.http("PUT", base + "/main", body)[0]
        if status == 404:
            status = fleets.http("POST", base, body)[0]
        return status in (200, 201)

    def put_object(self, kind, name, spec):
        body = json.dumps({"metadata": {"name": name}, "spec": spec})
        return fleets.http("POST", "http://%s/v1/objects/%s" % (self.store_address(), kind), body)[0]

    def store_faults(self, **faults):
        fleets.http("POST", "http://%s/admin/faults" % self.store_address(), json.dumps(faults))

    def worker_faults(self, process, **faults):
        fleets.http("POST", "http://%s/admin/faults" % process.address, json.dumps(faults))

    def runs(self):
        """Execution counts by request id, over all backend servers that respond."""
        counts = {}
        for process in self.workers + self.plain:
            text = fleets.http("GET", "http://%s/admin/runs" % process.address, timeout=1)[1]
            for request, count in json.loads(text or "{}").items():
                counts[request] = counts.get(request, 0) + count
        return counts

    # ---- callers ----

    def ready(self, router):
        return fleets.http("GET", "http://%s:%d/v1/ready" % (router.ip, READINESS_PORT), timeout=1)[0] == 200

    def resolve(self, router, data_centre):
        text = fleets.http("GET", "http://%s:%d/v1/resolve?name=%s&zone=%s" %
                           (router.ip, DIRECTORY_PORT, HOST, data_centre), timeout=1)[1]
        return json.loads(text or "{}").get("addresses", [])

    def ask(self, router, method, path, request, key="key-skagen", body=None, timeout=6.0, **extra):
        """Sends a request; returns (status, body, headers). Status 0 if there was
        no complete response; the body then holds the bytes received."""
        connection = http.client.HTTPConnection(router.ip, CALLER_PORT, timeout=timeout)
        headers = {"Host": HOST, "Chervilpass-Request-Id": request, "Chervilpass-Deadline-Ms": str(int(timeout * 1000)),
                   "Chervilpass-Token-Counts": "10,8"}
        if key:
            headers["Authorization"] = "Token " + key
        headers.update({name.replace("_", "-"): value for name, value in extra.items()})
        try:
            connection.request(method, path, body=body, headers=headers)
            response = connection.getresponse()
            try:
                return response.status, response.read().decode(), dict(response.getheaders())
            except http.client.IncompleteRead as error:
                return 0, error.partial.decode(), dict(response.getheaders())
        except (OSError, http.client.HTTPException):
            return 0, "", {}
        finally:
            connection.close()

    def find_stream_error(self, text, events):
        """Checks a complete stream of `events` events. Returns a description of
        the first error, or an empty string."""
        blocks = [block for block in text.split("\n\n") if block]
        if len(blocks) != events:
            return "%d events of %d" % (len(blocks), events)
        for number, block in enumerate(blocks, 1):
            lines = block.split("\n")
            if lines[0] != "id: %d" % number:
                return "event %d is %r" % (number, lines[0])
            next_layer = 0
            for layer_range in lines[1][len("data: "):].split(","):
                begin, end = layer_range.split("-")
                if int(begin) != next_layer:
                    return "event %d ran layers %s" % (number, lines[1])
                next_layer = int(end)
            if next_layer != LAYERS:
                return "event %d ran layers %s" % (number, lines[1])
        return ""

    def stream_whole(self, router, events, request=None):
        request = request or "probe-%d" % time.monotonic_ns()
        status, text, _ = self.ask(router, "POST", "/draft/x", request,
                                   Chervilpass_Token_Counts="10,%d" % events)
        return status == 200 and not self.find_stream_error(text, events)

    def in_background(self, function, *args, **kwargs):
        """Calls `function` on a thread. Returns a function that waits up to `seconds`
        for the result; it returns None if there is none by then."""
        results = {}

        def run():
            results["result"] = function(*args, **kwargs)
        thread = threading.Thread(target=run, daemon=True)
        thread.start()

        def result(seconds=30):
            thread.join(seconds)
            return results.get("result")
        return result

    def signal(self, process, signal_number):
        process.send(signal_number)
        if signal_number == signal.SIGKILL:
            process.child.wait()


def play_cells(description, cells, play_random, make_fleet, subnet):
    """Reads the command line of a test with cells and plays those that it names, all by
    default, or random seeds; each on a fleet of its own. `cells` maps names to functions of a
    name and a fleet, `play_random` takes a seed and a fleet, `make_fleet` a subnet."""
    parser = argparse.ArgumentParser(description=description, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--cell", action="append", choices=cells)
    parser.add_argument("--subnet", type=int, default=subnet)
    parser.add_argument("--random", nargs=2, type=int, metavar=("FIRST", "LAST"))
    arguments = parser.parse_args()
    if arguments.random:
        plays = [(play_random, seed) for seed in range(arguments.random[0], arguments.random[1] + 1)]
    else:
        plays = [(cells[name], name) for name in arguments.cell or cells]
    for play, name in plays:
        fleet = make_fleet(arguments.subnet)
        try:
            play(name, fleet)
        finally:
            fleet.stop()
