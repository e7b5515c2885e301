"""Two nodes are stopped and started again, and the first answer of a kind that each of them then sends
is a large one. From then on they refuse all requests of that kind, however small their answers are.

VARIANT=endless plays another cause: nothing is restarted, but each server once sends an answer whose
body has no end."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import mesh as small  # noqa: E402
from http1 import encode, request  # noqa: E402

HOST = "loja.example"
LINK_MBPS = 12.6
MANUAL_BYTES = 90_000
LARGE_MANUAL_BYTES = 400_000
ENDLESS_BYTES = 10**12
REQUESTS = 30
CALM_S = 6.0
DEADLINE_MS = 4000
IS_ENDLESS = os.environ.get("VARIANT") == "endless"


async def send_without_end(mesh, run, writer, headers):
    """Sends bytes until the caller closes the connection."""
    mesh.record(f"server {run.server.instance}: a body without end for {run.request_id}")
    run.server.spoil = None
    writer.write(encode("HTTP/1.1 200 OK", headers + [("Content-Length", str(ENDLESS_BYTES))], b""))
    try:
        while not writer.is_closing():
            writer.write(b"?" * 8192)
            await writer.drain()
            await asyncio.sleep(0.002)
    except (ConnectionError, OSError):
        pass
    mesh.record(f"server {run.server.instance}: the caller has closed")
    return True


async def restart(mesh, node):
    node.send_signal(signal.SIGTERM)
    await asyncio.to_thread(node.process.wait)
    await asyncio.sleep(0.2)
    node.start()
    await mesh.wait_ready()
    await asyncio.sleep(1)


async def scenario(mesh):
    await mesh.start_store()
    first = [small.route("r-stock", "/stock/", "catalogo", "idempotent", 1.2),
             small.route("r-manuals", "/manuals/", "manuais", "download", 4.0, goal_s=0.6)]
    added = small.route("r-new", "/new/", "manuais", "download", 3.5, goal_s=0.6)
    services = ["catalogo", "manuais"]
    await mesh.store.put("config", "main", small.config(7, HOST, first, services))
    sizes = {}

    def work(run):
        size = MANUAL_BYTES if run.path.startswith(("/manuals/", "/new/")) else 400
        return 0.05, sizes.get(run.path, size)

    sizes["/new/large"] = LARGE_MANUAL_BYTES
    for service, zone in (("manuais", "a"), ("manuais", "b"), ("catalogo", "a"), ("catalogo", "b"),
                          ("catalogo", "c")):
        await mesh.add_machine(service, f"zone-{zone}", work, LINK_MBPS)
    manuals = mesh.servers[:2]
    await mesh.wait_ready()
    await asyncio.sleep(small.TOUCH_S + 1)
    await mesh.store.put("config", "main", small.config(9, HOST, first + [added], services))
    mesh.record("operator: version 9 adds the route /new/")
    await asyncio.sleep(small.BOUNDS["config-s"] + 1)
    count = 0

    async def get(path):
        nonlocal count
        count += 1
        node = mesh.nodes[2 + count % 3]
        outcome = await request(node.outbound, "GET", HOST, path, f"q{count}", DEADLINE_MS)
        is_served = outcome.status == 200 and outcome.is_complete
        mesh.record(f"GET {path} {outcome.request_id} at {node.name}: {outcome}")
        return is_served

    for _ in range(12):
        if not await get("/new/usual") or not await get("/manuals/usual"):
            raise small.CannotRun("a download was not served before the disruption")
    if small.HAS_TROUBLE and not IS_ENDLESS:
        for node in mesh.nodes[:2]:
            await restart(mesh, node)
        await asyncio.sleep(small.TOUCH_S)
    if small.HAS_TROUBLE and IS_ENDLESS:
        for server in manuals:
            server.spoil = lambda run, writer, headers: send_without_end(mesh, run, writer, headers)
            while server.spoil is not None:  # until the server has spoiled one answer
                await get("/new/usual")
    if not IS_ENDLESS:
        def has_sent_large(server):
            return any(run.path == "/new/large" and run.ended for run in server.runs)
        for _ in range(20):  # until each server has sent the large manual
            if all(map(has_sent_large, manuals)):
                break
            await get("/new/large")
    await asyncio.sleep(CALM_S)
    served = {"/new/usual": 0, "/manuals/usual": 0, "/stock/usual": 0}
    for _ in range(REQUESTS):
        for path in served:
            served[path] += await get(path)
            await asyncio.sleep(0.02)
    mesh.record(f"served of {REQUESTS} in steady state: {served}")
    share_first = (served["/manuals/usual"] + served["/stock/usual"]) / (2 * REQUESTS)
    share_added = served["/new/usual"] / REQUESTS
    mesh.record(f"share served: first routes {share_first:.2f}, added route {share_added:.2f}")
    return share_added >= share_first / 4


small.run_script(__file__, scenario)
