"""Stand-ins for the cases of review/REPORT-3.md, and the code that starts nodes.

Store is the platform's metadata store, Server a backend server, Caller a consumer, and Node a node of
the project, which is started with the command of deploy/system.toml and with settings rendered from
deploy/node.toml. All stand-ins run in one asyncio loop of the script, on loopback addresses.
"""

import asyncio
import itertools
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
# Bounds of the deployment gaveta-viva, as its sheet and its settings give them.
BOUNDS = {"touch-s": 3, "ack-s": 4, "drain-s": 2, "grace-s": 6, "config-s": 2, "back-s": 0.25,
          "retry-ratio": 0.2, "budget-extra": 64}
BEAT_INTERVAL_S = 1.5
ACK_TIMEOUT_S = 1.0


class Record:
    """The lines of record.txt."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def add(self, text):
        line = f"{self.now():8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line)


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


async def read_message(reader):
    """Reads an HTTP/1.1 message with a length or in chunks. Returns (first line, headers, body)."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).strip(), 16)
            if size == 0:
                await reader.readline()
                break
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    else:
        length = int(headers.get("content-length", "0"))
        if length:
            body = await reader.readexactly(length)
    return lines[0], headers, body


def format_answer(status, headers, body=b""):
    phrases = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone",
               421: "Misdirected Request", 503: "Service Unavailable"}
    head = [f"HTTP/1.1 {status} {phrases.get(status, 'Status')}"]
    head += [f"{name}: {value}" for name, value in headers.items()]
    head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


class HttpServer:
    """Serves one request at a time on each connection with self.answer()."""

    def __init__(self):
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def listen(self, ip, port):
        self.ip, self.port = ip, port
        self._server = await asyncio.start_server(self._serve, ip, port)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                answer = await self.answer(method, target, headers, body)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()

    async def answer(self, method, target, headers, body):
        raise NotImplementedError

    async def close(self):
        if self._server is None:
            return
        self._server.close()
        self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()


