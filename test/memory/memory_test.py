"""Guards against nodes that exceed the memory of their VM, or end or hang, because of what untrusted
clients send. Checks only that the processes live, that their memory and descriptors stay under
fixed bounds, and that ordinary requests are answered.

usage: memory_test.py PATH_OF_GUAVATRAILD [-v] [TEST...]
"""
import sys
import unittest

from crowd import MIB, PIECE, Crowd, status_of
from site_under_test import CALLER, PEER, Site, wait_until

DAEMON = ""
MEMORY_MB = 100
MAX_BODY = 16 * MIB
# The processes of a VM of MEMORY_MB must fit into it.
MAX_RESIDENT_BYTES = MEMORY_MB * 1_000_000
MAX_DESCRIPTORS = 256
CLIENTS = 24  # Of each shape; a few of them complete their requests.
COMPLETE = 4


class MemoryTest(unittest.TestCase):
    memory_mb, max_body = MEMORY_MB, MAX_BODY

    def setUp(self):
        self.site = Site(DAEMON, self.memory_mb, self.max_body)
        self.addCleanup(self.stop)
        self.crowds = []
        self.site.start()
        self.node = self.site.nodes[0]
        self.caller, self.peer = (self.node.ip, CALLER), (self.node.ip, PEER)
        wait_until(lambda: self.answers(self.caller, "/parts/1") and
                   self.answers(self.caller, "/own/1"))

    def stop(self):
        for crowd in self.crowds:
            crowd.close()
        self.site.stop(keep_logs=not self._outcome.success)

    def answers(self, address, target, body=b"x" * 1024):
        try:
            return status_of(address, target, body) == 200
        except OSError:
            return False

    def crowd(self, address, target):
        self.crowds.append(Crowd(address, target))
        return self.crowds[-1]

    def check_processes(self, max_resident):
        for node in self.site.nodes:
            self.assertIsNone(node.process.poll(), f"{node.name} has ended")
            resident, peak = node.memory_bytes("VmRSS"), node.memory_bytes("VmHWM")
            print(f"{self.id().split('.')[-1]} {node.name}: resident {resident / 1e6:.1f} MB, "
                  f"peak {peak / 1e6:.1f} MB, {node.descriptors()} descriptors", flush=True)
            self.assertLess(resident, max_resident, node.name)
            self.assertLess(peak, max_resident, node.name)
            self.assertLess(node.descriptors(), MAX_DESCRIPTORS, node.name)

    def run_crowd(self, crowd):
        """An ordinary request is answered while the crowd sends, and when all is sent."""
        crowd.start()
        during = status_of(self.caller, "/parts/during", b"x" * 1024)
        crowd.wait_until_sent()
        self.check_processes(MAX_RESIDENT_BYTES)
        self.assertEqual(during, 200)
        self.assertEqual(status_of(self.caller, "/parts/after", b"x" * 1024), 200)
        self.assertEqual(status_of(self.caller, "/own/after", b"x" * 1024), 200)
        self.check_processes(MAX_RESIDENT_BYTES)


class UnfinishedBodies(MemoryTest):
    def add_lengths(self, crowd):
        for number in range(CLIENTS):
            sent = MAX_BODY if number < COMPLETE else MAX_BODY - 1 - number
            crowd.add_length(MAX_BODY, sent, MAX_BODY if number % 2 else PIECE)

    def test_whole_or_in_pieces(self):
        crowd = self.crowd(self.caller, "/own/large")
        self.add_lengths(crowd)
        self.run_crowd(crowd)

    def test_at_the_peer_port(self):
        crowd = self.crowd(self.peer, "/own/large")
        self.add_lengths(crowd)
        # The bodies that every version accepts at this port.
        for number in range(5 * CLIENTS):
            crowd.add_length(MIB, MIB - 1 - number, PIECE)
        self.run_crowd(crowd)


class ChunkedBodies(MemoryTest):
    def add_chunked(self, crowd, size):
        for number in range(CLIENTS):
            crowd.add_chunked(size - number, [PIECE], ends=number < COMPLETE)
        for number in range(CLIENTS // 2):
            crowd.add_chunked(MIB - number, [1, 2, 3], ends=number < COMPLETE)

    def test_large_and_tiny_chunks(self):
        crowd = self.crowd(self.caller, "/own/chunked")
        self.add_chunked(crowd, MAX_BODY)
        self.run_crowd(crowd)

    def test_at_the_peer_port(self):
        crowd = self.crowd(self.peer, "/own/chunked")
        for _ in range(5):
            self.add_chunked(crowd, MIB)
        self.run_crowd(crowd)


class BodiesOverTheLimit(MemoryTest):
    def add_too_large(self, crowd):
        for number in range(CLIENTS):
            crowd.add_length(1024 * MIB, 2 * MAX_BODY, PIECE)
            crowd.add_chunked(2 * MAX_BODY, [PIECE])

    def test_announced_or_just_sent(self):
        crowd = self.crowd(self.caller, "/own/too-large")
        self.add_too_large(crowd)
        self.run_crowd(crowd)

    def test_at_the_peer_port(self):
        crowd = self.crowd(self.peer, "/own/too-large")
        self.add_too_large(crowd)
        self.run_crowd(crowd)


class QueuedBodies(MemoryTest):
    """The bodies of complete requests that wait for a server that does not answer."""

    def run_queue(self, address, body_bytes, clients):
        crowd = self.crowd(address, "/slow/large")
        for number in range(clients):
            crowd.add_length(body_bytes, body_bytes, PIECE)
        crowd.start()
        during = status_of(self.caller, "/parts/during", b"x" * 1024)
        crowd.wait_until_sent()
        self.check_processes(MAX_RESIDENT_BYTES)
        self.assertEqual(during, 200)
        self.assertEqual(status_of(self.caller, "/parts/after", b"x" * 1024), 200)
        self.check_processes(MAX_RESIDENT_BYTES)

    def test_at_the_caller_port(self):
        self.run_queue(self.caller, MAX_BODY, CLIENTS)

    def test_at_the_peer_port(self):
        self.run_queue(self.peer, MIB, 5 * CLIENTS)


class LargestBody(MemoryTest):
    """A body of 64 MiB is served in calm on a VM of 160 MB, also by the node that receives it."""
    memory_mb, max_body = 160, 64 * MIB

    def test_body_of_64_mib_is_served(self):
        for target in ("/own/largest", "/parts/largest"):
            self.assertEqual(status_of(self.caller, target, b"x" * (64 * MIB)), 200, target)
            self.check_processes(160_000_000)

    def test_chunked_body_of_64_mib_is_served(self):
        body = (b"x" * PIECE for _ in range(64 * MIB // PIECE))
        self.assertEqual(status_of(self.caller, "/own/largest", body), 200)
        self.check_processes(160_000_000)


if __name__ == "__main__":
    DAEMON = sys.argv.pop(1)
    unittest.main()
