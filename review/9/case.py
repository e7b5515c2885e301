"""A server falls silent while it sends its answers; their consumers are kept waiting without an end
long past the route's timeout-s."""

import asyncio
import os
import time

import mesh as m

TIMEOUT_S = 1.2
SLACK_S = 0.5
DARK_S = 4.5
DEADLINE_MS = 4000
PIECES = 10
PIECE = b"z" * 9000
PIECE_S = 0.03
DOWNLOADS = 36


class Downloads(m.Server):
    """Sends 90 kB in pieces. Once it is dark, it does nothing more, and its connections stay open."""

    dark_from = float("inf")

    async def run(self, request, writer):
        self.note_run(request)
        await asyncio.sleep(self.work_s)
        head = m.answer_bytes(200, self.own_headers(request), b"", "OK")
        length = f"Content-Length: {PIECES * len(PIECE)}".encode()
        writer.write(head.replace(b"Content-Length: 0", length))
        for _ in range(PIECES):
            await self.wait_while_dark()
            writer.write(PIECE)
            await writer.drain()
            await asyncio.sleep(PIECE_S)
        return True

    async def wait_while_dark(self):
        now = time.monotonic()
        if self.dark_from <= now < self.dark_from + DARK_S:
            await asyncio.sleep(self.dark_from + DARK_S - now)


async def case(mesh, trouble):
    front = mesh.add_machine("huvo11a", "fi-south-b")
    homes = [mesh.add_machine("lovo22d", "fi-south-a"), mesh.add_machine("lovo22d", "fi-south-b")]
    routes = [m.route("/cufi502/", "download", "lovo22d", timeout_s=TIMEOUT_S, attempts=2)]
    mesh.store.put("config", "main", m.config(7, routes, ["huvo11a", "lovo22d"]))
    servers = [Downloads(mesh, home, f"i-{n:08x}", slots=16) for n, home in enumerate(homes)]
    for server in servers + [m.Server(mesh, front, "i-02d9e6b4")]:
        server.work_s = 0.05
        await server.start()
        server.machine.start()
    await mesh.wait_ready()
    await asyncio.sleep(2)
    if trouble:
        # In the middle of the answers to the downloads that are sent now.
        servers[0].dark_from = time.monotonic() + 0.2
    answers = await asyncio.gather(*[
        mesh.request(front, "GET", "jepu9.example", f"/cufi502/{n}", deadline_ms=DEADLINE_MS)
        for n in range(DOWNLOADS)
    ])
    longer = [a for a in answers if a.end - a.start > TIMEOUT_S]
    open_still = [a for a in longer if a.end - a.start > TIMEOUT_S + SLACK_S]
    for answer in answers:
        mesh.record(f"{answer.rid} ended after {answer.end - answer.start:.2f} s: {answer}")
    mesh.record(f"{len(longer)} requests lasted longer than timeout-s, {len(open_still)} of them had "
                f"no final answer {SLACK_S} s after it")
    return not (len(open_still) >= 8 and len(open_still) > len(longer) / 4)


m.main(case, os.path.dirname(os.path.abspath(__file__)))
