"""Stand-in for the platform's store, after PROTOCOL.md: objects by kind and name, one revision
counter, conditional writes, lists, watches, deletion with finalizers."""

import asyncio
import contextlib
import json
from urllib.parse import parse_qs, unquote, urlsplit

from http1 import Broken, encode, read_body, read_head

PREFIX = "/guavatrail/objects/"


class Store:
    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.objects = {}  # (kind, name) -> object
        self.history = []  # (revision, kind, object, removed)
        self.changed = asyncio.Condition()
        self.address = None
        self.server = None
        self.is_down = False  # answers 503 and does nothing
        self.writers = set()

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self._serve, ip, port, limit=1 << 22)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def put(self, kind, name, spec):
        """Writes an object as the operator does."""
        old = self.objects.get((kind, name))
        created = old["metadata"]["create-revision"] if old else self.revision + 1
        await self._store(kind, name, created, spec, None, [])

    async def _store(self, kind, name, created, spec, status, finalizers, deleting=False):
        self.revision += 1
        stored = {"metadata": {"name": name, "rev": self.revision, "create-revision": created,
                               "finalizers": finalizers, "deleting": deleting},
                  "spec": spec, "status": status}
        self.objects[(kind, name)] = stored
        await self._publish(kind, stored, False)
        return stored

    async def _publish(self, kind, stored, removed):
        self.history.append((self.revision, kind, stored, removed))
        async with self.changed:
            self.changed.notify_all()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_head(reader)
                if message is None:
                    break
                message.body = await read_body(reader, message, False)
                status, body = await self._answer(message)
                raw = json.dumps(body).encode()
                writer.write(encode(f"HTTP/1.1 {status} X", [
                    ("Content-Type", "application/json"), ("Store-Era", "1"),
                    ("Content-Length", str(len(raw)))], raw))
                await writer.drain()
        except (Broken, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def _answer(self, message):
        if self.is_down:
            return 503, {}
        parts = urlsplit(message.target)
        query = {key: values[-1] for key, values in parse_qs(parts.query).items()}
        path = [unquote(part) for part in parts.path[len(PREFIX):].split("/") if part]
        if not parts.path.startswith(PREFIX) or not path:
            return 404, {}
        kind, name = path[0], path[1] if len(path) > 1 else None
        if message.method == "GET":
            return await self._get(kind, name, query)
        return await self._write(message, kind, name, path, query)

    async def _get(self, kind, name, query):
        if name is not None:
            stored = self.objects.get((kind, name))
            return (200, stored) if stored else (404, {})
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query.get("wait-ms", "0")))
        items = [self.objects[key] for key in sorted(self.objects)
                 if key[0] == kind and key[1] > query.get("after", "")]
        return 200, {"items": items[:500], "has-more": len(items) > 500,
                     "current-rev": self.revision}

    async def _watch(self, kind, known, wait_ms):
        def events():
            return [{"object": stored, "removed": removed}
                    for revision, of_kind, stored, removed in self.history
                    if of_kind == kind and revision > known]
        if not events():
            with contextlib.suppress(asyncio.TimeoutError):
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait_for(events), wait_ms / 1000)
        return 200, {"events": events(), "current-rev": self.revision}

    async def _write(self, message, kind, name, path, query):
        try:
            body = json.loads(message.body) if message.body else {}
        except ValueError:
            return 400, {}
        metadata = body.get("metadata", {})
        if message.method == "POST":
            name = metadata["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[(kind, name)]
            stored = await self._store(kind, name, self.revision + 1, body.get("spec"), None,
                                       metadata.get("finalizers", []))
            self.record(f"store: created {kind}/{name} rev={stored['metadata']['rev']}")
            return 200, stored
        old = self.objects.get((kind, name))
        if old is None:
            return 404, {}
        wanted = metadata.get("rev", query.get("rev"))
        if wanted is not None and int(wanted) != old["metadata"]["rev"]:
            return 409, old
        if message.method == "DELETE":
            del self.objects[(kind, name)]
            self.revision += 1
            await self._publish(kind, old, True)
            self.record(f"store: removed {kind}/{name}")
            return 200, old
        if len(path) > 2:
            spec, status = old["spec"], body.get("status")
        else:
            spec, status = body.get("spec"), old["status"]
        if spec == old["spec"] and status == old["status"]:
            return 200, old
        stored = await self._store(kind, name, old["metadata"]["create-revision"], spec, status,
                                   metadata.get("finalizers", old["metadata"]["finalizers"]))
        self.record(f"store: replaced {kind}/{name} rev={stored['metadata']['rev']}")
        return 200, stored
