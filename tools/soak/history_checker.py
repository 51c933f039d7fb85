"""Records what upstreams and clients observe, and checks the guarantees of the gateways against it."""

import time

from connection_checker import ConnectionChecker
from serving_times import ServingTimes
from stream_checker import StreamChecker


class HistoryChecker:
    def __init__(self, revoke_seconds, manifest):
        self.revoke_seconds = revoke_seconds
        self.manifest = manifest
        self.connections = ConnectionChecker(self, manifest)
        self.streams = StreamChecker(self)
        self.serving = ServingTimes()
        self.runs = {}
        self.responses = {}
        self.sent = {}
        # Attempts with which clients tried again.
        self.later_tries = set()
        self.bodies = {}
        # Attempts whose upstream stopped, fell silent or sent faulty bytes while it ran them.
        self.broken_off = set()
        # Times at which a request with a deadly part began to run.
        self.deadly_runs = []
        self.revoked = {}
        self.upstreams = []
        self.violations = []

    def upstream_with_address(self, address):
        return next((upstream for upstream in self.upstreams if upstream.address == address), None)

    def record_violation(self, guarantee, detail):
        self.violations.append(f"{guarantee}: {detail}")

    def record_sent(self, request):
        self.sent[request.attempt] = (time.monotonic(), request.kind, request.key)
        self.bodies[request.attempt] = request.body
        if request.is_later_try:
            self.later_tries.add(request.attempt)

    def record_run(self, request, upstream):
        attempt = request.header("redwingseam-attempt-id")
        self.runs.setdefault(attempt, []).append(upstream.instance_id)
        if attempt not in self.sent:
            return self.record_violation("unexpected run", f"{attempt} was run but not sent by any client")
        sent_at, kind, key = self.sent[attempt]
        if request.body != self.bodies[attempt]:
            self.record_violation("forwarding", f"{attempt}: ran with a body of {len(request.body)} bytes instead of {len(self.bodies[attempt])}, or with other bytes")
        if upstream.service not in self.manifest.allowed_services.get(kind, {upstream.service}):
            self.record_violation("route", f"{attempt} ({kind}) ran at {upstream.name}, of service {upstream.service}")
        if request.header("redwingseam-key"):
            self.record_violation("forwarding", f"{attempt}: the API key was forwarded to the upstream")
        if request.header("redwingseam-tenant") != "account-" + key.split("-")[1]:
            self.record_violation("forwarding", f"{attempt}: ran for client account \"{request.header('redwingseam-tenant')}\" with {key}")
        if kind == "book" and len(self.runs[attempt]) > 1:
            self.record_violation("at-most-once", f"{attempt} ran more than once, at {self.runs[attempt]}")
        if key in self.revoked and sent_at > self.revoked[key] + self.revoke_seconds:
            self.record_violation("revoked key", f"{attempt} was sent {sent_at - self.revoked[key]:.2f} s after {key} was revoked")

    def record_response(self, exchange):
        self.responses[exchange.attempt] = (exchange.kind, exchange.status)
        self.connections.exchanges.append(exchange)

    def finish(self, gateways):
        """Checks the guarantees that need the complete history."""
        self.connections.finish(gateways)
        self.streams.finish()
        for attempt, (kind, status) in self.responses.items():
            if kind == "book" and status in (408, 421, 429, 503) and attempt in self.runs:
                self.record_violation("refused after run", f"{attempt}: status {status}, but it ran at {self.runs[attempt]}")

    def counts(self):
        table = {}
        for kind, status in self.responses.values():
            table[(kind, status)] = table.get((kind, status), 0) + 1
        return ", ".join(f"{kind} {status}: {count}" for (kind, status), count in sorted(table.items(), key=str))
