#!/usr/bin/env python3
"""Tests of the stand-in for the store."""

import asyncio
import json
import pathlib
import random
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / "tools/soak"))

from http_messages import Message, read_message  # noqa: E402
from store import Store  # noqa: E402

KIND = "redwingseam-stream-versions"


class StoreTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = Store(random.Random(1))

    async def call(self, method, target, content=None):
        return await self.store._respond(Message(f"{method} /api/objects/{target} HTTP/1.1", {}, json.dumps(content).encode() if content else b""))

    async def create(self, name, spec):
        return await self.call("POST", KIND, {"metadata": {"name": name}, "spec": spec})

    async def test_object_is_created_once(self):
        self.assertEqual((await self.create("a", {"x": 1}))[0], 200)
        status, stored_object = await self.create("a", {"x": 2})
        self.assertEqual((status, stored_object["spec"]), (409, {"x": 1}))
        self.assertEqual((await self.call("GET", KIND + "/a"))[1]["spec"], {"x": 1})

    async def test_absent_object_is_neither_read_nor_replaced(self):
        for method in ("GET", "PUT", "DELETE"):
            self.assertEqual((await self.call(method, KIND + "/a", {"spec": {}}))[0], 404)

    async def test_object_is_replaced_only_at_its_revision(self):
        revision = (await self.create("a", {"x": 1}))[1]["metadata"]["revision"]
        status, stored_object = await self.call("PUT", KIND + "/a", {"metadata": {"revision": revision - 1}, "spec": {"x": 2}})
        self.assertEqual((status, stored_object["spec"]), (409, {"x": 1}))
        self.assertEqual((await self.call("PUT", KIND + "/a", {"metadata": {"revision": revision}, "spec": {"x": 2}}))[1]["spec"], {"x": 2})
        self.assertEqual((await self.call("PUT", KIND + "/a", {"spec": {"x": 3}}))[0], 200)
        self.assertEqual((await self.call("DELETE", f"{KIND}/a?revision={revision}"))[0], 409)

    async def test_write_that_changes_nothing_has_no_revision(self):
        await self.create("a", {"x": 1})
        revision = self.store.revision
        await self.call("PUT", KIND + "/a", {"spec": {"x": 1}})
        self.assertEqual(self.store.revision, revision)

    async def test_list_has_pages(self):
        for number in range(60):
            await self.create(f"{number:02}", {"x": 1})
        page = (await self.call("GET", KIND))[1]
        rest = (await self.call("GET", f"{KIND}?after={page['items'][-1]['metadata']['name']}"))[1]
        self.assertEqual((page["hasMore"], rest["hasMore"], len(page["items"] + rest["items"]), rest["at"]), (True, False, 60, self.store.revision))

    async def test_object_with_finalizers_stays_until_they_are_gone(self):
        await self.create("a", {})
        await self.call("PUT", KIND + "/a", {"metadata": {"finalizers": ["f"]}, "spec": {}})
        self.assertTrue((await self.call("DELETE", KIND + "/a"))[1]["metadata"]["deleting"])
        await self.call("PUT", KIND + "/a", {"metadata": {"finalizers": []}, "spec": {}})
        self.assertEqual((await self.call("GET", KIND + "/a"))[0], 404)

    async def test_restored_store_loses_what_was_written_and_states_a_higher_era(self):
        await self.create("a", {})
        stored_copy, revision = self.store.take_copy(), self.store.revision
        await self.create("b", {})
        self.store.restore(stored_copy)
        self.assertEqual((await self.call("GET", KIND + "/b"))[0], 404)
        self.assertEqual(self.store.revision, revision)
        self.assertEqual((await self.call("GET", f"{KIND}?watch={revision + 1}&waitMs=0"))[0], 410)
        server = await asyncio.start_server(self.store.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.sockets[0].getsockname()[1])
        writer.write(f"GET /api/objects/{KIND} HTTP/1.1\r\n\r\n".encode())
        message = await read_message(reader)
        writer.close()
        self.assertEqual(message.header("store-era"), "2")

    async def test_write_whose_answer_is_lost_may_be_executed(self):
        self.store.lost_answer_share = 1
        executed = 0
        for number in range(50):
            request = Message(f"POST /api/objects/{KIND} HTTP/1.1", {}, json.dumps({"metadata": {"name": f"{number}"}, "spec": {}}).encode())
            self.assertTrue(self.store._loses_answer(request))
            executed = len(self.store.objects)
        self.assertTrue(0 < executed < 50)


if __name__ == "__main__":
    unittest.main()
