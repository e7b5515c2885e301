"""Starts a small deployment: one store, servers, and a node beside each server, as separate
processes with the command and the template of deploy/system.toml, on loopback addresses."""

import asyncio
import contextlib
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
import tomllib

from http1 import request
from server import Server
from store import Store

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2

# Bounds of a small deployment, as in the settings of `fleetbench wire`.
BOUNDS = {"config-s": 2, "retry-ratio": 0.2, "budget-extra": 64, "grace-s": 6}
TOUCH_S = 3.0
DRAIN_S = 2.0


class CannotRun(Exception):
    pass


class Recorder:
    """Writes record.txt beside the script."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()


def lookup(fields, path):
    value = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
        if value is None:
            return ""
    return ",".join(map(str, value)) if isinstance(value, list) else str(value)


def fill(template, settings):
    """Fills in the placeholders. Fields of all four tables are found by their own names."""
    fields = {}
    for table in settings.values():
        fields.update(table)
    return re.sub(r"\{\{([^}|]+)\}\}", lambda match: lookup(fields, match.group(1)), template)


def free_port(ip):
    """A free port that is not taken for an outgoing connection while its owner is down."""
    while True:
        port = random.randint(10_000, 30_000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((ip, port))
            return port


class Node:
    def __init__(self, mesh, name, service, zone, ip, app_address, link_mbps):
        self.mesh = mesh
        self.name = name
        self.ip = ip
        ports = {key: free_port(ip) for key in ("inbound", "outbound", "ready", "control", "peer")}
        self.outbound = (ip, ports["outbound"])
        self.ready = (ip, ports["ready"])
        self.control = (ip, ports["control"])
        self.settings = {
            "self": {"node-name": name, "role": "node", "ip": ip, "zone": zone, "region": "region-1",
                     "limits": {"cpu-share": 0.2, "cores": 1, "memory-mb": 260, "max-fds": 4100,
                                "link-mbps": link_mbps, "disk-mb": 0},
                     "app-addr": "%s:%d" % app_address, "service": service},
            "network": {"listen": {key: f"{ip}:{ports[key]}"
                                   for key in ("inbound", "outbound", "ready", "control")},
                        "port-range": [ports["peer"], ports["peer"] + 1], "seeds": []},
            "platform": {"discovery": "local", "entry": "local", "beat-interval-s": 1.5,
                         "platform": {"address": "%s:%d" % mesh.store.address, "form": "objects"}},
            "terms": {"bounds": BOUNDS}}
        self.process = None
        self.starts = 0
        self.started_at = 0.0

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = next(iter(tomllib.load(file)["roles"].values()))
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = fill(file.read(), self.settings)
        path = os.path.join(self.mesh.folder, f"{self.name}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        words = [path if word.startswith("/etc/guavatrail/") else word
                 for word in role["run"].split(" ")]
        self.starts += 1
        self.started_at = time.monotonic()
        log = open(os.path.join(self.mesh.folder, f"{self.name}.{self.starts}.log"), "wb")
        self.process = subprocess.Popen(words, cwd=ROOT, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL)
        log.close()
        self.mesh.record(f"{self.name}: started pid={self.process.pid} outbound={self.outbound}")

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number):
        self.mesh.record(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def rss_mb(self):
        """Resident memory of the process in MB, as the platform counts it."""
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    async def is_ready(self):
        outcome = await request(self.ready, "GET", "node", "/guavatrail/readyz", "-", 1000)
        return outcome.status == 200


class Mesh:
    """Machines have their own loopback addresses, so that ports are as on separate machines."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="guavatrail-review-")
        self.network = f"127.{random.randint(16, 250)}.{random.randint(0, 250)}."
        self.store = Store(record)
        self.nodes = []
        self.servers = []

    async def start_store(self):
        ip = self.network + "200"
        await self.store.start(ip, free_port(ip))

    async def add_machine(self, service, zone, work, link_mbps=1000.0):
        index = len(self.nodes) + 1
        ip = f"{self.network}{index}"
        server = Server(self.record, service, f"i-{index:08x}", ip, zone, work)
        await server.listen(free_port(ip))
        node = Node(self, f"sidecar-{zone}-{index}", service, zone, ip, server.address, link_mbps)
        node.start()
        server.start_beats(node.control)
        self.nodes.append(node)
        self.servers.append(server)
        return node, server

    async def wait_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            states = [await node.is_ready() for node in self.nodes]
            if all(states):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the nodes did not become ready")

    async def stop(self):
        for node in self.nodes:
            if node.is_running():
                with contextlib.suppress(Exception):
                    node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        for server in self.servers:
            server.end()
        await self.store.stop()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, service, kind, timeout_s, attempts=2, goal_s=0.4, priority=1):
    return {"name": name, "route-kind": kind, "goal-s": goal_s, "priority": priority,
            "match": {"path-prefix": prefix},
            "action": {"service": service, "timeout-s": timeout_s, "attempts": attempts}}


def config(version, host, routes, services):
    return {"version": version,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864,
                       "header-timeout-s": 3, "idle-timeout-s": 15},
            "listeners": [{"authority": host, "ruleset": routes}],
            "clusters": [{"name": service, "health-path": "/healthz", "max-conns": 130,
                          "protocol": "h1", "tls": False} for service in services]}


def run_script(file, scenario, limit_s=110):
    """Runs `scenario(mesh)`, which returns whether the rule held, and exits with the status."""
    record = Recorder(os.path.dirname(os.path.abspath(file)))
    if not os.access(os.path.join(ROOT, "target", "guavatraild"), os.X_OK):
        record("target/guavatraild is missing: run the build of deploy/system.toml")
        sys.exit(CANNOT_RUN)

    async def main():
        mesh = Mesh(record)
        record(f"trouble={HAS_TROUBLE}")
        try:
            held = await asyncio.wait_for(scenario(mesh), limit_s)
            return HELD if held else BROKEN
        except Exception as error:  # the case itself could not be played
            record(f"cannot run: {error!r}")
            return CANNOT_RUN
        finally:
            await mesh.stop()

    status = asyncio.run(main())
    record(f"exit status {status}")
    print({HELD: "held", BROKEN: "broken", CANNOT_RUN: "could not run"}[status])
    sys.exit(status)
