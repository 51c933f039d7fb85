"""Replaces upstreams by a newer software version, in one or several steps; the rest keep theirs until a later release."""

import asyncio

SHARES = [0.2, 0.5, 0.5, 1]
# Longer than the time within which gateways must know that an upstream is leaving.
MIN_SERVING_SECONDS, MAX_SERVING_SECONDS = 3.2, 6
SILENT_LEAVING_SHARE = 0.2


class Release:
    def __init__(self, deployment, random):
        self.deployment = deployment
        self.random = random

    async def run(self):
        """Returns when the replaced upstreams have ended."""
        version = self.deployment.next_version()
        old = self.deployment.choose_replaced("engines", self.random.choice(SHARES))
        batch_size = self.random.choice([1, 2, 3, len(old) or 1])
        gap = self.random.uniform(0.1, 0.8)
        self.deployment.log(f"release of {version} for {', '.join(f'{upstream.name} ({upstream.version})' for upstream in old)}, {batch_size} each {gap:.1f} s")
        replacements = []
        for first in range(0, len(old), batch_size):
            for upstream in old[first:first + batch_size]:
                seconds = self.random.uniform(MIN_SERVING_SECONDS, MAX_SERVING_SECONDS)
                says_so = self.random.random() >= SILENT_LEAVING_SHARE
                replacements.append(asyncio.create_task(self.deployment.replace_upstream(upstream, version, seconds, says_so)))
            await asyncio.sleep(gap)
        await asyncio.gather(*replacements)
