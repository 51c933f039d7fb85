"""Client that keeps using its connection until the gateway closes it, and checks every response."""

import asyncio
import contextlib
import time

from connection import Connection, ProtocolError
from connection_checker import IDLE_PART, RESPONSE_TIMEOUT_SECONDS
from exchange import Exchange
from request import Request
from stream_checker import STABLE_WINDOW_SECONDS
from traffic import MIXED_TRAFFIC
from upstream import expected_body

SHORT_IDLE_SECONDS = 0.15
# Leaves time for the request to arrive before the announced time is over.
ANNOUNCED_IDLE_PART = 0.95
AT_ONCE_SHARE = 0.35
LONG_IDLE_SHARE = 0.1
PIPELINED_SHARE = 0.1
PIPELINE_DELAY_SECONDS = 1.2
MAX_TRIES = 5
MIN_REMAINING_SECONDS = 2
FINAL_STATUSES = (200, 400, 401, 404, 413, 431)


class Client:
    def __init__(self, deployment, random, traffic=MIXED_TRAFFIC):
        self.deployment = deployment
        self.checker = deployment.checker
        self.random = random
        self.traffic = traffic
        self.connection = None
        self.stopping = asyncio.Event()

    async def run(self, stopping):
        self.stopping = stopping
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
        requests = [self._draw_request(limits)]
        delay = self.random.uniform(0, PIPELINE_DELAY_SECONDS)
        if requests[0].kind == "stream" and self.random.random() < PIPELINED_SHARE:
            requests.append(self._draw_request(limits))
        break_after = self._draw_break() if len(requests) == 1 and requests[0].stream else None
        abandons = len(requests) == 1 and break_after is None and self.random.random() < self.traffic.abandoned_share
        abandon_after = self.random.uniform(0.05, 1) if abandons else break_after
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
        for exchange, request in zip(exchanges, requests):
            if request.stream and (exchange.status == "closed" or (break_after is not None and exchange.status == "abandoned")):
                await self._take_up(request, exchange)

    def _draw_request(self, limits):
        request = Request(self.random, self.deployment.keys, limits, self.traffic)
        if request.stream:
            self.checker.streams.add(request.stream)
        return request

    async def _take_up(self, request, exchange):
        """Goes on with a stream that broke, at any gateway and within the time that the client has."""
        deadline = exchange.began_at + request.deadline_ms / 1000
        pause = self.random.choice(self.traffic.take_up_pauses_seconds)
        for _ in range(MAX_TRIES):
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.stopping.wait(), pause)
            remaining = deadline - time.monotonic()
            if self.stopping.is_set() or remaining < MIN_REMAINING_SECONDS:
                return
            pause = self.random.uniform(0.1, 0.6)
            request = request.next_try(self.random, int(remaining * 1000))
            try:
                gateway = self.deployment.choose_gateway_for_take_up(request.stream)
                # The answer of a process that stands still is waited for.
                break_after = None if gateway in self.deployment.out_of_step else self._draw_break()
                exchange = await self.send_once(gateway, request, break_after)
            except (OSError, asyncio.TimeoutError):
                # No connection was established.
                continue
            if exchange.status in FINAL_STATUSES:
                return
            if exchange.retry_after is not None:
                pause = min(exchange.retry_after, (deadline - time.monotonic()) / 3)

    def _draw_break(self):
        """Returns when the client loses the connection of a stream, or None."""
        return self.random.uniform(*self.traffic.break_seconds) if self.random.random() < self.traffic.broken_share else None

    async def send_once(self, gateway, request, abandon_after=None):
        """Sends a request on a connection of its own and returns what came of it."""
        connection = self.connection = await Connection.open(gateway)
        exchanges = [self._begin(connection, request, False)]
        sender = asyncio.create_task(self._send_all(connection, [request], exchanges, 0))
        try:
            await self._receive(connection, exchanges[0], request, abandon_after)
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
        exchange.was_out_of_step = connection.gateway in self.deployment.out_of_step
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
        offset = 0

        def note_head(message):
            exchange.is_head_received = True

        def note_content(content):
            nonlocal offset
            if request.stream:
                offset += request.stream.read(request.attempt, content[offset:])
                if request.stream.last_id > request.last_event_id:
                    self._record_try(connection, exchange, request, True)

        try:
            message = await asyncio.wait_for(connection.read_response(note_head, note_content), abandon_after or RESPONSE_TIMEOUT_SECONDS)
            exchange.status = message.status
            self._check_response(request, message, offset)
            if message.header("connection").lower() == "close":
                self._close()
            exchange.read_retry_after(message)
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
        if request.stream and exchange.status != "abandoned":
            self._record_try(connection, exchange, request, exchange.status == 200)

    def _record_try(self, connection, exchange, request, succeeded):
        """Records once whether the try brought its first event."""
        if exchange.is_recorded:
            return
        exchange.is_recorded = True
        if self.deployment.is_in_touch(connection, exchange.began_at - STABLE_WINDOW_SECONDS):
            self.checker.streams.record_try(exchange, request.stream, request.last_event_id > 0, succeeded)
        elif exchange.was_out_of_step and request.last_event_id > 0:
            self.checker.streams.out_of_step.append(succeeded)

    def _close(self):
        if self.connection:
            self.connection.close()
        self.connection = None

    def _check_response(self, request, message, stream_bytes):
        seal = message.header("redwingseam-upstream-seal")
        if message.status != 200:
            if seal and message.status in (503, 429):
                self.checker.record_violation("wrong response", f"{request.attempt}: status {message.status} carries an upstream signature")
            return
        if seal != "seal-" + request.attempt:
            self.checker.record_violation("wrong response", f"{request.attempt}: signature \"{seal}\" instead of \"seal-{request.attempt}\"")
        if request.stream and not (request.stream.is_complete and stream_bytes == len(message.body)):
            self.checker.record_violation("wrong response", f"{request.attempt}: the stream ends after event {request.stream.last_id} of {request.stream.event_count} and {len(message.body) - stream_bytes} more bytes")
        if not request.stream and message.body != expected_body(request.attempt):
            self.checker.record_violation("wrong response", f"{request.attempt}: body of {len(message.body)} bytes differs from the expected {len(expected_body(request.attempt))} bytes")
