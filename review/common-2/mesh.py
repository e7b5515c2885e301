"""A small deployment on loopback addresses: the platform's store, backend servers, consumers, and
the nodes as separate processes of the project's own program.

The stand-ins speak what the users' pages say, over HTTP/1.1 with JSON bodies. They use asyncio, the
real clock and free ports of one loopback network that is chosen at random for each run.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))

CALLER_PORT = 8304
READY_PORT = 8302
CONTROL_PORT = 8306
APP_PORT = 8301
PEER_PORT = 7620
STORE_PORT = 8309


class Record:
    """Writes what was sent, answered and run, with the time since the start, to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()

    def now(self):
        return time.monotonic() - self.start


# --- HTTP ------------------------------------------------------------------------------------


class HttpMessage:
    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None


async def read_head(reader):
    """The start line and headers; None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name, value.strip()))
    return HttpMessage(lines[0], headers, b"")


async def read_chunks(reader):
    body = b""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise asyncio.IncompleteReadError(body, None)
        size = int(line.split(b";")[0], 16)
        if size == 0:
            while (await reader.readline()).strip():
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_body(reader, message):
    if (message.get("Transfer-Encoding") or "").lower() == "chunked":
        message.body = await read_chunks(reader)
    elif message.get("Content-Length"):
        message.body = await reader.readexactly(int(message.get("Content-Length")))
    return message


def answer_bytes(status, headers=(), body=b"", reason="Status"):
    head = f"HTTP/1.1 {status} {reason}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers)
    head += f"Content-Length: {len(body)}\r\n\r\n"
    return head.encode("latin-1") + body


# --- The platform's store ----------------------------------------------------------------------


class Store:
    """The platform's metadata store. `fault` may be "" (none), "silent" or "reset"."""

    def __init__(self, mesh):
        self.mesh = mesh
        self.revision = 100
        self.objects = {}  # (kind, name) -> object
        self.events = []  # (revision, kind, removed, object)
        self.changed = asyncio.Event()
        self.fault = ""
        self.server = None
        self.calls = 0

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.mesh.store_ip, STORE_PORT, limit=1 << 22
        )

    def put(self, kind, name, spec):
        self.revision += 1
        key = (kind, name)
        known = self.objects.get(key)
        created = known["metadata"]["create-revision"] if known else self.revision
        self.objects[key] = {
            "metadata": {
                "name": name,
                "rev": self.revision,
                "create-revision": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": known["status"] if known else None,
        }
        self.notify(kind, False, self.objects[key])
        return self.objects[key]

    def notify(self, kind, removed, item):
        self.events.append((self.revision, kind, removed, json.loads(json.dumps(item))))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    return
                await read_body(reader, request)
                self.calls += 1
                if self.fault == "silent":
                    await asyncio.sleep(3600)
                if self.fault == "reset":
                    writer.transport.abort()
                    return
                status, body = await self.handle(request)
                if self.fault:
                    writer.transport.abort()
                    return
                headers = [("Content-Type", "application/json")]
                writer.write(answer_bytes(status, headers, json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, request):
        method, target, _ = request.first.split(" ")
        path, _, query = target.partition("?")
        args = dict(part.partition("=")[::2] for part in query.split("&") if part)
        parts = path.split("/")[3:]  # /guavatrail/objects/KIND[/NAME[/status]]
        kind = parts[0]
        name = parts[1] if len(parts) > 1 else None
        if method == "GET" and name is None:
            return await self.read(kind, args)
        if method == "GET":
            item = self.objects.get((kind, name))
            return (200, item) if item else (404, {})
        body = json.loads(request.body) if request.body else {}
        if method == "POST":
            name = body["metadata"]["name"]
            known = self.objects.get((kind, name))
            return (409, known) if known else (201, self.put(kind, name, body.get("spec")))
        item = self.objects.get((kind, name))
        if item is None:
            return 404, {}
        wanted = body.get("metadata", {}).get("rev") or args.get("rev")
        if wanted and int(wanted) != item["metadata"]["rev"]:
            return 409, item
        if method == "DELETE":
            self.revision += 1
            del self.objects[(kind, name)]
            self.notify(kind, True, item)
            return 200, item
        if len(parts) > 2:
            item["status"] = body.get("status")
            self.revision += 1
            item["metadata"]["rev"] = self.revision
            self.notify(kind, False, item)
            return 200, item
        if item["spec"] == body.get("spec"):
            return 200, item
        return 200, self.put(kind, name, body.get("spec"))

    async def read(self, kind, args):
        if "watch" not in args:
            after = args.get("after", "")
            items = [o for (k, n), o in sorted(self.objects.items()) if k == kind and n > after]
            return 200, {"items": items, "has-more": False, "current-rev": self.revision}
        since = int(args["watch"])
        end = time.monotonic() + int(args.get("wait-ms", "0")) / 1000
        while True:
            found = [e for e in self.events if e[0] > since and e[1] == kind]
            left = end - time.monotonic()
            if found or left <= 0:
                events = [{"removed": e[2], "object": e[3]} for e in found]
                return 200, {"events": events, "current-rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# --- Backend servers ---------------------------------------------------------------------------


class Server:
    """A backend server of a machine. Subclasses change how a request is answered."""

    def __init__(self, mesh, machine, server_id, slots=9):
        self.mesh = mesh
        self.machine = machine
        self.id = server_id
        self.slots = slots
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.server = None
        self.beats = None
        self.tasks = set()
        self.leaving = False
        self.work_s = 0.02
        self.runs = []  # (time, request id)
        self.stamp = 0

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.machine.ip, APP_PORT, limit=1 << 22, reuse_address=True
        )
        self.beats = asyncio.create_task(self.beat_forever())

    async def stop(self):
        """Ends as a process does: its port closes and its connections end."""
        self.beats.cancel()
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await self.server.wait_closed()

    def report(self):
        self.sequence += 1
        return {
            "service": self.machine.service,
            "address": f"{self.machine.ip}:{APP_PORT}",
            "zone": self.machine.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold-left-s": 0,
            "seq": self.sequence,
            "born": self.born,
        }

    async def beat(self):
        """One report; the status of its answer, or None."""
        report = self.report()
        status = await self.mesh.call_control(self.machine, "PUT", self.id, report)
        return status

    async def leave(self):
        body = {"born": self.born}
        return await self.mesh.call_control(self.machine, "DELETE", self.id, body)

    async def beat_forever(self):
        due = time.monotonic()
        while True:
            await self.beat()
            due += self.mesh.beat_s
            await asyncio.sleep(max(0, due - time.monotonic()))

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    return
                if not await self.on_request(request, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self.tasks.discard(task)
            writer.close()

    async def on_request(self, request, reader, writer):
        """Answers one request; returns whether the connection stays open."""
        await read_body(reader, request)
        if request.first.startswith("GET /healthz "):
            status = 503 if self.leaving else 200
            writer.write(answer_bytes(status, [("X-Instance-Id", self.id)]))
            await writer.drain()
            return True
        expected = request.get("X-Expect-Instance")
        if expected is not None and expected != self.id:
            writer.write(answer_bytes(421, [("X-Instance-Id", self.id)]))
            await writer.drain()
            return True
        return await self.run(request, writer)

    def own_headers(self, request):
        self.stamp += 1
        headers = [
            ("X-Request-Id", request.get("X-Request-Id")),
            ("X-Response-Stamp", f"{self.id}.{self.stamp}"),
        ]
        if self.leaving:
            headers.append(("Server-Leaving", "1"))
        return headers

    async def run(self, request, writer):
        self.note_run(request)
        await asyncio.sleep(self.work_s)
        body = f"{self.id} ran {request.get('X-Request-Id')}\n".encode()
        writer.write(answer_bytes(200, self.own_headers(request), body, "OK"))
        await writer.drain()
        return True

    def note_run(self, request):
        self.runs.append((self.mesh.record.now(), request.get("X-Request-Id")))
        self.mesh.record(f"run server={self.id} id={request.get('X-Request-Id')}")


# --- Machines ----------------------------------------------------------------------------------


class Machine:
    def __init__(self, mesh, name, service, zone, ip):
        self.mesh = mesh
        self.name = name
        self.service = service
        self.zone = zone
        self.ip = ip
        self.process = None
        self.log = None

    def fields(self):
        """The fields of the platform's settings file that the template may use."""
        return {
            "self": {
                "node-name": self.name,
                "service": self.service,
                "region": "fi-south",
                "zone": self.zone,
                "ip": self.ip,
                "app-addr": f"{self.ip}:{APP_PORT}",
                "limits": {"max-fds": 4100, "link-mbps": 1000.0, "memory-mb": self.mesh.memory_mb},
            },
            "network": {
                "listen": {
                    "outbound": f"{self.ip}:{CALLER_PORT}",
                    "ready": f"{self.ip}:{READY_PORT}",
                    "control": f"{self.ip}:{CONTROL_PORT}",
                },
                "port-range": [PEER_PORT, PEER_PORT + 15],
            },
            "platform": {"platform": {"address": f"{self.mesh.store_ip}:{STORE_PORT}"}},
            "terms": {"bounds": dict(self.mesh.bounds)},
        }

    def start(self):
        path = os.path.join(self.mesh.folder, f"{self.name}.toml")
        with open(os.path.join(ROOT, "deploy", "node.toml"), encoding="utf-8") as file:
            text = render(file.read(), self.fields())
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        command = run_command()
        command[-1] = path  # The platform's own place of the settings file.
        self.log = open(os.path.join(self.mesh.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(
            command, cwd=ROOT, stdout=self.log, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL
        )
        self.mesh.record(f"start node={self.name} service={self.service}")

    def signal(self, number):
        self.mesh.record(f"signal node={self.name} {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def wait_end(self, limit_s=15):
        end = time.monotonic() + limit_s
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        self.mesh.record(f"ended node={self.name} code={self.process.poll()}")

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.wait_end()


def run_command():
    """The line `run` of the deploy file, split at spaces."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        line = re.search(r'^run = "(.*)"$', file.read(), re.M).group(1)
    return line.split()


def render(text, fields):
    """Fills in a template as the platform does; names are found in any of the four tables."""

    def look_up(name):
        for table in fields.values():
            value = table
            for part in name.split("."):
                if isinstance(value, list) and part.isdigit():
                    value = value[int(part)]
                else:
                    value = value.get(part) if isinstance(value, dict) else None
                if value is None:
                    break
            if value is not None:
                return value
        return None

    def section(match):
        value = look_up(match.group(1))
        return match.group(2) if value else ""

    text = re.sub(r"\{\{#([^}]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, text, flags=re.S)
    return re.sub(r"\{\{([^}#/^]+)\}\}", lambda m: str(look_up(m.group(1)) or ""), text)


# --- The deployment ------------------------------------------------------------------------------


class Mesh:
    def __init__(self, case_folder):
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="guavatrail-review-")
        self.machines = {}
        self.beat_s = 0.87
        self.memory_mb = 260
        self.bounds = {
            "config-s": 2, "retry-ratio": 0.2, "budget-extra": 60, "grace-s": 6, "drain-s": 2,
        }
        self.net = free_network()
        self.store_ip = f"{self.net}.250"
        self.store = Store(self)
        self.next_id = 0

    def add_machine(self, service, zone="fi-south-a"):
        number = len(self.machines) + 1
        name = f"sidecar-{zone}-{number}"
        machine = Machine(self, name, service, zone, f"{self.net}.{number}")
        self.machines[name] = machine
        return machine

    async def call_control(self, machine, method, server_id, body):
        """A server's call to the node beside it; its status, or None without an answer in 1 s."""
        text = json.dumps(body).encode()
        data = (
            f"{method} /guavatrail/instances/{server_id} HTTP/1.1\r\nHost: {machine.ip}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(text)}\r\n"
            "Connection: close\r\n\r\n"
        ).encode() + text
        try:
            status = await asyncio.wait_for(self.exchange(machine.ip, CONTROL_PORT, data), 1.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status = None
        self.record(f"report {method} server={server_id} {text.decode()} status={status}")
        return status

    async def exchange(self, ip, port, data):
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(data)
            await writer.drain()
            answer = await read_head(reader)
            if answer is None:
                return None
            return int(answer.first.split(" ")[1])
        finally:
            writer.close()

    async def is_ready(self, machine):
        data = b"GET /guavatrail/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        try:
            return await asyncio.wait_for(self.exchange(machine.ip, READY_PORT, data), 1.0) == 200
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        for machine in self.machines.values():
            while not await self.is_ready(machine):
                if time.monotonic() > end:
                    raise CannotRun(f"{machine.name} is not ready")
                await asyncio.sleep(0.05)
        self.record("all nodes are ready")

    def new_id(self):
        self.next_id += 1
        return f"r{self.next_id:06d}"

    async def request(self, machine, method, host, path, body=b"", deadline_ms=1500, rid=None,
                      log=True):
        """A consumer's request on a new connection: (status, headers message, body) or a text that
        says how the connection ended."""
        rid = rid or self.new_id()
        data = (
            f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {rid}\r\n"
            f"X-Deadline-Ms: {deadline_ms}\r\n"
        )
        if body or method in ("POST", "PUT"):
            data += f"Content-Length: {len(body)}\r\n"
        data = (data + "\r\n").encode() + body
        if log:
            self.record(f"send node={machine.name} id={rid} {method} {host}{path}")
        result = Result(rid, self.record.now())
        try:
            await asyncio.wait_for(self.consume(machine, data, result), deadline_ms / 1000 + 0.1)
        except asyncio.TimeoutError:
            result.error = "no answer"
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            result.error = f"{type(error).__name__} {error}"
        result.end = self.record.now()
        if log:
            self.record(f"answer id={rid} {result}")
        return result

    async def consume(self, machine, data, result):
        reader, writer = await asyncio.open_connection(machine.ip, CALLER_PORT, limit=1 << 22)
        try:
            writer.write(data)
            await writer.drain()
            answer = await read_head(reader)
            if answer is None:
                result.error = "closed"
                return
            result.message = answer
            result.status = int(answer.first.split(" ")[1])
            await read_body(reader, answer)
            result.body = answer.body
        finally:
            writer.close()

    async def close(self):
        for machine in self.machines.values():
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Result:
    def __init__(self, rid, start):
        self.rid = rid
        self.start = start
        self.end = start
        self.status = 0
        self.message = None
        self.body = b""
        self.error = ""

    def __str__(self):
        if self.error:
            return f"error={self.error!r}"
        stamp = self.message.get("X-Response-Stamp")
        retry = self.message.get("Retry-After")
        return f"status={self.status} stamp={stamp} retry_after={retry} bytes={len(self.body)}"


class CannotRun(Exception):
    pass


def free_network():
    """A loopback network 127.X.Y on which the ports of a deployment are free."""
    for _ in range(50):
        net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        try:
            for port in (CALLER_PORT, READY_PORT, CONTROL_PORT, APP_PORT, PEER_PORT, STORE_PORT):
                with socket.socket() as probe:
                    probe.bind((f"{net}.1", port))
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback network")


def route(prefix, kind, service, timeout_s=1.5, attempts=2, goal_s=0.6, priority=2, **action):
    rule = {
        "name": "r-" + prefix.strip("/"),
        "route-kind": kind,
        "goal-s": goal_s,
        "priority": priority,
        "match": {"path-prefix": prefix},
        "action": {"timeout-s": timeout_s, "attempts": attempts, **action},
    }
    if service:
        rule["action"]["service"] = service
    return rule


def config(version, routes, services, host="jepu9.example", idle_s=15):
    return {
        "version": version,
        "limits": {
            "max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-s": 3,
            "idle-timeout-s": idle_s,
        },
        "listeners": [{"authority": host, "ruleset": routes}],
        "clusters": [
            {"name": name, "health-path": "/healthz", "max-conns": 120, "protocol": "h1",
             "tls": False}
            for name in services
        ],
    }


def main(case, folder):
    """Runs `case(mesh, trouble)`, which returns whether the rule held, and ends the script."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        mesh = Mesh(folder)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            await mesh.store.start()
            held = await asyncio.wait_for(case(mesh, trouble), 115)
            mesh.record("the rule " + ("held" if held else "was broken"))
            return 0 if held else 1
        except CannotRun as error:
            mesh.record(f"cannot run: {error}")
            return 2
        except asyncio.TimeoutError:
            mesh.record("cannot run: took too long")
            return 2
        except Exception as error:  # A fault of the script must not count as a broken rule.
            mesh.record(f"cannot run: {type(error).__name__} {error}")
            return 2
        finally:
            await mesh.close()

    try:
        code = asyncio.run(play())
    except (CannotRun, OSError, asyncio.CancelledError):
        code = 2
    sys.stdout.flush()
    os._exit(code)
