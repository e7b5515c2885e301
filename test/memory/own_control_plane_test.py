"""Guards against crowds that exhaust the memory or the descriptors of a node with the project's own
control plane, which listens on other ports than a node on the users' platform.

usage: own_control_plane_test.py PATH_OF_GUAVATRAILD [-v] [TEST...]
"""
from fleet_site import FleetSite, fleet
from memory_case import MemoryCase, run_tests
from swarm import MIB, Script, repeated, unfinished_body, unfinished_chunks

CLIENTS = 400
CONNECTIONS = 3  # Of each client in a row.
MAX_DESCRIPTORS = 320
FRAME_BYTES = 1_900_000  # Less than the largest message that the port accepts.
# The greeting of ZMTP 3.0 with the mechanism CURVE, and the head of a long command frame.
GREETING = b"\xff" + bytes(8) + b"\x7f\x03\x00" + b"CURVE".ljust(20, b"\0") + bytes(32)
FRAME_HEAD = b"\x06" + FRAME_BYTES.to_bytes(8, "big")


class OwnControlPlane(MemoryCase):
    ordinary_targets = ("/catalogo/1",)

    def make_site(self):
        return FleetSite(self.daemon, self.memory_mb, self.max_descriptors)

    def set_addresses(self, ip):
        self.caller, self.peer = (ip, fleet.CALLER), (ip, fleet.PEER)
        self.admin, self.control = (ip, fleet.ADMIN), (ip, fleet.CONTROL)

    def run_crowd(self, address, *scripts):
        for script in scripts:
            script.connections = CONNECTIONS
        self.check_crowds(self.start_swarm(address, repeated(CLIENTS, *scripts)))


class OwnControlPlaneMemory(OwnControlPlane):
    def test_bodies_at_the_caller_port(self):
        self.run_crowd(self.caller, unfinished_body("/catalogo/many", MIB),
                       unfinished_chunks("/catalogo/many", MIB // 2, [1, 2, 3]))

    def test_bodies_at_the_peer_port(self):
        self.run_crowd(self.peer, unfinished_body("/catalogo/many", MIB),
                       unfinished_chunks("/catalogo/many", MIB // 2, [1, 2, 3]))


    def test_frames_at_the_control_port(self):
        """Frames in place of the first message of the handshake, which is far smaller."""
        self.run_crowd(self.control, Script(GREETING + FRAME_HEAD, unit=b"x" * MIB,
                                            body_bytes=FRAME_BYTES - 1))


class OwnControlPlaneDescriptors(OwnControlPlane):
    max_descriptors = descriptor_bound = MAX_DESCRIPTORS

    def test_connections_to_the_admin_port(self):
        self.run_crowd(self.admin, Script(b""), Script(b"GET /metrics HTTP/1.1\r\n"))

    def test_connections_to_the_control_port(self):
        self.run_crowd(self.control, Script(b""), Script(b"GET / HTTP/1.1\r\n"))

    def test_silent_connections_to_the_control_port(self):
        self.run_crowd(self.control, Script(b""))


if __name__ == "__main__":
    run_tests()
