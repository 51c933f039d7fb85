"""The deployment under test: the store, the upstreams, the gateways and the operator's manifest."""

import asyncio
import copy
import functools
import signal
import time

from gateway import TERMINATION_GRACE_SECONDS, Gateway
from gateway_log import GatewayLog
from history_checker import HistoryChecker
from manifest import Manifest
from peer_addresses import PeerAddresses
from store import Store
from upstream import Upstream

REVOKE_SECONDS = 3
SEPARABLE_GATEWAYS = 3
OUT_OF_STEP_TAKE_UP_SHARE = 0.9
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
        self.latest_version = 1
        # Upstreams that a release has chosen to replace.
        self.replaced = set()
        # Gateways that get no news for now, with the latest version that they may know.
        self.out_of_step = {}

    def log(self, text):
        if self.is_verbose:
            print(f"{time.monotonic() - self.started_at:7.3f} {text}", flush=True)

    async def start(self):
        self.put_manifest()
        for zone in self.zones:
            for number in range(3):
                await self._add_upstream(f"{zone}-e{number}", "engines", zone)
            await self._add_upstream(f"{zone}-d", "desk", zone)
            await self._add_upstream(f"{zone}-a", "annex", zone)
        for number in range(self.gateway_count):
            self.gateways.append(Gateway(f"node-{number}", self.zones[number % 3], self.binary, self.folder, BOUNDS))
            await self.gateways[-1].prepare(self.store)
        for gateway in self.separable_gateways():
            await gateway.separate_exits(self.gateways)
        self._keep_messages_in_proxies()
        for gateway in self.gateways:
            await gateway.start()

    def _keep_messages_in_proxies(self):
        addresses = PeerAddresses()
        for gateway in self.gateways:
            gateway.peer_proxy.rewrite = functools.partial(addresses.rewrite_for, gateway)
            for address in [gateway.peer_address, *(other.proxy_to(gateway).address for other in self.gateways)]:
                addresses.add(address, gateway)

    def separable_gateways(self):
        """Returns the gateways that can be cut off from all others."""
        return self.gateways[:SEPARABLE_GATEWAYS]

    async def _add_upstream(self, name, service, zone, version="v1"):
        upstream = Upstream(name, service, zone, version, self.store, self.checker, self.random)
        await upstream.start()
        self.upstreams.append(upstream)
        self.checker.upstreams.append(upstream)

    def set_out_of_step(self, gateways):
        self.out_of_step.update((gateway, self.latest_version) for gateway in gateways)

    def set_in_step(self, gateways):
        for gateway in gateways:
            self.out_of_step.pop(gateway, None)

    def next_version(self):
        self.latest_version += 1
        return f"v{self.latest_version}"

    async def replace_upstream(self, old, version, serving_seconds, says_so):
        """Starts an upstream of another version and then lets the old one leave, which serves for a while longer."""
        name = old.name.split("-v")[0] + "-" + version
        await self._add_upstream(name, old.service, old.zone, version)
        await asyncio.sleep(self.random.uniform(0.1, 0.6))
        await old.retire(serving_seconds, says_so)
        self.upstreams.remove(old)
        self.checker.upstreams.remove(old)

    def choose_replaced(self, service, share):
        """Chooses upstreams of a service that no release has chosen before."""
        candidates = [upstream for upstream in self.upstreams if upstream.service == service and upstream not in self.replaced]
        chosen = self.random.sample(candidates, min(len(candidates), max(1, round(share * len(candidates)))))
        self.replaced.update(chosen)
        return chosen

    def _with_proxy_address(self, kind, stored_object, reader):
        if kind != "redwingseam-nodes":
            return stored_object
        rewritten = copy.deepcopy(stored_object)
        gateway = next(gateway for gateway in self.gateways if gateway.name == stored_object["metadata"]["name"])
        rewritten["spec"]["address"] = reader.proxy_to(gateway).address
        return rewritten

    def put_manifest(self):
        accounts = [{"name": "account-" + key.split("-")[1], "apiKeys": [key]} for key in self.keys if key not in self.checker.revoked]
        self.published_manifest = self.manifest.publish(accounts)
        self.store.put("config", "main", self.published_manifest)

    def change_manifest(self):
        self.log(f"manifest {self.manifest.change()}")
        self.put_manifest()

    async def restore_store(self, stored_copy):
        """Brings the store back from a copy. The operator writes again at once, and the upstreams within two seconds."""
        self.store.restore(stored_copy)
        self.store.put("config", "main", self.published_manifest)
        await asyncio.sleep(self.random.uniform(0.1, 2))
        upstreams = {upstream.instance_id: upstream for upstream in self.upstreams if upstream.is_listed and upstream.server.is_serving()}
        for name in [name for kind, name in self.store.objects if kind == "servers" and name not in upstreams]:
            self.store.delete("servers", name)
        for upstream in upstreams.values():
            upstream.register()

    def is_in_touch(self, connection, moment):
        """Returns whether nothing has disturbed the gateway of this connection, nor the store, since then."""
        return self.store.calm.holds_since(moment) and connection.gateway.was_undisturbed_since(connection.process, moment)

    def end_faults(self):
        """Restores what the faults have changed."""
        self.manifest.reset()
        self.put_manifest()
        for gateway in self.gateways:
            gateway.clear_link_faults()
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

    def choose_gateway_for_take_up(self, stream):
        """Returns a gateway at which a client takes up its stream, mostly one that does not know the version that began it."""
        candidates = [gateway for gateway, latest_version in self.out_of_step.items() if gateway.is_running and stream.first_version > latest_version]
        if candidates and self.random.random() < OUT_OF_STEP_TAKE_UP_SHARE:
            return self.random.choice(candidates)
        return self.choose_gateway_for_client()

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
