"""Client that reuses its connection until it is closed, and checks every response."""

import asyncio
import uuid

from http_messages import Message, read_chunk, read_head
from upstream import EVENT_COUNT, expected_body, expected_event

REQUEST_KINDS = ["read", "book", "stream"]
RESPONSE_TIMEOUT_SECONDS = 12


class Client:
    def __init__(self, checker, random, choose_address, keys):
        self.checker = checker
        self.random = random
        # Returns the address of a gateway that accepts new connections.
        self.choose_address = choose_address
        self.keys = keys
        self.connection = None

    async def run(self, stopping):
        while not stopping.is_set():
            await self.send_request()
            await asyncio.sleep(self.random.uniform(0, 0.15))

    async def send_request(self):
        attempt = uuid.UUID(int=self.random.getrandbits(128)).hex[:16]
        kind = self.random.choice(REQUEST_KINDS)
        key = self.random.choice(self.keys)
        body = b"" if kind == "read" else attempt.encode() * self.random.randint(1, 60)
        try:
            if self.connection is None:
                host, port = self.choose_address().split(":")
                self.connection = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            reader, writer = self.connection
            self.checker.record_sent(attempt, kind, key)
            writer.write(self._format_request(attempt, kind, key, body))
            status = await asyncio.wait_for(self._read_response(reader, attempt, kind, body), RESPONSE_TIMEOUT_SECONDS)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as error:
            status = type(error).__name__
            self._close()
        self.checker.record_response(attempt, kind, status)

    def _close(self):
        if self.connection:
            self.connection[1].transport.abort()
        self.connection = None

    @staticmethod
    def _format_request(attempt, kind, key, body):
        method = "GET" if kind == "read" else "POST"
        lines = [f"{method} /{kind}/x HTTP/1.1", "Host: soak.example", f"Redwingseam-Attempt-Id: {attempt}", f"Redwingseam-Key: {key}", "Redwingseam-Deadline-Ms: 10000"]
        if kind == "stream":
            lines += ["Redwingseam-Token-Usage: 800,200", "Redwingseam-Model: m"]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    async def _read_response(self, reader, attempt, kind, body):
        head = await read_head(reader)
        if head is None:
            raise ConnectionResetError
        message = Message(head[0], head[1], b"")
        chunked = message.header("transfer-encoding") == "chunked"
        content = b""
        if chunked:
            while chunk := await read_chunk(reader):
                content += chunk
                self._check_prefix(attempt, body, content)
        else:
            content = await reader.readexactly(int(message.header("content-length", "0")))
        self._check_response(attempt, kind, body, message, content)
        if message.header("connection") == "close":
            self._close()
        return message.status

    def _check_prefix(self, attempt, body, content):
        complete = b"".join(expected_event(body, number) for number in range(1, EVENT_COUNT + 1))
        if not complete.startswith(content):
            self.checker.record_violation("event order", f"{attempt}: the stream ends in unexpected bytes {content[-80:]!r}")

    def _check_response(self, attempt, kind, body, message, content):
        if message.status != 200:
            if message.header("redwingseam-upstream-seal") and message.status in (503, 429):
                self.checker.record_violation("wrong response", f"{attempt}: status {message.status} carries an upstream signature")
            return
        if message.header("redwingseam-upstream-seal") != "seal-" + attempt:
            self.checker.record_violation("wrong response", f"{attempt}: signature \"{message.header('redwingseam-upstream-seal')}\" instead of \"seal-{attempt}\"")
        expected = b"".join(expected_event(body, number) for number in range(1, EVENT_COUNT + 1)) if kind == "stream" else expected_body(attempt)
        if content != expected:
            self.checker.record_violation("wrong response", f"{attempt}: body of {len(content)} bytes differs from the expected {len(expected)} bytes")
