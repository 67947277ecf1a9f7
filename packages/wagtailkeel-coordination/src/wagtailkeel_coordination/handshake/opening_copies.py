"""Records which copies of an opening an owner has received.

Load pattern: data centres return after a power failure, and the owners of flows change while their
openings wait for cold servers. A copy of a waiting opening may reach another owner, which places
it. So an owner may refuse an opening only if it has received each copy of it, and the next one is
not due yet.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Collection

Address = tuple[str, int]

MIN_COPY_DELAY_S = 0.2
"""A caller sends a copy of its opening no earlier than this after the previous one."""
RETENTION_S = 5.0
"""A caller sends copies of an opening for no longer than this."""
SWEEP_INTERVAL_S = 1.0


class _Copies(msgspec.Struct):
    """The copies of an opening received, in order from the first; ``is_complete`` if none misses.

    ``numbers_by_agent`` has the agents that have got copies, and the first one that each has not
    returned. All copies of an opening have the same ``initial_sequence``. Times are in seconds.
    """

    initial_sequence: int
    first_at: float
    last_at: float
    count: int
    is_complete: bool
    numbers_by_agent: dict[Address, int]


class OpeningCopies:
    """The copies of recent openings, by flow key."""

    def __init__(self) -> None:
        self._by_key: dict[bytes, _Copies] = {}
        self._swept_at = float("-inf")

    def record(self, key: bytes, initial_sequence: int, number: int, now: float) -> None:
        """Record a copy of an opening; the first transmission has number 0."""
        copies = self._by_key.get(key)
        is_known = copies is not None and copies.initial_sequence == initial_sequence
        if copies is None or not is_known or number == 0:
            sent = copies.numbers_by_agent if copies is not None and is_known else {}
            self._by_key[key] = _Copies(initial_sequence, now, now, number + 1, number == 0, sent)
            return
        copies.is_complete = copies.is_complete and number <= copies.count
        copies.count = max(copies.count, number + 1)
        copies.last_at = now

    def are_all_here(self, key: bytes, now: float) -> bool:
        """Return whether no copy of an opening can have reached another owner."""
        copies = self._by_key.get(key)
        if copies is None or not copies.is_complete:
            return False
        return now - copies.last_at < MIN_COPY_DELAY_S

    def record_sent(self, key: bytes, number: int, agent: Address) -> None:
        """Record that an agent has got a copy of an opening, for its server."""
        copies = self._by_key.get(key)
        if copies is not None:
            copies.numbers_by_agent.setdefault(agent, number)

    def record_returned(self, key: bytes, number: int, agent: Address) -> None:
        """Record that an agent has returned a copy, which its server has not got.

        It has dropped later copies, which it got while that one waited there.
        """
        copies = self._by_key.get(key)
        if copies is not None and copies.numbers_by_agent.get(agent) == number:
            del copies.numbers_by_agent[agent]

    def is_any_sent(self, key: bytes, agents: Collection[Address]) -> bool:
        """Return whether a server may have got a copy of an opening, and opened its flow.

        Agents that are not among ``agents`` have left together with their servers.
        """
        copies = self._by_key.get(key)
        return copies is not None and not copies.numbers_by_agent.keys().isdisjoint(agents)

    def first_received_at(self, key: bytes, now: float) -> float:
        """Return when the first copy of an opening was received; ``now`` if that is not known."""
        copies = self._by_key.get(key)
        return copies.first_at if copies is not None else now

    def sweep(self, now: float) -> None:
        """Remove the records of openings of which no copy is sent any more."""
        if now - self._swept_at < SWEEP_INTERVAL_S:
            return
        self._swept_at = now
        for key in [k for k, c in self._by_key.items() if now - c.last_at > RETENTION_S]:
            del self._by_key[key]
