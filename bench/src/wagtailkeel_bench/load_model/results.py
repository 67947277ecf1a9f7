"""Request outcomes as callers see them, as a table and a text plot."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from statistics import mean
from statistics import pstdev
from typing import TYPE_CHECKING

import msgspec
from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wagtailkeel_bench.load_model.load import Load
    from wagtailkeel_bench.load_model.load import RequestClass

LOWEST_RESPONSE_US = 1
HIGHEST_RESPONSE_US = 60_000_000
SIGNIFICANT_DIGITS = 2
PLOT_INTERVAL_S = 1.0
BAR_WIDTH_CHARACTERS = 40


class Tally(msgspec.Struct):
    """Outcomes of the requests of one class or one data centre.

    ``refused`` counts attempts that were refused before a server had them, ``refused_with_room``
    those of them during which a server of the service had an idle slot.
    """

    in_target: int = 0
    late: int = 0
    failed: int = 0
    attempts: int = 0
    refused: int = 0
    refused_with_room: int = 0

    @property
    def requests(self) -> int:
        """The number of finished requests."""
        return self.in_target + self.late + self.failed


class Results:
    """Request counts of one simulation; ``work_s_by_server`` is each server's work time.

    ``idle_while_queued_s`` is the time that requests spent in a server's queue, in request-seconds,
    while another server had a slot idle for each of them. ``counters`` are the sums of the agents'
    counters.
    """

    def __init__(self, load: Load) -> None:
        self.in_target = 0
        self.late = 0
        self.failed = 0
        self.shed = 0
        self.load_messages = 0
        self.openings = 0
        self.idle_while_queued_s = 0.0
        self.work_s_by_server: list[float] = []
        self.counters: Counter[str] = Counter()
        self.tallies_by_class: defaultdict[str, Tally] = defaultdict(Tally)
        self.tallies_by_data_centre: defaultdict[int | None, Tally] = defaultdict(Tally)
        self._load = load
        self._histogram = HdrHistogram(LOWEST_RESPONSE_US, HIGHEST_RESPONSE_US, SIGNIFICANT_DIGITS)
        interval_count = int(load.duration_s / PLOT_INTERVAL_S)
        self._in_target_by_interval = [0] * interval_count
        self._requests_by_interval = [0] * interval_count

    def record_request(
        self,
        started_at: float,
        elapsed_s: float,
        request_class: RequestClass,
        data_centre: int | None,
        attempts: int,
        *,
        is_answered: bool,
    ) -> None:
        """Count a finished request in the interval in which it started."""
        is_in_target = is_answered and elapsed_s <= request_class.target_s
        for tally in self._find_tallies(request_class.name, data_centre):
            tally.in_target += is_in_target
            tally.late += is_answered and not is_in_target
            tally.failed += not is_answered
            tally.attempts += attempts
        self.in_target += is_in_target
        self.late += is_answered and not is_in_target
        self.failed += not is_answered
        if is_answered:
            self._histogram.record_value(int(elapsed_s * 1_000_000))
        interval = min(int(started_at / PLOT_INTERVAL_S), len(self._requests_by_interval) - 1)
        self._requests_by_interval[interval] += 1
        self._in_target_by_interval[interval] += is_in_target

    def _find_tallies(self, class_name: str, data_centre: int | None) -> tuple[Tally, Tally]:
        return self.tallies_by_class[class_name], self.tallies_by_data_centre[data_centre]

    def record_refusal(self, class_name: str, data_centre: int | None, *, has_room: bool) -> None:
        """Count a refused attempt; ``has_room`` if a server of the service had an idle slot."""
        for tally in self._find_tallies(class_name, data_centre):
            tally.refused += 1
            tally.refused_with_room += has_room

    def record_no_idle_user(self) -> None:
        """Count a request as failed because all users were busy."""
        self.failed += 1

    @property
    def requests(self) -> int:
        """The number of finished requests."""
        return self.in_target + self.late + self.failed

    @property
    def in_target_share(self) -> float:
        """The share of requests answered within the target."""
        return self.in_target / max(1, self.requests)

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the response times of answered requests."""
        return float(self._histogram.get_value_at_percentile(percentile)) / 1_000

    @property
    def load_messages_per_opening(self) -> float:
        """The number of load requests and reports between agents for each opening."""
        return self.load_messages / max(1, self.openings)

    @property
    def imbalance(self) -> float:
        """The coefficient of variation of the servers' work."""
        average = mean(self.work_s_by_server)
        return pstdev(self.work_s_by_server) / average if average else 0.0

    def plot(self) -> list[str]:
        """Return one bar per second: the share of requests started in it and answered in time."""
        lines = []
        for interval, requests in enumerate(self._requests_by_interval):
            share = self._in_target_by_interval[interval] / max(1, requests)
            lines.append(
                f"{interval:4d} s  {share:5.2f}  {'#' * round(share * BAR_WIDTH_CHARACTERS)}"
            )
        return lines


def format_table(results_by_policy: Mapping[str, Results]) -> str:
    """Return a header and one line per policy."""
    lines = [
        "policy               in target   late  failed   shed  p50 ms  p99 ms  imbalance  messages"
    ]
    for name, result in results_by_policy.items():
        total = max(1, result.requests)
        lines.append(
            f"{name:20s} {result.in_target / total:9.3f} {result.late / total:6.3f}"
            f" {result.failed / total:7.3f} {result.shed:6d} {result.percentile_ms(50):7.1f}"
            f" {result.percentile_ms(99):7.1f} {result.imbalance:10.3f}"
            f" {result.load_messages_per_opening:9.1f}"
        )
    return "\n".join(lines)
