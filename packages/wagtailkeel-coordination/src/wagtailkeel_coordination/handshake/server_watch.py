"""Watches the backend server of an agent for failures, and withholds openings while it fails.

The agent decides, since it alone sees all traffic of its server; its state is lost with it.
Directory owners learn of the decision from the server's load.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination import events
from wagtailkeel_coordination.handshake.outlier_detector import Outcome
from wagtailkeel_coordination.handshake.outlier_detector import OutlierDetector
from wagtailkeel_coordination.handshake.outlier_detector import OutlierState
from wagtailkeel_coordination.handshake.request_outcomes import RequestOutcomes
from wagtailkeel_protocol import packet_format as packet_flags

if TYPE_CHECKING:
    from wagtailkeel_coordination.handshake.router_context import RouterContext
    from wagtailkeel_coordination.handshake.server_gate import ServerGate
    from wagtailkeel_protocol.packet_format import PacketHeader

MAX_EVENT_GAP_S = 0.2
"""After a longer time without a call, the agent was suspended: it ticks far more often."""
TRIAL_REQUEST_TIMEOUT_S = 0.5
"""A trial opening whose caller sends no request occupies the trial for this long."""
IDEMPOTENT_TRIAL_WAIT_S = 2.0
"""A service that gets no idempotent openings for this long is tried with others."""
SERVER_OUTLIER = "server_outlier"
SERVER_SUSPECT = "server_suspect"


class ServerWatch:
    """Passes the outcomes of a server's requests to the detector and applies its decision."""

    def __init__(self, context: RouterContext, gate: ServerGate) -> None:
        self.detector = OutlierDetector()
        self._outcomes = RequestOutcomes()
        self._context = context
        self._gate = gate
        self._called_at = context.now
        self._heard_at = float("-inf")
        self._trial_key: bytes | None = None
        self._trial_opened_at = float("-inf")
        self._idempotent_only_until = float("-inf")

    # Openings

    @property
    def is_outlier(self) -> bool:
        """Return whether owners should send no opening now; a server on trial takes one a time."""
        if self.detector.state is OutlierState.ON_TRIAL:
            return self._is_trial_running
        return self.detector.is_outlier

    @property
    def _is_trial_running(self) -> bool:
        if self._trial_key is None:
            return False
        is_recent = self._context.now - self._trial_opened_at < TRIAL_REQUEST_TIMEOUT_S
        return is_recent or self._outcomes.is_awaited(self._trial_key)

    def find_return_reason(self, key: bytes) -> str | None:
        """Return why an opening should be placed on another server; None if it may stay here.

        The server is suspect. Requests that are not idempotent would be lost if it failed them.
        """
        is_idempotent = self._context.routing.is_idempotent(self._route_of(key))
        if not self.detector.is_outlier:
            return None if is_idempotent else SERVER_SUSPECT
        if self.detector.state is OutlierState.ON_TRIAL and not self._is_trial_running:
            may_try_any = self._context.now > self._idempotent_only_until
            return None if is_idempotent or may_try_any else SERVER_OUTLIER
        return SERVER_OUTLIER

    def on_opened(self, key: bytes) -> None:
        """Watch an opening that is being delivered."""
        if not self._begin_event():
            return
        self._outcomes.add_opening(key, self._route_of(key), self._context.now)
        if self.detector.state is OutlierState.ON_TRIAL and not self._is_trial_running:
            self._trial_key = key
            self._trial_opened_at = self._context.now

    def _route_of(self, key: bytes) -> bytes:
        return self._context.packet_format.endpoint_of(key)

    # Packets and reports

    def on_inbound(self, header: PacketHeader) -> None:
        """Watch a request that is being delivered to the server."""
        if not self._begin_event():
            return
        if header.flags & packet_flags.RESET:
            self._outcomes.remove(header.key)
        elif header.payload_bytes:
            self._outcomes.on_request(header.key, self._context.now)

    def on_outbound(self, header: PacketHeader) -> None:
        """Record the outcome of a request from a packet of the server."""
        if not self._begin_event():
            return
        self._heard_at = self._context.now
        if header.flags & packet_flags.BOUNCED:
            self._outcomes.remove(header.key)
            return
        outcome = self._outcomes.on_outbound(header, self._context.now)
        if outcome is not None:
            self._record(header.key, outcome)

    def on_report(self, now: float, *, is_restart: bool) -> None:
        """Record that the server is alive; a restarted one is measured anew."""
        self._heard_at = now
        if is_restart:
            self._outcomes = RequestOutcomes()
            if self.detector.is_outlier:
                self._emit_end("restart", now)
            self.detector = OutlierDetector()

    def tick(self) -> None:
        """Judge requests without an answer, and start the trial of an avoided server."""
        now = self._context.now
        if self._begin_event():
            is_on_trial = self.detector.state is OutlierState.ON_TRIAL
            overdue = self._outcomes.judge(self._heard_at, is_on_trial=is_on_trial)
            for key, outcome in overdue.items():
                self._record(key, outcome)
        state = self.detector.state
        self.detector.advance(now)
        if state is not self.detector.state:
            self._trial_key = None
            self._idempotent_only_until = now + IDEMPOTENT_TRIAL_WAIT_S

    def _begin_event(self) -> bool:
        """Return whether outcomes say something about the server: not while it is cold or leaving.

        If they don't, or the agent was suspended before this event, watched flows are forgotten.
        """
        now = self._context.now
        was_suspended = now - self._called_at > MAX_EVENT_GAP_S
        self._called_at = now
        is_in_normal_operation = self._is_in_normal_operation(now)
        if was_suspended or not is_in_normal_operation:
            self._outcomes.forget_flows()
        return is_in_normal_operation

    def _is_in_normal_operation(self, now: float) -> bool:
        report = self._gate.report
        if report is None or report.is_draining or report.has_left:
            return False
        return self._gate.has_recent_report(now) and not self._gate.is_cold(now)

    # Decisions

    def _record(self, key: bytes, outcome: Outcome) -> None:
        was_outlier = self.detector.is_outlier
        self.detector.record(outcome, self._context.now)
        if key == self._trial_key:
            self._trial_key = None
            self._idempotent_only_until = self._context.now + IDEMPOTENT_TRIAL_WAIT_S
        if outcome is Outcome.RESET:
            self._context.counters["requests_reset"] += 1
        elif outcome is Outcome.SILENT:
            self._context.counters["requests_unanswered"] += 1
        elif outcome is Outcome.UNOPENED:
            self._context.counters["openings_unanswered"] += 1
        elif outcome is Outcome.LATE_ANSWER:
            self._context.counters["requests_answered_late"] += 1
        if self.detector.is_outlier and not was_outlier:
            self._emit_start()
        elif was_outlier and not self.detector.is_outlier:
            reason = "answers" if outcome is Outcome.ANSWERED else "late_answers"
            self._emit_end(reason, self._context.now)

    def _emit_start(self) -> None:
        self._context.counters["outliers_found"] += 1
        counts = self.detector.counts
        self._context.emit(
            events.ServerOutlier(
                self._gate.service,
                counts[Outcome.RESET],
                counts[Outcome.SILENT],
                counts[Outcome.UNOPENED],
                counts[Outcome.ANSWERED],
                self.detector.avoided_s,
            )
        )

    def _emit_end(self, reason: str, now: float) -> None:
        self._context.counters["outliers_ended"] += 1
        detector = self.detector
        lasted_s = round(now - detector.became_outlier_at, 3)
        self._context.emit(
            events.ServerOutlierEnded(self._gate.service, reason, detector.failed_trials, lasted_s)
        )
