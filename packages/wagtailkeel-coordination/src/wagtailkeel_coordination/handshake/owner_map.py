"""Which agent keeps the directory entry of a flow: rendezvous hashing over the live agents.

Source: highest random weight hashing (Thaler and Ravishankar, 1998). Two nodes may disagree while
agents come and go: an owner that does not know a flow searches for it.
"""

from __future__ import annotations

import xxhash

Address = tuple[str, int]

BUCKETS = 256


class OwnerMap:
    """Owners by bucket, among the agents of one data centre where any is alive."""

    def __init__(self) -> None:
        self._alive: tuple[Address, ...] = ()
        self._owners: list[Address] = []

    def update(self, alive: list[Address]) -> bool:
        """Build the map again if the set of live agents has changed; return whether it has."""
        ordered = tuple(sorted(alive))
        if ordered == self._alive:
            return False
        self._alive = ordered
        seeds = [xxhash.xxh3_64_intdigest(f"{host}:{port}".encode()) for host, port in ordered]
        buckets = range(BUCKETS) if ordered else ()
        self._owners = [_heaviest(ordered, seeds, bucket) for bucket in buckets]
        return True

    @property
    def has_owners(self) -> bool:
        """Tell whether any agent keeps the directory."""
        return bool(self._alive)

    def owner_of(self, key: bytes) -> Address | None:
        """Return the owner of a flow; None where no agent is alive."""
        if not self._alive:
            return None
        return self._owners[xxhash.xxh3_64_intdigest(key) % BUCKETS]


def _heaviest(ordered: tuple[Address, ...], seeds: list[int], bucket: int) -> Address:
    salt = bucket.to_bytes(2, "big")
    weights = [xxhash.xxh3_64_intdigest(salt, seed) for seed in seeds]
    return ordered[weights.index(max(weights))]
