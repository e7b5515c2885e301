"""Guards against crowds whose bytes exceed the memory of the VM while they wait in the sockets of the
node. The platform counts what was received and not read like resident memory.

usage: many_clients_test.py PATH_OF_GUAVATRAILD [-v] [TEST...]
"""
from memory_case import MemoryCase, run_tests
from swarm import MIB, get, repeated, unfinished_body, unfinished_chunks

CLIENTS = 400
CONNECTIONS = 3  # Of each client in a row.
TINY_CHUNKS = [1, 2, 3]
LARGE_CHUNKS = [65_536]
READ_AHEAD_UNIT = 65_536


def bodies(target):
    return repeated(CLIENTS, unfinished_body(target, MIB, connections=CONNECTIONS),
                    unfinished_body(target, MIB, missing=40_000, connections=CONNECTIONS),
                    unfinished_body(target, 1024 * MIB, missing=1022 * MIB,
                                    connections=CONNECTIONS))


def chunked(target, sizes, wire_bytes):
    return repeated(CLIENTS, unfinished_chunks(target, wire_bytes, sizes, connections=CONNECTIONS))


class ManyClients(MemoryCase):
    def run_crowd(self, address, scripts):
        self.check_crowds(self.start_swarm(address, scripts))

    def test_bodies_at_the_caller_port(self):
        self.run_crowd(self.caller, bodies("/own/many"))

    def test_bodies_at_the_peer_port(self):
        self.run_crowd(self.peer, bodies("/own/many"))

    def test_tiny_chunks_at_the_caller_port(self):
        self.run_crowd(self.caller, chunked("/own/many", TINY_CHUNKS, MIB // 2))

    def test_tiny_chunks_at_the_peer_port(self):
        self.run_crowd(self.peer, chunked("/own/many", TINY_CHUNKS, MIB // 2))

    def test_large_chunks_at_the_caller_port(self):
        self.run_crowd(self.caller, chunked("/own/many", LARGE_CHUNKS, 3 * MIB))

    def test_large_chunks_at_the_peer_port(self):
        self.run_crowd(self.peer, chunked("/own/many", LARGE_CHUNKS, 3 * MIB))

    def test_bodies_at_the_readiness_port(self):
        self.run_crowd(self.ready, bodies("/guavatrail/readyz"))

    def test_bodies_at_the_control_port(self):
        self.run_crowd(self.control, bodies("/guavatrail/instances/i-1"))

    def test_bodies_at_the_admin_port(self):
        self.run_crowd(self.admin, bodies("/metrics"))


class ReadAhead(MemoryCase):
    # The crowd occupies all slots of the server of the attacked node.
    ordinary_targets = ("/parts/ordinary",)

    def test_input_behind_a_request_that_runs(self):
        script = get("/slow/ahead", unit=b"x" * READ_AHEAD_UNIT, body_bytes=MIB)
        self.check_crowds(self.start_swarm(self.caller, repeated(CLIENTS, script)))


if __name__ == "__main__":
    run_tests()
