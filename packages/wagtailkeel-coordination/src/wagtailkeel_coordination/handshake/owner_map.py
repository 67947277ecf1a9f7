"""Assigns the directory entries of flows to agents by rendezvous hashing.

Source: highest random weight hashing (Thaler and Ravishankar, 1998). Two balancers may
disagree while agents start or stop: an owner without an entry for a flow searches for the flow.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

Address = tuple[str, int]
_Rank = tuple[int, Address]

BUCKET_COUNT = 256
_ENCODED_BUCKETS = [bucket.to_bytes(2, "big") for bucket in range(BUCKET_COUNT)]


def bucket_of(key: bytes) -> int:
    """Return the bucket of a flow."""
    return xxhash.xxh3_64_intdigest(key) % BUCKET_COUNT


class OwnerMap:
    """Owners by bucket: the live agents of one data centre, or others if none of them is live.

    When agents are added or removed, only the buckets that they own are assigned anew, so the cost
    of a change does not grow with the number of agents.
    """

    def __init__(self) -> None:
        self._seeds_by_agent: dict[Address, int] = {}
        self._owners: list[_Rank] = []

    def update(self, agents: Iterable[Address]) -> bool:
        """Set the agents that own buckets; return whether they have changed."""
        current = set(agents)
        added = current - self._seeds_by_agent.keys()
        removed = self._seeds_by_agent.keys() - current
        if not added and not removed:
            return False
        for address in removed:
            del self._seeds_by_agent[address]
        for address in added:
            self._seeds_by_agent[address] = _compute_seed(address)
        if not current:
            self._owners = []
        elif not self._owners:
            self._owners = [self._rank_highest(bucket, current) for bucket in range(BUCKET_COUNT)]
        else:
            self._replace_owners(added, removed)
        return True

    def _replace_owners(self, added: set[Address], removed: set[Address]) -> None:
        for bucket, owner in enumerate(self._owners):
            if owner[1] in removed:
                self._owners[bucket] = self._rank_highest(bucket, self._seeds_by_agent)
            elif added:
                self._owners[bucket] = max(owner, self._rank_highest(bucket, added))

    @property
    def has_owners(self) -> bool:
        """Return whether any agent owns directory entries."""
        return bool(self._owners)

    def owner_of(self, key: bytes) -> Address | None:
        """Return the owner of a flow, or None if the map has no agents."""
        if not self._owners:
            return None
        return self._owners[bucket_of(key)][1]

    def _rank_highest(self, bucket: int, agents: Collection[Address]) -> _Rank:
        """Return the agent with the highest weight for a bucket, after its weight."""
        encoded = _ENCODED_BUCKETS[bucket]
        seeds = self._seeds_by_agent
        return max(
            (xxhash.xxh3_64_intdigest(encoded, seeds[address]), address) for address in agents
        )


def _compute_seed(address: Address) -> int:
    host, port = address
    return xxhash.xxh3_64_intdigest(f"{host}:{port}".encode())
