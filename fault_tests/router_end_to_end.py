"""End-to-end test of chervil-router against stand-ins of the users' platform.
Runs real processes on loopback, injects faults from outside and checks what
callers and backend servers observe."""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
import fleet as fleets  # noqa: E402
import platform_fleet  # noqa: E402

FAILED = []
CONFIG_APPLY_S = 2.0   # required bound on applying a configuration
DRAIN_S = 2.0          # required bound on draining a leaving backend server
RECOVER_S = 12.0       # required bound on recovery after a restart of all routers
STREAM_EVENTS = 60     # a stream of about 2 s


def check(what, condition, seen=""):
    print("%s: %s %s" % ("ok" if condition else "FAILED", what, "" if condition else seen), flush=True)
    if not condition:
        FAILED.append(what)


def plain_calls(fleet):
    router = fleet.routers[0]
    status, text, _ = fleet.ask(router, "POST", "/file/a?b=c", "file-1", body="Nygade 4")
    check("a filing reaches its server unchanged", (status, text) == (200, "/file/a?b=c skagen Nygade 4"), text)
    check("an open route needs no key", fleet.ask(router, "GET", "/open/x", "open-1", key=None)[0] == 200)
    check("a wrong key is refused", fleet.ask(router, "GET", "/lookup/x", "wrong-1", key="wrong")[0] == 401)
    check("no key is refused", fleet.ask(router, "GET", "/lookup/x", "wrong-2", key=None)[0] == 401)
    check("an unknown path is refused", fleet.ask(router, "GET", "/none/x", "none-1")[0] == 404)
    status, text, _ = fleet.ask(router, "GET", "/lookup/x", "bad-1", Chervilpass_Deadline_Ms="soon")
    check("the error for a malformed deadline names its header", status == 400 and "Deadline" in text, text)
    for process in fleet.plain:
        fleet.worker_faults(process, lose_answers=1)
    status = fleet.ask(router, "POST", "/file/a", "lost-1")[0]
    check("a filing whose answer is lost gets a 502", status == 502, str(status))
    check("the filing whose answer was lost ran once", fleet.runs().get("lost-1") == 1)
    status = fleet.ask(router, "GET", "/lookup/a", "lost-2")[0]
    check("a lookup whose answer is lost is retried on another server", status == 200, str(status))
    for process in fleet.plain:
        fleet.worker_faults(process, lose_answers=0)


def streams(fleet):
    for number, router in enumerate(fleet.routers):
        status, text, _ = fleet.ask(router, "POST", "/draft/x", "stream-%d" % number)
        check("a stream runs every layer once and in order, through %s" % router.name,
              status == 200 and not fleet.find_stream_error(text, 8), fleet.find_stream_error(text, 8))
    # The second run ends before it would break off: the route allows two.
    for worker in fleet.workers:
        fleet.worker_faults(worker, break_streams_after=5)
    status, text, _ = fleet.ask(fleet.routers[0], "POST", "/draft/x", "broken-1")
    check("a stream that breaks within an event resumes without losing events",
          status == 200 and not fleet.find_stream_error(text, 8), "%s %s" % (status, fleet.find_stream_error(text, 8)))
    check("it has run twice", fleet.runs().get("broken-1") == 2, str(fleet.runs().get("broken-1")))
    for worker in fleet.workers:
        fleet.worker_faults(worker, break_streams_after=0)


def lose_worker(fleet, number, what, disable, restore):
    """Disables a worker while a stream runs through each router, and restores it
    after the checks."""
    results = [fleet.in_background(fleet.ask, router, "POST", "/draft/x", "%s-%s" % (what, router.name), timeout=15.0,
                                   Chervilpass_Token_Counts="10,%d" % STREAM_EVENTS) for router in fleet.routers]
    time.sleep(0.6)
    worker = fleet.workers[number]
    disable(worker)
    for router, result in zip(fleet.routers, results):
        status, text, _ = result() or (0, "", {})
        check("%s: the stream of %s is complete" % (what, router.name),
              status == 200 and not fleet.find_stream_error(text, STREAM_EVENTS),
              "%s %s" % (status, fleet.find_stream_error(text, STREAM_EVENTS)))
    start = time.monotonic()
    fleets.wait_until(lambda: all(fleet.stream_whole(router, 3) for router in fleet.routers), 10,
                      "streams are served again")
    check("%s: new streams are served without the lost worker" % what, time.monotonic() - start < 5)
    restore(worker)


def draining_server(fleet):
    worker = fleet.plain[0]
    fleet.worker_faults(worker, drain=True)
    time.sleep(DRAIN_S)
    before = set(fleet.runs())
    for number in range(20):
        fleet.ask(fleet.routers[number % len(fleet.routers)], "GET", "/lookup/x", "drain-%d" % number)
    text = fleets.http("GET", "http://%s/admin/runs" % worker.address)[1]
    late = [name for name in __import__("json").loads(text) if name.startswith("drain-")]
    check("a draining backend server gets no new requests", not late and before is not None, str(late))


