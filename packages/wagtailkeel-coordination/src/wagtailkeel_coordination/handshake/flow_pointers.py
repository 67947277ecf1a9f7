"""Directory entries of one owner: which agent has a flow, and which were tried for it."""

from __future__ import annotations

import msgspec

Address = tuple[str, int]

SWEEP_INTERVAL_S = 1.0


class FlowPointer(msgspec.Struct):
    """A flow's agent; ``tried`` are agents that returned its opening. Times in seconds."""

    target: Address
    last_seen_at: float
    tried: set[Address]


class FlowPointers:
    """Pointers by flow key; one unused for the idle limit is forgotten."""

    def __init__(self) -> None:
        self.by_key: dict[bytes, FlowPointer] = {}
        self.idle_limit_s = 60.0
        self._swept_at = float("-inf")

    def find(self, key: bytes, now: float) -> FlowPointer | None:
        """Return a pointer and note its use."""
        pointer = self.by_key.get(key)
        if pointer is not None:
            pointer.last_seen_at = now
        return pointer

    def point(self, key: bytes, target: Address, now: float) -> FlowPointer:
        """Point to an agent; what was tried before stays known."""
        pointer = self.by_key.get(key)
        if pointer is None:
            pointer = FlowPointer(target, now, set())
            self.by_key[key] = pointer
        pointer.target = target
        pointer.last_seen_at = now
        return pointer

    def remove(self, key: bytes) -> None:
        """Forget a pointer."""
        self.by_key.pop(key, None)

    def sweep(self, now: float) -> None:
        """Forget pointers that are no longer used."""
        if now - self._swept_at < SWEEP_INTERVAL_S:
            return
        self._swept_at = now
        limit_s = self.idle_limit_s
        for key in [k for k, p in self.by_key.items() if now - p.last_seen_at > limit_s]:
            del self.by_key[key]
