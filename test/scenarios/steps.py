"""The steps of the scenario language, which README.md in this folder lists.

A step is one line: a verb, words, `name=value` options and `name>=value` conditions. Three promises
are checked in every scenario without a step: no node serves at a lower version than before, no
answer that looks complete is wrong, and the number of executions of each order agrees with the
outcome that its caller got.
"""
import operator
import re
import shlex
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import traffic
from fleet import ADMIN, CONTROL, PEER, ROOT, SERVER, Fleet, StepFailed, http_json, wait_until

CONDITIONS = {">=": operator.ge, "<=": operator.le, "==": operator.eq, ">": operator.gt,
              "<": operator.lt}
SEED = 20261204
NOTE = '''id = "{id}"
author = "scenario"
summary = "{id}"
[[{action}]]
type = "route"
name = "{route}"
path_prefix = "{prefix}"
service = "{service}"
work = "{work}"
'''


def duration(text):
    match = re.fullmatch(r"(\d+(?:\.\d+)?)(ms|s)", text)
    if not match:
        raise StepFailed(f"expected a duration such as 500ms or 6s, got {text!r}")
    return float(match[1]) / (1000 if match[2] == "ms" else 1)


class VersionMonitor:
    """Polls all nodes and records each one that serves at a lower version than before."""

    def __init__(self, fleet):
        self.fleet, self.highest, self.backward = fleet, {}, []
        self.stop = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.stop.wait(0.1):
            for name, status in self.fleet.statuses(list(self.fleet.nodes.values())).items():
                if not status or status.get("state") == "starting":
                    continue
                version = status.get("version", 0)
                if version < self.highest.get(name, 0):
                    self.backward.append(f"{name} from {self.highest[name]} to {version}")
                self.highest[name] = max(version, self.highest.get(name, 0))

    def end(self):
        self.stop.set()
        self.thread.join()


