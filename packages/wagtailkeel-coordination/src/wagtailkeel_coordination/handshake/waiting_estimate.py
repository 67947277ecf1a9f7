"""Estimates how long an opening waits at an agent for a backend server that is cold or busy.

Load pattern: a service gets more openings than its servers can handle, or all of its servers have
started anew. Openings that come later may be served first, so a queued opening waits longer than
its place in the queue suggests. An estimate without them queues openings that expire unanswered.
"""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

AVERAGING_TIME_S = 1.0
"""Rates are averaged over about this time, which is shorter than the bursts to be handled."""
MIN_SATURATED_S = 0.2
"""The capacity counts as measured once the server was saturated for this long."""
CAPACITY_LIFETIME_S = 5.0
"""A server may be faster or slower this long after it was saturated."""
MAX_STEP_S = 0.2
"""Time between two observations beyond this is left out, since the agent was suspended then."""
UNKNOWN_SERVICE_S = 1.0
"""Assumed where neither a response time nor the route's target is known."""
MIN_COUNT = 0.01
"""A priority whose averaged count of openings is below this is removed."""
NEVER = math.inf


class CapacityMeter:
    """Measures how many requests per second a server answers while all of its slots are busy."""

    def __init__(self, now: float) -> None:
        self._answers = 0.0
        self._saturated_s = 0.0
        self._is_saturated = False
        self._observed_at = now
        self._saturated_at = now

    def observe(self, now: float, *, is_saturated: bool, answers: int = 0) -> None:
        """Record the answers since the last observation, and whether all slots are busy now."""
        if self._is_saturated:
            elapsed_s = min(now - self._observed_at, MAX_STEP_S)
            decay = math.exp(-elapsed_s / AVERAGING_TIME_S)
            self._answers = self._answers * decay + answers
            self._saturated_s = self._saturated_s * decay + elapsed_s
            self._saturated_at = now
        self._is_saturated = is_saturated
        self._observed_at = now

    def per_s(self, slots: int, service_s: float, now: float) -> float | None:
        """Return the measured capacity, else that of the slots by ``service_s``; None if unknown.

        ``service_s`` is the response time in seconds of requests that found a slot free; 0 if it
        is not known.
        """
        is_recent = now - self._saturated_at < CAPACITY_LIFETIME_S
        if self._saturated_s >= MIN_SATURATED_S and is_recent:
            return self._answers / self._saturated_s
        return max(1, slots) / service_s if service_s else None


class Demand:
    """Measures how many openings per second come in time, by priority."""

    def __init__(self, now: float) -> None:
        self._counts: defaultdict[int, float] = defaultdict(float)
        self._counted_at = now

    def record(self, priority: int, now: float) -> None:
        """Count an opening that was delivered or queued."""
        self._decay(now)
        self._counts[priority] += 1.0

    def before_per_s(self, priority: int, now: float, *, is_late: bool) -> float:
        """Return the rate of future openings that are served before a queued one."""
        self._decay(now)
        count = sum(
            count
            for other, count in self._counts.items()
            if other < priority or (is_late and other == priority)
        )
        return count / AVERAGING_TIME_S

    def _decay(self, now: float) -> None:
        decay = math.exp(-(now - self._counted_at) / AVERAGING_TIME_S)
        self._counted_at = now
        for priority, count in list(self._counts.items()):
            self._counts[priority] = count * decay
            if self._counts[priority] < MIN_COUNT:
                del self._counts[priority]


class ServerRoom(msgspec.Struct, frozen=True):
    """What a server can take; times in seconds, rates per second.

    ``busy_places`` are the requests to be answered before the first queued opening is delivered.
    ``cold_room_in_s`` returns the time until a cold server takes one opening more than a number of
    others. ``capacity_per_s`` is None if it is unknown.
    """

    slots: int
    capacity_per_s: float | None
    busy_places: int
    warm_in_s: float
    cold_room_in_s: Callable[[int], float]

    def find_room_in_s(
        self, ahead: int, before_per_s: float, min_share: float, target_s: float
    ) -> float:
        """Return the time until an opening with ``ahead`` others before it is delivered.

        Of the capacity, openings that come at the rate ``before_per_s`` take their part first, but
        leave ``min_share``. As long as the capacity is unknown, a request counts as taking the
        whole ``target_s`` of its route.
        """
        places = ahead + self.busy_places
        if not places and not self.warm_in_s:
            return 0.0
        capacity_per_s = self.capacity_per_s
        if capacity_per_s is None:
            capacity_per_s = max(1, self.slots) / (target_s or UNKNOWN_SERVICE_S)
            min_share = 1.0
        left_per_s = max(capacity_per_s - before_per_s, min_share * capacity_per_s)
        warm_wait_s = (places / left_per_s if left_per_s > 0 else NEVER) if places else 0.0
        if not self.warm_in_s:
            return warm_wait_s
        return min(self.cold_room_in_s(ahead), self.warm_in_s + warm_wait_s)
