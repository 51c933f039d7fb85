#!/usr/bin/env python3
"""Tests of the soak's own checks: each breach is reported, and what is allowed isn't."""

import asyncio
import json
import pathlib
import random
import sys
import tempfile
import time
import types
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / "tools/soak"))

from connection import Connection, ProtocolError  # noqa: E402
from exchange import Exchange  # noqa: E402
from gateway import TERMINATION_GRACE_SECONDS  # noqa: E402
from gateway_process import GatewayProcess  # noqa: E402
from history_checker import HistoryChecker  # noqa: E402
from manifest import Limits, Manifest  # noqa: E402

LOW = Limits(maxHeaderBytes=8192, idleTimeoutMs=2000)
HIGH = Limits(maxHeaderBytes=32768, idleTimeoutMs=8000)


class ConnectionChecksTest(unittest.TestCase):
    def setUp(self):
        self.now = time.monotonic()
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        manifest = Manifest(random.Random(1))
        manifest.limits_by_version = {1: LOW, 2: HIGH}
        self.checker = HistoryChecker(3, manifest)
        self.process = GatewayProcess("node-0")
        self.process.started_at = self.now - 100
        self.log_lines = []
        self.put_in_force(2, 50)

    def log_event(self, event, age=0, **fields):
        self.log_lines.append(json.dumps({"time_ms": (time.time() - age) * 1000, "event": event, **fields}))

    def put_in_force(self, version, age):
        self.log_event("manifest_in_force", age, version=version)

    def add(self, status, sent_before=0.01, idle=1.0, **fields):
        exchange = Exchange("a1", "read", "key-0", self.process, idle, self.now - sent_before, sent_at=self.now - sent_before, ended_at=self.now, status=status)
        for name, value in fields.items():
            setattr(exchange, name, value)
        self.checker.record_response(exchange)

    def broken(self):
        folder = pathlib.Path(self.folder.name)
        (folder / "node-0.log").write_text("\n".join(self.log_lines))
        gateway = types.SimpleNamespace(name="node-0", folder=folder, processes=[self.process])
        self.checker.connections.finish([gateway])
        return [violation.split(":")[0] for violation in self.checker.violations]

    def test_close_under_a_request_is_reported_unless_the_idle_timeout_allows_it(self):
        self.add("closed", idle=6.0)
        self.assertEqual(self.broken(), ["crossed close"])

    def test_close_beyond_the_idle_timeout_in_force_is_allowed(self):
        self.add("closed", idle=6.5)
        self.assertEqual(self.broken(), [])

    def test_close_beyond_the_announced_time_is_allowed(self):
        self.add("closed", idle=5.0, announced_idle_seconds=5)
        self.assertEqual(self.broken(), [])

    def test_request_that_was_read_gets_an_answer(self):
        self.log_event("request_arrived", request="a1")
        self.add("closed", idle=9.0)
        self.assertEqual(self.broken(), ["lost"])

    def test_request_that_lay_unread_gets_an_answer(self):
        self.add("closed", sent_before=0.5, idle=0.1)
        self.assertEqual(self.broken(), ["lost"])

    def test_killed_process_owes_nothing(self):
        self.process.killed_at = self.now - 0.1
        self.add("closed")
        self.add("TimeoutError")
        self.assertEqual(self.broken(), [])

    def test_silence_is_reported_unless_the_process_was_frozen(self):
        self.add("TimeoutError", sent_before=12)
        self.assertEqual(self.broken(), ["unanswered"])
        self.checker.violations.clear()
        self.process.wakes.append(self.now - 5)
        self.assertEqual(self.broken(), [])

    def test_cut_answer_is_reported_unless_its_upstream_broke_off(self):
        self.add("closed", is_head_received=True)
        self.assertEqual(self.broken(), ["cut answer"])
        self.checker.violations.clear()
        self.checker.broken_off.add("a1")
        self.assertEqual(self.broken(), [])

    def test_announced_close_is_allowed(self):
        self.add("closed", was_pipelined=True, is_close_announced=True)
        self.assertEqual(self.broken(), [])

    def test_pipelined_request_behind_an_unannounced_close_is_reported(self):
        self.add("closed", idle=0.0, was_pipelined=True)
        self.assertEqual(self.broken(), ["crossed close"])

    def test_headers_within_the_limit_in_force_are_accepted(self):
        self.add(431, header_bytes=9000)
        self.assertEqual(self.broken(), ["denied"])

    def test_headers_beyond_a_limit_still_in_force_are_refused(self):
        self.log_lines.clear()
        self.put_in_force(1, 50)
        self.put_in_force(2, 0.1)
        self.add(431, header_bytes=9000)
        self.assertEqual(self.broken(), [])

    def test_idle_close_is_judged_by_the_limit_in_force(self):
        connection = types.SimpleNamespace(process=self.process, idle_since=self.now - 3, announced_idle_seconds=None)
        self.checker.connections.record_idle_close(connection)
        self.assertEqual(self.broken(), ["idle close"])
        self.checker.violations.clear()
        self.put_in_force(1, 5)
        self.assertEqual(self.broken(), [])

    def stop(self, seconds, returncode=0):
        self.process.terminated_at = self.now - seconds
        self.process.exited_at = self.now
        self.process.process = types.SimpleNamespace(returncode=returncode)

    def test_stop_without_requests_ends_soon(self):
        self.stop(TERMINATION_GRACE_SECONDS - 0.3)
        self.assertEqual(self.broken(), ["stop"])

    def test_stop_waits_for_requests(self):
        self.process.last_request_ended_at = self.now - 0.5
        self.stop(TERMINATION_GRACE_SECONDS - 0.3)
        self.assertEqual(self.broken(), [])

    def test_process_does_not_end_by_itself(self):
        self.stop(3, -11)
        self.assertEqual(self.broken(), ["exit"])


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def connect(self, answer):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await writer.drain()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        gateway = types.SimpleNamespace(process=GatewayProcess("node-0"), client_port=server.sockets[0].getsockname()[1])
        connection = await Connection.open(gateway)
        self.addCleanup(connection.close)
        await connection.send(b"GET / HTTP/1.1\r\n\r\n", b"", [])
        return connection

    async def read(self, answer):
        connection = await self.connect(answer)
        message = await asyncio.wait_for(connection.read_response(lambda message: None, lambda content: None), 1)
        return connection, message

    async def test_headers_that_come_twice_are_reported(self):
        for answer in (b"HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n"):
            with self.assertRaises(ProtocolError):
                await self.read(answer)

    async def test_second_set_of_headers_in_a_stream_is_reported(self):
        with self.assertRaises(ProtocolError):
            await self.read(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\nHTTP/1.1 200 OK\r\n\r\n")

    async def test_byte_past_an_answer_is_reported(self):
        connection, message = await self.read(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nab")
        self.assertEqual(message.body, b"a")
        with self.assertRaises(ProtocolError):
            await connection.wait_idle(0.5)

    async def test_connection_that_the_event_loop_has_closed_is_at_its_end(self):
        connection = await self.connect(b"")
        self.assertFalse(connection.is_end_pending())
        connection.close()
        await asyncio.sleep(0.01)
        self.assertTrue(connection.is_end_pending())


if __name__ == "__main__":
    unittest.main()
