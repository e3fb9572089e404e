"""A small deployment on loopback addresses: routers as the deploy file starts them, with the
stand-ins of platform.py around them. Used by the scripts under review/."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from . import platform as stand_ins
from .web import ask

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "app.example"
REGION = "dk-sjaelland"
KEY = "key-skagen"
FRONT, READY, DIRECTORY, CONTROL, FIRST_PORT, METRICS = 8227, 8220, 8224, 8229, 7340, 9464
WORKER_PORT, STORE_PORT = 8120, 8223
CONTACT_S = 3.0  # contactMs


class CannotRun(Exception):
    """The case could not be played: exit code 2."""


def render(template, fields):
    """Fills in the placeholders of deploy/router.yaml.in: {{a.b}}, {{a.0}} and {{a|json}}."""
    def value(match):
        path, _, form = match.group(1).partition("|")
        item = fields
        for part in path.split("."):
            if isinstance(item, list):
                if int(part) >= len(item):
                    return ""  # "nothing is returned if there is no value"
                item = item[int(part)]
            else:
                item = item[part]
        if form == "json":
            return json.dumps(item)
        return ",".join(map(str, item)) if isinstance(item, list) else str(item)
    return re.sub(r"\{\{([^}]+)\}\}", value, template)


class Router:
    def __init__(self, name, zone, ip):
        self.name, self.zone, self.ip, self.child, self.proxy = name, zone, ip, None, None

    def front(self):
        return self.ip, FRONT


class Deployment:
    def __init__(self, folder):
        self.folder, self.start_time = folder, time.monotonic()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.records = open(os.path.join(folder, "record.txt"), "w")
        self.scratch = tempfile.mkdtemp(prefix="chervil-review-")
        self.store, self.workers, self.routers = stand_ins.Store(), {}, []
        self.version, self.numbers = 0, 0
        self.subnet = self.free_subnet()
        self.binary = os.path.join(ROOT, "target", "chervil-router")
        if not os.access(self.binary, os.X_OK):
            raise CannotRun("target/chervil-router is missing: run the build of the deploy file first")

    def now(self):
        return time.monotonic() - self.start_time

    def record(self, what, **fields):
        self.records.write(json.dumps(dict({"t": round(self.now(), 3), "what": what}, **fields)) + "\n")
        self.records.flush()

    def free_subnet(self):
        """Two octets such that the ports are free on the first addresses."""
        for _ in range(200):
            subnet = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
            try:
                for last in (1, 2, 100, 200):
                    for port in (FRONT, CONTROL, METRICS, WORKER_PORT, STORE_PORT, FIRST_PORT):
                        with socket.socket() as probe:
                            probe.bind(("%s.%d" % (subnet, last), port))
                return subnet
            except OSError:
                continue
        raise CannotRun("no free ports")

    def ip(self, last):
        return "%s.%d" % (self.subnet, last)

    def worker_address(self, number):
        return self.ip(100 + number), WORKER_PORT

    # ---- the platform ----

    async def start_store(self):
        await self.store.server.start(self.ip(200), STORE_PORT)

    async def put_config(self, config):
        self.version += 1
        config = dict({"version": self.version, "tenants": [{"name": "skagen", "apiKeys": [KEY]}],
                       "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                                  "idleTimeoutMs": 15000}}, **config)
        await self.store.put("config", "main", config)
        self.record("configuration acknowledged", version=self.version)

    # ---- the routers ----

    def settings_of(self, router):
        store_ip = router.proxy or self.ip(200)
        return {"node": router.name, "ip": router.ip, "zone": router.zone, "region": REGION,
                "portRange": [FIRST_PORT, FIRST_PORT + 15],
                "seeds": ["%s:%d" % (other.ip, CONTROL) for other in self.routers[:3]],
                "listen": {"front": "%s:%d" % (router.ip, FRONT), "ready": "%s:%d" % (router.ip, READY),
                           "control": "%s:%d" % (router.ip, CONTROL), "directory": "%s:%d" % (router.ip, DIRECTORY)},
                "limits": {"memoryMb": 260, "maxFds": 4100},
                "bounds": {"graceS": 8, "budgetRatio": 0.2, "retrySlack": 202},
                "platform": {"address": "%s:%d" % (store_ip, STORE_PORT)}}

    def add_routers(self, zones):
        """One router for each of `zones`, in this order."""
        for number, zone in enumerate(zones, 1):
            self.routers.append(Router("front-%s-%d" % (zone, number), zone, self.ip(number)))

    def start_routers(self):
        with open(os.path.join(ROOT, "deploy", "router.yaml.in")) as source:
            template = source.read()
        for router in self.routers:
            path = os.path.join(self.scratch, router.name + ".yaml")
            with open(path, "w") as out:
                out.write(render(template, self.settings_of(router)))
            log = open(os.path.join(self.scratch, router.name + ".log"), "a")
            router.child = subprocess.Popen([self.binary, "--config", path], stdout=log, stderr=log,
                                            stdin=subprocess.DEVNULL, cwd=ROOT)

    async def ready(self, router):
        return (await ask((router.ip, READY), "GET", "/v1/ready", {"Host": router.ip}, timeout=1)).status == 200

    async def until(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await condition():
                return
            await asyncio.sleep(0.05)
        raise CannotRun("not within %d s: %s" % (seconds, what))

    async def wait_ready(self):
        async def all_ready():
            return all([await self.ready(router) for router in self.routers])
        await self.until(all_ready, 20, "all routers are ready")
        await asyncio.sleep(CONTACT_S)  # from here on the routers are in touch

    # ---- clients ----

    async def send(self, router, method, path, body=b"", timeout=20.0, **extra):
        self.numbers += 1
        request = "r%05d" % self.numbers
        headers = {"Host": HOST, "Chervilpass-Request-Id": request, "Authorization": "Token " + KEY,
                   "Chervilpass-Deadline-Ms": str(int(timeout * 1000))}
        headers.update({name.replace("_", "-"): value for name, value in extra.items()})
        sent = self.now()
        answer = await ask(router.front(), method, path, headers, body, timeout + 1)
        self.record("request", request=request, method=method, path=path, body_bytes=len(body), router=router.name,
                    sent=round(sent, 3), status=answer.status, complete=answer.complete,
                    seal=answer.headers.get("chervilpass-server-seal", ""))
        answer.request, answer.sent = request, sent
        return answer

    async def stream(self, router, route, events=8, body=b"", timeout=20.0):
        return await self.send(router, "POST", "/%s/x" % route, body, timeout, Chervilpass_Model="m",
                               Chervilpass_Token_Counts="10,%d" % events, Chervilpass_Prompt_Prefix="5c1e07a2:10")

    # ---- end ----

    def stop(self):
        for router in self.routers:
            if router.child and router.child.poll() is None:
                router.child.send_signal(signal.SIGCONT)
                router.child.kill()
                router.child.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs of the routers:", self.scratch)
        else:
            shutil.rmtree(self.scratch, ignore_errors=True)
        self.records.close()


def route(name, kind, service, **extra):
    fields = {"name": name, "host": HOST, "pathPrefix": "/%s/" % name, "kind": kind, "timeoutMs": 3000,
              "sloMs": 500, "service": service, "attempts": 1 if kind == "non_idempotent" else 2}
    return dict(fields, **extra)


def engine(layers, layer_mb, kinds, load_s):
    return {"slots": 64, "kvBytes": 8000, "step_ms": 1, "read_per_s": 100000, "loads_at_once": 4,
            "usual": {"prompt": 100, "answer": 20}, "layers": layers, "layerMb": layer_mb, "actBytes": 1000,
            "pipeMbps": 1000, "models": [{"name": "m", "loadS": load_s}],
            "kinds": [{"name": name, "mb": mb, "pace": 1, "readX": 1} for name, mb in kinds.items()]}


def play(file, case):
    """Runs `case(deployment)`, which returns the breaches of the rule, and ends the process with
    1 if there are any, 0 if there are none and 2 if the case could not run."""
    folder = os.path.dirname(os.path.abspath(file))
    deployment = None

    async def run():
        return await asyncio.wait_for(case(deployment), 110)
    try:
        deployment = Deployment(folder)
        breaches = asyncio.run(run())
    except Exception as error:  # also a fault of the script: it shows nothing of the router
        print("could not run: %r" % error)
        code = 2
    else:
        for breach in breaches:
            deployment.record("BREACH", detail=breach)
        print("%d breaches%s" % (len(breaches), "".join("\n  " + text for text in breaches[:5])))
        code = 1 if breaches else 0
    finally:
        if deployment:
            deployment.stop()
    sys.stdout.flush()
    os._exit(code)  # connections of the stand-ins are still open; nothing is left to be done with them
