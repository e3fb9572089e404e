"""DRAIN: the open connections to the store go silent, new ones work. Once the routers are in touch
again, a worker that left meanwhile still gets requests."""

import asyncio
import json

from standin import fleet, platform

DRAIN_S = 2.0       # drainMs
STAYS_S = 4.0       # a worker serves on for drainMs and a little longer, and then exits
WORK_S = 0.1        # of one request
LEAVES_AFTER_S = 0.3


async def case(deployment):
    await deployment.start_store()
    await deployment.put_config({
        "routes": [fleet.route("lookup", "idempotent", "register"), fleet.route("file", "non_idempotent", "register")],
        "services": [{"name": "register", "healthPath": "/health", "maxConns": 200}]})
    deployment.add_routers(["hal-1", "hal-1", "hal-2", "hal-2"])
    proxies = []
    for number, router in enumerate(deployment.routers, 1):
        router.proxy = deployment.ip(200 + number)
        proxy = platform.SilentProxy((deployment.ip(200), fleet.STORE_PORT))
        await proxy.start(router.proxy, fleet.STORE_PORT)
        proxies.append(proxy)
    workers = [platform.Worker(deployment, "i-p%d" % n, "register", "hal-%d" % (1 + n % 2),
                               deployment.worker_address(n)) for n in range(1, 4)]
    for worker in workers:
        worker.work_s = WORK_S
        await worker.start()
    deployment.start_routers()
    await deployment.wait_ready()
    await asyncio.sleep(3)

    sent = []

    async def traffic(seconds):
        for number in range(int(seconds * 20)):
            for router in deployment.routers:
                if number % 2 == 0:
                    sent.append(asyncio.ensure_future(deployment.send(router, "POST", "/file/x", b"filing", 3)))
                else:
                    sent.append(asyncio.ensure_future(deployment.send(router, "GET", "/lookup/x", timeout=3)))
            await asyncio.sleep(0.05)

    load = asyncio.ensure_future(traffic(14))
    await asyncio.sleep(3)
    silent_at = deployment.now()
    if deployment.trouble:
        for proxy in proxies:
            proxy.silence_open_connections()
        deployment.record("open connections to the store go silent")
    await asyncio.sleep(LEAVES_AFTER_S)
    # The worker leaves without a report: its entry is removed, and it serves on.
    leaving = workers[0]
    leaving.registers = False
    await deployment.store.remove("servers", leaving.id)
    removed_at = deployment.now()
    deployment.record("entry removed, acknowledged by the store", worker=leaving.id)
    await asyncio.sleep(STAYS_S)
    leaving.alive = False
    leaving.server.crash()
    deployment.record("exits", worker=leaving.id)
    await load
    await asyncio.gather(*sent)
    return breaches(deployment, leaving.id, silent_at, removed_at)


def breaches(deployment, worker, silent_at, removed_at):
    """"A request reaches a worker later than `drainMs` after a machine in touch acknowledged that the
    worker is `draining` or gone [...], taken from the client and sent on by machines in touch.\""""
    deployment.records.flush()
    with open(deployment.records.name) as records:
        entries = [json.loads(line) for line in records]
    requests = {entry["request"]: entry for entry in entries if entry["what"] == "request"}
    in_touch_at = silent_at + fleet.CONTACT_S + 0.1
    lost = [entry["request"] for entry in entries if entry["what"] == "run" and entry["worker"] == worker and
            requests[entry["request"]]["method"] == "POST" and requests[entry["request"]]["status"] != 200]
    print("filings that ran on %s and whose answers were lost as it exited: %s" % (worker, lost))
    found = []
    for entry in entries:
        if entry["what"] == "run" and entry["worker"] == worker and entry["t"] > removed_at + DRAIN_S:
            request = requests[entry["request"]]
            if request["sent"] > in_touch_at:
                found.append("%.3f s: %s reaches %s through %s, sent at %.3f s; its entry went at %.3f s" % (
                    entry["t"], entry["request"], worker, request["router"], request["sent"], removed_at))
    return found


fleet.play(__file__, case)
