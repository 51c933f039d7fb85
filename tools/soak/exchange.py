"""What a client did and saw for one request."""

import re
from dataclasses import dataclass
from typing import Any, Optional

from connection import ProtocolError


@dataclass
class Exchange:
    attempt: str
    kind: str
    key: str
    process: Any
    # How long the connection was idle before the first byte of the request.
    idle_seconds: float
    began_at: float
    header_bytes: int = 0
    body_bytes: int = 0
    # Time of the last byte of the request, or None if it was not sent completely.
    sent_at: Optional[float] = None
    ended_at: Optional[float] = None
    # How long the connection could be idle, as the response before said, or None.
    announced_idle_seconds: Optional[float] = None
    # The gateway had closed the connection already when the client began to send.
    was_closed_before: bool = False
    # The gateway got no news when the request began.
    was_out_of_step: bool = False
    is_head_received: bool = False
    # The connection was to be closed after an earlier response, as its headers said.
    is_close_announced: bool = False
    was_pipelined: bool = False
    # Another request was sent on the connection before the response was complete.
    has_follower: bool = False
    status: Any = None
    # Seconds, or None if the response states none.
    retry_after: Optional[float] = None
    # What came of the try has been counted.
    is_recorded: bool = False

    def read_retry_after(self, message):
        text = message.header("retry-after")
        if text and not re.fullmatch(r"\d+(\.\d+)?", text):
            raise ProtocolError(f"Retry-After: {text}")
        self.retry_after = float(text) if text else None
