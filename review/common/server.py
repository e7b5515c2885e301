"""Stand-in for a backend server, after PROTOCOL.md: slots and a queue, liveness reports to the
node beside it, refusals with X-Not-Run, 421 for another instance."""

import asyncio
import contextlib
import json
import time

from http1 import Broken, encode, read_body, read_head, request

SLOTS = 9
QUEUE = 36
BEAT_S = 1.5


class Run:
    """A request that the server began to work on."""

    def __init__(self, server, message, at):
        self.server = server
        self.request_id = message.get("X-Request-Id")
        self.method = message.method
        self.path = message.target
        self.caller = message.get("X-Caller-Service")
        self.deadline_ms = message.get("X-Deadline-Ms")
        self.at = at
        self.ended = None  # time at which the answer was made
        self.cancelled = False


class Server:
    """`work(run)` returns the seconds of work of a request and the size of its answer.
    `spoil(run, writer, headers)`, if set, may send a faulty answer itself and return True."""

    def __init__(self, record, service, instance, ip, zone, work):
        self.record = record
        self.service = service
        self.instance = self.first_instance = instance
        self.boot = 1
        self.ip = ip
        self.zone = zone
        self.work = work
        self.spoil = None
        self.extra_headers = []
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.runs = []
        self.arrivals = []  # (time, request id, is_run)
        self.control = None  # address for the liveness reports
        self.address = None
        self.listener = None
        self.beats = None
        self.slots = asyncio.Semaphore(SLOTS)
        self.waiting = 0
        self.tasks = set()
        self.writers = set()

    async def listen(self, port):
        self.listener = await asyncio.start_server(self._serve, self.ip, port, limit=1 << 20)
        self.address = self.listener.sockets[0].getsockname()[:2]

    def start_beats(self, control):
        self.control = control
        self.beats = asyncio.ensure_future(self._beat_forever())

    async def _beat_forever(self):
        while True:
            await self.beat()
            await asyncio.sleep(BEAT_S)

    def compose_beat(self):
        """The body of the next liveness report."""
        self.sequence += 1
        return json.dumps({
            "service": self.service, "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone, "version": "v1", "slots": SLOTS, "state": self.state,
            "cold-left-s": 0, "seq": self.sequence, "born": self.born}).encode()

    async def beat(self):
        """Sends one liveness report. Returns whether it was acknowledged."""
        return await self.call_control("PUT", self.instance, self.compose_beat())

    async def leave(self):
        """Says that the server leaves. Returns whether that was acknowledged."""
        self.state = "draining"
        self.extra_headers = [("Server-Leaving", "1")]
        self.beats.cancel()
        return await self.call_control("DELETE", self.instance,
                                       json.dumps({"born": self.born}).encode())

    async def call_control(self, method, instance, body):
        outcome = await request(self.control, method, "node", f"/guavatrail/instances/{instance}",
                                "-", 1000, body, [("Content-Type", "application/json")])
        return 200 <= outcome.status < 300 and outcome.is_complete

    async def restart(self):
        """Starts the server again at its address, as a new boot with a new id."""
        self.boot += 1
        self.instance = f"{self.first_instance}-{self.boot}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        await self.listen(self.address[1])
        self.start_beats(self.control)

    def end(self):
        """Ends the process of the server: connections are closed, work is cut off."""
        if self.beats is not None:
            self.beats.cancel()
        if self.listener is not None:
            self.listener.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            with contextlib.suppress(Exception):
                writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                message = await read_head(reader)
                if message is None:
                    break
                message.body = await read_body(reader, message, False)
                if not await self._run(message, reader, writer):
                    break
        except (Broken, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def _run(self, message, reader, writer):
        request_id = message.get("X-Request-Id")
        expected = message.get("X-Expect-Instance")
        now = asyncio.get_running_loop().time
        if message.target == "/healthz":
            status = 200 if self.state == "ready" else 503
            writer.write(encode(f"HTTP/1.1 {status} X", [("X-Instance-Id", self.instance),
                                                         ("Content-Length", "0")], b""))
            return True
        if request_id is None or (expected is not None and expected != self.instance):
            status = 400 if request_id is None else 421
            headers = [("X-Not-Run", "1"), ("X-Instance-Id", self.instance),
                       ("Content-Length", "0")]
            if request_id is not None:
                headers.append(("X-Request-Id", request_id))
            writer.write(encode(f"HTTP/1.1 {status} X", headers, b""))
            return True
        if self.waiting >= QUEUE:
            self.arrivals.append((now(), request_id, False))
            writer.write(encode("HTTP/1.1 503 X", [("X-Not-Run", "1"), ("Content-Length", "0"),
                                                   ("X-Request-Id", request_id)], b""))
            return True
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            run = Run(self, message, now())
            self.runs.append(run)
            self.arrivals.append((run.at, request_id, True))
            return await self._work(run, reader, writer)
        finally:
            self.slots.release()

    async def _work(self, run, reader, writer):
        seconds, size = self.work(run)
        # A server drops a request when its connection closes.
        closed = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait({closed}, timeout=seconds)
        if done:
            run.cancelled = True
            return False
        closed.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await closed
        run.ended = asyncio.get_running_loop().time()
        headers = [("X-Request-Id", run.request_id),
                   ("X-Response-Stamp", f"stamp.{self.instance}.{run.request_id}"),
                   ("Keep-Alive", "timeout=10")] + self.extra_headers
        if self.spoil is not None and await self.spoil(run, writer, headers):
            return False
        body = body_of(run.request_id, size)
        writer.write(encode("HTTP/1.1 200 OK", headers + [("Content-Length", str(size))], body))
        await writer.drain()
        return True


def body_of(request_id, size):
    """The whole answer to a request."""
    unit = f"{request_id}.".encode()
    return (unit * (size // len(unit) + 1))[:size]
