"""Keeps messages between gateways on the way through the soak's proxies.

Gateways state their own addresses and pass on those of others, so that a peer which has got one message would send past the proxies.
"""

import re

ADDRESS = re.compile(rb"127\.0\.0\.1:\d{5}")


class PeerAddresses:
    def __init__(self):
        self.gateways = {}

    def add(self, address, gateway):
        """Records an address under which some gateway may know this one."""
        if not ADDRESS.fullmatch(address.encode()):
            raise ValueError(f"{address} has another length than the others, so that it can't take their place within a message")
        self.gateways[address.encode()] = gateway

    def rewrite_for(self, reader, data):
        """Returns the messages with the addresses that the reader is to use. An address that comes in two parts is left as it is."""
        return ADDRESS.sub(lambda match: self._seen_by(reader, match[0]), data)

    def _seen_by(self, reader, address):
        gateway = self.gateways.get(address)
        return address if gateway in (None, reader) else reader.proxy_to(gateway).address.encode()
