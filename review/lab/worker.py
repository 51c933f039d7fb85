"""Stand-in for a worker of a plain service: registers in the store, checks the target instance, and answers."""

import asyncio
import json
import time

from http11 import format_response, read_message

IDLE_SECONDS = 15


class Worker:
    """`on_run(worker, request)` is called when a request begins to run."""

    def __init__(self, instance, service, zone, store, on_run, slots=16, work_seconds=0.005):
        self.instance, self.service, self.zone = instance, service, zone
        self.store = store
        self.on_run = on_run
        self.slots = slots
        self.work_seconds = work_seconds
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.address = ""
        self.server = None
        self.writers = set()

    async def start(self, ip, port=0):
        self.server = await asyncio.start_server(self._serve, ip, port, backlog=512)
        self.address = "%s:%d" % (ip, self.server.sockets[0].getsockname()[1])

    def spec(self, state="ready"):
        self.seq += 1
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots, "state": state, "coldLeftMs": 0, "seq": self.seq, "born": self.born}

    def register(self, state="ready"):
        """Writes the entry and returns the time of the acknowledgement."""
        self.store.put("servers", self.instance, self.spec(state))
        return time.monotonic()

    def unregister(self):
        self.store.delete("servers", self.instance)
        return time.monotonic()

    def stop(self):
        """Exits: closes the listener and all connections."""
        self.server.close()
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

    async def _answer(self, request, writer):
        attempt = request.header("redwingseam-attempt-id")
        headers = {"Redwingseam-Attempt-Id": attempt, "Redwingseam-Instance-Id": self.instance, "Keep-Alive": f"timeout={IDLE_SECONDS}"}
        if request.target == "/healthz":
            writer.write(format_response(200, headers))
            return await writer.drain()
        if request.header("redwingseam-target-instance", self.instance) != self.instance:
            writer.write(format_response(421, {**headers, "Redwingseam-Not-Executed": "1"}))
            return await writer.drain()
        self.on_run(self, request)
        await asyncio.sleep(self.work_seconds)
        body = json.dumps({"attempt": attempt, "by": self.instance}).encode()
        writer.write(format_response(200, {**headers, "Redwingseam-Upstream-Seal": f"seal-{attempt}"}, body))
        await writer.drain()
