"""Placements that this agent has rejected.

A duplicate or late copy of a rejected placement is rejected again, since the authority may have
placed the flow elsewhere in the meantime.
"""

from __future__ import annotations

REJECTION_RETENTION_S = 30.0


class RejectedStarts:
    """Keys of rejected flows, each with the time at which it expires."""

    def __init__(self) -> None:
        self._expires_at_by_key: dict[bytes, float] = {}

    def add(self, key: bytes, now: float) -> None:
        """Record a rejection."""
        self._expires_at_by_key.pop(key, None)
        self._expires_at_by_key[key] = now + REJECTION_RETENTION_S

    def contains(self, key: bytes, now: float) -> bool:
        """Return whether the flow was rejected within the last ``REJECTION_RETENTION_S``."""
        return self._expires_at_by_key.get(key, now) > now

    def expire(self, now: float) -> None:
        """Remove expired rejections; the keys are in the order of their expiry."""
        for key, expires_at in list(self._expires_at_by_key.items()):
            if expires_at > now:
                break
            del self._expires_at_by_key[key]
