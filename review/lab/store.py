"""Stand-in for the platform's metadata store: linearizable objects, paginated lists and watches over HTTP/1.1."""

import asyncio
import json
from urllib.parse import parse_qs, urlsplit

from http11 import format_response, read_message

PAGE_SIZE = 500


class Store:
    def __init__(self):
        self.revision = 100
        self.objects = {}
        # (revision, kind, object as JSON text, deleted)
        self.history = []
        self.changed = asyncio.Event()
        self.address = ""
        # Entries whose JSON text is used as it is: {(kind, name): text of the spec}.
        self.raw_specs = {}

    async def start(self, ip):
        server = await asyncio.start_server(self._serve, ip, 0, backlog=512)
        self.address = "%s:%d" % (ip, server.sockets[0].getsockname()[1])

    def put(self, kind, name, spec, raw_spec=None):
        """Writes an object. The write is acknowledged when this returns. `raw_spec` is the spec as JSON text."""
        self.revision += 1
        created = self.objects[(kind, name)]["metadata"]["created"] if (kind, name) in self.objects else self.revision
        stored = {"metadata": {"name": name, "revision": self.revision, "created": created, "finalizers": [], "deleting": False}, "spec": spec, "status": None}
        self.objects[(kind, name)] = stored
        self.raw_specs.pop((kind, name), None)
        if raw_spec is not None:
            self.raw_specs[(kind, name)] = raw_spec
        self._record(kind, name, False)
        return stored

    def delete(self, kind, name):
        if (kind, name) not in self.objects:
            return
        self.revision += 1
        text = self._text(kind, name)
        del self.objects[(kind, name)]
        self.raw_specs.pop((kind, name), None)
        self._append(kind, text, True)

    def _text(self, kind, name):
        stored = self.objects[(kind, name)]
        raw = self.raw_specs.get((kind, name))
        if raw is None:
            return json.dumps(stored)
        return '{"metadata":' + json.dumps(stored["metadata"]) + ',"spec":' + raw + ',"status":null}'

    def _record(self, kind, name, deleted):
        self._append(kind, self._text(kind, name), deleted)

    def _append(self, kind, text, deleted):
        self.history.append((self.revision, kind, text, deleted))
        del self.history[:-2000]
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while request := await read_message(reader):
                status, body = await self._respond(request)
                writer.write(format_response(status, {"Content-Type": "application/json"}, body if isinstance(body, bytes) else body.encode("utf-8")))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _respond(self, request):
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        parts = url.path.removeprefix("/api/objects/").split("/")
        if request.method == "GET" and len(parts) == 2:
            key = (parts[0], "/".join(parts[1:]))
            return (200, self._text(*key)) if key in self.objects else (404, "{}")
        if request.method == "GET" and "watch" in query:
            return await self._watch(parts[0], int(query["watch"]), int(query.get("waitMs", "0")) / 1000)
        if request.method == "GET":
            return self._list(parts[0], query.get("after", ""))
        if request.method == "POST":
            stored = json.loads(request.body)
            name = stored["metadata"]["name"]
            if (parts[0], name) in self.objects:
                return 409, self._text(parts[0], name)
            self.put(parts[0], name, stored["spec"])
            return 201, self._text(parts[0], name)
        if request.method == "PUT":
            if (parts[0], parts[1]) not in self.objects:
                return 404, "{}"
            stored = json.loads(request.body)
            if stored["spec"] != self.objects[(parts[0], parts[1])]["spec"]:
                self.put(parts[0], parts[1], stored["spec"])
            return 200, self._text(parts[0], parts[1])
        return 404, "{}"

    def _list(self, kind, after):
        names = sorted(name for entry_kind, name in self.objects if entry_kind == kind and name > after)
        items = ",".join(self._text(kind, name) for name in names[:PAGE_SIZE])
        more = "true" if len(names) > PAGE_SIZE else "false"
        return 200, '{"items":[' + items + '],"hasMore":' + more + ',"at":' + str(self.revision) + "}"

    async def _watch(self, kind, since, seconds):
        deadline = asyncio.get_running_loop().time() + seconds
        while True:
            if self.history and self.history[0][0] > since + 1 and since < self.revision:
                return 410, "{}"
            events = [f'{{"deleted":{"true" if deleted else "false"},"object":{text}}}' for revision, entry_kind, text, deleted in self.history if entry_kind == kind and revision > since]
            remaining = deadline - asyncio.get_running_loop().time()
            if events or remaining <= 0:
                return 200, '{"events":[' + ",".join(events) + '],"at":' + str(self.revision) + "}"
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except asyncio.TimeoutError:
                pass
