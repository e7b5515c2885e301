"""Untrusted clients: each sends one request from its own thread and keeps its connection open."""
import http.client
import socket
import threading

from site_under_test import HOST, WAIT_S

PIECE = 65_536
MIB = 1 << 20


def chunks(total, sizes):
    """Yields the wire form of a body of `total` bytes in chunks of the cyclic `sizes`, without the
    last chunk, in pieces of about PIECE."""
    wire, sent, number = [], 0, 0
    while sent < total:
        size = min(sizes[number % len(sizes)], total - sent)
        wire.append(b"%x\r\n%s\r\n" % (size, b"x" * size))
        sent += size
        number += 1
        if number % 8192 == 0 or size >= PIECE:
            yield b"".join(wire)
            wire.clear()
    yield b"".join(wire)


def pieces(total, piece):
    for sent in range(0, total, piece):
        yield b"x" * min(piece, total - sent)


class Client:
    """Sends a request with `header` and the byte strings `body`. Ends when all is sent or the node
    cuts it, and stays open until close()."""

    def __init__(self, address, target, header, body, method):
        self.socket = socket.create_connection(address, WAIT_S)
        head = f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n{header}\r\n\r\n"
        self.thread = threading.Thread(target=self.send, args=(head.encode(), body), daemon=True)

    def send(self, head, body):
        try:
            self.socket.sendall(head)
            for data in body:
                self.socket.sendall(data)
        except OSError:
            pass  # Cut by the node, or the node stopped reading.


class Crowd:
    def __init__(self, address, target):
        self.address, self.target, self.clients = address, target, []

    def add(self, header, body, method="POST"):
        self.clients.append(Client(self.address, self.target, header, body, method))

    def add_length(self, length, sent, piece):
        self.add(f"Content-Length: {length}", pieces(sent, piece))

    def add_chunked(self, sent, sizes, ends=False):
        body = list(chunks(sent, sizes))
        self.add("Transfer-Encoding: chunked", body + [b"0\r\n\r\n"] if ends else body)

    def start(self):
        for client in self.clients:
            client.thread.start()

    def wait_until_sent(self):
        for client in self.clients:
            client.thread.join()

    def close(self):
        for client in self.clients:
            client.socket.close()
        self.wait_until_sent()


def status_of(address, target, body):
    """The status of one request on a new connection."""
    connection = http.client.HTTPConnection(*address, timeout=WAIT_S)
    try:
        connection.request("POST", target, body, {"Host": HOST})
        answer = connection.getresponse()
        answer.read()
        return answer.status
    finally:
        connection.close()
