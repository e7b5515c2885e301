"""Guards against answers without end, in a head or in a body, that fill the memory of the node that
called: of servers, of the store, and of other nodes.

usage: endless_answers_test.py PATH_OF_GUAVATRAILD [-v] [TEST...]
"""
import time

from endless_answers import ENDLESS, EndlessSite
from memory_case import MemoryCase, run_tests
from site_under_test import WAIT_S
from swarm import get, repeated

CLIENTS = 300
FAULTY_NODES = 20
# Each kind of endless answer is sent for this long, which is longer than a call to the store or to
# a node may take.
TIME_PER_KIND_S = 2.0


class EndlessAnswers(MemoryCase):
    def make_site(self):
        return EndlessSite(self.daemon, self.memory_mb, self.max_body)

    def run_crowd(self, prefix, make_script, reads):
        """All kinds of endless answers at once."""
        scripts = [make_script(f"/{prefix}/endless/{name}/1", reads=reads) for name in ENDLESS]
        swarm = self.start_swarm(self.caller, repeated(CLIENTS, *scripts))
        time.sleep(5 * TIME_PER_KIND_S)
        self.check_processes()
        swarm.stop()
        self.check_ordinary_requests()
        self.check_processes()

    def test_of_another_server(self):
        self.run_crowd("parts", get, "all")

    def test_of_the_own_server(self):
        self.run_crowd("own", get, "all")

    def test_of_servers_to_clients_that_read_nothing(self):
        self.run_crowd("parts", get, "none")

    def test_of_the_store(self):
        store = self.site.store
        for name in ENDLESS:
            store.endless = name
            self.site.change_config()  # Ends the watches.
            time.sleep(TIME_PER_KIND_S)
            self.check_ordinary_requests()
        self.assertGreater(store.sent, len(ENDLESS))
        store.endless = ""
        self.check_ordinary_requests()
        self.check_processes()

    def test_of_other_nodes(self):
        for number in range(FAULTY_NODES):
            self.site.put_endpoint(f"faulty-{number}")
        for name in ENDLESS:
            self.site.peer_endless = name
            self.site.change_config()
            time.sleep(TIME_PER_KIND_S)
            self.check_ordinary_requests()
        self.assertGreater(self.site.peer_answers, 0)
        self.check_processes()

    def test_of_the_store_to_a_process_that_starts(self):
        """The node has no configuration then, so it is ready once the store answers as it should."""
        for name in ("no_http", "chunks", "length"):
            self.site.store.endless = name
            self.site.restart_node(0)
            time.sleep(TIME_PER_KIND_S)
            self.sampler.sample(self.site.nodes[0])
        self.site.store.endless = ""
        end = time.monotonic() + WAIT_S
        while not self.is_answered(self.ordinary_targets[0]):
            self.assertLess(time.monotonic(), end)
            time.sleep(0.2)
        self.check_processes()


if __name__ == "__main__":
    run_tests()
