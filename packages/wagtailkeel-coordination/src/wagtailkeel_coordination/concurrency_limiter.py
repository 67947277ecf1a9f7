"""How much a server can bear, from its measured answers.

Source: additive increase, multiplicative decrease (Chiu and Jain, 1989), with a slow start from
one request whenever the server is cold. A server is cold when its agent starts, after a step of
its response times, and after silence. Several concurrent requests are only allowed once answers
have come back at the allowance before, so a cold server is never handed a burst.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_state.target import TargetKind

if TYPE_CHECKING:
    from wagtailkeel_state.target import Target

INITIAL_LIMIT = 1.0
DECREASE_FACTOR = 0.8
DECREASE_INTERVAL_S = 0.2
QUEUE_FACTOR = 4
COLD_STEP = 2.5
WARM_STEP = 1.5
COLD_SAMPLES = 3
BASELINE_GAIN = 0.02
CAPACITY_GAIN = 0.05
CAPACITY_UNITS_PER_SLOT_S = 1_000
RESPONSE_FLOOR_S = 0.001


class ClassBaseline(msgspec.Struct):
    """Response time without queueing (seconds), and recent answers far above it."""

    response_s: float = 0.0
    slow_streak: int = 0


class ConcurrencyLimiter:
    """A limit on unanswered requests of one server; ``slots`` is its announced parallelism."""

    def __init__(self, slots: int) -> None:
        self.limit = INITIAL_LIMIT
        self.in_flight = 0
        self.is_cold = True
        self.cold_events = 0
        self._slots = slots
        self._max_limit = float(slots * QUEUE_FACTOR)
        self._decreased_at = float("-inf")
        self._baselines_by_class: dict[str, ClassBaseline] = {}
        self._service_s = 0.0
        self._answers_at_limit = 0

    @property
    def headroom(self) -> int:
        """How many more requests may start now."""
        return int(self.limit) - self.in_flight

    @property
    def capacity(self) -> int:
        """Measured requests per 1,000 s with all slots busy; 0 until there is a measurement."""
        if self._service_s <= 0.0:
            return 0
        return round(self._slots * CAPACITY_UNITS_PER_SLOT_S / self._service_s)

    def allows_start(self) -> bool:
        """Tell whether a new flow may start."""
        return self.in_flight < int(self.limit)

    def on_start(self) -> None:
        """Count a request that the server has not answered yet."""
        self.in_flight += 1

    def on_abandon(self) -> None:
        """Count a request that no answer is expected for any more."""
        self.in_flight = max(0, self.in_flight - 1)

    def on_answer(
        self, class_name: str, response_s: float, target: Target, was_queued: bool, now: float
    ) -> None:
        """Learn from one answer; ``was_queued`` tells that it began behind others."""
        self.in_flight = max(0, self.in_flight - 1)
        response_s = max(response_s, RESPONSE_FLOOR_S)
        if not was_queued:
            self._learn_baseline(class_name, response_s, target)
        limit_s = self._acceptable_response_s(class_name, target)
        if response_s > limit_s:
            self._decrease(now)
            return
        self._increase()

    def on_silence(self) -> None:
        """Treat a server that owes answers and sends none as cold."""
        if not self.is_cold:
            self._turn_cold()

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
        baseline = self._baselines_by_class.get(class_name)
        queue_s = baseline.response_s * QUEUE_FACTOR if baseline else float("inf")
        if target.kind is TargetKind.RESPONSE_TIME:
            return min(target.limit / 1_000, max(queue_s, RESPONSE_FLOOR_S * QUEUE_FACTOR))
        return max(queue_s, RESPONSE_FLOOR_S * QUEUE_FACTOR)

    def _learn_baseline(self, class_name: str, response_s: float, target: Target) -> None:
        baseline = self._baselines_by_class.setdefault(class_name, ClassBaseline())
        if baseline.response_s == 0.0 or response_s < baseline.response_s / WARM_STEP:
            baseline.response_s = response_s
        if response_s > baseline.response_s * COLD_STEP + RESPONSE_FLOOR_S:
            baseline.slow_streak += 1
            if baseline.slow_streak >= COLD_SAMPLES and not self.is_cold:
                self._turn_cold()
            return
        baseline.slow_streak = 0
        baseline.response_s += BASELINE_GAIN * (response_s - baseline.response_s)
        if response_s <= baseline.response_s * WARM_STEP and self.limit >= self._slots:
            self.is_cold = False
        # Held flows cost their server little; what they answer says nothing of its speed.
        if not self.is_cold and target.kind is TargetKind.RESPONSE_TIME:
            self._learn_capacity(response_s)

    def _learn_capacity(self, response_s: float) -> None:
        if self._service_s == 0.0:
            self._service_s = response_s
        self._service_s += CAPACITY_GAIN * (response_s - self._service_s)

    def _turn_cold(self) -> None:
        self.is_cold = True
        self.cold_events += 1
        self.limit = INITIAL_LIMIT
        self._answers_at_limit = 0
        for baseline in self._baselines_by_class.values():
            baseline.slow_streak = 0
