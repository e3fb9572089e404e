"""How a router's stop ends: with a grace period that has changed without a signal, with little
of the processor, with further orders to stop, and with callers that read slowly. Real processes
on loopback.

    stop_ends.py [--cell NAME]... [--subnet N]

A cell fails if a router ends after its grace period, in another way than in order, or before a
caller has received its whole answer though there was time; if a request that could end in time
gets no whole answer; and if a call gets none at all."""

import os
import select
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
import fleet as fleets  # noqa: E402
import platform_fleet  # noqa: E402
from ending_connections import final_answer, head  # noqa: E402

GRACE_S = 8.0
EVENT_S = 0.03
SHORT_GRACE_S = 2.0
EXIT_MARGIN_S = 0.3         # for what delays the last steps of a stop
SHORT_EVENTS = 25           # 0.75 s
LONG_EVENTS = 600           # outlasts each grace period
LONG_CALL_MS = 6000
ORDERS_S = (1.0, 3.0, 5.0, 6.5, 7.2)
ORDERED_EVENTS = (100, 150, 200, 235)  # up to 7.05 s
PULSE_S, PULSE_SHARE = 0.25, 0.1       # a router runs for this share of each pulse
SLOW_BODY = 600 * 1024
SLOW_READ, SLOW_PAUSE_S = 16 * 1024, 0.06  # about 260 KiB/s
SLOW_BUFFER = 32 * 1024
# What a caller's own system has received by then: the buffer, which Linux doubles.
SLOW_SLACK_S = 2 * SLOW_BUFFER / SLOW_READ * SLOW_PAUSE_S
SLOW_SENT_S = 4.6           # after SIGTERM: read to the end at about 6.9 s
SLOWEST_PAUSE_S = 3 * SLOW_PAUSE_S     # read to the end at about 11.5 s
FORWARD_PORT = platform_fleet.STATE_PORT + 1
FORWARD_SENDERS = 8
STOPPED_S = 7.4             # addresses have expired after 6 s
FAILED = []


def check(what, condition, seen=""):
    print("%s: %s %s" % ("ok" if condition else "FAILED", what, seen), flush=True)
    if not condition:
        FAILED.append(what)


def await_exit(child, timeout_s):
    """Returns as soon as the process exits: Popen.wait() polls every 50 ms, the whole of what EXIT_MARGIN_S leaves a stop
    that ends in time."""
    if child.poll() is not None:
        return child.returncode
    descriptor = os.pidfd_open(child.pid)
    try:
        select.select([descriptor], [], [], max(0.0, timeout_s))
    finally:
        os.close(descriptor)
    return child.poll()


class Stop:
    """A router that has got SIGTERM."""

    def __init__(self, router):
        self.router, self.begun = router, time.monotonic()
        router.process.send(signal.SIGTERM)

    def wait_until(self, after_s):
        time.sleep(max(0.0, self.begun + after_s - time.monotonic()))

    def check_ended(self, name, grace_s):
        """Kills the process at the end of its grace period, as the platform does."""
        code = await_exit(self.router.process.child, self.begun + grace_s - time.monotonic())
        self.ended_s = time.monotonic() - self.begun
        if code is None:
            code = "killed"
            self.router.process.kill()
        check("%s: %s ends in order and within its grace period" % (name, self.router.name), code == 0,
              "%s after %.2f s" % (code, self.ended_s))


def in_background(fleet, router, name, path, **extra):
    return fleet.in_background(fleet.ask, router, "POST", path, name, timeout=12.0, **extra)


def streams(fleet, router, name, events, count):
    return [in_background(fleet, router, "%s-%d-%d" % (name, events, number), "/draft/x",
                          Chervilpass_Token_Counts="10,%d" % events) for number in range(count)]


def calls(fleet, router, name, count):
    return [in_background(fleet, router, "%s-call-%d" % (name, number), "/file/x?work_ms=%d" % LONG_CALL_MS)
            for number in range(count)]


def check_whole(fleet, name, asked, events):
    answers = [result(15) for result in asked]
    whole = [answer for answer in answers
             if answer and answer[0] == 200 and not fleet.find_stream_error(answer[1], events)]
    check("%s: each stream that can end in time is whole" % name, len(whole) == len(asked),
          "%d of %d" % (len(whole), len(asked)))


def check_answered(name, asked):
    statuses = [(result(15) or (0,))[0] for result in asked]
    check("%s: each call gets an answer" % name, all(statuses), statuses)


def set_grace(router, seconds):
    """Changes the settings file, without a signal."""
    with open(router.process.config) as file:
        text = file.read()
    old = text[text.index("grace_seconds: "):].split(",")[0]
    with open(router.process.config + ".new", "w") as file:
        file.write(text.replace(old, "grace_seconds: %s" % seconds))
    os.rename(router.process.config + ".new", router.process.config)


