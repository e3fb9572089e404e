"""RECOVER: another writer's entries name a service that does not exist and the addresses of sound
workers. After the final fault the routers leave these workers out for good."""

import asyncio

from standin import fleet, platform

DOWN_S = 1.0       # closing: kill_all, down_s
RECOVER_S = 12.0   # recoverS
WORKERS = 3


async def case(deployment):
    await deployment.start_store()
    config = {"routes": [fleet.route("lookup", "idempotent", "register"),
                         fleet.route("file", "non_idempotent", "register")],
              "services": [{"name": "register", "healthPath": "/health", "maxConns": 200}]}
    await deployment.put_config(config)
    deployment.add_routers(["hal-1", "hal-2", "hal-3"])
    workers = [platform.Worker(deployment, "i-p%d" % number, "register", "hal-%d" % number,
                               deployment.worker_address(number)) for number in range(1, WORKERS + 1)]
    for worker in workers:
        await worker.start()
    deployment.start_routers()
    await deployment.wait_ready()
    before = await served(deployment, 5)

    if deployment.trouble:
        # The final fault: all processes are killed right after a configuration is acknowledged.
        await deployment.put_config(dict(config, routes=config["routes"] + [
            fleet.route("more", "idempotent", "register")]))
        for router in deployment.routers:
            router.child.kill()
            router.child.wait()
        deployment.record("all routers killed")
        await asyncio.sleep(DOWN_S / 2)
        for number, worker in enumerate(workers, 1):
            await deployment.store.put("servers", "host-%d" % number, dict(worker.entry(), service="inventory"))
        deployment.record("entries of another writer", service="inventory")
        await asyncio.sleep(DOWN_S / 2)
        deployment.start_routers()
        await deployment.wait_ready()
        deployment.record("all routers are back and ready")
    await asyncio.sleep(RECOVER_S)
    after = await served(deployment, 5)
    sound = [worker.id for worker in workers if worker.alive and worker.id in deployment.store.kinds["servers"]]
    deployment.record("shares served", before=before, after=after, sound_workers=sound)
    # "Of the requests sent later than `recoverS` after the machines are back, less than a quarter is
    # served, though a quarter or more was before the final fault."
    if before >= 0.25 > after:
        return ["served %.2f before the final fault, %.2f later than %d s after the machines are back, with %d "
                "sound registered workers" % (before, after, RECOVER_S, len(sound))]
    return []


async def served(deployment, seconds):
    """The share of requests that is served; half of them may not be repeated."""
    sent = []
    for number in range(int(seconds * 10)):
        for router in deployment.routers:
            if number % 2 == 0:
                sent.append(asyncio.ensure_future(deployment.send(router, "POST", "/file/x", b"filing", 3)))
            else:
                sent.append(asyncio.ensure_future(deployment.send(router, "GET", "/lookup/x", timeout=3)))
        await asyncio.sleep(0.1)
    answers = await asyncio.gather(*sent)
    return sum(answer.status == 200 and answer.complete for answer in answers) / len(answers)


fleet.play(__file__, case)
