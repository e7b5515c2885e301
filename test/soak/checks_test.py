#!/usr/bin/env python3
"""Guards against a soak that finds nothing because a check of it never fires: each broken promise is
made up once and must be found, and a calm day must be found clean."""
import types
import unittest

from backend import Run
from callers import Call
from checks import Faults, violations
from wire import Message


class World:
    """One node, one server, and calls that were served well unless a test says otherwise."""

    def __init__(self):
        backend = types.SimpleNamespace(late_arrivals=[])
        self.node = types.SimpleNamespace(name="node-1", service="front", backend=backend)
        self.mesh = types.SimpleNamespace(nodes=[self.node], runs={}, unexpected_ends=[],
                                          versions=[1, 2], acknowledged={1: 0.0, 2: 10.0})
        self.calls, self.faults = {}, Faults()

    def call(self, name, method="GET", target="/parts/1", sent=20.0, status=200, end="answer",
             runs=1):
        call = Call(name, self.node, 1, method, target, b"", sent, sent + 0.1, end, status)
        for _ in range(runs):
            headers = {"x-request-id": name, "x-caller-service": "front"}
            run = Run(Message(method, target, headers, b""), "catalogo", "i-1")
            run.time = sent
            self.mesh.runs.setdefault(name, []).append(run)
        call.headers = {"x-request-id": name, "x-response-stamp": "i-1.4"} if status == 200 else {}
        call.answer = b"done"
        self.calls[name] = call
        return call

    def found(self):
        return [line.split()[0] for line in violations(self.mesh, self.calls, self.faults)]


class ChecksFire(unittest.TestCase):
    def setUp(self):
        self.world = World()

    def expect(self, *promises):
        self.assertEqual(self.world.found(), list(promises))

    def test_a_calm_day_is_clean(self):
        self.world.call("a")
        self.world.call("b", method="POST")
        self.world.call("c", target="/v2/1", sent=11.0, status=404, runs=0)
        self.expect()

    def test_unasked(self):
        self.world.call("a")
        del self.world.calls["a"]
        self.world.call("b").target = "/parts/2"
        self.world.call("c")
        self.world.mesh.runs["c"][0].caller = "another"
        self.expect("UNASKED", "UNASKED", "UNASKED")

    def test_mixed(self):
        self.world.call("a").answer = b"do"
        self.world.call("b").headers["x-request-id"] = "a"
        self.world.call("c").headers["x-response-stamp"] = "i-2.4"
        self.expect("MIXED", "MIXED", "MIXED")

    def test_twice_and_refused(self):
        self.world.call("a", method="POST", runs=2)
        self.world.call("b", method="POST", status=503)
        self.expect("TWICE", "REFUSED")

    def test_denied(self):
        self.world.call("a", status=404, runs=0)
        self.expect("DENIED")

    def test_config_late_and_backwards(self):
        self.world.call("a", target="/v2/1", sent=12.5, status=404, runs=0)
        self.world.call("b", target="/v1/1", sent=1.0)
        self.world.call("c", target="/v1/2", sent=1.5, status=404, runs=0)
        self.expect("CONFIG", "CONFIG")

    def test_config_of_a_disturbed_node_is_not_judged(self):
        self.world.call("a", target="/v2/1", sent=12.5, status=404, runs=0)
        self.world.faults.spans.append(["node-1", 10.0, 11.0, "pause"])
        self.expect()

    def test_lost_around_a_planned_stop_only(self):
        self.world.call("a", end="closed", status=0)
        self.expect()
        self.world.faults.spans.append(["node-1", 20.05, 22.0, "stop"])
        self.expect("LOST")
        self.world.faults.spans.append(["node-1", 19.0, 19.5, "link"])
        self.expect()

    def test_drain_and_ended(self):
        self.world.call("a")
        self.world.node.backend.late_arrivals.append(("a", 0.5))
        self.world.mesh.unexpected_ends.append(("node-1", 1, 139))
        self.expect("ENDED", "DRAIN")


if __name__ == "__main__":
    unittest.main()
