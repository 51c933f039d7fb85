"""The events that a client has received of one stream, over all its tries."""

import re

from connection import ProtocolError
from upstream import COMMENT, event_start

EVENT = re.compile(rb"id: (\d+)\ndata: [0-9a-f]{16} (\S+) (\S+)\n\n")
EVENT_END = re.compile(rb"\S*( (\S+\n?)?)?")


class StreamRecord:
    def __init__(self, content, event_count):
        # The body of the request.
        self.content = content
        self.event_count = event_count
        self.is_counted = False
        self.last_id = 0
        self.first_attempt = ""
        # Service and software version of the upstream that wrote each event, with the attempt that brought it.
        self.origins = []
        # Each event whose id does not follow that of the one before it: the attempt and both ids.
        self.breaks = []

    @property
    def is_complete(self):
        return self.last_id == self.event_count

    @property
    def first_origin(self):
        """Service and software version that wrote the first event."""
        return self.origins[0][0] if self.origins else None

    @property
    def first_version(self):
        """Number of the software version that wrote the first event, or 0 if there is none."""
        return int(self.origins[0][0][1].removeprefix("v")) if self.origins else 0

    def versions(self):
        """Returns the software versions of the service with the most of them."""
        by_service = {}
        for (service, version), _ in self.origins:
            by_service.setdefault(service, set()).add(version)
        return max(by_service.values(), key=len, default=set())

    def read(self, attempt, data):
        """Takes the whole events at the start of the data and returns their length. Raises if no upstream wrote them."""
        offset = 0
        while (end := data.find(b"\n\n", offset)) >= 0:
            event, offset = data[offset:end + 2], end + 2
            if event != COMMENT:
                self._take(attempt, event)
        if not self._may_continue(data[offset:]):
            raise ProtocolError(f"the stream ends in unexpected bytes {data[-80:]!r}")
        return offset

    def _take(self, attempt, event):
        match = EVENT.fullmatch(event)
        if not match or not event.startswith(event_start(self.content, int(match[1]))):
            raise ProtocolError(f"unexpected event {event[-80:]!r}")
        number = int(match[1])
        if number != self.last_id + 1:
            self.breaks.append((attempt, self.last_id, number))
        self.last_id = number
        self.first_attempt = self.first_attempt or attempt
        self.origins.append(((match[2].decode(), match[3].decode()), attempt))

    def _may_continue(self, rest):
        """Returns whether the bytes are the start of the next event."""
        start = event_start(self.content, self.last_id + 1)
        if len(rest) <= len(start):
            return start.startswith(rest) or COMMENT.startswith(rest)
        return rest.startswith(start) and EVENT_END.fullmatch(rest[len(start):]) is not None
