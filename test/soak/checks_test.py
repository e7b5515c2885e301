#!/usr/bin/env python3
"""Guards against checks of the soak that never fire: each violation is constructed once and must be
reported, and a run without violations must be reported as clean."""
import types
import unittest

from backend import Run
from callers import Call
from checks import Faults, violations
from wire import Message


class RunRecord:
    """The records of a run with one node, one server, and calls that succeed by default."""

    def __init__(self):
        backend = types.SimpleNamespace(late_arrivals=[], arrivals=[], limits=[])
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


class SoakChecksTest(unittest.TestCase):
    def setUp(self):
        self.record = RunRecord()

    def expect(self, *promises):
        self.assertEqual(self.record.found(), list(promises))

    def test_run_without_violations_is_clean(self):
        self.record.call("a")
        self.record.call("b", method="POST")
        self.record.call("c", target="/v2/1", sent=11.0, status=404, runs=0)
        self.expect()

    def test_unasked(self):
        self.record.call("a")
        del self.record.calls["a"]
        self.record.call("b").target = "/parts/2"
        self.record.call("c")
        self.record.mesh.runs["c"][0].caller = "another"
        self.expect("UNASKED", "UNASKED", "UNASKED")

    def test_mixed(self):
        self.record.call("a").answer = b"do"
        self.record.call("b").headers["x-request-id"] = "a"
        self.record.call("c").headers["x-response-stamp"] = "i-2.4"
        self.expect("MIXED", "MIXED", "MIXED")

    def test_twice_and_refused(self):
        self.record.call("a", method="POST", runs=2)
        self.record.call("b", method="POST", status=503)
        self.expect("TWICE", "REFUSED")

    def test_denied(self):
        self.record.call("a", status=404, runs=0)
        self.expect("DENIED")

    def arrive(self, name, sent, header=None):
        """A call that reaches the server, and whose answer has `header` if one is named."""
        call = self.record.call(name, sent=sent)
        if header:
            call.headers[header] = "1"
        self.record.node.backend.arrivals.append((sent, "i-1", name))

    def test_leave_stated_in_an_answer(self):
        self.arrive("a", 20.0, "server-leaving")
        self.arrive("b", 22.0)
        self.expect()
        self.arrive("c", 22.3)
        self.expect("DRAIN")

    def test_leave_is_forgotten_with_the_process(self):
        self.arrive("a", 20.0, "server-leaving")
        self.arrive("b", 23.0)
        self.record.calls["b"].boot = 2
        self.expect()

    def test_limit_over_all_nodes(self):
        self.record.node.backend.limits.append(["i-1", 10.0, 30.0, 2])
        self.arrive("first", 10.0, "server-limit")
        for i in range(17):
            self.arrive(f"a{i}", 20.0 + 0.1 * i)
        self.expect()
        self.arrive("last", 23.9)
        self.expect("LIMIT")

    def test_limit_binds_only_nodes_that_relayed_it(self):
        self.record.node.backend.limits.append(["i-1", 10.0, 30.0, 2])
        for i in range(40):
            self.arrive(f"a{i}", 20.0 + 0.1 * i)
        self.expect()

    def test_config_late_and_backwards(self):
        self.record.call("a", target="/v2/1", sent=12.5, status=404, runs=0)
        self.record.call("b", target="/v1/1", sent=1.0)
        self.record.call("c", target="/v1/2", sent=1.5, status=404, runs=0)
        self.expect("CONFIG", "CONFIG")

    def test_config_is_not_checked_on_nodes_with_faults(self):
        self.record.call("a", target="/v2/1", sent=12.5, status=404, runs=0)
        self.record.faults.spans.append(["node-1", 10.0, 11.0, "pause"])
        self.expect()

    def test_lost_applies_to_planned_stops_only(self):
        self.record.call("a", end="closed", status=0)
        self.expect()
        self.record.faults.spans.append(["node-1", 20.05, 22.0, "stop"])
        self.expect("LOST")
        self.record.faults.spans.append(["node-1", 19.0, 19.5, "link"])
        self.expect()

    def test_drain_and_ended(self):
        self.record.call("a")
        self.record.node.backend.late_arrivals.append(("a", 0.5))
        self.record.mesh.unexpected_ends.append(("node-1", 1, 139))
        self.expect("ENDED", "DRAIN")


if __name__ == "__main__":
    unittest.main()
