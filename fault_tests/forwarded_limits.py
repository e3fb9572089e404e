"""Sends large requests to the port on which a router takes the requests that other VMs
forward. Real processes on loopback.

    forwarded_limits.py [--subnet N]

Fails if a request within the operator's limits is turned away there, before or after the
limits change, or one beyond them is taken at the callers' port."""

import http.client
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
import fleet as fleets  # noqa: E402
import platform_fleet  # noqa: E402

FORWARD_PORT = platform_fleet.STATE_PORT + 1
FAILED = []


def check(what, condition, seen=""):
    print("%s: %s %s" % ("ok" if condition else "FAILED", what, seen), flush=True)
    if not condition:
        FAILED.append(what)


def status(router, port, body_bytes, header_bytes):
    connection = http.client.HTTPConnection(router.ip, port, timeout=6)
    try:
        connection.request("POST", "/lookup/x", body=b"x" * body_bytes, headers={
            "Host": platform_fleet.HOST, "Chervilpass-Request-Id": "large", "Authorization": "Token key-skagen",
            "Chervilpass-Deadline-Ms": "5000", "X-Filler": "x" * header_bytes})
        return connection.getresponse().status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()


def play(name, fleet):
    router = fleet.routers[0]
    for body_bytes, header_bytes in ((1500000, 10), (10, 24000), (4000000, 30000)):
        for port in (platform_fleet.CALLER_PORT, FORWARD_PORT):
            seen = status(router, port, body_bytes, header_bytes)
            check("%s: a body of %d bytes and a field of %d at port %d" % (name, body_bytes, header_bytes, port),
                  seen == 200, seen)
    fleet.max_body_bytes, fleet.max_header_bytes = 2000000, 8192
    fleet.put_config()
    fleets.wait_until(lambda: status(router, platform_fleet.CALLER_PORT, 2500000, 10) == 413, 3,
                      "the lower limit is in force")
    check("%s: beyond the lower limits" % name, status(router, platform_fleet.CALLER_PORT, 10, 9000) == 431)
    check("%s: within the lower limits" % name, status(router, FORWARD_PORT, 1900000, 7000) == 200)


def make_fleet(subnet):
    fleet = platform_fleet.PlatformFleet(os.path.join(fleets.BUILD, "forwarded-limits-%d" % subnet), subnet,
                                         routers_each=1, workers_each=2)
    fleet.max_body_bytes, fleet.max_header_bytes = 4194304, 32768
    fleet.start()
    return fleet


if __name__ == "__main__":
    platform_fleet.play_cells(__doc__, {"limits": play}, None, make_fleet, 83)
    sys.exit(1 if FAILED else 0)
