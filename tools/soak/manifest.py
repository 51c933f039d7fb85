"""The operator's manifest and the changes that are made to it."""

import copy
from dataclasses import asdict, dataclass

ENGINE = {"slots": 16, "kvCapacityTokens": 88000, "backups": True, "handleS": 4.0}
BULK_ROUTE_COUNT = 150


@dataclass(frozen=True)
class Limits:
    maxHeaderBytes: int = 16384
    maxBodyBytes: int = 262144
    headerTimeoutMs: int = 3000
    idleTimeoutMs: int = 4000


class Manifest:
    """Keeps every version, so that what a client saw can be judged by the version that a gateway had in force."""

    def __init__(self, random):
        self.random = random
        self.version = 1
        self.limits = Limits()
        self.timeouts = {"stream": 8000, "read": 8000, "book": 8000}
        self.read_services = {"service": "desk"}
        self.has_extra_route = False
        self.bulk_routes = 0
        self.limits_by_version = {}
        # Services that some version has allowed for the route.
        self.allowed_services = {"stream": {"engines"}, "book": {"desk"}, "read": set(), "extra": {"desk"}}
        self.changes = [self.change_idle_timeout, self.change_size_limits, self.move_route, self.toggle_route, self.change_timeouts, self.change_weights, self.change_many_routes]

    def change(self):
        """Makes a random change and returns its name."""
        change = self.random.choice(self.changes)
        change()
        return change.__name__

    def reset(self):
        self.limits = Limits()
        self.timeouts = {name: 8000 for name in self.timeouts}
        self.read_services = {"service": "desk"}

    def change_idle_timeout(self):
        choices = [2000, 4000, 8000]
        choices.remove(self.limits.idleTimeoutMs)
        self._change_limits(idleTimeoutMs=self.random.choice(choices))

    def change_size_limits(self):
        self._change_limits(maxHeaderBytes=self.random.choice([8192, 16384, 32768]), maxBodyBytes=self.random.choice([65536, 262144, 1048576]))

    def _change_limits(self, **changes):
        self.limits = Limits(**(asdict(self.limits) | changes))

    def move_route(self):
        self.read_services = {"service": "annex" if self.read_services.get("service") == "desk" else "desk"}

    def change_weights(self):
        self.read_services = {"weightedClusters": [{"service": "desk", "weight": self.random.randint(0, 9)}, {"service": "annex", "weight": self.random.randint(1, 9)}]}

    def toggle_route(self):
        self.has_extra_route = not self.has_extra_route

    def change_timeouts(self):
        self.timeouts[self.random.choice(list(self.timeouts))] = self.random.choice([5000, 6500, 8000])

    def change_many_routes(self):
        self.bulk_routes = 0 if self.bulk_routes else BULK_ROUTE_COUNT

    def publish(self, accounts):
        """Returns the next version as the store keeps it."""
        self.version += self.random.randint(1, 3)
        self.limits_by_version[self.version] = self.limits
        self.allowed_services["read"] |= {cluster["service"] for cluster in self.read_services.get("weightedClusters", [self.read_services])}
        base = {"host": "soak.example", "targetLatencyMs": 1000, "priority": 0, "skipAuth": False}
        plain = base | {"routeType": "idempotent", "service": "desk", "maxAttempts": 3, "timeoutMs": 8000}
        read = {name: value for name, value in plain.items() if name != "service"} | self.read_services
        routes = [
            base | {"name": "stream", "pathPrefix": "/stream/", "routeType": "streaming", "service": "engines", "maxAttempts": 5, "streamResume": True, "targetGapMs": 700, "timeoutMs": self.timeouts["stream"]},
            read | {"name": "read", "pathPrefix": "/read/", "timeoutMs": self.timeouts["read"]},
            base | {"name": "book", "pathPrefix": "/book/", "routeType": "non_idempotent", "service": "desk", "maxAttempts": 1, "timeoutMs": self.timeouts["book"]},
        ]
        if self.has_extra_route:
            routes.append(plain | {"name": "extra", "pathPrefix": "/extra/"})
        routes += [plain | {"name": f"bulk-{number}", "pathPrefix": f"/bulk-{number}/"} for number in range(self.bulk_routes)]
        services = [{"name": "engines", "maxConnections": 300, "engine": ENGINE}, {"name": "desk", "maxConnections": 300}, {"name": "annex", "maxConnections": 300}]
        return copy.deepcopy({"version": self.version, "routes": routes, "services": services, "limits": asdict(self.limits), "tenants": accounts})
