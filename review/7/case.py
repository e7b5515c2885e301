"""All servers of a service crash at the same moment while each runs the request that is asked for
most; nodes then take this sound request for the cause and refuse it for five minutes."""

import asyncio
import os

import mesh as m

DOWN_S = 2
TOUCH_S = 3
CONFIG_S = 2


async def case(mesh, trouble):
    front = mesh.add_machine("huvo11a", "fi-south-a")
    homes = [mesh.add_machine("lovo22d", f"fi-south-{zone}") for zone in "abc"]
    first = m.route("/puje670/", "idempotent", "huvo11a", attempts=2)
    added = m.route("/leny950/", "idempotent", "lovo22d", attempts=2)
    mesh.store.put("config", "main", m.config(7, [first], ["huvo11a", "lovo22d"]))
    servers = [m.Server(mesh, home, f"i-{n:08x}") for n, home in enumerate([front] + homes)]
    for server in servers:
        server.work_s = 0.15
        await server.start()
        server.machine.start()
    await mesh.wait_ready()
    await asyncio.sleep(2)
    mesh.store.put("config", "main", m.config(9, [first, added], ["huvo11a", "lovo22d"]))
    mesh.record("configuration 9 adds the route /leny950/")
    await asyncio.sleep(CONFIG_S)

    async def send(count, per_s):
        """Requests of consumers beside each machine, to both routes; the shares that are served."""
        tasks = []
        for number in range(count):
            machine = homes[number % len(homes)]
            for path in ("/puje670/2f", "/leny950/2f"):
                request = mesh.request(machine, "GET", "jepu9.example", path)
                tasks.append(asyncio.create_task(request))
            await asyncio.sleep(1 / per_s)
        answers = await asyncio.gather(*tasks)
        shares = [sum(a.status == 200 for a in answers[part::2]) / count for part in (0, 1)]
        mesh.record(f"served: first route {shares[0]:.2f}, added route {shares[1]:.2f}")
        return shares

    await send(60, 40)
    if trouble:
        sending = asyncio.create_task(send(80, 40))
        await asyncio.sleep(1)
        for server in servers[1:]:
            await server.stop()
        mesh.record("all servers of lovo22d have crashed")
        await asyncio.sleep(DOWN_S)
        await sending
        for n, home in enumerate(homes):
            server = m.Server(mesh, home, f"i-{n + 8:08x}")
            server.work_s = 0.15
            await server.start()
        mesh.record("all servers of lovo22d are back")
        await asyncio.sleep(TOUCH_S + 2)
    mesh.record("steady state")
    on_first, on_added = await send(40, 10)
    return on_added >= on_first / 4


m.main(case, os.path.dirname(os.path.abspath(__file__)))
