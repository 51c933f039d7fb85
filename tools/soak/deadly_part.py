"""Sends requests with a part of a prompt that crashes upstreams, beside sound ones, and checks that they are contained."""

import asyncio
import time

from client import Client
from request import Request
from traffic import Traffic

STABLE_WINDOW_SECONDS = 4
# Crashes after which the gateways are expected to know the part.
KNOWN_AFTER_CRASHES = 5
ALLOWED_LATE_RUNS = 3
MIN_SOUND_REQUESTS = 20
BASELINE_SECONDS = 4.5
SAMPLE_SECONDS = 4
MAX_SECONDS = 40
DEADLY_INTERVAL_SECONDS = 0.25
SOUND_INTERVAL_SECONDS = 0.1
SHARED_PARTS = 3


class DeadlyPart:
    def __init__(self, deployment, random):
        self.deployment = deployment
        self.checker = deployment.checker
        self.random = random
        self.kind = random.choice(["stream", "read", "book"])
        self.key = random.choice([key for key in deployment.keys if key not in self.checker.revoked])
        self.parts = [f"{random.getrandbits(32):08x}" for _ in range(SHARED_PARTS)]
        self.deadly_part = random.choice(self.parts)
        self.sound = []

    async def run(self):
        """Returns after the late phase, in which the part is expected to be known."""
        self.deployment.log(f"deadly part {self.parts.index(self.deadly_part)} of {SHARED_PARTS} in \"{self.kind}\" requests")
        sound = asyncio.create_task(self._send_repeatedly(SOUND_INTERVAL_SECONDS, False))
        await asyncio.sleep(BASELINE_SECONDS)
        started_at = time.monotonic()
        for upstream in self.deployment.upstreams:
            upstream.deadly_parts[self.deadly_part] = self.random.uniform(1.5, 3)
        deadly = asyncio.create_task(self._send_repeatedly(DEADLY_INTERVAL_SECONDS, True))
        while time.monotonic() < min(started_at + MAX_SECONDS, self._known_at(started_at) + 2 * STABLE_WINDOW_SECONDS + SAMPLE_SECONDS):
            await asyncio.sleep(0.1)
        for task in (deadly, sound):
            task.cancel()
        await asyncio.gather(deadly, sound, return_exceptions=True)
        for upstream in self.deployment.upstreams:
            upstream.deadly_parts.clear()
        self._check(started_at, time.monotonic())

    def _known_at(self, started_at):
        """Returns the time of the fifth crash, or of the last if there are fewer, or of the start if there is none."""
        return ([started_at] + self.checker.deadly_runs[:KNOWN_AFTER_CRASHES])[-1]

    async def _send_repeatedly(self, interval, is_deadly):
        gateways = list(self.deployment.gateways)
        self.random.shuffle(gateways)
        pending = []
        try:
            while True:
                for gateway in gateways:
                    pending.append(asyncio.create_task(self._send(gateway, is_deadly)))
                    await asyncio.sleep(interval * self.random.uniform(0.5, 1.5))
        finally:
            # The requests that have been sent get their answers.
            await asyncio.gather(*pending, return_exceptions=True)

    async def _send(self, gateway, is_deadly):
        parts = [part for part in self.parts if is_deadly or part != self.deadly_part]
        request = Request(self.random, [self.key], self.deployment.manifest.limits, Traffic((self.kind,)))
        prefix = ",".join(f"{part}:200" for part in parts + [request.attempt[:8]])
        request.headers = [f"Redwingseam-Prompt-Prefix: {prefix}"]
        sent_at = time.monotonic()
        exchange = await Client(self.deployment, self.random).send_once(gateway, request)
        if not is_deadly:
            # A response that has begun counts as served, although a crash may cut it.
            is_served = exchange.is_head_received and exchange.status in (200, "closed")
            self.sound.append((sent_at, exchange.ended_at, is_served))

    def _check(self, started_at, ended_at):
        known_at = self._known_at(started_at)
        late_runs = [moment - known_at for moment in self.checker.deadly_runs if moment > known_at + STABLE_WINDOW_SECONDS]
        if len(self.checker.deadly_runs) >= KNOWN_AFTER_CRASHES and len(late_runs) > ALLOWED_LATE_RUNS:
            times = ", ".join(f"{seconds:.1f}" for seconds in late_runs[:10])
            self.checker.record_violation("deadly part", f"{len(late_runs)} requests (\"{self.kind}\") with the part ran later than {STABLE_WINDOW_SECONDS} s after the fifth crash (at most {ALLOWED_LATE_RUNS} allowed), {times} s after it")
        baseline = [is_served for _, answered_at, is_served in self.sound if answered_at < started_at]
        late = [is_served for sent_at, _, is_served in self.sound if known_at + 2 * STABLE_WINDOW_SECONDS <= sent_at <= ended_at]
        if min(len(baseline), len(late)) < MIN_SOUND_REQUESTS:
            self.checker.record_violation("deadly part", f"{len(baseline)} sound requests before and {len(late)} beside the part, expected at least {MIN_SOUND_REQUESTS} of each")
        elif sum(late) / len(late) < sum(baseline) / len(baseline) / 2:
            self.checker.record_violation("deadly part", f"{sum(late)} of {len(late)} sound requests (\"{self.kind}\") were served beside the part, {sum(baseline)} of {len(baseline)} before")
        self.deployment.log(f"deadly part: {len(self.checker.deadly_runs)} runs, {len(late_runs)} late; sound requests served: {sum(baseline)} of {len(baseline)} before, {sum(late)} of {len(late)} late")
