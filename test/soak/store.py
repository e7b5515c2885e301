"""A stand-in for the users' metadata store that injects faults."""
import asyncio
import collections
import json
import urllib.parse

from wire import read_message, respond

HISTORY = 4096  # Number of changes that the store keeps for watches.
COPIES = 8  # Number of copies that the store keeps for a return.
COPY_INTERVAL_S = 1.0

# The state of the store at some time.
Copy = collections.namedtuple("Copy", "objects revision history first_kept")


class Store:
    """An in-memory object store. Each node reaches it through its own address, so that link faults
    can affect single nodes."""

    def __init__(self):
        self.objects = {}  # (kind, name) -> {"metadata": ..., "spec": ..., "status": {}}
        self.revision = 1
        self.history = []  # (revision, kind, event)
        self.first_kept = 1  # Watches from an earlier revision get 410.
        self.era = 1  # Rises when the store comes back from a copy.
        self.copies = collections.deque(maxlen=COPIES)
        self.changed = asyncio.Condition()
        # healthy, unavailable (503), rate_limited (429), no_answer, answer_lost or slow.
        self.mode = "healthy"

    async def listen(self, ip, port):
        return await asyncio.start_server(self.serve, ip, port)

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                if self.mode == "no_answer":
                    await asyncio.sleep(3600)
                if self.mode in ("unavailable", "rate_limited"):
                    await respond(writer, 503 if self.mode == "unavailable" else 429,
                                  [("Store-Era", str(self.era))])
                    continue
                if self.mode == "slow":
                    await asyncio.sleep(0.3)
                status, body = await self.handle(message)
                if self.mode == "answer_lost" and message.method != "GET":
                    await asyncio.sleep(3600)
                await respond(writer, status, [("Content-Type", "application/json"),
                                               ("Store-Era", str(self.era))],
                              json.dumps(body).encode())
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def handle(self, message):
        url = urllib.parse.urlsplit(message.target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix("/guavatrail/objects/").partition("/")
        if message.method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait-ms", 0)) / 1000)
        if message.method == "GET":
            items = [o for (k, n), o in sorted(self.objects.items())
                     if k == kind and n > query.get("after", "")]
            return 200, {"items": items, "has-more": False, "current-rev": self.revision}
        body = json.loads(message.body) if message.body else {}
        metadata = body.get("metadata", {})
        condition = int(metadata.get("rev", 0) or query.get("rev", 0))
        if message.method == "POST":
            name = metadata["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            return 201, await self.put(kind, name, body.get("spec"))
        known = self.objects.get((kind, name))
        if known is None:
            return 404, {}
        if condition and known["metadata"]["rev"] != condition:
            return 409, known
        if message.method == "PUT":
            return 200, await self.put(kind, name, body.get("spec"))
        await self.remove(kind, name)
        return 200, known

    async def watch(self, kind, since, wait_s):
        if since < self.first_kept or since > self.revision:
            return 410, {}
        era = self.era

        def events():
            return [e for revision, k, e in self.history if k == kind and revision > since]
        async with self.changed:
            try:
                await asyncio.wait_for(
                    self.changed.wait_for(lambda: events() or self.era != era), wait_s)
            except asyncio.TimeoutError:
                pass
        if self.era != era:
            raise ConnectionResetError("the store has come back from a copy")
        return 200, {"events": events(), "current-rev": self.revision}

    async def put(self, kind, name, spec):
        self.revision += 1
        stored = {"metadata": {"name": name, "rev": self.revision}, "spec": spec, "status": {}}
        self.objects[kind, name] = stored
        await self.add_event(kind, stored, False)
        return stored

    async def remove(self, kind, name):
        stored = self.objects.pop((kind, name), None)
        if stored is not None:
            self.revision += 1
            await self.add_event(kind, stored, True)

    async def add_event(self, kind, stored, removed):
        # Append before the first await: a watch that sees the new revision must also see its event.
        self.history.append((self.revision, kind, {"object": stored, "removed": removed}))
        del self.history[:-HISTORY]
        async with self.changed:
            self.changed.notify_all()

    async def keep_copies(self):
        while True:
            self.copies.append(Copy(dict(self.objects), self.revision, list(self.history),
                                    self.first_kept))
            await asyncio.sleep(COPY_INTERVAL_S)

    async def restore(self, copy):
        """Comes back from a copy: later writes are lost and their revisions are given out again."""
        self.objects, self.revision = dict(copy.objects), copy.revision
        self.history, self.first_kept = list(copy.history), copy.first_kept
        self.era += 1
        self.copies.clear()
        async with self.changed:
            self.changed.notify_all()

    def discard_history(self):
        self.history.clear()
        self.first_kept = self.revision
