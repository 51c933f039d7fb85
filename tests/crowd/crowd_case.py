"""A case with a crowd of clients that nobody controls, against one gateway process on loopback."""

import asyncio
import contextlib
import os
import pathlib
import random
import sys
import tempfile
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / "tools/soak"))

from deployment import BOUNDS  # noqa: E402
from gateway import Gateway  # noqa: E402
from history_checker import HistoryChecker  # noqa: E402
from manifest import Manifest  # noqa: E402
from store import Store  # noqa: E402
from upstream import Upstream  # noqa: E402

BINARY = str(pathlib.Path(os.environ.get("REDWINGSEAM_BUILD", pathlib.Path(__file__).parents[2] / "build/release")) / "redwingseam-gateway")
MB = 1024 * 1024
# Of the ordinary request at the end: its connections from the client and to the upstream.
REQUEST_DESCRIPTORS = 2
KEY = "key-0"


def status_mb(pid, field):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(field + ":"):
            return int(line.split()[1]) / 1024
    raise RuntimeError(f"process {pid} states no {field}")


def descriptor_count(pid):
    return len(os.listdir(f"/proc/{pid}/fd"))


def unread_mb(pid):
    """Returns what the system has received for the TCP sockets of a process, and the process has not read."""
    sockets = set()
    for descriptor in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(OSError):
            sockets.add(os.readlink(descriptor).removeprefix("socket:[").removesuffix("]"))
    connections = [line.split() for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return sum(int(fields[4].split(":")[1], 16) for fields in connections if fields[9] in sockets) / MB


def is_known_red(test):
    """Returns whether KNOWN-RED.txt lists this test, as `Class.test_name |`, and known failures are not to be run."""
    listed = (pathlib.Path(__file__).parents[2] / "KNOWN-RED.txt").read_text().splitlines()
    return "REDWINGSEAM_RUN_KNOWN_RED" not in os.environ and any(line.startswith(test + " |") for line in listed)


def head(method, path, extra=b""):
    lines = f"{method} {path} HTTP/1.1\r\nHost: soak.example\r\nRedwingseam-Attempt-Id: {random.randrange(1 << 60):x}\r\nRedwingseam-Deadline-Ms: 4000\r\nRedwingseam-Key: {KEY}\r\n"
    return lines.encode() + extra


def short_lines(size, line=b"a:b\r\n"):
    """Returns header lines of about `size` bytes together, all as short as `line`."""
    return line * (size // len(line))


class Member:
    """One connection of a crowd. It sends what it was given as far as the gateway takes it, and reads only if told to."""

    def __init__(self, reads):
        self.reads = reads
        self.reader = self.writer = None
        self.received = b""

    async def connect(self, port):
        try:
            self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port, limit=4096), 3)
        except (OSError, asyncio.TimeoutError):
            return
        if not self.reads:
            self.writer.transport.pause_reading()

    async def send(self, pieces, pause=0):
        if not self.writer:
            return
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            for piece in pieces:
                self.writer.write(piece)
                await asyncio.wait_for(self.writer.drain(), 3)
                await asyncio.sleep(pause)

    def leave(self):
        if self.writer:
            self.writer.transport.abort()


