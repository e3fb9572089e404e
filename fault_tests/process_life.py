"""Sends series of signals to routers and other daemons, and takes away the reader of
their output, while requests are in progress. Real processes on loopback.

    process_life.py [--cell NAME]... [--subnet N]

A cell fails if a request in progress gets no complete answer, if a process ends by a
signal that is no order to end at once, if an orderly stop has another exit code than 0, if
a process that ends by a fatal signal leaves no line that says so or loses the lines before
it, if a process does not start beside its leaving predecessor, if an entry ends before its
callers have received their answers, or a dispatcher before its answers are written."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
import ending_connections  # noqa: E402
import fleet as fleets  # noqa: E402
import platform_fleet  # noqa: E402

STREAM_EVENTS = 40      # of 30 ms
STREAMS = 8             # in progress as the signals arrive
GRACE_S = 8.0
EARLY_STARTS = 10
STRAY = [signal.SIGUSR1, signal.SIGUSR2, signal.SIGPIPE, signal.SIGALRM, signal.SIGXFSZ, signal.SIGHUP,
         16, signal.SIGXCPU] + list(range(signal.SIGRTMIN, signal.SIGRTMAX + 1))  # 16: SIGSTKFLT
STRAY_PAUSE_S = 0.008
FATAL = [signal.SIGSEGV, signal.SIGABRT, signal.SIGBUS, signal.SIGFPE, signal.SIGILL, signal.SIGQUIT]
DISPATCH_STOPS = 6
DISPATCH_BODY = 900000   # its outcome takes some milliseconds to write
SLOW_BODY = 600 * 1024
SLOW_READ, SLOW_PAUSE_S = 16 * 1024, 0.06
SLOW_BUFFER = 32 * 1024
# What a caller's own system has received by then: the buffer, which Linux doubles.
SLOW_SLACK_S = 2 * SLOW_BUFFER / SLOW_READ * SLOW_PAUSE_S
FAILED = []


def check(what, condition, seen=""):
    print("%s: %s %s" % ("ok" if condition else "FAILED", what, seen), flush=True)
    if not condition:
        FAILED.append(what)


class Streams:
    """Streams in progress through one router."""

    def __init__(self, fleet, router, name):
        self.fleet, self.router, self.name, self.whole = fleet, router, name, []
        self.threads = [threading.Thread(target=self.stream, args=(number,), daemon=True) for number in range(STREAMS)]
        for thread in self.threads:
            thread.start()
        time.sleep(0.4)

    def stream(self, number):
        self.whole.append(self.fleet.stream_whole(self.router, STREAM_EVENTS, "%s-%d" % (self.name, number)))

    def check_all_whole(self):
        for thread in self.threads:
            thread.join(15)
        check("%s: each request in progress is answered" % self.name, self.whole.count(True) == STREAMS,
              "%d of %d" % (self.whole.count(True), STREAMS))


def stopped_in_order(fleet, router, name, signals):
    """`signals`: (seconds after the first one, signal)."""
    streams = Streams(fleet, router, name)
    begun = time.monotonic()
    for after_s, number in signals:
        time.sleep(max(0.0, begun + after_s - time.monotonic()))
        router.process.send(number)
    streams.check_all_whole()
    try:
        code = router.process.child.wait(GRACE_S + 2)
    except subprocess.TimeoutExpired:
        code = None
    elapsed_s = time.monotonic() - begun
    check("%s: the process ends in order and within its grace period" % name, code == 0 and elapsed_s <= GRACE_S,
          "exit code %s after %.1f s" % (code, elapsed_s))
    router.process.start()
    fleet.wait_ready()


def play_repeated_stop(name, fleet):
    router = fleet.routers[0]
    stopped_in_order(fleet, router, name + " SIGTERM twice", [(0, signal.SIGTERM), (0.5, signal.SIGTERM)])
    stopped_in_order(fleet, router, name + " SIGTERM, SIGINT, SIGHUP, SIGTERM",
                     [(0, signal.SIGTERM), (0.2, signal.SIGINT), (0.3, signal.SIGHUP), (0.4, signal.SIGTERM)])
    stopped_in_order(fleet, router, name + " SIGHUP and SIGTERM at once",
                     [(0, signal.SIGHUP), (0, signal.SIGTERM), (0, signal.SIGHUP), (0, signal.SIGINT)])


def play_stray_signals(name, fleet):
    router = fleet.routers[0]
    streams = Streams(fleet, router, name)
    for number in STRAY * 3:
        router.process.send(number)
        time.sleep(STRAY_PAUSE_S)
    streams.check_all_whole()
    check("%s: the process goes on" % name, router.process.running())


def play_output_gone(name, fleet):
    """The reader of the router's output goes away."""
    router = fleet.routers[0]
    router.process.kill()
    reader, writer = os.pipe()
    router.process.child = subprocess.Popen(
        [os.path.join(fleets.BUILD, "chervil-router"), "--config", router.process.config],
        stdout=writer, stderr=writer, stdin=subprocess.DEVNULL)
    os.close(writer)
    fleet.wait_ready()
    streams = Streams(fleet, router, name)
    os.close(reader)
    fleet.ask(router, "GET", "/no-such-route/x", "logged")
    streams.check_all_whole()
    check("%s: the process goes on" % name, router.process.running())


