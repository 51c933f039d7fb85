#!/usr/bin/env python3
"""Tests that messages between gateways stay on the way through the soak's proxies, and that a gateway can be cut off from all others."""

import asyncio
import pathlib
import sys
import types
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / "tools/soak"))

from peer_addresses import PeerAddresses  # noqa: E402
from proxy import Proxy  # noqa: E402


class FakeGateway:
    def __init__(self, number, exits=()):
        self.peer_address = f"127.0.0.1:1200{number}"
        self.peer_proxy = types.SimpleNamespace(address=f"127.0.0.1:4000{number}")
        self.exits = dict(exits)

    def proxy_to(self, gateway):
        return types.SimpleNamespace(address=self.exits.get(gateway, gateway.peer_proxy.address))


class PeerAddressesTest(unittest.TestCase):
    def setUp(self):
        self.first, self.second = FakeGateway(1), FakeGateway(2)
        self.separable = FakeGateway(3, {self.second: "127.0.0.1:50032"})
        self.addresses = PeerAddresses()
        for gateway in (self.first, self.second, self.separable):
            for address in {gateway.peer_address, gateway.peer_proxy.address}:
                self.addresses.add(address, gateway)
        self.addresses.add("127.0.0.1:50032", self.second)

    def test_address_that_a_gateway_states_becomes_that_of_its_proxy(self):
        self.assertEqual(self.addresses.rewrite_for(self.first, b"\x83fnode-2 127.0.0.1:12002\x00 127.0.0.1:12003"), b"\x83fnode-2 127.0.0.1:40002\x00 127.0.0.1:40003")

    def test_separable_gateway_gets_the_addresses_of_its_own_proxies(self):
        for known in (b"127.0.0.1:12002", b"127.0.0.1:40002"):
            self.assertEqual(self.addresses.rewrite_for(self.separable, known), b"127.0.0.1:50032")

    def test_proxy_of_a_separable_gateway_is_not_passed_on(self):
        self.assertEqual(self.addresses.rewrite_for(self.first, b"127.0.0.1:50032"), b"127.0.0.1:40002")

    def test_other_bytes_stay(self):
        data = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n 127.0.0.1:33961 127.0.0.1:12001"
        self.assertEqual(self.addresses.rewrite_for(self.first, data), data)

    def test_address_of_another_length_is_rejected(self):
        with self.assertRaises(ValueError):
            self.addresses.add("127.0.0.1:8080", self.first)


class ProxyTest(unittest.IsolatedAsyncioTestCase):
    async def test_only_data_to_the_target_are_rewritten(self):
        async def answer_in_kind(reader, writer):
            self.received = await reader.read(100)
            writer.write(b"a")
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(answer_in_kind, "127.0.0.1", 0)
        self.addCleanup(server.close)
        proxy = await Proxy(lambda: "127.0.0.1:%d" % server.sockets[0].getsockname()[1]).start()
        proxy.rewrite = lambda data: data.replace(b"a", b"b")
        reader, writer = await asyncio.open_connection(*proxy.address.split(":"))
        writer.write(b"xax")
        answer = await reader.read(100)
        writer.close()
        self.assertEqual((self.received, answer), (b"xbx", b"a"))


if __name__ == "__main__":
    unittest.main()
