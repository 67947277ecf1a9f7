"""Selects the agents whose load an owner requests before it places an opening.

Load pattern: many owners, each of which places few openings, and many servers. Were every agent to
report its load to every owner, the cost of a node would grow with the number of nodes, and owners
with equal reports would all choose the same server. So an owner requests the load of a few random
agents for each opening. Only if none of them accepts it, the owner asks more.

Sources: the power of two choices (Mitzenmacher, 2001) and load probes in Prequal (Wydrowski et
al., NSDI 2024).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping
    from random import Random

Address = tuple[str, int]


class SampleSize(msgspec.Struct, frozen=True):
    """The number of agents whose load is requested for one opening.

    In the first sample, ``local`` agents are in the owner's data centre and ``remote`` ones in
    others. ``limit`` bounds all samples of one opening, which no server may accept.
    """

    local: int = 5
    remote: int = 3
    limit: int = 40


DEFAULT_SAMPLE_SIZE = SampleSize()


class LoadSampler:
    """Draws samples from the agents of one service."""

    def __init__(self, data_centre: str, size: SampleSize, random: Random) -> None:
        self._data_centre = data_centre
        self._size = size
        self._random = random

    def draw(
        self,
        data_centres_by_member: Mapping[Address, str],
        known: Collection[Address],
        unresponsive: Collection[Address],
    ) -> list[Address]:
        """Return agents that are not in ``known``; none if all are or the limit is reached.

        Each further sample of an opening doubles the number of known agents. An unresponsive agent
        is drawn only if no other is left.
        """
        remaining = [a for a in data_centres_by_member if a not in known]
        responsive = [address for address in remaining if address not in unresponsive]
        pool = responsive or remaining
        local = [a for a in pool if data_centres_by_member[a] == self._data_centre]
        remote = [a for a in pool if data_centres_by_member[a] != self._data_centre]
        factor = self._growth_factor(len(known))
        sample = self._pick(local, self._size.local * factor)
        sample += self._pick(remote, self._size.remote * factor)
        return sample[: max(0, self._size.limit - len(known))]

    def _growth_factor(self, known_count: int) -> int:
        return max(1, known_count // (self._size.local + self._size.remote))

    def _pick(self, addresses: list[Address], count: int) -> list[Address]:
        return self._random.sample(addresses, min(count, len(addresses)))


def may_place_without(pending_count: int, sampled_count: int) -> bool:
    """Return whether enough of a sample has answered to place an opening.

    A third may be missing, so that a slow agent, or one that has just died, delays no opening.
    """
    return pending_count * 3 <= sampled_count
