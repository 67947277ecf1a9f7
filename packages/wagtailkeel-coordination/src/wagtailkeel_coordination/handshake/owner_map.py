"""Assigns the directory entries of flows to agents by rendezvous hashing.

Source: highest random weight hashing (Thaler and Ravishankar, 1998). Two balancers may
disagree while agents start or stop: an owner without an entry for a flow searches for the flow.
"""

from __future__ import annotations

import xxhash

Address = tuple[str, int]

BUCKET_COUNT = 256


class OwnerMap:
    """Owners by bucket: the live agents of one data centre, or others if none of them is live."""

    def __init__(self) -> None:
        self._agents: tuple[Address, ...] = ()
        self._owners: list[Address] = []

    def update(self, agents: list[Address]) -> bool:
        """Rebuild the map if the set of agents has changed; return whether it has."""
        ordered = tuple(sorted(agents))
        if ordered == self._agents:
            return False
        self._agents = ordered
        seeds = [xxhash.xxh3_64_intdigest(f"{host}:{port}".encode()) for host, port in ordered]
        buckets = range(BUCKET_COUNT) if ordered else ()
        self._owners = [_pick_owner(ordered, seeds, bucket) for bucket in buckets]
        return True

    @property
    def has_owners(self) -> bool:
        """Return whether any agent owns directory entries."""
        return bool(self._agents)

    def owner_of(self, key: bytes) -> Address | None:
        """Return the owner of a flow, or None if the map has no agents."""
        if not self._agents:
            return None
        return self._owners[xxhash.xxh3_64_intdigest(key) % BUCKET_COUNT]


def _pick_owner(ordered: tuple[Address, ...], seeds: list[int], bucket: int) -> Address:
    encoded_bucket = bucket.to_bytes(2, "big")
    weights = [xxhash.xxh3_64_intdigest(encoded_bucket, seed) for seed in seeds]
    return ordered[weights.index(max(weights))]
