"""Starts and stops a small fleet on loopback addresses.

Used by the quick start, the fault matrix and the benchmarks. Each VM has its
own loopback address and runs the three daemons; the platform stand-in, the
engines and the services have further addresses. Every started process is
stopped by its process id.
"""

import json
import os
import signal
import subprocess
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.path.join(ROOT, "build")

HTTP_PORT, DISPATCH_PORT, CONTROL_PORT, GOSSIP_PORT = 7000, 7100, 7300, 7400
ENTRY_METRICS_PORT, DISPATCH_METRICS_PORT, CONTROL_METRICS_PORT = 7000, 7200, 7500
ENGINE_PORT, SERVICE_PORT, PLATFORM_PORT = 8000, 8100, 9000


def http(method, url, body=None, timeout=5.0, headers=None):
    """Sends a request; returns (status, body), or (0, "") without a response."""
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(url, data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except OSError:
        return 0, ""


def wait_until(condition, seconds, what):
    """Waits until condition() is true; raises TimeoutError after `seconds`."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.02)
    raise TimeoutError("not within %.1f s: %s" % (seconds, what))


class Process:
    """One process with its settings file and log file."""

    def __init__(self, name, binary, config, folder):
        self.name, self.binary = name, binary
        self.config = os.path.join(folder, name + ".yaml")
        self.log = os.path.join(folder, name + ".log")
        with open(self.config, "w") as out:
            out.write(config)
        self.child = None

    def start(self):
        with open(self.log, "a") as log:
            self.child = subprocess.Popen(
                [os.path.join(BUILD, self.binary), "--config", self.config],
                stderr=log, stdout=log, stdin=subprocess.DEVNULL)

    def send(self, signal_number):
        if self.child and self.child.poll() is None:
            self.child.send_signal(signal_number)

    def running(self):
        return self.child is not None and self.child.poll() is None

    def kill(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.child:
            self.child.wait()


class Vm:
    """One entry VM."""

    def __init__(self, name, data_centre, region, ip):
        self.name, self.data_centre, self.region, self.ip = name, data_centre, region, ip
        self.entry = self.dispatch = self.control = None

    def processes(self):
        return [self.entry, self.dispatch, self.control]


class Stage:
    """A range of layers with the service times of its accelerator."""

    def __init__(self, first, last, accelerator, batch_us, decode_us, prefill_us):
        self.first, self.last, self.accelerator = first, last, accelerator
        self.batch_us, self.decode_us, self.prefill_us = batch_us, decode_us, prefill_us


class Fleet:
    """A fleet with its settings and logs in `folder`. `subnet` is the third octet
    of its loopback addresses, so that several fleets can run at once."""

    def __init__(self, folder, subnet, log_level="info"):
        self.folder, self.subnet, self.log_level = folder, subnet, log_level
        os.makedirs(folder, exist_ok=True)
        for name in os.listdir(folder):
            if name.endswith((".log", ".yaml", ".csv", ".svg")):
                os.unlink(os.path.join(folder, name))
        self.vms, self.engines, self.services = [], [], []
        self.engine_settings = {}
        self.fleet_lines = {"pipelines": [], "services": [], "organisations": [], "backends": [], "rows": []}
        self.platform = None
        self.platform_settings = ""
        self.entry_extra = self.dispatch_extra = self.control_extra = ""

    # ---- description ----

    def ip(self, last_octet):
        return "127.0.%d.%d" % (self.subnet, last_octet)

    def add_vm(self, name, data_centre, region):
        self.vms.append(Vm(name, data_centre, region, self.ip(1 + len(self.vms))))

    def add_pipeline(self, name, layers, token_limit=512, cell_replicas=2):
        self.fleet_lines["pipelines"].append(
            "{name: %s, layers: %d, token_limit: %d, cell_replicas: %d}" % (name, layers, token_limit, cell_replicas))

    def add_organisation(self, name, key):
        self.fleet_lines["organisations"].append("{name: %s, key: %s}" % (name, key))

    def add_row(self, organisation, target, **values):
        fields = ", ".join("%s: %s" % item for item in values.items())
        self.fleet_lines["rows"].append("{organisation: %s, target: %s, %s}" % (organisation, target, fields))

    def add_engine(self, engine_id, pipeline, stage, data_centre, region, session_limit=64, batch_limit=32, extra=""):
        address = "%s:%d" % (self.ip(60 + len(self.engines)), ENGINE_PORT)
        self.fleet_lines["backends"].append(
            "{id: %s, address: '%s', data_centre: %s, region: %s, pipeline: %s, first_layer: %d, last_layer: %d, "
            "accelerator: %s, session_limit: %d}" % (engine_id, address, data_centre, region, pipeline, stage.first,
                                                     stage.last, stage.accelerator, session_limit))
        config = ("id: %s\nlisten: '%s'\nfirst_layer: %d\nlast_layer: %d\nsession_limit: %d\nbatch_limit: %d\n"
                  "batch_us: %g\ndecode_us: %g\nprefill_us: %g\n%s" %
                  (engine_id, address, stage.first, stage.last, session_limit, batch_limit, stage.batch_us,
                   stage.decode_us, stage.prefill_us, extra))
        process = Process(engine_id, "fake-engine", config, self.folder)
        process.address = address
        self.engines.append(process)

    def add_service(self, service, service_id, data_centre, region, service_time_ms=5):
        address = "%s:%d" % (self.ip(50 + len(self.services)), SERVICE_PORT)
        if not any("name: %s," % service in line for line in self.fleet_lines["services"]):
            self.fleet_lines["services"].append("{name: %s, non_repeatable: POST PUT PATCH DELETE}" % service)
        self.fleet_lines["backends"].append("{id: %s, address: '%s', data_centre: %s, region: %s, service: %s}" %
                                            (service_id, address, data_centre, region, service))
        config = "id: %s\nlisten: '%s'\nservice_time_ms: %d\n" % (service_id, address, service_time_ms)
        process = Process(service_id, "fake-service", config, self.folder)
        process.address = address
        self.services.append(process)

    # ---- settings of the daemons ----

    def platform_address(self):
        return "%s:%d" % (self.ip(40), PLATFORM_PORT)

    def member_lines(self, vm, indent=""):
        lines = ["vm: %s" % vm.name, "data_centre: %s" % vm.data_centre, "region: %s" % vm.region, "ip: '%s'" % vm.ip,
                 "http_port: %d" % HTTP_PORT, "dispatch_port: %d" % DISPATCH_PORT, "control_port: %d" % CONTROL_PORT,
                 "gossip_port: %d" % GOSSIP_PORT]
        return ("\n" + indent).join(lines)

    def write_vm(self, vm):
        log = "log: {level: %s}\n" % self.log_level
        control_address = "control: '%s:%d'\n" % (vm.ip, CONTROL_PORT)
        seeds = "".join("  - " + self.member_lines(other, "    ") + "\n" for other in self.vms if other is not vm)
        platform = "platform: {address: '%s'}\n" % self.platform_address()
        vm.control = Process(vm.name + "-control", "chervil-control",
                             self.member_lines(vm) + "\nmetrics: '%s:%d'\n" % (vm.ip, CONTROL_METRICS_PORT) +
                             (("seeds:\n" + seeds) if seeds else "") + platform + log + self.control_extra,
                             self.folder)
        vm.dispatch = Process(vm.name + "-dispatch", "chervil-dispatch",
                              "vm: %s\nlisten: '%s:%d'\nmetrics: '%s:%d'\n" %
                              (vm.name, vm.ip, DISPATCH_PORT, vm.ip, DISPATCH_METRICS_PORT) + control_address +
                              platform + log + self.dispatch_extra, self.folder)
        vm.entry = Process(vm.name + "-entry", "chervil-entry",
                           "vm: %s\ndata_centre: %s\nregion: %s\nlisten: '%s:%d'\n" %
                           (vm.name, vm.data_centre, vm.region, vm.ip, HTTP_PORT) + control_address + log +
                           self.entry_extra, self.folder)

    # ---- start and stop ----

    def start(self):
        self.platform = Process("platform", "fake-platform",
                                "listen: '%s'\n%s" % (self.platform_address(), self.platform_settings), self.folder)
        for vm in self.vms:
            self.write_vm(vm)
        for process in self.all_processes():
            process.start()
        self.init()
        wait_until(self.ready, 20, "all entries ready, see the logs in " + self.folder)

    def all_processes(self):
        daemons = [process for vm in self.vms for process in vm.processes()]
        return [self.platform] + self.engines + self.services + daemons

    def init(self):
        path = os.path.join(self.folder, "fleet.yaml")
        with open(path, "w") as out:
            for kind, lines in self.fleet_lines.items():
                out.write("%s:\n" % kind + "".join("  - %s\n" % line for line in lines) if lines else "")
        deadline = time.monotonic() + 20
        while True:
            result = self.ctl("init", path)
            if result.returncode == 0:
                return
            if result.returncode == 2 or time.monotonic() > deadline:
                raise RuntimeError("init: " + result.stderr + result.stdout)
            time.sleep(0.2)

    def ctl(self, *arguments, vm=None):
        vm = vm or self.vms[0]
        return subprocess.run([os.path.join(BUILD, "chervilctl"), "--control", "%s:%d" % (vm.ip, CONTROL_PORT)] +
                              list(arguments), capture_output=True, text=True, timeout=30)

    def ready(self):
        """Every entry is ready and lists all VMs, every control sees its
        dispatch (checked only if the log level is info or debug), and every
        engine responds."""
        for vm in self.vms:
            if http("GET", "http://%s:%d/readyz" % (vm.ip, HTTP_PORT), timeout=1)[0] != 200:
                return False
            entries = http("GET", "http://%s:%d/v1/entries" % (vm.ip, HTTP_PORT), timeout=1)[1]
            if len(json.loads(entries or "{}").get("entries", [])) != len(self.vms):
                return False
            if "dispatch_up=true" not in open(vm.control.log).read() and self.log_level in ("info", "debug"):
                return False
        return all(http("GET", "http://%s/v1/load" % engine.address, timeout=1)[0] == 200 for engine in self.engines)

    def stop(self):
        """Stops every started process by its process id and waits for its end."""
        started = [process for process in self.all_processes() if process and process.child]
        for process in started:
            process.send(signal.SIGCONT)
            process.send(signal.SIGTERM)
        deadline = time.monotonic() + 12
        for process in started:
            try:
                process.child.wait(max(0.05, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()

    # ---- control of the stand-ins ----

    def platform_faults(self, **faults):
        return http("POST", "http://%s/admin/faults" % self.platform_address(), json.dumps(faults))

    def platform_counts(self):
        return json.loads(http("GET", "http://%s/admin/counts" % self.platform_address())[1])

    def set_vms(self, vms):
        return http("POST", "http://%s/admin/vms" % self.platform_address(), json.dumps(vms))

    def executions(self):
        counts = {}
        for service in self.services:
            text = http("GET", "http://%s/admin/executions" % service.address)[1]
            for key, count in json.loads(text or "{}").items():
                counts[key] = counts.get(key, 0) + count
        return counts

    def metrics(self, ip, port):
        """Metric values of one daemon by series name."""
        values = {}
        for line in http("GET", "http://%s:%d/metrics" % (ip, port))[1].splitlines():
            if line and not line.startswith("#"):
                name, value = line.rsplit(" ", 1)
                values[name] = float(value)
        return values


STAGES = [
    Stage(0, 7, "large", 900, 25, 12),
    Stage(8, 15, "medium", 1200, 35, 16),
    Stage(16, 23, "small", 1500, 45, 20),
    Stage(24, 31, "medium", 1200, 35, 16),
]


def small_fleet(folder, subnet, log_level="info", entry_ttl_ms=1000):
    """Three VMs in three data centres of dk-sjaelland, two cells of four
    stages of unequal speed, and one plain service."""
    fleet = Fleet(folder, subnet, log_level)
    fleet.entry_extra = "entries: {ttl_ms: %d}\n" % entry_ttl_ms
    for data_centre in ("hal-1", "hal-2", "hal-3"):
        fleet.add_vm("vm-" + data_centre, data_centre, "dk-sjaelland")
    fleet.add_pipeline("sprogmodel", 32)
    for data_centre in ("hal-1", "hal-2"):
        for number, stage in enumerate(STAGES):
            for replica in ("a", "b"):
                fleet.add_engine("%s-s%d%s" % (data_centre, number, replica), "sprogmodel", stage, data_centre,
                                 "dk-sjaelland")
    fleet.add_service("register", "register-1", "hal-1", "dk-sjaelland")
    fleet.add_service("register", "register-2", "hal-2", "dk-sjaelland")
    fleet.add_organisation("skagen", "key-skagen")
    fleet.add_organisation("odense", "key-odense")
    fleet.add_row("skagen", "sprogmodel", weight=2, priority=1)
    fleet.add_row("odense", "sprogmodel", weight=1)
    return fleet


def run_load(fleet, name, duration_ms, pipelines, services=(), organisations=None, seed=1, patience_ms=30000,
             extra="", background=False):
    """Runs chervil-load on the fleet. Returns the completed process, or the
    running one with `background`."""
    organisations = organisations or [("skagen", "key-skagen", 1, 1), ("odense", "key-odense", 1, 1)]
    lines = ["seed: %d" % seed, "duration_ms: %d" % duration_ms, "patience_ms: %d" % patience_ms, "entries:"]
    lines += ["  - {address: '%s:%d'}" % (vm.ip, HTTP_PORT) for vm in fleet.vms]
    lines += ["organisations:"]
    lines += ["  - {name: %s, key: %s, share: %g, weight: %g}" % item for item in organisations]
    if pipelines:
        lines += ["pipelines:"] + ["  - {%s}" % item for item in pipelines]
    if services:
        lines += ["services:"] + ["  - {%s}" % item for item in services]
    path = os.path.join(fleet.folder, name + ".yaml")
    with open(path, "w") as out:
        out.write("\n".join(lines) + "\n" + extra)
    command = [os.path.join(BUILD, "chervil-load"), "--config", path,
               "--csv", os.path.join(fleet.folder, name + ".csv"),
               "--plot", os.path.join(fleet.folder, name + ".svg")]
    if background:
        return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
    return subprocess.run(command, capture_output=True, text=True, timeout=duration_ms / 1000 + patience_ms / 1000 + 30)


def read_csv(fleet, name):
    """Returns the records of a load run, one dictionary per request."""
    with open(os.path.join(fleet.folder, name + ".csv")) as lines:
        header = next(lines).strip().split(",")
        return [dict(zip(header, line.strip().split(","))) for line in lines]
