"""What upstreams and clients saw, and the promises that are checked against it."""

import time


class HistoryChecker:
    def __init__(self, revoke_seconds):
        self.revoke_seconds = revoke_seconds
        self.runs = {}
        self.responses = {}
        self.sent = {}
        self.revoked = {}
        self.upstreams = []
        self.violations = []

    def upstream_with_address(self, address):
        return next((upstream for upstream in self.upstreams if upstream.address == address), None)

    def record_violation(self, promise, detail):
        self.violations.append(f"{promise}: {detail}")

    def record_sent(self, attempt, kind, key):
        self.sent[attempt] = (time.monotonic(), kind, key)

    def record_run(self, request, upstream):
        attempt = request.header("redwingseam-attempt-id")
        self.runs.setdefault(attempt, []).append(upstream.instance_id)
        if attempt not in self.sent:
            return self.record_violation("unasked", attempt)
        sent_at, kind, key = self.sent[attempt]
        if request.header("redwingseam-key"):
            self.record_violation("unasked", f"{attempt}: the key was passed on")
        if request.header("redwingseam-tenant") != "account-" + key.split("-")[1]:
            self.record_violation("unasked", f"{attempt}: ran for {request.header('redwingseam-tenant')}")
        if kind == "book" and len(self.runs[attempt]) > 1:
            self.record_violation("at most once", f"{attempt} ran at {self.runs[attempt]}")
        if key in self.revoked and sent_at > self.revoked[key] + self.revoke_seconds:
            self.record_violation("revoked key", f"{attempt} was sent {sent_at - self.revoked[key]:.2f} s after {key} was revoked")

    def record_response(self, attempt, kind, status):
        self.responses[attempt] = (kind, status)

    def finish(self):
        """Checks what only the whole run shows."""
        for attempt, (kind, status) in self.responses.items():
            if kind == "book" and status in (408, 421, 429, 503) and attempt in self.runs:
                self.record_violation("refused though run", f"{attempt}: {status}")

    def counts(self):
        table = {}
        for kind, status in self.responses.values():
            table[(kind, status)] = table.get((kind, status), 0) + 1
        return ", ".join(f"{kind} {status}: {count}" for (kind, status), count in sorted(table.items(), key=str))
