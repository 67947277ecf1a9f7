"""Decides which openings an agent delivers to its backend server.

A server that is leaving or out of service gets no new flow from any sender. A server that has just
started gets no more openings a second than it can handle. This limit holds during a network
partition too, since no process other than the agent delivers openings to the server.
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_coordination.handshake.server_incarnations import ServerIncarnations
from wagtailkeel_coordination.handshake.server_report import ReportOutcome

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wagtailkeel_coordination.handshake.server_report import ServerReport
    from wagtailkeel_state.server_member import ServerIncarnation

COLD_WINDOW_S = 1.05
"""The limit applies to any span of 1 s; the remaining time covers the transit to the server."""
MAX_INACTIVITY_STEP_S = 0.2
CLOSING_TIMEOUT_S = 2.0
"""A server that has left goes on closing its flows; it retransmits after at most 1.6 s."""
RETURN_COLD_S = 2.0
"""When its data centre returns to service, a server counts as cold for this long, unless a newer
report says otherwise.
"""


class ColdLimit(msgspec.Struct, frozen=True):
    """The openings a second that a cold server gets.

    The limit is ``factor`` times the rate that the routing document sets for the service, plus
    ``slack``.
    """

    factor: float = 1.0
    slack: float = 0.0

    def max_openings(self, starts_per_s: float) -> int:
        """Return the limit for a server whose service has the rate ``starts_per_s``; at least 1."""
        return max(1, int(starts_per_s * self.factor + self.slack))


class GateReason(Enum):
    """The reason why an opening was not admitted."""

    NO_RECENT_REPORT = "server_unheard"
    UNCONFIRMED = "agent_unconfirmed"
    """The agent has just started, and what earlier processes of it have acknowledged is unknown."""
    RESTARTED = "server_restarted"
    """The server may have started again: it is not clear yet what holds for it."""
    WRONG_SERVICE = "wrong_service"
    DRAINING = "server_draining"
    OUT_OF_SERVICE = "data_centre_out_of_service"
    COLD = "server_cold"
    LEAVING = "agent_leaving"


_FIRST_REPORT_REASONS = (GateReason.NO_RECENT_REPORT, GateReason.UNCONFIRMED)


class ServerGate:
    """Admits openings by the state of the backend server; times are in seconds.

    ``is_confirmed`` is false until the agent knows what earlier processes of it have acknowledged.
    ``is_heard`` is set once the server has sent something since the start of the agent.
    """

    def __init__(
        self, service: str, report_timeout_s: float, cold_limit: ColdLimit, now: float
    ) -> None:
        self.service = service
        self.is_confirmed = True
        self.is_in_service = True
        self.is_leaving = False
        self.cold_starts_per_s = 0.0
        self._started_at = now
        self._inactivity_updated_at = now
        self._inactive_s = 0.0
        self.is_heard = False
        self._is_absent = False
        self._report_timeout_s = report_timeout_s
        self._incarnations = ServerIncarnations(report_timeout_s)
        self._cold_limit = cold_limit
        self._cold_until = float("-inf")
        self._earlier_openings_until = float("-inf")
        self._back_in_service_at = float("-inf")
        self._cold_opening_times: deque[float] = deque()

    @property
    def report(self) -> ServerReport | None:
        """The last report of the incarnation that runs."""
        return self._incarnations.current

    @property
    def ended_incarnations(self) -> tuple[ServerIncarnation, ...]:
        """The incarnations of the server that have ended."""
        return tuple(self._incarnations.ended)

    def on_report(self, report: ServerReport, now: float) -> ReportOutcome:
        """Process a report; it is refused if it is of another service."""
        if report.service != self.service:
            return ReportOutcome.REFUSED
        self.record_activity()
        outcome = self._incarnations.on_report(report, now)
        if outcome is ReportOutcome.APPLIED:
            self._cold_until = now + report.cold_for_s if report.cold_for_s > 0 else float("-inf")
        return outcome

    def on_leave(self, incarnation: ServerIncarnation, now: float) -> ReportOutcome:
        """Process the notice that an incarnation ends; none of its reports counts after that."""
        known = self.report
        if known is None or known.incarnation != incarnation:
            self._incarnations.end(incarnation)
            return ReportOutcome.OUTDATED
        last_report = msgspec.structs.replace(known, sequence=known.sequence + 1, has_left=True)
        return self.on_report(last_report, now)

    def begin_recovery(self, now: float) -> None:
        """Admit no openings until :meth:`confirm`: the agent may have restarted.

        A cold server may have got the openings that it can handle from an earlier process.
        """
        self.is_confirmed = False
        self._earlier_openings_until = now + COLD_WINDOW_S

    def confirm(
        self, restored: ServerReport | None, ended: Iterable[ServerIncarnation], now: float
    ) -> None:
        """Admit openings from now on, by what earlier processes of the agent have acknowledged.

        ``restored`` is the report that they have acknowledged last, if it still binds.
        """
        self.is_confirmed = True
        if restored is None:
            return
        first_report = self.report
        self._incarnations.restore(restored, ended, now)
        if first_report is not None:
            self.on_report(first_report, now)

    @property
    def may_have_restarted(self) -> bool:
        """Return whether another incarnation of the server may run by now."""
        return self._incarnations.candidate is not None

    def set_in_service(self, is_in_service: bool, now: float) -> None:
        """Set whether the data centre is in service."""
        if is_in_service and not self.is_in_service:
            self._back_in_service_at = now
        self.is_in_service = is_in_service

    def has_recent_report(self, now: float) -> bool:
        """Return whether the server has reported recently.

        Without recent reports, its address may belong to another server by now.
        """
        return self._incarnations.is_recent(now)

    def record_activity(self) -> None:
        """Record that the server has sent something or accepts connections, so it is running."""
        self._inactive_s = 0.0
        self.is_heard = True
        self._is_absent = False

    def record_absence(self) -> None:
        """Record that no server process runs, unless the server has been active meanwhile."""
        self._is_absent = self.is_inactive

    @property
    def is_inactive(self) -> bool:
        """Return whether nothing was heard of the server for the report timeout, or ever.

        This does not mean that it has ended: it may have failed to reach an agent that was away.
        """
        return not self.is_heard or self._inactive_s > self._report_timeout_s

    def update_inactivity(self, now: float) -> None:
        """Add the time since the last call to the server's inactivity.

        Time above MAX_INACTIVITY_STEP_S is left out, since the agent itself was suspended then.
        """
        self._inactive_s += min(now - self._inactivity_updated_at, MAX_INACTIVITY_STEP_S)
        self._inactivity_updated_at = now

    @property
    def has_ended(self) -> bool:
        """Return whether the server process has ended: it has said so, or its port is closed."""
        if self._is_absent:
            return True
        has_left = self.report is not None and self.report.has_left
        return has_left and self._inactive_s > min(CLOSING_TIMEOUT_S, self._report_timeout_s)

    def is_cold(self, now: float) -> bool:
        """Return whether the server is slow, or may have become so while it was out of service."""
        is_report_outdated = self._incarnations.heard_at < self._back_in_service_at
        return now < self._cold_until or (
            is_report_outdated and now - self._back_in_service_at < RETURN_COLD_S
        )

    def accepts(self, now: float) -> bool:
        """Return whether peers should send openings to this agent."""
        return self.find_rejection_reason(now) is None

    def is_awaiting_first_report(self, now: float) -> bool:
        """Return whether openings are rejected only because the server's first report is pending.

        The report counts as pending until the agent has run for the report timeout.
        """
        is_pending = self.report is None or not self.is_confirmed
        is_report_pending = is_pending and now - self._started_at <= self._report_timeout_s
        return is_report_pending and self.find_rejection_reason(now) in _FIRST_REPORT_REASONS

    def admit(self, service: str, now: float) -> GateReason | None:
        """Admit and count an opening and return None, or return the reason why it is rejected."""
        if service != self.service:
            return GateReason.WRONG_SERVICE
        reason = self.find_rejection_reason(now)
        if reason is None and self.is_cold(now):
            self._cold_opening_times.append(now)
        return reason

    def find_rejection_reason(self, now: float) -> GateReason | None:
        """Return why an opening of the server's service would be rejected, None if it would not."""
        if self.is_leaving:
            return GateReason.LEAVING
        if not self.is_in_service:
            return GateReason.OUT_OF_SERVICE
        if self.report is None or not self.has_recent_report(now):
            return GateReason.NO_RECENT_REPORT
        if not self.report.takes_openings:
            return GateReason.DRAINING
        if not self.is_confirmed:
            return GateReason.UNCONFIRMED
        if self.may_have_restarted:
            return GateReason.RESTARTED
        if self.is_cold(now) and not self._has_cold_capacity(now):
            return GateReason.COLD
        return None

    def is_limited_by_cold_start(self, now: float) -> bool:
        """Return whether openings are rejected only because the server is cold."""
        return self.find_rejection_reason(now) is GateReason.COLD

    def warm_in_s(self, now: float) -> float:
        """Return the time until the server is warm; 0 if it is."""
        outdated_cold_until = float("-inf")
        if self._incarnations.heard_at < self._back_in_service_at:
            outdated_cold_until = self._back_in_service_at + RETURN_COLD_S
        return max(0.0, self._cold_until - now, outdated_cold_until - now)

    def cold_room_in_s(self, position: int, now: float) -> float:
        """Return the time until a cold server takes one opening more than ``position`` others."""
        limit = self._cold_limit.max_openings(self.cold_starts_per_s)
        self._forget_past_openings(now)
        occupied = position - (limit - len(self._cold_opening_times))
        if occupied < 0:
            return max(0.0, self._earlier_openings_until - now)
        if not self._cold_opening_times:
            return COLD_WINDOW_S * (1 + occupied // limit)
        rounds, index = divmod(occupied, len(self._cold_opening_times))
        return self._cold_opening_times[index] + COLD_WINDOW_S * (1 + rounds) - now

    def _has_cold_capacity(self, now: float) -> bool:
        if now < self._earlier_openings_until:
            return False
        self._forget_past_openings(now)
        return len(self._cold_opening_times) < self._cold_limit.max_openings(self.cold_starts_per_s)

    def _forget_past_openings(self, now: float) -> None:
        while self._cold_opening_times and now - self._cold_opening_times[0] > COLD_WINDOW_S:
            self._cold_opening_times.popleft()
