"""Stand-in for the platform's object store, with revisions, paginated lists and watches."""

import asyncio
import json
from urllib.parse import parse_qs, urlsplit

from calm import Calm
from http_messages import format_response, read_message

PAGE_SIZE = 50
HISTORY_LIMIT = 400


# A call whose answer is lost may be executed as late as this.
LATE_EXECUTION_SECONDS = 3


class Store:
    def __init__(self, random):
        self.random = random
        self.calm = Calm()
        # Rises with each restore, and is stated in each response.
        self.era = 1
        self.revision = 10
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        self.clear_faults()
        # Returns the object as a node sees it, so that the soak can put proxies between nodes.
        self.rewrite_for_reader = lambda kind, stored_object, node: stored_object

    def clear_faults(self):
        self.is_down = False
        # Accepts calls and returns nothing.
        self.is_silent = False
        self.delay = 0.0
        # The share of writes that get no answer; some of them are executed, at once or later.
        self.lost_answer_share = 0.0

    def put(self, kind, name, spec):
        """Writes an object. The write is acknowledged when this returns."""
        self._write(kind, name, spec=spec)

    def _write(self, kind, name, changed_metadata=None, **fields):
        """Replaces the given fields of an object, or creates it. A write that changes nothing has no revision."""
        before = self.objects.get((kind, name), {"metadata": {"name": name, "created": self.revision + 1, "finalizers": [], "deleting": False}, "spec": None, "status": None})
        metadata = before["metadata"] | (changed_metadata or {})
        written = before | {"metadata": metadata} | fields
        if metadata["deleting"] and not metadata["finalizers"]:
            self.delete(kind, name)
        elif written != self.objects.get((kind, name)):
            self.revision += 1
            written["metadata"] = metadata | {"revision": self.revision}
            self.objects[(kind, name)] = written
            self._record(kind, written, False)

    def delete(self, kind, name):
        """Removes an object, whatever its finalizers."""
        stored_object = self.objects.pop((kind, name), None)
        if stored_object:
            self.revision += 1
            self._record(kind, stored_object, True)

    def take_copy(self):
        return self.revision, dict(self.objects)

    def restore(self, stored_copy):
        """Goes back to an earlier state. What was written since is lost, and its revisions are given out again."""
        self.revision, objects = stored_copy
        self.objects = dict(objects)
        self.era += 1
        self.drop_history()

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

    async def serve(self, reader, writer, node=None):
        try:
            while request := await read_message(reader):
                await asyncio.sleep(self.delay)
                if self.is_silent or self._loses_answer(request):
                    return await self._ignore(reader)
                era = self.era
                status, body = (503, {}) if self.is_down else await self._respond(request, node)
                if self.is_silent:
                    return await self._ignore(reader)
                if era != self.era:
                    # A watch that waited across a restore is cut off.
                    return
                writer.write(format_response(status, {"Content-Type": "application/json", "Store-Era": era}, json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    @staticmethod
    async def _ignore(reader):
        """Returns nothing further on the connection."""
        while await reader.read(65536):
            pass

    def _loses_answer(self, request):
        if request.method == "GET" or self.is_down or self.random.random() >= self.lost_answer_share:
            return False
        choice = self.random.random()
        if choice < 0.4:
            self._write_as_asked(request)
        elif choice < 0.7:
            asyncio.get_running_loop().call_later(self.random.uniform(0, LATE_EXECUTION_SECONDS), self._write_as_asked, request)
        return True

    async def _respond(self, request, node=None):
        if request.method != "GET":
            return self._write_as_asked(request)
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        parts = url.path.removeprefix("/api/objects/").split("/")
        if len(parts) == 2:
            stored_object = self.objects.get((parts[0], parts[1]))
            return (200, self.rewrite_for_reader(parts[0], stored_object, node)) if stored_object else (404, {})
        if "watch" in query:
            return await self._watch(parts[0], int(query["watch"]), int(query["waitMs"]) / 1000, node)
        return self._list(parts[0], query.get("after", ""), node)

    def _write_as_asked(self, request):
        """Executes a call that writes, if its condition holds."""
        url = urlsplit(request.target)
        sent = json.loads(request.body or b"{}")
        metadata = sent.get("metadata", {})
        kind, name, *rest = url.path.removeprefix("/api/objects/").split("/") + ([metadata["name"]] if request.method == "POST" else [])
        stored_object = self.objects.get((kind, name))
        finalizers = {"finalizers": metadata["finalizers"]} if "finalizers" in metadata else {}
        revision = metadata.get("revision", parse_qs(url.query).get("revision", [None])[0])
        if request.method != "POST" and not stored_object:
            return 404, {}
        if stored_object and (request.method == "POST" or (revision is not None and int(revision) != stored_object["metadata"]["revision"])):
            return 409, stored_object
        if request.method == "DELETE":
            self._write(kind, name, {"deleting": True})
        elif rest == ["status"]:
            self._write(kind, name, status=sent.get("status"))
        else:
            self._write(kind, name, finalizers, spec=sent.get("spec"))
        return 200, self.objects.get((kind, name), {})

    def _list(self, kind, after, node):
        names = sorted(name for entry_kind, name in self.objects if entry_kind == kind and name > after)
        items = [self.rewrite_for_reader(kind, self.objects[(kind, name)], node) for name in names[:PAGE_SIZE]]
        return 200, {"items": items, "hasMore": len(names) > PAGE_SIZE, "at": self.revision}

    async def _watch(self, kind, since, seconds, node):
        deadline = asyncio.get_running_loop().time() + seconds
        while True:
            if since > self.revision or (self.history and self.history[0][0] > since + 1):
                return 410, {}
            events = [{"object": self.rewrite_for_reader(kind, stored_object, node), "deleted": deleted} for revision, entry_kind, stored_object, deleted in self.history if entry_kind == kind and revision > since]
            remaining = deadline - asyncio.get_running_loop().time()
            if events or remaining <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except asyncio.TimeoutError:
                pass
