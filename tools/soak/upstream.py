"""Stand-in of an upstream: plain answers and streams of events that can go on after a given one."""

import asyncio
import hashlib
import time

from http_messages import format_answer, read_message

EVENTS = 40
EVENT_GAP = 0.03
READ_TIME = 0.15
PLAIN_TIME = 0.02


def body_of(attempt):
    """The one right body of an attempt's plain answer."""
    return (hashlib.sha256(attempt.encode()).hexdigest() * 10).encode()


def event_of(content, number):
    """The one right event of a stream; `content` is the request's body."""
    return f"id: {number}\ndata: {hashlib.sha256(content + str(number).encode()).hexdigest()[:16]}\n\n".encode()


class Upstream:
    """One incarnation after the other on one port."""

    def __init__(self, name, service, zone, store, journal, random):
        self.name = name
        self.service = service
        self.zone = zone
        self.store = store
        self.journal = journal
        self.random = random
        self.number = 0
        self.address = ""
        self.server = None
        self.writers = set()
        self.is_dark = False
        self.copies = set()
        self.identity = ""

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.register()

    def register(self, state="ready"):
        if state == "ready":
            self.number += 1
            self.identity = f"i-{self.name}-{self.number}"
        spec = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 16, "state": state, "coldLeftMs": 0, "seq": self.number, "born": int(time.time() * 1000)}
        self.store.put("servers", self.identity, spec)

    def unregister(self):
        self.store.delete("servers", self.identity)

    async def crash(self, seconds):
        """Resets all connections and refuses new ones; comes back as a new incarnation."""
        if not self.server.is_serving():
            return
        port = int(self.address.split(":")[1])
        self.server.close()
        self.copies.clear()
        for writer in list(self.writers):
            writer.transport.abort()
        old = self.identity
        await asyncio.sleep(seconds)
        self.store.delete("servers", old)
        await self.start(port)

    async def go_dark(self, seconds):
        """Says nothing for a while, then resets what was open."""
        self.is_dark = True
        await asyncio.sleep(seconds)
        self.is_dark = False
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while request := await read_message(reader):
                await self._answer(request, writer)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _light(self):
        while self.is_dark:
            await asyncio.sleep(0.02)

    async def _answer(self, request, writer):
        await self._light()
        attempt = request.header("redwingseam-attempt-id")
        headers = {"Redwingseam-Attempt-Id": attempt, "Keep-Alive": "timeout=5"}
        if request.header("redwingseam-target-instance") != self.identity:
            writer.write(format_answer(421, {"Redwingseam-Instance-Id": self.identity}, b""))
            return await writer.drain()
        origin = request.header("kv-from")
        if origin and origin.split("/")[1] not in self.copies:
            writer.write(format_answer(503, {"Redwingseam-Not-Executed": "1"} | headers, b""))
            return await writer.drain()
        if self.random.random() < 0.02:
            writer.write(format_answer(503, {"Redwingseam-Not-Executed": "1"} | headers, b""))
            return await writer.drain()
        self.journal.note_run(request, self)
        headers["Redwingseam-Upstream-Seal"] = "seal-" + attempt
        if "/stream/" in request.target:
            return await self._stream(request, headers, writer)
        await asyncio.sleep(PLAIN_TIME * self.random.uniform(0.5, 2))
        await self._light()
        if "/read/" in request.target and self.random.random() < 0.05:
            writer.write(format_answer(500, headers, b"failed"))
        else:
            writer.write(format_answer(200, headers, body_of(attempt)))
        await writer.drain()

    async def _stream(self, request, headers, writer):
        first = int(request.header("last-event-id", "0")) + 1
        await asyncio.sleep(0.01 if request.header("kv-from") else READ_TIME)
        head = "\r\n".join(["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in headers.items()] + ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"])
        writer.write(head.encode() + b"\r\n\r\n")
        backup = self.journal.upstream_at(request.header("redwingseam-kv-backup"))
        for number in range(first, EVENTS + 1):
            await self._light()
            if writer.transport.is_closing():
                return
            data = event_of(request.body, number)
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            if backup and number > first + 2:
                backup.copies.add(request.header("redwingseam-attempt-id"))
            await asyncio.sleep(EVENT_GAP)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
