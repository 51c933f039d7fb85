"""A small deployment: the store, gateways on loopback addresses of their own, and the operator's manifest."""

import asyncio
import os
import random
import shutil
import tempfile

from gateway import Gateway, free_ports, wait_until_ready
from proxy import Proxy
from store import Store

ZONES = {"lulea-a": "norrland", "uppsala-a": "svealand", "malmo-a": "gotaland"}
HOST = "ficu95.example"
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


def route(name, prefix, service, kind="idempotent", attempts=3, timeout_ms=1500, target_ms=300, **more):
    return {"name": name, "host": HOST, "pathPrefix": prefix, "routeType": kind, "timeoutMs": timeout_ms, "targetLatencyMs": target_ms, "priority": 2,
            "service": service, "maxAttempts": attempts, "skipAuth": False, **more}


class Deployment:
    started = []

    def __init__(self, gateway_zones):
        """`gateway_zones`: the zone of each gateway, in order."""
        self.gateway_zones = gateway_zones
        self.folder = tempfile.mkdtemp(prefix="redwingseam-review-")
        self.store = Store()
        self.gateways = []
        self.store_proxies = {}
        self.version = 0
        Deployment.started.append(self)
        # A /24 of the loopback range for this run.
        self.net = "127.%d.%d" % (random.randint(10, 250), random.randint(0, 250))

    def ip(self, number):
        return f"{self.net}.{number}"

    def put_manifest(self, routes, services, tenants, limits=None):
        """Publishes the next version and returns it. The store acknowledges it at once."""
        self.version += random.choice([1, 1, 2, 3]) if self.version else 1
        self.store.put("config", "main", {"version": self.version, "routes": routes, "services": services, "limits": limits or LIMITS, "tenants": tenants})
        return self.version

    async def start_gateways(self, ready_seconds=10):
        ips = [self.ip(10 + number) for number in range(len(self.gateway_zones))]
        ports = free_ports(ips, 3)
        counts = {}
        for ip, zone in zip(ips, self.gateway_zones):
            counts[zone] = counts.get(zone, 0) + 1
            name = f"front-{zone}-{counts[zone]}"
            proxy = Proxy(self.store.address)
            await proxy.start(ip)
            self.store_proxies[name] = proxy
            self.gateways.append(Gateway(name, zone, ZONES[zone], ip, ports, self.folder, proxy.address, ZONES))
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))
        return await wait_until_ready(self.gateways, ready_seconds)

    def gateway(self, name):
        return next(gateway for gateway in self.gateways if gateway.name == name)

    async def stop(self):
        await asyncio.gather(*(gateway.kill() for gateway in self.gateways))
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
