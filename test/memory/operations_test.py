"""Guards against crowds that a node bears by themselves, but not beside what it has to bear anyway:
ordinary load, changes of the configuration, restarts of servers and a planned stop.

usage: operations_test.py PATH_OF_GUAVATRAILD [-v] [TEST...]
"""
import signal
import threading

from memory_case import MemoryCase, run_tests
from site_under_test import WAIT_S
from swarm import MIB, get, repeated, unfinished_body, unfinished_chunks

CLIENTS = 200
LOAD_THREADS = 4
STALL_BYTES = 40_000
SHORT_LIMITS = {"header-timeout-s": 1, "idle-timeout-s": 2}


class CrowdBesideOperations(MemoryCase):
    def setUp(self):
        super().setUp()
        self.stops_load = threading.Event()
        self.load = [threading.Thread(target=self.run_load, daemon=True)
                     for _ in range(LOAD_THREADS)]
        for thread in self.load:
            thread.start()

    def stop(self):
        self.stops_load.set()
        for thread in self.load:
            thread.join()
        super().stop()

    def run_load(self):
        while not self.stops_load.wait(0.01):
            self.is_answered("/parts/load")

    def start_crowds(self):
        bodies = repeated(CLIENTS, unfinished_body("/own/many", MIB, connections=3),
                          unfinished_chunks("/own/many", MIB // 4, [1, 2, 3], connections=3),
                          get("/large/own/1", reads="drip", receive_buffer=4096))
        return (self.start_swarm(self.caller, bodies),
                self.start_swarm(self.peer, repeated(CLIENTS, *bodies[:2])))

    def test_changes_and_a_restart_of_the_servers(self):
        crowds = self.start_crowds()
        self.site.change_config()
        self.site.restart_servers()
        self.site.change_config()
        self.check_crowds(*crowds)

    def test_planned_stop(self):
        crowds = self.start_crowds()
        for crowd in crowds:
            crowd.wait_until_quiet()
        self.check_processes()
        process = self.site.nodes[0].process
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(WAIT_S), 0)


class CrowdThatOutstaysTheLimits(MemoryCase):
    max_descriptors = descriptor_bound = 320
    limits = SHORT_LIMITS

    def test_stalled_and_idle_connections_return_when_they_are_closed(self):
        scripts = (unfinished_body("/own/stalled", STALL_BYTES, connections=8),
                   get("/own/idle", connections=8), get("/large/own/1", reads="drip",
                                                        receive_buffer=4096, connections=8))
        self.check_crowds(self.start_swarm(self.caller, repeated(2 * CLIENTS, *scripts)),
                          self.start_swarm(self.peer, repeated(CLIENTS, scripts[0])))


if __name__ == "__main__":
    run_tests()
