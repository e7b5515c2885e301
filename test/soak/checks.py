"""The promises that a soak checks, from what callers, servers and the operator have seen."""
import time

from mesh import GRACE_S, KEPT_VERSIONS

TOUCH_S = 3.0  # Rules with a time bound hold for nodes without a fault for this time.
CONFIG_S = 2.0  # A change is in force this long after its acknowledgement.
BACK_S = 0.25
LOST_SLACK_S = 0.2
NOT_RUN = (408, 421, 429, 503)


class Faults:
    """When which part was disturbed. A part is a node's name, or "all" for the store and the
    machine that plays the soak."""

    def __init__(self):
        self.spans = []  # [part, start, end, what]

    def begin(self, part, what):
        span = [part, time.monotonic(), float("inf"), what]
        self.spans.append(span)
        return span

    def end(self, span):
        span[2] = time.monotonic()

    def touches(self, part, start, end, but=()):
        return any(p in (part, "all") and s <= end and e >= start and what not in but
                   for p, s, e, what in self.spans)


def violations(mesh, calls, faults):
    found = [f"ENDED {end}: a process ended by itself" for end in mesh.unexpected_ends]
    for check in (unasked, mixed, twice_and_refused, denied, config, lost, drain):
        found += check(mesh, calls, faults)
    return found


def unasked(mesh, calls, _):
    for runs in mesh.runs.values():
        for run in runs:
            call = calls.get(run.id)
            if call is None:
                yield f"UNASKED {run.id}: nobody sent it"
            elif run.what != (call.method, call.target, call.body):
                yield f"UNASKED {run.id}: changed to {run.what}"
            elif run.caller != call.node.service:
                yield f"UNASKED {run.id}: caller service {run.caller}"


def mixed(mesh, calls, _):
    for call in calls.values():
        if call.end != "answer" or not 200 <= call.status < 300:
            continue
        stamp = call.headers.get("x-response-stamp", "")
        runs = [r for r in mesh.runs.get(call.id, []) if stamp.startswith(r.instance + ".")]
        if call.headers.get("x-request-id") != call.id:
            yield f"MIXED {call.id}: answer of {call.headers.get('x-request-id')}"
        elif not runs:
            yield f"MIXED {call.id}: no server gave the answer stamped {stamp!r}"
        elif stamp != f"{runs[0].instance}.{len(call.answer)}":
            yield f"MIXED {call.id}: {len(call.answer)} bytes, stamp {stamp}"


def twice_and_refused(mesh, calls, _):
    for call in calls.values():
        runs = mesh.runs.get(call.id, [])
        if call.method != "POST":
            continue
        if len(runs) > 1:
            yield f"TWICE {call.id}: run {len(runs)} times"
        if runs and call.end == "answer" and call.status in NOT_RUN:
            yield f"REFUSED {call.id}: answered {call.status}, and has run"


def denied(_, calls, __):
    for call in calls.values():
        is_own = call.end == "answer" and 300 <= call.status < 500 and call.status not in NOT_RUN
        if is_own and not call.target.startswith("/v"):
            yield f"DENIED {call.id}: {call.status} for {call.target}"


def config(mesh, calls, faults):
    seen = {}  # (node, boot, version) -> end of the first call that saw it in force
    for call in sorted(calls.values(), key=lambda c: c.sent):
        if not call.target.startswith("/v") or call.end != "answer":
            continue
        version = int(call.target[2:].partition("/")[0])
        key = (call.node.name, call.boot, version)
        if call.status == 200:
            seen.setdefault(key, call.ended)
        if call.status != 404:
            continue
        # The route of a version goes with a later one.
        later = [v for v in mesh.versions if v > version]
        if len(later) >= KEPT_VERSIONS:
            dropped = mesh.acknowledged[later[KEPT_VERSIONS - 1]]
            if call.ended >= dropped:
                continue
        if call.sent > seen.get(key, float("inf")) + BACK_S:
            yield f"CONFIG {call.id}: {call.node.name} went back behind version {version}"
        late_s = call.sent - mesh.acknowledged[version] - CONFIG_S
        if late_s > 0 and not faults.touches(call.node.name, call.sent - TOUCH_S, call.ended):
            yield f"CONFIG {call.id}: {call.node.name} {late_s:.2f} s late with version {version}"


def lost(mesh, calls, faults):
    for call in calls.values():
        if call.end == "answer":
            continue
        stops = [s for s in faults.spans if s[0] == call.node.name and s[3] == "stop"]
        is_planned = any(s[1] - TOUCH_S <= call.ended and call.sent <= s[1] + GRACE_S for s in stops)
        is_calm = not faults.touches(call.node.name, call.sent - TOUCH_S, call.ended, ("stop",))
        runs = mesh.runs.get(call.id, [])
        took_s = call.ended - call.sent
        if not is_planned or not is_calm or any(r.was_broken_off for r in runs):
            continue
        if runs or took_s > LOST_SLACK_S:
            yield f"LOST {call.id}: {call.end} after {took_s:.2f} s, runs {len(runs)}"


def drain(mesh, _, faults):
    for node in mesh.nodes:
        for request_id, late_s in node.backend.late_arrivals:
            arrival = max((r.time for r in mesh.runs.get(request_id, [])), default=0)
            if not faults.touches(node.name, arrival - TOUCH_S, arrival):
                yield f"DRAIN {request_id}: {late_s:.2f} s after the acknowledgement"
