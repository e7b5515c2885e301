#!/usr/bin/env python3
"""Measures the simultaneous restart of all nodes of a data centre, and of all nodes, after a kill.

usage: returning.py [--build DIR] [--sizes 12,48,144]

Prints `measure=NAME nodes=N returning=R value=V unit=U` lines: the time until all nodes serve the
previous version, the time to start the processes, and the platform calls made meanwhile.
"""
import argparse
import pathlib
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "test" / "scenarios"))

from fleet import Fleet, StepFailed  # noqa: E402

BOUND_S = 60


def calls(fleet):
    stats = fleet.platform_stats()
    return stats.get("reads", 0) + stats.get("writes", 0)


def return_at_once(fleet, nodes, returning, name):
    for node in returning:
        node.process.kill()
    before, start = calls(fleet), time.monotonic()
    for node in returning:
        fleet.start_node(node)
    started = time.monotonic() - start
    fleet.wait_in_force(1, BOUND_S, nodes)
    seconds = time.monotonic() - start
    count = calls(fleet) - before
    for measure, value, unit in ((f"{name}_in_force", 1000 * seconds, "ms"),
                                 (f"{name}_started", 1000 * started, "ms"),
                                 (f"{name}_platform_calls", count, "calls")):
        print(f"measure={measure} nodes={len(nodes)} returning={len(returning)} value={value:.0f} "
              f"unit={unit}", flush=True)


def measure(build, count, slot):
    fleet = Fleet(build, tempfile.mkdtemp(prefix="guavatrail-bench-"), (11, 180 + slot),
                  overrides={"log.level": "1"})
    try:
        fleet.add_nodes("gaveta-viva", count)
        fleet.start_platform()
        fleet.start_all(servers=False)
        run = fleet.command("publish", ROOT / "examples/notes/gaveta-viva.toml", platform=True)
        if run.returncode != 0:
            raise StepFailed(f"publish: {run.stderr}")
        nodes = list(fleet.nodes.values())
        fleet.wait_in_force(1, BOUND_S, nodes)
        centre = [n for n in nodes if n.data_centre == nodes[0].data_centre]
        return_at_once(fleet, nodes, centre, "data_centre")
        return_at_once(fleet, nodes, nodes, "all")
    finally:
        fleet.stop_all()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default=ROOT / "build", type=pathlib.Path)
    parser.add_argument("--sizes", default="12,48,144")
    options = parser.parse_args()
    for slot, size in enumerate(map(int, options.sizes.split(","))):
        measure(options.build, size, slot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
