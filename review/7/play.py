"""Case 7 as a script: servers are removed from the store just after one of nine routers has woken from a freeze. See
claim.txt."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness"))
from harness import Fleet, now, play  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FREEZE_S, CYCLE_S, CYCLES = 3.5, 8.5, 11
LINGER_S = (0.1, 0.1, 1.0)  # of the servers that leave in a cycle
RECORD = os.environ.get("RECORD") or os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")


async def main():
    fleet = Fleet(zones=("hal-1", "hal-2", "hal-3"), routers_each=3, servers=12)
    lines = []
    try:
        await fleet.start()
        begin = now()
        tasks = [asyncio.create_task(fleet.client(router, 0.05)) for router in fleet.routers for _ in range(4)]
        relays = [fleet.routers[0], fleet.routers[3], fleet.routers[6]]
        for cycle in range(CYCLES):
            cycle_begin = now()
            frozen = relays[cycle % 3]
            if TROUBLE:
                frozen.freeze()
                lines.append("%.3f frozen: %s" % (now() - begin, frozen.name))
            await asyncio.sleep(FREEZE_S)
            if TROUBLE:
                frozen.wake()
                lines.append("%.3f awake: %s" % (now() - begin, frozen.name))
            staying = [server for server in fleet.servers if server.acked is None]
            for server, linger_s in zip(random.sample(staying, len(LINGER_S)), LINGER_S):
                await asyncio.sleep(0.08)
                tasks.append(asyncio.create_task(server.leave(linger_s, reports=False)))
                await asyncio.sleep(0)
                lines.append("%.3f acknowledged: %s is removed" % (server.acked - begin, server.id))
            await asyncio.sleep(3)
            for _ in LINGER_S:
                await fleet.add_server()
            await asyncio.sleep(CYCLE_S - (now() - cycle_begin) + random.uniform(0, 0.5))
        fleet.stopping = True
        await asyncio.sleep(3.2)
    finally:
        fleet.stop()
    return fleet.judge_drain(begin, lines, RECORD)


play(main)
