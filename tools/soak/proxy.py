"""Loopback proxy that delays, resets, cuts one way or silences the connections through it."""

import asyncio


class Proxy:
    """`target` is a function that gives the address to connect to."""

    def __init__(self, target):
        self.target = target
        self.delay = 0.0
        self.drops_there = False
        self.drops_back = False
        self.refuses = False
        self.pairs = set()
        self.address = ""
        self.is_disturbed = False

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        return self

    def reset_all(self):
        for writers in list(self.pairs):
            for writer in writers:
                writer.transport.abort()

    def calm(self):
        self.delay = 0.0
        self.drops_there = self.drops_back = self.refuses = False

    async def _serve(self, reader, writer):
        if self.refuses:
            writer.transport.abort()
            return
        host, port = self.target().split(":")
        try:
            there_reader, there_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, there_writer)
        self.pairs.add(pair)
        await asyncio.gather(self._pump(reader, there_writer, "drops_there"), self._pump(there_reader, writer, "drops_back"))
        self.pairs.discard(pair)

    async def _pump(self, reader, writer, drops):
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                # A cut swallows what comes, as a partition does to a connection that is then given up.
                if not getattr(self, drops):
                    writer.write(data)
                    await writer.drain()
            writer.close()
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.transport.abort()
