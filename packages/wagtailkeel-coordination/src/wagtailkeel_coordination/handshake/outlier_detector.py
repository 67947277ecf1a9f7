"""Decides from the outcomes of its requests whether a server fails more than a healthy one would.

Load pattern: a server passes its health check, but resets, leaves unanswered or drops some or all
of its requests, permanently or by turns. It looks idle, so placement by load prefers it. A request
that is not idempotent is lost once the server has failed it, so few failures must suffice, while a
healthy server that fails a request now and then must stay in use.

The decision is a sequential test with a cumulative sum (CUSUM; Page 1954, Wald 1945): each outcome
adds the logarithm of its likelihood ratio between a faulty and a healthy server. A server that
fails at most ``HEALTHY_FAILURES`` of its requests is taken for an outlier at most once in
``exp(OUTLIER_SCORE)`` requests (Lorden 1971).
"""

from __future__ import annotations

import math
from collections import Counter
from enum import Enum

HEALTHY_FAILURES = 0.01
"""The share of failed requests at which a server counts as healthy."""
OUTLIER_FAILURES = 0.3
"""The share of failed requests that is to be found fastest."""
FAILURE_WEIGHT = math.log(OUTLIER_FAILURES / HEALTHY_FAILURES)
ANSWER_WEIGHT = math.log((1 - HEALTHY_FAILURES) / (1 - OUTLIER_FAILURES))
OUTLIER_SCORE = 9.0
"""Three failures with at most three answers between them; more answers need more failures."""
SUSPECT_SCORE = 1.0
"""A single failure makes a server suspect for the next seven answers."""
SCORE_RETENTION_S = 10.0
"""Failures count for this long if nothing follows them."""
MIN_AVOIDED_S = 2.0
MAX_AVOIDED_S = 16.0
"""How long an outlier gets no openings: the time is doubled with each failed trial."""
AVOIDED_RETENTION_S = 60.0
"""A server that becomes an outlier again within this time is avoided for twice as long."""
TRIAL_ANSWERS = 5
"""A trial ends after so many answers in a row."""


class Outcome(Enum):
    """What became of a request or an opening at the server.

    ``LATE_ANSWER`` follows ``SILENT`` or ``UNOPENED``, which was a misjudgement then.
    """

    ANSWERED = "answered"
    LATE_ANSWER = "late_answer"
    RESET = "reset"
    SILENT = "silent"
    UNOPENED = "unopened"


class OutlierState(Enum):
    """Whether owners should send openings to a server: all, none, or one at a time."""

    TRUSTED = "trusted"
    AVOIDED = "avoided"
    ON_TRIAL = "on_trial"


class OutlierDetector:
    """The state of one server; times are in seconds.

    ``counts`` are the outcomes since the score was last zero, ``failed_trials`` the times that the
    server has failed on trial since it became an outlier.
    """

    def __init__(self) -> None:
        self.state = OutlierState.TRUSTED
        self.score = 0.0
        self.avoided_s = 0.0
        self.became_outlier_at = 0.0
        self.failed_trials = 0
        self.counts: Counter[Outcome] = Counter()
        self._avoided_until = float("-inf")
        self._ended_at = float("-inf")
        self._failed_at = float("-inf")
        self._trial_answers = 0

    @property
    def is_outlier(self) -> bool:
        """Return whether the server is avoided or on trial."""
        return self.state is not OutlierState.TRUSTED

    @property
    def is_suspect(self) -> bool:
        """Return whether the server has failed too recently for requests that aren't idempotent."""
        return self.is_outlier or self.score > SUSPECT_SCORE

    def record(self, outcome: Outcome, now: float) -> None:
        """Update the state for one outcome."""
        self.counts[outcome] += 1
        if outcome is Outcome.ANSWERED:
            self._record_answer(now)
        elif outcome is Outcome.LATE_ANSWER:
            self._withdraw_failure(now)
        else:
            self._record_failure(now)

    def _record_answer(self, now: float) -> None:
        if self.state is OutlierState.TRUSTED:
            self._lower_score(ANSWER_WEIGHT)
        elif self.state is OutlierState.ON_TRIAL:
            self._trial_answers += 1
            if self._trial_answers >= TRIAL_ANSWERS:
                self._end(now)

    def _record_failure(self, now: float) -> None:
        self.score += FAILURE_WEIGHT
        self._failed_at = now
        if self.state is OutlierState.ON_TRIAL:
            self.failed_trials += 1
            self._avoid(now)
        elif self.state is OutlierState.TRUSTED and self.score >= OUTLIER_SCORE:
            self.became_outlier_at = now
            self.failed_trials = 0
            if now - self._ended_at > AVOIDED_RETENTION_S:
                self.avoided_s = 0.0
            self._avoid(now)

    def _withdraw_failure(self, now: float) -> None:
        """Subtract a failure that was only a slow answer, and end the state that it led to."""
        if not self.is_outlier:
            self._lower_score(FAILURE_WEIGHT)
            return
        self.score -= FAILURE_WEIGHT
        if self.score <= SUSPECT_SCORE:
            self.avoided_s /= 2
            self._end(now)

    def _lower_score(self, weight: float) -> None:
        self.score = max(0.0, self.score - weight)
        if not self.score:
            self.counts.clear()

    def _avoid(self, now: float) -> None:
        self.state = OutlierState.AVOIDED
        self.avoided_s = min(MAX_AVOIDED_S, max(MIN_AVOIDED_S, 2 * self.avoided_s))
        self._avoided_until = now + self.avoided_s

    def _end(self, now: float) -> None:
        self.state = OutlierState.TRUSTED
        self.score = 0.0
        self.counts.clear()
        self._ended_at = now

    def advance(self, now: float) -> None:
        """Start the trial of a server that was avoided for long enough, and expire old failures."""
        if self.state is OutlierState.AVOIDED and now >= self._avoided_until:
            self.state = OutlierState.ON_TRIAL
            self._trial_answers = 0
        if not self.is_outlier and now - self._failed_at > SCORE_RETENTION_S:
            self.score = 0.0
            self.counts.clear()


def are_most_outliers(outliers: int, servers: int) -> bool:
    """Return whether so many servers fail that the cause is likely elsewhere.

    None is avoided then, as with the panic threshold of service meshes.
    """
    return 2 * outliers >= servers