def configuration(fleet):
    process = fleet.add_plain_server("hal-1", "register-2")
    process.start()
    fleets.wait_until(lambda: fleets.http("GET", "http://%s/health" % process.address)[0] == 200, 5,
                      "the new server is healthy")
    time.sleep(1)
    fleet.plain_service = "register-2"
    fleet.keys = ["key-skagen", "key-new"]
    fleet.put_config()
    time.sleep(CONFIG_APPLY_S)
    for router in fleet.routers:
        check("a moved route and a new key are in force on %s" % router.name,
              fleet.ask(router, "GET", "/lookup/x", "moved-%s" % router.name, key="key-new")[0] == 200)
    ran = __import__("json").loads(fleets.http("GET", "http://%s/admin/runs" % process.address)[1])
    check("the new service ran the calls of the moved route",
          len([name for name in ran if name.startswith("moved-")]) == len(fleet.routers), str(ran))
    fleet.keys = ["key-skagen"]
    fleet.put_config()
    time.sleep(CONFIG_APPLY_S)
    for router in fleet.routers:
        check("a removed key is refused (%s)" % router.name,
              fleet.ask(router, "GET", "/lookup/x", "gone-%s" % router.name, key="key-new")[0] == 401)
    fleet.plain_service = "register"
    fleet.put_config()
    fleet.put_object("servers", "odd-1", {"service": 7})
    fleet.put_object("servers", "odd-2", "not an object")
    fleet.store_faults(forget_history=True)
    time.sleep(CONFIG_APPLY_S)
    check("invalid entries in the store and a lost change history do not affect streams",
          all(fleet.stream_whole(router, 3) for router in fleet.routers))


def outage(fleet):
    for mode in ("busy", "silent", "reset"):
        fleet.store_faults(outage=mode)
        time.sleep(1.5)
        check("requests succeed while the store is down (%s)" % mode,
              all(fleet.stream_whole(router, 3) for router in fleet.routers) and
              fleet.ask(fleet.routers[0], "POST", "/file/a", "outage-%s" % mode)[0] == 200)
        fleet.store_faults(outage="")
        time.sleep(0.5)
    time.sleep(3)
    check("workers whose registrations expired are used again",
          all(fleet.stream_whole(router, 3) for router in fleet.routers))


def planned_stop(fleet):
    router = fleet.routers[1]
    result = fleet.in_background(fleet.ask, router, "POST", "/draft/x", "term-1", timeout=15.0,
                                 Chervilpass_Token_Counts="10,%d" % STREAM_EVENTS)
    time.sleep(0.5)
    fleet.signal(router.process, signal.SIGHUP)
    time.sleep(0.3)
    check("SIGHUP does not stop the router", router.process.running())
    fleet.signal(router.process, signal.SIGTERM)
    time.sleep(0.5)
    check("a stopping router is not ready", not fleet.ready(router))
    fleets.wait_until(lambda: not any(router.ip in address for other in fleet.routers if other is not router
                                      for address in fleet.resolve(other, "nowhere")), 2,
                      "no address list names the stopping router")
    status, text, headers = fleet.ask(router, "GET", "/lookup/x", "term-2")
    check("a stopping router serves requests and closes their connections",
          status == 200 and headers.get("Connection") == "close",
          "%s %s" % (status, headers))
    status, text, _ = result() or (0, "", {})
    check("a stream in progress completes before the router stops",
          status == 200 and not fleet.find_stream_error(text, STREAM_EVENTS),
          "%s %s" % (status, fleet.find_stream_error(text, STREAM_EVENTS)))
    router.process.child.wait(9)
    check("a stopping router exits within its grace period", router.process.child.returncode == 0,
          str(router.process.child.returncode))
    router.process.start()
    fleet.wait_ready()


def decider_loss(fleet):
    decider = fleet.routers[0]
    fleet.signal(decider.process, signal.SIGKILL)
    worker = fleet.workers[0]
    fleet.signal(worker, signal.SIGKILL)
    start = time.monotonic()
    other_routers = fleet.routers[1:]
    fleets.wait_until(lambda: all(fleet.stream_whole(router, 3) for router in other_routers), 10,
                      "streams are served by the other routers")
    check("another VM becomes the decider after the loss of the decider", time.monotonic() - start < 6)
    worker.start()
    decider.process.start()
    fleet.wait_ready()


def restart_all(fleet):
    for router in fleet.routers:
        fleet.signal(router.process, signal.SIGKILL)
    for router in fleet.routers:
        router.process.start()
    start = time.monotonic()
    fleet.wait_ready(20)
    check("requests are served in time after a restart of all routers", time.monotonic() - start < RECOVER_S)


def main():
    fleet = platform_fleet.PlatformFleet(os.path.join(fleets.ROOT, "run", "router_end_to_end"), 60)
    try:
        fleet.start()
        plain_calls(fleet)
        streams(fleet)
        lose_worker(fleet, 0, "killed worker", lambda worker: fleet.signal(worker, signal.SIGKILL),
                    lambda worker: worker.start())
        lose_worker(fleet, 4, "frozen worker", lambda worker: fleet.signal(worker, signal.SIGSTOP),
                    lambda worker: fleet.signal(worker, signal.SIGCONT))
        configuration(fleet)
        outage(fleet)
        planned_stop(fleet)
        decider_loss(fleet)
        restart_all(fleet)
        draining_server(fleet)
        repeated = [name for name, count in fleet.runs().items() if count > 1 and name.startswith(("file", "lost-1"))]
        check("no filing ran twice", not repeated, str(repeated))
    finally:
        fleet.stop()
    print("router_end_to_end: %d failed" % len(FAILED))
    return 1 if FAILED else 0


if __name__ == "__main__":
    sys.exit(main())
