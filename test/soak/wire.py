"""Reads and writes the HTTP/1.1 messages of the stand-ins and clients of the soak."""
import asyncio
import dataclasses

REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone",
           421: "Misdirected Request", 429: "Too Many Requests", 503: "Service Unavailable"}


@dataclasses.dataclass
class Message:
    """A request, or an answer with its status in `method`."""
    method: str
    target: str
    headers: dict
    body: bytes


async def read_message(reader):
    """Returns the next message (Content-Length or chunked), or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    words = lines[0].split(" ", 2)
    is_answer = words[0].startswith("HTTP/")
    body = b""
    if headers.get("transfer-encoding") == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(words[1] if is_answer else words[0], "" if is_answer else words[1], headers, body)


async def respond(writer, status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    writer.write("\r\n".join(lines).encode() + body)
    await writer.drain()


async def send_request(writer, method, target, host, headers=(), body=b""):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
    await writer.drain()
