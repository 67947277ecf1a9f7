"""Decides which start of a backend server runs, by its reports.

Reports may arrive late, also those of a start that has ended since, and the server's clock may be
set back between two starts. So a report of a start that was not known shows only that the server
may have started again: another report shows it, while the known start stays silent. A start that
another one has followed never counts as running again. A server that drains does so until it ends.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_coordination.handshake.server_report import ReportOutcome

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wagtailkeel_coordination.handshake.server_report import ServerReport
    from wagtailkeel_state.server_member import ServerIncarnation

MAX_ENDED = 16
"""Reports of still earlier incarnations do not arrive any more."""
DECIDING_REPORTS = 2
"""So many reports in a row, from one of two incarnations that may run, show that it does."""
SUCCESSOR_SILENCE_SHARE = 0.5
"""Of the report timeout; an incarnation that runs has reported within this time."""


class ServerIncarnations:
    """The incarnation that runs, and those that have ended; times are in seconds.

    ``current`` is the last report of the one that runs, ``candidate`` the last one of another that
    may have followed it. Incarnations are ``ended`` in the order in which this became known.
    """

    def __init__(self, report_timeout_s: float) -> None:
        self.current: ServerReport | None = None
        self.candidate: ServerReport | None = None
        self.heard_at = float("-inf")
        self.ended: deque[ServerIncarnation] = deque(maxlen=MAX_ENDED)
        self._report_timeout_s = report_timeout_s
        self._current_reports = 0
        self._candidate_reports = 0

    def is_recent(self, now: float) -> bool:
        """Return whether the incarnation that runs has reported within the report timeout."""
        return self.current is not None and now - self.heard_at <= self._report_timeout_s

    def restore(self, report: ServerReport, ended: Iterable[ServerIncarnation], now: float) -> None:
        """Take over what an earlier process of the agent knew.

        Only a drain counts as heard now: nothing else holds until the server reports.
        """
        for incarnation in ended:
            self.end(incarnation)
        self.current = report
        self.candidate = None
        self.heard_at = float("-inf") if report.takes_openings else now

    def end(self, incarnation: ServerIncarnation) -> None:
        """Record that an incarnation has ended."""
        if incarnation not in self.ended:
            self.ended.append(incarnation)

    def on_report(self, report: ServerReport, now: float) -> ReportOutcome:
        """Process a report; if it is applied, it is the current one."""
        known = self.current
        if report.incarnation in self.ended:
            return ReportOutcome.REFUSED
        if known is None:
            self._apply(report, now)
            return ReportOutcome.APPLIED
        if report.incarnation == known.incarnation:
            return self._on_current(known, report, now)
        return self._on_other(known, report, now)

    def _on_current(self, known: ServerReport, report: ServerReport, now: float) -> ReportOutcome:
        if report.sequence <= known.sequence:
            return ReportOutcome.OUTDATED if known.covers(report) else ReportOutcome.REFUSED
        is_draining = known.is_draining or report.is_draining
        has_left = known.has_left or report.has_left
        self._apply(
            msgspec.structs.replace(report, is_draining=is_draining, has_left=has_left), now
        )
        return ReportOutcome.APPLIED

    def _apply(self, report: ServerReport, now: float) -> None:
        self.current = report
        self.heard_at = now
        self._current_reports += 1
        self._candidate_reports = 0
        if self._current_reports >= DECIDING_REPORTS:
            self.candidate = None

    def _on_other(self, known: ServerReport, report: ServerReport, now: float) -> ReportOutcome:
        """Process a report of an incarnation that may have followed the known one."""
        candidate = self.candidate
        is_same = candidate is not None and candidate.incarnation == report.incarnation
        if candidate is not None and is_same and report.sequence <= candidate.sequence:
            return ReportOutcome.REFUSED
        self.candidate = report
        self._current_reports = 0
        self._candidate_reports = self._candidate_reports + 1 if is_same else 1
        if self._candidate_reports < DECIDING_REPORTS or not self._is_silent(known, report, now):
            return ReportOutcome.REFUSED
        self.end(known.incarnation)
        self.candidate = None
        self._apply(report, now)
        return ReportOutcome.APPLIED

    def _is_silent(self, known: ServerReport, successor: ServerReport, now: float) -> bool:
        """Return whether the known incarnation would have reported again if it ran.

        A successor that is not later by its clock, or that would end a drain, waits for longer.
        """
        is_likely = successor.started_at_ms > known.started_at_ms and known.takes_openings
        share = SUCCESSOR_SILENCE_SHARE if is_likely else 1.0
        return now - self.heard_at > share * self._report_timeout_s
