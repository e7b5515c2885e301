"""Guards against crowds that keep ordinary callers out because they occupy the connections of a port,
or the descriptors of the process, and stay.

usage: full_ports_test.py PATH_OF_GUAVATRAILD [-v] [TEST...]
"""
from memory_case import MemoryCase, run_tests
from swarm import Script, get, repeated, unfinished_body

MAX_DESCRIPTORS = 320
CLIENTS = 400  # More than the process may have descriptors.
CONNECTIONS = 50
BODY_BYTES = 4_096


class FullPorts(MemoryCase):
    max_descriptors = descriptor_bound = MAX_DESCRIPTORS

    def run_crowd(self, address, *scripts):
        for script in scripts:
            script.connections = CONNECTIONS
        self.check_crowds(self.start_swarm(address, repeated(CLIENTS, *scripts)))

    def test_callers_that_stop_short_of_the_end(self):
        self.run_crowd(self.caller, unfinished_body("/own/stalled", BODY_BYTES),
                       Script(b"POST /own/stalled HTTP/1.1\r\nHo"))

    def test_callers_that_take_no_answer(self):
        self.run_crowd(self.caller, get("/large/own/1", reads="none", receive_buffer=BODY_BYTES))

    def test_peers_that_stop_short_of_the_end(self):
        self.run_crowd(self.peer, unfinished_body("/own/stalled", BODY_BYTES))

    def test_connections_to_the_readiness_port(self):
        self.run_crowd(self.ready, Script(b""), Script(b"GET /guavatrail/readyz HTTP/1.1\r\n"))

    def test_connections_to_the_control_port(self):
        self.run_crowd(self.control, Script(b""),
                       unfinished_body("/guavatrail/instances/i-1", BODY_BYTES))

    def test_connections_to_the_admin_port(self):
        self.run_crowd(self.admin, Script(b""), Script(b"GET /metrics HTTP/1.1\r\n"))


if __name__ == "__main__":
    run_tests()
