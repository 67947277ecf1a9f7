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

REPEAT_AFTER_S = 0.1
FORMER_SILENCE_S = 0.5
EXPIRES_AFTER_S = 2.0
QUEUE_LIMIT_PACKETS = 16
SEARCH_LIMIT = 20_000


class Search(msgspec.Struct):
    """One search: the agents asked, those of them that are silent, and packets that wait."""

    packet: bytes
    started_at: float
    asked_at: float
    asked: set[Address]
    silent: set[Address]
    queued: list[bytes]


class FlowSearches:
    """Searches in progress by flow key."""

    def __init__(self) -> None:
        self.by_key: dict[bytes, Search] = {}

    def begin(
        self, key: bytes, packet: bytes, asked: Iterable[Address], now: float
    ) -> list[Address]:
        """Return the agents to ask with this packet: all, those still silent, or none yet."""
        search = self.by_key.get(key)
        if search is None:
            if len(self.by_key) >= SEARCH_LIMIT:
                return []
            self.by_key[key] = Search(packet, now, now, set(asked), set(asked), [])
            return list(self.by_key[key].silent)
        if now - search.asked_at >= REPEAT_AFTER_S:
            search.asked_at = now
            return list(search.silent)
        if len(search.queued) < QUEUE_LIMIT_PACKETS:
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
        search.silent.discard(source)
        return not search.silent

    def ask_more(self, key: bytes, peers: Iterable[Address], now: float) -> list[Address]:
        """Return the agents that the search has not asked yet, and note that it asks them now."""
        search = self.by_key[key]
        fresh = [address for address in peers if address not in search.asked]
        search.asked.update(fresh)
        search.silent.update(fresh)
        search.asked_at = now
        return fresh

    def find_denied(self, former: Collection[Address], now: float) -> list[bytes]:
        """Return the keys of searches that all agents asked have denied.

        A former member that stays silent counts as dead: control has not heard it either.
        """
        return [key for key, search in self.by_key.items() if _is_denied(search, former, now)]

    def end(self, key: bytes) -> bytes:
        """Forget a search; return the packet that it was for."""
        return self.by_key.pop(key).packet

    def expire(self, now: float) -> list[tuple[bytes, int]]:
        """Forget searches that not all agents have answered; return how many were silent by key."""
        late = [k for k, s in self.by_key.items() if now - s.started_at > EXPIRES_AFTER_S]
        return [(key, len(self.by_key.pop(key).silent)) for key in late]


def _is_denied(search: Search, former: Collection[Address], now: float) -> bool:
    if not search.silent:
        return True
    if now - search.started_at < FORMER_SILENCE_S:
        return False
    return all(address in former for address in search.silent)
