"""Set of flow keys that expire."""

from __future__ import annotations


class ExpiringKeys:
    """Flow keys, each of which expires ``retention_s`` seconds after it was last added."""

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._expires_at_by_key: dict[bytes, float] = {}

    def add(self, key: bytes, now: float) -> None:
        """Add a key, or postpone its expiry."""
        self._expires_at_by_key.pop(key, None)
        self._expires_at_by_key[key] = now + self._retention_s

    def discard(self, key: bytes) -> None:
        """Remove a key, if it is there."""
        self._expires_at_by_key.pop(key, None)

    def contains(self, key: bytes, now: float) -> bool:
        """Return whether a key was added and has not expired."""
        return self._expires_at_by_key.get(key, now) > now

    def expire(self, now: float) -> None:
        """Remove expired keys; the keys are in the order of their expiry."""
        for key, expires_at in list(self._expires_at_by_key.items()):
            if expires_at > now:
                break
            del self._expires_at_by_key[key]
