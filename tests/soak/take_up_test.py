#!/usr/bin/env python3
"""Tests of the client that takes up a stream that broke."""

import asyncio
import pathlib
import random
import sys
import time
import types
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / "tools/soak"))

from client import Client  # noqa: E402
from gateway_process import GatewayProcess  # noqa: E402
from history_checker import HistoryChecker  # noqa: E402
from http_messages import format_response, read_message  # noqa: E402
from manifest import Limits, Manifest  # noqa: E402
from traffic import Traffic  # noqa: E402
from upstream import event_start  # noqa: E402

class TakeUpTest(unittest.IsolatedAsyncioTestCase):
    """Plays a gateway with scripted answers to a client that takes its stream up."""

    async def asyncSetUp(self):
        self.heads = []
        self.answers = []
        self.out_of_step = []
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        process = GatewayProcess("node-0")
        self.gateway = types.SimpleNamespace(process=process, client_port=server.sockets[0].getsockname()[1])
        self.checker = HistoryChecker(3, Manifest(random.Random(1)))
        deployment = types.SimpleNamespace(checker=self.checker, keys=["key-0"], is_in_touch=lambda connection, moment: not self.out_of_step, choose_gateway_for_client=lambda: self.gateway,
                                           choose_gateway_for_take_up=lambda stream: self.gateway, out_of_step=self.out_of_step, manifest=types.SimpleNamespace(limits=Limits()))
        self.client = Client(deployment, random.Random(2), Traffic(("stream",), 5, 5, 0, 0, take_up_pauses_seconds=(0,)))

    async def serve(self, reader, writer):
        request = await read_message(reader)
        self.heads.append(request)
        first, last, version, is_whole = self.answers.pop(0)
        if version is None:
            writer.write(format_response(503, {"Retry-After": "0.9"}, b""))
        else:
            writer.write(f"HTTP/1.1 200 OK\r\nRedwingseam-Upstream-Seal: seal-{request.header('redwingseam-attempt-id')}\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
            for number in range(first, last + 1):
                data = event_start(request.body, number) + f"engines {version}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            writer.write(b"0\r\n\r\n" if is_whole else b"")
        await writer.drain()
        writer.close()

    async def play(self, *answers):
        self.answers += answers
        await self.client._use_connection()
        self.checker.streams.finish()
        return [violation.split(":")[0] for violation in self.checker.violations]

    async def test_try_names_the_last_event_and_the_attempt_that_brought_the_first(self):
        self.assertEqual(await self.play((1, 0, "v1", False), (1, 2, "v1", False), (3, 3, "v1", False), (4, 5, "v1", True)), [])
        first, second, third, fourth = self.heads
        self.assertEqual([head.header("last-event-id") for head in self.heads], ["", "", "2", "3"])
        self.assertEqual([head.header("resumes") for head in self.heads], ["", "", second.header("redwingseam-attempt-id"), second.header("redwingseam-attempt-id")])
        self.assertEqual(len({head.header("redwingseam-attempt-id") for head in self.heads}), 4)
        self.assertEqual({(head.target, head.body, head.header("redwingseam-key")) for head in self.heads}, {(first.target, first.body, "key-0")})

    async def test_other_version_at_a_take_up_is_reported(self):
        self.assertEqual(await self.play((1, 2, "v1", False), (3, 5, "v2", True)), ["order"])

    async def test_short_answer_to_a_take_up_is_reported(self):
        self.assertEqual(await self.play((1, 2, "v1", False), (3, 4, "v1", True)), ["wrong response"])

    async def test_refused_take_up_comes_again_after_the_given_time(self):
        started_at = time.monotonic()
        self.assertEqual(await self.play((1, 2, "v1", False), (0, 0, None, False), (3, 5, "v1", True)), [])
        self.assertGreaterEqual(time.monotonic() - started_at, 0.9)

    async def test_tries_are_counted_as_new_or_taken_up(self):
        self.checker.serving.two_since[("engines", "v1")] = 0
        await self.play((1, 2, "v1", False), (0, 0, None, False), (3, 5, "v1", True))
        self.assertEqual(self.checker.streams.begun, [True])
        self.assertEqual([succeeded for succeeded, _ in self.checker.streams.went_on], [False, True])

    async def test_take_ups_at_a_gateway_without_news_are_counted_by_themselves(self):
        self.checker.serving.two_since[("engines", "v1")] = 0
        self.out_of_step.append(self.gateway)
        await self.play((1, 2, "v1", False), (0, 0, None, False), (3, 5, "v1", True))
        self.assertEqual(self.checker.streams.out_of_step, [False, True])
        self.assertEqual((self.checker.streams.begun, self.checker.streams.went_on), ([], []))


if __name__ == "__main__":
    unittest.main()
