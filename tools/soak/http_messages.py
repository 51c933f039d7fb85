"""Minimal HTTP/1.1 messages for the stand-ins and clients of the soak."""

import asyncio


class Message:
    """A complete request or response."""

    def __init__(self, start_line, headers, body):
        self.start_line = start_line
        self.headers = headers
        self.body = body

    @property
    def method(self):
        return self.start_line.split(" ")[0]

    @property
    def target(self):
        return self.start_line.split(" ")[1]

    @property
    def status(self):
        return int(self.start_line.split(" ")[1])

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Reads the start line, the headers and their names in order. Returns None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    names = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        names.append(name.strip().lower())
        headers[names[-1]] = value.strip()
    return lines[0], headers, names


async def read_chunk(reader):
    """Reads one chunk of a chunked body. Returns empty bytes at the end of the body."""
    line = await reader.readline()
    if not line.endswith(b"\n"):
        raise asyncio.IncompleteReadError(line, None)
    size = int(line.strip() or b"x", 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_message(reader):
    """Reads a complete message. Returns None at the end of the connection, and raises if the message is truncated."""
    head = await read_head(reader)
    if head is None:
        return None
    start_line, headers, _ = head
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while chunk := await read_chunk(reader):
            body += chunk
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(start_line, headers, body)


def format_response(status, headers, body):
    """Formats a response with a Content-Length header."""
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
