"""A node is stopped while it sends large answers over a slow link. It ends half a second before the
end of the grace time and cuts them off."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import mesh as small  # noqa: E402
from http1 import Connection  # noqa: E402

HOST = "loja.example"
LINK_MBPS = 12.6
MANUAL_BYTES = 90_000
LARGE_MANUAL_BYTES = 410_000
CLIENTS = 8
DEADLINE_MS = 4000
TIMEOUT_S = 4.0
WORK_S = 0.08
# After the SIGTERM. Clients keep sending to the only node of their zone until it refuses them.
SENT_AFTER_S = 2.35


async def scenario(mesh):
    await mesh.start_store()
    routes = [small.route("r-manuals", "/manuals/", "manuais", "download", TIMEOUT_S, goal_s=0.6),
              small.route("r-stock", "/stock/", "catalogo", "idempotent", 1.5)]
    await mesh.store.put("config", "main", small.config(7, HOST, routes, ["manuais", "catalogo"]))
    sizes = {}

    def work(run):
        return WORK_S, sizes.get(run.request_id, MANUAL_BYTES)

    machines = [("catalogo", "zone-a")] + [("manuais", f"zone-{zone}") for zone in "bcbcb"]
    for service, zone in machines:
        await mesh.add_machine(service, zone, work, LINK_MBPS)
    await mesh.wait_ready()
    await asyncio.sleep(small.TOUCH_S + 1)
    node = mesh.nodes[0]
    loop = asyncio.get_running_loop()
    connections = [Connection(node.outbound) for _ in range(CLIENTS)]

    async def download(index, request_id, size):
        sizes[request_id] = size
        outcome = await connections[index].send("GET", HOST, "/manuals/2f", request_id, DEADLINE_MS)
        mesh.record(f"client {index}: GET {request_id} of {size} bytes: {outcome}")
        return outcome

    usual = [await download(index % CLIENTS, f"usual-{index}", MANUAL_BYTES) for index in range(24)]
    if any(outcome.status != 200 for outcome in usual):
        raise small.CannotRun("a usual download was not served")
    await asyncio.sleep(1)
    stopped = loop.time()
    if small.HAS_TROUBLE:
        node.send_signal(signal.SIGTERM)
    await asyncio.sleep(SENT_AFTER_S)
    outcomes = await asyncio.gather(*[download(index, f"large-{index}", LARGE_MANUAL_BYTES)
                                      for index in range(CLIENTS)])
    runs = {run.request_id: run for server in mesh.servers for run in server.runs}
    lost = []
    for outcome in outcomes:
        run = runs.get(outcome.request_id)
        if run is None or run.ended is None or outcome.is_complete or outcome.error == "time limit":
            continue
        lost.append(outcome.request_id)
        mesh.record(f"{outcome.request_id}: read and passed on, the server's work ended "
                    f"{run.ended - stopped:.2f} s after the SIGTERM, the connection was cut "
                    f"{outcome.ended - stopped:.2f} s after it, {outcome.ended - outcome.started:.2f} "
                    f"s after the request (time limit and timeout-s: {TIMEOUT_S} s)")
    if not small.HAS_TROUBLE and not all(outcome.is_complete for outcome in outcomes):
        raise small.CannotRun("the downloads do not end in time without a stop either")
    mesh.record(f"requests cut off: {len(lost)}, allowed 0")
    return not lost


small.run_script(__file__, scenario)
