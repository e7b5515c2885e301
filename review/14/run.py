"""Two hosts whose rules have the same names: does the configuration come into force?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-3"))
from standins import BOUNDS, BROKEN, HELD, Caller, config, route, run_case

OLD_HOST, NEW_HOST = "loja.example", "oficina.example"
SERVICES = ["catalogo", "encomendas"]
REQUESTS = 24


async def case(mesh, record, trouble):
    first = config(7, {OLD_HOST: [route("/pecas/", "catalogo", name="rule-1")]}, SERVICES)
    if not await mesh.start(SERVICES, first):
        raise RuntimeError("the mesh did not start")
    callers = [Caller(record, node) for node in mesh.nodes]
    before = await callers[0].send("GET", OLD_HOST, "/pecas/1")
    if before.status != 200:
        raise RuntimeError("a request under the first version was not served")

    # The operator adds a second host. In the case its only rule has the name that the rule of the
    # first host has.
    name = "rule-1" if trouble else "rule-2"
    second = config(9, {OLD_HOST: [route("/pecas/", "catalogo", name="rule-1")],
                        NEW_HOST: [route("/pedidos/", "encomendas", name=name)]}, SERVICES)
    await mesh.store.put_by_operator("config", "main", second)
    acknowledged = record.now()
    record.add(f"version 9 acknowledged; {NEW_HOST} has a rule {name}")

    # Well past config-s. No process or link was touched, so both machines are in touch.
    await asyncio.sleep(BOUNDS["config-s"] + 3)
    answers = []
    for number in range(REQUESTS):
        caller = callers[number % len(callers)]
        answers.append(await caller.send("GET", NEW_HOST, f"/pedidos/{number}"))
        await asyncio.sleep(0.1)
    refused = [a for a in answers if a.status == 404]
    served = [a for a in answers if a.status == 200]
    late_s = min(a.sent for a in answers) - acknowledged
    record.add(f"sent={len(answers)} served={len(served)} refused_with_404={len(refused)} "
               f"first sent {late_s:.1f} s after the acknowledgement")
    for node in mesh.nodes:
        for line in node.log_lines("event=config_refused"):
            record.add(f"{node.name}: {line[line.index('event='):]}")
    return BROKEN if refused else HELD


run_case(Path(__file__).parent, case)
