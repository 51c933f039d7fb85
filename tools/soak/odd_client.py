"""Client whose requests the gateway answers itself: many at a time without a route or a valid key, or with odd framing."""

import asyncio
import uuid

from connection import Connection, ProtocolError
from connection_checker import RESPONSE_TIMEOUT_SECONDS

MAX_PAUSE_SECONDS = 0.6
MIN_BURST, MAX_BURST = 50, 900
OWN_ANSWERS = {"none": (404, 503), "read": (401, 503)}
LENGTH_OF_INNER = "Content-Length: {length}"
# Header lines of which parsers may disagree where the body ends.
ODD_FRAMINGS = [
    ["Transfer-Encoding: gzip"], ["Transfer-Encoding: identity"], ["Transfer-Encoding: gzip, chunked"], ["Transfer-Encoding: chunked, chunked"], ["Transfer-Encoding: chunked;q=1"],
    ["Transfer-Encoding: chunked", "Transfer-Encoding: gzip"], ["Transfer-Encoding: gzip", "Transfer-Encoding: chunked"], ["Transfer-Encoding : chunked"],
    ["Transfer-Encoding: gzip", LENGTH_OF_INNER], [LENGTH_OF_INNER, "Transfer-Encoding: chunked"], [LENGTH_OF_INNER, LENGTH_OF_INNER], ["Content-Length: 0, {length}"], ["Content-Length: +{length}"],
]


class OddClient:
    def __init__(self, deployment, random):
        self.deployment = deployment
        self.checker = deployment.checker
        self.random = random

    async def run(self, stopping):
        while not stopping.is_set():
            await asyncio.sleep(self.random.uniform(0, MAX_PAUSE_SECONDS))
            try:
                connection = await Connection.open(self.deployment.choose_gateway_for_client())
            except (OSError, asyncio.TimeoutError):
                continue
            try:
                await asyncio.wait_for(self.random.choice([self._send_burst, self._send_odd_framing])(connection), RESPONSE_TIMEOUT_SECONDS)
            except asyncio.TimeoutError:
                self._record(connection, "no answer")
            except (OSError, asyncio.IncompleteReadError):
                self._record(connection, "closed without an answer")
            except ProtocolError as error:
                self.checker.record_violation("malformed", str(error))
            finally:
                connection.close()

    def _record(self, connection, detail):
        """Records a violation unless the soak has stopped the process, or let it stand still."""
        process = connection.process
        is_disturbed = process.terminated_at or process.killed_at or process.was_frozen_since(connection.idle_since - RESPONSE_TIMEOUT_SECONDS)
        if not is_disturbed:
            self.checker.record_violation("odd request", f"{detail} at {process.name}")

    async def _send_burst(self, connection):
        kind = self.random.choice(list(OWN_ANSWERS))
        count = self.random.randint(MIN_BURST, MAX_BURST)
        head = f"GET /{kind}/x HTTP/1.1\r\nHost: soak.example\r\nRedwingseam-Key: unknown\r\n\r\n".encode()
        await connection.send(head * count, b"", [])
        for _ in range(count):
            message = await connection.read_response(lambda message: None, lambda content: None)
            if message.status not in OWN_ANSWERS[kind]:
                self._record(connection, f"status {message.status} for /{kind}/ with an unknown key")
            if message.header("connection").lower() == "close":
                return

    async def _send_odd_framing(self, connection):
        """Sends a request whose body reads like a request, which must not run: no client has recorded it."""
        lines = ["Host: soak.example", f"Redwingseam-Key: {self.random.choice(self.deployment.keys)}"]
        inner, outer = ("\r\n".join(["POST /book/odd HTTP/1.1", *lines, f"Redwingseam-Attempt-Id: odd{uuid.UUID(int=self.random.getrandbits(128)).hex[:12]}"]) for _ in range(2))
        inner += "\r\nContent-Length: 0\r\n\r\n"
        framing = [line.format(length=len(inner)) for line in self.random.choice(ODD_FRAMINGS)]
        await connection.send("\r\n".join([outer, *framing, "", inner]).encode(), b"", [])
        message = await connection.read_response(lambda message: None, lambda content: None)
        rest = await connection.reader.read()
        if message.status != 400 or rest:
            self._record(connection, f"status {message.status} and {len(rest)} more bytes for {framing}")
