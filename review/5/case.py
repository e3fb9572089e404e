"""UNASKED: a request whose body is in a transfer coding that the router does not know. The router
takes the body for further requests and has them run."""

import asyncio
import json

from standin import fleet, platform
from standin.web import read_body, read_head

TRIES = 5


async def exchange(router, raw, seconds=2.0):
    """Sends the bytes on a new connection. Returns the status lines that come back."""
    reader, writer = await asyncio.open_connection(*router.front())
    lines = []

    async def answers():
        while True:
            head = await read_head(reader)
            if head is None:
                return
            lines.append(head[0])
            await read_body(reader, head[1])
    try:
        writer.write(raw)
        await asyncio.wait_for(answers(), seconds)
    except (asyncio.TimeoutError, ConnectionError):
        pass
    finally:
        writer.transport.abort()
    return lines


def message(method, path, request, extra, body=b""):
    head = ["%s %s HTTP/1.1" % (method, path), "Host: " + fleet.HOST, "Chervilpass-Request-Id: " + request,
            "Chervilpass-Deadline-Ms: 2000", "Authorization: Token " + fleet.KEY] + extra
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


async def case(deployment):
    await deployment.start_store()
    await deployment.put_config({
        "routes": [fleet.route("file", "non_idempotent", "register"), fleet.route("lookup", "idempotent", "register")],
        "services": [{"name": "register", "healthPath": "/health", "maxConns": 200}]})
    deployment.add_routers(["hal-1", "hal-2"])
    for number in (1, 2):
        await platform.Worker(deployment, "i-p%d" % number, "register", "hal-%d" % number,
                              deployment.worker_address(number)).start()
    deployment.start_routers()
    await deployment.wait_ready()
    sent = set()
    for number in range(TRIES):
        for router in deployment.routers:
            outer = "outer-%s-%d" % (router.name, number)
            inner = message("POST", "/file/inner", "inner-%s-%d" % (router.name, number), ["Content-Length: 0"])
            # Without the disruption the same bytes are a body with a length.
            coding = "Transfer-Encoding: gzip" if deployment.trouble else "Content-Length: %d" % len(inner)
            sent.add(outer)
            lines = await exchange(router, message("POST", "/file/outer", outer, [coding], inner))
            deployment.record("exchange", router=router.name, request=outer, field=coding, answers=lines)
    return breaches(deployment, sent)


def breaches(deployment, sent):
    """"A worker runs a request whose id no client sent, or one that was smuggled inside another
    request [...].\""""
    deployment.records.flush()
    with open(deployment.records.name) as records:
        runs = [entry for entry in map(json.loads, records) if entry["what"] == "run"]
    return ["%.3f s: %s runs %s, which was inside another request" % (run["t"], run["worker"], run["request"])
            for run in runs if run["request"] not in sent]


fleet.play(__file__, case)
