"""A gateway process with the proxies in front of its peer port and of the store."""

import asyncio
import signal
import socket

from gateway_process import GatewayProcess
from proxy import Proxy

TERMINATION_GRACE_SECONDS = 8


# The ports are below the ephemeral range, so that no outgoing connection occupies a gateway's port. Soaks that run
# concurrently use different slices of the ports, and hold the last port of theirs.
FIRST_PORT = 12000
PORTS_PER_SLICE = 2000
SLICE_COUNT = 10


def reserve_slice():
    """Returns the socket that holds a slice, and the slice's first port."""
    for first_port in range(FIRST_PORT, FIRST_PORT + SLICE_COUNT * PORTS_PER_SLICE, PORTS_PER_SLICE):
        holder = socket.socket()
        try:
            holder.bind(("127.0.0.1", first_port + PORTS_PER_SLICE - 1))
            holder.listen()
            return holder, first_port
        except OSError:
            holder.close()
    raise RuntimeError(f"all {SLICE_COUNT} slices of ports from {FIRST_PORT} are in use")


slice_holder, first_slice_port = reserve_slice()
candidate_ports = iter(range(first_slice_port, first_slice_port + PORTS_PER_SLICE - 2, 2))


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
    raise RuntimeError(f"no pair of free ports in the slice of {PORTS_PER_SLICE} ports from {first_slice_port}")


class Gateway:
    def __init__(self, name, zone, binary, folder, bounds):
        self.name = name
        self.zone = zone
        self.binary = binary
        self.folder = folder
        self.settings = folder / f"{name}.conf"
        self.log = open(folder / f"{name}.log", "ab")
        self.bounds = bounds
        self.client_port = allocate_port_pair()
        self.readiness_port = allocate_port_pair()
        self.first_internal_port = allocate_port_pair()
        self.store_address = ""
        self.store_proxy = Proxy(lambda: self.store_address)
        self.peer_proxy = Proxy(lambda: self.peer_address)
        # Proxies on the way to other gateways, by name, of a gateway that can be cut off from all others.
        self.exits = {}
        self.process = GatewayProcess(name)
        self.processes = []

    async def prepare(self, store):
        server = await asyncio.start_server(lambda reader, writer: store.serve(reader, writer, self), "127.0.0.1", 0)
        self.store_address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        await self.store_proxy.start()
        await self.peer_proxy.start()
        lines = {"nodeName": self.name, "zone": self.zone, "region": "r", "listen.front": f"127.0.0.1:{self.client_port}", "listen.ready": f"127.0.0.1:{self.readiness_port}",
                 "portRange": f"{self.first_internal_port},{self.first_internal_port + 15}", "platform.address": self.store_proxy.address, "limits.cores": "1"} | self.bounds
        self.settings.write_text("".join(f"{name}={value}\n" for name, value in lines.items()))

    async def separate_exits(self, gateways):
        for gateway in gateways:
            if gateway is not self:
                self.exits[gateway.name] = await Proxy(lambda gateway=gateway: gateway.peer_proxy.address).start()

    @property
    def peer_address(self):
        """The address that the gateway listens at for its peers, and that it states to them."""
        return f"127.0.0.1:{self.first_internal_port + 1}"

    def proxy_to(self, gateway):
        return self.exits.get(gateway.name, gateway.peer_proxy)

    def link_proxies(self):
        return [self.store_proxy, self.peer_proxy, *self.exits.values()]

    def clear_link_faults(self):
        for proxy in self.link_proxies():
            proxy.clear_faults()

    async def start(self):
        process = GatewayProcess(self.name)
        await process.start(self.binary, "--settings", str(self.settings), log=self.log)
        self.process = process
        self.processes.append(process)

    @property
    def is_running(self):
        return self.process.is_running

    @property
    def is_stopping(self):
        return self.process.terminated_at is not None

    def was_undisturbed_since(self, process, moment):
        """Returns whether this process ran since then, without signals that stop it and with sound links."""
        is_process_sound = process is self.process and process.started_at <= moment and process.terminated_at is None and process.killed_at is None and not process.was_frozen_since(moment)
        return is_process_sound and self.store_proxy.calm.holds_since(moment) and self.peer_proxy.calm.holds_since(moment)

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
        self.process.signal(number)

    async def stand_still(self, seconds):
        """Stops the process in its tracks for a while."""
        process = self.process
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        process.signal(signal.SIGCONT)

    async def cut_off(self, seconds):
        """Lets nothing through between this gateway and the store or other gateways for a while."""
        with self.store_proxy.calm.disturbed(), self.peer_proxy.calm.disturbed():
            for proxy in self.link_proxies():
                proxy.drops_to_target = proxy.drops_from_target = True
            await asyncio.sleep(seconds)
            self.clear_link_faults()

    async def stop(self):
        """Sends SIGTERM, and SIGKILL if the process still runs after the grace period."""
        process = self.process
        process.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), TERMINATION_GRACE_SECONDS + 0.5)
        except asyncio.TimeoutError:
            process.signal(signal.SIGKILL)
            await process.wait()
