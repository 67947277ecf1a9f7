"""Response times of one server without queueing, by class.

The median is tracked by stochastic approximation (Robbins and Monro, 1951), so that single delays
in this process do not pass for a slow server. The round trip to the server without any work is
measured by probes and taken off, since it weighs more on a fast server than on a slow one.
"""

from __future__ import annotations

import msgspec

COLD_STEP = 2.5
WARM_STEP = 1.5
COLD_SAMPLES = 3
FIRST_STEP = 0.05
LAST_STEP = 0.003
STEP_DECAY_SAMPLES = 4.0
FREQUENCY_GAIN = 0.01
STEP_FLOOR_S = 0.001
MIN_SAMPLES = 20
MIN_SERVICE_S = 0.000_1


class ClassTimes(msgspec.Struct):
    """One class: median response (seconds), share of the requests, recent slow answers."""

    median_s: float
    frequency: float = 0.0
    samples: int = 0
    steps: int = 0
    slow_streak: int = 0
    has_work: bool = True


class ServiceTimes:
    """Baselines by class and the mean service time over the mix of classes."""

    def __init__(self) -> None:
        self._times_by_class: dict[str, ClassTimes] = {}
        self._round_trip_s = 0.0
        self._round_trips = 0

    @property
    def mean_service_s(self) -> float:
        """Mean time of work per request; 0 until there are enough samples."""
        working = [t for t in self._times_by_class.values() if t.has_work]
        weight = sum(t.frequency for t in working)
        if weight <= 0.0 or sum(t.samples for t in working) < MIN_SAMPLES:
            return 0.0
        response_s = sum(t.frequency * t.median_s for t in working) / weight
        return max(response_s - self._round_trip_s, MIN_SERVICE_S)

    @property
    def round_trip_s(self) -> float:
        """Median time to the server and back, without work."""
        return self._round_trip_s

    @property
    def medians_by_class(self) -> dict[str, float]:
        """Median response times in seconds."""
        return {name: times.median_s for name, times in self._times_by_class.items()}

    def baseline_s(self, class_name: str) -> float:
        """Return the median response of a class; infinity before the first answer."""
        times = self._times_by_class.get(class_name)
        return times.median_s if times else float("inf")

    def is_near_baseline(self, class_name: str, response_s: float) -> bool:
        """Tell whether an answer came as fast as usual."""
        return response_s <= self.baseline_s(class_name) * WARM_STEP

    def learn_round_trip(self, response_s: float) -> None:
        """Learn from a probe."""
        if self._round_trip_s == 0.0:
            self._round_trip_s = response_s
        self._round_trips += 1
        self._round_trip_s = _step_towards(self._round_trip_s, response_s, self._round_trips)

    def learn(self, class_name: str, response_s: float, is_cold: bool, has_work: bool) -> bool:
        """Learn from an answer; return whether the last ones are a step above the baseline."""
        times = self._times_by_class.get(class_name)
        if times is None:
            times = self._times_by_class[class_name] = ClassTimes(response_s, has_work=has_work)
        times.steps += 1
        if response_s < times.median_s / WARM_STEP and is_cold:
            # A server that warms up gets faster than any step of the median could follow.
            times.median_s = response_s
            times.steps = 0
        if response_s > times.median_s * COLD_STEP + STEP_FLOOR_S:
            times.slow_streak += 1
            return times.slow_streak >= COLD_SAMPLES
        times.slow_streak = 0
        times.median_s = _step_towards(times.median_s, response_s, times.steps)
        if not is_cold:
            self._count(class_name)
        return False

    def forget_streaks(self) -> None:
        """Start to count slow answers anew."""
        for times in self._times_by_class.values():
            times.slow_streak = 0

    def _count(self, class_name: str) -> None:
        for name, times in self._times_by_class.items():
            is_seen = name == class_name
            times.frequency += FREQUENCY_GAIN * (is_seen - times.frequency)
            times.samples += is_seen


def _step_towards(median_s: float, sample_s: float, steps: int) -> float:
    step = max(LAST_STEP, FIRST_STEP * STEP_DECAY_SAMPLES / (STEP_DECAY_SAMPLES + steps))
    if sample_s > median_s:
        return median_s * (1 + step)
    if sample_s < median_s:
        return median_s * (1 - step)
    return median_s
