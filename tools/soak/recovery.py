"""Judges whether requests are served after the last fault."""

import asyncio
import time

MIN_REQUESTS = 5
MIN_SERVED_PART = 0.9


class Recovery:
    """Counts the first tries with a valid key that clients don't abandon; begins when the faults have ended."""

    def __init__(self, checker):
        self.checker = checker
        self.began_at = time.monotonic()
        self.earlier = set(checker.responses)

    async def wait(self, min_seconds, max_seconds):
        """Waits until enough requests were sent and have ended since the faults."""
        await asyncio.sleep(min_seconds)
        while len(self._sent_since()) < MIN_REQUESTS and time.monotonic() < self.began_at + max_seconds:
            await asyncio.sleep(0.1)

    def check(self):
        """Judges all requests that have ended since the faults, also those that were sent before."""
        ended = self._ended()
        served = [attempt for attempt in ended if self.checker.responses[attempt][1] == 200]
        if len(self._sent_since()) < MIN_REQUESTS or len(served) < MIN_SERVED_PART * len(ended):
            others = ", ".join(self._describe(attempt) for attempt in ended if attempt not in served)
            self.checker.record_violation("recovery", f"{len(served)} of {len(ended)} requests were served in the {time.monotonic() - self.began_at:.1f} s after the faults had ended, {len(self._sent_since())} of them sent after the faults; "
                                          f"expected at least {MIN_SERVED_PART * 100:.0f} % and at least {MIN_REQUESTS} sent then{'; not served: ' + others if others else ''}")

    def _ended(self):
        return [attempt for attempt, (kind, status) in self.checker.responses.items() if attempt not in self.earlier and attempt not in self.checker.later_tries and kind != "extra" and status != "abandoned"
                and self.checker.sent[attempt][2] not in self.checker.revoked]

    def _sent_since(self):
        return [attempt for attempt in self._ended() if self.checker.sent[attempt][0] >= self.began_at]

    def _describe(self, attempt):
        kind, status = self.checker.responses[attempt]
        return f"{attempt} ({kind} {status}, sent at {self.checker.sent[attempt][0] - self.began_at:+.1f} s)"
