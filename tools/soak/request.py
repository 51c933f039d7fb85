"""A request of a client, and the further tries with which it takes up a stream."""

import copy
import uuid

from stream_record import StreamRecord

LARGE_REQUEST_SHARE = 0.03
SLOW_BODY_SHARE = 0.15


def draw_attempt(random):
    return uuid.UUID(int=random.getrandbits(128)).hex[:16]


class Request:
    def __init__(self, random, keys, limits, traffic):
        self.attempt = draw_attempt(random)
        self.kind = random.choice(traffic.kinds)
        self.key = random.choice(keys)
        self.deadline_ms = traffic.time_budget_ms
        has_body = self.kind in ("book", "stream")
        self.body = self.attempt.encode() * random.randint(1, 60) if has_body else b""
        self.path = f"/{self.kind}/{self.attempt}"
        self.headers = []
        self.padding = 0
        self.pauses = []
        # The last event that the client had when it sent this, and the attempt that brought the first one.
        self.last_event_id = 0
        self.resumes = ""
        self.is_later_try = False
        if random.random() < LARGE_REQUEST_SHARE:
            self.padding = int(random.uniform(0.3, 0.8) * limits.maxHeaderBytes) - 400
            if self.kind == "book":
                self.body = self.attempt.encode() * int(random.uniform(0.3, 0.8) * limits.maxBodyBytes / 16)
        if has_body and random.random() < SLOW_BODY_SHARE:
            self.pauses = [random.uniform(0, 0.4) for _ in range(random.randint(1, 3))]
        self.stream = None
        if self.kind == "stream":
            self.stream = StreamRecord(self.body, random.randint(traffic.min_events, traffic.max_events))
            self.path += f"/{self.stream.event_count}"

    def next_try(self, random, deadline_ms):
        """Returns the request that takes up the stream after its last event, or begins it anew if there was none."""
        request = copy.copy(self)
        request.attempt = draw_attempt(random)
        request.deadline_ms = deadline_ms
        request.pauses = []
        request.last_event_id = self.stream.last_id
        request.resumes = self.stream.first_attempt
        request.is_later_try = True
        return request

    def head(self):
        method = "POST" if self.body else "GET"
        lines = [f"{method} {self.path} HTTP/1.1", "Host: soak.example", f"Redwingseam-Attempt-Id: {self.attempt}", f"Redwingseam-Key: {self.key}", f"Redwingseam-Deadline-Ms: {self.deadline_ms}", *self.headers]
        if self.padding:
            lines.append("X-Padding: " + "p" * self.padding)
        if self.kind == "stream":
            lines += ["Redwingseam-Token-Usage: 800,200", "Redwingseam-Model: m"]
        if self.last_event_id:
            lines += [f"Last-Event-Id: {self.last_event_id}", f"Resumes: {self.resumes}"]
        if self.body:
            lines.append(f"Content-Length: {len(self.body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()
