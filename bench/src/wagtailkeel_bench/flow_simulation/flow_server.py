"""The backend servers of the simulation: they hold flows, and answer packets for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_bench.agent_simulation.server_checks import ServerChecks
from wagtailkeel_bench.agent_simulation.simulated_server import LINK_DELAY_S
from wagtailkeel_bench.agent_simulation.simulated_server import SimulatedServer
from wagtailkeel_bench.flow_simulation.flow_checks import HoldingStart
from wagtailkeel_bench.flow_simulation.flow_checks import ServerFlow
from wagtailkeel_bench.flow_simulation.returning_format import acknowledgement_of
from wagtailkeel_bench.flow_simulation.returning_format import mark_returned
from wagtailkeel_protocol import packet as ip
from wagtailkeel_protocol.packet_builder import build_tcp

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from random import Random

    from wagtailkeel_bench.agent_simulation.server_checks import ServerStart
    from wagtailkeel_bench.event_scheduler import EventScheduler
    from wagtailkeel_bench.flow_simulation.flow_checks import FlowChecks
    from wagtailkeel_coordination.handshake import ServerReport

SERVICE_S = 0.02
MAX_FLOWS = 200
FIRST_RETRY_S = 0.2
MAX_RETRY_S = 3.2
MAX_SLOW_S = 1.5
MAX_FIRST_SEQUENCE = 0xF0000000


class FlowServer(SimulatedServer):
    """A backend server that holds flows; each start has none of those before.

    It returns packets of flows that it does not hold with ``returns_packets``, else resets them.
    """

    def __init__(
        self,
        name: str,
        scheduler: EventScheduler,
        random: Random,
        checks: FlowChecks,
        start_numbers: Iterator[int],
        call_agent: Callable[[ServerReport, Callable[[bool], None]], None],
        send: Callable[[bytes], None],
        on_leave: Callable[[], None],
        *,
        returns_packets: bool,
    ) -> None:
        super().__init__(scheduler, random, ServerChecks(), call_agent, send)
        self.name = name
        self.holding: HoldingStart | None = None
        self.slow_until = float("-inf")
        self.reports_fail_until = float("-inf")
        self.first_report_after_s = 0.0
        self._flow_checks = checks
        self._start_numbers = start_numbers
        self._on_leave = on_leave
        self._returns_packets = returns_packets
        self._failures = 0

    # Starts and reports

    def begin_reports(self, start: ServerStart) -> None:
        """Send the first report of a start, some time after it."""
        self.holding = HoldingStart(next(self._start_numbers), self.name)
        self._failures = 0
        self._scheduler.call_later(self.first_report_after_s, lambda: self._report(start))

    def crash(self) -> None:
        """End at once, with all flows."""
        super().crash()
        self.holding = None

    def _leave(self, start: ServerStart) -> None:
        """End as planned; no server starts here again."""
        if self.start is not start:
            return
        start.sequence += 1
        self._call(self._build_report(start, has_left=True), lambda is_acknowledged: None)
        self.crash()
        self._scheduler.call_later(LINK_DELAY_S, self._on_leave)

    def report_delay_s(self, is_acknowledged: bool) -> float:
        """Return the time to the next report; it grows while reports fail."""
        if is_acknowledged:
            self._failures = 0
            return super().report_delay_s(is_acknowledged)
        self._failures += 1
        return min(MAX_RETRY_S, FIRST_RETRY_S * 2.0 ** (self._failures - 1))

    def _call(self, report: ServerReport, on_answer: Callable[[bool], None]) -> None:
        if self._scheduler.now < self.reports_fail_until:
            self._scheduler.call_later(LINK_DELAY_S, lambda: on_answer(False))
        else:
            super()._call(report, on_answer)

    # Packets

    def on_packet(self, packet: bytes) -> None:
        """Take a packet of a caller; a crash until it arrives loses it."""
        self._scheduler.call_later(LINK_DELAY_S, lambda: self._on_arrival(packet))

    def _on_arrival(self, packet: bytes) -> None:
        if self.holding is None:
            return
        key = ip.parse_flow_key(packet)
        assert isinstance(key, bytes), "the simulation sends only complete packets"
        flags = ip.tcp_flags(packet)
        if flags & ip.SYN:
            self._on_opening(self.holding, packet, key)
            return
        flow = self.holding.flows_by_key.get(key)
        acknowledgement = acknowledgement_of(packet)
        if flow is None or flow.acknowledgement != acknowledgement:
            self._flow_checks.on_stray_packet(key, acknowledgement, self._scheduler.now)
            self._reject(self.holding, packet, key)
            return
        flow.stray_times.clear()
        flow.last_seen_at = self._scheduler.now
        flow.is_open = True
        self._on_flow_packet(self.holding, flow, packet, flags)

    def _on_opening(self, start: HoldingStart, packet: bytes, key: bytes) -> None:
        sequence = ip.tcp_sequence(packet)
        flow = start.flows_by_key.get(key)
        if flow is not None and sequence < flow.initial_sequence:
            return
        if flow is None or flow.initial_sequence != sequence:
            open_flows = sum(not other.has_ended for other in start.flows_by_key.values())
            if open_flows >= MAX_FLOWS:
                self._reject(start, packet, key)
                return
            own_sequence = self._random.randrange(MAX_FIRST_SEQUENCE)
            flow = ServerFlow(key, sequence, own_sequence + 1, self._scheduler.now)
            start.flows_by_key[key] = flow
        if not flow.is_open:
            self._answer(start, flow, flow.acknowledgement - 1, sequence + 1, ip.SYN | ip.ACK)

    def _on_flow_packet(
        self, start: HoldingStart, flow: ServerFlow, packet: bytes, flags: int
    ) -> None:
        sequence = ip.tcp_sequence(packet)
        payload = ip.payload_of(packet)
        if flow.has_ended and payload:
            self._send_later(start, _build_reset(start, flow.key, packet))
        elif flags & ip.FIN:
            flow.has_ended = True
            self._answer(start, flow, flow.acknowledgement, sequence + 1, ip.FIN | ip.ACK)
        elif payload:
            self._scheduler.call_later(
                SERVICE_S,
                lambda: self._answer(start, flow, flow.acknowledgement, sequence + 1, ip.ACK, b"a"),
            )

    def _answer(
        self,
        start: HoldingStart,
        flow: ServerFlow,
        sequence: int,
        acknowledgement: int,
        flags: int,
        payload: bytes = b"",
    ) -> None:
        key = ip.reverse_key(flow.key)
        self._send_later(start, build_tcp(key, sequence, acknowledgement, flags, payload))

    def _reject(self, start: HoldingStart, packet: bytes, key: bytes) -> None:
        if self._returns_packets:
            self._send_later(start, mark_returned(packet))
        elif not ip.tcp_flags(packet) & ip.SYN:
            self._send_later(start, _build_reset(start, key, packet))

    def _send_later(self, start: HoldingStart, packet: bytes) -> None:
        delay_s = LINK_DELAY_S
        if self._scheduler.now < self.slow_until:
            delay_s += self._random.uniform(0.0, MAX_SLOW_S)

        def send() -> None:
            if self.holding is start:
                self._send(packet)

        self._scheduler.call_later(delay_s, send)


def _build_reset(start: HoldingStart, key: bytes, packet: bytes) -> bytes:
    """Return a reset of a caller's packet that acknowledges the number of the start."""
    sequence = acknowledgement_of(packet)
    return build_tcp(ip.reverse_key(key), sequence, start.number, ip.RST | ip.ACK)
