"""The process part of the fault matrix: one fault a cell on a real fleet under
load. The checks use what callers, engines and services recorded."""

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
LONGEST_GAP_MS = 3000        # the promise on recovery
DRAIN_SECONDS = 3            # the promise on leaving backend servers
WORKERS_LOST_TO_POISON = 2   # the promise on requests that crash workers
LOAD_MS = 3500
FAULT_AFTER_S = 1.0
FREEZE_S = 2.5
PIPELINE = ("name: sprogmodel, layers: 32, rate: 14, prompt_words: {low: 4, high: 20}, "
            "answer_tokens: {low: 8, high: 40}")
SERVICE = "name: register, rate: 14, non_repeatable_share: 0.7"


class Relay:
    """A link that can be cut, or slowed, between a dispatcher and an engine."""

    def __init__(self, listen, target):
        self.listen, self.target = listen, target
        self.cut = False
        self.half_open = False
        self.delay = 0.0
        self.sockets = set()
        self.server = socket.create_server(listen)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            near, _ = self.server.accept()
            if self.cut:
                near.close()
                continue
            try:
                far = socket.create_connection(self.target, timeout=2)
            except OSError:
                near.close()
                continue
            far.settimeout(None)
            self.sockets |= {near, far}
            for source, sink in ((near, far), (far, near)):
                threading.Thread(target=self.copy, args=(source, sink), daemon=True).start()

    def copy(self, source, sink):
        try:
            while True:
                data = source.recv(65536)
                if not data:
                    break
                if self.delay:
                    time.sleep(self.delay)
                if not self.half_open:  # otherwise taken and never passed on
                    sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def break_all(self):
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
        # Both replicas of one stage are reached over links that faults can
        # strike, so that no session of the cell avoids them.
        self.relays = []
        for number, engine in enumerate(self.fleet.engines[4:6]):
            host = self.fleet.ip(200 + number)
            target = (engine.address.split(":")[0], fleets.ENGINE_PORT)
            self.relays.append(Relay((host, fleets.ENGINE_PORT), target))
            self.fleet.fleet_lines["backends"] = [
                line.replace(engine.address, "%s:%d" % (host, fleets.ENGINE_PORT))
                for line in self.fleet.fleet_lines["backends"]]

    # ---- faults: each returns what undoes it ----

    def kill(self, *processes):
        for process in processes:
            process.kill()
        return lambda: [process.start() for process in processes]

    def freeze(self, *processes):
        for process in processes:
            process.send(signal.SIGSTOP)

        def wake():
            time.sleep(FREEZE_S)
            for process in processes:
                process.send(signal.SIGCONT)
        return wake

    def platform(self, **faults):
        self.fleet.platform_faults(**faults)

        def undo():
            time.sleep(1.0)
            self.fleet.platform_faults(outage=False, slow_ms=0, lose_answers=0)
        return undo

    def link(self, **values):
        for relay in self.relays:
            for name, value in values.items():
                setattr(relay, name, value)
            if relay.cut:
                relay.break_all()

        def undo():
            time.sleep(1.5)
            for relay in self.relays:
                relay.cut = relay.half_open = False
                relay.delay = 0.0
                relay.break_all()
        return undo

    def stop_in_turn(self):
        """A planned stop of every daemon, one after another, each restarted
        before the next is stopped."""
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
            "cut-link": lambda: self.link(cut=True),
            "half-open-link": lambda: self.link(half_open=True),
            "slow-link": lambda: self.link(delay=0.1),
            "platform-down": lambda: self.platform(outage=True),
            "platform-slow": lambda: self.platform(slow_ms=300),
            "platform-answer-lost": lambda: self.platform(lose_answers=5),
            "stop-all-in-turn": self.stop_in_turn,
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
            fleets.wait_until(self.fleet.ready, 10, "the fleet is whole again")
        except TimeoutError as error:
            failures.append(str(error))
        for process in self.fleet.all_processes():
            if not process.running():
                failures.append("%s ended by itself" % process.name)
                process.start()
        reader.join()
        records = fleets.read_csv(self.fleet, "load-" + name)
        failures += self.check(name, records)
        counts = {}
        for record in records:
            key = record["ending"] if record["ending"] != "refused" else "refused:%s/%s" % (record["refusal"],
                                                                                            record["executed"])
            counts[key] = counts.get(key, 0) + 1
        gap = max(float(record["longest_gap_ms"]) for record in records)
        self.report(name, failures, "requests=%d longest_gap_ms=%.0f %s" %
                    (len(records), gap, " ".join("%s=%d" % item for item in sorted(counts.items()))))

    def check(self, name, records):
        failures = []
        executions = self.fleet.executions()
        for record in records:
            where = "%s %s" % (record["id"], record["target"])
            if record["ending"] in ("wrong", "unanswered"):
                failures.append("%s: %s" % (where, record["ending"]))
            if record["target"] == "sprogmodel" and float(record["longest_gap_ms"]) > LONGEST_GAP_MS:
                failures.append("%s: a gap of %s ms" % (where, record["longest_gap_ms"]))
            if record["target"] == "sprogmodel" and record["ending"] == "refused":
                failures.append("%s: refused (%s), though it may be repeated" % (where, record["refusal"]))
            if record["keyed"] == "1":
                ran = executions.get(record["id"], 0)
                if ran > 1 and name not in ("kill-service",):
                    failures.append("%s: ran %d times" % (where, ran))
                if record["ending"] == "correct" and ran != 1 and name != "kill-service":
                    failures.append("%s: answered, and ran %d times" % (where, ran))
                if record["ending"] == "refused" and record["executed"] == "no" and ran > 0:
                    failures.append("%s: 'not run' was said, and it ran" % where)
        return failures

    def report(self, name, failures, detail):
        self.violations += ["%s: %s" % (name, failure) for failure in failures]
        print("cell: fault=%s %s violations=%d" % (name, detail, len(failures)), flush=True)
        for failure in failures[:5]:
            print("violation: fault=%s seed=%d %s" % (name, self.seed, failure), flush=True)

    def run_drain(self):
        """The VM list says that a backend server is leaving: after the bound
        it runs no session that started later."""
        self.cells += 1
        self.runs += 1
        engine = self.fleet.engines[0]
        load = fleets.run_load(self.fleet, "load-drain", 7000, [PIPELINE], seed=self.seed + 50, patience_ms=20000,
                               background=True)
        time.sleep(1)
        self.fleet.set_vms([{"name": engine.name, "leaving": True}])
        time.sleep(DRAIN_SECONDS)
        told = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime())
        load.communicate()
        late = []
        for vm in self.fleet.vms:
            for line in open(vm.dispatch.log):
                if "place.chain" in line and engine.name in line.split("chosen=")[1].split(" ")[0] and line[5:24] > told:
                    late.append(line[:29])
        failures = self.check("drain", fleets.read_csv(self.fleet, "load-drain"))
        failures += ["new work on a leaving backend server at %s" % line for line in late]
        self.fleet.set_vms([])
        self.report("backend-leaving", failures, "new_work_after_%ds=%d" % (DRAIN_SECONDS, len(late)))

    def run_poison(self):
        """One request that crashes each worker it runs on, sent again through
        every entry, beside ordinary load."""
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
        if len(lost) > WORKERS_LOST_TO_POISON:
            failures.append("%d workers lost" % len(lost))
        if statuses[-1] != 422:
            failures.append("no quarantine: %s" % statuses)
        for engine in lost:
            engine.start()
        fleets.wait_until(self.fleet.ready, 20, "the engines are back")
        self.report("poison", failures, "workers_lost=%d statuses=%s slowest_answer_s=%.2f" %
                    (len(lost), ",".join(map(str, statuses)), slowest))


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--fault", default="")
    parser.add_argument("--step", default="", help="of the core part only")
    options, _ = parser.parse_known_args()
    matrix = Matrix(options.seed)
    special = {"backend-leaving": matrix.run_drain, "poison": matrix.run_poison}
    try:
        matrix.fleet.start()
        for name, inject in matrix.faults().items():
            if options.fault in ("", name):
                matrix.run_cell(name, inject)
        for name, run in special.items():
            if options.fault in ("", name):
                run()
    finally:
        matrix.fleet.stop()
    print("fault_matrix: cells=%d runs=%d violations=%d" % (matrix.cells, matrix.runs, len(matrix.violations)))
    return 1 if matrix.violations or matrix.cells == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
