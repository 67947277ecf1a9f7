"""Keys of flows that an agent no longer tracks although its backend server may still hold them.

The server may outlive what its agent knows of a flow: the idle limit may be raised again, a late
packet of an earlier flow may have closed the record of a later one, and a flow may have been opened
before the first report of the incarnation that holds it. So a flow that was opened here is not
denied for some time after its record was removed, but looked up at the server. That the server has
returned a packet does not end this: it may have been a late one of an earlier flow.
"""

from __future__ import annotations

from collections import deque

MIN_RETENTION_S = 60.0
MAX_FLOWS = 20_000
"""With more flows, the table counts as incomplete instead."""


class ForgottenFlows:
    """The flows by key, each until ``retention_s`` after its last record was removed.

    A flow that is not idle for so long has a packet of its server by then, and is tracked again.
    Times are in seconds.
    """

    def __init__(self) -> None:
        self.retention_s = MIN_RETENTION_S
        self._forgotten_at_by_key: dict[bytes, float] = {}
        self._removals: deque[tuple[float, bytes]] = deque()
        self._incomplete_until = float("-inf")

    def add(self, key: bytes, now: float) -> None:
        """Record that a flow is no longer tracked."""
        self._expire(now)
        if len(self._removals) >= MAX_FLOWS:
            self._forgotten_at_by_key.clear()
            self._removals.clear()
            self._incomplete_until = now + self.retention_s
        self._forgotten_at_by_key[key] = now
        self._removals.append((now, key))

    def clear(self) -> None:
        """Remove all flows, since the server that held them has ended."""
        self._forgotten_at_by_key.clear()
        self._removals.clear()
        self._incomplete_until = float("-inf")

    def may_include(self, key: bytes, now: float) -> bool:
        """Return whether a flow is one of these, or may be one that had to be dropped."""
        self._expire(now)
        return key in self._forgotten_at_by_key or now < self._incomplete_until

    def _expire(self, now: float) -> None:
        while self._removals and now - self._removals[0][0] > self.retention_s:
            removed_at, key = self._removals.popleft()
            if self._forgotten_at_by_key.get(key) == removed_at:
                del self._forgotten_at_by_key[key]