def exit_code(process, number):
    """None while it runs on."""
    try:
        return process.child.wait(GRACE_S + 2 if number == signal.SIGTERM else 0.5)
    except subprocess.TimeoutExpired:
        return None


def ignores_broken_pipes(process):
    with open("/proc/%d/status" % process.child.pid) as status:
        ignored = next(int(line.split()[1], 16) for line in status if line.startswith("SigIgn:"))
    return ignored >> (signal.SIGPIPE - 1) & 1


def early_end(process, number):
    """The exit code of a process that gets a signal as soon as it has prepared for signals,
    before it has read its settings."""
    process.start()
    until = time.monotonic() + 0.1
    while time.monotonic() < until and not ignores_broken_pipes(process):
        pass
    process.send(number)
    return exit_code(process, number)


def pending_end(process, number):
    """The exit code of a process whose signal is pending from before its first step."""
    with open(process.log, "a") as log:
        process.child = subprocess.Popen(
            [os.path.join(fleets.BUILD, process.binary), "--config", process.config], stdout=log, stderr=log,
            stdin=subprocess.DEVNULL, preexec_fn=lambda: signal.pthread_sigmask(signal.SIG_BLOCK, [number]))
    process.send(number)
    return exit_code(process, number)


def play_early_signals(name, fleet):
    router = fleet.routers[0]
    for end in (early_end, pending_end):
        for number, starts, wanted in ((signal.SIGHUP, EARLY_STARTS, None), (signal.SIGTERM, 3, 0)):
            codes = []
            for _ in range(starts):
                router.process.kill()
                codes.append(end(router.process, number))
            check("%s: %s %s" % (name, end.__name__, number.name), all(code == wanted for code in codes),
                  "exit codes %s" % codes)


def play_restart_beside_predecessor(name, fleet):
    """The next process starts while the one before it still leaves and holds the ports; then one is
    told to stop while it waits."""
    router = fleet.routers[0]
    predecessor = router.process.child
    predecessor.send_signal(signal.SIGTERM)
    time.sleep(0.5)
    router.process.start()
    check("%s: the predecessor ends in order" % name, predecessor.wait(GRACE_S) == 0)
    try:
        fleet.wait_ready(5)
    except TimeoutError:
        pass
    check("%s: the next process serves" % name, router.process.running() and fleet.stream_whole(router, 10))
    with open(router.process.log) as log:
        waits = sum("address.in_use" in line for line in log)
    check("%s: the wait is logged once for each address" % name, 0 < waits <= 8, "%d lines" % waits)
    first = router.process.child
    router.process.start()
    time.sleep(1)
    router.process.send(signal.SIGTERM)
    try:
        code = router.process.child.wait(3)
    except subprocess.TimeoutExpired:
        code = "none"
    check("%s: a process that waits ends when it is told to" % name, code == 0, "exit code %s" % code)
    router.process.kill()
    router.process.child = first


