#!/usr/bin/env python3
"""Measures calls through a mesh of real processes, with the baseline and the default policies.

usage: calls.py [--build DIR] [--only NAME,...] [--seconds N] [--rounds N] [--seed N]

Measurements, each with the baseline settings (placement round_robin, admission unlimited, no hedging)
and with the default settings:
  latency    latency added to a direct call at a low rate; the baseline is a chain of two bare relays
  peak       good calls at 2 and 4 times the capacity, and the time to recover afterwards
  blocking   checks while orders offer more long work than the servers can run
  slow       lookups while 1 and then 2 of the 5 servers of the service are 10 times slower
Prints `measure=NAME baseline=B guavatrail=G ratio=R unit=U` lines, R = G / B, and the counts of each
run as `run=NAME policy=P kind=K ...` lines. Exits with 1 if a measurement failed or an
answer did not match its request.
"""
import argparse
import contextlib
import json
import os
import pathlib
import shutil
import statistics
import subprocess
import sys
import tempfile
import threading

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "test" / "scenarios"))

from fleet import CALLER, SERVER, Fleet, StepFailed, http_json, wait_until  # noqa: E402

RELAY_FIRST, RELAY_SECOND = 7111, 7112
BASELINE = {"calls.placement": "round_robin", "calls.admission": "unlimited",
            "calls.hedge_budget": "0.0"}
POLICIES = {"baseline": BASELINE, "guavatrail": {}}
SLOW_LOOKUP_MS = 10
# Long enough that under overload the slots of the servers are the bottleneck, and not the processors
# of the one machine that runs all processes of the mesh.
PEAK_LOOKUP_MS = 100
SHOWN = ("sent", "good", "refused", "late", "unknown", "incomplete", "mismatched", "failed", "p50_ms",
         "p95_ms", "p99_ms")


class Bench:
    def __init__(self, options):
        self.options, self.slot, self.failed = options, 0, False

    @contextlib.contextmanager
    def mesh(self, overrides, *server_arguments):
        """Runs a Gaveta Viva mesh with its first note in force."""
        self.slot += 1
        directory = tempfile.mkdtemp(prefix="guavatrail-calls-")
        fleet = Fleet(self.options.build, directory, (13, 1 + (os.getpid() + self.slot) % 90),
                      overrides={"log.level": "1", **overrides},
                      server_arguments=list(server_arguments))
        try:
            fleet.add_nodes("gaveta-viva")
            fleet.start_platform()
            fleet.start_all()
            note = ROOT / "examples" / "notes" / "gaveta-viva.toml"
            run = fleet.command("publish", note, platform=True)
            if run.returncode != 0:
                raise StepFailed(f"publish: {run.stdout}{run.stderr}")
            nodes = list(fleet.nodes.values())
            fleet.wait_in_force(1, 30, nodes)
            wait_until("every node knows all members", 30,
                       lambda: all(known_members(n) >= len(nodes) for n in nodes))
            yield fleet
        except StepFailed as failure:
            raise StepFailed(f"{failure}; logs: {directory}") from failure
        finally:
            fleet.stop_all()
        shutil.rmtree(directory)

    def load(self, run, policy, targets, kinds, phases, *arguments):
        """Runs the load tool and returns its results by kind."""
        command = [str(self.options.build / "caller_load"), "--json", "-",
                   "--seed", str(self.options.seed), *arguments]
        for target in targets:
            command += ["--target", target]
        for kind in kinds:
            command += ["--kind", kind]
        for phase in phases:
            command += ["--phase", phase]
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        if done.returncode not in (0, 1):
            raise StepFailed(f"caller_load: {done.stderr}")
        self.failed |= done.returncode == 1
        report = json.loads(done.stdout)
        for kind in report["kinds"]:
            counts = " ".join(f"{field}={kind[field]}" for field in SHOWN)
            print(f"run={run} policy={policy} kind={kind['kind']} {counts} "
                  f"statuses={json.dumps(kind.get('statuses', {}), separators=(',', ':'))}",
                  flush=True)
        return {kind["kind"]: kind for kind in report["kinds"]}


def known_members(node):
    members = node.admin("/v1/members") or []
    return len(members.get("members", []) if isinstance(members, dict) else members)


def capacity(lookup_ms):
    """Lookups per second that the 5 servers of catalogo, with 9 slots each, can answer."""
    return 5 * 9 * 1000 / lookup_ms


def entries(fleet):
    return [f"{node.ip}:{CALLER}" for node in fleet.nodes.values()]


def show(name, baseline, ours, unit):
    ratio = ours / baseline if baseline else float("nan")
    print(f"measure={name} baseline={baseline:.3f} guavatrail={ours:.3f} ratio={ratio:.3f} "
          f"unit={unit}", flush=True)


def compare(name, results, unit, figure):
    if len(results) == 2:
        show(name, figure(results["baseline"]), figure(results["guavatrail"]), unit)


