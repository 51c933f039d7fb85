"""Client connection to a gateway, which reads responses strictly."""

import asyncio
import re
import select
import time

from http_messages import Message, read_chunk, read_head

UNIQUE_HEADERS = ["content-length", "transfer-encoding", "redwingseam-upstream-seal", "redwingseam-attempt-id"]


class ProtocolError(Exception):
    """The gateway sent bytes that are not one complete response."""


class Connection:
    def __init__(self, gateway, process, reader, writer):
        self.gateway = gateway
        self.process = process
        self.reader = reader
        self.writer = writer
        self.idle_since = time.monotonic()
        # How long the gateway keeps the connection idle, as its last response said, or None.
        self.announced_idle_seconds = None

    @staticmethod
    async def open(gateway):
        process = gateway.process
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", gateway.client_port), 1)
        if process is not gateway.process:
            writer.transport.abort()
            raise ConnectionResetError("the gateway was restarted meanwhile")
        return Connection(gateway, process, reader, writer)

    def close(self):
        self.writer.transport.abort()

    async def wait_idle(self, seconds):
        """Returns whether the connection is still open. Raises if the gateway sends anything meanwhile."""
        try:
            data = await asyncio.wait_for(self.reader.read(1), seconds)
        except asyncio.TimeoutError:
            return not self.is_end_pending()
        except ConnectionError:
            return False
        if data:
            raise ProtocolError(f"byte {data!r} after the end of a response")
        return False

    def is_end_pending(self):
        """Returns whether the gateway has closed the connection, whether or not the event loop knows it."""
        descriptor = self.writer.get_extra_info("socket").fileno()
        if descriptor < 0:
            return True
        poll = select.poll()
        poll.register(descriptor, select.POLLRDHUP)
        return bool(poll.poll(0))

    async def send(self, head, body, pauses):
        """Sends the head, then the body in as many pieces as there are pauses, plus one."""
        size = len(body) // (len(pauses) + 1) + 1
        self.writer.write(head + body[:size])
        for number, pause in enumerate(pauses, 1):
            await asyncio.sleep(pause)
            self.writer.write(body[number * size:(number + 1) * size])
            await self.writer.drain()

    async def read_response(self, on_head, on_content):
        """Reads one response. Calls `on_head`, and `on_content` with the content so far after each chunk."""
        head = await read_head(self.reader)
        if head is None:
            raise ConnectionResetError("closed before the headers")
        message = Message(head[0], head[1], b"")
        self._check_head(message, head[2])
        on_head(message)
        if message.header("transfer-encoding") == "chunked":
            try:
                while chunk := await read_chunk(self.reader):
                    message.body += chunk
                    on_content(message.body)
            except ValueError as error:
                raise ProtocolError(f"no chunk after {message.body[-60:]!r}: {error}") from error
        else:
            message.body = await self.reader.readexactly(int(message.header("content-length", "0")))
        self.idle_since = time.monotonic()
        timeout = re.search(r"timeout=(\d+)", message.header("keep-alive"))
        self.announced_idle_seconds = int(timeout[1]) if timeout else None
        return message

    @staticmethod
    def _check_head(message, names):
        if not message.start_line.startswith("HTTP/1.1 ") or any(name.startswith("http/") for name in names):
            raise ProtocolError(f"not one set of headers: {message.start_line[:80]!r}")
        repeated = [name for name in UNIQUE_HEADERS if names.count(name) > 1]
        if repeated:
            raise ProtocolError(f"headers {repeated} come twice")
