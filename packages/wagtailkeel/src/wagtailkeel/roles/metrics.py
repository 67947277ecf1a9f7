"""Counters and histograms of a role."""

from __future__ import annotations

import resource
import time
from collections import Counter
from functools import cached_property
from typing import TYPE_CHECKING

from wagtailkeel_transport import clock

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram

MIN_RESPONSE_US = 1
MAX_RESPONSE_US = 60_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 99.0, 99.9)


class Metrics:
    """Holds counters by name, and a histogram of response times in microseconds."""

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self.response_sum_s = 0.0
        self._started_at = clock.seconds()
        self._started_at_unix_s = time.time()

    @cached_property
    def _responses(self) -> HdrHistogram:
        # Imported on first use, since a balancer records no response times.
        from hdrh.histogram import HdrHistogram

        return HdrHistogram(MIN_RESPONSE_US, MAX_RESPONSE_US, SIGNIFICANT_DIGITS)

    def record_response(self, response_s: float) -> None:
        """Record one response time; the histogram limits it to between 1 µs and 60 s."""
        self.response_sum_s += response_s
        value = min(max(int(response_s * 1e6), MIN_RESPONSE_US), MAX_RESPONSE_US)
        self._responses.record_value(value)

    @property
    def response_count(self) -> int:
        """Number of recorded response times."""
        return int(self._responses.get_total_count())

    def response_percentile_s(self, percentile: float) -> float:
        """Return a percentile of the response times, in seconds."""
        return float(self._responses.get_value_at_percentile(percentile)) / 1e6

    def dump(self) -> dict[str, object]:
        """Return all metrics for the dump of the process."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        percentiles = {
            f"p{percentile:g}_ms": self._responses.get_value_at_percentile(percentile) / 1_000
            for percentile in PERCENTILES
        }
        return {
            "counters": dict(sorted(self.counters.items())),
            "responses": self._responses.get_total_count(),
            "response_ms": percentiles,
            "started_at": self._started_at_unix_s,
            "uptime_s": clock.seconds() - self._started_at,
            "cpu_s": usage.ru_utime + usage.ru_stime,
            "max_rss_kb": usage.ru_maxrss,
        }
