#!/usr/bin/env python3
"""Crowds of clients that send large bodies of legal size, whole or in pieces, and mostly stop short of their end.

The checks and bounds are those of crowd_test.py; a body may be as large as on any deployment in service. Run one case at a
time, apart from other load.
"""

import asyncio
import itertools
import os
import signal
import unittest

from crowd_case import CrowdCase, Member, head, short_lines, status_mb, unread_mb

CONNECTIONS = 300
BODY_LIMIT = 4 * 1024 * 1024
BODIES_OF_1_MIB = 1024 * 1024
PIECES = 16
# Between two pieces, so that all bodies of a crowd arrive side by side.
PIECE_PAUSE_SECONDS = 0.02
# Between the single bytes of a client that goes on without end.
TRICKLE_PAUSE_SECONDS = 0.2
# Of a process that other load keeps from the processor.
RUN_SECONDS = 0.05
STOP_SECONDS = 0.3
# Of the clients that come again.
ROUNDS = 4


def with_length(size, path="/book/x", extra=b""):
    return head("POST", path, extra + b"Content-Length: %d\r\n\r\n" % size)


def in_chunks(path="/book/x", extra=b""):
    return head("POST", path, extra + b"Transfer-Encoding: chunked\r\n\r\n")


def chunks(size, chunk_size):
    """Returns a body of about `size` bytes in chunks, without its end."""
    return (b"%x\r\n" % chunk_size + b"x" * chunk_size + b"\r\n") * (size // chunk_size)


def split(content, count=PIECES):
    size = -(-len(content) // count)
    return [content[start:start + size] for start in range(0, len(content), size)]


class BodyCrowd(CrowdCase):
    memory_mb = 48
    body_limit = BODY_LIMIT

    async def asyncSetUp(self):
        # The checks of asyncio's debug mode slow the crowd down.
        asyncio.get_running_loop().set_debug(False)
        await super().asyncSetUp()

    async def gather_in_turn(self, pieces):
        """As many bodies arrive side by side as the harness sends at a time. Those that are refused make way for others."""
        await self.gather_crowd(CONNECTIONS, pieces, pause=PIECE_PAUSE_SECONDS)

    async def gather_side_by_side(self, pieces, count=CONNECTIONS):
        await self.gather_crowd(count, pieces, pause=PIECE_PAUSE_SECONDS, at_once=count)

    async def check_ordinary_body(self):
        """One ordinary request with a body is answered, after refusals that promise that it was not run."""
        answers = []
        for _ in range(20):
            answers.append(await self.status_of([with_length(800, "/read/x"), b"x" * 800]))
            if " 200 " in answers[-1]:
                return
            await asyncio.sleep(0.5)
        self.fail(f"no answer to an ordinary request with a body: {answers}")

    async def sample_unread(self):
        self.peak_with_unread_mb = 0
        while True:
            self.peak_with_unread_mb = max(self.peak_with_unread_mb, status_mb(self.pid, "VmRSS") + unread_mb(self.pid))
            await asyncio.sleep(0.1)

    async def test_bodies_in_pieces_that_stop_short(self):
        await self.gather_in_turn([with_length(BODY_LIMIT), *split(b"x" * (BODY_LIMIT - 1))])
        await self.check_process(CONNECTIONS)

    async def test_bodies_of_1_mib_in_pieces_that_stop_short(self):
        await self.gather_in_turn([with_length(BODIES_OF_1_MIB), *split(b"x" * (BODIES_OF_1_MIB - 1))])
        await self.check_process(CONNECTIONS)

    async def test_bodies_at_once_that_stop_short(self):
        await self.gather_in_turn([with_length(BODY_LIMIT), b"x" * (BODY_LIMIT - 1)])
        await self.check_process(CONNECTIONS)

    async def test_half_bodies(self):
        await self.gather_in_turn([with_length(BODY_LIMIT), *split(b"x" * (BODY_LIMIT // 2))])
        await self.check_process(CONNECTIONS)

    async def test_whole_bodies(self):
        await self.gather_in_turn([with_length(BODY_LIMIT), b"x" * BODY_LIMIT])
        await self.check_process(CONNECTIONS)

    async def test_whole_bodies_in_pieces(self):
        await self.gather_in_turn([with_length(BODY_LIMIT), *split(b"x" * BODY_LIMIT)])
        await self.check_process(CONNECTIONS)

    async def test_whole_bodies_of_streams(self):
        await self.gather_in_turn([with_length(BODY_LIMIT, "/stream/40"), *split(b"x" * BODY_LIMIT)])
        await self.check_process(CONNECTIONS)

    async def test_one_chunk_without_end(self):
        await self.gather_in_turn([in_chunks(), *split(chunks(BODY_LIMIT - 1, BODY_LIMIT - 1))])
        await self.check_process(CONNECTIONS)

    async def test_usual_chunks_without_end(self):
        await self.gather_in_turn([in_chunks(), *split(chunks(BODY_LIMIT, 4096))])
        await self.check_process(CONNECTIONS)

    async def test_small_chunks_without_end(self):
        await self.gather_in_turn([in_chunks(), *split(chunks(BODIES_OF_1_MIB, 64))])
        await self.check_process(CONNECTIONS)

    async def test_bodies_under_heavy_heads(self):
        await self.gather_in_turn([with_length(BODIES_OF_1_MIB, extra=short_lines(14000)), *split(b"x" * (BODIES_OF_1_MIB - 1))])
        await self.check_process(CONNECTIONS)

    async def test_small_bodies_that_stop_short(self):
        size = 60 * 1024
        await self.gather_side_by_side([with_length(size), *split(b"x" * (size - 1))], count=3 * CONNECTIONS)
        await self.check_process(3 * CONNECTIONS)

    async def test_partial_lines_of_chunks(self):
        """Each connection sends all of a chunk's first line that is read before it must end."""
        await self.gather_side_by_side([in_chunks(), b"1;" + b"x" * 30000], count=3 * CONNECTIONS)
        await self.check_process(3 * CONNECTIONS)

    async def test_ordinary_heads_beside_large_bodies(self):
        await self.gather_crowd(8 * CONNECTIONS, [with_length(100, extra=short_lines(300))])
        await self.gather_side_by_side([with_length(BODY_LIMIT), *split(b"x" * (BODY_LIMIT - 1))])
        await self.check_process(9 * CONNECTIONS)

    async def test_bodies_that_go_on_one_byte_at_a_time(self):
        async def send_half(size):
            member = Member(True)
            self.crowd.append(member)
            await member.connect(self.gateway.client_port)
            await member.send([with_length(size), *split(b"x" * (size // 2))], PIECE_PAUSE_SECONDS)
            await member.send(itertools.repeat(b"x", size // 2 - 1), TRICKLE_PAUSE_SECONDS)

        # Down to sizes that leave no room.
        sizes = (BODIES_OF_1_MIB, BODIES_OF_1_MIB, 64 * 1024, 4096, 1024)
        sending = []
        for size in sizes:
            sending += [asyncio.create_task(send_half(size)) for _ in range(CONNECTIONS // len(sizes))]
            await asyncio.sleep(1)
        await self.check_ordinary_body()
        await self.check_process(CONNECTIONS)
        await asyncio.gather(*sending)

    async def test_requests_sent_ahead_that_are_not_read(self):
        """What the system holds unread for the process counts toward the memory of the machine too."""
        sampling = asyncio.create_task(self.sample_unread())
        await self.gather_crowd(CONNECTIONS, [head("GET", "/stream/400") + b"\r\n", (head("GET", "/read/x") + b"\r\n") * 10000], reads=False)
        sampling.cancel()
        print(f"with unread bytes: {self.peak_with_unread_mb:.1f} MB", flush=True)
        # Each stream has a connection to its upstream.
        await self.check_process(2 * CONNECTIONS)
        self.assertLessEqual(self.peak_with_unread_mb, self.memory_mb)

    async def check_unread_while_stopped(self, pieces, reads=True, upstream_connections=0):
        """The process runs for a moment at a time, as beside other load, while all clients send at once."""
        async def stop_again_and_again():
            while True:
                await asyncio.sleep(RUN_SECONDS)
                os.kill(self.pid, signal.SIGSTOP)
                await asyncio.sleep(STOP_SECONDS)
                os.kill(self.pid, signal.SIGCONT)

        tasks = [asyncio.create_task(self.sample_unread()), asyncio.create_task(stop_again_and_again())]
        try:
            await self.gather_crowd(CONNECTIONS, pieces, reads=reads, at_once=CONNECTIONS)
        finally:
            for task in tasks:
                task.cancel()
            os.kill(self.pid, signal.SIGCONT)
        print(f"with unread bytes: {self.peak_with_unread_mb:.1f} MB", flush=True)
        await self.check_process(CONNECTIONS + upstream_connections)
        self.assertLessEqual(self.peak_with_unread_mb, self.memory_mb)

    async def test_requests_sent_ahead_while_the_process_is_stopped(self):
        # A stream that stood still while the process did may have a second upstream connection.
        await self.check_unread_while_stopped([head("GET", "/stream/400") + b"\r\n", (head("GET", "/read/x") + b"\r\n") * 10000], reads=False, upstream_connections=2 * CONNECTIONS)

    async def test_refused_bodies_while_the_process_is_stopped(self):
        await self.check_unread_while_stopped([with_length(2 * BODY_LIMIT), b"x" * 2 * BODY_LIMIT])

    async def test_bodies_while_the_process_is_stopped(self):
        await self.check_unread_while_stopped([with_length(BODY_LIMIT), b"x" * (BODY_LIMIT - 1)])

    async def test_requests_begun_in_the_piece_that_ends_another(self):
        next_request = head("GET", "/read/x") + short_lines(14000) + b"\r\n"
        await self.gather_crowd(5 * CONNECTIONS, [head("GET", "/stream/2000") + b"\r\n" + next_request * 2])
        # Each stream has a connection to its upstream.
        await self.check_process(10 * CONNECTIONS)

    async def test_several_kinds_at_once(self):
        body = b"x" * (BODY_LIMIT - 1)
        kinds = [
            [with_length(BODY_LIMIT), *split(body)],
            [with_length(BODY_LIMIT), body],
            [in_chunks(), *split(chunks(BODY_LIMIT, 4096))],
            [with_length(BODY_LIMIT, extra=short_lines(14000)), *split(body[:BODY_LIMIT // 2])],
            [head("POST", "/book/x"), short_lines(15700), b"Content-Length: 100\r\n\r\n"],
            [head("GET", "/read/x"), short_lines(15800)],
        ]
        await asyncio.gather(*(self.gather_side_by_side(pieces, count=CONNECTIONS // len(kinds)) for pieces in kinds))
        await self.check_process(CONNECTIONS)

    async def test_clients_that_come_again_at_once(self):
        for _ in range(ROUNDS):
            await self.gather_in_turn([with_length(BODY_LIMIT), *split(b"x" * (BODY_LIMIT - 1))])
            for member in self.crowd:
                member.leave()
        await self.gather_in_turn([with_length(BODY_LIMIT), *split(b"x" * (BODY_LIMIT - 1))])
        await self.check_process(CONNECTIONS)

    async def test_limits_lowered_while_bodies_arrive(self):
        async def lower_limits():
            await asyncio.sleep(PIECES * PIECE_PAUSE_SECONDS / 2)
            self.publish_limits(body_limit=BODY_LIMIT // 4)

        await asyncio.gather(lower_limits(), self.gather_side_by_side([with_length(BODY_LIMIT), *split(b"x" * (BODY_LIMIT - 1))]))
        await self.check_process(CONNECTIONS)

    async def test_largest_body_is_served_in_calm(self):
        body = b"x" * BODY_LIMIT
        for parts in ([with_length(BODY_LIMIT), body],
                      [with_length(BODY_LIMIT), *split(body)],
                      [with_length(BODY_LIMIT, extra=short_lines(14000)), *split(body)],
                      [in_chunks(), chunks(BODY_LIMIT, 4096), b"0\r\n\r\n"],
                      [in_chunks(extra=short_lines(14000)), chunks(BODY_LIMIT, 64), b"0\r\n\r\n"]):
            self.assertIn(" 200 ", await self.status_of(parts))
        self.assertEqual({BODY_LIMIT}, set(self.received_body_sizes))


if __name__ == "__main__":
    unittest.main(verbosity=0)
