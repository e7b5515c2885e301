"""The parts of a soak: nodes as real processes, stand-ins for the store and servers, and links."""
import asyncio
import contextlib
import json
import pathlib
import random
import signal
import sys
import time

from backend import Backend
from store import Store
from wire import read_message, send_request

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "test" / "scenarios"))
from forwarder import Forwarder  # noqa: E402

CALLER, PEER, CONTROL, READY, ADMIN, SERVER, STORE = 7301, 7302, 7303, 7304, 7305, 7306, 7307
GRACE_S = 6.0  # Time from SIGTERM to SIGKILL in a planned stop.
SERVICES = ["catalogo", "catalogo", "catalogo", "encomendas", "encomendas", "catalogo"]
CENTRES = ["norte-a", "norte-b", "norte-c"]
HOST = "shop.example"
KEPT_VERSIONS = 3  # Number of latest versions whose route a configuration contains.


def config_of(versions):
    """Returns the configuration at the last of `versions`. Each version adds its own route."""
    def rule(name, prefix, kind, service, priority):
        return {"name": name, "route-kind": kind, "goal-s": 0.3, "priority": priority,
                "match": {"path-prefix": prefix},
                "action": {"service": service, "timeout-s": 1.5, "attempts": 2}}
    rules = [rule("parts", "/parts/", "idempotent", "catalogo", 1),
             rule("orders", "/orders/", "non_idempotent", "encomendas", 0)]
    rules += [rule(f"v{v}", f"/v{v}/", "idempotent", "catalogo", 2)
              for v in versions[-KEPT_VERSIONS:]]
    return {"version": versions[-1], "listeners": [{"authority": HOST, "ruleset": rules}],
            "clusters": [{"name": "catalogo"}, {"name": "encomendas"}]}


class Node:
    def __init__(self, number, service, centre, net):
        self.name, self.service, self.centre = f"node-{number}", service, centre
        self.ip, self.advertised = f"127.{net}.1.{number}", f"127.{net}.2.{number}"
        self.store_name, self.store_ip = f"store-{number}", f"127.{net}.3.{number}"
        self.server_ip = f"127.{net}.4.{number}"
        self.process = self.backend = None
        self.boot = 0  # Number of starts of the process.
        self.end_requested_at = None  # Time of the signal that ends the process.

    async def query_admin(self, path):
        """Returns the JSON document at `path` of the node's admin port."""
        reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, ADMIN), 1)
        try:
            await send_request(writer, "GET", path, self.name)
            answer = await asyncio.wait_for(read_message(reader), 1)
        finally:
            writer.close()
        return json.loads(answer.body)


class Mesh:
    def __init__(self, build, directory, net, seed):
        self.build, self.dir, self.net = pathlib.Path(build), pathlib.Path(directory), net
        self.random = random.Random(seed)
        self.store, self.runs = Store(), {}
        self.nodes = [Node(i + 1, service, CENTRES[i % len(CENTRES)], net)
                      for i, service in enumerate(SERVICES)]
        self.versions, self.acknowledged = [], {}
        self.unexpected_ends = []
        self.is_over = False
        self.tasks, self.listeners = [], []

    async def start(self):
        self.dir.mkdir(parents=True, exist_ok=True)
        store_ip = f"127.{self.net}.0.1"
        self.listeners.append(await self.store.listen(store_ip, STORE))
        links = {n.name: [n.ip, n.advertised] for n in self.nodes}
        links |= {n.store_name: [store_ip, n.store_ip] for n in self.nodes}
        self.forwarder = Forwarder(links)
        for name, (ip, advertised) in links.items():
            port = STORE if name.startswith("store") else PEER
            self.listeners.append(
                await asyncio.start_server(self.acceptor(name, ip, port), advertised, port))
        await self.change_config()
        self.tasks.append(asyncio.create_task(self.store.keep_copies()))
        for number, node in enumerate(self.nodes):
            node.backend = Backend(node.service, node.server_ip, SERVER, (node.ip, CONTROL),
                                   self.runs, self.random.getrandbits(32) + number)
            await self.start_node(node)
            await node.backend.start()
            self.tasks.append(asyncio.create_task(self.supervise(node)))

    def acceptor(self, name, ip, port):
        async def accept(reader, writer):
            await self.forwarder.accept(name, ip, port, reader, writer)
        return accept

    async def change_config(self):
        last = self.versions[-1] if self.versions else 0
        self.versions.append(last + self.random.randint(1, 4))
        await self.store.put("config", "main", config_of(self.versions))
        self.acknowledged[self.versions[-1]] = time.monotonic()

    async def write_config_again(self):
        """Writes the latest configuration again, as the operator does after it was lost."""
        await self.store.put("config", "main", config_of(self.versions))

    async def start_node(self, node):
        path = self.dir / f"{node.name}.toml"
        path.write_text(f"""
[node]
name = "{node.name}"
service = "{node.service}"
region = "norte"
data_centre = "{node.centre}"
[listen]
ip = "{node.ip}"
advertise_ip = "{node.advertised}"
caller_port = {CALLER}
peer_port = {PEER}
control_port = {CONTROL}
ready_port = {READY}
admin_port = {ADMIN}
[server]
address = "{node.server_ip}:{SERVER}"
reserved_short_slots = 0
[platform]
api = "metadata_store"
address = "{node.store_ip}:{STORE}"
timeout_ms = 1000
[calls]
retry_budget = 0.2
shared_retry_reserve = 64.0
hedge_budget = 0.0
[lifecycle]
grace_s = {GRACE_S}
""")
        with open(self.dir / f"{node.name}.log", "ab") as log:
            node.process = await asyncio.create_subprocess_exec(
                str(self.build / "guavatraild"), "--settings", str(path), stdout=log, stderr=log)
        node.boot += 1
        node.end_requested_at = None

    async def supervise(self, node):
        """Restarts the process whenever it exits, as the platform does."""
        while not self.is_over:
            code = await node.process.wait()
            if self.is_over:
                return
            if node.end_requested_at is None:
                self.unexpected_ends.append((node.name, node.boot, code))
            await asyncio.sleep(self.random.uniform(0.1, 0.4))
            await self.start_node(node)

    def signal(self, node, number):
        with contextlib.suppress(ProcessLookupError):
            node.process.send_signal(number)

    async def end_node(self, node):
        """Stops the process as planned: with SIGTERM, and SIGKILL after the grace time."""
        process, boot = node.process, node.boot
        node.end_requested_at = time.monotonic()
        self.signal(node, signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), GRACE_S)
        except asyncio.TimeoutError:
            if node.boot == boot:
                self.signal(node, signal.SIGKILL)

    async def kill_node(self, node):
        node.end_requested_at = time.monotonic()
        self.signal(node, signal.SIGKILL)

    async def stop(self):
        self.is_over = True
        for node in self.nodes:
            node.end_requested_at = time.monotonic()
            if node.process is not None:
                self.signal(node, signal.SIGKILL)
                await node.process.wait()
            if node.backend is not None:
                await node.backend.crash()
        for task in self.tasks:
            task.cancel()
        for listener in self.listeners:
            listener.close()
