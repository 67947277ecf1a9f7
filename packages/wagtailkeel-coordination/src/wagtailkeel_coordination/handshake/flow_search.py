"""Searches for flows whose server the directory owner does not know.

An owner that has just taken over a bucket, or has restarted, first asks the agent that has a copy
of the entry. If that agent does not know the flow either, the searcher of the data centre queries
every agent about it, and about the flows of other owners. Without a searcher, the owner sends the
packet to every agent: the one that has the flow delivers the packet and confirms it; the others
answer that they do not have it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_coordination.handshake.search_batches import SEARCHER_TIMEOUT_S

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

Address = tuple[str, int]

LOCATION_TIMEOUT_S = 0.05
RETRY_INTERVAL_S = 0.1
SEARCH_TIMEOUT_S = 2.0
MAX_QUEUED_PACKETS = 16
MAX_SEARCHES = 20_000


class Search(msgspec.Struct):
    """A search: the agents queried, those with an answer pending, and the queued packets.

    ``queried_at`` is when agents were last queried. While ``is_locating``, the agent that has a
    copy of the entry was asked, or from ``delegated_at`` on the searcher, and the packets, the
    first one included, have not been sent to any agent.
    """

    packet: bytes
    started_at: float
    queried_at: float
    queried: set[Address]
    pending: set[Address]
    queued: list[bytes]
    is_locating: bool = False
    delegated_at: float | None = None


class FlowSearches:
    """Searches in progress by flow key."""

    def __init__(self) -> None:
        self.by_key: dict[bytes, Search] = {}

    def locate(self, key: bytes, packet: bytes, now: float) -> bool:
        """Start a search in which only one agent is asked; return False if there are too many."""
        if len(self.by_key) >= MAX_SEARCHES:
            return False
        self.by_key[key] = Search(packet, now, now, set(), set(), [], is_locating=True)
        return True

    def is_locating(self, key: bytes) -> bool:
        """Return whether a search has not queried all agents yet."""
        search = self.by_key.get(key)
        return search is not None and search.is_locating

    def is_awaiting_location(self, key: bytes) -> bool:
        """Return whether a search has not been passed on from the location request yet."""
        return self.is_locating(key) and self.by_key[key].delegated_at is None

    def find_unlocated(self, now: float) -> list[bytes]:
        """Return the keys of searches whose location request was not answered in time."""
        return [
            key
            for key, search in self.by_key.items()
            if search.is_locating
            and search.delegated_at is None
            and now - search.started_at >= LOCATION_TIMEOUT_S
        ]

    def delegate(self, key: bytes, now: float) -> None:
        """Record that the searcher was asked for a flow."""
        self.by_key[key].delegated_at = now

    def find_unanswered(self, now: float) -> list[bytes]:
        """Return the keys of searches that the searcher has not answered in time."""
        return [
            key
            for key, search in self.by_key.items()
            if search.is_locating
            and search.delegated_at is not None
            and now - search.delegated_at >= SEARCHER_TIMEOUT_S
        ]

    def on_denied(self, key: bytes, agents: Iterable[Address]) -> None:
        """Record the agents that have denied a flow to the searcher."""
        self.by_key[key].queried.update(agents)

    def begin(
        self, key: bytes, packet: bytes, agents: Iterable[Address], now: float
    ) -> list[Address]:
        """Start or continue a search; return the agents to send this packet to.

        The first packet starts the search and goes to all of ``agents``, which later calls ignore.
        After that, one packet per RETRY_INTERVAL_S goes to the agents with an answer pending, and
        all other packets are queued until the flow is found. Packets are dropped when MAX_SEARCHES
        or MAX_QUEUED_PACKETS is reached. The list is empty if the packet was queued or dropped, or
        if there is no agent to query.
        """
        search = self.by_key.get(key)
        if search is None:
            if len(self.by_key) >= MAX_SEARCHES:
                return []
            self.by_key[key] = Search(packet, now, now, set(agents), set(agents), [])
            return list(self.by_key[key].pending)
        if not search.is_locating and now - search.queried_at >= RETRY_INTERVAL_S:
            search.queried_at = now
            return list(search.pending)
        if len(search.queued) < MAX_QUEUED_PACKETS:
            search.queued.append(packet)
        return []

    def on_found(self, key: bytes) -> list[bytes]:
        """End a search; return its packets that were not sent to any agent."""
        search = self.by_key.pop(key, None)
        if search is None:
            return []
        return [search.packet, *search.queued] if search.is_locating else search.queued

    def on_not_found(self, key: bytes, source: Address) -> bool:
        """Record that an agent does not have the flow; return whether no answer is pending now."""
        search = self.by_key.get(key)
        if search is None or search.is_locating:
            return False
        search.pending.discard(source)
        return not search.pending

    def query_more(self, key: bytes, peers: Iterable[Address], now: float) -> list[Address]:
        """Return the agents that the search has not queried yet, and record them as queried."""
        search = self.by_key[key]
        search.is_locating = False
        unqueried = [address for address in peers if address not in search.queried]
        search.queried.update(unqueried)
        search.pending.update(unqueried)
        search.queried_at = now
        return unqueried

    def find_exhausted(self, agents: Collection[Address]) -> list[bytes]:
        """Return the keys of searches that all queried agents have denied.

        A queried agent that is not among ``agents`` any more has left together with its server.
        """
        return [
            key
            for key, search in self.by_key.items()
            if not search.is_locating and search.pending.isdisjoint(agents)
        ]

    def end(self, key: bytes) -> None:
        """Remove a search that all queried agents have denied."""
        del self.by_key[key]

    def expire(self, now: float) -> list[tuple[bytes, set[Address]]]:
        """Remove searches that timed out; return their keys and the agents that did not answer."""
        late = [k for k, s in self.by_key.items() if now - s.started_at > SEARCH_TIMEOUT_S]
        return [(key, self.by_key.pop(key).pending) for key in late]
