"""A server leaves and its node is stopped and started again. A liveness report that was delayed on
the way makes the new process send work to the server that has left."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import mesh as small  # noqa: E402
from http1 import request  # noqa: E402

HOST = "loja.example"
WORK_S = 0.8
ORDERS = 12
REPORT_DELAY_S = 4.0
# The server serves on for this time after the acknowledgement of its leave.
SERVES_ON_S = 7.7
RESTART_DELAY_S = 0.2


async def scenario(mesh):
    await mesh.start_store()
    routes = [small.route("r-claims", "/claims/", "garantias", "non_idempotent", 1.5),
              small.route("r-stock", "/stock/", "catalogo", "idempotent", 1.2)]
    await mesh.store.put("config", "main",
                         small.config(7, HOST, routes, ["garantias", "catalogo"]))
    for service, zone in (("garantias", "zone-a"), ("garantias", "zone-b"), ("catalogo", "zone-a")):
        await mesh.add_machine(service, zone, lambda run: (WORK_S, 400))
    await mesh.wait_ready()
    await asyncio.sleep(small.TOUCH_S + 1)
    loop = asyncio.get_running_loop()
    node, server, entry = mesh.nodes[0], mesh.servers[0], mesh.nodes[2]
    server.beats.cancel()
    # The server's last report. The network delivers it REPORT_DELAY_S later.
    report, report_sent = server.compose_beat(), loop.time()
    mesh.record(f"server {server.instance}: sends a report, state ready")
    await asyncio.sleep(0.2)
    if not await server.leave():
        raise small.CannotRun("the leave was not acknowledged")
    left = loop.time()
    mesh.record(f"server {server.instance}: DELETE acknowledged by {node.name}")
    if small.HAS_TROUBLE:
        node.send_signal(signal.SIGTERM)
        await asyncio.to_thread(node.process.wait)
        mesh.record(f"{node.name}: ended {loop.time() - left:.2f} s after the acknowledgement")
        await asyncio.sleep(RESTART_DELAY_S)
        node.start()
    await asyncio.sleep(max(0, report_sent + REPORT_DELAY_S - loop.time()))
    outcome = await request(node.control, "PUT", "node",
                            f"/guavatrail/instances/{server.instance}", "-", 1000, report)
    mesh.record(f"the delayed report arrives at {node.name}: {outcome}")
    # All machines are in touch again; nothing has been sent to the service since the leave.
    await asyncio.sleep(small.TOUCH_S + 0.5)
    in_touch = loop.time()

    async def claim(index):
        outcome = await request(entry.outbound, "DELETE", HOST, f"/claims/{index}", f"claim-{index}",
                                3000)
        mesh.record(f"claim-{index} at {entry.name}: {outcome}")

    pending = asyncio.gather(*[claim(index) for index in range(ORDERS)])
    await asyncio.sleep(max(WORK_S / 2, left + SERVES_ON_S - loop.time()))
    server.end()
    mesh.record(f"server {server.instance}: exits {loop.time() - left:.2f} s after the acknowledgement")
    await pending
    late = [run for run in server.runs if run.at > left + small.DRAIN_S and run.at >= in_touch]
    for run in late:
        mesh.record(f"server {server.instance} got {run.request_id} {run.at - left:.2f} s after the "
                    f"acknowledgement, answered={run.ended is not None}")
    mesh.record(f"requests later than drain-s: {len(late)}, allowed 0")
    return not late


small.run_script(__file__, scenario)
