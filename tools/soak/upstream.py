"""Stand-in for an upstream with plain responses and resumable event streams."""

import asyncio
import hashlib
import time

from http_messages import format_response, read_message

EVENT_INTERVAL_SECONDS = 0.03
PREFILL_SECONDS = 0.15
PLAIN_RESPONSE_SECONDS = 0.02
# A comment line of an event stream, which is not progress.
COMMENT = b":\n\n"


def expected_body(attempt):
    """Returns the only correct body of the plain response to an attempt."""
    return (hashlib.sha256(attempt.encode()).hexdigest() * 10).encode()


def event_start(content, number):
    """Returns how the event with this number begins, whoever writes it. `content` is the body of the request."""
    return f"id: {number}\ndata: {hashlib.sha256(content + str(number).encode()).hexdigest()[:16]} ".encode()


def event_count(target):
    """Returns the number of events in the stream with this target, which is the last part of its path."""
    return int(target.rsplit("/", 1)[1])


class Upstream:
    """An upstream whose successive incarnations listen on the same port and run the same software version."""

    def __init__(self, name, service, zone, version, store, checker, random):
        self.name = name
        self.service = service
        self.zone = zone
        self.version = version
        self.store = store
        self.checker = checker
        self.random = random
        self.incarnation_count = 0
        self.address = ""
        self.server = None
        self.writers = set()
        self.is_hung = False
        self.is_draining = False
        # Whether the store holds its entry, unless the store has lost it.
        self.is_listed = False
        # Doesn't come back after its end.
        self.is_retired = False
        self.started_at_ms = 0
        self.sequence = 0
        self.kv_backups = set()
        self.instance_id = ""
        # Attempts in progress, by connection. An attempt may come on two connections at once.
        self.running = {}
        # Function that replaces the response, or None.
        self.answer_fault = None
        # Parts of a prompt under which the upstream crashes, and the seconds until it is back.
        self.deadly_parts = {}

    async def start(self, port=0, keeps_id=False):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.started_at_ms = int(time.time() * 1000)
        self.sequence = 0
        if not keeps_id:
            self.take_new_id()
        self.register()

    @property
    def serves(self):
        """Whether gateways may send requests here and get the answers."""
        return self.server is not None and self.server.is_serving() and not (self.is_hung or self.is_draining or self.is_retired or self.answer_fault)

    def take_new_id(self):
        self.incarnation_count += 1
        self.instance_id = f"i-{self.name}-{self.incarnation_count}"

    def register(self):
        self.sequence += 1
        state = "draining" if self.is_draining else "ready"
        spec = {"service": self.service, "address": self.address, "zone": self.zone, "version": self.version, "slots": 16, "state": state, "coldLeftMs": 0, "seq": self.sequence, "born": self.started_at_ms}
        self.store.put("servers", self.instance_id, spec)
        self.is_listed = True
        self.note_change()

    def unregister(self):
        self.store.delete("servers", self.instance_id)
        self.is_listed = False

    def note_change(self):
        self.checker.serving.note(self)

    def set_answer_fault(self, answer_fault):
        self.answer_fault = answer_fault
        self.note_change()

    def event(self, content, number):
        """Returns an event that tells the checker who wrote it."""
        return event_start(content, number) + f"{self.service} {self.version}\n\n".encode()

    async def crash(self, seconds, keeps_id=False):
        """Resets all connections, refuses new ones, and restarts after the given time as a new incarnation."""
        if not self.server.is_serving():
            return
        port = int(self.address.split(":")[1])
        self._end()
        await asyncio.sleep(seconds)
        if not keeps_id or self.is_retired:
            self.unregister()
        if not self.is_retired:
            self.is_draining = False
            await self.start(port, keeps_id)

    def _end(self):
        self.server.close()
        self.note_change()
        self.checker.broken_off.update(self.running.values())
        self.kv_backups.clear()
        for writer in list(self.writers):
            writer.transport.abort()

    async def drain(self, seconds):
        """Says that it is leaving, and comes back under a new id after a while."""
        self.is_draining = True
        self.register()
        await asyncio.sleep(seconds)
        if not self.is_retired:
            self.unregister()
            await asyncio.sleep(0.5)
        if not self.is_retired and self.server.is_serving():
            self.is_draining = False
            self.take_new_id()
            self.register()

    async def retire(self, seconds, says_so):
        """Takes its entry back, at once or after it has said that it is leaving, serves for the given time and ends."""
        self.is_retired = True
        self.is_draining = True
        if says_so and self.server.is_serving():
            self.register()
        else:
            self.unregister()
            self.note_change()
        await asyncio.sleep(seconds)
        self.unregister()
        if self.server.is_serving():
            self._end()

    async def hang(self, seconds):
        """Sends nothing for the given time, then resets all open connections."""
        self.is_hung = True
        self.note_change()
        self.checker.broken_off.update(self.running.values())
        await asyncio.sleep(seconds)
        self.is_hung = False
        self.note_change()
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
        for number in range(first, event_count(request.target) + 1):
            await self._wait_while_hung()
            if writer.transport.is_closing():
                return
            data = self.event(request.body, number)
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            if backup and number > first + 2:
                backup.kv_backups.add(request.header("redwingseam-attempt-id"))
            await asyncio.sleep(EVENT_INTERVAL_SECONDS)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
