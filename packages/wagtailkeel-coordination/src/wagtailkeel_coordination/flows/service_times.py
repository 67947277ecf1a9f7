"""Response times of one server without queueing, by class.

Baselines are medians of recent answers, so that a single delay in this process is not mistaken for
a slow server. The round-trip time to the server without any work is measured by probes and
subtracted from response times, since it is a larger part of them on a fast server.
"""

from __future__ import annotations

from collections import deque
from statistics import median

COLD_STEP_FACTOR = 2.5
WARM_FACTOR = 1.5
MIN_COLD_SAMPLES = 3
MIN_COLD_DURATION_S = 0.1
MIN_STEP_S = 0.001
WINDOW_SAMPLES = 256
REFRESH_SAMPLES = 8
MIN_SAMPLES = 20
MIN_SERVICE_TIME_S = 0.000_1
FREQUENCY_GAIN = 0.01


class MedianWindow:
    """Median of the last ``WINDOW_SAMPLES`` samples, updated every ``REFRESH_SAMPLES``."""

    __slots__ = ("_new_samples", "_samples", "median_s")

    def __init__(self) -> None:
        self.median_s = 0.0
        self._samples: deque[float] = deque(maxlen=WINDOW_SAMPLES)
        self._new_samples = 0

    def __len__(self) -> int:
        return len(self._samples)

    def add(self, sample_s: float) -> None:
        """Add a sample."""
        self._samples.append(sample_s)
        self._new_samples += 1
        if self._new_samples >= REFRESH_SAMPLES or len(self._samples) <= REFRESH_SAMPLES:
            self._new_samples = 0
            self.median_s = median(self._samples)

    def clear(self) -> None:
        """Discard all samples; the median is kept until there are new ones."""
        self._samples.clear()
        self._new_samples = 0


class ClassTimes:
    """Statistics of one class: response times, fraction of all requests, consecutive slow answers.

    Classes without ``has_work`` are left out of the mean service time.
    """

    __slots__ = ("frequency", "has_work", "slow_since", "slow_streak", "window")

    def __init__(self, *, has_work: bool) -> None:
        self.window = MedianWindow()
        self.frequency = 0.0
        self.slow_streak = 0
        self.slow_since = 0.0
        self.has_work = has_work


class ServiceTimes:
    """Baselines by class and the mean service time over the mix of classes."""

    def __init__(self) -> None:
        self._times_by_class: dict[str, ClassTimes] = {}
        self._round_trip = MedianWindow()

    @property
    def mean_service_s(self) -> float:
        """Mean processing time per request; 0 until a class has ``MIN_SAMPLES``."""
        working = [t for t in self._times_by_class.values() if t.has_work]
        weight = sum(t.frequency for t in working)
        if weight <= 0.0 or max(len(t.window) for t in working) < MIN_SAMPLES:
            return 0.0
        response_s = sum(t.frequency * t.window.median_s for t in working) / weight
        return max(response_s - self._round_trip.median_s, MIN_SERVICE_TIME_S)

    @property
    def round_trip_s(self) -> float:
        """Median round-trip time to the server, without processing."""
        return self._round_trip.median_s

    @property
    def medians_by_class(self) -> dict[str, float]:
        """Median response times in seconds, by class name."""
        return {name: times.window.median_s for name, times in self._times_by_class.items()}

    def baseline_s(self, class_name: str) -> float:
        """Return the median response time of a class; infinity before its first answer."""
        times = self._times_by_class.get(class_name)
        return times.window.median_s if times else float("inf")

    def is_near_baseline(self, class_name: str, response_s: float) -> bool:
        """Return whether a response time is within ``WARM_FACTOR`` of the class's baseline."""
        return response_s <= self.baseline_s(class_name) * WARM_FACTOR

    def add_round_trip(self, round_trip_s: float) -> None:
        """Record the round-trip time of a probe."""
        self._round_trip.add(round_trip_s)

    def add_response(
        self, class_name: str, response_s: float, is_cold: bool, has_work: bool, now: float
    ) -> bool:
        """Record a response time; return whether the last ones are a step above the baseline.

        The step has to last ``MIN_COLD_DURATION_S``: one stall of a process delays several answers
        at once.
        """
        times = self._times_by_class.get(class_name)
        if times is None:
            times = self._times_by_class[class_name] = ClassTimes(has_work=has_work)
        baseline_s = times.window.median_s
        if is_cold and response_s < baseline_s / WARM_FACTOR:
            # Answers from when the server was colder say nothing about its speed.
            times.window.clear()
        if baseline_s and response_s > baseline_s * COLD_STEP_FACTOR + MIN_STEP_S:
            if not times.slow_streak:
                times.slow_since = now
            times.slow_streak += 1
            return (
                times.slow_streak >= MIN_COLD_SAMPLES
                and now - times.slow_since >= MIN_COLD_DURATION_S
            )
        times.slow_streak = 0
        times.window.add(response_s)
        self._update_frequencies(class_name)
        return False

    def reset_slow_streaks(self) -> None:
        """Reset the counts of consecutive slow answers."""
        for times in self._times_by_class.values():
            times.slow_streak = 0

    def _update_frequencies(self, class_name: str) -> None:
        for name, times in self._times_by_class.items():
            times.frequency += FREQUENCY_GAIN * ((name == class_name) - times.frequency)
