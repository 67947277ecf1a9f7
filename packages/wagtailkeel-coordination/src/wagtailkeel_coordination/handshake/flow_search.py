"""Searches for flows whose server the directory owner does not know.

An owner that has just taken a bucket over, or has restarted, asks every agent. The one that has
the flow delivers the packet and answers; the others answer that they do not have it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

Address = tuple[str, int]

RETRY_INTERVAL_S = 0.1
FORMER_MEMBER_TIMEOUT_S = 0.5
SEARCH_TIMEOUT_S = 2.0
MAX_QUEUED_PACKETS = 16
MAX_SEARCHES = 20_000


class Search(msgspec.Struct):
    """One search: the agents asked, those of them that are silent, and packets that wait."""

    packet: bytes
    started_at: float
    queried_at: float
    queried: set[Address]
    pending: set[Address]
    queued: list[bytes]


class FlowSearches:
    """Searches in progress by flow key."""

    def __init__(self) -> None:
        self.by_key: dict[bytes, Search] = {}

    def begin(
        self, key: bytes, packet: bytes, queried: Iterable[Address], now: float
    ) -> list[Address]:
        """Return the agents to ask with this packet: all, those still silent, or none yet."""
        search = self.by_key.get(key)
        if search is None:
            if len(self.by_key) >= MAX_SEARCHES:
                return []
            self.by_key[key] = Search(packet, now, now, set(queried), set(queried), [])
            return list(self.by_key[key].pending)
        if now - search.queried_at >= RETRY_INTERVAL_S:
            search.queried_at = now
            return list(search.pending)
        if len(search.queued) < MAX_QUEUED_PACKETS:
            search.queued.append(packet)
        return []

    def on_found(self, key: bytes) -> list[bytes]:
        """End a search; return the packets that have waited for it."""
        search = self.by_key.pop(key, None)
        return search.queued if search else []

    def on_not_found(self, key: bytes, source: Address) -> bool:
        """Note a "no"; return whether it was the last answer missing."""
        search = self.by_key.get(key)
        if search is None:
            return False
        search.pending.discard(source)
        return not search.pending

    def query_more(self, key: bytes, peers: Iterable[Address], now: float) -> list[Address]:
        """Return the agents that the search has not asked yet, and note that it asks them now."""
        search = self.by_key[key]
        unqueried = [address for address in peers if address not in search.queried]
        search.queried.update(unqueried)
        search.pending.update(unqueried)
        search.queried_at = now
        return unqueried

    def find_exhausted(self, former_members: Collection[Address], now: float) -> list[bytes]:
        """Return the keys of searches that all agents asked have denied.

        A former member that stays silent counts as dead: control has not heard it either.
        """
        return [
            key for key, search in self.by_key.items() if _is_exhausted(search, former_members, now)
        ]

    def end(self, key: bytes) -> bytes:
        """Forget a search; return the packet that it was for."""
        return self.by_key.pop(key).packet

    def expire(self, now: float) -> list[tuple[bytes, int]]:
        """Forget searches that not all agents have answered; return how many were silent by key."""
        late = [k for k, s in self.by_key.items() if now - s.started_at > SEARCH_TIMEOUT_S]
        return [(key, len(self.by_key.pop(key).pending)) for key in late]


def _is_exhausted(search: Search, former_members: Collection[Address], now: float) -> bool:
    if not search.pending:
        return True
    if now - search.started_at < FORMER_MEMBER_TIMEOUT_S:
        return False
    return all(address in former_members for address in search.pending)
