"""Decides which openings wait at an agent for its busy or cold server, and which are returned.

Load pattern: for some seconds, a service gets more openings than its servers can handle at once.
Callers whose openings are refused at once use up their retries within a fraction of a second. So
openings wait as long as they will be answered in time by the estimate, or late if the server has
capacity left. Openings for which the estimate no longer holds are returned to their owners, which
still have time to place them elsewhere.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from wagtailkeel_coordination.handshake.queue_limit import MAX_WAIT_FRACTION
from wagtailkeel_coordination.handshake.serving_order import RESERVED_SHARE
from wagtailkeel_coordination.handshake.serving_order import ServingOrder
from wagtailkeel_coordination.handshake.serving_order import count_ahead
from wagtailkeel_coordination.handshake.serving_order import sort_by_turn
from wagtailkeel_coordination.handshake.waiting_estimate import NEVER
from wagtailkeel_coordination.handshake.waiting_estimate import CapacityMeter
from wagtailkeel_coordination.handshake.waiting_estimate import Demand
from wagtailkeel_coordination.handshake.waiting_estimate import ServerRoom

if TYPE_CHECKING:
    from wagtailkeel_coordination.handshake.held_flows import HeldFlows
    from wagtailkeel_coordination.handshake.opening_queue import OpeningQueue
    from wagtailkeel_coordination.handshake.opening_queue import QueuedOpening
    from wagtailkeel_coordination.handshake.server_gate import ServerGate

MAX_QUEUED_OPENINGS = 256
"""Bounds the work of each decision; a server answers fewer requests within a wait limit."""
ANSWER_MARGIN = 2.5
"""An answer may take this many times the mean service time: most do, also on the slower servers."""
COLD_SERVICE_FACTOR = 1.5
"""A response time measured while the server is cold counts as this many times the warm one."""
RECENT_S = 5.0
"""Loads are reported for openings of the priorities that came within this time."""
HANDSHAKE_S = 0.02
"""An opening is delivered this long before a slot is free, since its caller has to answer first."""


class RoomForecast(NamedTuple):
    """What an agent reports to owners about the next opening, by the last ones.

    ``has_room``: an opening of the lowest recent priority would hardly wait. ``wait_s`` is its
    wait, or that of the highest recent priority if it would not be served; None if that would not
    be served either.
    """

    has_room: bool
    wait_s: float | None


class _LastOpening(NamedTuple):
    """The last opening of a priority that was delivered or queued, and when it was."""

    opening: QueuedOpening
    came_at: float


class QueueAdmission:
    """Estimates the wait of openings in a queue by its serving order; times are in seconds."""

    def __init__(self, queue: OpeningQueue, gate: ServerGate, held: HeldFlows, now: float) -> None:
        self.order = ServingOrder()
        self._queue = queue
        self._gate = gate
        self._held = held
        self._demand = Demand(now)
        self._capacity = CapacityMeter(now)
        self._is_measured_cold = True
        self._last_by_priority: dict[int, _LastOpening] = {}

    # Measurements

    def observe(self, now: float, answers: int = 0) -> None:
        """Record the answers of the server since the last call, and whether it is saturated."""
        is_saturated = self._held.in_flight >= self._held.slots
        self._capacity.observe(now, is_saturated=is_saturated, answers=answers)

    def on_server_restart(self, now: float) -> None:
        """Forget the capacity of the server's earlier incarnation."""
        self._capacity = CapacityMeter(now)
        self._is_measured_cold = True

    def record_demand(self, opening: QueuedOpening, now: float) -> None:
        """Count an opening that is delivered at once or queued."""
        self._last_by_priority[opening.priority] = _LastOpening(opening, now)
        if not opening.is_late(now) and not self._gate.is_cold(now):
            self._demand.record(opening.priority, now)

    # Decisions

    def set_times(self, opening: QueuedOpening, waited_s: float, now: float) -> None:
        """Set until when an opening that has waited for ``waited_s`` may be delivered."""
        first_at = now - waited_s
        answer_s = ANSWER_MARGIN * self._warm_service_s(now) + HANDSHAKE_S
        opening.late_from = NEVER
        if opening.target_s:
            # At least the wait that the queue limit allows counts as in time.
            longest_s = (1.0 - MAX_WAIT_FRACTION) * opening.target_s
            opening.late_from = first_at + opening.target_s - min(answer_s, longest_s)
        opening.expires_at = first_at + self._queue.max_wait_s
        if opening.timeout_s:
            answered_by = first_at + opening.timeout_s - answer_s
            opening.expires_at = min(opening.expires_at, answered_by)

    def has_room(self, now: float) -> bool:
        """Return whether the server would soon start on a request, ahead of its own queue."""
        return not self._count_busy_places(now)

    def wait_s(self, newcomer: QueuedOpening, now: float) -> float:
        """Return how long an opening would wait; infinite if it would not be served at all."""
        room = self._describe_room(now)
        if not newcomer.is_late(now):
            wait_s = self._forecast_s(newcomer, room, now, is_late=False)
            if now + wait_s <= newcomer.late_from:
                return wait_s
        return self._forecast_s(newcomer, room, now, is_late=True)

    def find_wait_s(self, newcomer: QueuedOpening, limit_s: float, now: float) -> float | None:
        """Return the wait of an opening to be queued; None if it would be too long."""
        wait_s = self.wait_s(newcomer, now)
        is_served = wait_s <= limit_s and self._is_served(newcomer, wait_s, now)
        return wait_s if is_served else None

    def _is_served(self, newcomer: QueuedOpening, wait_s: float, now: float) -> bool:
        has_place = len(self._queue) < MAX_QUEUED_OPENINGS
        return has_place and now + wait_s <= newcomer.expires_at

    def forecast(self, now: float) -> RoomForecast:
        """Return whether the agent has room for the openings that it may expect, and their wait."""
        max_wait_s = self._queue.max_wait_s
        recent = [
            priority
            for priority, last in self._last_by_priority.items()
            if now - last.came_at < RECENT_S
        ]
        if not recent:
            return RoomForecast(self.has_room(now), 0.0)
        lowest, highest = max(recent), min(recent)
        for priority in dict.fromkeys((lowest, highest)):
            newcomer = self._expect(priority, now)
            wait_s = self.wait_s(newcomer, now)
            if self._is_served(newcomer, wait_s, now):
                is_short = wait_s <= short_wait_s(newcomer, max_wait_s)
                return RoomForecast(priority == lowest and is_short, wait_s)
        return RoomForecast(False, None)

    def find_unservable(self, now: float) -> list[QueuedOpening]:
        """Return the queued openings that will not be delivered before they expire.

        Openings still to come are not counted, so that only those are returned that certainly
        expire by the estimate: placing a returned opening again costs its owner messages.
        """
        room = self._describe_room(now)
        unservable = []
        ahead = 0
        for opening in sort_by_turn(self._queue.openings, now):
            wait_s = room.find_room_in_s(ahead, 0.0, 1.0, opening.target_s)
            if now + wait_s > opening.expires_at:
                unservable.append(opening)
            else:
                ahead += 1
        return unservable

    # Estimates

    def _forecast_s(
        self, newcomer: QueuedOpening, room: ServerRoom, now: float, *, is_late: bool
    ) -> float:
        openings = self._queue.openings
        ahead = count_ahead(openings, newcomer, now, is_late=is_late) if openings else 0
        before_per_s = self._demand.before_per_s(newcomer.priority, now, is_late=is_late)
        min_share = 0.0 if is_late else RESERVED_SHARE
        return room.find_room_in_s(ahead, before_per_s, min_share, newcomer.target_s)

    def _describe_room(self, now: float) -> ServerRoom:
        slots = self._held.slots
        return ServerRoom(
            slots,
            self._capacity.per_s(slots, self._warm_service_s(now), now),
            self._count_busy_places(now),
            self._gate.warm_in_s(now),
            lambda position: self._gate.cold_room_in_s(position, now),
        )

    def _warm_service_s(self, now: float) -> float:
        """Return the service time that is expected once the server is warm; 0 if unknown."""
        self._is_measured_cold = self._is_measured_cold and self._gate.is_cold(now)
        return self._held.service_s / (COLD_SERVICE_FACTOR if self._is_measured_cold else 1.0)

    def _count_busy_places(self, now: float) -> int:
        """Return how many requests have to be answered before the next opening is delivered."""
        slots, service_s = max(1, self._held.slots), self._held.service_s
        handshakes = int(HANDSHAKE_S * slots / service_s) if service_s else 0
        limit = slots + max(1, handshakes)
        return max(0, self._held.count_expected_requests(now) + 1 - limit)

    def _expect(self, priority: int, now: float) -> QueuedOpening:
        """Return an opening like the last one of a priority, as if it came now."""
        expected = msgspec.structs.replace(self._last_by_priority[priority].opening)
        self.set_times(expected, 0.0, now)
        return expected


def short_wait_s(opening: QueuedOpening, max_wait_s: float) -> float:
    """Return how long an opening may wait if its owner gave no wait limit.

    The owner tries other servers before it asks for a longer wait.
    """
    return MAX_WAIT_FRACTION * opening.target_s or max_wait_s
