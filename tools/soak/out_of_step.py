"""Keeps one or two gateways from all news while upstreams of a new version join; clients take up broken streams there."""

import asyncio

from release import Release

MIN_SECONDS, MAX_SECONDS = 1, 5
FROZEN_SHARE = 0.4
MAX_LEAD_SECONDS = 0.2
# Clients that have set out for these gateways before they are in step again may come this much later.
MAX_LATE_SECONDS = 0.3


class OutOfStep:
    def __init__(self, deployment, random):
        self.deployment = deployment
        self.random = random

    async def run(self):
        """Returns when the gateways are in step again and the release has ended."""
        is_frozen = self.random.random() < FROZEN_SHARE
        candidates = self.deployment.gateways if is_frozen else self.deployment.separable_gateways()
        gateways = self.random.sample(candidates, self.random.randint(1, 2))
        seconds = self.random.uniform(MIN_SECONDS, MAX_SECONDS)
        self.deployment.log(f"{'standing still' if is_frozen else 'cut off'} for {seconds:.1f} s: {', '.join(gateway.name for gateway in gateways)}")
        isolation = [asyncio.create_task(gateway.stand_still(seconds) if is_frozen else gateway.cut_off(seconds)) for gateway in gateways]
        await asyncio.sleep(self.random.uniform(0, MAX_LEAD_SECONDS))
        self.deployment.set_out_of_step(gateways)
        release = asyncio.create_task(Release(self.deployment, self.random).run())
        await asyncio.gather(*isolation)
        await asyncio.sleep(self.random.uniform(0, MAX_LATE_SECONDS))
        self.deployment.set_in_step(gateways)
        await release
