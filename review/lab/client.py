"""Stand-in for a client: sends requests on kept connections and reads whole answers."""

import asyncio
import time

from http11 import format_message, read_message


class Answer:
    def __init__(self, status, message, sent_at, ended_at):
        self.status = status
        self.message = message
        self.sent_at = sent_at
        self.ended_at = ended_at


class Client:
    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def request(self, method, host, target, attempt, key, deadline_ms, body=b"", headers=()):
        """Returns the answer; its status is "no connection", "closed" or "timeout" if there is none."""
        if self.writer is None:
            try:
                self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(*self.address), 1)
            except (OSError, asyncio.TimeoutError):
                self.writer = None
                return Answer("no connection", None, time.monotonic(), time.monotonic())
        fields = {"Host": host, "Redwingseam-Attempt-Id": attempt, "Redwingseam-Deadline-Ms": deadline_ms, "Redwingseam-Key": key, **dict(headers)}
        sent_at = time.monotonic()
        try:
            self.writer.write(format_message(f"{method} {target} HTTP/1.1", fields, body))
            message = await asyncio.wait_for(read_message(self.reader), deadline_ms / 1000)
        except asyncio.TimeoutError:
            self.close()
            return Answer("timeout", None, sent_at, time.monotonic())
        except (OSError, asyncio.IncompleteReadError):
            message = None
        if message is None:
            self.close()
            return Answer("closed", None, sent_at, time.monotonic())
        if message.header("connection").lower() == "close":
            self.close()
        return Answer(message.status, message, sent_at, time.monotonic())

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None
