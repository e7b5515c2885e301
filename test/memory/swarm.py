"""Many untrusted clients in one thread, each with one connection at a time that it does not close."""
import dataclasses
import errno
import itertools
import selectors
import socket
import threading
import time

from site_under_test import HOST, WAIT_S

MIB = 1 << 20
DRIP_INTERVAL_S = 0.2
# The swarm has settled when no client has sent or received anything for this time.
QUIET_S = 1.0
SEND_BYTES = 65_536
READ_BYTES = 65_536


@dataclasses.dataclass
class Script:
    """What a client sends and how it reads the answer."""
    head: bytes
    unit: bytes = b""  # The body consists of repetitions of it.
    body_bytes: int = 0  # Bytes of the body on the wire; the client stops after them.
    reads: str = "all"  # all, none, or drip: a byte at a time.
    receive_buffer: int = 0  # Of the socket in bytes; 0: the default of the system.
    connections: int = 1  # Opened one after the other, each when the node has closed the last one.


def post(target, header, **fields):
    head = f"POST {target} HTTP/1.1\r\nHost: {HOST}\r\n{header}\r\n\r\n"
    return Script(head.encode(), **fields)


def get(target, header="", **fields):
    """A GET request; `header` consists of whole header lines."""
    return Script(f"GET {target} HTTP/1.1\r\nHost: {HOST}\r\n{header}\r\n".encode(), **fields)


def unfinished_body(target, length, missing=1, **fields):
    return post(target, f"Content-Length: {length}", unit=b"x" * SEND_BYTES,
                body_bytes=length - missing, **fields)


def unfinished_chunks(target, wire_bytes, sizes, **fields):
    """Chunks of the cyclic `sizes` without a last one."""
    unit = b"".join(b"%x\r\n%s\r\n" % (size, b"x" * size) for size in sizes)
    unit *= max(1, SEND_BYTES // len(unit))
    return post(target, "Transfer-Encoding: chunked", unit=unit, body_bytes=wire_bytes, **fields)


class Client:
    def __init__(self, address, script, selector):
        self.address, self.script, self.selector = address, script, selector
        self.connections, self.socket = 0, None
        self.open()

    def open(self):
        self.connections += 1
        self.sent = 0
        self.total = len(self.script.head) + self.script.body_bytes
        self.socket = socket.socket()
        self.socket.setblocking(False)
        if self.script.receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.script.receive_buffer)
        self.socket.connect_ex(self.address)
        self.watch()

    def watch(self):
        """Waits for what the client has to do next."""
        events = selectors.EVENT_WRITE if self.sent < self.total else 0
        events |= selectors.EVENT_READ if self.script.reads == "all" else 0
        known = self.selector.get_map().get(self.socket)
        if known is None and events:
            self.selector.register(self.socket, events, self)
        elif known is not None and not events:
            self.selector.unregister(self.socket)
        elif known is not None and known.events != events:
            self.selector.modify(self.socket, events, self)

    def close(self):
        if self.socket is None:
            return
        if self.socket in self.selector.get_map():
            self.selector.unregister(self.socket)
        self.socket.close()
        self.socket = None

    def next_bytes(self):
        if self.sent < len(self.script.head):
            return self.script.head[self.sent:]
        start = (self.sent - len(self.script.head)) % len(self.script.unit)
        return self.script.unit[start:start + self.total - self.sent]

    def step(self, events):
        """Returns the number of bytes sent and received."""
        moved = 0
        try:
            if events & selectors.EVENT_READ:
                moved += self.receive(READ_BYTES)
            if self.socket is not None and events & selectors.EVENT_WRITE:
                sent = self.socket.send(self.next_bytes())
                self.sent += sent
                moved += sent
                if self.sent >= self.total:
                    self.watch()
        except BlockingIOError:
            pass
        except OSError as error:
            if error.errno not in (errno.ENOTCONN, errno.EINPROGRESS):
                self.on_closed()
        return moved

    def receive(self, limit):
        data = self.socket.recv(limit)
        if not data:
            self.on_closed()
        return len(data)

    def drip(self):
        try:
            if self.socket is not None:
                self.receive(1)
        except BlockingIOError:
            pass
        except OSError:
            self.on_closed()

    def on_closed(self):
        self.close()
        if self.connections < self.script.connections:
            self.open()


class Swarm(threading.Thread):
    def __init__(self, address, scripts):
        super().__init__(daemon=True)
        self.address, self.scripts = address, list(scripts)
        self.selector = selectors.DefaultSelector()
        self.clients, self.stopping = [], False
        self.moved_at = time.monotonic()
        self.connected = 0  # Connections opened so far.

    def run(self):
        self.clients = [Client(self.address, script, self.selector) for script in self.scripts]
        dripping = [c for c in self.clients if c.script.reads == "drip"]
        next_drip = time.monotonic()
        while not self.stopping:
            for key, events in self.selector.select(0.05):
                if key.data.step(events):
                    self.moved_at = time.monotonic()
            if dripping and time.monotonic() >= next_drip:
                next_drip = time.monotonic() + DRIP_INTERVAL_S
                for client in dripping:
                    client.drip()
            self.connected = sum(client.connections for client in self.clients)
        for client in self.clients:
            client.close()
        self.selector.close()

    def wait_until_quiet(self):
        """Waits until the clients have sent all that the node takes."""
        end = time.monotonic() + WAIT_S
        while time.monotonic() < end and time.monotonic() - self.moved_at < QUIET_S:
            time.sleep(0.05)

    def stop(self):
        self.stopping = True
        self.join()


def repeated(count, *scripts):
    """`count` scripts, the given ones in turn."""
    return list(itertools.islice(itertools.cycle(scripts), count))
