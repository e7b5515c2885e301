"""Nodes with the project's own control plane as a site under test."""
import pathlib
import shutil
import sys
import tempfile

from node_usage import NodeUsage

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "test" / "scenarios"))
import fleet  # noqa: E402

NODES = 4
NOTE = ROOT / "examples" / "notes" / "gaveta-viva.toml"
NET = (12, 77)
IN_FORCE_S = 60  # Limit on a wait of the harness, not a requirement on the nodes.


class FleetSite:
    def __init__(self, daemon, memory_mb, max_descriptors):
        self.dir = pathlib.Path(tempfile.mkdtemp(prefix="guavatrail-memory-"))
        overrides = {"listen.memory_mb": str(memory_mb),
                     "listen.max_descriptors": str(max_descriptors)}
        self.fleet = fleet.Fleet(pathlib.Path(daemon).parent, self.dir, NET, overrides=overrides)
        self.nodes = []

    def start(self):
        self.fleet.start_platform()
        self.fleet.add_nodes("gaveta-viva", NODES)
        self.fleet.start_all()
        nodes = list(self.fleet.nodes.values())
        published = self.fleet.command("publish", NOTE, platform=True)
        assert published.returncode == 0, published.stderr
        self.fleet.wait_in_force(1, IN_FORCE_S, nodes)
        self.nodes = [NodeUsage(n.name, n.ip, n.process.popen) for n in nodes]

    def stop(self, keep_logs):
        self.fleet.stop_all()
        if keep_logs:
            print(f"logs: {self.dir}", flush=True)
        else:
            shutil.rmtree(self.dir)
