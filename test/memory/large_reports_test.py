"""Guards against reports of backend servers that take many times their size when they are decoded.

usage: large_reports_test.py PATH_OF_GUAVATRAILD [-v] [TEST...]
"""
from crowd import Crowd
from memory_case import MemoryCase, run_tests
from swarm import MIB

CLIENTS = 4
PATH = "/guavatrail/instances/i-1"


class LargeReports(MemoryCase):
    memory_mb = 40

    def run_crowd(self, body):
        crowd = Crowd(self.control, PATH)
        for _ in range(CLIENTS):
            crowd.add(f"Content-Length: {len(body)}", [body], method="PUT")
        self.addCleanup(crowd.close)
        crowd.start()
        crowd.wait_until_sent()
        self.check_crowds()

    def test_deep_arrays(self):
        self.run_crowd(b"[" * MIB)

    def test_flat_arrays(self):
        self.run_crowd(b"[" + b"[]," * (MIB // 3 - 1) + b"0]")


if __name__ == "__main__":
    run_tests()
