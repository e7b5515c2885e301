#!/usr/bin/env python3
"""Measures the distribution of release notes to a mesh of real processes, for each delivery mode.

usage: delivery.py [--build DIR] [--sizes 10,50,150] [--notes N] [--idle SECONDS]

Modes: watch_all (baseline: each node watches the platform), relay, pull, and relay_frozen (relay with
one paused node, which is not measured). Convergence is measured from the start of the publish command.
The versions of the nodes are polled in sweeps, so a measured time is at most one sweep too long.
Prints `measure=NAME nodes=N baseline=B guavatrail=G ratio=R unit=U` lines, R = G / B.
"""
import argparse
import http.client
import os
import pathlib
import re
import shutil
import signal
import sys
import tempfile
import threading
import time
from concurrent.futures import ThreadPoolExecutor

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "test" / "scenarios"))

from fleet import ADMIN, Fleet, StepFailed  # noqa: E402
from steps import NOTE  # noqa: E402
from traffic import percentile  # noqa: E402

MODES = ("watch_all", "relay", "pull", "relay_frozen")
UNITS = {"convergence_p50": "ms", "convergence_p99": "ms", "convergence_last": "ms",
         "sweep_time": "ms", "control_sent_idle": "B/s", "control_sent_per_note": "B",
         "platform_calls_idle": "1/s", "platform_calls_per_note": "1", "cpu_idle": "%",
         "cpu_per_note": "ms", "memory": "MB"}


class Poller:
    """Records when each node first reports each version, over persistent connections."""

    def __init__(self, nodes):
        self.nodes, self.seen, self.sweeps = nodes, {}, []
        self.stop = threading.Event()
        self.connections = {n.name: http.client.HTTPConnection(n.ip, ADMIN, timeout=2)
                            for n in nodes}
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def poll(self, node):
        connection = self.connections[node.name]
        try:
            connection.request("GET", "/v1/status")
            text = connection.getresponse().read().decode()
        except (OSError, http.client.HTTPException):
            connection.close()
            return
        version = int(re.search(r'"version":\s*(\d+)', text)[1])
        now = time.monotonic()
        for v in range(version, 0, -1):
            if (node.name, v) in self.seen:
                break
            self.seen[node.name, v] = now

    def run(self):
        with ThreadPoolExecutor(8) as pool:
            while not self.stop.wait(0.005):
                start = time.monotonic()
                list(pool.map(self.poll, self.nodes))
                self.sweeps.append(time.monotonic() - start)

    def end(self):
        self.stop.set()
        self.thread.join()
        for connection in self.connections.values():
            connection.close()


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_mb(pid):
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", status)[1]) / 1024


def sent_bytes(node):
    connection = http.client.HTTPConnection(node.ip, ADMIN, timeout=5)
    connection.request("GET", "/metrics")
    text = connection.getresponse().read().decode()
    connection.close()
    found = re.search(r'control_bytes_total\{direction="out"\} (\d+)', text)
    return int(found[1]) if found else 0


def sample(fleet, nodes):
    stats = fleet.platform_stats()
    return {"time": time.monotonic(), "calls": stats.get("reads", 0) + stats.get("writes", 0),
            "sent": sum(map(sent_bytes, nodes)),
            "cpu": sum(cpu_seconds(n.process.popen.pid) for n in nodes)}


def rates(before, after):
    """Increases per second; `sent` and `cpu` are sums over all nodes."""
    seconds = after["time"] - before["time"]
    return {name: (after[name] - before[name]) / seconds for name in ("calls", "sent", "cpu")}


def per_note(idle, before, after, notes):
    """Increases per note, without those of the idle mesh."""
    seconds = after["time"] - before["time"]
    return {name: (after[name] - before[name] - idle[name] * seconds) / notes
            for name in ("calls", "sent", "cpu")}


