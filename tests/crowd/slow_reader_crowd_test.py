#!/usr/bin/env python3
"""Crowds of clients that read large answers slowly, or not at all.

The checks and bounds are those of crowd_test.py; an answer is far smaller than what the gateway takes from an upstream. Run one
case at a time, apart from other load.
"""

import asyncio
import contextlib
import socket
import unittest

from crowd_case import CrowdCase, head
from http_messages import format_response

CONNECTIONS = 300
ANSWER_BYTES = 512 * 1024
PIECE_BYTES = 2048
PAUSE_SECONDS = 1.0
# Of the client that reads slowly, but within its time.
CALM_PIECE_BYTES = 32 * 1024
CALM_PAUSE_SECONDS = 0.1
# A window and segments as to a client far away. Loopback would hold megabytes.
WINDOW_BYTES = 8192
SEGMENT_BYTES = 1460
CROWD_SECONDS = 4


async def answer(upstream, request, headers, writer):
    writer.write(format_response(200, headers, b"x" * ANSWER_BYTES if "/large" in request.target else b"ok"))
    await writer.drain()


class SlowReader:
    """Sends a request and reads the answer piece by piece."""

    def __init__(self):
        self.received = 0
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)

    async def send(self, port, path):
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self.socket, ("127.0.0.1", port))
        await loop.sock_sendall(self.socket, head("GET", path, b"\r\n"))

    async def read(self, piece_bytes, pause_seconds):
        with contextlib.suppress(OSError):
            while piece := await asyncio.get_running_loop().sock_recv(self.socket, piece_bytes):
                self.received += len(piece)
                if self.received > ANSWER_BYTES:
                    return
                await asyncio.sleep(pause_seconds)

    def leave(self):
        self.socket.close()


class SlowReaderCrowd(CrowdCase):
    memory_mb = 48

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.readers = []
        for upstream in self.upstreams:
            upstream.answer_fault = answer

    async def asyncTearDown(self):
        for reader in self.readers:
            reader.cancel()
        await asyncio.gather(*self.readers, return_exceptions=True)
        await super().asyncTearDown()

    async def gather_readers(self, reads, path="/read/large"):
        for _ in range(CONNECTIONS):
            member = SlowReader()
            self.crowd.append(member)
            with contextlib.suppress(OSError):
                await member.send(self.gateway.client_port, path)
            if reads:
                self.readers.append(asyncio.create_task(member.read(PIECE_BYTES, PAUSE_SECONDS)))
            await asyncio.sleep(0.01)
        await asyncio.sleep(CROWD_SECONDS)

    async def test_large_answers_that_are_read_slowly(self):
        await self.gather_readers(True)
        await self.check_process(CONNECTIONS)

    async def test_large_answers_that_are_not_read(self):
        await self.gather_readers(False)
        await self.check_process(CONNECTIONS)

    async def test_large_answers_to_requests_that_are_not_repeated(self):
        await self.gather_readers(True, "/book/large")
        await self.check_process(CONNECTIONS)

    async def test_large_answer_is_read_slowly_in_calm(self):
        member = SlowReader()
        self.crowd.append(member)
        await member.send(self.gateway.client_port, "/read/large")
        await member.read(CALM_PIECE_BYTES, CALM_PAUSE_SECONDS)
        self.assertGreater(member.received, ANSWER_BYTES)
        await self.check_process(1)


if __name__ == "__main__":
    unittest.main()
