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

from wagtailkeel_protocol import relay

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping
    from random import Random

    from wagtailkeel_coordination.handshake.member import Member

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
    """Draws samples from the agents of a service; the cost does not depend on their number."""

    def __init__(self, data_centre: str, size: SampleSize, random: Random) -> None:
        self._data_centre = data_centre
        self._size = size
        self._random = random
        self._local_by_tag: dict[int, list[Address]] = {}
        self._remote_by_tag: dict[int, list[Address]] = {}

    def set_members(self, members: Mapping[Address, Member]) -> None:
        """Set the agents to draw from."""
        self._local_by_tag = {}
        self._remote_by_tag = {}
        for address, member in members.items():
            is_local = member.data_centre == self._data_centre
            by_tag = self._local_by_tag if is_local else self._remote_by_tag
            by_tag.setdefault(relay.service_tag(member.service), []).append(address)

    def members_of(self, tag: int) -> list[Address]:
        """Return all agents of a service."""
        return self._local_by_tag.get(tag, []) + self._remote_by_tag.get(tag, [])

    def draw(
        self, tag: int, known: Collection[Address], unresponsive: Collection[Address]
    ) -> list[Address]:
        """Return agents that are not in ``known``; none if all are or the limit is reached.

        ``tag`` identifies the service. Each further sample of an opening doubles the number of
        known agents. An unresponsive agent is drawn only if no other is left.
        """
        sample = self._draw_from(tag, len(known), {*known, *unresponsive})
        if not sample:
            sample = self._draw_from(tag, len(known), set(known))
        return sample[: max(0, self._size.limit - len(known))]

    def _draw_from(self, tag: int, known_count: int, excluded: set[Address]) -> list[Address]:
        factor = max(1, known_count // (self._size.local + self._size.remote))
        local = self._pick(self._local_by_tag.get(tag, []), self._size.local * factor, excluded)
        remote = self._pick(self._remote_by_tag.get(tag, []), self._size.remote * factor, excluded)
        return local + remote

    def _pick(self, addresses: list[Address], count: int, excluded: set[Address]) -> list[Address]:
        """Return ``count`` random addresses that are not excluded, or all of them if fewer."""
        picked = self._random.sample(addresses, min(len(addresses), count + len(excluded)))
        return [address for address in picked if address not in excluded][:count]


def may_place_without(pending_count: int, sampled_count: int) -> bool:
    """Return whether enough of a sample has answered to place an opening.

    A third may be missing, so that a slow agent, or one that has just died, delays no opening.
    """
    return pending_count * 3 <= sampled_count
