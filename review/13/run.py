"""The operator removes the last tenant: what do servers get from consumers that still send a key?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-3"))
from standins import BROKEN, HELD, Caller, config, route, run_case

HOST = "consultas.example"
SERVICES = ["search-svc", "booking-svc"]
KEY, UNKNOWN_KEY = "nr26tta828m82thhkmgj", "key-that-nobody-ever-had"
OTHER_TENANT = "hospital-sofia"
CONFIG_S = 2.5  # Bound config-s of the deployment zdrave-zapis-grown.


def version(number, tenants):
    rules = [route("/livre/", "search-svc", name="r-search", public=False),
             route("/marca/", "booking-svc", name="r-book", kind="non_idempotent", public=False)]
    return config(number, {HOST: rules}, SERVICES, tenants=tenants)


async def case(mesh, record, trouble):
    tenant = {"name": "clinica", "api-keys": [KEY], "priority": 1, "rate-per-s": 636, "burst": 636}
    if not await mesh.start(SERVICES, version(7, [tenant])):
        raise RuntimeError("the mesh did not start")
    callers = [Caller(record, node) for node in mesh.nodes]
    before = await callers[0].send("GET", HOST, "/livre/0", headers={"X-Api-Key": KEY})
    refused = await callers[0].send("GET", HOST, "/livre/0", headers={"X-Api-Key": UNKNOWN_KEY})
    if before.status != 200 or refused.status != 401:
        raise RuntimeError("the first version is not in force")

    # In the case the list of tenants becomes empty; else the tenant stays and only loses its keys.
    left = [] if trouble else [{**tenant, "api-keys": []}]
    await mesh.store.put_by_operator("config", "main", version(9, left))
    record.add(f"version 9 acknowledged; tenants={left}")
    await asyncio.sleep(CONFIG_S + 3)

    first_run = {id(server): len(server.runs) for server in mesh.servers}
    for number, caller in enumerate(callers * 4):
        key = KEY if number % 2 == 0 else UNKNOWN_KEY
        headers = {"X-Api-Key": key, "X-Tenant": OTHER_TENANT}
        await caller.send("GET", HOST, f"/livre/{number}", headers=headers)
        await caller.send("POST", HOST, f"/marca/{number}", headers=headers, body=b"{}")

    unknown = passed_on = foreign = 0
    for server in mesh.servers:
        for when, method, target, headers in server.runs[first_run[id(server)]:]:
            key, name = headers.get("x-api-key"), headers.get("x-tenant")
            record.add(f"{when:.3f} ran {method} {target}: X-Api-Key={key} X-Tenant={name}")
            unknown += key == UNKNOWN_KEY
            passed_on += key is not None
            foreign += name is not None
    record.add(f"ran with a key that no configuration ever held: {unknown}; with the key passed on: "
               f"{passed_on}; with the tenant that the consumer named: {foreign}")
    return BROKEN if unknown or passed_on or foreign else HELD


run_case(Path(__file__).parent, case)
