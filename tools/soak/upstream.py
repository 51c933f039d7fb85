"""Stand-in for an upstream with plain responses and resumable event streams."""

import asyncio
import hashlib
import time

from http_messages import format_response, read_message

EVENT_COUNT = 40
EVENT_INTERVAL_SECONDS = 0.03
PREFILL_SECONDS = 0.15
PLAIN_RESPONSE_SECONDS = 0.02
# A comment line of an event stream, which is not progress.
COMMENT = b":\n\n"


def expected_body(attempt):
    """Returns the only correct body of the plain response to an attempt."""
    return (hashlib.sha256(attempt.encode()).hexdigest() * 10).encode()


def expected_event(content, number):
    """Returns the only correct event with this number in a stream. `content` is the body of the request."""
    return f"id: {number}\ndata: {hashlib.sha256(content + str(number).encode()).hexdigest()[:16]}\n\n".encode()


class Upstream:
    """An upstream whose successive incarnations listen on the same port."""

    def __init__(self, name, service, zone, store, checker, random):
        self.name = name
        self.service = service
        self.zone = zone
        self.store = store
        self.checker = checker
        self.random = random
        self.incarnation_count = 0
        self.address = ""
        self.server = None
        self.writers = set()
        self.is_hung = False
        self.kv_backups = set()
        self.instance_id = ""
        # Attempts in progress, by connection. An attempt may come on two connections at once.
        self.running = {}
        # Function that replaces the response, or None.
        self.answer_fault = None
        # Parts of a prompt under which the upstream crashes, and the seconds until it is back.
        self.deadly_parts = {}

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.register()

    def register(self, state="ready"):
        if state == "ready":
            self.incarnation_count += 1
            self.instance_id = f"i-{self.name}-{self.incarnation_count}"
        spec = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 16, "state": state, "coldLeftMs": 0, "seq": self.incarnation_count, "born": int(time.time() * 1000)}
        self.store.put("servers", self.instance_id, spec)

    def unregister(self):
        self.store.delete("servers", self.instance_id)

    async def crash(self, seconds):
        """Resets all connections, refuses new ones, and restarts after the given time as a new incarnation."""
        if not self.server.is_serving():
            return
        port = int(self.address.split(":")[1])
        self.server.close()
        self.checker.broken_off.update(self.running.values())
        self.kv_backups.clear()
        for writer in list(self.writers):
            writer.transport.abort()
        old_instance_id = self.instance_id
        await asyncio.sleep(seconds)
        self.store.delete("servers", old_instance_id)
        await self.start(port)

    async def hang(self, seconds):
        """Sends nothing for the given time, then resets all open connections."""
        self.is_hung = True
        self.checker.broken_off.update(self.running.values())
        await asyncio.sleep(seconds)
        self.is_hung = False
        self.checker.broken_off.update(self.running.values())
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        if not self.server.is_serving():
            # Accepted just before the crash.
            return writer.transport.abort()
        self.writers.add(writer)
        try:
            while request := await read_message(reader):
                self.running[writer] = request.header("redwingseam-attempt-id")
                await self._respond(request, writer)
                del self.running[writer]
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.running.pop(writer, None)
            self.writers.discard(writer)
            writer.close()

    async def _wait_while_hung(self):
        while self.is_hung:
            await asyncio.sleep(0.02)

    async def _respond(self, request, writer):
        await self._wait_while_hung()
        attempt = request.header("redwingseam-attempt-id")
        headers = {"Redwingseam-Attempt-Id": attempt, "Keep-Alive": "timeout=5"}
        if request.header("redwingseam-target-instance") != self.instance_id:
            writer.write(format_response(421, {"Redwingseam-Instance-Id": self.instance_id}, b""))
            return await writer.drain()
        kv_source = request.header("kv-from")
        if kv_source and kv_source.split("/")[1] not in self.kv_backups:
            writer.write(format_response(503, {"Redwingseam-Not-Executed": "1"} | headers, b""))
            return await writer.drain()
        if self.random.random() < 0.02:
            writer.write(format_response(503, {"Redwingseam-Not-Executed": "1"} | headers, b""))
            return await writer.drain()
        self.checker.record_run(request, self)
        headers["Redwingseam-Upstream-Seal"] = "seal-" + attempt
        if self.is_hung:
            self.checker.broken_off.add(attempt)
        if self._crash_if_deadly(request):
            return
        if self.answer_fault:
            return await self.answer_fault(self, request, headers, writer)
        if "/stream/" in request.target:
            return await self._stream(request, headers, writer)
        await asyncio.sleep(PLAIN_RESPONSE_SECONDS * self.random.uniform(0.5, 2))
        await self._wait_while_hung()
        if "/read/" in request.target and self.random.random() < 0.05:
            writer.write(format_response(500, headers, b"failed"))
        else:
            writer.write(format_response(200, headers, expected_body(attempt)))
        await writer.drain()

    def _crash_if_deadly(self, request):
        parts = {part.split(":")[0] for part in request.header("redwingseam-prompt-prefix").split(",")}
        for part in parts & self.deadly_parts.keys():
            self.checker.deadly_runs.append(time.monotonic())
            self.checker.broken_off.add(request.header("redwingseam-attempt-id"))
            asyncio.create_task(self.crash(self.deadly_parts[part]))
            return True
        return False

    async def _stream(self, request, headers, writer):
        first = int(request.header("last-event-id", "0")) + 1
        await asyncio.sleep(0.01 if request.header("kv-from") else PREFILL_SECONDS)
        head = "\r\n".join(["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in headers.items()] + ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"])
        writer.write(head.encode() + b"\r\n\r\n")
        backup = self.checker.upstream_with_address(request.header("redwingseam-kv-backup"))
        for number in range(first, EVENT_COUNT + 1):
            await self._wait_while_hung()
            if writer.transport.is_closing():
                return
            data = expected_event(request.body, number)
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            if backup and number > first + 2:
                backup.kv_backups.add(request.header("redwingseam-attempt-id"))
            await asyncio.sleep(EVENT_INTERVAL_SECONDS)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
