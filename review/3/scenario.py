"""Each server of a service once sends an answer whose body has no end. From then on the nodes refuse
all requests of that kind, although the servers are sound again."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import mesh as small  # noqa: E402
from http1 import encode, request  # noqa: E402

HOST = "loja.example"
LINK_MBPS = 20.0
MANUAL_BYTES = 90_000
ANNOUNCED_BYTES = 10**12
REQUESTS = 30
CALM_S = 6.0
DEADLINE_MS = 2500


async def send_without_end(mesh, run, writer, headers):
    """Sends bytes until the caller closes the connection."""
    mesh.record(f"server {run.server.instance}: a body without end for {run.request_id}")
    run.server.spoil = None
    writer.write(encode("HTTP/1.1 200 OK", headers + [("Content-Length", str(ANNOUNCED_BYTES))],
                        b""))
    try:
        while not writer.is_closing():
            writer.write(b"?" * 8192)
            await writer.drain()
            await asyncio.sleep(0.002)
    except (ConnectionError, OSError):
        pass
    mesh.record(f"server {run.server.instance}: the caller has closed")
    return True


async def scenario(mesh):
    await mesh.start_store()
    first = [small.route("r-stock", "/stock/", "catalogo", "idempotent", 1.2),
             small.route("r-manuals", "/manuals/", "manuais", "download", 2.5)]
    added = small.route("r-new", "/new/", "manuais", "download", 2.0)
    services = ["catalogo", "manuais"]
    await mesh.store.put("config", "main", small.config(7, HOST, first, services))
    await mesh.add_machine("catalogo", "zone-a", lambda run: (0.05, 400), LINK_MBPS)
    for zone in ("zone-a", "zone-b"):
        await mesh.add_machine("manuais", zone, lambda run: (0.05, MANUAL_BYTES), LINK_MBPS)
    await mesh.wait_ready()
    await asyncio.sleep(small.TOUCH_S + 1)
    await mesh.store.put("config", "main", small.config(9, HOST, first + [added], services))
    mesh.record("operator: version 9 adds the route /new/")
    await asyncio.sleep(small.BOUNDS["config-s"] + 1)
    count = 0

    async def get(path):
        nonlocal count
        count += 1
        node = mesh.nodes[count % len(mesh.nodes)]
        outcome = await request(node.outbound, "GET", HOST, path, f"q{count}", DEADLINE_MS)
        is_served = outcome.status == 200 and outcome.is_complete
        mesh.record(f"GET {path} {outcome.request_id} at {node.name}: {outcome}")
        return is_served

    for _ in range(6):
        if not await get("/new/2f") or not await get("/manuals/2f"):
            raise small.CannotRun("a download was not served before the disruption")
    if small.HAS_TROUBLE:
        for server in mesh.servers[1:]:
            server.spoil = lambda run, writer, headers: send_without_end(mesh, run, writer, headers)
            while server.spoil is not None:  # until the server has spoiled one answer
                await get("/new/2f")
    await asyncio.sleep(CALM_S)
    served = {"/new/2f": 0, "/manuals/2f": 0, "/stock/2f": 0}
    for _ in range(REQUESTS):
        for path in served:
            served[path] += await get(path)
            await asyncio.sleep(0.02)
    mesh.record(f"served of {REQUESTS} in steady state: {served}")
    share_first = (served["/manuals/2f"] + served["/stock/2f"]) / (2 * REQUESTS)
    share_added = served["/new/2f"] / REQUESTS
    mesh.record(f"share served: first routes {share_first:.2f}, added route {share_added:.2f}")
    return share_added >= share_first / 4


small.run_script(__file__, scenario)
