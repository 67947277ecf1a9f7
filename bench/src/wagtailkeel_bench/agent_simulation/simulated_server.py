"""The backend server of the simulation: its starts, its calls and its answers to openings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_bench.agent_simulation.server_checks import DRAIN_PERIOD_S
from wagtailkeel_bench.agent_simulation.server_checks import ServerStart
from wagtailkeel_bench.agent_simulation.simulated_agent import SERVICE
from wagtailkeel_coordination.handshake import ServerReport
from wagtailkeel_protocol import packet as ip
from wagtailkeel_protocol.packet_builder import build_tcp

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from wagtailkeel_bench.agent_simulation.server_checks import ServerChecks
    from wagtailkeel_bench.event_scheduler import EventScheduler

REPORT_INTERVAL_S = 0.77
RETRY_S = 0.2
CALL_TIMEOUT_S = 1.0
LINK_DELAY_S = 0.001
MAX_LATE_S = 4.0
"""A call that is held up arrives at most this long after the link works again."""
MAX_REPEAT_GAP_S = 0.3
COLD_S = 2.0
UNIX_TIME_S = 1_700_000_000.0
RESTART_S = 2.5
"""From the planned end of a server to the start of the next one at its address."""


class SimulatedServer:
    """Reports to the agent beside it; each start knows nothing of those before.

    ``call_agent`` delivers a report and passes on whether the agent has acknowledged it.
    """

    def __init__(
        self,
        scheduler: EventScheduler,
        random: Random,
        checks: ServerChecks,
        call_agent: Callable[[ServerReport, Callable[[bool], None]], None],
        send: Callable[[bytes], None],
    ) -> None:
        self.start: ServerStart | None = None
        self.reports: list[ServerReport] = []
        self.cut_until = float("-inf")
        self._scheduler = scheduler
        self._random = random
        self._checks = checks
        self._call_agent = call_agent
        self._send = send
        self._clock_step_s = 0.0
        self._starts = 0
        self._server_id = ""

    # Starts

    def begin(self, *, clock_step_s: float = 0.0, keeps_id: bool = False) -> None:
        """Start, unless a process of the server runs already."""
        if self.start is not None:
            return
        now = self._scheduler.now
        self._starts += 1
        self._clock_step_s += clock_step_s
        if not (keeps_id and self._server_id):
            self._server_id = f"server-{self._starts}"
        started_at_ms = round((UNIX_TIME_S + now + self._clock_step_s) * 1_000)
        # The first start is before the traffic, when servers don't count as cold.
        cold_until = now + COLD_S if self._starts > 1 else now
        self.start = ServerStart(self._server_id, started_at_ms, now + LINK_DELAY_S, cold_until)
        self._checks.last_opening_at = now
        self.begin_reports(self.start)

    def begin_reports(self, start: ServerStart) -> None:
        """Send the first report of a start."""
        self._report(start)

    def crash(self) -> None:
        """End at once."""
        self.start = None

    def drain(self, lasts_s: float) -> None:
        """Say from now on that the server leaves; it ends some time after an acknowledgement."""
        start = self.start
        if start is None or start.is_draining:
            return
        start.is_draining = True
        start.draining_since = self._scheduler.now
        self._scheduler.call_later(DRAIN_PERIOD_S + lasts_s, lambda: self._leave(start))

    def _leave(self, start: ServerStart) -> None:
        if self.start is not start:
            return
        start.sequence += 1
        self._call(self._build_report(start, has_left=True), lambda is_acknowledged: None)
        self.start = None
        self._scheduler.call_later(RESTART_S, lambda: self.begin(keeps_id=True))

    # Calls

    def _report(self, start: ServerStart) -> None:
        if self.start is not start:
            return
        start.sequence += 1
        report = self._build_report(start)
        self.reports.append(report)
        sent_at = self._scheduler.now
        is_answered = False

        def on_answer(is_acknowledged: bool) -> None:
            nonlocal is_answered
            if is_answered or self._scheduler.now - sent_at > CALL_TIMEOUT_S:
                return
            is_answered = True
            self._on_answer(start, report, is_acknowledged)

        def on_timeout() -> None:
            if not is_answered:
                self._report(start)

        self._scheduler.call_later(CALL_TIMEOUT_S, on_timeout)
        self._call(report, on_answer)

    def _on_answer(self, start: ServerStart, report: ServerReport, is_acknowledged: bool) -> None:
        if is_acknowledged and report.is_draining:
            start.drain_acknowledged_at = min(start.drain_acknowledged_at, self._scheduler.now)
        delay_s = self.report_delay_s(is_acknowledged)
        self._scheduler.call_later(delay_s, lambda: self._report(start))

    def report_delay_s(self, is_acknowledged: bool) -> float:
        """Return the time from the answer to a report, or its failure, to the next report."""
        return REPORT_INTERVAL_S if is_acknowledged else RETRY_S

    def _call(self, report: ServerReport, on_answer: Callable[[bool], None]) -> None:
        now = self._scheduler.now
        delay_s = LINK_DELAY_S
        if now < self.cut_until:
            delay_s = self.cut_until - now + self._random.uniform(0.0, MAX_LATE_S)
        self._scheduler.call_later(delay_s, lambda: self._call_agent(report, on_answer))

    def repeat(self, position: float, until: float) -> None:
        """Let calls made earlier arrive again until a time; nobody waits for their answers.

        They are drawn from those after ``position``, of which 0 is the first and 1 the latest.
        """
        if self._scheduler.now > until:
            return
        first = int(position * (len(self.reports) - 1))
        report = self._random.choice(self.reports[first:])
        self._call_agent(report, lambda is_acknowledged: None)
        delay_s = self._random.uniform(0.0, MAX_REPEAT_GAP_S)
        self._scheduler.call_later(delay_s, lambda: self.repeat(position, until))

    def _build_report(self, start: ServerStart, *, has_left: bool = False) -> ServerReport:
        return ServerReport(
            start.server_id,
            SERVICE,
            start.started_at_ms,
            start.sequence,
            2,
            start.is_draining,
            has_left,
            max(0.0, start.cold_until - self._scheduler.now),
        )

    # Packets

    def on_packet(self, packet: bytes) -> None:
        """Take a packet of a caller; answer openings."""
        start = self.start
        key = ip.parse_flow_key(packet)
        assert isinstance(key, bytes), "the simulation sends only complete packets"
        is_cut = self._scheduler.now < self.cut_until
        if start is None or is_cut or not ip.tcp_flags(packet) & ip.SYN:
            return
        self._checks.on_opening(start, packet, self._scheduler.now)
        answer = build_tcp(ip.reverse_key(key), 1, 1, ip.SYN | ip.ACK)
        self._scheduler.call_later(LINK_DELAY_S, lambda: self._send(answer))
