"""The deployment under test: the store, the upstreams, the gateways and the operator's manifest."""

import asyncio
import copy
import signal
import time

from gateway import TERMINATION_GRACE_SECONDS, Gateway
from gateway_log import GatewayLog
from history_checker import HistoryChecker
from manifest import Manifest
from store import Store
from upstream import Upstream

REVOKE_SECONDS = 3
BOUNDS = {"bounds.drainMs": 3000, "bounds.configApplyMs": 3000, "bounds.graceS": TERMINATION_GRACE_SECONDS, "bounds.strictRevoke": "true", "bounds.revokeMs": REVOKE_SECONDS * 1000, "bounds.budgetRatio": 0.8,
          "bounds.budgetWindowS": 10, "bounds.retrySlack": 150}


class Deployment:
    def __init__(self, random, binary, folder, gateway_count, is_verbose):
        self.random = random
        self.zones = ["zone-a", "zone-b", "zone-c"]
        self.store = Store(random)
        self.store.rewrite_for_reader = self._with_proxy_address
        self.manifest = Manifest(random)
        self.checker = HistoryChecker(REVOKE_SECONDS, self.manifest)
        self.upstreams = []
        self.gateways = []
        self.binary = binary
        self.folder = folder
        self.gateway_count = gateway_count
        self.is_verbose = is_verbose
        self.keys = [f"key-{number}" for number in range(6)]
        self.started_at = time.monotonic()

    def log(self, text):
        if self.is_verbose:
            print(f"{time.monotonic() - self.started_at:7.3f} {text}", flush=True)

    async def start(self):
        server = await asyncio.start_server(self.store.serve, "127.0.0.1", 0)
        address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        self.put_manifest()
        for zone in self.zones:
            for number in range(3):
                await self._add_upstream(f"{zone}-e{number}", "engines", zone)
            await self._add_upstream(f"{zone}-d", "desk", zone)
            await self._add_upstream(f"{zone}-a", "annex", zone)
        for number in range(self.gateway_count):
            gateway = Gateway(f"node-{number}", self.zones[number % 3], self.binary, self.folder, address, BOUNDS)
            self.gateways.append(gateway)
            await gateway.prepare()
            await gateway.start()

    async def _add_upstream(self, name, service, zone):
        upstream = Upstream(name, service, zone, self.store, self.checker, self.random)
        await upstream.start()
        self.upstreams.append(upstream)
        self.checker.upstreams.append(upstream)

    def _with_proxy_address(self, kind, stored_object):
        if kind != "redwingseam-nodes":
            return stored_object
        rewritten = copy.deepcopy(stored_object)
        gateway = next(gateway for gateway in self.gateways if gateway.name == stored_object["metadata"]["name"])
        rewritten["spec"]["address"] = gateway.peer_proxy.address
        return rewritten

    def put_manifest(self):
        accounts = [{"name": "account-" + key.split("-")[1], "apiKeys": [key]} for key in self.keys if key not in self.checker.revoked]
        self.store.put("config", "main", self.manifest.publish(accounts))

    def change_manifest(self):
        self.log(f"manifest {self.manifest.change()}")
        self.put_manifest()

    def end_faults(self):
        """Restores what the faults have changed."""
        self.manifest.reset()
        self.put_manifest()
        for gateway in self.gateways:
            gateway.store_proxy.clear_faults()
            gateway.peer_proxy.clear_faults()
            gateway.signal(signal.SIGCONT)

    def hub(self):
        """Returns the gateway that calls itself the hub of the others, or any if none does."""
        hubs = [gateway for gateway in self.gateways if GatewayLog(gateway.folder / f"{gateway.name}.log").is_hub]
        return self.random.choice(hubs or self.gateways)

    def revoke(self, random):
        remaining_keys = [key for key in self.keys if key not in self.checker.revoked]
        if len(remaining_keys) > 3:
            key = random.choice(remaining_keys)
            # Recorded before the store has it. The bound counts from the acknowledgement, which comes later.
            self.checker.revoked[key] = time.monotonic() + 0.05
            self.put_manifest()

    def choose_gateway_for_client(self):
        """Returns a gateway that the platform's load balancer would choose."""
        running = [gateway for gateway in self.gateways if gateway.is_running and not gateway.is_stopping] or self.gateways
        return self.random.choice(running)

    async def restart_exited_gateways(self, stopping):
        """Restarts gateways whose process has exited."""
        while not stopping.is_set():
            for gateway in self.gateways:
                if not gateway.is_running:
                    await gateway.start()
            await asyncio.sleep(0.3)

    async def wait_until_ready(self, seconds):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if all([await gateway.is_ready() for gateway in self.gateways]):
                return True
            await asyncio.sleep(0.1)
        return False
