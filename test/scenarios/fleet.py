"""Starts and stops the processes of a mesh on loopback addresses: the stand-ins for the platform
and the backend servers, the nodes and, if the mesh has links that can be cut, the forwarder. Shared
by the scenarios, the demo and the benchmarks."""
import http.client
import json
import pathlib
import re
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor

ROOT = pathlib.Path(__file__).resolve().parents[2]
CALLER, PEER, CONTROL, ADMIN, SERVER, PLATFORM = 7101, 7102, 7103, 7104, 7105, 7106
MESHES = {
    "gaveta-viva": ("pt-norte", 4, {"catalogo": 5, "encomendas": 4, "manuais": 4, "garantias": 4}),
    "aurinkopilkku": ("fi-south", 3, {"arkisto": 5, "havainto": 3, "kuvasto": 3, "kassa": 3}),
}


class StepFailed(Exception):
    """A step of a scenario failed; the message says what was expected and what was seen."""


def http_json(ip, port, method, path, body=None, timeout=2.0):
    """Returns the decoded JSON answer, or None on an error or a status of 300 or more."""
    connection = http.client.HTTPConnection(ip, port, timeout=timeout)
    try:
        connection.request(method, path, None if body is None else json.dumps(body))
        answer = connection.getresponse()
        text = answer.read().decode()
        return json.loads(text or "{}") if answer.status < 300 else None
    except (OSError, ValueError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def wait_until(what, within, condition, every=0.05):
    """Polls `condition` until it returns True. Fails after `within` seconds with its last value."""
    end = time.monotonic() + within
    while True:
        seen = condition()
        if seen is True:
            return
        if time.monotonic() > end:
            raise StepFailed(f"{what}: not within {within} s; last seen: {seen}")
        time.sleep(every)


class Process:
    """A child process. Signals are sent to its process id only."""

    def __init__(self, name, command, log, **options):
        self.name, self.frozen = name, False
        self.log = open(log, "ab")
        self.popen = subprocess.Popen([str(c) for c in command], stderr=self.log,
                                      stdout=options.pop("stdout", self.log), **options)

    def running(self):
        return self.popen.poll() is None

    def signal(self, number):
        if not self.running():
            raise StepFailed(f"{self.name} has already exited with status {self.popen.returncode}")
        self.popen.send_signal(number)

    def kill(self):
        if self.running():
            self.popen.kill()
        self.popen.wait()
        for pipe in (self.popen.stdin, self.popen.stdout, self.log):
            if pipe:
                pipe.close()


class Node:
    def __init__(self, name, service, region, data_centre, ip, advertised):
        self.name, self.service, self.region, self.data_centre = name, service, region, data_centre
        self.ip, self.advertised = ip, advertised
        self.process = self.server = None
        self.started_at = 0.0

    def up(self):
        return self.process is not None and self.process.running() and not self.process.frozen

    def admin(self, path, method="GET", timeout=1.0):
        return http_json(self.ip, ADMIN, method, path, timeout=timeout)

    def status(self):
        return self.admin("/v1/status", timeout=0.5) if self.up() else None


def choose_nodes(mesh, count):
    """Chooses `count` nodes (0: all), alternating between the services. Returns the service, number,
    region and data centre of each."""
    region, centres, services = MESHES[mesh]
    order = [(service, i + 1) for i in range(max(services.values()))
             for service, size in services.items() if i < size]
    while len(order) < count:  # Benchmarks use fleets larger than the sample meshes.
        order.append((list(services)[len(order) % len(services)], len(order) + 1))
    chosen = order[:count] if count else order
    # Each round starts at the next data centre, so that the servers of a service are spread.
    return [(service, number, region, f"{region}-{(i + i // len(services)) % centres + 1}")
            for i, (service, number) in enumerate(chosen)]


class Fleet:
    def __init__(self, build, directory, net, links=False, overrides=None, server_arguments=()):
        self.build, self.dir, self.net = pathlib.Path(build), pathlib.Path(directory), net
        self.links, self.overrides = links, overrides or {}
        self.server_arguments = list(server_arguments)
        self.nodes, self.processes = {}, []
        self.platform_ip = f"127.{net[0]}.{net[1]}.250"
        self.platform = self.forwarder = None
        self.dir.mkdir(parents=True, exist_ok=True)
        self.keys = None

    # Starting

    def start(self, name, command, **options):
        process = Process(name, command, self.dir / f"{name}.log", **options)
        self.processes.append(process)
        return process

    def tool(self, name):
        for path in (self.build / "test" / name, self.build / name):
            if path.exists():
                return path
        raise StepFailed(f"program {name} not found in {self.build}")

    def start_platform(self):
        self.platform = self.start("platform", [self.tool("platform_stub"), "--ip",
                                                self.platform_ip, "--port", PLATFORM])
        wait_until("platform answers", 5, lambda: self.platform_stats() is not None)

    def platform_stats(self):
        return http_json(self.platform_ip, PLATFORM, "GET", "/stats")

    def platform_faults(self, **faults):
        if http_json(self.platform_ip, PLATFORM, "POST", "/faults", faults) is None:
            raise StepFailed(f"the platform stand-in did not accept the faults {faults}")

    def add_nodes(self, mesh, count=0):
        # Meshes that share a platform get consecutive addresses.
        a, b = self.net
        for service, number, region, centre in choose_nodes(mesh, count):
            host = len(self.nodes) + 1
            real = f"127.{a}.{b}.{host}"
            advertised = f"127.{a}.{b + 100}.{host}" if self.links else real
            name = f"{service}-{number}"
            self.nodes[name] = Node(name, service, region, centre, real, advertised)

    def start_all(self, servers=True):
        self.keys = self.make_keys()
        if self.links:
            self.start_forwarder()
        for node in self.nodes.values() if servers else ():
            self.start_server(node)
        for node in self.nodes.values():
            self.start_node(node)

    def start_server(self, node):
        command = [self.tool("server_stub"), "--ip", node.ip, "--port", SERVER, "--order-log",
                   self.dir / f"{node.name}.orders", *self.server_arguments]
        node.server = self.start(f"server-{node.name}", command)
        wait_until(f"server of {node.name} answers", 5, lambda: self.server_stats(node) is not None)

    def server_stats(self, node):
        return http_json(node.ip, SERVER, "GET", "/stats")

    def start_node(self, node):
        settings = self.dir / f"{node.name}.toml"
        settings.write_text(self.settings_of(node))
        node.process = self.start(f"node-{node.name}",
                                  [self.tool("guavatraild"), "--settings", settings])
        node.started_at = time.monotonic()

    def make_keys(self):
        out = subprocess.run([self.tool("guavatrail"), "keygen"], capture_output=True, text=True,
                             timeout=10, check=False).stdout
        keys = dict(re.findall(r'^(public_key|secret_key) = "(.*)"$', out, re.M))
        if len(keys) != 2:
            raise StepFailed(f"guavatrail keygen: expected two keys, got {out!r}")
        return keys

    def settings_of(self, node):
        seeds = [f"{n.advertised}:{CONTROL}" for n in list(self.nodes.values())[:3]
                 if n is not node]
        listen = {"ip": node.ip, "caller_port": CALLER, "peer_port": PEER,
                  "control_port": CONTROL, "admin_port": ADMIN}
        if self.links:
            listen["advertise_ip"] = node.advertised
        sections = {
            "node": {"name": node.name, "service": node.service, "region": node.region,
                     "data_centre": node.data_centre},
            "listen": listen,
            "server": {"ip": node.ip, "port": SERVER},
            "platform": {"ip": self.platform_ip, "port": PLATFORM},
            "membership": {"seeds": seeds},
            "control": self.keys,
        }
        for key, value in self.overrides.items():
            section, _, name = key.partition(".")
            number = re.fullmatch(r"-?\d+(\.\d+)?", value)
            sections.setdefault(section, {})[name] = json.loads(value) if number else value
        # JSON strings, numbers and flat arrays are also valid TOML; Z85 keys contain no backslash.
        return "\n".join(f"[{section}]\n" + "".join(f"{k} = {json.dumps(v)}\n" for k, v in
                                                    values.items())
                         for section, values in sections.items())

    def start_forwarder(self):
        self.forwarder = self.start(
            "forwarder", [sys.executable, pathlib.Path(__file__).with_name("forwarder.py")],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        nodes = {n.name: [n.ip, n.advertised] for n in self.nodes.values()}
        self.forward(json.dumps({"nodes": nodes, "ports": [PEER, CONTROL, ADMIN]}))

    def forward(self, line):
        if self.forwarder is None:
            raise StepFailed("links can be cut only in a mesh started with links=on")
        self.forwarder.popen.stdin.write(line.encode() + b"\n")
        self.forwarder.popen.stdin.flush()
        if not self.forwarder.popen.stdout.readline():
            raise StepFailed("the forwarder has exited")

    # Using and ending

    def command(self, *arguments, platform=False, node=None, timeout=60):
        """Runs the guavatrail command and returns the completed process with its output."""
        options = ["--platform", f"{self.platform_ip}:{PLATFORM}"] if platform else []
        options += ["--node", f"{node.ip}:{ADMIN}"] if node else []
        return subprocess.run([str(self.tool("guavatrail")), *options, *map(str, arguments)],
                              capture_output=True, text=True, timeout=timeout, check=False)

    def statuses(self, nodes):
        with ThreadPoolExecutor(16) as pool:
            return dict(zip([n.name for n in nodes], pool.map(Node.status, nodes)))

    def wait_in_force(self, version, within, nodes):
        def reached():
            late = {name: (s or {}).get("version") for name, s in self.statuses(nodes).items()
                    if s is None or s.get("state") == "starting" or s.get("version", 0) < version}
            return True if not late else f"version of late nodes {late}"
        wait_until(f"version {version} in force on {len(nodes)} nodes", within, reached)

    def executions(self):
        """Returns the number of executions of each order, from the logs of all servers."""
        counts = {}
        for node in self.nodes.values():
            log = self.dir / f"{node.name}.orders"
            for order in log.read_text().split() if log.exists() else []:
                counts[order] = counts.get(order, 0) + 1
        return counts

    def stop_all(self):
        for process in reversed(self.processes):
            process.kill()
