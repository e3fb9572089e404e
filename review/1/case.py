"""LOST: a worker is replaced in an orderly way. It has drained, takes no new connections and goes on
with its streams. The router takes that for crashes by these streams and cuts them, beside
configurations that are acknowledged."""

import asyncio
import json

from standin import fleet, platform

LAYERS, LAYER_MB, LOAD_S = 8, 100, 14.0
KINDS = {"big": 900}
DRAIN_S = 2.0            # drainMs
STAYS_S = 15.0           # "a little longer (at times many seconds)"
CONFIG_APPLY_S = 2.0     # configApplyMs
EVENTS = 450
TIMEOUT_S, USED_SHARE = 20.0, 0.7
PAUSE_EVERY, PAUSE_S = 50, 0.25  # a pause of a preempted request, shorter than gapAimMs


def configuration(tenants):
    return {"routes": [fleet.route("draft", "stream", "llm", sticky=True, resumable=True, gapAimMs=500,
                                   timeoutMs=20000)],
            "services": [{"name": "llm", "healthPath": "/health", "maxConns": 100,
                          "engine": fleet.engine(LAYERS, LAYER_MB, KINDS, LOAD_S)}],
            "tenants": [{"name": "skagen", "apiKeys": [fleet.KEY]}] +
                       [{"name": "more-%d" % number, "apiKeys": ["key-%d" % number]} for number in range(tenants)]}


def worker(deployment, number):
    made = platform.ModelWorker(deployment, "i-a%d" % number, "llm", "hal-1", deployment.worker_address(number),
                                "big", KINDS["big"], LAYER_MB, LAYERS, LOAD_S, "m")
    made.pause_every, made.pause_s = PAUSE_EVERY, PAUSE_S
    return made


async def case(deployment):
    await deployment.start_store()
    await deployment.put_config(configuration(0))
    deployment.add_routers(["hal-1", "hal-1", "hal-1"])
    old = worker(deployment, 1)
    old.load_s /= 10  # loads before the first request take one tenth of the time
    await old.start()
    deployment.start_routers()
    await deployment.wait_ready()

    async def served():
        return all([(await deployment.stream(router, "draft")).status == 200 for router in deployment.routers])
    await deployment.until(served, 30, "all routers serve")
    streams = [asyncio.ensure_future(deployment.stream(router, "draft", EVENTS, b"prompt %d" % number))
               for number, router in enumerate(deployment.routers * 3)]
    await asyncio.sleep(0.5)
    leaving = None
    if deployment.trouble:
        # The new worker starts first, the old one drains (`release`).
        await worker(deployment, 2).start()
        leaving = asyncio.ensure_future(old.leave(DRAIN_S, STAYS_S))
    changes = []
    for tenants in range(1, 6):
        await asyncio.sleep(2.0)
        changes.append((deployment.now(), deployment.now() + CONFIG_APPLY_S + 1))
        await deployment.put_config(configuration(tenants))
    await asyncio.gather(*streams)
    if leaving:
        leaving.cancel()
    return breaches(deployment, changes)


def breaches(deployment, changes):
    """"Around planned work [...] a process has read a whole request and the connection ends without a
    complete answer, [...] once it has been passed on to a worker [...]. Planned work is: [...] a
    configuration that may be in force, from its sending until `configApplyMs` + 1 s after its
    acknowledgement. Beside a configuration it counts only if the machine cuts requests over three
    times as often then as at other times, and not for a request that has used seven tenths of its time.
    Not counted: the worker broke off, the deadline or the route's timeout was reached [...].\""""
    deployment.records.flush()
    with open(deployment.records.name) as records:
        entries = [json.loads(line) for line in records]
    ends = {entry["request"]: entry for entry in entries if entry["what"] == "run ended"}
    found, elsewhere = [], 0
    for entry in entries:
        if entry["what"] != "request" or entry["status"] != 200 or entry["complete"]:
            continue
        run = ends.get(entry["request"], {"alive": False, "written": 0, "of": 0, "worker": "?"})
        if not run["alive"]:
            continue  # the worker broke off
        if entry["t"] - entry["sent"] > USED_SHARE * TIMEOUT_S:
            continue  # "not for a request that has used seven tenths of its time"
        if any(begin <= entry["t"] <= end for begin, end in changes):
            found.append("%.3f s: %s cuts %s, sent at %.3f s, after %d of %d events; its worker %s was at work" % (
                entry["t"], entry["router"], entry["request"], entry["sent"], run["written"], run["of"],
                run["worker"]))
        else:
            elsewhere += 1
    # Over the same time outside of the changes there is no cut.
    return found if elsewhere == 0 else []


fleet.play(__file__, case)
