"""The base of the tests of untrusted clients: two nodes, crowds, and the checks that all share."""
import sys
import time
import unittest

from crowd import status_of
from node_usage import UsageSampler
from site_under_test import ADMIN, CALLER, CONTROL, PEER, READY, WAIT_S, Site
from swarm import Swarm

BYTES_PER_MB = 1_000_000
RETRY_INTERVAL_S = 0.2
ORDINARY_BODY = b"x" * 1024


class MemoryCase(unittest.TestCase):
    daemon = ""
    # The first of two nodes, which is the one attacked, and the other one have this much memory.
    memory_mb, max_body = 60, 1 << 20
    max_descriptors, limits = 0, None
    descriptor_bound = 1_000
    # Requests that are served by the other node, and by the attacked one itself.
    ordinary_targets = ("/parts/ordinary", "/own/ordinary")

    def make_site(self):
        return Site(self.daemon, self.memory_mb, self.max_body, self.max_descriptors, self.limits)

    def set_addresses(self, ip):
        self.caller, self.peer, self.admin = (ip, CALLER), (ip, PEER), (ip, ADMIN)
        self.control, self.ready = (ip, CONTROL), (ip, READY)

    def setUp(self):
        self.site = self.make_site()
        self.swarms, self.sampler = [], None
        self.addCleanup(self.stop)
        self.site.start()
        self.set_addresses(self.site.nodes[0].ip)
        self.check_ordinary_requests()
        self.sampler = UsageSampler(self.site.nodes)
        self.sampler.start()

    def stop(self):
        for swarm in self.swarms:
            swarm.stop()
        if self.sampler is not None:
            self.sampler.stop()
        self.site.stop(keep_logs=not self._outcome.success)

    def start_swarm(self, address, scripts):
        self.swarms.append(Swarm(address, scripts))
        self.swarms[-1].start()
        return self.swarms[-1]

    def is_answered(self, target):
        try:
            return status_of(self.caller, target, ORDINARY_BODY) == 200
        except OSError:
            return False

    def check_ordinary_requests(self):
        """An ordinary caller, who repeats what is refused, gets its answers."""
        for target in self.ordinary_targets:
            end = time.monotonic() + WAIT_S
            while not self.is_answered(target):
                self.assertLess(time.monotonic(), end, f"{target} is not answered")
                time.sleep(RETRY_INTERVAL_S)

    def check_processes(self):
        for node in self.site.nodes:
            self.assertIsNone(node.process.poll(), f"{node.name} has ended")
            self.sampler.sample(node)
            # Between two samples the resident memory may have been higher.
            resident = node.memory_bytes("VmHWM")
            self.sampler.peak_bytes[node.name] = max(resident, self.sampler.peak_bytes[node.name])
            peak, unread = self.sampler.peak_bytes[node.name], self.sampler.peak_unread[node.name]
            descriptors = self.sampler.peak_descriptors[node.name]
            print(f"{self.id().split('.', 1)[-1]} {node.name}: peak {peak / 1e6:.1f} MB of "
                  f"{self.memory_mb} MB, at most {unread / 1e6:.1f} MB of them unread, "
                  f"{descriptors} descriptors", flush=True)
        for node in self.site.nodes:
            self.assertLess(self.sampler.peak_bytes[node.name], self.memory_mb * BYTES_PER_MB,
                            node.name)
            self.assertLess(self.sampler.peak_descriptors[node.name], self.descriptor_bound,
                            node.name)

    def check_crowds(self, *swarms):
        """Lets the crowds send all that the node takes. They stay while the checks run."""
        for swarm in swarms:
            swarm.wait_until_quiet()
        self.check_ordinary_requests()
        self.check_processes()


def run_tests():
    MemoryCase.daemon = sys.argv.pop(1)
    unittest.main()
