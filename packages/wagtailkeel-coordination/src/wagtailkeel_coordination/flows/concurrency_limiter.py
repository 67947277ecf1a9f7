"""Adaptive concurrency limit of one server, from its response times.

Source: additive increase, multiplicative decrease (Chiu and Jain, 1989), with a slow start from
one request whenever the server is cold. A server is cold when its agent starts, after a step up
of its response times, and after it has stopped answering. The limit grows only after answers at
the previous limit, so a cold server never receives a burst.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination.flows.service_times import ServiceTimes
from wagtailkeel_state.target import TargetKind

if TYPE_CHECKING:
    from wagtailkeel_state.target import Target

INITIAL_LIMIT = 1.0
DECREASE_FACTOR = 0.8
DECREASE_INTERVAL_S = 0.2
QUEUE_FACTOR = 4
CAPACITY_PERIOD_S = 1_000
MIN_RESPONSE_S = 0.001


class ConcurrencyLimiter:
    """Limits the unanswered requests of one server; ``slots`` is its announced parallelism."""

    def __init__(self, slots: int) -> None:
        self.limit = INITIAL_LIMIT
        self.in_flight = 0
        self.is_cold = True
        self.cold_events = 0
        self._slots = slots
        self._max_limit = float(slots * QUEUE_FACTOR)
        self._decreased_at = float("-inf")
        self._times = ServiceTimes()
        self._answers_at_limit = 0

    @property
    def headroom(self) -> int:
        """How many more requests may start now."""
        return int(self.limit) - self.in_flight

    @property
    def capacity(self) -> int:
        """Estimated requests per 1,000 s with all slots busy; 0 until there are enough answers."""
        service_s = self._times.mean_service_s
        if service_s <= 0.0:
            return 0
        return round(self._slots * CAPACITY_PERIOD_S / service_s)

    @property
    def times(self) -> ServiceTimes:
        """Recorded response times, for diagnostic dumps."""
        return self._times

    def allows_start(self) -> bool:
        """Return whether a new flow may start."""
        return self.in_flight < int(self.limit)

    def on_start(self) -> None:
        """Count a new request, which awaits its answer."""
        self.in_flight += 1

    def on_abandon(self) -> None:
        """Stop counting a request that no answer is expected for any more."""
        self.in_flight = max(0, self.in_flight - 1)

    def on_answer(
        self, class_name: str, response_s: float, target: Target, was_queued: bool, now: float
    ) -> None:
        """Adapt the limit to one answer.

        With ``was_queued``, the request arrived when all slots were busy, so its response time
        includes queueing and is not recorded as a service time. It lowers the limit all the same
        if it is too long.
        """
        self.in_flight = max(0, self.in_flight - 1)
        response_s = max(response_s, MIN_RESPONSE_S)
        if not was_queued:
            self._record_response_time(class_name, response_s, target, now)
        if response_s > self._acceptable_response_s(class_name, target):
            self._decrease(now)
            return
        # Answers on held flows cost the server little and say little about its speed: alone, they
        # raise the limit, which is low on a cold server, only up to the number of slots.
        if target.kind is TargetKind.RESPONSE_TIME or self.limit < self._slots:
            self._increase()

    def on_round_trip(self, round_trip_s: float) -> None:
        """Record the round-trip time of a packet that the server answers without processing."""
        self._times.add_round_trip(round_trip_s)

    def _record_response_time(
        self, class_name: str, response_s: float, target: Target, now: float
    ) -> None:
        # Held flows cost their server little; their response times say nothing about its speed.
        has_work = target.kind is TargetKind.RESPONSE_TIME
        is_step = self._times.add_response(class_name, response_s, self.is_cold, has_work, now)
        if is_step and not self.is_cold:
            self._mark_cold()
        elif self.limit >= self._slots and self._times.is_near_baseline(class_name, response_s):
            self.is_cold = False

    def restart(self) -> None:
        """Restart slow start as for a cold server; recorded response times are kept."""
        self.is_cold = True
        self.limit = INITIAL_LIMIT
        self._answers_at_limit = 0
        self._times.reset_slow_streaks()

    def on_unresponsive(self) -> None:
        """Restart slow start for a server that has stopped answering, unless it is cold already."""
        if not self.is_cold:
            self._mark_cold()

    def _increase(self) -> None:
        self._answers_at_limit += 1
        if self._answers_at_limit < int(self.limit):
            return
        self._answers_at_limit = 0
        self.limit = min(self._max_limit, self.limit + 1.0)

    def _decrease(self, now: float) -> None:
        if now - self._decreased_at < DECREASE_INTERVAL_S:
            return
        self._decreased_at = now
        self.limit = max(INITIAL_LIMIT, self.limit * DECREASE_FACTOR)

    def _acceptable_response_s(self, class_name: str, target: Target) -> float:
        max_response_s = self._times.baseline_s(class_name) * QUEUE_FACTOR
        max_response_s = max(max_response_s, MIN_RESPONSE_S * QUEUE_FACTOR)
        if target.kind is TargetKind.RESPONSE_TIME:
            return min(target.limit / 1_000, max_response_s)
        return max_response_s

    def _mark_cold(self) -> None:
        self.cold_events += 1
        self.restart()
