"""The process part of the fault matrix: one fault per cell on a fleet of real
processes under load. Checks what callers, services and dispatchers recorded."""

import argparse
import os
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
import fleet as fleets  # noqa: E402

FOLDER = os.path.join(fleets.ROOT, "run", "fault_matrix")
MAX_TOKEN_INTERVAL_MS = 3000    # required bound on recovery
DRAIN_SECONDS = 3               # required bound on draining a leaving backend server
MAX_WORKERS_LOST_TO_POISON = 2  # required bound for a request that crashes workers
LOAD_MS = 3500
FAULT_AFTER_S = 1.0
FREEZE_S = 2.5
PIPELINE = ("name: sprogmodel, layers: 32, rate: 14, prompt_words: {low: 4, high: 20}, "
            "answer_tokens: {low: 8, high: 40}")
SERVICE = "name: register, rate: 14, non_repeatable_share: 0.7"


class LinkProxy:
    """A TCP proxy between a dispatcher and an engine that can cut, stall or delay
    the connection."""

    def __init__(self, listen, target):
        self.listen, self.target = listen, target
        self.cut = False
        self.half_open = False
        self.delay = 0.0  # seconds for each chunk of data
        self.sockets = set()
        self.server = socket.create_server(listen)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            client, _ = self.server.accept()
            if self.cut:
                client.close()
                continue
            try:
                upstream = socket.create_connection(self.target, timeout=2)
            except OSError:
                client.close()
                continue
            upstream.settimeout(None)
            self.sockets |= {client, upstream}
            for source, sink in ((client, upstream), (upstream, client)):
                threading.Thread(target=self.forward, args=(source, sink), daemon=True).start()

    def forward(self, source, sink):
        try:
            while True:
                data = source.recv(65536)
                if not data:
                    break
                if self.delay:
                    time.sleep(self.delay)
                if not self.half_open:  # a half-open link drops the data it receives
                    sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def disconnect_all(self):
        for end in list(self.sockets):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.sockets.clear()


