#!/usr/bin/env python3
"""Tests the checks of the scenario runner: each must detect a violation of its promise. Needs the
stand-ins only, no nodes. usage: selftest.py [--build DIR]"""
import argparse
import os
import pathlib
import socket
import tempfile
import threading
import unittest

import traffic
from fleet import PEER, PLATFORM, ROOT, SERVER, Fleet, StepFailed, wait_until
from steps import Scenario, VersionMonitor

BUILD = ROOT / "build"
NET = (216 + os.getpid() % 30, 1)


class ScenarioChecksTest(unittest.TestCase):
    def setUp(self):
        self.dir = tempfile.TemporaryDirectory()
        self.scenario = Scenario(BUILD, pathlib.Path(self.dir.name), NET)
        self.fleet = self.scenario.fleet = Fleet(BUILD, self.dir.name, NET, links=True)
        self.fleet.add_nodes("gaveta-viva", 2)
        self.a, self.b = self.fleet.nodes.values()
        self.addCleanup(self.dir.cleanup)
        self.addCleanup(self.scenario.close)

    def test_truncated_answer_is_broken_and_not_ok(self):
        self.fleet.start_server(self.a)
        for path in ("/manuais/1?ms=3000", "/manuais/1?ms=3000&chunked=1"):
            results = []
            thread = threading.Thread(target=lambda p=path, r=results: r.append(
                traffic.call(self.a.ip, p, "t", port=SERVER)))
            thread.start()
            wait_until("download runs", 5, lambda: (
                self.fleet.server_stats(self.a)["running"] == 1))
            self.a.server.kill()
            thread.join()
            self.assertEqual("broken", results[0].kind, str(results[0]))
            self.fleet.start_server(self.a)

    def test_answer_to_another_request_is_wrong(self):
        answer = type("A", (), {"status": 200, "headers": {"X-Request-Tag": "other"}})
        self.assertEqual("wrong", traffic.classify(answer, b"", "mine")[0])
        answer.headers = {"X-Request-Tag": "mine", "X-Body-Digest": "00"}
        self.assertEqual("wrong", traffic.classify(answer, b"short", "mine")[0])

    def test_executions_that_contradict_the_outcome_are_detected(self):
        self.fleet.start_server(self.a)
        for tag, runs, kind, is_valid in (("k1", 1, "ok", True), ("k2", 2, "ok", False),
                                          ("k3", 0, "ok", False), ("k4", 1, "not-run", False),
                                          ("k5", 2, "unknown", False), ("k6", 1, "unknown", True)):
            for _ in range(runs):
                traffic.call(self.a.ip, "/x", "t", "POST", {"X-Order-Tag": tag}, port=SERVER)
            self.scenario.orders = {tag: traffic.Result(kind)}
            if is_valid:
                self.scenario.check_orders()
            else:
                self.assertRaises(StepFailed, self.scenario.check_orders)

    def test_forwarder_cuts_one_way_silences_and_heals(self):
        self.fleet.start_forwarder()
        listener = socket.create_server((self.b.ip, PEER))
        self.addCleanup(listener.close)

        def connect():
            out = socket.create_connection((self.b.advertised, PEER), 5, (self.a.ip, 0))
            inner, _ = listener.accept()
            for end in (out, inner):
                end.settimeout(0.3)
                self.addCleanup(end.close)
            return out, inner

        out, inner = connect()
        self.fleet.forward(f"cut {self.a.name} {self.b.name}")
        out.sendall(b"late")
        self.assertRaises(TimeoutError, inner.recv, 10)
        inner.sendall(b"back")
        self.assertEqual(b"back", out.recv(10))
        self.fleet.forward("heal")
        self.assertEqual(b"late", inner.recv(10))
        self.fleet.forward(f"silence {self.a.name} {self.b.name}")
        self.fleet.forward("heal")
        out.sendall(b"lost")
        self.assertRaises(TimeoutError, inner.recv, 10)
        out2, inner2 = connect()
        out2.sendall(b"works")
        self.assertEqual(b"works", inner2.recv(10))

    # Guards against the end of one fault that ends another one too.
    def test_forwarder_heals_only_the_named_direction(self):
        self.fleet.start_forwarder()
        listener = socket.create_server((self.b.ip, PEER))
        self.addCleanup(listener.close)
        out = socket.create_connection((self.b.advertised, PEER), 5, (self.a.ip, 0))
        inner, _ = listener.accept()
        for end in (out, inner):
            end.settimeout(0.3)
            self.addCleanup(end.close)
        self.fleet.forward(f"cut {self.a.name} {self.b.name}")
        self.fleet.forward(f"cut {self.b.name} {self.a.name}")
        self.fleet.forward(f"heal {self.a.name} {self.b.name}")
        out.sendall(b"there")
        self.assertEqual(b"there", inner.recv(10))
        inner.sendall(b"back")
        self.assertRaises(TimeoutError, out.recv, 10)
        self.fleet.forward(f"heal {self.b.name} {self.a.name}")
        self.assertEqual(b"back", out.recv(10))

    def test_platform_faults_are_set_by_the_steps(self):
        self.fleet.start_platform()
        self.scenario.step("platform down")
        answer = traffic.call(self.fleet.platform_ip, "/v1/objects/x", "t", port=PLATFORM)
        self.assertEqual(503, answer.status)
        self.scenario.step("platform ok")
        answer = traffic.call(self.fleet.platform_ip, "/v1/objects/x", "t", port=PLATFORM)
        self.assertEqual(404, answer.status)

    def test_serving_a_lower_version_is_detected(self):
        for node in self.fleet.nodes.values():
            node.status = lambda: None
        versions = iter([{"state": "serving", "version": 5}, {"state": "starting", "version": 0}])
        self.a.status = lambda: next(versions, {"state": "serving", "version": 4})
        self.fleet.statuses = lambda nodes: {n.name: n.status() for n in nodes}
        monitor = VersionMonitor(self.fleet)
        self.addCleanup(monitor.end)
        wait_until("lower version is detected", 5, lambda: bool(monitor.backward))


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default=BUILD, type=pathlib.Path)
    BUILD = parser.parse_args().build
    unittest.main(argv=["selftest"])