def measure_latency(bench):
    kinds = ["name=lookup,path=/catalogo/{n},deadline=1500"]
    phases = [f"{bench.options.seconds}s@200"]
    with bench.mesh({}, "--lookup-ms", "1") as fleet:
        # The entry node is on another VM than the serving node.
        server, entry = fleet.nodes["catalogo-1"], fleet.nodes["encomendas-1"]
        for name, port, upstream in (("relay-1", RELAY_FIRST, RELAY_SECOND),
                                     ("relay-2", RELAY_SECOND, SERVER)):
            fleet.start(name, [fleet.tool("relay_baseline"), "--ip", server.ip, "--port", port,
                               "--upstream-ip", server.ip, "--upstream-port", upstream])
        wait_until("the first relay answers", 5, lambda: http_json(
            server.ip, RELAY_FIRST, "GET", "/stats") is not None)
        runs = {"direct": f"{server.ip}:{SERVER}", "relays": f"{server.ip}:{RELAY_FIRST}",
                "guavatrail": f"{entry.ip}:{CALLER}"}
        results = {name: [] for name in runs}
        for name, target in runs.items():
            bench.load("latency-warm-up", name, [target], kinds, ["1s@200"])
        for _ in range(bench.options.rounds):
            for name, target in runs.items():
                results[name].append(bench.load("latency", name, [target], kinds, phases)["lookup"])
    # The variants alternate and the median of the rounds counts, which excludes short bursts of other
    # work on the machine.
    for q in ("p50_ms", "p95_ms", "p99_ms"):
        median = {name: statistics.median(kind[q] for kind in rounds)
                  for name, rounds in results.items()}
        show(f"added_latency_{q[:3]}", median["relays"] - median["direct"],
             median["guavatrail"] - median["direct"], "ms")


def recovery_ms(kind, end, slices_a_second):
    """Time from second `end` until at least 95% of the calls of every later interval are good."""
    last = 0
    for i in range(end * slices_a_second, len(kind["sent_series"])):
        if kind["good_series"][i] < 0.95 * kind["sent_series"][i]:
            last = i + 1 - end * slices_a_second
    return 1000 * last / slices_a_second


def measure_peak(bench):
    seconds = bench.options.seconds
    kinds = ["name=lookup,path=/catalogo/{n},deadline=1500"]
    most = capacity(PEAK_LOOKUP_MS)
    usual = 0.5 * most
    for factor in (2, 4):
        results = {}
        for policy, overrides in POLICIES.items():
            with bench.mesh(overrides, "--lookup-ms", str(PEAK_LOOKUP_MS)) as fleet:
                phases = [f"{seconds}s@{usual}", f"{seconds}s@{factor * most}",
                          f"{2 * seconds}s@{usual}"]
                results[policy] = bench.load(
                    f"peak-{factor}x", policy, entries(fleet), kinds, phases, "--connections",
                    "60", "--series", "100ms")["lookup"]

        def goodput(kind):
            return sum(kind["good_series"][10 * seconds:20 * seconds]) / seconds
        compare(f"peak_{factor}x_goodput", results, "1/s", goodput)
        compare(f"peak_{factor}x_recovery", results, "ms",
                lambda kind: recovery_ms(kind, 2 * seconds, 10))


def measure_blocking(bench):
    # 4 servers with 9 slots and 200 ms per order can run 180 orders per second.
    kinds = ["name=check,path=/encomendas/check/{n},deadline=500,weight=1",
             "name=order,path=/encomendas/{n},method=POST,order=1,body=100,deadline=5000,weight=1"]
    results = {}
    for policy, overrides in POLICIES.items():
        with bench.mesh(overrides, "--lookup-ms", "4", "--order-ms", "200") as fleet:
            results[policy] = bench.load("blocking", policy, entries(fleet), kinds,
                                         [f"{2 * bench.options.seconds}s@540"])
    for kind in ("check", "order"):
        compare(f"blocking_{kind}_good", results, "share",
                lambda kinds, k=kind: kinds[k]["good"] / max(1, kinds[k]["sent"]))
    compare("blocking_check_p99", results, "ms", lambda kinds: kinds["check"]["p99_ms"])


def slow_down(fleet, count):
    for number in range(1, count + 1):
        node = fleet.nodes[f"catalogo-{number}"]
        if http_json(node.ip, SERVER, "POST", "/faults", {"slow_factor": 10}) is None:
            raise StepFailed(f"the server of {node.name} did not accept slow_factor")


def measure_slow(bench):
    seconds = bench.options.seconds
    kinds = ["name=lookup,path=/catalogo/{n},deadline=1500"]
    for count in (1, 2):
        results = {}
        for policy, overrides in POLICIES.items():
            with bench.mesh(overrides, "--lookup-ms", str(SLOW_LOOKUP_MS)) as fleet:
                timer = threading.Timer(seconds, slow_down, (fleet, count))
                timer.start()
                results[policy] = bench.load(f"slow-{count}", policy, entries(fleet), kinds,
                                             [f"{3 * seconds}s@{0.3 * capacity(SLOW_LOOKUP_MS)}"])["lookup"]
                timer.join()
        compare(f"slow_{count}_p99", results, "ms", lambda kind: kind["p99_ms"])
        compare(f"slow_{count}_good", results, "share",
                lambda kind: kind["good"] / max(1, kind["sent"]))


MEASURES = {"latency": measure_latency, "peak": measure_peak, "blocking": measure_blocking,
            "slow": measure_slow}


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default=ROOT / "build", type=pathlib.Path)
    parser.add_argument("--only", default=",".join(MEASURES))
    parser.add_argument("--seconds", type=int, default=5)
    parser.add_argument("--rounds", type=int, default=5, help="rounds of the latency measurement")
    parser.add_argument("--seed", type=int, default=1)
    bench = Bench(parser.parse_args())
    for name in bench.options.only.split(","):
        try:
            MEASURES[name](bench)
        except StepFailed as failure:
            bench.failed = True
            print(f"failed: {name}: {failure}", flush=True)
    return 1 if bench.failed else 0


if __name__ == "__main__":
    sys.exit(main())
