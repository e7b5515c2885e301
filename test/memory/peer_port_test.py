"""Guards against requests at the peer port that only nodes send, but that untrusted clients forge:
messages that take many times their size when they are decoded, tables that grow with each name that
a client makes up, and answers that the node makes whole and that are not taken.

usage: peer_port_test.py PATH_OF_GUAVATRAILD [-v] [TEST...]
"""
import json
import subprocess
import urllib.request

from crowd import Crowd
from memory_case import MemoryCase, run_tests
from site_under_test import HOST, WAIT_S, wait_until
from swarm import MIB, Script, get, post, repeated

CONFIG = "/guavatrail/v1/config"
SUSPECTS, QUOTA = "/guavatrail/v1/suspects", "/guavatrail/v1/quota"
ENDPOINTS = "/guavatrail/v1/endpoints"
MESSAGE_CLIENTS = 4
# Fields of length 0 that hold a message: suspects of CrashSuspects, and usages of QuotaReport.
EMPTY_SUSPECT, EMPTY_USAGE = b"\x0a\x00", b"\x2a\x00"
NAME_CLIENTS = 20
REQUESTS = 250  # Of each of them.
NAME_BYTES = 8_000
TENANTS = [f"tenant-{number}" for number in range(100)]
READERS = 800
# Few enough that the node does not close their connections after each answer.
POLLERS = 350
ENDPOINT_COUNT = 550
RULES, CHANGED_RULES = 2_500, 1_200
# With a later revision of the endpoints than the node knows, only a later version ends the wait.
POLL_HEADER = ("X-Guavatrail-Config-Version: 2\r\nX-Guavatrail-Endpoints-Revision: 1000000\r\n"
               "X-Guavatrail-Endpoints-Era: 1000000\r\n")
POLLS = 40  # Of each client in a row; each takes half a second without a change.
RULE_NAME_BYTES = 60


class DecodedMessages(MemoryCase):
    memory_mb = 40

    def run_crowd(self, path, entry):
        crowd = Crowd(self.peer, path)
        body = entry * (MIB // len(entry))
        for _ in range(MESSAGE_CLIENTS):
            crowd.add(f"Content-Length: {len(body)}", [body])
        self.addCleanup(crowd.close)
        crowd.start()
        crowd.wait_until_sent()
        self.check_crowds()

    def test_suspects(self):
        self.run_crowd(SUSPECTS, EMPTY_SUSPECT)

    def test_quota_reports(self):
        self.run_crowd(QUOTA, EMPTY_USAGE)

    def test_unknown_fields(self):
        self.run_crowd(SUSPECTS, b"x")


class UnreadErrorOutput(MemoryCase):
    """Nobody reads the standard error of the nodes, so that a process that writes there hangs."""

    def make_site(self):
        site = super().make_site()
        site.error_output = subprocess.PIPE
        return site

    def test_text_that_is_not_valid(self):
        request = message(SUSPECTS, field(1, field(1, b"\xff")))
        script = Script(request * REQUESTS)
        self.check_crowds(self.start_swarm(self.peer, repeated(NAME_CLIENTS, script)))


class ForgedNames(MemoryCase):
    memory_mb = 40

    def requests_of(self, client):
        """Requests of one connection, each of which names another kind of work."""
        requests = []
        for number in range(REQUESTS):
            name = f"{client}-{number}-".ljust(NAME_BYTES, "x")
            work = f"X-Guavatrail-Work: {name};importance=1;short;repeatable"
            requests.append(f"GET /own/named HTTP/1.1\r\nHost: {HOST}\r\n{work}\r\n\r\n".encode())
        return Script(b"".join(requests))

    def test_work_kinds(self):
        scripts = [self.requests_of(client) for client in range(NAME_CLIENTS)]
        self.check_crowds(self.start_swarm(self.peer, scripts))

    def reports_of(self, client):
        """Reports of one connection, each of another node."""
        requests = []
        for number in range(REQUESTS):
            requests.append(message(QUOTA, quota_report(f"{client}-{number}")))
        return Script(b"".join(requests))

    def test_nodes_that_report(self):
        self.site.tenants = TENANTS
        self.site.change_config()
        wait_until(lambda: node_status(self.admin, "version") == self.site.version)
        scripts = [self.reports_of(client) for client in range(NAME_CLIENTS)]
        self.check_crowds(self.start_swarm(self.peer, scripts))


def node_status(admin, name):
    """A field of the status that the admin port of a node shows; None if it does not tell."""
    try:
        with urllib.request.urlopen(f"http://{admin[0]}:{admin[1]}/v1/status",
                                    timeout=WAIT_S) as page:
            return json.load(page)[name]
    except OSError:
        return None


def field(number, value):
    """The encoding of a field of a protobuf message, of fewer than 128 bytes in case of bytes."""
    if isinstance(value, int):
        return bytes([number << 3, value])
    return bytes([number << 3 | 2, len(value)]) + value


def message(path, body):
    """The request by which a node sends a message."""
    return post(path, f"Content-Length: {len(body)}").head + body


def quota_report(node):
    """A QuotaReport of a node that has admitted one request of each tenant."""
    counters = field(1, 1) + field(2, 1)
    usages = (field(5, field(1, name.encode()) + field(2, counters)) for name in TENANTS)
    return field(1, node.encode()) + field(3, 1) + b"".join(usages)


def rule_names(version):
    """Names of rules, of which the first CHANGED_RULES differ from version to version."""
    return [f"rule-{version if number < CHANGED_RULES else 0}-{number}".ljust(RULE_NAME_BYTES, "x")
            for number in range(RULES)]


class WholeAnswers(MemoryCase):
    def change_rules(self, version):
        self.site.extra_rules = rule_names(version)
        self.site.change_config()
        wait_until(lambda: node_status(self.admin, "version") == version)

    def poll(self):
        """Asks for what has changed since version 2, and takes no answer."""
        return get(CONFIG, POLL_HEADER, reads="none", receive_buffer=4_096)

    def test_changes_are_not_taken(self):
        self.change_rules(2)
        self.change_rules(3)
        self.check_crowds(self.start_swarm(self.peer, repeated(READERS, self.poll())))

    def test_changes_are_not_taken_by_waiting_clients(self):
        self.change_rules(2)
        script = self.poll()
        script.head *= POLLS
        swarm = self.start_swarm(self.peer, repeated(POLLERS, script))
        swarm.wait_until_quiet()
        self.change_rules(3)
        self.check_crowds(swarm)

    def test_endpoints_are_not_taken(self):
        for number in range(ENDPOINT_COUNT):
            self.site.put_endpoint(f"absent-{number}")
        wait_until(lambda: node_status(self.admin, "endpoints") == ENDPOINT_COUNT + len(self.site.nodes))
        script = get(ENDPOINTS, reads="none", receive_buffer=4_096)
        self.check_crowds(self.start_swarm(self.peer, repeated(READERS, script)))


if __name__ == "__main__":
    run_tests()