def play_order_beside_predecessor(name, platform):
    """A process is told to stop while it waits for the ports: the kill at the end of that grace period must not
    reach the process after it."""
    folder = os.path.join(fleets.BUILD, "process-life-%d-whole-grace" % platform.subnet)
    fleet = platform_fleet.PlatformFleet(folder, platform.subnet + 1, routers_each=1, workers_each=1)
    fleet.whole_grace = True
    fleet.build_routers()
    try:
        fleet.start()
        router = fleet.routers[0]
        first = router.process.child
        router.process.start()
        time.sleep(1)
        ordered = time.monotonic()
        router.process.send(signal.SIGTERM)
        try:
            code = router.process.child.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            code = "none"
        ended_s = time.monotonic() - ordered
        check("%s: it ends in order at the end of the grace period" % name, code == 0 and ended_s > GRACE_S - 0.3,
              "exit code %s after %.2f s" % (code, ended_s))
        router.process.kill()
        router.process.child = first
        check("%s: the process that has the ports serves on" % name, fleet.stream_whole(router, 10))
    finally:
        fleet.stop()


def play_fatal_signals(name, fleet):
    router = fleet.routers[0]
    for number in FATAL:
        request = "%s-%d" % (name, number)
        fleet.ask(router, "GET", "/no-such-route/x", request)
        time.sleep(0.03)    # its line comes right after its answer
        router.process.send(number)
        code = router.process.child.wait(5)
        with open(router.process.log) as log:
            text = log.read()
        check("%s: %s ends the process" % (name, number.name), code == -number, code)
        check("%s: %s: the lines before the end are written" % (name, number.name), request in text)
        last = json.loads(text.splitlines()[-1])
        check("%s: %s is named by the last line" % (name, number.name),
              (last["event"], last.get("number")) == ("process.ended_by_signal", str(int(number))), last)
        router.process.start()
        fleet.wait_ready()


def play_other_daemons(name, platform):
    """The daemons of the product's own interface, and a stand-in."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleets.Fleet(folder, platform.subnet + 1)
        fleet.add_vm("vm-1", "hal-1", "dk-sjaelland")
        fleet.write_vm(fleet.vms[0])
        processes = fleet.vms[0].processes() + [
            fleets.Process("platform", "fake-platform", "listen: '%s'\n" % fleet.platform_address(), folder)]
        for process in processes:
            process.start()
        time.sleep(1)
        for number in STRAY:
            for process in processes:
                process.send(number)
        time.sleep(0.3)
        ended = [process.name for process in processes if not process.running()]
        check("%s: stray signals end none" % name, not ended, ended)
        for number in (signal.SIGTERM, signal.SIGTERM, signal.SIGINT):
            for process in processes:
                process.send(number)
            time.sleep(0.03)
        codes = [process.child.wait(20) for process in processes]
        check("%s: orderly ends" % name, all(code == 0 for code in codes), "exit codes %s" % codes)


class SlowReader:
    """A caller of an entry that reads about 260 KiB/s."""

    def __init__(self, vm, size):
        self.data, self.ended_s = b"", None
        self.connection = socket.socket()
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER)
        self.connection.connect((vm.ip, fleets.HTTP_PORT))
        self.connection.settimeout(10)
        self.connection.sendall(("GET /v1/services/register/x HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer key-skagen"
                                 "\r\nContent-Length: %d\r\n\r\n" % size).encode() + b"b" * size)
        self.thread = threading.Thread(target=self.read, daemon=True)
        self.thread.start()

    def read(self):
        try:
            while True:
                piece = self.connection.recv(SLOW_READ)
                if not piece:
                    break
                self.data += piece
                time.sleep(SLOW_PAUSE_S)
        except OSError:
            pass
        self.ended_s = time.monotonic()


def play_entry_slow_readers(name, platform):
    """An entry has nothing in progress any more, but its callers still receive."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleets.Fleet(folder, platform.subnet + 1)
        fleet.entry_extra = "entries: {ttl_ms: 500}\n"
        fleet.add_vm("vm-1", "hal-1", "dk-sjaelland")
        fleet.add_service("register", "register-1", "hal-1", "dk-sjaelland")
        fleet.add_organisation("skagen", "key-skagen")
        try:
            fleet.start()
            entry = fleet.vms[0].entry
            readers = [SlowReader(fleet.vms[0], SLOW_BODY) for _ in range(4)]
            time.sleep(0.6)
            entry.send(signal.SIGTERM)
            check("%s: the entry ends in order" % name, entry.child.wait(20) == 0)
            ended_s = time.monotonic()
            for reader in readers:
                reader.thread.join(15)
            whole = [ending_connections.final_answer(reader.data) == (200, True) for reader in readers]
            check("%s: each answer is whole" % name, all(whole), "%d of %d" % (whole.count(True), len(readers)))
            late_s = max(reader.ended_s for reader in readers) - ended_s
            check("%s: the entry ends after its callers have received their answers" % name, late_s <= SLOW_SLACK_S,
                  "the last caller %.2f s after the entry" % late_s)
        finally:
            fleet.stop()