class Scenario:
    def __init__(self, build, directory, net, settings=()):
        self.build, self.dir, self.net, self.settings = build, directory, net, settings
        self.fleet = self.monitor = None
        self.loads, self.orders, self.notes, self.counts = {}, {}, {}, {}
        self.wrong = []

    def step(self, line):
        words = shlex.split(line, comments=True)
        if not words:
            return
        plain, options, conditions = [], {}, []
        for word in words[1:]:
            if match := re.fullmatch(r"([\w%-]+)(>=|<=|==|>|<)([\d.]+)(?:%|ms)?", word):
                conditions.append((match[1], match[2], float(match[3])))
            elif match := re.fullmatch(r"([\w.-]+)=(.*)", word):
                options[match[1]] = match[2]
            else:
                plain.append(word)
        method = getattr(self, "do_" + words[0].replace("-", "_"), None)
        if method is None:
            raise StepFailed(f"unknown step {words[0]!r}")
        method(plain, options, conditions)

    def finish(self):
        """Runs the checks that every scenario has."""
        for load in self.loads.values():
            self.wait_load(load, load.seconds + 60)
            self.wrong += [f"{t}: {r}" for t, r in load.results.items() if r.kind == "wrong"]
        self.monitor.end()
        self.check_backward()
        if self.wrong:
            raise StepFailed(f"wrong answers: {self.wrong[:5]}")
        self.check_orders()

    def close(self):
        if self.monitor:
            self.monitor.stop.set()
        if self.fleet:
            self.fleet.stop_all()

    def check_backward(self):
        if self.monitor.backward:
            raise StepFailed(f"nodes went back to a lower version: {self.monitor.backward[:5]}")

    def check_orders(self):
        results = dict(self.orders)
        for load in self.loads.values():
            if load.kind == "order":
                results.update(load.results)
        ran = self.fleet.executions()
        for tag, result in results.items():
            count = ran.get(tag, 0)
            allowed = {"ok": (1,), "not-run": (0,)}.get(result.kind, (0, 1))
            if count not in allowed:
                raise StepFailed(f"order {tag} ran {count} times, expected {allowed} for the "
                                 f"outcome {result}")

    def select(self, words):
        chosen = []
        for word in words:
            if word == "all":
                chosen += self.fleet.nodes.values()
            elif word.startswith("dc:"):
                chosen += [n for n in self.fleet.nodes.values() if n.data_centre == word[3:]]
            elif word.startswith("service:"):
                chosen += [n for n in self.fleet.nodes.values() if n.service == word[8:]]
            elif word in self.fleet.nodes:
                chosen.append(self.fleet.nodes[word])
            else:
                raise StepFailed(f"unknown node {word!r}")
        return chosen

    def up_nodes(self, options):
        nodes = self.select(options.get("on", "all").split(","))
        return [n for n in nodes if n.up()]

    def compare(self, what, value, conditions):
        for name, sign, bound in conditions:
            seen = value(name)
            if not CONDITIONS[sign](seen, bound):
                raise StepFailed(f"{what}: {name} is {seen:.1f}, expected {sign} {bound:g}")

    # Mesh and processes

    def do_mesh(self, words, options, _):
        overrides = {k: v for k, v in options.items() if "." in k and not k.startswith("server.")}
        overrides.update(item.split("=", 1) for item in self.settings)
        server = [f"--{k[7:]}={v}" for k, v in options.items() if k.startswith("server.")]
        self.fleet = Fleet(self.build, self.dir, self.net, options.get("links") == "on", overrides,
                           server)
        for mesh in words:
            self.fleet.add_nodes(mesh, int(options.get("nodes", 0)))
        self.fleet.start_platform()
        self.fleet.start_all()
        self.monitor = VersionMonitor(self.fleet)

    def do_kill(self, words, _, __):
        kind, nodes = words[0], self.select(words[1:])
        for node in nodes:
            if kind in ("node", "vm"):
                node.process.kill()
            if kind in ("server", "vm"):
                node.server.kill()

    def do_freeze(self, words, _, __):
        for node in self.select(words[1:]):
            target = node.process if words[0] == "node" else node.server
            target.frozen = True
            target.signal(signal.SIGSTOP)

    def do_resume(self, words, _, __):
        for node in self.select(words[1:]):
            target = node.process if words[0] == "node" else node.server
            target.signal(signal.SIGCONT)
            target.frozen = False

    def do_stop(self, words, _, __):
        for node in self.select(words[1:]):
            node.process.signal(signal.SIGTERM)

    def do_restart(self, words, _, __):
        nodes = self.select(words[1:])
        for node in nodes:
            if not node.server.running():
                self.fleet.start_server(node)
        for node in nodes:
            node.process.kill()
            self.fleet.start_node(node)

    def do_server(self, words, options, _):
        """server NODES name=value...: sets the behaviour of backend servers."""
        for node in self.select(words):
            faults = {k: float(v) if "." in v else int(v) for k, v in options.items()}
            if http_json(node.ip, SERVER, "POST", "/faults", faults) is None:
                raise StepFailed(f"the server of {node.name} did not accept {faults}")

    def do_cut(self, words, options, _):
        """cut A -> B or A <-> B [port=control|peer|admin]"""
        ports = {"control": CONTROL, "peer": PEER, "admin": ADMIN}
        self.links("cut", words, f" {ports[options['port']]}" if "port" in options else "")

    def do_silence(self, words, _, __):
        self.links("silence", words)

    def do_heal(self, _, __, ___):
        self.fleet.forward("heal")

    def links(self, command, words, port=""):
        arrow = words.index("->") if "->" in words else words.index("<->")
        for a in self.select(words[:arrow]):
            for b in self.select([w for w in words[arrow + 1:] if w != "one-way"]):
                if a is b:
                    continue
                self.fleet.forward(f"{command} {a.name} {b.name}{port}")
                if words[arrow] == "<->":
                    self.fleet.forward(f"{command} {b.name} {a.name}{port}")

    def do_platform(self, words, options, _):
        state, value = words[0], (words[1:] or [None])[0]
        timed = {"slow": "slow_ms", "stale": "stale_ms", "delay-writes": "delay_writes_ms"}
        outages = {"down": "refuse", "closes": "close", "hang": "hang"}
        if state in timed:
            faults = {timed[state]: int(1000 * duration(value))}
        elif state in outages:
            faults = {"down": outages[state]}
        elif state == "lose-answers":
            faults = {"lose_write_answers": int(value or -1)}
        elif state == "behind":
            faults = {"behind": int(value)}
        elif state == "ok":
            faults = {}
        else:
            raise StepFailed(f"unknown platform state {state!r}")
        if "writes" in options:
            faults["write_prefix"] = options["writes"]
        self.fleet.platform_faults(**faults)

    # Configuration

    def do_note(self, words, options, _):
        """note ID route=R prefix=/P service=S work=W [action=add|change]: writes a note file."""
        path = self.dir / f"{words[0]}.toml"
        fields = {"id": words[0], "action": "add", "route": words[0], **options}
        path.write_text(NOTE.format(**fields))
        self.notes[words[0]] = path

    def note_path(self, word):
        return self.notes.get(word) or ROOT / word

    def publish(self, word):
        return self.fleet.command("publish", self.note_path(word), platform=True)

    def do_publish(self, words, options, _):
        run = self.publish(words[0])
        expected = [int(code) for code in options.get("expect", "0").split("|")]
        if run.returncode not in expected:
            raise StepFailed(f"publish {words[0]}: exit {run.returncode}, expected {expected}: "
                             f"{(run.stdout + run.stderr).strip()}")

    def do_race(self, words, options, _):
        """race NOTE NOTE... expect=CODES: publishes the notes concurrently and compares the exit
        codes, in any order."""
        with ThreadPoolExecutor(len(words)) as pool:
            runs = list(pool.map(self.publish, words))
        codes = sorted(r.returncode for r in runs)
        if codes != sorted(int(c) for c in options["expect"].split(",")):
            raise StepFailed(f"race: exit codes {codes}, expected {options['expect']}: "
                             f"{[r.stdout + r.stderr for r in runs]}")

    # Waiting

    def do_wait(self, words, options, conditions):
        within = duration(options.get("within", "10s"))
        what = words[0]
        if what == "in-force":
            self.fleet.wait_in_force(int(options["version"]), within, self.up_nodes(options))
        elif what == "load":
            self.wait_load(self.loads[words[1]], within)
        elif what == "stopped":
            for node in self.select(words[1:]):
                wait_until(f"{node.name} stopped", within, lambda n=node: not n.process.running())
                if node.process.popen.returncode != 0:
                    raise StepFailed(f"{node.name}: exit status {node.process.popen.returncode}, "
                                     "expected 0")
        elif what == "members":
            self.wait_members(words[1:], options, within)
        elif what == "call":
            self.wait_call(words[1], options, within)
        elif what == "executions":
            wait_until(f"order {options['order']} starts", within, lambda: (
                self.fleet.executions().get(options["order"], 0) >= 1 or "no execution"))
        elif what == "idle":
            self.wait_idle(self.select(words[1:]), duration(options["for"]), within)
        elif what == "server":
            self.wait_server(self.select(words[1:]), conditions, within)
        else:
            raise StepFailed(f"unknown wait {what!r}")

    def wait_load(self, load, within):
        wait_until(f"load {load.name} ends", within,
                   lambda: not load.running() or f"{len(load.results)} results")

    def wait_members(self, names, options, within):
        """Waits until all running nodes (or those in on=) report each named node in state=."""
        def seen():
            for observer in self.up_nodes(options):
                members = observer.admin("/v1/members") or {}
                records = members.get("members", []) if isinstance(members, dict) else members
                states = {m["name"]: m.get("state") for m in records}
                for name in names:
                    if states.get(name) not in options["state"].split("|"):
                        return f"{observer.name} shows {name} as {states.get(name)}"
            return True
        wait_until(f"members {names} {options['state']}", within, seen)

    def wait_call(self, path, options, within):
        """Repeats a call until it gets a complete answer with a 2xx status."""
        for node in self.up_nodes({"on": options.get("via", "all")}):
            wait_until(f"call {path} at {node.name}", within, lambda n=node: (
                lambda r: r.kind == "ok" or str(r))(traffic.call(n.ip, path, "wait")))

    def wait_idle(self, nodes, quiet, within):
        def seen():
            ages = {n.name: (self.fleet.server_stats(n) or {}).get("last_start_age_ms", -1)
                    for n in nodes}
            return True if all(a < 0 or a >= quiet * 1000 for a in ages.values()) else str(ages)
        wait_until("servers start no work", within, seen)

    def wait_server(self, nodes, conditions, within):
        def seen():
            stats = [self.fleet.server_stats(n) or {} for n in nodes]
            return all(CONDITIONS[sign](s.get(name, 0), bound) for s in stats
                       for name, sign, bound in conditions) or str(stats)
        wait_until("server stats", within, seen)

    # Traffic

    def via(self, options):
        nodes = self.up_nodes({"on": options.get("via", "all")})
        if not nodes:
            raise StepFailed(f"no node of via={options.get('via', 'all')} is running")
        return nodes

    def do_call(self, words, options, conditions):
        """call /path [via=NODES] [expect=KIND or status] [ms<=N]: one call through each node."""
        for node in self.via(options):
            result = traffic.call(node.ip, words[0], f"call-{node.name}")
            self.check_result(f"call {words[0]} at {node.name}", result, options, conditions)

    def do_hold(self, words, options, conditions):
        """hold call /path for=D [via=NODES] [expect=...]: repeats a call and checks each result."""
        if words[0] != "call":
            raise StepFailed(f"unknown hold {words[0]!r}")
        end = time.monotonic() + duration(options["for"])
        while time.monotonic() < end:
            self.do_call(words[1:], options, conditions)
            time.sleep(0.02)

    def check_result(self, what, result, options, conditions):
        expected = options.get("expect", "ok").split("|")
        if result.kind not in expected and str(result.status) not in expected:
            raise StepFailed(f"{what}: {result}, expected {expected}")
        self.compare(what, lambda _: result.ms, conditions)

    def do_order(self, words, options, conditions):
        tag = options["key"]
        ips = [n.ip for n in self.via(options)]
        result = traffic.order(ips, words[0], tag, timeout=duration(options.get("timeout", "10s")))
        self.orders[tag] = result
        self.check_result(f"order {tag}", result, options, conditions)

    def do_load(self, words, options, _):
        """load NAME path=/p rate=N for=Ns [kind=call|order] [via=NODES]: starts background load."""
        self.loads[words[0]] = traffic.Load(
            words[0], self.via(options), options["path"], options.get("kind", "call"),
            float(options["rate"]), duration(options["for"]), SEED)

    # Expectations

    def do_expect(self, words, options, conditions):
        what = words[0]
        if what == "load":
            load = self.loads[words[1]]
            self.compare(f"load {load.name} ({load.summary()})", load.measure, conditions)
        elif what == "never-backward":
            self.check_backward()
        elif what == "executions":
            count = self.fleet.executions().get(options["order"], 0)
            if count > int(options.get("at-most", 1)) or count < int(options.get("at-least", 0)):
                raise StepFailed(f"order {options['order']} ran {count} times, expected "
                                 f"{options.get('at-least', 0)} to {options.get('at-most', 1)}")
        elif what == "version":
            expected = int(options["is"])
            seen = {n: (s or {}).get("version") for n, s in
                    self.fleet.statuses(self.up_nodes(options)).items()}
            if set(seen.values()) != {expected}:
                raise StepFailed(f"versions are {seen}, expected {expected}")
        elif what == "server":
            for node in self.select(words[1:]):
                stats = self.fleet.server_stats(node) or {}
                self.compare(f"server of {node.name}", lambda n: stats.get(n, 0), conditions)
        elif what == "platform":
            stats = self.fleet.platform_stats() or {}
            self.compare("platform", lambda n: stats.get(n, 0), conditions)
        elif what == "command":
            self.expect_command(words[1:], options)
        else:
            raise StepFailed(f"unknown expectation {what!r}")

    def expect_command(self, words, options):
        """expect command WORDS [at=NODE] [exit=N] [shows=TEXT]"""
        node = self.fleet.nodes[options["at"]] if "at" in options else None
        run = self.fleet.command(*words, platform=node is None, node=node)
        if run.returncode != int(options.get("exit", 0)):
            raise StepFailed(f"{words}: exit {run.returncode}, expected {options.get('exit', 0)}: "
                             f"{run.stdout}{run.stderr}")
        if options.get("shows", "") not in run.stdout + run.stderr:
            raise StepFailed(f"{words}: expected {options['shows']!r} in the output, got "
                             f"{run.stdout}{run.stderr}")
