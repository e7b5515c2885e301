"""Small HTTP/1.1 reader and client for the stand-ins of the review (asyncio, standard library)."""

import asyncio
import contextlib


class Broken(Exception):
    """The peer closed or reset the connection inside a message, or sent bytes that are no message."""


class Message:
    """A request or an answer."""

    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers  # list of (name, value)
        self.body = body

    def get(self, name, default=None):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def method(self):
        return self.start.split(" ")[0]

    @property
    def target(self):
        return self.start.split(" ")[1]

    @property
    def status(self):
        return int(self.start.split(" ")[1])


async def read_head(reader):
    """Reads a head. Returns None if the peer closed the connection before its first byte."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise Broken("head cut short") from error
    except (ConnectionError, OSError) as error:
        raise Broken(f"reset: {error}") from error
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))
    return Message(lines[0], headers, b"")


async def read_body(reader, message, is_answer, sink=None):
    """Reads the body of `message`. With `sink`, only counts the bytes."""
    try:
        if (message.get("Transfer-Encoding") or "").lower() == "chunked":
            parts = []
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    return b"".join(parts)
                parts.append(data[:-2])
        if message.get("Content-Length") is not None:
            return await reader.readexactly(int(message.get("Content-Length")))
        if is_answer and message.status not in (204, 304):
            return await reader.read(-1)
        return b""
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError) as error:
        raise Broken(f"body cut short: {error!r}") from error


def encode(start, headers, body):
    head = [start] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


class Outcome:
    """What a client saw of a request."""

    def __init__(self, request_id):
        self.request_id = request_id
        self.status = 0  # 0: no answer head
        self.body = None  # None: no complete answer
        self.headers = None
        self.error = ""
        self.started = 0.0
        self.ended = 0.0

    def get(self, name):
        return None if self.headers is None else self.headers.get(name)

    @property
    def is_complete(self):
        return self.body is not None

    def __str__(self):
        size = "none" if self.body is None else len(self.body)
        return f"status={self.status} body={size} ms={(self.ended - self.started) * 1000:.0f} {self.error}"


class Connection:
    """A kept client connection."""

    def __init__(self, address):
        self.address = address
        self.reader = None
        self.writer = None

    async def open(self):
        ip, port = self.address
        self.reader, self.writer = await asyncio.open_connection(ip, port, limit=1 << 20)

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def send(self, method, host, path, request_id, deadline_ms, body=b"", headers=(),
                   give_up_s=None):
        """Sends a request and waits for its answer, at most until the client's time limit."""
        loop = asyncio.get_running_loop()
        outcome = Outcome(request_id)
        outcome.started = loop.time()
        limit = give_up_s if give_up_s is not None else deadline_ms / 1000
        try:
            await asyncio.wait_for(
                self._exchange(outcome, method, host, path, request_id, deadline_ms, body, headers),
                limit)
        except asyncio.TimeoutError:
            outcome.error = "time limit"
            self.close()
        except (Broken, ConnectionError, OSError) as error:
            outcome.error = f"connection: {error}"
            self.close()
        outcome.ended = loop.time()
        return outcome

    async def _exchange(self, outcome, method, host, path, request_id, deadline_ms, body, headers):
        if self.writer is None:
            await self.open()
        all_headers = [("Host", host), ("X-Request-Id", request_id),
                       ("X-Deadline-Ms", str(deadline_ms))]
        if body or method in ("POST", "PUT"):
            all_headers.append(("Content-Length", str(len(body))))
        all_headers += list(headers)
        self.writer.write(encode(f"{method} {path} HTTP/1.1", all_headers, b""))
        if body:
            self.writer.write(body)
        answer = await read_head(self.reader)
        if answer is None:
            raise Broken("closed without an answer")
        outcome.status = answer.status
        outcome.headers = answer
        outcome.body = await read_body(self.reader, answer, True)
        if (answer.get("Connection") or "").lower() == "close":
            self.close()


async def request(address, method, host, path, request_id, deadline_ms, body=b"", headers=(),
                  give_up_s=None):
    """Sends one request on a new connection."""
    connection = Connection(address)
    try:
        return await connection.send(method, host, path, request_id, deadline_ms, body, headers,
                                     give_up_s)
    finally:
        with contextlib.suppress(Exception):
            connection.close()
