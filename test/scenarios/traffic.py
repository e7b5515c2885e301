"""Callers: single calls, orders with idempotency keys, and open-loop load. Each result records what
the caller could know, so that it can be compared with the executions on the servers."""
import hashlib
import http.client
import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from fleet import CALLER

# Kinds of results: ok (complete answer with a 2xx status), status (complete answer with another
# status), not-run, unknown, busy (the order is still running), broken (the answer was truncated),
# timeout, no-connection, wrong (a complete answer, but not to this request).


class Result:
    def __init__(self, kind, status=0, ms=0.0, headers=None, detail=""):
        self.kind, self.status, self.ms, self.detail = kind, status, ms, detail
        self.headers = headers or {}

    def __str__(self):
        return f"{self.kind} status={self.status} ms={self.ms:.1f} {self.detail}".strip()


def classify(answer, body, tag):
    status = answer.status
    outcome = answer.headers.get("X-Guavatrail-Outcome", "")
    if outcome in ("not-run", "unknown"):
        return ("busy" if status == 409 else outcome), ""
    if 200 <= status < 300:
        digest = answer.headers.get("X-Body-Digest")
        if answer.headers.get("X-Request-Tag") != tag:
            return "wrong", f"request tag {answer.headers.get('X-Request-Tag')!r}, expected {tag!r}"
        if digest and digest != hashlib.blake2b(body, digest_size=32).hexdigest():
            return "wrong", f"body of {len(body)} bytes does not match its digest {digest}"
        return "ok", ""
    return "status", f"outcome {outcome!r}"


def call(ip, path, tag, method="GET", headers=None, timeout=10.0, port=CALLER):
    start = time.monotonic()

    def result(kind, status=0, answer=None, detail=""):
        ms = (time.monotonic() - start) * 1000
        return Result(kind, status, ms, answer.headers if answer else None, detail)

    connection = http.client.HTTPConnection(ip, port, timeout=timeout)
    try:
        connection.connect()
    except OSError as error:
        return result("no-connection", detail=str(error))
    answer = None
    try:
        connection.request(method, path, headers={"X-Request-Tag": tag, **(headers or {})},
                           body=b"order" if method == "POST" else None)
        answer = connection.getresponse()
        body = answer.read()
    except TimeoutError:
        return result("timeout", answer=answer)
    except (OSError, http.client.HTTPException) as error:
        return result("broken", answer.status if answer else 0, answer, type(error).__name__)
    finally:
        connection.close()
    kind, detail = classify(answer, body, tag)
    return result(kind, answer.status, answer, detail)


def order(ips, path, tag, attempts=4, timeout=10.0):
    """Sends an order under keys that a node issues. After "not run" it uses a new key; while the
    outcome is unclear it repeats the request under the same key."""
    key, result, start = None, Result("no-connection"), time.monotonic()
    for attempt in range(attempts * 2):
        headers = {"X-Order-Tag": tag, **({"Idempotency-Key": key} if key else {})}
        latest = call(ips[attempt % len(ips)], path, tag, "POST", headers, timeout)
        if latest.status == 428 and latest.headers.get("Idempotency-Key"):
            key = latest.headers["Idempotency-Key"]
            continue
        # A failed connection does not change what is known of an earlier request under this key.
        if latest.kind != "no-connection" or result.kind == "no-connection":
            result = latest
        if result.kind in ("ok", "wrong", "status", "unknown"):
            break
        if result.kind == "not-run":
            key = None
        time.sleep(0.05)
    result.ms = (time.monotonic() - start) * 1000
    return result


def percentile(values, q):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(q * len(ordered)))] if ordered else 0.0


class Load:
    """Open-loop load: `rate` calls per second for `seconds`, each on its own connection."""

    def __init__(self, name, nodes, path, kind, rate, seconds, seed):
        self.name, self.nodes, self.path, self.kind = name, nodes, path, kind
        self.rate, self.seconds = rate, seconds
        self.random = random.Random(seed)
        self.results = {}
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        start = time.monotonic()
        with ThreadPoolExecutor(min(200, int(self.rate) * 2 + 8)) as pool:
            for i in range(int(self.rate * self.seconds)):
                time.sleep(max(0.0, start + i / self.rate - time.monotonic()))
                pool.submit(self.run_call, f"{self.name}-{i}", self.random.sample(
                    self.nodes, min(2, len(self.nodes))))

    def run_call(self, tag, nodes):
        ips = [node.ip for node in nodes]
        if self.kind == "order":
            self.results[tag] = order(ips, self.path, tag)
        else:
            self.results[tag] = call(ips[0], self.path, tag)

    def running(self):
        return self.thread.is_alive()

    def measure(self, name):
        results = list(self.results.values())
        if name in ("p50", "p90", "p99", "p100"):
            return percentile([r.ms for r in results if r.kind == "ok"], int(name[1:]) / 100)
        if name.endswith("%"):
            share = sum(r.kind == name[:-1] for r in results) / max(1, len(results))
            return 100 * share
        return sum(r.kind == name for r in results)

    def summary(self):
        kinds = sorted({r.kind for r in self.results.values()})
        counts = " ".join(f"{k}={self.measure(k)}" for k in kinds)
        return f"{counts} p50={self.measure('p50'):.1f} p99={self.measure('p99'):.1f} ms"
