#!/usr/bin/env python3
"""A randomized fault-injection soak: runs real nodes on loopback addresses, injects faults, and
checks the promises of the mesh.

usage: soak.py [--build DIR] [--seeds A-B | --seeds failed] [--seconds N] [--jobs N]

Each seed draws its own sequence of overlapping faults. The exit code is 0 if no promise was broken.
The logs of each seed stay in --out; failed_seeds.txt lists all seeds that have failed.
"""
import argparse
import asyncio
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time

from callers import Caller
from checks import Faults, violations
from mesh import ROOT, Mesh

RECOVER_S = 15.0  # Time after the last fault within which calls must succeed again.
RECOVERED_SHARE = 0.9  # Share of calls that must succeed then.
SETTLED_S = 6.0  # Time after that within which all nodes must agree with the store.
CALLERS_PER_NODE = 2
NETWORKS = range(216, 250)  # Of the loopback networks 127.N.0.0/16; scenarios use lower ones.
CLAIM_PORT = 7308
MAX_LAG_S = 0.15  # Time bounds are not checked while the event loop lags by more than this.


class Soak:
    def __init__(self, build, directory, net, seed):
        self.random = random.Random(seed)
        self.mesh = Mesh(build, directory, net, seed)
        self.calls, self.faults, self.events = {}, Faults(), []
        self.tasks = []

    def start_task(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    async def watch_lag(self):
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.05)
            if time.monotonic() - before > 0.05 + MAX_LAG_S:
                self.faults.spans.append(["all", before, time.monotonic(), "lag"])

    async def run(self, seconds):
        try:
            return await self.run_with_faults(seconds)
        finally:
            # Errors are expected from here on, because the stop aborts connections.
            asyncio.get_running_loop().set_exception_handler(lambda *_: None)
            await self.mesh.stop()

    async def run_with_faults(self, seconds):
        await self.mesh.start()
        self.start_task(self.watch_lag())
        for node in self.mesh.nodes:
            for number in range(CALLERS_PER_NODE):
                seed = self.random.getrandbits(64)
                caller = Caller(self.mesh, node, number, random.Random(seed), self.calls)
                self.start_task(caller.run())
        await asyncio.sleep(3)
        end = time.monotonic() + seconds
        fault_tasks = []
        while time.monotonic() < end:
            fault_tasks.append(self.start_task(self.inject_fault()))
            await asyncio.sleep(self.random.uniform(0.1, 1.6))
        await asyncio.gather(*fault_tasks)
        found = await self.wait_until_recovered()
        found += await self.wait_until_settled()
        self.mesh.is_over = True
        for task in self.tasks:
            task.cancel()
        results = await asyncio.gather(*self.tasks, return_exceptions=True)
        found += [f"SOAK error: {r!r}" for r in results if isinstance(r, Exception)]
        return found + violations(self.mesh, self.calls, self.faults)

    async def wait_until_recovered(self):
        begin = time.monotonic()
        share = 0.0
        while time.monotonic() - begin < RECOVER_S:
            since = time.monotonic()
            await asyncio.sleep(1)
            ended = [c for c in self.calls.values() if c.sent >= since and c.ended]
            # 404 is allowed: the newest version may not be in force yet; checks.config covers that.
            good = [c for c in ended if c.status == 200 or c.status == 404]
            share = len(good) / max(1, len(ended))
            if ended and share >= RECOVERED_SHARE:
                return []
        return [f"RECOVER: {share:.2f} of the calls served {RECOVER_S} s after the last fault, "
                f"expected {RECOVERED_SHARE}"]

    async def wait_until_settled(self):
        begin = time.monotonic()
        while found := [line for node in self.mesh.nodes async for line in self.unsettled(node)]:
            if time.monotonic() - begin > SETTLED_S:
                break
            await asyncio.sleep(0.5)
        return found

    async def unsettled(self, node):
        """What keeps a node from agreeing with the operator, the store and its server."""
        try:
            status = await node.query_admin("/v1/status")
            members = await node.query_admin("/v1/members")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            yield f"SETTLED {node.name}: no answer from its admin port ({error!r})"
            return
        version = self.mesh.versions[-1]
        if status["version"] != version:
            yield f"SETTLED {node.name}: version {status['version']}, expected {version}"
        missing = {n.name for n in self.mesh.nodes} - {m["name"] for m in members}
        if missing:
            yield f"SETTLED {node.name}: does not know {', '.join(sorted(missing))}"
        record = self.mesh.store.objects.get(("guavatrail-endpoints", node.name))
        server = record["spec"]["server"] if record else {}
        stored = (server.get("id"), server.get("state"))
        if stored != (node.backend.instance, "ready"):
            yield f"SETTLED {node.name}: its record names {stored}, expected {node.backend.instance}"

    # Faults

    async def inject_fault(self):
        faults = [self.kill, self.stop, self.pause, self.store_fault, self.store_forgets,
                  self.lapse, self.cut_store, self.cut_peer, self.break_connections, self.delay,
                  self.crash_server, self.release_server, self.server_fault, self.change_config,
                  self.change_config, self.reload, self.limit_server, self.limit_server,
                  self.leave_in_answers, self.store_returns, self.store_returns]
        fault = self.random.choice(faults)
        node = self.random.choice(self.mesh.nodes)
        self.events.append((time.monotonic(), fault.__name__, node.name))
        await fault(node)

    def fault_duration(self):
        return self.random.uniform(0.3, 3.0)

    async def kill(self, node):
        span = self.faults.begin(node.name, "kill")
        await self.mesh.kill_node(node)
        await asyncio.sleep(0.6)
        self.faults.end(span)

    async def stop(self, node):
        span = self.faults.begin(node.name, "stop")
        await self.mesh.end_node(node)
        await asyncio.sleep(0.6)
        self.faults.end(span)

    async def pause(self, node):
        span = self.faults.begin(node.name, "pause")
        process = node.process
        if process.returncode is None:
            process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.fault_duration())
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)
        self.faults.end(span)

    async def store_fault(self, _):
        span = self.faults.begin("all", "store")
        self.mesh.store.mode = self.random.choice(
            ["unavailable", "rate_limited", "no_answer", "answer_lost", "slow"])
        await asyncio.sleep(self.fault_duration())
        self.mesh.store.mode = "healthy"
        self.faults.end(span)

    async def store_forgets(self, _):
        self.mesh.store.discard_history()

    async def store_returns(self, _):
        """The store is away for a moment and comes back from a copy some seconds old. The operator
        writes its configuration again, and may change it at once."""
        span = self.faults.begin("all", "store")
        store = self.mesh.store
        store.mode = self.random.choice(["unavailable", "no_answer"])
        await asyncio.sleep(self.random.uniform(0.1, 2.0))
        if store.copies:  # Empty just after another return.
            await store.restore(self.random.choice(store.copies))
        store.mode = "healthy"
        await asyncio.sleep(self.random.choice([0, 0.3]))
        await self.mesh.write_config_again()
        if self.random.random() < 0.6:
            await self.mesh.change_config()
        self.faults.end(span)

    async def lapse(self, node):
        """Removes the node's record from the store."""
        span = self.faults.begin("all", "lapse")
        for kind, name in list(self.mesh.store.objects):
            if name == node.name:
                await self.mesh.store.remove(kind, name)
        self.faults.end(span)

    async def cut(self, parts, command):
        spans = [self.faults.begin(part, "link") for part in parts]
        await self.mesh.forwarder.command(command)
        await asyncio.sleep(self.fault_duration())
        await self.mesh.forwarder.command(["heal", *command[1:3]])
        for span in spans:
            self.faults.end(span)

    async def cut_store(self, node):
        pair = ["outside", node.store_name]
        await self.cut([node.name], ["cut", *self.random.choice([pair, pair[::-1]])])

    async def cut_peer(self, node):
        other = self.random.choice(self.mesh.nodes)
        await self.cut([node.name, other.name], ["cut", node.name, other.name])

    async def delay(self, node):
        other = self.random.choice(self.mesh.nodes)
        seconds = str(self.random.uniform(0.01, 0.3))
        await self.cut([node.name, other.name], ["delay", node.name, other.name, seconds])

    async def break_connections(self, node):
        how = self.random.choice(["silence", "reset"])
        span = self.faults.begin("all", how)
        for other in self.mesh.nodes:
            await self.mesh.forwarder.command([how, node.name, other.name])
        await self.mesh.forwarder.command([how, "outside", node.store_name])
        self.faults.end(span)

    async def crash_server(self, node):
        if node.backend.is_changing:
            return
        node.backend.is_changing = True
        span = self.faults.begin(node.name, "server")
        await node.backend.crash()
        for run in [r for runs in self.mesh.runs.values() for r in runs]:
            run.was_truncated |= run.instance == node.backend.instance
        await asyncio.sleep(self.fault_duration())
        await node.backend.start()
        self.faults.end(span)

    async def release_server(self, node):
        if node.backend.is_changing:
            return
        node.backend.is_changing = True
        await node.backend.leave(self.random.random() < 0.5)
        await asyncio.sleep(self.random.uniform(0.1, 1.0))
        await node.backend.start()

    async def limit_server(self, node):
        """The server names a limit, at times a second and lower one, or 0."""
        if node.backend.limit_per_s is not None:
            return
        for _ in range(self.random.choice([1, 2])):
            per_s = self.random.choice([0, 0.5, 2, 6.5])
            await node.backend.name_limit(per_s, self.random.uniform(3, 7))

    async def leave_in_answers(self, node):
        if node.backend.is_changing:
            return
        node.backend.is_changing = True
        await node.backend.leave_without_report()
        await asyncio.sleep(self.random.uniform(0.1, 1.0))
        await node.backend.start()

    async def server_fault(self, node):
        node.backend.mode = self.random.choice(["full", "truncated", "garbled", "healthy"])
        node.backend.delay_s = self.random.choice([0.01, 0.3, 1.0])
        await asyncio.sleep(self.fault_duration())
        node.backend.mode, node.backend.delay_s = "healthy", 0.01

    async def change_config(self, _):
        for _ in range(self.random.choice([1, 1, 3])):
            await self.mesh.change_config()
            await asyncio.sleep(self.random.uniform(0.05, 0.5))

    async def reload(self, node):
        self.mesh.signal(node, signal.SIGHUP)


