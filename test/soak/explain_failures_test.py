#!/usr/bin/env python3
"""Guards against failed requests that cannot be explained afterwards. Causes three kinds of failure
in real processes and traces each from its request id to its cause, using only the logs and metrics
of the nodes as described in docs/operations.md.

usage: explain_failures_test.py [--build DIR]
"""
import argparse
import asyncio
import random
import re
import sys
import tempfile
import time
import unittest
import urllib.request

from backend import DRAIN_S
from callers import Caller
from mesh import ADMIN, ROOT, Mesh

BUILD = ROOT / "build"
NET = 58  # Loopback network 127.58.0.0/16, which no other test uses.
LOG_WAIT_S = 2.0


def fields_of(line):
    return dict(re.findall(r'(\w+)=("[^"]*"|\S*)', line))


class Logs:
    """The log lines and metrics of the nodes, as an operator sees them."""

    def __init__(self, mesh):
        self.mesh = mesh

    def lines(self, node, **wanted):
        text = (self.mesh.dir / f"{node}.log").read_text()
        found = [fields_of(line) for line in text.splitlines() if "event=" in line]
        return [f for f in found if all(f.get(k) == v for k, v in wanted.items())]

    def entry_line(self, call):
        lines = [line for node in self.mesh.nodes
                 for line in self.lines(node.name, event="request", id=call.id)]
        assert len(lines) == 1, f"{call.id}: {len(lines)} lines of entry nodes, expected 1"
        return lines[0]

    def served_lines(self, entry):
        lines = self.lines(entry["last_node"], event="served")
        return [line for line in lines if line["try_id"].startswith(entry["try_id"] + ".")]

    def metric(self, node, name):
        ip = next(n.ip for n in self.mesh.nodes if n.name == node)
        with urllib.request.urlopen(f"http://{ip}:{ADMIN}/metrics", timeout=2) as answer:
            lines = answer.read().decode().splitlines()
        values = [float(line.rpartition(" ")[2]) for line in lines if line.startswith(name)]
        return sum(values)


class ExplainFailures(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.directory = tempfile.TemporaryDirectory()
        self.mesh = Mesh(BUILD, self.directory.name, NET, 1)
        self.addAsyncCleanup(self.end)
        await self.mesh.start()
        self.logs, self.calls = Logs(self.mesh), {}
        self.orders = [n for n in self.mesh.nodes if n.service == "encomendas"]
        self.caller = Caller(self.mesh, self.mesh.nodes[0], 0, random.Random(1), self.calls)
        for _ in range(100):
            if (await self.order()).status == 200:
                return
            await asyncio.sleep(0.1)
        self.fail("no order succeeded within 100 attempts after the start of the mesh")

    async def end(self):
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        await self.mesh.stop()
        self.directory.cleanup()

    async def order(self):
        """Sends an order. Returns the call once its lines are in the logs."""
        self.caller.count += 1
        await self.caller.call("POST", f"/orders/{self.caller.count}", b"an order")
        call = list(self.calls.values())[-1]
        await self.until(lambda: self.logs.lines(self.caller.node.name, id=call.id), LOG_WAIT_S)
        # The serving node may write its line slightly later than the entry node.
        await asyncio.sleep(0.3)
        return call

    def draining_nodes(self):
        """Returns the nodes whose servers are draining according to the log of the entry node."""
        return {line["node"] for line in self.logs.lines(
            self.caller.node.name, event="endpoint_seen", service="encomendas", draining="1")}

    async def until(self, condition, limit_s):
        end = time.monotonic() + limit_s
        while not condition():
            self.assertLess(time.monotonic(), end, f"not within {limit_s} s")
            await asyncio.sleep(0.02)

    async def test_refused_because_all_servers_leave(self):
        leaving = [asyncio.create_task(n.backend.leave(True)) for n in self.orders]
        # The node batches changes of the store, so it may learn of the second leave later.
        await self.until(lambda: self.draining_nodes() == {n.name for n in self.orders}, DRAIN_S)
        call = await self.order()
        self.assertEqual(call.status, 503)
        entry = self.logs.entry_line(call)
        self.assertEqual((entry["outcome"], entry["reason"]), ("refused", "no_server"))
        self.assertEqual((entry["may_have_run"], entry["tries"]), ("0", "0"))
        # The log shows that all servers of the service were draining, and why.
        draining = self.draining_nodes()
        self.assertEqual(draining, {n.name for n in self.orders})
        for node in draining:
            closed = self.logs.lines(node, event="gate_closed", reason="draining")
            reports = self.logs.lines(node, event="server_report", state="draining")
            self.assertEqual(reports[0]["server"], closed[0]["server"])
        metric = self.logs.metric(self.caller.node.name, 'calls_total{service="encomendas"')
        self.assertGreaterEqual(metric, 1)
        for task in leaving:
            task.cancel()

    async def test_outcome_unknown_because_the_answer_was_invalid(self):
        for node in self.orders:
            node.backend.mode = "garbled"
        call = await self.order()
        self.assertEqual(call.status, 502)
        entry = self.logs.entry_line(call)
        self.assertEqual((entry["outcome"], entry["may_have_run"]), ("unknown", "1"))
        served = self.logs.served_lines(entry)
        self.assertEqual(len(served), 1)
        self.assertEqual((served[0]["outcome"], served[0]["reason"]), ("unknown", "broken"))
        instance = self.mesh.runs[call.id][0].instance
        self.assertEqual(served[0]["server"], instance)

    async def test_late_because_the_server_was_slow(self):
        for node in self.orders:
            node.backend.delay_s = 0.65
        call = await self.order()
        self.assertEqual(call.status, 200)
        entry = self.logs.entry_line(call)
        self.assertGreater(int(entry["ms"]), 300)
        served = self.logs.served_lines(entry)[-1]
        self.assertGreater(int(served["server_ms"]), 300)
        self.assertLess(int(served["queue_ms"]), 100)
        self.assertEqual(served["server"], self.mesh.runs[call.id][0].instance)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default=BUILD)
    arguments, rest = parser.parse_known_args()
    BUILD = arguments.build
    unittest.main(argv=[sys.argv[0], *rest])
