"""Loopback proxy that can delay, reset or refuse connections, and drop their data in one or both directions."""

import asyncio

from calm import Calm


class Proxy:
    """Forwards connections to the address that the function `target` returns."""

    def __init__(self, target):
        self.target = target
        self.delay = 0.0
        self.drops_to_target = False
        self.drops_from_target = False
        self.refuses = False
        self.connections = set()
        self.address = ""
        # Returns the data on the way to the target as the target is to get them.
        self.rewrite = lambda data: data
        self.calm = Calm()

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        return self

    def reset_all(self):
        self.calm.note()
        for writers in list(self.connections):
            for writer in writers:
                writer.transport.abort()

    def clear_faults(self):
        self.delay = 0.0
        self.drops_to_target = self.drops_from_target = self.refuses = False

    async def _serve(self, reader, writer):
        if self.refuses:
            writer.transport.abort()
            return
        host, port = self.target().split(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        writers = (writer, target_writer)
        self.connections.add(writers)
        await asyncio.gather(self._pump(reader, target_writer, "drops_to_target", self.rewrite), self._pump(target_reader, writer, "drops_from_target", bytes))
        self.connections.discard(writers)

    async def _pump(self, reader, writer, drop_flag, rewrite):
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                # Data is lost without an error, as in a network partition; the connection is abandoned afterwards.
                if not getattr(self, drop_flag):
                    writer.write(rewrite(data))
                    await writer.drain()
            writer.close()
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.transport.abort()
