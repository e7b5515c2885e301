"""Callers of the soak: each keeps a connection to one node open until the node closes it."""
import asyncio
import dataclasses
import time

from mesh import CALLER, HOST
from wire import read_message, send_request

DEADLINE_S = 2.0
CALL_TIMEOUT_S = DEADLINE_S + 1.0


@dataclasses.dataclass
class Call:
    id: str
    node: object
    boot: int
    method: str
    target: str
    body: bytes
    sent: float
    ended: float = 0.0
    end: str = "open"  # open, answer, closed or silent (timeout).
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    answer: bytes = b""


class Caller:
    def __init__(self, mesh, node, number, random, calls):
        self.mesh, self.node, self.name = mesh, node, f"{node.name}-{number}"
        self.random, self.calls, self.count = random, calls, 0
        self.connection = None

    async def run(self):
        while not self.mesh.is_over:
            await asyncio.sleep(self.random.uniform(0.02, 0.2))
            try:
                await self.call(*self.next_request())
            except (OSError, asyncio.TimeoutError):
                continue  # The node accepts no connection at the moment.

    def next_request(self):
        self.count += 1
        kind = self.random.choice(["parts", "parts", "orders", "version"])
        if kind == "orders":
            return "POST", f"/orders/{self.count}", f"order {self.name} {self.count}".encode()
        if kind == "version":
            return "GET", f"/v{self.mesh.versions[-1]}/{self.count}", b""
        return "GET", f"/parts/{self.count}?a=b", b""

    async def call(self, method, target, body):
        """Sends a request and records its outcome. Raises an error if it cannot connect."""
        if self.connection is None:
            self.connection = await asyncio.wait_for(
                asyncio.open_connection(self.node.ip, CALLER), 1)
        reader, writer = self.connection
        call = Call(f"{self.name}-{self.count}", self.node, self.node.boot, method, target, body,
                    time.monotonic())
        self.calls[call.id] = call
        headers = [("X-Request-Id", call.id), ("X-Deadline-Ms", str(int(DEADLINE_S * 1000)))]
        answer = None
        try:
            await send_request(writer, method, target, HOST, headers, body)
            answer = await asyncio.wait_for(read_message(reader), CALL_TIMEOUT_S)
            call.end = "closed" if answer is None else "answer"
        except asyncio.TimeoutError:
            call.end = "silent"
        except (OSError, asyncio.IncompleteReadError, ValueError):
            call.end = "closed"
        call.ended = time.monotonic()
        if answer is not None:
            call.status, call.headers, call.answer = int(answer.method), answer.headers, answer.body
        if answer is None or answer.headers.get("connection", "").lower() == "close":
            writer.close()
            self.connection = None
