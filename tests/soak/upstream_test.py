#!/usr/bin/env python3
"""Tests of the stand-in for upstreams: how its incarnations appear in the store."""

import asyncio
import pathlib
import random
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / "tools/soak"))

from history_checker import HistoryChecker  # noqa: E402
from manifest import Manifest  # noqa: E402
from store import Store  # noqa: E402
from upstream import Upstream  # noqa: E402

class UpstreamTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = Store(random.Random(1))
        self.checker = HistoryChecker(3, Manifest(random.Random(1)))
        self.upstream = Upstream("e0", "engines", "zone-a", "v7", self.store, self.checker, random.Random(1))
        await self.upstream.start()

    def entries(self):
        return {name: stored_object["spec"] for (kind, name), stored_object in self.store.objects.items()}

    async def test_crashed_upstream_is_back_at_its_address_with_its_version(self):
        for keeps_id in (False, True):
            before = self.entries()
            await self.upstream.crash(0.01, keeps_id)
            (old_name, old), (name, new) = *before.items(), *self.entries().items()
            self.assertEqual((new["version"], new["address"]), ("v7", old["address"]))
            self.assertEqual(name == old_name, keeps_id)
            self.assertGreater(new["born"], old["born"])

    async def test_leaving_upstream_says_so_or_is_no_longer_listed(self):
        retiring = asyncio.create_task(self.upstream.retire(0.05, True))
        await asyncio.sleep(0.01)
        self.assertEqual([entry["state"] for entry in self.entries().values()], ["draining"])
        self.assertFalse(self.upstream.serves)
        await retiring
        self.assertEqual((self.entries(), self.upstream.server.is_serving()), ({}, False))

    async def test_retired_upstream_does_not_come_back_from_a_crash(self):
        for keeps_id in (False, True):
            await asyncio.gather(self.upstream.crash(0.03, keeps_id), self.upstream.retire(0.01, False))
            self.assertEqual((self.entries(), self.upstream.server.is_serving()), ({}, False))
            self.upstream.is_retired = False
            await self.upstream.start()

    async def test_end_of_a_crash_takes_the_entry_of_a_retired_upstream_back(self):
        crash = asyncio.create_task(self.upstream.crash(0.03, keeps_id=True))
        await asyncio.sleep(0)
        self.upstream.is_retired = True
        await crash
        self.assertEqual(self.entries(), {})


if __name__ == "__main__":
    unittest.main()
