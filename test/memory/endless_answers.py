"""Stand-ins that answer with bytes that never end, until the node closes the connection."""
import asyncio

from site_under_test import PEER, Site, SlowBackend
from store import Store
from wire import read_message

PART_BYTES = 65_536
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def repeated(part):
    return part * (PART_BYTES // len(part))


# The start of an answer, and what follows it again and again.
ENDLESS = {
    "no_http": (b"", repeated(b"?")),
    "status_line": (b"HTTP/1.1 200 ", repeated(b"O")),
    "header_name": (HEAD, repeated(b"X")),
    "header_lines": (HEAD, repeated(b"X-More: yes\r\n")),
    "interim_answers": (b"", repeated(b"HTTP/1.1 102 Processing\r\n\r\n")),
    "chunk_size": (CHUNKED, repeated(b"0")),
    "chunk_extension": (CHUNKED + b"4;a=", repeated(b"b")),
    "chunks": (CHUNKED, repeated(b"400\r\n" + b"x" * 0x400 + b"\r\n")),
    "trailers": (CHUNKED + b"0\r\n", repeated(b"X-More: yes\r\n")),
    "length": (HEAD + b"Content-Length: 1125899906842624\r\n\r\n", repeated(b"x")),
    "until_close": (HEAD + b"Connection: close\r\n\r\n", repeated(b"x")),
    "behind_an_answer": (HEAD + b"Content-Length: 2\r\n\r\n{}", repeated(b"x")),
}


async def send_endless(writer, name, request_id=""):
    start, part = ENDLESS[name]
    if request_id:
        start = start.replace(HEAD, HEAD + f"X-Request-Id: {request_id}\r\n".encode())
    try:
        writer.write(start)
        while not writer.is_closing():
            writer.write(part)
            await writer.drain()
    except OSError:
        pass


class EndlessStore(Store):
    endless = ""  # A name in ENDLESS; empty: answers as it should.
    sent = 0  # Endless answers.

    async def handle(self, message):
        if self.endless:
            raise EndlessAnswer
        return await super().handle(message)

    async def serve(self, reader, writer):
        try:
            await super().serve(reader, writer)
        except EndlessAnswer:
            self.sent += 1
            await send_endless(writer, self.endless)
            writer.close()


class EndlessAnswer(Exception):
    """The call gets an answer without end."""


class EndlessBackend(SlowBackend):
    """Answers requests under /endless/NAME/ without end."""

    async def answer(self, message, writer):
        words = message.target.split("/")
        if "endless" in words:
            name = words[words.index("endless") + 1]
            await send_endless(writer, name, message.headers.get("x-request-id", ""))
            return False
        return await super().answer(message, writer)


class EndlessSite(Site):
    """Its store, its servers and nodes that only exist as records may answer without end."""
    backend_type, store_type = EndlessBackend, EndlessStore

    async def start_stand_ins(self):
        await super().start_stand_ins()
        self.peer_endless, self.peer_answers = "no_http", 0
        self.peer_listener = await asyncio.start_server(self.serve_peer, self.store_ip, PEER)

    async def stop_stand_ins(self):
        self.peer_listener.close()
        await super().stop_stand_ins()

    async def serve_peer(self, reader, writer):
        try:
            await read_message(reader)
            self.peer_answers += 1
            await send_endless(writer, self.peer_endless)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()
