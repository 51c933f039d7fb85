"""Stand-in of the platform's store: objects by kind and name, revisions, lists in pages and watches."""

import asyncio
import json
from urllib.parse import parse_qs, urlsplit

from http_messages import format_answer, read_message

PAGE = 50
HISTORY = 400


class Store:
    def __init__(self):
        self.revision = 10
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        self.is_down = False
        # Gives the object that a reader sees, so that the soak can put proxies between nodes.
        self.rewrite = lambda kind, thing: thing

    def put(self, kind, name, spec):
        """Writes an object; the return is the acknowledgement."""
        self.revision += 1
        created = self.objects.get((kind, name), {}).get("metadata", {}).get("created", self.revision)
        thing = {"metadata": {"name": name, "revision": self.revision, "created": created, "finalizers": [], "deleting": False}, "spec": spec, "status": None}
        self.objects[(kind, name)] = thing
        self._record(kind, thing, False)

    def delete(self, kind, name):
        thing = self.objects.pop((kind, name), None)
        if thing:
            self.revision += 1
            self._record(kind, thing, True)

    def _record(self, kind, thing, deleted):
        self.history.append((self.revision, kind, thing, deleted))
        del self.history[:-HISTORY]
        self.changed.set()
        self.changed = asyncio.Event()

    def forget(self):
        """Drops the history, so that watches have to begin anew."""
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
                    status, body = await self._answer(request)
                writer.write(format_answer(status, {"Content-Type": "application/json"}, json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        parts = url.path.removeprefix("/api/objects/").split("/")
        if request.method == "GET" and len(parts) == 2:
            thing = self.objects.get((parts[0], parts[1]))
            return (200, self.rewrite(parts[0], thing)) if thing else (404, {})
        if request.method == "GET" and "watch" in query:
            return await self._watch(parts[0], int(query["watch"]), int(query["waitMs"]) / 1000)
        if request.method == "GET":
            return self._list(parts[0], query.get("after", ""))
        thing = json.loads(request.body)
        name = parts[1] if len(parts) == 2 else thing["metadata"]["name"]
        exists = (parts[0], name) in self.objects
        if request.method == "PUT" and not exists:
            return 404, {}
        if request.method == "POST" and exists:
            return 409, self.objects[(parts[0], name)]
        self.put(parts[0], name, thing["spec"])
        return 200, self.objects[(parts[0], name)]

    def _list(self, kind, after):
        names = sorted(name for other, name in self.objects if other == kind and name > after)
        items = [self.rewrite(kind, self.objects[(kind, name)]) for name in names[:PAGE]]
        return 200, {"items": items, "hasMore": len(names) > PAGE, "at": self.revision}

    async def _watch(self, kind, since, seconds):
        deadline = asyncio.get_running_loop().time() + seconds
        while True:
            if self.history and self.history[0][0] > since + 1:
                return 410, {}
            events = [{"object": self.rewrite(kind, thing), "deleted": deleted} for revision, other, thing, deleted in self.history if other == kind and revision > since]
            left = deadline - asyncio.get_running_loop().time()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
