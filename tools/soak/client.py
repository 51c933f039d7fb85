"""Client that keeps using its connection until the gateway closes it, and checks every response."""

import asyncio
import time
import uuid

from connection import Connection, ProtocolError
from connection_checker import IDLE_PART, RESPONSE_TIMEOUT_SECONDS
from exchange import Exchange
from upstream import COMMENT, EVENT_COUNT, expected_body, expected_event

REQUEST_KINDS = ["read", "book", "stream", "read", "book", "stream", "extra"]
SHORT_IDLE_SECONDS = 0.15
# Leaves time for the request to arrive before the announced time is over.
ANNOUNCED_IDLE_PART = 0.95
AT_ONCE_SHARE = 0.35
LONG_IDLE_SHARE = 0.1
SLOW_BODY_SHARE = 0.15
LARGE_REQUEST_SHARE = 0.03
PIPELINED_SHARE = 0.1
PIPELINE_DELAY_SECONDS = 1.2
ABANDONED_SHARE = 0.04


class Request:
    def __init__(self, random, keys, limits, kinds=REQUEST_KINDS):
        self.attempt = uuid.UUID(int=random.getrandbits(128)).hex[:16]
        self.kind = random.choice(kinds)
        self.key = random.choice(keys)
        has_body = self.kind in ("book", "stream")
        self.body = self.attempt.encode() * random.randint(1, 60) if has_body else b""
        self.headers = []
        self.padding = 0
        self.pauses = []
        if random.random() < LARGE_REQUEST_SHARE:
            self.padding = int(random.uniform(0.3, 0.8) * limits.maxHeaderBytes) - 400
            if self.kind == "book":
                self.body = self.attempt.encode() * int(random.uniform(0.3, 0.8) * limits.maxBodyBytes / 16)
        if has_body and random.random() < SLOW_BODY_SHARE:
            self.pauses = [random.uniform(0, 0.4) for _ in range(random.randint(1, 3))]

        self.complete_stream = b"".join(expected_event(self.body, number) for number in range(1, EVENT_COUNT + 1)) if self.kind == "stream" else b""

    def head(self):
        method = "POST" if self.body else "GET"
        lines = [f"{method} /{self.kind}/{self.attempt} HTTP/1.1", "Host: soak.example", f"Redwingseam-Attempt-Id: {self.attempt}", f"Redwingseam-Key: {self.key}", "Redwingseam-Deadline-Ms: 10000", *self.headers]
        if self.padding:
            lines.append("X-Padding: " + "p" * self.padding)
        if self.kind == "stream":
            lines += ["Redwingseam-Token-Usage: 800,200", "Redwingseam-Model: m"]
        if self.body:
            lines.append(f"Content-Length: {len(self.body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Client:
    def __init__(self, deployment, random):
        self.deployment = deployment
        self.checker = deployment.checker
        self.random = random
        self.connection = None

    async def run(self, stopping):
        while not stopping.is_set():
            try:
                await self._pause()
                await self._use_connection()
            except ProtocolError as error:
                self.checker.record_violation("malformed", str(error))
                self._close()
            except (OSError, asyncio.TimeoutError):
                # No connection was established.
                self._close()
                await asyncio.sleep(SHORT_IDLE_SECONDS)
        self._close()

    async def _pause(self):
        """Leaves the connection idle for a while, or for no time at all."""
        choice = self.random.random()
        if choice < AT_ONCE_SHARE:
            return
        seconds = self.random.uniform(0, SHORT_IDLE_SECONDS)
        if self.connection is None:
            return await asyncio.sleep(seconds)
        if choice > 1 - LONG_IDLE_SHARE:
            seconds = self.random.uniform(0.2, IDLE_PART) * self.deployment.manifest.limits.idleTimeoutMs / 1000
        announced = self.connection.announced_idle_seconds
        if announced is not None:
            seconds = min(seconds, ANNOUNCED_IDLE_PART * announced)
        if not await self.connection.wait_idle(seconds):
            self.checker.connections.record_idle_close(self.connection)
            self._close()

    async def _use_connection(self):
        """Sends a request, sometimes with a second one before the first is answered, and reads the responses."""
        if self.connection is None:
            self.connection = await Connection.open(self.deployment.choose_gateway_for_client())
        connection = self.connection
        limits = self.deployment.manifest.limits
        requests = [Request(self.random, self.deployment.keys, limits)]
        delay = self.random.uniform(0, PIPELINE_DELAY_SECONDS)
        if requests[0].kind == "stream" and self.random.random() < PIPELINED_SHARE:
            requests.append(Request(self.random, self.deployment.keys, limits))
        abandon_after = self.random.uniform(0.05, 1) if len(requests) == 1 and self.random.random() < ABANDONED_SHARE else None
        exchanges = [self._begin(connection, requests[0], False)]
        sender = asyncio.create_task(self._send_all(connection, requests, exchanges, delay))
        try:
            await self._receive(connection, exchanges[0], requests[0], abandon_after)
            if len(exchanges) > 1:
                # Only an answer that was cut, or that announces the close, ends the connection here.
                exchanges[1].is_close_announced = self.connection is None
                await self._receive(connection, exchanges[1], requests[1], None)
        finally:
            sender.cancel()
            if exchanges[-1].sent_at is None:
                self._close()
            await asyncio.gather(sender, return_exceptions=True)

    async def send_once(self, gateway, request):
        """Sends a request on a connection of its own and returns what came of it."""
        connection = self.connection = await Connection.open(gateway)
        exchanges = [self._begin(connection, request, False)]
        sender = asyncio.create_task(self._send_all(connection, [request], exchanges, 0))
        try:
            await self._receive(connection, exchanges[0], request, None)
        finally:
            sender.cancel()
            await asyncio.gather(sender, return_exceptions=True)
            self._close()
        return exchanges[0]

    def _begin(self, connection, request, is_pipelined):
        now = time.monotonic()
        idle_seconds = 0.0 if is_pipelined else now - connection.idle_since
        exchange = Exchange(request.attempt, request.kind, request.key, connection.process, idle_seconds, now, len(request.head()), len(request.body), was_pipelined=is_pipelined)
        exchange.announced_idle_seconds = connection.announced_idle_seconds
        exchange.was_closed_before = connection.is_end_pending()
        exchange.process.request_began()
        self.checker.record_sent(request)
        return exchange

    async def _send_all(self, connection, requests, exchanges, delay):
        for number, request in enumerate(requests):
            if number:
                await asyncio.sleep(delay)
                exchanges.append(self._begin(connection, request, True))
                exchanges[0].has_follower = True
            await connection.send(request.head(), request.body, request.pauses)
            exchanges[-1].sent_at = time.monotonic()

    async def _receive(self, connection, exchange, request, abandon_after):
        def note_head(message):
            exchange.is_head_received = True

        try:
            read = connection.read_response(note_head, lambda content: self._check_prefix(request, content))
            message = await asyncio.wait_for(read, abandon_after or RESPONSE_TIMEOUT_SECONDS)
            exchange.status = message.status
            self._check_response(request, message)
            if message.header("connection").lower() == "close":
                self._close()
        except asyncio.TimeoutError:
            exchange.status = "abandoned" if abandon_after else "TimeoutError"
            self._close()
        except (OSError, asyncio.IncompleteReadError):
            exchange.status = "closed"
            self._close()
        except ProtocolError as error:
            exchange.status = "malformed"
            raise ProtocolError(f"{exchange.attempt} at {exchange.process.name}: {error}") from error
        finally:
            exchange.ended_at = time.monotonic()
            exchange.process.request_ended()
            self.checker.record_response(exchange)

    def _close(self):
        if self.connection:
            self.connection.close()
        self.connection = None

    def _check_prefix(self, request, content):
        if request.kind == "stream" and not request.complete_stream.startswith(content.replace(COMMENT, b"")):
            raise ProtocolError(f"the stream ends in unexpected bytes {content[-80:]!r}")

    def _check_response(self, request, message):
        seal = message.header("redwingseam-upstream-seal")
        if message.status != 200:
            if seal and message.status in (503, 429):
                self.checker.record_violation("wrong response", f"{request.attempt}: status {message.status} carries an upstream signature")
            return
        if seal != "seal-" + request.attempt:
            self.checker.record_violation("wrong response", f"{request.attempt}: signature \"{seal}\" instead of \"seal-{request.attempt}\"")
        expected = request.complete_stream if request.kind == "stream" else expected_body(request.attempt)
        if message.body.replace(COMMENT, b"") != expected:
            self.checker.record_violation("wrong response", f"{request.attempt}: body of {len(message.body)} bytes differs from the expected {len(expected)} bytes")
