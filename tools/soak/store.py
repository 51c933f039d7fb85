"""Stand-in for the platform's object store, with revisions, paginated lists and watches."""

import asyncio
import json
from urllib.parse import parse_qs, urlsplit

from http_messages import format_response, read_message

PAGE_SIZE = 50
HISTORY_LIMIT = 400


class Store:
    def __init__(self):
        self.revision = 10
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        self.is_down = False
        # Returns the object as a reader sees it, so that the soak can put proxies between nodes.
        self.rewrite_for_reader = lambda kind, stored_object: stored_object

    def put(self, kind, name, spec):
        """Writes an object. The write is acknowledged when this returns."""
        self.revision += 1
        created = self.objects.get((kind, name), {}).get("metadata", {}).get("created", self.revision)
        stored_object = {"metadata": {"name": name, "revision": self.revision, "created": created, "finalizers": [], "deleting": False}, "spec": spec, "status": None}
        self.objects[(kind, name)] = stored_object
        self._record(kind, stored_object, False)

    def delete(self, kind, name):
        stored_object = self.objects.pop((kind, name), None)
        if stored_object:
            self.revision += 1
            self._record(kind, stored_object, True)

    def _record(self, kind, stored_object, deleted):
        self.history.append((self.revision, kind, stored_object, deleted))
        del self.history[:-HISTORY_LIMIT]
        self.changed.set()
        self.changed = asyncio.Event()

    def drop_history(self):
        """Drops the history, so that watches have to be restarted with a new list."""
        self.history.clear()
        self.history.append((self.revision, "", {}, False))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while request := await read_message(reader):
                if self.is_down:
                    status, body = 503, {}
                else:
                    status, body = await self._respond(request)
                writer.write(format_response(status, {"Content-Type": "application/json"}, json.dumps(body).encode()))
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
            stored_object = self.objects.get((parts[0], parts[1]))
            return (200, self.rewrite_for_reader(parts[0], stored_object)) if stored_object else (404, {})
        if request.method == "GET" and "watch" in query:
            return await self._watch(parts[0], int(query["watch"]), int(query["waitMs"]) / 1000)
        if request.method == "GET":
            return self._list(parts[0], query.get("after", ""))
        stored_object = json.loads(request.body)
        name = parts[1] if len(parts) == 2 else stored_object["metadata"]["name"]
        exists = (parts[0], name) in self.objects
        if request.method == "PUT" and not exists:
            return 404, {}
        if request.method == "POST" and exists:
            return 409, self.objects[(parts[0], name)]
        self.put(parts[0], name, stored_object["spec"])
        return 200, self.objects[(parts[0], name)]

    def _list(self, kind, after):
        names = sorted(name for entry_kind, name in self.objects if entry_kind == kind and name > after)
        items = [self.rewrite_for_reader(kind, self.objects[(kind, name)]) for name in names[:PAGE_SIZE]]
        return 200, {"items": items, "hasMore": len(names) > PAGE_SIZE, "at": self.revision}

    async def _watch(self, kind, since, seconds):
        deadline = asyncio.get_running_loop().time() + seconds
        while True:
            if self.history and self.history[0][0] > since + 1:
                return 410, {}
            events = [{"object": self.rewrite_for_reader(kind, stored_object), "deleted": deleted} for revision, entry_kind, stored_object, deleted in self.history if entry_kind == kind and revision > since]
            remaining = deadline - asyncio.get_running_loop().time()
            if events or remaining <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except asyncio.TimeoutError:
                pass
