"""Owner tables: rendezvous hashing with quotas.

Based on highest random weight hashing (Thaler and Ravishankar, 1998). Each server's quota is its
share of the buckets by the largest remainder method. All (bucket, server) pairs are processed in
descending order of their hash: the server becomes the owner if the bucket has none yet and the
server's quota is not used up.
"""

from __future__ import annotations

from array import array
from typing import TYPE_CHECKING

import msgspec
import xxhash

if TYPE_CHECKING:
    from collections.abc import Mapping

    import numpy as np
    from numpy.typing import NDArray

POSITION_TYPECODE = "H"
_SPLITMIX64_INCREMENT = 0x9E3779B97F4A7C15
_SPLITMIX64_MULTIPLIER_1 = 0xBF58476D1CE4E5B9
_SPLITMIX64_MULTIPLIER_2 = 0x94D049BB133111EB


class OwnerTable(msgspec.Struct):
    """Owner of each bucket, as a position in ``server_ids`` of two bytes.

    ``epoch`` is the log index of the change from which the table results.
    """

    epoch: int
    server_ids: tuple[str, ...]
    positions: array[int]

    @classmethod
    def build(cls, epoch: int, shares_by_server_id: Mapping[str, int], buckets: int) -> OwnerTable:
        """Build the table; a server whose share is 0 owns no bucket.

        The result depends on the arguments alone, not on the servers' order.
        """
        server_ids = _server_ids_with_share(shares_by_server_id)
        if not server_ids:
            return cls.empty(epoch)
        quotas = compute_quotas([shares_by_server_id[key] for key in server_ids], buckets)
        owners = _assign_buckets(_pair_hashes(server_ids, buckets), quotas)
        return cls(epoch, tuple(server_ids), array(POSITION_TYPECODE, owners))

    @classmethod
    def build_without_quotas(
        cls, epoch: int, shares_by_server_id: Mapping[str, int], buckets: int
    ) -> OwnerTable:
        """Build a table by rendezvous hashing without quotas, as the baseline of measurements."""
        server_ids = _server_ids_with_share(shares_by_server_id)
        if not server_ids:
            return cls.empty(epoch)
        owners = _pair_hashes(server_ids, buckets).argmax(axis=1).tolist()
        return cls(epoch, tuple(server_ids), array(POSITION_TYPECODE, owners))

    @classmethod
    def with_single_owner(cls, epoch: int, server_id: str, buckets: int = 1) -> OwnerTable:
        """Return a table in which one server owns all buckets."""
        return cls(epoch, (server_id,), array(POSITION_TYPECODE, [0] * buckets))

    @classmethod
    def empty(cls, epoch: int) -> OwnerTable:
        """Return a table without owners."""
        return cls(epoch, (), array(POSITION_TYPECODE))

    @property
    def has_owners(self) -> bool:
        """Return whether any server owns buckets."""
        return bool(self.server_ids)

    def owner_of(self, bucket: int) -> str | None:
        """Return the owner's server id, or None if the table has no such bucket or is empty."""
        if not 0 <= bucket < len(self.positions):
            return None
        return self.server_ids[self.positions[bucket]]

    def buckets_of(self, server_id: str) -> list[int]:
        """Return the buckets that the server owns, in ascending order."""
        if server_id not in self.server_ids:
            return []
        own_position = self.server_ids.index(server_id)
        return [
            bucket for bucket, position in enumerate(self.positions) if position == own_position
        ]


def _server_ids_with_share(shares_by_server_id: Mapping[str, int]) -> list[str]:
    return sorted(key for key, share in shares_by_server_id.items() if share > 0)


def compute_quotas(shares: list[int], buckets: int) -> list[int]:
    """Distribute ``buckets`` by largest remainder; ties go to the earlier server."""
    total = sum(shares)
    quotas = [share * buckets // total for share in shares]
    by_remainder = sorted(range(len(shares)), key=lambda i: (-(shares[i] * buckets % total), i))
    for position in by_remainder[: buckets - sum(quotas)]:
        quotas[position] += 1
    return quotas


def _pair_hashes(server_ids: list[str], buckets: int) -> NDArray[np.uint64]:
    """Return the hash of each pair, mixed as in SplitMix64; shape (buckets, servers)."""
    # Imported here since most roles build no table, and numpy is slow to import on small instances.
    import numpy as np

    server_seeds = np.array(
        [xxhash.xxh3_64_intdigest(key.encode()) for key in server_ids], dtype=np.uint64
    )
    with np.errstate(over="ignore"):
        bucket_seeds = (np.arange(buckets, dtype=np.uint64) + np.uint64(1)) * np.uint64(
            _SPLITMIX64_INCREMENT
        )
        hashes = bucket_seeds[:, None] ^ server_seeds[None, :]
        hashes = (hashes ^ (hashes >> np.uint64(30))) * np.uint64(_SPLITMIX64_MULTIPLIER_1)
        hashes = (hashes ^ (hashes >> np.uint64(27))) * np.uint64(_SPLITMIX64_MULTIPLIER_2)
    result: NDArray[np.uint64] = hashes ^ (hashes >> np.uint64(31))
    return result


def _assign_buckets(hashes: NDArray[np.uint64], quotas: list[int]) -> list[int]:
    """Return the position of each bucket's owner; ``hashes`` has the shape (buckets, servers)."""
    buckets, servers = hashes.shape
    # Inverted, since argsort sorts in ascending order; pairs of equal hashes keep their order.
    pairs_by_hash = (~hashes.ravel()).argsort(kind="stable").tolist()
    owners = [-1] * buckets
    remaining_quotas = list(quotas)
    unassigned = buckets
    for pair in pairs_by_hash:
        bucket, server = divmod(pair, servers)
        if owners[bucket] >= 0 or not remaining_quotas[server]:
            continue
        owners[bucket] = server
        remaining_quotas[server] -= 1
        unassigned -= 1
        if not unassigned:
            break
    return owners
