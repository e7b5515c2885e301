"""Crowds as large as those of the users' trial, on VMs as small as theirs. Takes some minutes and is
run by hand; the tests of CI use smaller crowds and lower limits.

usage: large_crowds.py PATH_OF_GUAVATRAILD [-v] [TEST...]
"""
from memory_case import MemoryCase, run_tests
from swarm import MIB, get, repeated, unfinished_body, unfinished_chunks

CLIENTS = 1_000
TINY_CHUNKS = unfinished_chunks("/own/many", MIB // 2, [1, 2, 3], connections=2)
BODY = unfinished_body("/own/many", MIB, connections=2)


class LargeCrowds(MemoryCase):
    memory_mb, max_descriptors, descriptor_bound = 160, 4_100, 4_100

    def test_tiny_chunks(self):
        self.check_crowds(self.start_swarm(self.caller, repeated(2 * CLIENTS, TINY_CHUNKS)))

    def test_bodies_at_both_ports(self):
        bodies = repeated(CLIENTS, BODY)
        self.check_crowds(self.start_swarm(self.caller, bodies),
                          self.start_swarm(self.peer, bodies))

    def test_answers_that_are_not_taken(self):
        reader = get("/large/other", reads="none", receive_buffer=4_096)
        self.check_crowds(self.start_swarm(self.caller, repeated(CLIENTS, reader)))

    def test_all_together(self):
        reader = get("/large/other", reads="drip", receive_buffer=4_096)
        callers = repeated(CLIENTS, TINY_CHUNKS, BODY, reader)
        self.check_crowds(self.start_swarm(self.caller, callers),
                          self.start_swarm(self.peer, repeated(CLIENTS, BODY)))


if __name__ == "__main__":
    run_tests()
