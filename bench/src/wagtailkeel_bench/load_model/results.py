"""What callers saw, as a table and a plot in text."""

from __future__ import annotations

from statistics import mean
from statistics import pstdev
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wagtailkeel_bench.load_model.load import Load

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 2
STEP_S = 1.0
BAR_WIDTH = 40


class Results:
    """Counts of one play; ``work_s_by_server`` is what each server did."""

    def __init__(self, load: Load) -> None:
        self.in_target = 0
        self.late = 0
        self.failed = 0
        self.shed = 0
        self.work_s_by_server: list[float] = []
        self._load = load
        self._histogram = HdrHistogram(
            LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
        )
        steps = int(load.duration_s / STEP_S)
        self._in_target_by_step = [0] * steps
        self._requests_by_step = [0] * steps

    def note_end(self, started_at: float, took_s: float, *, is_answered: bool) -> None:
        """Count a request."""
        is_in_target = is_answered and took_s <= self._load.target_s
        self.in_target += is_in_target
        self.late += is_answered and not is_in_target
        self.failed += not is_answered
        if is_answered:
            self._histogram.record_value(int(took_s * 1_000_000))
        step = min(int(started_at / STEP_S), len(self._requests_by_step) - 1)
        self._requests_by_step[step] += 1
        self._in_target_by_step[step] += is_in_target

    def note_no_user(self) -> None:
        """Count a request that found all users busy."""
        self.failed += 1

    @property
    def requests(self) -> int:
        """The number of requests that are over."""
        return self.in_target + self.late + self.failed

    @property
    def in_target_share(self) -> float:
        """The share of requests answered within the target."""
        return self.in_target / max(1, self.requests)

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the answers' times."""
        return float(self._histogram.get_value_at_percentile(percentile)) / 1_000

    @property
    def imbalance(self) -> float:
        """The coefficient of variation of the servers' work."""
        average = mean(self.work_s_by_server)
        return pstdev(self.work_s_by_server) / average if average else 0.0

    def plot(self) -> list[str]:
        """Return one bar a second: the share of its requests that were answered in time."""
        lines = []
        for step, requests in enumerate(self._requests_by_step):
            share = self._in_target_by_step[step] / max(1, requests)
            lines.append(f"{step:4d} s  {share:5.2f}  {'#' * round(share * BAR_WIDTH)}")
        return lines


def format_table(results_by_policy: Mapping[str, Results]) -> str:
    """Return one line a policy."""
    lines = ["policy               in target   late  failed   shed  p50 ms  p99 ms  imbalance"]
    for name, found in results_by_policy.items():
        total = max(1, found.requests)
        lines.append(
            f"{name:20s} {found.in_target / total:9.3f} {found.late / total:6.3f}"
            f" {found.failed / total:7.3f} {found.shed:6d} {found.percentile_ms(50):7.1f}"
            f" {found.percentile_ms(99):7.1f} {found.imbalance:10.3f}"
        )
    return "\n".join(lines)
