"""Owner tables: rendezvous hashing with quotas.

Source: highest random weight hashing (Thaler and Ravishankar, 1998). Each server's quota is its
share of the buckets by largest remainder. All (bucket, server) pairs are taken in descending
order of hash, and a pair is made where the bucket is free and the quota is not full.
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
    """Owners by bucket, as positions in ``server_ids``: two bytes a bucket.

    ``epoch`` is the log index of the change that made the table.
    """

    epoch: int
    server_ids: tuple[str, ...]
    positions: array[int]

    @classmethod
    def build(cls, epoch: int, shares_by_server_id: Mapping[str, int], buckets: int) -> OwnerTable:
        """Build the table; the result depends on the arguments alone, not on their order."""
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
        """Build a table by rendezvous hashing without quotas: the baseline of measurements."""
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
        """Tell whether any server owns buckets."""
        return bool(self.server_ids)

    def owner_of(self, bucket: int) -> str | None:
        """Return the owner's server id, or None in an empty table or for no bucket of it."""
        if not 0 <= bucket < len(self.positions):
            return None
        return self.server_ids[self.positions[bucket]]

    def buckets_of(self, server_id: str) -> list[int]:
        """Return the buckets that the server owns, ascending."""
        if server_id not in self.server_ids:
            return []
        own_position = self.server_ids.index(server_id)
        return [
            bucket for bucket, position in enumerate(self.positions) if position == own_position
        ]


def _server_ids_with_share(shares_by_server_id: Mapping[str, int]) -> list[str]:
    return sorted(key for key, share in shares_by_server_id.items() if share > 0)


def compute_quotas(shares: list[int], buckets: int) -> list[int]:
    """Split ``buckets`` by largest remainder; ties go to the earlier server."""
    total = sum(shares)
    quotas = [share * buckets // total for share in shares]
    by_remainder = sorted(range(len(shares)), key=lambda i: (-(shares[i] * buckets % total), i))
    for position in by_remainder[: buckets - sum(quotas)]:
        quotas[position] += 1
    return quotas


def _pair_hashes(server_ids: list[str], buckets: int) -> NDArray[np.uint64]:
    # Most roles build no table, and numpy takes long to import on a thin instance.
    import numpy as np

    seeds = np.array(
        [xxhash.xxh3_64_intdigest(key.encode()) for key in server_ids], dtype=np.uint64
    )
    with np.errstate(over="ignore"):
        positions = (np.arange(buckets, dtype=np.uint64) + np.uint64(1)) * np.uint64(
            _SPLITMIX64_INCREMENT
        )
        hashes = positions[:, None] ^ seeds[None, :]
        hashes = (hashes ^ (hashes >> np.uint64(30))) * np.uint64(_SPLITMIX64_MULTIPLIER_1)
        hashes = (hashes ^ (hashes >> np.uint64(27))) * np.uint64(_SPLITMIX64_MULTIPLIER_2)
    result: NDArray[np.uint64] = hashes ^ (hashes >> np.uint64(31))
    return result


def _assign_buckets(hashes: NDArray[np.uint64], quotas: list[int]) -> list[int]:
    buckets, servers = hashes.shape
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