def await_poll(router, grace_s=GRACE_S + 0.01):
    """Returns right after the router has read its settings: it reads them again some seconds later."""
    with open(router.process.log) as log:
        log.seek(0, os.SEEK_END)
        set_grace(router, grace_s)
        fleets.wait_until(lambda: "settings.reloaded" in log.read(), 10, "the settings are read")


def restart(fleet, router):
    set_grace(router, GRACE_S)
    router.process.start()
    fleet.wait_ready()


def play_shorter_grace(name, fleet):
    """The grace period becomes shorter shortly before SIGTERM, and while the router leaves."""
    router = fleet.routers[0]
    for when, before_s, after_s in (("before", 0.2, None), ("after", None, 0.6)):
        cell = "%s %s SIGTERM" % (name, when)
        await_poll(router)
        short = streams(fleet, router, cell.replace(" ", "-"), SHORT_EVENTS, 4)
        late = calls(fleet, router, cell.replace(" ", "-"), 4)
        if before_s:
            set_grace(router, SHORT_GRACE_S)
            time.sleep(before_s)
        else:
            time.sleep(0.2)
        stop = Stop(router)
        if after_s:
            stop.wait_until(after_s)
            set_grace(router, SHORT_GRACE_S)
        stop.check_ended(cell, SHORT_GRACE_S)
        check_whole(fleet, cell, short, SHORT_EVENTS)
        check_answered(cell, late)
        restart(fleet, router)


def play_little_processor(name, fleet):
    """All routers leave at once, while each runs for a tenth of the time only."""
    done = threading.Event()

    def pulse():
        while not done.is_set():
            for number, seconds in ((signal.SIGSTOP, PULSE_S * (1 - PULSE_SHARE)), (signal.SIGCONT, PULSE_S * PULSE_SHARE)):
                for router in fleet.routers:
                    router.process.send(number)
                time.sleep(seconds)

    asked = [result for router in fleet.routers for result in streams(fleet, router, name + router.name, LONG_EVENTS, 3)]
    late = [result for router in fleet.routers for result in calls(fleet, router, name + router.name, 2)]
    time.sleep(0.5)
    thread = threading.Thread(target=pulse, daemon=True)
    thread.start()
    time.sleep(0.5)
    stops = [Stop(router) for router in fleet.routers]
    for stop in stops:
        stop.check_ended(name, GRACE_S)
    done.set()
    thread.join()
    check_answered(name, late)
    for result in asked:
        result(15)
    for router in fleet.routers:
        router.process.start()
    fleet.wait_ready()


def play_late_orders(name, fleet):
    """Further orders to stop until shortly before the end."""
    router = fleet.routers[0]
    asked = [(events, streams(fleet, router, name, events, 3)) for events in ORDERED_EVENTS]
    time.sleep(0.3)
    stop = Stop(router)
    for number, after_s in enumerate(ORDERS_S):
        stop.wait_until(after_s)
        router.process.send((signal.SIGTERM, signal.SIGINT, signal.SIGTERM)[number % 3])
    stop.check_ended(name, GRACE_S)
    for events, results in asked:
        check_whole(fleet, "%s, %d events" % (name, events), results, events)
    restart(fleet, router)


def play_endless_streams(name, fleet):
    """Streams that outlast the grace period are served for as long as is safe."""
    router = fleet.routers[0]
    asked = streams(fleet, router, name, LONG_EVENTS, 3)
    time.sleep(0.3)
    stop = Stop(router)
    stop.check_ended(name, GRACE_S)
    check("%s: the router ends well before it would be killed, but not early" % name,
          GRACE_S * 5 / 6 <= stop.ended_s <= GRACE_S - EXIT_MARGIN_S, "after %.2f s" % stop.ended_s)
    for result in asked:
        result(15)
    restart(fleet, router)


class SlowReader:
    def __init__(self, router, name, size, port=platform_fleet.CALLER_PORT, pause_s=SLOW_PAUSE_S):
        self.data, self.ended_s, self.pause_s = b"", None, pause_s
        self.connection = socket.socket()
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER)
        self.connection.connect((router.ip, port))
        self.connection.settimeout(10)
        self.connection.sendall(head("POST", "/file/x", name, 1, "Content-Length: %d\r\n" % size) + b"b" * size)
        self.thread = threading.Thread(target=self.read, daemon=True)
        self.thread.start()

    def read(self):
        try:
            while True:
                piece = self.connection.recv(SLOW_READ)
                if not piece:
                    break
                self.data += piece
                time.sleep(self.pause_s)
        except OSError:
            pass
        self.ended_s = time.monotonic()


