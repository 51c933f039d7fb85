"""What kinds of requests clients send, and how they use their connections."""

from dataclasses import dataclass
from typing import Tuple


@dataclass(frozen=True)
class Traffic:
    kinds: Tuple[str, ...]
    # Lengths of streams, in events.
    min_events: int = 40
    max_events: int = 40
    # Share of the requests that the client abandons.
    abandoned_share: float = 0.04
    # Share of the streams whose connection the client loses and takes up again.
    broken_share: float = 0.04
    # When the client loses it, in seconds after its request.
    break_seconds: Tuple[float, float] = (0.2, 1.5)
    time_budget_ms: int = 10000
    # A client whose stream broke comes back at once, after a short pause, or once in a while much later.
    take_up_pauses_seconds: Tuple[float, ...] = (0, 0, 0.3, 0.3, 0.3, 0.3, 1, 4, 9)


MIXED_TRAFFIC = Traffic(("read", "book", "stream", "read", "book", "stream", "extra"))
STREAM_TRAFFIC = Traffic(("stream", "stream", "stream", "stream", "stream", "stream", "stream", "read", "book"), 20, 120, 0.02, 0.5, time_budget_ms=20000)
# Most streams break soon, and their clients come back at once.
BREAKING_TRAFFIC = Traffic(STREAM_TRAFFIC.kinds, 20, 60, 0.02, 0.8, (0.2, 0.8), 20000, (0, 0, 0.3))
