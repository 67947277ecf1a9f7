"""Queue of flow starts that wait for room on a server before they are refused."""

from __future__ import annotations

from collections import deque

import msgspec

from wagtailkeel_protocol.gue import DataFrame
from wagtailkeel_state.traffic_class import TrafficClass

QUEUE_LIMIT_STARTS = 128
QUEUE_TIMEOUT_S = 0.2


class QueuedStart(msgspec.Struct):
    """A flow's first packet; the flow is refused at ``expires_at``."""

    frame: DataFrame
    key: bytes
    traffic_class: TrafficClass
    expires_at: float


class AdmissionQueue:
    """First-in, first-out queue; no packet of a queued flow has reached a server."""

    def __init__(self) -> None:
        self._starts: deque[QueuedStart] = deque()
        self._keys: set[bytes] = set()

    def __len__(self) -> int:
        return len(self._starts)

    @property
    def oldest(self) -> QueuedStart:
        """The start that was queued first."""
        return self._starts[0]

    def contains(self, key: bytes) -> bool:
        """Return whether a start of the flow is queued."""
        return key in self._keys

    def add(self, frame: DataFrame, key: bytes, traffic_class: TrafficClass, now: float) -> bool:
        """Queue a start; return False if the queue is full."""
        if len(self._starts) >= QUEUE_LIMIT_STARTS:
            return False
        self._starts.append(QueuedStart(frame, key, traffic_class, now + QUEUE_TIMEOUT_S))
        self._keys.add(key)
        return True

    def pop(self) -> QueuedStart:
        """Remove the oldest start and return it."""
        start = self._starts.popleft()
        self._keys.discard(start.key)
        return start
