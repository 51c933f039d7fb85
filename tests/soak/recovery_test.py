#!/usr/bin/env python3
"""Tests of the check that requests are served after the faults, and of the time that it gives them."""

import asyncio
import pathlib
import random
import sys
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / "tools/soak"))

from history_checker import HistoryChecker  # noqa: E402
from manifest import Manifest  # noqa: E402
from recovery import MIN_REQUESTS, Recovery  # noqa: E402


class RecoveryTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.checker = HistoryChecker(3, Manifest(random.Random(1)))
        self.recovery = Recovery(self.checker)

    def end(self, attempt, status=200, kind="stream", key="key-0", age=0.0, is_later_try=False):
        """Records a request that was sent so many seconds ago and has just ended."""
        self.checker.sent[attempt] = (time.monotonic() - age, kind, key)
        self.checker.responses[attempt] = (kind, status)
        if is_later_try:
            self.checker.later_tries.add(attempt)

    def end_some(self, count, **fields):
        for _ in range(count):
            self.end(f"a{len(self.checker.sent)}", **fields)

    def is_broken(self):
        self.recovery.check()
        return [violation.split(":")[0] for violation in self.checker.violations] == ["recovery"]

    async def end_later(self, count, seconds):
        await asyncio.sleep(seconds)
        self.end_some(count)

    async def test_recovery_lasts_until_enough_requests_have_ended(self):
        self.end_some(MIN_REQUESTS - 1)
        late = asyncio.create_task(self.end_later(1, 0.3))
        await self.recovery.wait(0.1, 5)
        self.assertFalse(self.is_broken())
        await late

    async def test_requests_sent_before_the_end_of_the_faults_are_not_enough(self):
        self.end_some(MIN_REQUESTS, age=1)
        late = asyncio.create_task(self.end_later(MIN_REQUESTS, 0.3))
        await self.recovery.wait(0.1, 5)
        self.assertFalse(self.is_broken())
        await late

    async def test_recovery_lasts_no_longer_than_needed(self):
        self.end_some(MIN_REQUESTS)
        await self.recovery.wait(0.1, 5)
        self.assertLess(time.monotonic() - self.recovery.began_at, 2)

    async def test_recovery_is_bounded_and_few_requests_are_reported(self):
        self.end_some(MIN_REQUESTS - 1)
        await self.recovery.wait(0.1, 0.3)
        self.assertTrue(self.is_broken())

    def test_less_than_nine_tenths_served_are_reported_with_the_others(self):
        self.end_some(8)
        self.end("unserved", status=503)
        self.assertTrue(self.is_broken())
        self.assertIn("unserved (stream 503, sent at +0.0 s)", self.checker.violations[0])

    def test_nine_tenths_are_enough(self):
        self.end_some(9)
        self.end("unserved", status=503)
        self.assertFalse(self.is_broken())

    def test_unserved_request_sent_before_the_end_of_the_faults_counts(self):
        self.end_some(MIN_REQUESTS)
        self.end("unserved", status="closed", age=1)
        self.assertTrue(self.is_broken())

    def test_requests_that_may_fail_do_not_count(self):
        self.checker.revoked["key-1"] = 0
        for fields in ({"status": "abandoned"}, {"kind": "extra", "status": 404}, {"key": "key-1", "status": 401}, {"is_later_try": True, "status": 503}):
            self.end_some(MIN_REQUESTS, **fields)
        self.assertTrue(self.is_broken())
        self.assertIn("0 of 0 requests", self.checker.violations[0])

    def test_response_before_the_end_of_the_faults_does_not_count(self):
        self.end_some(MIN_REQUESTS, status=503)
        self.recovery = Recovery(self.checker)
        self.end_some(MIN_REQUESTS)
        self.assertFalse(self.is_broken())


if __name__ == "__main__":
    unittest.main()
