#!/usr/bin/env python3
"""Gateways stay small and serve while the store lists thousands of nodes whose machines are gone.

Guards against queries and connections to silent nodes that grow with the number of their entries.
"""

import asyncio
import os
import pathlib
import random
import socket
import sys
import tempfile
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / "tools/soak"))

from client import Client  # noqa: E402
from deployment import Deployment  # noqa: E402
from request import Request  # noqa: E402
from traffic import Traffic  # noqa: E402

BINARY = str(pathlib.Path(os.environ.get("REDWINGSEAM_BUILD", pathlib.Path(__file__).parents[2] / "build/release")) / "redwingseam-gateway")
GATEWAYS = 3
REMOVED_NODES = 5000
NODE_KIND = "redwingseam-nodes"
MEMORY_LIMIT_MB = 110
# Half of what a gateway may open. The others are for clients and upstreams.
MAX_DESCRIPTORS = 2050
SEND_SECONDS = 20
SEND_INTERVAL_SECONDS = 0.2


def occupy_backlog():
    """Returns sockets of which the first listens on all addresses and accepts no further connection, and its port."""
    listener = socket.socket()
    listener.bind(("0.0.0.0", 0))
    listener.listen(0)
    port = listener.getsockname()[1]
    fillers = [socket.socket() for _ in range(3)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(("127.0.0.1", port))
    return [listener, *fillers], port


class RemovedNodesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.random = random.Random(1)
        self.deployment = Deployment(self.random, BINARY, pathlib.Path(scratch.name), GATEWAYS, False)
        sockets, port = occupy_backlog()
        for item in sockets:
            self.addCleanup(item.close)
        names = self.put_removed_nodes(port)
        rewrite = self.deployment.store.rewrite_for_reader
        self.deployment.store.rewrite_for_reader = lambda kind, entry, node: entry if entry["metadata"]["name"] in names else rewrite(kind, entry, node)

    def put_removed_nodes(self, port):
        """Writes entries whose names precede those of the gateways, and returns the names."""
        names = set()
        for number in range(REMOVED_NODES):
            name = f"gone-{number:05}"
            address = f"127.{1 + number // 60000}.{number // 240 % 250}.{2 + number % 240}:{port}"
            self.deployment.store.put(NODE_KIND, name, {"zone": self.deployment.zones[number % 3], "address": address})
            names.add(name)
        return names

    async def asyncTearDown(self):
        await asyncio.gather(*(gateway.stop() for gateway in self.deployment.gateways))

    def peak_memory_mb(self, gateway):
        status = pathlib.Path(f"/proc/{gateway.process.process.pid}/status").read_text()
        return next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM:")) / 1024

    def descriptors(self, gateway):
        return len(os.listdir(f"/proc/{gateway.process.process.pid}/fd"))

    async def test_removed_nodes_cost_little(self):
        await self.deployment.start()
        self.assertTrue(await self.deployment.wait_until_ready(10))
        statuses = []
        most_descriptors = 0
        until = time.monotonic() + SEND_SECONDS
        while time.monotonic() < until:
            for gateway in self.deployment.gateways:
                request = Request(self.random, self.deployment.keys[:1], self.deployment.manifest.limits, Traffic(("read",)))
                exchange = await Client(self.deployment, self.random).send_once(gateway, request)
                statuses.append(exchange.status)
                most_descriptors = max(most_descriptors, self.descriptors(gateway))
            await asyncio.sleep(SEND_INTERVAL_SECONDS)
        peaks = [self.peak_memory_mb(gateway) for gateway in self.deployment.gateways]
        print(f"peaks in MB: {[round(peak, 1) for peak in peaks]}; descriptors: {most_descriptors}; {statuses.count(200)} of {len(statuses)} served")
        self.assertLessEqual(max(peaks), MEMORY_LIMIT_MB)
        self.assertLessEqual(most_descriptors, MAX_DESCRIPTORS)
        self.assertEqual(set(statuses), {200})


if __name__ == "__main__":
    unittest.main()
