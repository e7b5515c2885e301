"""Checks the promises of the mesh against what callers, servers and the operator observed."""
import time

from mesh import GRACE_S, KEPT_VERSIONS

SETTLE_S = 3.0  # Time bounds apply to nodes that have had no fault for this time.
CONFIG_S = 2.0  # Time from the acknowledgement of a change until it must be in force.
BACK_S = 0.25  # Calls sent this long after a call saw a version in force must see it too.
LOST_SLACK_S = 0.2  # A call that no server ran may go unanswered if its connection closes so soon.
DRAIN_S = 2.0  # A node may send work to a server for this time after it relayed its leave.
LIMIT_WINDOW_S = 4.0  # Time in which the requests to a server with a limit are counted.
LIMIT_KNOWN_S = 0.5  # Requests of a node count this long after it relayed an answer with a limit.
NOT_RUN = (408, 421, 429, 503)


class Faults:
    """The time spans of all faults. A span applies to a part: the name of a node, or "all" for
    faults of the store and of the machine that runs the soak."""

    def __init__(self):
        self.spans = []  # [part, start, end, what]

    def begin(self, part, what):
        span = [part, time.monotonic(), float("inf"), what]
        self.spans.append(span)
        return span

    def end(self, span):
        span[2] = time.monotonic()

    def overlap(self, part, start, end, excluded=()):
        return any(p in (part, "all") and s <= end and e >= start and what not in excluded
                   for p, s, e, what in self.spans)


def violations(mesh, calls, faults):
    found = [f"ENDED {end}: unexpected exit of a process" for end in mesh.unexpected_ends]
    for check in (unasked, mixed, twice_and_refused, denied, config, lost, drain, leave, limit):
        found += check(mesh, calls, faults)
    return found


def unasked(mesh, calls, _):
    for runs in mesh.runs.values():
        for run in runs:
            call = calls.get(run.id)
            if call is None:
                yield f"UNASKED {run.id}: a server ran a request that no caller sent"
            elif run.request != (call.method, call.target, call.body):
                yield (f"UNASKED {run.id}: sent {(call.method, call.target, call.body)}, "
                       f"the server got {run.request}")
            elif run.caller != call.node.service:
                yield (f"UNASKED {run.id}: caller service is {run.caller}, expected "
                       f"{call.node.service}")


def mixed(mesh, calls, _):
    for call in calls.values():
        if call.end != "answer" or not 200 <= call.status < 300:
            continue
        stamp = call.headers.get("x-response-stamp", "")
        runs = [r for r in mesh.runs.get(call.id, []) if stamp.startswith(r.instance + ".")]
        if call.headers.get("x-request-id") != call.id:
            yield f"MIXED {call.id}: got the answer to {call.headers.get('x-request-id')}"
        elif not runs:
            yield f"MIXED {call.id}: no server sent an answer with stamp {stamp!r}"
        elif stamp != f"{runs[0].instance}.{len(call.answer)}":
            yield f"MIXED {call.id}: got {len(call.answer)} bytes, stamp {stamp}"


def twice_and_refused(mesh, calls, _):
    for call in calls.values():
        runs = mesh.runs.get(call.id, [])
        if call.method != "POST":
            continue
        if len(runs) > 1:
            yield f"TWICE {call.id}: ran {len(runs)} times, expected at most once"
        if runs and call.end == "answer" and call.status in NOT_RUN:
            yield f"REFUSED {call.id}: got status {call.status} (not run), but it ran"


def denied(_, calls, __):
    for call in calls.values():
        is_own = call.end == "answer" and 300 <= call.status < 500 and call.status not in NOT_RUN
        if is_own and not call.target.startswith("/v"):
            yield f"DENIED {call.id}: status {call.status} for the valid target {call.target}"


