"""What the processes of nodes use of the limits of their VM: memory and descriptors."""
import os
import pathlib
import threading
import time

SAMPLE_INTERVAL_S = 0.1
TCP_LISTEN = "0A"  # State of a listening socket in /proc/net/tcp.


class NodeUsage:
    """Reads the usage of a node at the address `ip`. `process` is set while it runs."""

    def __init__(self, name, ip, process=None):
        self.name, self.ip, self.process = name, ip, process

    def memory_bytes(self, field):
        """VmRSS or VmHWM (the highest VmRSS so far) of the process."""
        for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1]) * 1024
        raise AssertionError(f"{self.name} has ended")

    def used_bytes(self):
        """What the platform counts: resident memory, and bytes received and not yet read."""
        resident = self.memory_bytes("VmRSS")
        return resident + unread_bytes(self.ip)

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


def unread_bytes(ip):
    """The bytes that wait in the sockets of the address `ip`, also in those not yet accepted."""
    prefix = "".join(f"{int(part):02X}" for part in reversed(ip.split("."))) + ":"
    total = 0
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1].startswith(prefix) and fields[3] != TCP_LISTEN:
            total += int(fields[4].split(":")[1], 16)
    return total


class UsageSampler(threading.Thread):
    """Records the most memory that each of the nodes has used, and the most descriptors."""

    def __init__(self, nodes):
        super().__init__(daemon=True)
        self.nodes, self.stopping = nodes, False
        self.peak_bytes = {node.name: 0 for node in nodes}
        self.peak_unread = {node.name: 0 for node in nodes}
        self.peak_descriptors = {node.name: 0 for node in nodes}

    def run(self):
        while not self.stopping:
            for node in self.nodes:
                self.sample(node)
            time.sleep(SAMPLE_INTERVAL_S)

    def sample(self, node):
        try:
            used, descriptors = node.used_bytes(), node.descriptors()
        except (AssertionError, OSError):
            return  # The process has ended, which the test checks.
        self.peak_bytes[node.name] = max(self.peak_bytes[node.name], used)
        self.peak_unread[node.name] = max(self.peak_unread[node.name], unread_bytes(node.ip))
        self.peak_descriptors[node.name] = max(self.peak_descriptors[node.name], descriptors)

    def stop(self):
        self.stopping = True
        self.join()