def run_one(arguments, seed):
    directory = pathlib.Path(arguments.out) / f"seed-{seed}"
    soak = Soak(arguments.build, directory, arguments.net, seed)
    began = time.monotonic()
    found = asyncio.run(soak.run(arguments.seconds))
    served = sum(1 for c in soak.calls.values() if c.status == 200)
    print(f"seed {seed}: {len(soak.calls)} calls, {served} served, {len(soak.events)} faults, "
          f"{len(found)} promises broken, {time.monotonic() - began:.0f} s", flush=True)
    for line in found[:20]:
        print(f"  {line}")
    if found:
        for when, fault, node in soak.events:
            print(f"    {when - began:7.2f} s {fault} {node}")
    return 1 if found else 0


def seeds_of(text):
    if text == "failed":
        lines = pathlib.Path(__file__).with_name("failed_seeds.txt").read_text().splitlines()
        return [int(line.split()[0]) for line in lines if line and not line.startswith("#")]
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def claim_networks(count):
    """Claims loopback networks that no other soak on this machine uses, until the process ends.
    Returns the socket that holds each claim, by network number."""
    claims = {}
    for net in NETWORKS:
        if len(claims) == count:
            break
        claim = socket.socket()
        try:
            claim.bind((f"127.{net}.0.2", CLAIM_PORT))
            claims[net] = claim
        except OSError:
            claim.close()
    return claims


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default=ROOT / "build")
    parser.add_argument("--out", default="/tmp/guavatrail-soak")
    parser.add_argument("--seeds", default="1")
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--net", type=int, default=0, help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    seeds = seeds_of(arguments.seeds)
    if arguments.net:
        return run_one(arguments, seeds[0])
    # Each seed runs in its own process and loopback network.
    claims = claim_networks(arguments.jobs)
    results, running, free = [], [], list(claims)
    while seeds or running:
        while seeds and free:
            net, seed = free.pop(), seeds.pop(0)
            command = [sys.executable, __file__, "--build", str(arguments.build), "--out",
                       str(arguments.out), "--seeds", str(seed), "--seconds",
                       str(arguments.seconds), "--net", str(net)]
            running.append((subprocess.Popen(command), net))
        for process, net in [r for r in running if r[0].poll() is not None]:
            results.append(process.returncode)
            running.remove((process, net))
            free.append(net)
        time.sleep(0.1)
    failed = sum(1 for code in results if code != 0)
    print(f"{len(results)} seeds, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
