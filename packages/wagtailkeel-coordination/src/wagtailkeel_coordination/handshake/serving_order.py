"""The order in which the openings that wait at an agent are delivered.

Load patterns: one class of requests comes ten times as often as usual, or one data centre's callers
send ten times as much. Served in order of arrival, they would take most of a server's capacity.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from wagtailkeel_coordination.handshake.opening_queue import QueuedOpening

RESERVED_INTERVAL = 8
"""While openings of higher priority wait, one of this many deliveries goes to a lower one."""
RESERVED_SHARE = 1 / RESERVED_INTERVAL
"""The share of a server's capacity that each lower priority gets while higher ones wait too."""


class ServingOrder:
    """Chooses the opening to deliver next, and records whose turn it was.

    The lowest priority number goes first, except for the reserved turns of higher numbers. Of equal
    ones, those that can be answered in time go before late ones. Of these, the callers' data
    centres take turns, and each sends its oldest first. All openings cost the same, so taking turns
    is deficit round robin.
    """

    def __init__(self) -> None:
        self._turns = 0
        self._last_turn_by_group: dict[tuple[int, str], int] = {}
        self._passed_by_priority: Counter[int] = Counter()

    def find_next(self, openings: Collection[QueuedOpening], now: float) -> QueuedOpening | None:
        """Return the opening to deliver next, or None if none waits."""
        if not openings:
            return None
        priority = self._next_priority(openings, now)
        return min(
            (o for o in openings if o.priority == priority),
            key=lambda o: (o.is_late(now), self._last_turn(o), o.expires_at),
        )

    def _next_priority(self, openings: Iterable[QueuedOpening], now: float) -> int:
        """Return the priority whose turn it is; only openings in time have reserved turns."""
        in_time = {o.priority for o in openings if not o.is_late(now)}
        reserved = [p for p in in_time if self._passed_by_priority[p] >= RESERVED_INTERVAL - 1]
        return min(reserved) if reserved else min(o.priority for o in openings)

    def _last_turn(self, opening: QueuedOpening) -> int:
        return self._last_turn_by_group.get((opening.priority, opening.data_centre), 0)

    def record_delivery(self, opening: QueuedOpening, waiting: Collection[QueuedOpening]) -> None:
        """Record the turn of an opening, which leaves the others ``waiting``."""
        self._turns += 1
        self._last_turn_by_group[opening.priority, opening.data_centre] = self._turns
        self._passed_by_priority[opening.priority] = 0
        for priority in {o.priority for o in waiting if o.priority > opening.priority}:
            self._passed_by_priority[priority] += 1


def sort_by_turn(openings: Iterable[QueuedOpening], now: float) -> list[QueuedOpening]:
    """Return openings in the order in which they are delivered without reserved turns."""
    rounds: Counter[tuple[int, bool, str]] = Counter()
    keys: list[tuple[int, bool, int, float, QueuedOpening]] = []
    for opening in sorted(openings, key=lambda o: o.expires_at):
        is_late = opening.is_late(now)
        group = (opening.priority, is_late, opening.data_centre)
        keys.append((opening.priority, is_late, rounds[group], opening.expires_at, opening))
        rounds[group] += 1
    return [key[-1] for key in sorted(keys, key=lambda key: key[:-1])]


def count_ahead(
    openings: Iterable[QueuedOpening], newcomer: QueuedOpening, now: float, *, is_late: bool
) -> int:
    """Return how many openings are delivered before one that comes last to its data centre."""
    ahead = 0
    rounds: Counter[str] = Counter()
    for opening in openings:
        rank = (opening.priority, opening.is_late(now))
        ahead += rank < (newcomer.priority, is_late)
        rounds[opening.data_centre] += rank == (newcomer.priority, is_late)
    own = rounds.pop(newcomer.data_centre, 0)
    return ahead + own + sum(min(count, own + 1) for count in rounds.values())