class RunRecorder(HistoryChecker):
    """Keeps the sizes of the bodies with which requests ran."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.body_sizes = []

    def record_run(self, request, upstream):
        super().record_run(request, upstream)
        if request.body:
            self.body_sizes.append(len(request.body))


class CrowdCase(unittest.IsolatedAsyncioTestCase):
    """A test case with one gateway process and a crowd of clients. A subclass sets the limits, so that a small crowd shows the fault."""

    # Of the machine, lower than that of any in service.
    memory_mb = 48
    # Of the manifest.
    head_limit = 16 * 1024
    body_limit = 256 * 1024
    # Descriptors of the process beside those of the crowd.
    other_descriptors = 150
    # What may remain of the crowd's memory after it has left.
    remaining_mb = 8

    async def asyncSetUp(self):
        test = ".".join(self.id().split(".")[-2:])
        if is_known_red(test):
            print(f"{test}: known red, passed over", flush=True)
            self.skipTest("known red")
        self.folder = tempfile.TemporaryDirectory()
        self.store = Store(random.Random(1))
        self.manifest = Manifest(random.Random(1))
        checker = RunRecorder(3, self.manifest)
        # Of the requests that ran with a body, in bytes.
        self.received_body_sizes = checker.body_sizes
        self.publish_limits(self.body_limit)
        self.upstreams = [Upstream(service, service, "zone-a", "v1", self.store, checker, random.Random(1)) for service in ("engines", "desk", "annex")]
        for upstream in self.upstreams:
            await upstream.start()
        bounds = BOUNDS | {"limits.memoryMb": self.memory_mb}
        self.gateway = Gateway("node-0", "zone-a", BINARY, pathlib.Path(self.folder.name), bounds)
        await self.gateway.prepare(self.store)
        await self.gateway.start()
        for _ in range(100):
            if await self.gateway.is_ready():
                break
            await asyncio.sleep(0.1)
        self.pid = self.gateway.process.process.pid
        self.crowd = []
        await self.check_ordinary_request("in calm")
        self.calm_mb = status_mb(self.pid, "VmRSS")
        self.calm_descriptors = descriptor_count(self.pid)

    def publish_limits(self, body_limit):
        published = self.manifest.publish([{"name": "account-0", "apiKeys": [KEY]}])
        published["limits"] = {"maxHeaderBytes": self.head_limit, "maxBodyBytes": body_limit, "headerTimeoutMs": 20000, "idleTimeoutMs": 20000}
        self.store.put("config", "main", published)

    async def asyncTearDown(self):
        for member in self.crowd:
            member.leave()
        await self.gateway.stop()
        self.folder.cleanup()

    async def ordinary_status(self, extra=b""):
        return await self.status_of([head("GET", "/read/x", extra + b"Connection: close\r\n\r\n")])

    async def status_of(self, pieces):
        """Returns the status line of the response to one request, or what went wrong."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.gateway.client_port), 5)
        except (OSError, asyncio.TimeoutError) as failure:
            return str(failure) or "no connection"
        try:
            for piece in pieces:
                writer.write(piece)
                await asyncio.wait_for(writer.drain(), 10)
            line = await asyncio.wait_for(reader.readline(), 10)
            return line.decode().strip()
        except (OSError, asyncio.TimeoutError) as failure:
            return str(failure) or "no answer"
        finally:
            writer.close()

    async def check_ordinary_request(self, when):
        """One ordinary request is answered, after a refusal or two that promise that it was not run."""
        answers = []
        for _ in range(20):
            answers.append(await self.ordinary_status())
            if " 200 " in answers[-1]:
                return
            await asyncio.sleep(0.5)
        self.fail(f"no answer to an ordinary request {when}: {answers}")

    async def gather_crowd(self, count, pieces, reads=True, port=None, pause=0, at_once=50):
        """Opens `count` connections that send the pieces, `at_once` of them at a time, with a pause in seconds after each piece."""
        gate = asyncio.Semaphore(at_once)

        async def join():
            member = Member(reads)
            self.crowd.append(member)
            async with gate:
                await member.connect(port or self.gateway.client_port)
                await member.send(pieces, pause)

        await asyncio.gather(*(join() for _ in range(count)))
        await asyncio.sleep(1)

    async def check_process(self, connections):
        self.assertTrue(self.gateway.process.is_running, "the process has ended")
        figures = {"calm": round(self.calm_mb, 1), "peak": round(status_mb(self.pid, "VmHWM"), 1), "descriptors": descriptor_count(self.pid)}
        await self.check_ordinary_request("beside the crowd")
        for member in self.crowd:
            member.leave()
        for _ in range(100):
            await asyncio.sleep(0.1)
            if descriptor_count(self.pid) <= self.calm_descriptors + 10 and status_mb(self.pid, "VmRSS") <= self.calm_mb + self.remaining_mb:
                break
        # Before the request below, whose own connections may still be closing or kept.
        figures |= {"after": round(status_mb(self.pid, "VmRSS"), 1), "descriptors after": descriptor_count(self.pid)}
        await self.check_ordinary_request("after the crowd")
        print(f"{self.id().rsplit('.', 1)[1]}: {figures}", flush=True)
        self.assertLessEqual(figures["peak"], self.memory_mb)
        self.assertLessEqual(figures["descriptors"], connections + self.other_descriptors)
        self.assertLessEqual(figures["after"], self.calm_mb + self.remaining_mb)
        self.assertLessEqual(figures["descriptors after"], self.calm_descriptors + 10)
        self.assertLessEqual(status_mb(self.pid, "VmRSS"), self.calm_mb + self.remaining_mb)
        self.assertLessEqual(descriptor_count(self.pid), self.calm_descriptors + 10 + REQUEST_DESCRIPTORS)
