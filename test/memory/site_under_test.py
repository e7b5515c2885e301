"""Two nodes as real processes on loopback addresses, with the stand-ins of the soak for the store
and the servers. The server of the first node answers nothing under /slow/; under /large/ each server
answers with LARGE_ANSWER_BYTES."""
import asyncio
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "test" / "soak"))
from backend import Backend  # noqa: E402
from node_usage import NodeUsage  # noqa: E402
from store import Store  # noqa: E402
from wire import respond  # noqa: E402

CALLER, PEER, CONTROL, READY, ADMIN, SERVER, STORE = 7401, 7402, 7403, 7404, 7405, 7406, 7407
HOST = "shop.example"
WAIT_S = 60  # Limit on each wait of the harness, not a requirement on the nodes.
# Deadline of all calls; longer than WAIT_S, so that no check depends on it.
DEADLINE_S = 120
LARGE_ANSWER_BYTES = 200_000
ENDPOINT_KIND = "guavatrail-endpoints"


def config(max_body_bytes, version=1, limits=None, extra_rules=(), tenants=()):
    def rule(name, prefix, service):
        return {"name": name, "route-kind": "idempotent", "goal-s": 60, "priority": 1, "public": True,
                "match": {"path-prefix": prefix},
                "action": {"service": service, "timeout-s": DEADLINE_S, "attempts": 2}}
    ruleset = [rule("parts", "/parts/", "catalogo"), rule("slow", "/slow/", "encomendas"),
               rule("own", "/own/", "encomendas"), rule("large", "/large/", "catalogo"),
               rule("own-large", "/large/own/", "encomendas"),
               *(rule(name, f"/{name}/", "catalogo") for name in extra_rules)]
    return {"version": version, "limits": {"max-body-bytes": max_body_bytes, **(limits or {})},
            "listeners": [{"authority": HOST, "ruleset": ruleset}],
            "clusters": [{"name": "catalogo"}, {"name": "encomendas"}],
            "tenants": [{"name": name, "api-keys": [f"key-{name}"], "rate-per-s": 100}
                        for name in tenants]}


class SlowBackend(Backend):
    async def answer(self, message, writer):
        if message.target.startswith("/slow/"):
            await asyncio.sleep(10 * DEADLINE_S)
        if message.target.startswith("/large/"):
            headers = [("X-Request-Id", message.headers.get("x-request-id", "")),
                       ("X-Response-Stamp", "large")]
            await respond(writer, 200, headers, b"x" * LARGE_ANSWER_BYTES)
            return True
        return await super().answer(message, writer)


class Node(NodeUsage):
    def __init__(self, number, service, net):
        super().__init__(f"node-{number}", f"127.{net}.1.{number}")
        self.service, self.server_ip = service, f"127.{net}.4.{number}"


class Site:
    backend_type, store_type = SlowBackend, Store

    def __init__(self, daemon, memory_mb, max_body_bytes, max_descriptors=0, limits=None):
        self.daemon, self.memory_mb, self.max_body_bytes = daemon, memory_mb, max_body_bytes
        self.max_descriptors, self.limits, self.version = max_descriptors, limits, 1
        self.extra_rules = ()  # Names of rules that no request of the tests matches.
        self.tenants = ()  # Names of tenants with a quota.
        self.error_output = None  # Standard error of the nodes; None: as standard output.
        self.dir = pathlib.Path(tempfile.mkdtemp(prefix="guavatrail-memory-"))
        net = 16 + os.getpid() % 200
        self.nodes = [Node(1, "encomendas", net), Node(2, "catalogo", net)]
        self.store_ip = f"127.{net}.0.1"
        self.loop = asyncio.new_event_loop()
        # Errors of stand-ins whose connections the nodes cut are expected.
        self.loop.set_exception_handler(lambda *_: None)
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.listener, self.backends = None, []

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(WAIT_S)

    def start(self):
        self.thread.start()
        self.run(self.start_stand_ins())
        for node in self.nodes:
            self.start_node(node)

    def start_node(self, node):
        with open(self.dir / f"{node.name}.log", "ab") as log:
            node.process = subprocess.Popen([self.daemon, "--settings", self.settings_of(node)],
                                            stdout=log, stderr=self.error_output or log)

    def restart_node(self, number):
        node = self.nodes[number]
        node.process.kill()
        node.process.wait()
        self.start_node(node)

    async def start_stand_ins(self):
        store = self.store_type()
        self.listener = await store.listen(self.store_ip, STORE)
        self.store = store
        await self.put_config()
        for node in self.nodes:
            backend = self.backend_type(node.service, node.server_ip, SERVER, (node.ip, CONTROL), {}, 1)
            await backend.start()
            self.backends.append(backend)

    async def put_config(self):
        await self.store.put("config", "main",
                             config(self.max_body_bytes, self.version, self.limits,
                                    self.extra_rules, self.tenants))

    def change_config(self):
        self.version += 1
        self.run(self.put_config())

    def put_endpoint(self, name):
        """Stores the record of a node of another service that does not run."""
        self.run(self.store.put(ENDPOINT_KIND, name, {
            "incarnation": 1, "service": "absent", "region": "norte", "data_centre": "norte-a",
            "ip": self.store_ip, "peer_port": PEER, "slots": 1, "link_mbps": 0, "draining": False,
            "server": {"id": name, "started_ms": 1, "sequence": 1, "state": "ready"}}))

    def restart_servers(self):
        for backend in self.backends:
            self.run(backend.crash())
            self.run(backend.start())

    async def stop_stand_ins(self):
        self.listener.close()
        for backend in self.backends:
            await backend.crash()
        tasks = [t for t in asyncio.all_tasks() if t is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def settings_of(self, node):
        path = self.dir / f"{node.name}.toml"
        settings = f"""
[node]
name = "{node.name}"
service = "{node.service}"
region = "norte"
data_centre = "norte-a"
[server]
address = "{node.server_ip}:{SERVER}"
reserved_short_slots = 0
[platform]
api = "metadata_store"
address = "{self.store_ip}:{STORE}"
[listen]
ip = "{node.ip}"
caller_port = {CALLER}
peer_port = {PEER}
control_port = {CONTROL}
ready_port = {READY}
admin_port = {ADMIN}
max_descriptors = {self.max_descriptors}
"""
        # A version without this setting rejects it; the bounds of the test hold for it all the same.
        path.write_text(settings + f"memory_mb = {self.memory_mb}\n")
        if subprocess.run([self.daemon, "--check", "--settings", path],
                          capture_output=True).returncode != 0:
            path.write_text(settings)
        return path

    def stop(self, keep_logs):
        for node in self.nodes:
            if node.process is not None:
                node.process.kill()
                node.process.wait()
        self.run(self.stop_stand_ins())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()
        if keep_logs:
            print(f"logs: {self.dir}", flush=True)
        else:
            shutil.rmtree(self.dir)


def wait_until(condition):
    end = time.monotonic() + WAIT_S
    while not condition():
        if time.monotonic() > end:
            raise AssertionError(f"not within {WAIT_S} s")
        time.sleep(0.05)
