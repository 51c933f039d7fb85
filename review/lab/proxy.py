"""Loopback TCP proxy that can refuse new connections, reset open ones, or forward nothing, as a partition does."""

import asyncio


class Proxy:
    def __init__(self, target):
        self.target = target
        self.is_cut = False
        self.refuses = False
        self.writers = set()
        self.address = ""
        self.bytes_to_target = 0

    async def start(self, ip, port=0):
        server = await asyncio.start_server(self._serve, ip, port, backlog=512)
        self.address = "%s:%d" % (ip, server.sockets[0].getsockname()[1])

    def cut(self):
        """Drops all bytes in both directions. Open connections stay silent for good."""
        self.is_cut = True

    def heal(self):
        """Lets new connections through. Those that were open during the cut are reset."""
        self.is_cut = False
        self.refuses = False
        self.reset_all()

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while self.is_cut:
                await asyncio.sleep(0.02)
            if self.refuses:
                writer.transport.abort()
                return
            host, port = self.target.split(":")
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
            self.writers.add(target_writer)
            try:
                await asyncio.gather(self._pump(reader, target_writer, True), self._pump(target_reader, writer, False))
            finally:
                self.writers.discard(target_writer)
                target_writer.close()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _pump(self, reader, writer, is_to_target):
        try:
            while data := await reader.read(65536):
                if self.is_cut:
                    continue
                self.bytes_to_target += len(data) if is_to_target else 0
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()
