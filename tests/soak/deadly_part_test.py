#!/usr/bin/env python3
"""Tests of the soak's check on a part of a prompt that crashes upstreams."""

import pathlib
import random
import sys
import types
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / "tools/soak"))

from deadly_part import ALLOWED_LATE_RUNS, DeadlyPart  # noqa: E402

STARTED_AT = 100.0
FIFTH_CRASH_AT = 102.0
ENDED_AT = 114.0


class DeadlyPartTest(unittest.TestCase):
    def setUp(self):
        self.violations = []
        checker = types.SimpleNamespace(revoked={}, deadly_runs=[FIFTH_CRASH_AT - 1] * 4 + [FIFTH_CRASH_AT], record_violation=lambda guarantee, detail: self.violations.append(detail))
        deployment = types.SimpleNamespace(checker=checker, keys=["key-0"], log=lambda text: None)
        self.part = DeadlyPart(deployment, random.Random(1))
        self.runs = checker.deadly_runs
        self.part.sound = [(STARTED_AT - 2, STARTED_AT - 1, True)] * 30

    def check(self, served, refused):
        self.part.sound += [(FIFTH_CRASH_AT + 9, FIFTH_CRASH_AT + 9, True)] * served + [(FIFTH_CRASH_AT + 9, FIFTH_CRASH_AT + 9, False)] * refused
        self.part._check(STARTED_AT, ENDED_AT)
        return len(self.violations)

    def test_three_runs_are_allowed_once_the_part_is_known(self):
        self.runs += [FIFTH_CRASH_AT + 3.9] * 10 + [FIFTH_CRASH_AT + 5] * ALLOWED_LATE_RUNS
        self.assertEqual(self.check(30, 0), 0)

    def test_fourth_run_is_reported(self):
        self.runs += [FIFTH_CRASH_AT + 5] * (ALLOWED_LATE_RUNS + 1)
        self.assertEqual(self.check(30, 0), 1)

    def test_sound_requests_are_served_half_as_often_at_least(self):
        self.assertEqual(self.check(15, 15), 0)

    def test_refusal_of_most_sound_requests_is_reported(self):
        self.assertEqual(self.check(14, 16), 1)

    def test_too_few_sound_requests_are_reported(self):
        self.assertEqual(self.check(19, 0), 1)


if __name__ == "__main__":
    unittest.main()