def config(mesh, calls, faults):
    seen = {}  # (node, boot, version) -> end of the first call that saw the version in force.
    for call in sorted(calls.values(), key=lambda c: c.sent):
        if not call.target.startswith("/v") or call.end != "answer":
            continue
        version = int(call.target[2:].partition("/")[0])
        key = (call.node.name, call.boot, version)
        if call.status == 200:
            seen.setdefault(key, call.ended)
        if call.status != 404:
            continue
        # The route of a version is removed by a later version.
        later = [v for v in mesh.versions if v > version]
        if len(later) >= KEPT_VERSIONS:
            dropped = mesh.acknowledged[later[KEPT_VERSIONS - 1]]
            if call.ended >= dropped:
                continue
        if call.sent > seen.get(key, float("inf")) + BACK_S:
            yield f"CONFIG {call.id}: {call.node.name} went back to before version {version}"
        late_s = call.sent - mesh.acknowledged[version] - CONFIG_S
        if late_s > 0 and not faults.overlap(call.node.name, call.sent - SETTLE_S, call.ended):
            yield f"CONFIG {call.id}: {call.node.name} {late_s:.2f} s late for version {version}"


def lost(mesh, calls, faults):
    for call in calls.values():
        if call.end == "answer":
            continue
        stops = [s for s in faults.spans if s[0] == call.node.name and s[3] == "stop"]
        is_planned = any(s[1] - SETTLE_S <= call.ended and call.sent <= s[1] + GRACE_S
                         for s in stops)
        is_undisturbed = not faults.overlap(call.node.name, call.sent - SETTLE_S, call.ended,
                                            ("stop",))
        runs = mesh.runs.get(call.id, [])
        took_s = call.ended - call.sent
        if not is_planned or not is_undisturbed or any(r.was_truncated for r in runs):
            continue
        if runs or took_s > LOST_SLACK_S:
            yield (f"LOST {call.id}: no answer ({call.end}) after {took_s:.2f} s near a planned "
                   f"stop, ran {len(runs)} times")


def drain(mesh, _, faults):
    for node in mesh.nodes:
        for request_id, late_s in node.backend.late_arrivals:
            arrival = max((r.time for r in mesh.runs.get(request_id, [])), default=0)
            if not faults.overlap(node.name, arrival - SETTLE_S, arrival):
                yield (f"DRAIN {request_id}: new work {late_s:.2f} s after the acknowledgement of "
                       "the leave")


def relayed(calls, header):
    """When each lifetime of a node first relayed an answer of a server with `header`."""
    first = {}  # (node, boot, instance) -> time.
    for call in calls.values():
        if call.end == "answer" and header in call.headers:
            instance = call.headers.get("x-response-stamp", "").rpartition(".")[0]
            key = (call.node.name, call.boot, instance)
            first[key] = min(first.get(key, float("inf")), call.ended)
    return first


def leave(mesh, calls, faults):
    relayed_at = relayed(calls, "server-leaving")
    for node in mesh.nodes:
        for arrival, instance, request_id in node.backend.arrivals:
            call = calls.get(request_id)
            if call is None:
                continue
            since = relayed_at.get((call.node.name, call.boot, instance), float("inf"))
            if call.sent <= since + DRAIN_S or faults.overlap(call.node.name, since, arrival):
                continue
            yield (f"DRAIN {request_id}: sent {call.sent - since:.2f} s after {call.node.name} "
                   f"relayed the leave of {instance}")


def limit(mesh, calls, faults):
    relayed_at = relayed(calls, "server-limit")
    for node in mesh.nodes:
        for instance, start, end, per_s in node.backend.limits:
            counted = []  # Arrivals from nodes that know the limit.
            for arrival, server, request_id in node.backend.arrivals:
                call = calls.get(request_id)
                if server != instance or call is None or not start + SETTLE_S <= arrival <= end:
                    continue
                since = relayed_at.get((call.node.name, call.boot, instance), float("inf"))
                if arrival >= since + LIMIT_KNOWN_S and not faults.overlap(
                        call.node.name, arrival - SETTLE_S, arrival):
                    counted.append(arrival)
            allowed = 1.5 * per_s * LIMIT_WINDOW_S + 5
            counted.sort()
            most = max((sum(1 for t in counted[i:] if t <= first + LIMIT_WINDOW_S)
                        for i, first in enumerate(counted)), default=0)
            if most > allowed:
                yield (f"LIMIT {instance}: {most} requests in {LIMIT_WINDOW_S} s, allowed "
                       f"{allowed:.1f} (limit {per_s} a second)")
