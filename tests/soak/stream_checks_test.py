#!/usr/bin/env python3
"""Tests of the checks on streams over several tries: each breach is reported, and what is allowed isn't."""

import pathlib
import random
import sys
import time
import types
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / "tools/soak"))

from calm import Calm  # noqa: E402
from connection import ProtocolError  # noqa: E402
from exchange import Exchange  # noqa: E402
from gateway import Gateway  # noqa: E402
from gateway_process import GatewayProcess  # noqa: E402
from history_checker import HistoryChecker  # noqa: E402
from manifest import Manifest  # noqa: E402
from stream_checker import MIN_TAKE_UPS  # noqa: E402
from stream_record import StreamRecord  # noqa: E402
from upstream import COMMENT, event_start  # noqa: E402

BODY = b"body"


def event(number, version="v1", service="engines"):
    return event_start(BODY, number) + f"{service} {version}\n\n".encode()


class StreamChecksTest(unittest.TestCase):
    def setUp(self):
        self.checker = HistoryChecker(3, Manifest(random.Random(1)))
        self.record = StreamRecord(BODY, 6)
        self.checker.streams.add(self.record)

    def broken(self):
        self.checker.streams.finish()
        return [violation.split(":")[0] for violation in self.checker.violations]

    def test_stream_of_one_version_over_two_tries_is_allowed(self):
        self.record.read("a1", event(1) + event(2))
        self.record.read("a2", event(3) + event(4))
        self.assertEqual(self.broken(), [])
        self.assertEqual(self.record.first_attempt, "a1")

    def test_second_version_in_a_later_try_is_reported(self):
        self.record.read("a1", event(1) + event(2))
        self.record.read("a2", event(3, "v2"))
        self.assertEqual(self.broken(), ["order"])
        self.assertEqual(self.checker.streams.joined_within_an_answer(), [])

    def test_second_version_within_one_answer_is_reported(self):
        self.record.read("a1", event(1) + event(2, "v2") + event(3))
        self.assertEqual(self.broken(), ["order"])
        self.assertEqual(self.checker.streams.joined_within_an_answer(), [self.record])

    def test_each_stream_of_two_versions_is_counted(self):
        for _ in range(2):
            other = StreamRecord(BODY, 6)
            self.checker.streams.add(other)
            other.read("a1", event(1) + event(2, "v2"))
        self.record.read("a1", event(1) + event(2))
        self.broken()
        self.assertTrue(self.checker.violations[0].startswith("order: 2 streams"))

    def test_version_is_compared_within_a_service(self):
        self.record.read("a1", event(1) + event(2, "v2", "annex"))
        self.assertEqual(self.broken(), [])

    def test_gap_between_tries_is_reported(self):
        self.record.read("a1", event(1))
        self.record.read("a2", event(3))
        self.assertEqual(self.broken(), ["event ids"])

    def test_repeat_between_tries_is_reported(self):
        self.record.read("a1", event(1) + event(2))
        self.record.read("a2", event(2) + event(3))
        self.assertEqual(self.broken(), ["event ids"])

    def test_part_of_an_event_is_not_counted(self):
        data = COMMENT + event(1) + event(2)[:-5]
        self.assertEqual(self.record.read("a1", data), len(COMMENT + event(1)))
        self.assertEqual(self.record.last_id, 1)
        self.record.read("a2", event(2))
        self.assertEqual(self.broken(), [])

    def test_bytes_that_no_upstream_wrote_are_reported(self):
        for data in (b"x", event(1) + b"data: ", event(1).replace(b"data: ", b"data: f"), event(2)[:20], event(1)[:-2] + b" x y", b"HTTP/1.1 200 OK\r\n\r\n" + event(1)):
            with self.assertRaises(ProtocolError):
                StreamRecord(BODY, 6).read("a1", data)

    def test_each_part_of_an_event_may_end_what_was_read(self):
        for length in range(len(event(1))):
            StreamRecord(BODY, 6).read("a1", event(1)[:length])

    def add_tries(self, new, begun, taken_up, went_on, serving=2, age=1.0):
        self.record.read("a1", event(1))
        for number in range(serving):
            self.checker.serving.note(types.SimpleNamespace(service="engines", version="v1", name=f"e{number}", serves=True))
        self.checker.serving.two_since = {origin: moment - age for origin, moment in self.checker.serving.two_since.items()}
        exchange = Exchange("a2", "stream", "key-0", None, 0, time.monotonic() - 0.5)
        for is_take_up, count, successes in ((False, new, begun), (True, taken_up, went_on)):
            for number in range(count):
                self.checker.streams.record_try(exchange, self.record, is_take_up, number < successes)

    def test_take_ups_go_on_half_as_often_as_new_streams_begin(self):
        self.add_tries(20, 20, MIN_TAKE_UPS, MIN_TAKE_UPS // 2)
        self.assertEqual(self.broken(), [])

    def test_refusal_of_most_take_ups_is_reported(self):
        self.add_tries(20, 20, MIN_TAKE_UPS, MIN_TAKE_UPS // 2 - 1)
        self.assertEqual(self.broken(), ["lost"])

    def test_take_ups_are_compared_with_new_streams(self):
        self.add_tries(20, 10, MIN_TAKE_UPS, MIN_TAKE_UPS // 2 - 1)
        self.assertEqual(self.broken(), [])

    def test_few_take_ups_are_not_judged(self):
        self.add_tries(20, 20, MIN_TAKE_UPS - 1, 0)
        self.assertEqual(self.broken(), [])

    def test_take_ups_need_two_upstreams_of_their_version(self):
        self.add_tries(20, 20, MIN_TAKE_UPS, 0, serving=1)
        self.assertEqual(self.broken(), [])

    def test_two_upstreams_must_have_served_when_the_client_came(self):
        self.add_tries(20, 20, MIN_TAKE_UPS, 0, age=0.1)
        self.assertEqual(self.broken(), [])

    def test_upstream_that_ends_or_drains_serves_no_more(self):
        upstreams = [types.SimpleNamespace(service="engines", version="v1", name=f"e{number}", serves=True) for number in range(2)]
        for upstream in upstreams:
            self.checker.serving.note(upstream)
        upstreams[0].serves = False
        self.checker.serving.note(upstreams[0])
        self.assertFalse(self.checker.serving.have_two_served_since(("engines", "v1"), time.monotonic()))


class UndisturbedTest(unittest.TestCase):
    def setUp(self):
        self.now = time.monotonic()
        self.gateway = object.__new__(Gateway)
        self.gateway.process = GatewayProcess("node-0")
        self.gateway.process.started_at = self.now - 10
        self.gateway.store_proxy, self.gateway.peer_proxy = (types.SimpleNamespace(calm=Calm()) for _ in range(2))
        for proxy in (self.gateway.store_proxy, self.gateway.peer_proxy):
            proxy.calm.disturbed_at = self.now - 10

    def is_undisturbed(self):
        return self.gateway.was_undisturbed_since(self.gateway.process, self.now - 4)

    def test_running_process_with_sound_links_is_undisturbed(self):
        self.assertTrue(self.is_undisturbed())

    def test_disturbances_of_the_process_count(self):
        for name, value in (("started_at", self.now - 3), ("terminated_at", self.now), ("killed_at", self.now), ("frozen_at", self.now), ("wakes", [self.now - 3])):
            before = getattr(self.gateway.process, name)
            setattr(self.gateway.process, name, value)
            self.assertFalse(self.is_undisturbed(), name)
            setattr(self.gateway.process, name, before)

    def test_disturbances_of_the_links_count(self):
        with self.gateway.peer_proxy.calm.disturbed():
            self.assertFalse(self.is_undisturbed())
        self.assertFalse(self.is_undisturbed())

    def test_earlier_process_of_the_gateway_is_disturbed(self):
        earlier = self.gateway.process
        self.gateway.process = GatewayProcess("node-0")
        self.assertFalse(self.gateway.was_undisturbed_since(earlier, self.now - 4))


if __name__ == "__main__":
    unittest.main()
