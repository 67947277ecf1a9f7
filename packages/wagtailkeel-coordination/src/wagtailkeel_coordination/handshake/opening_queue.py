"""Openings that wait at an agent until its backend server has room for them.

Load pattern: all servers of a service have started anew, for instance after a power failure, and
all callers return at once. Each cold server takes few openings a second, but is warm within a
second or two. Callers whose openings are refused meanwhile use up their retries before a server
has room. So an opening waits if the server will take it while the caller still waits for an answer,
and is rejected at once otherwise.

Once the servers are warm, most openings that wait are late already. Served in order of arrival,
they would make all later ones late too, so those that can still be answered in time go first.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import ValuesView

    from wagtailkeel_protocol.relay import RelayFrame

Address = tuple[str, int]


class QueuedOpening(msgspec.Struct):
    """An opening that waits; ``owner`` is the agent that placed it here, ``priority`` its route's.

    Delivered by ``late_from``, its first request can be answered within the route's target. From
    ``expires_at`` on, its caller no longer waits for an answer. ``target_s`` and ``timeout_s`` are
    its route's, 0 if it has none. ``data_centre`` is that of the owner and of the caller, empty if
    it is not known. Times are in seconds.
    """

    frame: RelayFrame
    key: bytes
    owner: Address
    priority: int
    late_from: float
    expires_at: float
    target_s: float = 0.0
    timeout_s: float = 0.0
    data_centre: str = ""

    def is_late(self, now: float) -> bool:
        """Return whether its first request can't be answered within the route's target any more."""
        return self.late_from < now


class OpeningQueue:
    """Queued openings by flow key, in order of arrival.

    ``max_wait_s`` is the longest time that an opening may wait from its first transmission on; 0
    disables the queue.
    """

    def __init__(self, max_wait_s: float) -> None:
        self.max_wait_s = max_wait_s
        self._by_key: dict[bytes, QueuedOpening] = {}

    def __len__(self) -> int:
        return len(self._by_key)

    def __contains__(self, key: bytes) -> bool:
        return key in self._by_key

    @property
    def openings(self) -> ValuesView[QueuedOpening]:
        """The queued openings in order of arrival."""
        return self._by_key.values()

    def add(self, opening: QueuedOpening) -> None:
        """Add an opening."""
        self._by_key[opening.key] = opening

    def remove(self, opening: QueuedOpening) -> None:
        """Remove an opening that is delivered or returned."""
        del self._by_key[opening.key]

    def find_next(self, now: float) -> QueuedOpening | None:
        """Return the opening to deliver next, or None if none waits.

        The lowest priority number goes first. Of equal ones, those that can be answered in time go
        before late ones, else the oldest first. ``ServingOrder`` replaces this order with the
        option ``queue_when_busy``.
        """
        openings = self._by_key.values()
        return min(openings, key=lambda o: (o.priority, o.is_late(now)), default=None)

    def pop_expired(self, now: float) -> list[QueuedOpening]:
        """Remove and return the openings whose callers no longer wait."""
        expired = [opening for opening in self._by_key.values() if opening.expires_at <= now]
        for opening in expired:
            self.remove(opening)
        return expired


def estimate_warm_wait_s(position: int, service_s: float, slots: int) -> float:
    """Return when a warm server without other work has room for the opening at a position.

    ``service_s`` is the time in seconds that the server takes for a request.
    """
    return service_s * position / max(1, slots)