def publish_notes(fleet, nodes, notes, version):
    """Publishes `notes` notes one after another, each once the last one is in force on all nodes.

    Returns the convergence times in ms of all nodes and notes, the time of the last node for each
    note, and the median duration of a sweep in ms.
    """
    poller, times, last = Poller(nodes), [], []
    try:
        for i in range(notes):
            version += 1
            path = fleet.dir / f"bench-{version}.toml"
            path.write_text(NOTE.format(id=f"bench-{version}", action="add", prefix=f"/b{version}",
                                        route=f"b{version}", service="catalogo", work="lookup"))
            start = time.monotonic()
            run = fleet.command("publish", path, platform=True)
            if run.returncode != 0:
                raise StepFailed(f"publish: {run.stdout}{run.stderr}")
            while not all((n.name, version) in poller.seen for n in nodes):
                if time.monotonic() > start + 30:
                    raise StepFailed(f"version {version} not in force within 30 s")
                time.sleep(0.005)
            taken = [1000 * (poller.seen[n.name, version] - start) for n in nodes]
            times += taken
            last.append(max(taken))
    finally:
        poller.end()
    return times, last, 1000 * percentile(poller.sweeps, 0.5)


def measure(options, mode, count, slot):
    directory = pathlib.Path(tempfile.mkdtemp(prefix="guavatrail-bench-"))
    overrides = {"delivery.mode": mode.split("_frozen")[0], "log.level": "1"}
    fleet = Fleet(options.build, directory, (11, 100 + slot), overrides=overrides)
    try:
        fleet.add_nodes("gaveta-viva", count)
        fleet.start_platform()
        fleet.start_all(servers=False)
        nodes = list(fleet.nodes.values())
        run = fleet.command("publish", ROOT / "examples/notes/gaveta-viva.toml", platform=True)
        if run.returncode != 0:
            raise StepFailed(f"publish: {run.stdout}{run.stderr}")
        fleet.wait_in_force(1, 60, nodes)
        if mode == "relay_frozen":
            nodes[0].process.signal(signal.SIGSTOP)
            nodes = nodes[1:]
        time.sleep(options.idle / 2)  # Excludes the traffic of joining nodes from the idle sample.
        first = sample(fleet, nodes)
        time.sleep(options.idle)
        second = sample(fleet, nodes)
        times, last, sweep = publish_notes(fleet, nodes, options.notes, 1)
        third = sample(fleet, nodes)
        idle, count = rates(first, second), len(nodes)
        note = per_note(idle, second, third, options.notes)
        return {"convergence_p50": percentile(times, 0.5),
                "convergence_p99": percentile(times, 0.99), "convergence_last": max(last),
                "sweep_time": sweep, "control_sent_idle": idle["sent"] / count,
                "control_sent_per_note": note["sent"] / count,
                "platform_calls_idle": idle["calls"], "platform_calls_per_note": note["calls"],
                "cpu_idle": 100 * idle["cpu"] / count, "cpu_per_note": 1000 * note["cpu"] / count,
                "memory": max(memory_mb(n.process.popen.pid) for n in nodes)}
    finally:
        fleet.stop_all()
        shutil.rmtree(directory, ignore_errors=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default=ROOT / "build", type=pathlib.Path)
    parser.add_argument("--sizes", default="10,50,150")
    parser.add_argument("--notes", type=int, default=20)
    parser.add_argument("--idle", type=float, default=10)
    options = parser.parse_args()
    slot, failed = os.getpid() % 50, 0
    for count in map(int, options.sizes.split(",")):
        results = {}
        for mode in MODES:
            try:
                results[mode] = measure(options, mode, count, slot)
            except StepFailed as failure:
                failed += 1
                print(f"failed: nodes={count} way={mode}: {failure}", flush=True)
        base = results.get("watch_all", {})
        for mode in MODES[1:]:
            for name, value in results.get(mode, {}).items():
                old = base.get(name, float("nan"))
                ratio = value / old if old else float("nan")
                print(f"measure=delivery_{mode}_{name} nodes={count} baseline={old:.2f} "
                      f"guavatrail={value:.2f} ratio={ratio:.3f} unit={UNITS[name]}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
