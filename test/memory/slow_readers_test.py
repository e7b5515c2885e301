"""Guards against clients that keep answers in the memory of the node because they take nothing of
them, or very little at a time.

usage: slow_readers_test.py PATH_OF_GUAVATRAILD [-v] [TEST...]
"""
from memory_case import MemoryCase, run_tests
from swarm import get, repeated

CLIENTS = 400
RECEIVE_BUFFER_BYTES = 4_096


class SlowReaders(MemoryCase):
    def run_crowd(self, address, target, reads):
        script = get(target, reads=reads, receive_buffer=RECEIVE_BUFFER_BYTES)
        self.check_crowds(self.start_swarm(address, repeated(CLIENTS, script)))

    def test_no_byte_is_taken(self):
        self.run_crowd(self.caller, "/large/other", "none")

    def test_no_byte_is_taken_from_the_own_server(self):
        self.run_crowd(self.caller, "/large/own/1", "none")

    def test_single_bytes_are_taken(self):
        self.run_crowd(self.caller, "/large/other", "drip")

    def test_metrics_are_not_taken(self):
        self.run_crowd(self.admin, "/metrics", "none")

    def test_answers_of_other_ports_are_not_taken(self):
        scripts = [get("/guavatrail/readyz", reads="none"), get("/guavatrail/none", reads="none")]
        for script in scripts:
            script.unit, script.body_bytes = script.head, 2_000 * len(script.head)
        self.check_crowds(self.start_swarm(self.ready, repeated(CLIENTS, scripts[0])),
                          self.start_swarm(self.control, repeated(CLIENTS, scripts[1])))


if __name__ == "__main__":
    run_tests()
