"""A gateway process with the proxies in front of its peer port and of the store."""

import asyncio
import os
import signal
import socket

from proxy import Proxy

TERMINATION_GRACE_SECONDS = 4


# The ports are below the ephemeral range, so that no outgoing connection occupies a gateway's port. Soaks that run
# concurrently use different slices of the ports.
FIRST_PORT = 12000
PORTS_PER_SLICE = 500
SLICE_COUNT = 40

candidate_ports = iter(range(FIRST_PORT + os.getpid() % SLICE_COUNT * PORTS_PER_SLICE, FIRST_PORT + (os.getpid() % SLICE_COUNT + 1) * PORTS_PER_SLICE, 2))


def allocate_port_pair():
    """Returns the first of two adjacent ports that are unused and were not returned before."""
    for port in candidate_ports:
        with socket.socket() as first, socket.socket() as second:
            try:
                first.bind(("127.0.0.1", port))
                second.bind(("127.0.0.1", port + 1))
            except OSError:
                continue
            return port
    raise RuntimeError(f"no pair of free ports in the slice of {PORTS_PER_SLICE} ports from {FIRST_PORT + os.getpid() % SLICE_COUNT * PORTS_PER_SLICE}")


class Gateway:
    def __init__(self, name, zone, binary, folder, store_address, bounds):
        self.name = name
        self.zone = zone
        self.binary = binary
        self.settings = folder / f"{name}.conf"
        self.log = open(folder / f"{name}.log", "ab")
        self.bounds = bounds
        self.client_port = allocate_port_pair()
        self.readiness_port = allocate_port_pair()
        self.first_internal_port = allocate_port_pair()
        self.store_proxy = Proxy(lambda: store_address)
        self.peer_proxy = Proxy(lambda: f"127.0.0.1:{self.first_internal_port + 1}")
        self.process = None
        self.is_stopping = False
        self.is_disturbed = False

    async def prepare(self):
        await self.store_proxy.start()
        await self.peer_proxy.start()
        lines = {"nodeName": self.name, "zone": self.zone, "region": "r", "listen.front": f"127.0.0.1:{self.client_port}", "listen.ready": f"127.0.0.1:{self.readiness_port}",
                 "portRange": f"{self.first_internal_port},{self.first_internal_port + 15}", "platform.address": self.store_proxy.address, "limits.cores": "1"} | self.bounds
        self.settings.write_text("".join(f"{name}={value}\n" for name, value in lines.items()))

    async def start(self):
        self.is_stopping = False
        self.process = await asyncio.create_subprocess_exec(self.binary, "--settings", str(self.settings), stdout=self.log, stderr=self.log)

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.readiness_port), 0.5)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.5)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def signal(self, number):
        if self.is_running:
            self.process.send_signal(number)

    async def stop(self):
        """Sends SIGTERM, and SIGKILL if the process still runs after the grace period."""
        self.is_stopping = True
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), TERMINATION_GRACE_SECONDS + 0.5)
        except asyncio.TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