class Store(HttpServer):
    """The metadata store: linearizable, with one revision counter and a history for watches."""

    def __init__(self, record):
        super().__init__()
        self._record = record
        self._revision = 100
        self._objects = {}  # (kind, name) -> object
        self._events = []  # (revision, kind, event)
        self._changed = asyncio.Event()

    async def put_by_operator(self, kind, name, spec):
        """A write of the operator. The return is the acknowledgement."""
        known = self._objects.get((kind, name))
        self._write(kind, name, spec, known)
        self._notify()

    def entries_of(self, names):
        """The kind of which there is an object for each of `names`, and their specs."""
        for kind in {kind for kind, _ in self._objects}:
            if all((kind, name) in self._objects for name in names):
                return kind, {name: self._objects[(kind, name)]["spec"] for name in names}
        raise RuntimeError("the nodes have stored no entries")

    def _write(self, kind, name, spec, known, status=None):
        self._revision += 1
        created = known["metadata"]["create-revision"] if known else self._revision
        stored = {"metadata": {"name": name, "rev": self._revision, "create-revision": created,
                               "finalizers": [], "deleting": False},
                  "spec": spec, "status": status if status is not None
                  else known["status"] if known else None}
        self._objects[(kind, name)] = stored
        self._events.append((self._revision, kind, {"object": stored, "removed": False}))
        return stored

    def _notify(self):
        """Wakes the watches, each of which then waits for the next change."""
        self._changed.set()
        self._changed = asyncio.Event()

    def _list(self, kind, after):
        items = [self._objects[key] for key in sorted(self._objects)
                 if key[0] == kind and key[1] > after]
        return {"items": items, "has-more": False, "current-rev": self._revision}

    async def _watch(self, kind, revision, wait_s):
        def found():
            return [event for number, of, event in self._events if of == kind and number > revision]

        end = time.monotonic() + wait_s
        while not found() and time.monotonic() < end:
            try:
                await asyncio.wait_for(self._changed.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                break
        return {"events": found(), "current-rev": self._revision}

    async def answer(self, method, target, headers, body):
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        parts = [urllib.parse.unquote(part) for part in path.split("/")][3:]
        if not path.startswith("/guavatrail/objects/") or not parts:
            return format_answer(404, {})
        kind, name, is_status = parts[0], parts[1] if len(parts) > 1 else "", len(parts) > 2
        status, value = await self._handle(method, kind, name, is_status, fields, body)
        text = json.dumps(value).encode()
        return format_answer(status, {"Content-Type": "application/json"}, text)

    async def _handle(self, method, kind, name, is_status, fields, body):
        if method == "GET" and not name:
            if "watch" in fields:
                wait_s = int(fields.get("wait-ms", "0")) / 1000
                return 200, await self._watch(kind, int(fields["watch"]), wait_s)
            return 200, self._list(kind, fields.get("after", ""))
        sent = json.loads(body) if body else {}
        metadata = sent.get("metadata", {})
        name = name or metadata.get("name", "")
        known = self._objects.get((kind, name))
        if method == "GET":
            return (200, known) if known else (404, {})
        if method == "POST":
            if known:
                return 409, known
            stored = self._write(kind, name, sent.get("spec"), None)
            self._notify()
            return 201, stored
        if known is None:
            return 404, {}
        expected = metadata.get("rev", fields.get("rev"))
        if expected is not None and int(expected) != known["metadata"]["rev"]:
            return 409, known
        if method == "DELETE":
            self._revision += 1
            del self._objects[(kind, name)]
            self._events.append((self._revision, kind, {"object": known, "removed": True}))
            self._notify()
            return 200, known
        if is_status:
            stored = self._write(kind, name, known["spec"], known, sent.get("status"))
        else:
            stored = self._write(kind, name, sent.get("spec"), known)
        self._notify()
        return 200, stored


class Server(HttpServer):
    """A backend server with its reports to the node beside it."""

    def __init__(self, record, service, ip, port, control, server_id, *, slots=9, work_s=0.05):
        super().__init__()
        self._record = record
        self.service = service
        self.ip, self.port = ip, port
        self._control = control
        self.id = server_id
        self.slots = slots
        self.work_s = work_s
        self.born = 0
        self.state = "ready"
        self.clock_offset_s = 0.0  # What the time of day of its machine is ahead by.
        self._sequence = 0
        self._beats = None
        self._restart = None
        self.runs = []  # (time, method, target, headers) of each request that it began to work on
        self.deadly_path = None  # A request for it crashes the server when it begins to run it.
        self.crashes = []  # Times of those crashes.
        self.back_after_s = 2.5
        self.acknowledged = {}  # state -> time of the first acknowledged report of it

    async def start(self):
        """A start of the process: a new boot, under the id that it had."""
        self.born = int((time.time() + self.clock_offset_s) * 1000)
        self.state = "ready"
        self._sequence = 0
        self.acknowledged = {}
        await self.listen(self.ip, self.port)
        self._beats = asyncio.create_task(self._report_forever())
        self._record.add(f"server {self.id} of {self.service} starts, born={self.born}")

    async def crash(self):
        """Ends the process: all connections break off and nothing more is reported."""
        self._record.add(f"server {self.id} born={self.born} crashes")
        await self.stop()

    async def _crash_and_return(self):
        """Crashes, and starts again some seconds later as a new boot with a new id."""
        await self.crash()
        await asyncio.sleep(self.back_after_s)
        self.id = f"i-{random.getrandbits(32):08x}"
        await self.start()

    async def stop(self):
        if self._restart is not None and self._restart is not asyncio.current_task():
            self._restart.cancel()
        if self._beats is not None:
            self._beats.cancel()
            self._beats = None
        await self.close()

    async def drain(self):
        """Reports `draining` at once. Returns whether that was acknowledged."""
        self.state = "draining"
        return await self.report()

    async def _report_forever(self):
        while True:
            await self.report()
            await asyncio.sleep(BEAT_INTERVAL_S)

    async def report(self):
        self._sequence += 1
        state = self.state
        body = json.dumps({"service": self.service, "address": f"{self.ip}:{self.port}",
                           "zone": "pt-norte-a", "version": "v1", "slots": self.slots,
                           "state": state, "cold-left-s": 0, "seq": self._sequence,
                           "born": self.born}).encode()
        status = None
        try:
            answer = await asyncio.wait_for(
                exchange(self._control, "PUT", f"/guavatrail/instances/{self.id}",
                         {"Host": "control", "Content-Type": "application/json"}, body),
                ACK_TIMEOUT_S)
            status = answer.status
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        is_acknowledged = status is not None and 200 <= status < 300
        if is_acknowledged and state not in self.acknowledged:
            self.acknowledged[state] = self._record.now()
            self._record.add(f"server {self.id} born={self.born}: report state={state} "
                             f"seq={self._sequence} acknowledged")
        return is_acknowledged

    async def answer(self, method, target, headers, body):
        own = {"X-Instance-Id": self.id}
        if self.state != "ready":
            own["Server-Leaving"] = "1"
        if target == "/healthz":
            return format_answer(200 if self.state == "ready" else 503, own)
        request_id = headers.get("x-request-id", "")
        own["X-Request-Id"] = request_id
        if headers.get("x-expect-instance", self.id) != self.id:
            return format_answer(421, own)
        now = self._record.now()
        self.runs.append((now, method, target, headers))
        self._record.add(f"server {self.id} of {self.service} runs {method} {target} "
                         f"id={request_id}")
        if target.partition("?")[0] == self.deadly_path:
            self.crashes.append(now)
            self._restart = asyncio.create_task(self._crash_and_return())
            await asyncio.sleep(1)  # Its connections break off at once.
            return None
        await asyncio.sleep(self.work_s)
        own["X-Response-Stamp"] = f"stamp-{request_id}"
        return format_answer(200, own, f"{self.service} {target}".encode())


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


async def exchange(address, method, target, headers, body=b""):
    """Sends a request on a new connection and reads its answer."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        lines = [f"{method} {target} HTTP/1.1"] + [f"{k}: {v}" for k, v in headers.items()]
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        await writer.drain()
        first, answer_headers, answer_body = await read_message(reader)
        return Answer(int(first.split(" ")[1]), answer_headers, answer_body)
    finally:
        writer.close()


class Caller:
    """A consumer on the machine of a node."""

    def __init__(self, record, node):
        self._record = record
        self._node = node
        self._ids = itertools.count(1)
        self._prefix = f"{random.getrandbits(40):010x}"

    async def send(self, method, host, target, deadline_ms=2500, headers=None, body=b""):
        request_id = f"{self._prefix}{next(self._ids):06x}"
        own = {"Host": host, "X-Request-Id": request_id, "X-Deadline-Ms": str(deadline_ms)}
        own.update(headers or {})
        sent = self._record.now()
        try:
            answer = await asyncio.wait_for(
                exchange(self._node.outbound, method, target, own, body), deadline_ms / 1000 + 0.5)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            answer = Answer(0, {}, type(error).__name__.encode())
        self._record.add(f"caller sent at {sent:.3f} {method} Host={host} {target} "
                         f"id={request_id}: status={answer.status}")
        answer.request_id, answer.sent = request_id, sent
        return answer


def render(template, fields):
    """Fills in the placeholders and sections of a settings template that the project uses."""
    def lookup(path):
        value = fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    def section(match):
        return match.group(2) if lookup(match.group(1)) else ""

    template = re.sub(r"\{\{#([\w.-]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.-]+)\}\}",
                  lambda m: "" if lookup(m.group(1)) is None else str(lookup(m.group(1))), template)


class Node:
    """A process of the project, run as deploy/system.toml says."""

    def __init__(self, record, folder, name, service, ip, store):
        self._record = record
        self.name, self.service, self.ip = name, service, ip
        self._store = store
        ports = set()
        while len(ports) < 6:
            ports.add(free_port(ip))
        self._caller, self._ready, self._control, self._inbound, self.server_port, peer = ports
        self._peer = peer
        self._folder = Path(folder)
        self._process = None

    @property
    def outbound(self):
        return self.ip, self._caller

    @property
    def control(self):
        return self.ip, self._control

    async def start(self):
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            role = tomllib.load(file)["roles"]["node"]
        fields = {
            "node-name": self.name, "service": self.service, "region": "pt-norte",
            "zone": "pt-norte-a", "ip": self.ip, "app-addr": f"{self.ip}:{self.server_port}",
            "limits": {"max-fds": 4100, "link-mbps": 1000.0, "memory-mb": 260},
            "listen": {"outbound": f"{self.ip}:{self._caller}", "ready": f"{self.ip}:{self._ready}",
                       "control": f"{self.ip}:{self._control}",
                       "inbound": f"{self.ip}:{self._inbound}"},
            "port-range": [self._peer, self._peer + 15],
            "platform": {"address": f"{self._store.ip}:{self._store.port}"}, "bounds": BOUNDS}
        settings = self._folder / f"{self.name}.toml"
        template = (ROOT / role["template"]).read_text(encoding="utf-8")
        settings.write_text(render(template, fields), encoding="utf-8")
        words = role["run"].split()
        words = [str(settings) if word.endswith("/local.json") else word for word in words]
        words[0] = str(ROOT / words[0])
        log = open(self._folder / f"{self.name}.log", "ab")
        self._process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log,
            stderr=asyncio.subprocess.STDOUT, env={"PATH": os.environ.get("PATH", "")})
        self._record.add(f"node {self.name} of {self.service} starts, pid {self._process.pid}")

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(
                exchange((self.ip, self._ready), "GET", "/guavatrail/readyz", {"Host": "ready"}), 1)
            return answer.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_until_ready(self, timeout_s):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def is_running(self):
        return self._process is not None and self._process.returncode is None

    def log_lines(self, word):
        text = (self._folder / f"{self.name}.log").read_text(encoding="utf-8", errors="replace")
        return [line for line in text.splitlines() if word in line]

    async def kill(self):
        if self.is_running():
            self._process.send_signal(signal.SIGKILL)
            await self._process.wait()
            self._record.add(f"node {self.name} killed")

    async def end(self):
        if self.is_running():
            self._process.kill()
            await self._process.wait()


def route(prefix, service, *, name, kind="idempotent", timeout_s=2.0, **more):
    action = {"timeout-s": timeout_s, "attempts": 2}
    action.update({"service": service} if isinstance(service, str) else {"split": service})
    return {"name": name, "route-kind": kind, "goal-s": 0.4, "priority": 1,
            "match": {"path-prefix": prefix}, "action": action, **more}


def config(version, listeners, services, **more):
    """A configuration as `fleetbench wire` shows it; `listeners` maps hosts to rules."""
    return {"version": version,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864,
                       "header-timeout-s": 3, "idle-timeout-s": 15},
            "listeners": [{"authority": host, "ruleset": rules}
                          for host, rules in listeners.items()],
            "clusters": [{"name": name, "health-path": "/healthz", "max-conns": 130,
                          "protocol": "h1", "tls": False} for name in services],
            **more}


class Mesh:
    """A store and nodes with their servers, each on a loopback address of its own."""

    def __init__(self, record, folder):
        self.record = record
        self._folder = folder
        self.store = Store(record)
        self.nodes = []
        self.servers = []
        # A net of its own, so that scripts that run at the same time do not meet.
        self._net = f"127.{random.randint(1, 254)}.{random.randint(0, 254)}"

    async def start(self, services, first_config):
        await self.store.listen(f"{self._net}.1", free_port(f"{self._net}.1"))
        await self.store.put_by_operator("config", "main", first_config)
        for number, service in enumerate(services):
            await self.add_node(f"sidecar-{number + 1}", service, f"{self._net}.{number + 2}")
        for node in self.nodes:
            if not await node.wait_until_ready(15):
                self.record.add(f"node {node.name} is not ready")
                return False
        # All servers have passed their checks and are known to all nodes by then.
        await asyncio.sleep(4)
        return True

    async def add_node(self, name, service, ip):
        node = Node(self.record, self._folder, name, service, ip, self.store)
        await node.start()
        self.nodes.append(node)
        server = Server(self.record, service, ip, node.server_port, node.control,
                        f"i-{random.getrandbits(32):08x}")
        await server.start()
        self.servers.append(server)

    async def end(self):
        for server in self.servers:
            await server.stop()
        for node in self.nodes:
            await node.end()
        await self.store.close()


def run_case(folder, case):
    """Runs `await case(mesh, record, trouble)`, which returns HELD or BROKEN, and exits."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.add(f"trouble={int(trouble)} machine={os.uname().machine}")
    if not (ROOT / "target" / "guavatraild").exists():
        record.add("target/guavatraild is missing: run the build of deploy/system.toml first")
        sys.exit(CANNOT_RUN)

    async def run():
        # The nodes end with the script, also if it is ended from outside.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM,
                                                      asyncio.current_task().cancel)
        with tempfile.TemporaryDirectory() as scratch:
            mesh = Mesh(record, scratch)
            try:
                return await asyncio.wait_for(case(mesh, record, trouble), 100)
            finally:
                await mesh.end()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for log in Path(scratch).glob("*.log"):
                        (Path(keep) / log.name).write_bytes(log.read_bytes())

    try:
        result = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # Says nothing about the rule.
        record.add(f"cannot run: {type(error).__name__}: {error}")
        result = CANNOT_RUN
    record.add({HELD: "held", BROKEN: "broken", CANNOT_RUN: "cannot run"}[result])
    sys.exit(result)