class Matrix:
    def __init__(self, seed):
        self.seed = seed
        self.cells = self.runs = 0
        self.violations = []
        self.fleet = fleets.small_fleet(FOLDER, 20)
        # Both replicas of one stage in hal-1 are behind proxies, so every session
        # of that pipeline cell crosses a link that faults can affect.
        self.proxies = []
        for number, engine in enumerate(self.fleet.engines[4:6]):
            host = self.fleet.ip(200 + number)
            target = (engine.address.split(":")[0], fleets.ENGINE_PORT)
            self.proxies.append(LinkProxy((host, fleets.ENGINE_PORT), target))
            self.fleet.fleet_lines["backends"] = [
                line.replace(engine.address, "%s:%d" % (host, fleets.ENGINE_PORT))
                for line in self.fleet.fleet_lines["backends"]]

    # ---- faults: each returns a function that reverts it ----

    def kill(self, *processes):
        for process in processes:
            process.kill()
        return lambda: [process.start() for process in processes]

    def freeze(self, *processes):
        for process in processes:
            process.send(signal.SIGSTOP)

        def resume():
            time.sleep(FREEZE_S)
            for process in processes:
                process.send(signal.SIGCONT)
        return resume

    def platform_fault(self, **faults):
        self.fleet.platform_faults(**faults)

        def undo():
            time.sleep(1.0)
            self.fleet.platform_faults(outage=False, slow_ms=0, lose_answers=0)
        return undo

    def link_fault(self, **values):
        for proxy in self.proxies:
            for name, value in values.items():
                setattr(proxy, name, value)
            if proxy.cut:
                proxy.disconnect_all()

        def undo():
            time.sleep(1.5)
            for proxy in self.proxies:
                proxy.cut = proxy.half_open = False
                proxy.delay = 0.0
                proxy.disconnect_all()
        return undo

    def rolling_restart(self):
        """Stops and restarts every daemon in turn; the fleet must be ready before
        the next one stops."""
        for vm in self.fleet.vms:
            for process in (vm.entry, vm.dispatch, vm.control):
                process.send(signal.SIGTERM)
                process.child.wait(30)
                process.start()
                fleets.wait_until(self.fleet.ready, 15, "ready after a restart")
        return lambda: None

    def faults(self):
        vm = self.fleet.vms[0]
        service = self.fleet.services[0]

        def lose_service_answers():
            fleets.http("POST", "http://%s/admin/faults" % service.address, '{"lose": 3}')
            return lambda: None
        return {
            "none": lambda: (lambda: None),
            "kill-entry": lambda: self.kill(vm.entry),
            "freeze-entry": lambda: self.freeze(vm.entry),
            "kill-dispatch": lambda: self.kill(vm.dispatch),
            "freeze-dispatch": lambda: self.freeze(vm.dispatch),
            "kill-control": lambda: self.kill(vm.control),
            "freeze-control": lambda: self.freeze(vm.control),
            "kill-backend": lambda: self.kill(self.fleet.engines[2]),
            "freeze-backend": lambda: self.freeze(self.fleet.engines[3]),
            "kill-service": lambda: self.kill(service),
            "lose-service-answers": lose_service_answers,
            "kill-vm": lambda: self.kill(*vm.processes()),
            "cut-link": lambda: self.link_fault(cut=True),
            "half-open-link": lambda: self.link_fault(half_open=True),
            "slow-link": lambda: self.link_fault(delay=0.1),
            "platform-down": lambda: self.platform_fault(outage=True),
            "platform-slow": lambda: self.platform_fault(slow_ms=300),
            "platform-answer-lost": lambda: self.platform_fault(lose_answers=5),
            "stop-all-in-turn": self.rolling_restart,
        }

    # ---- cells ----

    def run_cell(self, name, inject):
        self.cells += 1
        self.runs += 1
        load_ms = 26000 if name == "stop-all-in-turn" else LOAD_MS
        failures = []
        load = fleets.run_load(self.fleet, "load-" + name, load_ms, [PIPELINE], [SERVICE], seed=self.seed + self.cells,
                               patience_ms=20000, background=True)
        output = []
        reader = threading.Thread(target=lambda: output.append(load.communicate()[0]))
        reader.start()
        time.sleep(FAULT_AFTER_S)
        try:
            undo = inject()
            time.sleep(0.3)
            undo()
            fleets.wait_until(self.fleet.ready, 10, "the fleet is ready again")
        except TimeoutError as error:
            failures.append(str(error))
        for process in self.fleet.all_processes():
            if not process.running():
                failures.append("%s exited unexpectedly" % process.name)
                process.start()
        reader.join()
        records = fleets.read_csv(self.fleet, "load-" + name)
        failures += self.check(name, records)
        counts = {}
        for record in records:
            key = record["ending"] if record["ending"] != "refused" else "refused:%s/%s" % (record["refusal"],
                                                                                            record["executed"])
            counts[key] = counts.get(key, 0) + 1
        max_interval_ms = max(float(record["longest_gap_ms"]) for record in records)
        self.report(name, failures, "requests=%d longest_gap_ms=%.0f %s" %
                    (len(records), max_interval_ms, " ".join("%s=%d" % item for item in sorted(counts.items()))))

    def check(self, name, records):
        failures = []
        executions = self.fleet.executions()
        for record in records:
            label = "%s %s" % (record["id"], record["target"])
            if record["ending"] in ("wrong", "unanswered"):
                failures.append("%s: %s" % (label, record["ending"]))
            if record["target"] == "sprogmodel" and float(record["longest_gap_ms"]) > MAX_TOKEN_INTERVAL_MS:
                failures.append("%s: no token for %s ms" % (label, record["longest_gap_ms"]))
            if record["target"] == "sprogmodel" and record["ending"] == "refused":
                failures.append("%s: a repeatable request was refused (%s)" % (label, record["refusal"]))
            if record["keyed"] == "1":
                run_count = executions.get(record["id"], 0)
                if run_count > 1 and name not in ("kill-service",):
                    failures.append("%s: executed %d times" % (label, run_count))
                # A killed service loses its counts.
                if record["ending"] == "correct" and run_count != 1 and name != "kill-service":
                    failures.append("%s: answered, but executed %d times" % (label, run_count))
                if record["ending"] == "refused" and record["executed"] == "no" and run_count > 0:
                    failures.append("%s: the refusal says 'not run', but it was executed" % label)
        return failures

    def report(self, name, failures, detail):
        self.violations += ["%s: %s" % (name, failure) for failure in failures]
        print("cell: fault=%s %s violations=%d" % (name, detail, len(failures)), flush=True)
        for failure in failures[:5]:
            print("violation: fault=%s seed=%d %s" % (name, self.seed, failure), flush=True)

    def run_drain(self):
        """Marks a backend server as leaving in the VM list; after DRAIN_SECONDS it
        must get no new sessions."""
        self.cells += 1
        self.runs += 1
        engine = self.fleet.engines[0]
        load = fleets.run_load(self.fleet, "load-drain", 7000, [PIPELINE], seed=self.seed + 50, patience_ms=20000,
                               background=True)
        time.sleep(1)
        self.fleet.set_vms([{"name": engine.name, "leaving": True}])
        time.sleep(DRAIN_SECONDS)
        drained_at = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime())
        load.communicate()
        late = []
        for vm in self.fleet.vms:
            for line in open(vm.dispatch.log):
                if "place.chain" in line and engine.name in line.split(
                        "chosen=")[1].split(" ")[0] and line[5:24] > drained_at:
                    late.append(line[:29])
        failures = self.check("drain", fleets.read_csv(self.fleet, "load-drain"))
        failures += ["new session on a leaving backend server at %s" % line for line in late]
        self.fleet.set_vms([])
        self.report("backend-leaving", failures, "new_work_after_%ds=%d" % (DRAIN_SECONDS, len(late)))

    def run_poison(self):
        """Nine times, through the entries in turn, sends a request that crashes its
        workers; ordinary load runs alongside."""
        self.cells += 1
        self.runs += 1
        load = fleets.run_load(self.fleet, "load-poison", 6000, [PIPELINE], seed=self.seed + 60, patience_ms=20000,
                               background=True)
        time.sleep(0.5)
        statuses, slowest = [], 0.0
        for turn in range(9):
            vm = self.fleet.vms[turn % 3]
            start = time.monotonic()
            status, body = fleets.http(
                "POST", "http://%s:%d/v1/completions" % (vm.ip, fleets.HTTP_PORT),
                '{"model": "sprogmodel", "prompt": "a poison-pill in the prompt", "max_tokens": 4}', timeout=20,
                headers={"Authorization": "Bearer key-skagen"})
            slowest = max(slowest, time.monotonic() - start)
            statuses.append(status)
        lost = [engine for engine in self.fleet.engines if not engine.running()]
        load.communicate()
        failures = self.check("poison", fleets.read_csv(self.fleet, "load-poison"))
        if len(lost) > MAX_WORKERS_LOST_TO_POISON:
            failures.append("%d workers crashed" % len(lost))
        if statuses[-1] != 422:
            failures.append("the request was not quarantined: %s" % statuses)
        for engine in lost:
            engine.start()
        fleets.wait_until(self.fleet.ready, 20, "the restarted engines are ready")
        self.report("poison", failures, "workers_lost=%d statuses=%s slowest_answer_s=%.2f" %
                    (len(lost), ",".join(map(str, statuses)), slowest))


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--fault", default="")
    parser.add_argument("--step", default="", help="applies to the core part only")
    options, _ = parser.parse_known_args()
    matrix = Matrix(options.seed)
    special_cells = {"backend-leaving": matrix.run_drain, "poison": matrix.run_poison}
    try:
        matrix.fleet.start()
        for name, inject in matrix.faults().items():
            if options.fault in ("", name):
                matrix.run_cell(name, inject)
        for name, run in special_cells.items():
            if options.fault in ("", name):
                run()
    finally:
        matrix.fleet.stop()
    print("fault_matrix: cells=%d runs=%d violations=%d" % (matrix.cells, matrix.runs, len(matrix.violations)))
    return 1 if matrix.violations or matrix.cells == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
