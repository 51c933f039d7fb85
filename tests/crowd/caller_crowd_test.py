#!/usr/bin/env python3
"""Crowds of callers of `redwingseamd` with large bodies, whole and waiting in its queue or short of their end.

The checks are those of crowd_test.py. Run one case at a time, apart from other load.
"""

import asyncio
import json
import pathlib
import socket
import subprocess
import tempfile
import unittest

from crowd_case import BINARY, Member, descriptor_count, is_known_red, status_mb

FOLDER = pathlib.Path(BINARY).parent
CALLERS = 300
BODY_BYTES = 1000 * 1000
# Of the machine.
MEMORY_MB = 64
# Descriptors of the process beside those of the crowd.
OTHER_DESCRIPTORS = 150
# What may remain of the crowd's memory after it has left.
REMAINING_MB = 8


def free_port():
    with socket.socket() as holder:
        holder.bind(("127.0.0.1", 0))
        return holder.getsockname()[1]


class CallerCrowd(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        test = ".".join(self.id().split(".")[-2:])
        if is_known_red(test):
            print(f"{test}: known red, passed over", flush=True)
            self.skipTest("known red")
        asyncio.get_running_loop().set_debug(False)
        self.folder = tempfile.TemporaryDirectory()
        self.processes = []
        self.crowd = []
        platform, engine, admin, peers = (f"127.0.0.1:{free_port()}" for _ in range(4))
        self.port = free_port()
        settings = pathlib.Path(self.folder.name) / "vm.json"
        settings.write_text(json.dumps({"name": "vm-1", "data_centre": "dc-1", "region": "r", "platform": f"http://{platform}", "secret": "crowd-secret-0123456789",
                                        "drain_timeout_s": 5, "memory_mb": MEMORY_MB,
                                        "listen": {"callers": f"127.0.0.1:{self.port}", "admin": admin, "peers": peers}}))
        self.start("standin-platform", "--listen", platform)
        self.start("standin-engine", "--listen", engine, "--platform", f"http://{platform}", "--name", "engine-1", "--pool", "draft@1", "--data-centre", "dc-1",
                   "--prefill-us", "1", "--token-us", "10000")
        self.vm = self.start("redwingseamd", "--settings", str(settings))
        self.keys = [subprocess.run([FOLDER / "redwingseam", "mint-key", "--settings", settings, client], check=True, capture_output=True, text=True).stdout.strip()
                     for client in ("crowd", "ordinary")]
        await self.check_ordinary_request("in calm")
        self.calm_mb = status_mb(self.vm.pid, "VmRSS")
        self.calm_descriptors = descriptor_count(self.vm.pid)

    async def asyncTearDown(self):
        for member in self.crowd:
            member.leave()
        for process in reversed(self.processes):
            process.kill()
            process.wait()
        self.folder.cleanup()

    def start(self, program, *arguments):
        with open(pathlib.Path(self.folder.name) / f"{program}.log", "ab") as log:
            self.processes.append(subprocess.Popen([FOLDER / program, *arguments], stdout=log, stderr=log))
        return self.processes[-1]

    @staticmethod
    def request(key, body, size=None):
        """Returns the head and the body of a request; its head announces `size` bytes."""
        return [f"POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {key}\r\nContent-Length: {size or len(body)}\r\n\r\n".encode(), body]

    @staticmethod
    def body(prompt_bytes, tokens):
        return json.dumps({"model": "draft", "prompt": "x" * prompt_bytes, "max_tokens": tokens}).encode()

    async def check_ordinary_request(self, when):
        answers = []
        for _ in range(20):
            answers.append(await self.ordinary_status())
            if " 200 " in answers[-1]:
                return
            await asyncio.sleep(0.5)
        self.fail(f"no answer to an ordinary request {when}: {answers}")

    async def ordinary_status(self):
        writer = None
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.writelines(self.request(self.keys[1], self.body(800, 4)))
            return (await asyncio.wait_for(reader.readline(), 20)).decode().strip()
        except (OSError, asyncio.TimeoutError) as failure:
            return str(failure) or "no answer"
        finally:
            if writer:
                writer.close()

    async def gather_crowd(self, pieces):
        gate = asyncio.Semaphore(50)

        async def join():
            member = Member(True)
            self.crowd.append(member)
            async with gate:
                await member.connect(self.port)
                await member.send(pieces)

        await asyncio.gather(*(join() for _ in range(CALLERS)))
        await asyncio.sleep(1)

    async def check_process(self):
        self.assertIsNone(self.vm.poll(), "the process has ended")
        figures = {"calm": round(self.calm_mb, 1), "peak": round(status_mb(self.vm.pid, "VmHWM"), 1), "descriptors": descriptor_count(self.vm.pid)}
        await self.check_ordinary_request("beside the crowd")
        for member in self.crowd:
            member.leave()
        for _ in range(100):
            await asyncio.sleep(0.1)
            if descriptor_count(self.vm.pid) <= self.calm_descriptors + 10 and status_mb(self.vm.pid, "VmRSS") <= self.calm_mb + REMAINING_MB:
                break
        figures |= {"after": round(status_mb(self.vm.pid, "VmRSS"), 1), "descriptors after": descriptor_count(self.vm.pid)}
        await self.check_ordinary_request("after the crowd")
        print(f"{self.id().rsplit('.', 1)[1]}: {figures}", flush=True)
        self.assertLessEqual(figures["peak"], MEMORY_MB)
        self.assertLessEqual(figures["descriptors"], CALLERS + OTHER_DESCRIPTORS)
        self.assertLessEqual(figures["after"], self.calm_mb + REMAINING_MB)
        self.assertLessEqual(figures["descriptors after"], self.calm_descriptors + 10)

    async def test_large_bodies_that_wait_in_the_queue(self):
        await self.gather_crowd(self.request(self.keys[0], self.body(BODY_BYTES, 100)))
        await self.check_process()

    async def test_large_bodies_that_stop_short(self):
        body = self.body(BODY_BYTES, 100)
        await self.gather_crowd(self.request(self.keys[0], body[:-1], len(body)))
        await self.check_process()

    async def test_large_body_is_served_in_calm(self):
        for tokens in (4, 8):
            member = Member(True)
            self.crowd.append(member)
            await member.connect(self.port)
            await member.send(self.request(self.keys[0], self.body(BODY_BYTES, tokens)))
            self.assertIn(" 200 ", (await asyncio.wait_for(member.reader.readline(), 20)).decode())


if __name__ == "__main__":
    unittest.main(verbosity=0)