def play_dispatch_answers(name, platform):
    """A dispatcher is told to stop while its calls run; they end shortly before it does."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleets.Fleet(folder, platform.subnet + 1)
        fleet.add_vm("vm-1", "hal-1", "dk-sjaelland")
        fleet.add_service("register", "register-1", "hal-1", "dk-sjaelland", service_time_ms=1800)
        fleet.add_organisation("skagen", "key-skagen")
        url = "http://%s:%d/v1/services/register/x"
        statuses = []

        def call():
            statuses.append(fleets.http("GET", url % (fleet.vms[0].ip, fleets.HTTP_PORT), "b" * DISPATCH_BODY,
                                        timeout=10, headers={"Authorization": "Bearer key-skagen"})[0])
        try:
            fleet.start()
            dispatch = fleet.vms[0].dispatch
            for _ in range(DISPATCH_STOPS):
                threads = [threading.Thread(target=call) for _ in range(4)]
                for thread in threads:
                    thread.start()
                time.sleep(0.15)
                dispatch.send(signal.SIGTERM)
                code = dispatch.child.wait(15)
                for thread in threads:
                    thread.join()
                check("%s: the dispatcher ends in order" % name, code == 0, code)
                dispatch.start()
                time.sleep(1.2)
        finally:
            fleet.stop()
        check("%s: each call is answered" % name, statuses.count(200) == len(statuses),
              "%d of %d" % (statuses.count(200), len(statuses)))


CELLS = {"repeated-stop": play_repeated_stop, "stray-signals": play_stray_signals, "output-gone": play_output_gone,
         "early-signals": play_early_signals, "other-daemons": play_other_daemons,
         "restart-beside-predecessor": play_restart_beside_predecessor,
         "order-beside-predecessor": play_order_beside_predecessor, "fatal-signals": play_fatal_signals,
         "entry-slow-readers": play_entry_slow_readers, "dispatch-answers": play_dispatch_answers}


def make_fleet(subnet):
    folder = os.path.join(fleets.BUILD, "process-life-%d" % subnet)
    fleet = platform_fleet.PlatformFleet(folder, subnet, routers_each=1, workers_each=2)
    fleet.start()
    return fleet


if __name__ == "__main__":
    platform_fleet.play_cells(__doc__, CELLS, None, make_fleet, 76)
    sys.exit(1 if FAILED else 0)