def play_slow_readers(name, fleet, port=platform_fleet.CALLER_PORT):
    """The router has nothing in progress any more, but its callers still receive."""
    router = fleet.routers[0]
    stop = Stop(router)
    stop.wait_until(SLOW_SENT_S)
    readers = [SlowReader(router, "%s-%d" % (name, number), SLOW_BODY, port) for number in range(4)]
    stop.check_ended(name, GRACE_S)
    for reader in readers:
        reader.thread.join(15)
    whole = [final_answer(reader.data) == (200, True) for reader in readers]
    check("%s: each answer is whole" % name, all(whole), "%d of %d" % (whole.count(True), len(readers)))
    last_s = max(reader.ended_s for reader in readers) - stop.begun
    check("%s: the router ends after its callers have received their answers" % name, last_s <= stop.ended_s + SLOW_SLACK_S,
          "the router after %.2f s, the last caller after %.2f s" % (stop.ended_s, last_s))
    restart(fleet, router)


def play_stopped_readers(name, fleet):
    """Callers that do not read at all hold up a stop for a moment only: they may have vanished."""
    router = fleet.routers[0]
    stop = Stop(router)
    stop.wait_until(SLOW_SENT_S)
    readers = [SlowReader(router, "%s-%d" % (name, number), SLOW_BODY, pause_s=30) for number in range(4)]
    stop.check_ended(name, GRACE_S)
    check("%s: the router does not wait for them until its end" % name, stop.ended_s <= STOPPED_S,
          "after %.2f s" % stop.ended_s)
    for reader in readers:
        reader.connection.close()
    restart(fleet, router)


def play_slow_peers(name, fleet):
    """The same for requests that other VMs forward, without any caller."""
    play_slow_readers(name, fleet, FORWARD_PORT)


def play_shorter_grace_late(name, fleet):
    """The grace period becomes shorter while the router waits for its last callers."""
    router = fleet.routers[0]
    await_poll(router, 2 * GRACE_S)
    stop = Stop(router)
    stop.wait_until(SLOW_SENT_S)
    readers = [SlowReader(router, "%s-%d" % (name, number), SLOW_BODY, pause_s=SLOWEST_PAUSE_S) for number in range(4)]
    stop.wait_until(6.6)
    set_grace(router, GRACE_S)
    stop.check_ended(name, GRACE_S)
    for reader in readers:
        reader.connection.close()
        reader.thread.join(15)
    restart(fleet, router)


def forward_until_refused(router, name, results):
    """Sends one request after the other to the port for other VMs, each on a connection of its own."""
    for number in range(100000):
        connection = socket.socket()
        connection.settimeout(6)
        try:
            connection.connect((router.ip, FORWARD_PORT))
        except OSError:
            return
        data = b""
        try:
            connection.sendall(head("POST", "/file/x", "%s-%d" % (name, number), 1, "Content-Length: 1\r\n"
                                    "Connection: close\r\n") + b"b")
            while True:
                piece = connection.recv(65536)
                if not piece:
                    break
                data += piece
        except OSError:
            pass
        connection.close()
        results.append(final_answer(data)[1])


def play_forwarded_to_the_end(name, fleet):
    """Other VMs forward requests until the router ends; it has no callers."""
    router = fleet.routers[0]
    results = []
    stop = Stop(router)
    stop.wait_until(4.5)
    threads = [threading.Thread(target=forward_until_refused, args=(router, "%s-%d" % (name, number), results),
                                daemon=True) for number in range(FORWARD_SENDERS)]
    for thread in threads:
        thread.start()
    stop.check_ended(name, GRACE_S)
    for thread in threads:
        thread.join(10)
    check("%s: each request on an established connection is answered" % name, results and all(results),
          "%d of %d" % (results.count(True), len(results)))
    restart(fleet, router)


CELLS = {"shorter-grace": play_shorter_grace, "little-processor": play_little_processor, "late-orders": play_late_orders,
         "endless-streams": play_endless_streams, "slow-readers": play_slow_readers, "slow-peers": play_slow_peers,
         "stopped-readers": play_stopped_readers, "shorter-grace-late": play_shorter_grace_late, "forwarded-to-the-end": play_forwarded_to_the_end}


def make_fleet(subnet):
    folder = os.path.join(fleets.BUILD, "stop-ends-%d" % subnet)
    fleet = platform_fleet.PlatformFleet(folder, subnet, routers_each=2, workers_each=2)
    fleet.call_timeout_ms = 10000
    fleet.start()
    return fleet


if __name__ == "__main__":
    platform_fleet.play_cells(__doc__, CELLS, None, make_fleet, 88)
    sys.exit(1 if FAILED else 0)
