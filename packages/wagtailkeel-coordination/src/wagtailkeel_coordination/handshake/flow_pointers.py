"""The directory entries of one owner: which agent has a flow, and which were tried for it."""

from __future__ import annotations

from collections import defaultdict
from itertools import islice

import msgspec

from wagtailkeel_coordination.handshake.owner_map import bucket_of

Address = tuple[str, int]

SWEEP_INTERVAL_S = 1.0


class FlowPointer(msgspec.Struct):
    """The agent of a flow, ``target``; ``tried`` are agents that did not take its opening.

    ``queue_tried`` are those of them that did not queue it either; None until it is placed.
    ``initial_sequence`` is that of the opening; None if another owner has placed it.
    ``is_copy`` is set while only another owner has got packets of the flow, ``is_closing`` once the
    caller has closed it, and ``is_denied`` once ``target`` has answered that it does not have it.
    ``copied_at`` is when the pointer was last sent to the agent that would own it next. Times are
    in seconds.
    """

    target: Address
    last_seen_at: float
    tried: set[Address]
    created_at: float
    is_copy: bool = False
    is_closing: bool = False
    is_denied: bool = False
    copied_at: float = float("-inf")
    queue_tried: set[Address] | None = None
    initial_sequence: int | None = None

    def forget_attempts(self) -> None:
        """Forget which agents did not take the opening, since a new flow has its key."""
        self.tried = set()
        self.queue_tried = None


class FlowPointers:
    """Pointers by flow key; a pointer that is unused for the idle limit is removed."""

    def __init__(self) -> None:
        self.by_key: dict[bytes, FlowPointer] = {}
        self.idle_limit_s = 60.0
        self._keys_by_bucket: defaultdict[int, dict[bytes, None]] = defaultdict(dict)
        self._swept_at = float("-inf")

    def find(self, key: bytes, now: float) -> FlowPointer | None:
        """Return a pointer and record its use."""
        pointer = self.by_key.get(key)
        if pointer is not None:
            pointer.last_seen_at = now
            pointer.is_copy = False
        return pointer

    def find_in_bucket(self, bucket: int, limit: int) -> list[tuple[bytes, Address]]:
        """Return at most ``limit`` keys of a bucket and the agents that have their flows."""
        pointers = ((key, self.by_key[key]) for key in self._keys_by_bucket[bucket])
        found = ((key, pointer.target) for key, pointer in pointers if not pointer.is_denied)
        return list(islice(found, limit))

    def add_copy(self, key: bytes, target: Address, now: float) -> None:
        """Keep another owner's pointer, unless this owner has got packets of the flow itself."""
        pointer = self.by_key.get(key)
        if pointer is not None and not pointer.is_copy:
            return
        pointer = self.set_target(key, target, now)
        pointer.is_copy = True
        pointer.copied_at = now

    def set_target(self, key: bytes, target: Address, now: float) -> FlowPointer:
        """Point a flow to an agent; the agents tried before are kept."""
        pointer = self.by_key.get(key)
        if pointer is None:
            pointer = FlowPointer(target, now, set(), now)
            self.by_key[key] = pointer
            self._keys_by_bucket[bucket_of(key)][key] = None
        pointer.target = target
        pointer.is_denied = False
        pointer.last_seen_at = now
        return pointer

    def remove(self, key: bytes) -> None:
        """Remove a pointer."""
        if self.by_key.pop(key, None) is not None:
            del self._keys_by_bucket[bucket_of(key)][key]

    def sweep(self, now: float) -> None:
        """Remove unused pointers."""
        if now - self._swept_at < SWEEP_INTERVAL_S:
            return
        self._swept_at = now
        limit_s = self.idle_limit_s
        for key in [k for k, p in self.by_key.items() if now - p.last_seen_at > limit_s]:
            self.remove(key)
