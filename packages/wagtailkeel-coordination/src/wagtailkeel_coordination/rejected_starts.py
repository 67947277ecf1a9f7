"""Placements that this agent has rejected.

A doubled or late copy of a rejected placement is rejected again, since the authority may have
placed the flow elsewhere by then.
"""

from __future__ import annotations

REJECTION_MEMORY_S = 30.0


class RejectedStarts:
    """Keys of rejected flows, each with the time at which it is forgotten."""

    def __init__(self) -> None:
        self._expiry_by_key: dict[bytes, float] = {}

    def add(self, key: bytes, now: float) -> None:
        """Remember a rejection."""
        self._expiry_by_key.pop(key, None)
        self._expiry_by_key[key] = now + REJECTION_MEMORY_S

    def contains(self, key: bytes, now: float) -> bool:
        """Tell whether the flow was rejected a short while ago."""
        return self._expiry_by_key.get(key, now) > now

    def expire(self, now: float) -> None:
        """Forget old rejections; keys are in the order of their expiry."""
        for key, expiry in list(self._expiry_by_key.items()):
            if expiry > now:
                break
            del self._expiry_by_key[key]
