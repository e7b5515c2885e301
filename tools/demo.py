#!/usr/bin/env python3
"""Implements the demonstration of tools/demo.sh. Exits with 0 if every step succeeded."""
import argparse
import os
import pathlib
import shutil
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "test" / "scenarios"))

import traffic  # noqa: E402
from fleet import ADMIN, PLATFORM, Fleet, StepFailed, wait_until  # noqa: E402

DATA_CENTRE_COUNT = 7


def show(title, text=""):
    print(f"== {title}", flush=True)
    for line in text.strip().splitlines():
        print("   " + line, flush=True)


def run_command(fleet, *arguments, **options):
    run = fleet.command(*arguments, **options)
    show("guavatrail " + " ".join(map(str, arguments)), run.stdout + run.stderr)
    if run.returncode != 0:
        raise StepFailed(f"guavatrail {arguments[0]}: exit {run.returncode}")


def call(node, path, order_tag=None):
    if order_tag is None:
        result = traffic.call(node.ip, path, "demo")
    else:
        result = traffic.order([node.ip], path, order_tag)
    show(f"{'order' if order_tag else 'call'} {path} through {node.name}",
         f"{result}, run by {result.headers.get('X-Server')}")
    if result.kind != "ok":
        raise StepFailed(f"{path}: {result}")


def records_show(node, version):
    seen = {record["name"]: record["config_version"] for record in node.admin("/v1/members") or []}
    return bool(seen) and set(seen.values()) == {version} or seen


def demonstrate(fleet):
    fleet.add_nodes("gaveta-viva")
    fleet.add_nodes("aurinkopilkku")
    fleet.start_platform()
    fleet.start_all()
    centres = sorted({n.data_centre for n in fleet.nodes.values()})
    assert len(centres) == DATA_CENTRE_COUNT, centres
    show("started", f"platform {fleet.platform_ip}:{PLATFORM}, {len(fleet.nodes)} nodes with their "
         f"servers in {', '.join(centres)}; admin port {ADMIN}; logs in {fleet.dir} while it runs")
    first, *_ = nodes = list(fleet.nodes.values())
    for version, user in enumerate(("gaveta-viva", "aurinkopilkku"), 1):
        note = ROOT / "examples" / "notes" / f"{user}.toml"
        run_command(fleet, "validate", note, platform=True)
        run_command(fleet, "publish", note, platform=True)
        fleet.wait_in_force(version, 6, nodes)
    run_command(fleet, "progress", "2", node=first)
    wait_until("all member records show version 2", 15, lambda: records_show(first, 2))
    run_command(fleet, "nodes", node=first)
    entry = fleet.nodes["garantias-1"]
    call(entry, "/catalogo/gaveta-42")
    call(entry, "/encomendas/demo", "demo-order")
    call(entry, "/manuais/gaveta-42")
    entry = fleet.nodes["kassa-1"]
    call(entry, "/arkisto/1859-09-01")
    call(entry, "/havainto/demo", "demo-filing")
    runs = fleet.executions()
    show("executions seen by the servers", str(runs))
    if runs != {"demo-order": 1, "demo-filing": 1}:
        raise StepFailed(f"executions are {runs}, expected exactly one of each order")
    run_command(fleet, "burn", node=first)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default=ROOT / "build", type=pathlib.Path)
    build = parser.parse_args().build
    directory = tempfile.mkdtemp(prefix="guavatrail-demo-")
    fleet = Fleet(build, directory, (11, 1 + os.getpid() % 99))
    try:
        demonstrate(fleet)
    except StepFailed as failure:
        print(f"demo failed: {failure}; logs: {directory}", file=sys.stderr)
        return 1
    finally:
        fleet.stop_all()
    shutil.rmtree(directory, ignore_errors=True)
    print("demo done: all steps succeeded and all started processes were stopped")
    return 0


if __name__ == "__main__":
    sys.exit(main())
