"""The callers of the simulation: they open flows, repeat packets, and use ports again."""

from __future__ import annotations

import struct
from enum import Enum
from enum import auto
from functools import partial
from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_bench.agent_simulation.simulated_agent import ROUTE_PORT
from wagtailkeel_bench.flow_simulation.flow_outcomes import FlowOutcomes
from wagtailkeel_bench.flow_simulation.flow_outcomes import LostFlow
from wagtailkeel_bench.flow_simulation.flow_outcomes import LostFlowOutcome
from wagtailkeel_bench.flow_simulation.returning_format import acknowledgement_of
from wagtailkeel_protocol import packet as ip
from wagtailkeel_protocol.packet_builder import build_tcp

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from wagtailkeel_bench.event_scheduler import EventScheduler
    from wagtailkeel_bench.flow_simulation.flow_checks import FlowChecks

CALLER = bytes((100, 64, 0, 1))
ROUTE = bytes((198, 18, 0, 1))
FIRST_PORT = 1_024
PORTS = 60
"""Few, so that ports are used again soon, also by callers whose earlier flow is still held."""
OPENING_INTERVAL_S = 0.12
COPY_TIMES_S = (0.2, 0.6)
OPENING_TIMEOUT_S = 1.4
SEQUENCES_PER_FLOW = 1_000
FIRST_RETRY_S = 0.2
MAX_RETRY_S = 1.6
MAX_RETRIES = 8
MAX_REQUESTS = 30
SHORT_PAUSE_S = 0.5
LONG_PAUSE_S = 9.0
LONG_PAUSE_SHARE = 0.1
RESET_WINDOW = 76_800
"""A reset whose sequence number is further off is not one of the open flow."""
VANISH_SHARE = 0.15
LATE_COPY_SHARE = 0.05
MAX_LATE_S = 3.0


class _State(Enum):
    OPENING = auto()
    OPEN = auto()
    CLOSING = auto()
    ENDED = auto()


class CallerFlow(msgspec.Struct, eq=False):
    """A flow of a caller; times are in seconds, 0 if they have not come.

    ``sequence`` is that of the packet that awaits an answer, or of the next one. ``lost_at`` is
    when the server that held the flow ended, ``asked_at`` when the packet in question was sent.
    """

    key: bytes
    initial_sequence: int
    state: _State = _State.OPENING
    acknowledgement: int = 0
    sequence: int = 0
    requests_left: int = 0
    is_awaiting: bool = False
    asked_at: float = 0.0
    lost_at: float = 0.0


class FlowCallers:
    """The callers, each with one port.

    ``send`` passes a packet of a flow to a balancer. A request is given up after ``deadline_s``.
    """

    def __init__(
        self,
        scheduler: EventScheduler,
        random: Random,
        checks: FlowChecks,
        send: Callable[[bytes, bytes], None],
        deadline_s: float,
    ) -> None:
        self.outcomes = FlowOutcomes()
        self._scheduler = scheduler
        self._random = random
        self._checks = checks
        self._send = send
        self._deadline_s = deadline_s
        self._openings = 0
        self._flows_by_key: dict[bytes, CallerFlow] = {}

    def open_forever(self) -> None:
        """Open flows from ports that no caller uses."""
        port = FIRST_PORT + self._random.randrange(PORTS)
        key = CALLER + ROUTE + struct.pack("!HHB", port, ROUTE_PORT, ip.TCP)
        flow = self._flows_by_key.get(key)
        if flow is None or flow.state is _State.ENDED:
            self._open(key)
        self._scheduler.call_later(OPENING_INTERVAL_S, self.open_forever)

    def _open(self, key: bytes) -> None:
        self._openings += 1
        sequence = self._openings * SEQUENCES_PER_FLOW
        flow = CallerFlow(key, sequence, sequence=sequence + 1)
        flow.requests_left = self._random.randint(1, MAX_REQUESTS)
        self._flows_by_key[key] = flow
        self._send_opening(flow, 0)
        for number, delay_s in enumerate(COPY_TIMES_S, start=1):
            self._scheduler.call_later(delay_s, partial(self._repeat_opening, flow, number))
        self._scheduler.call_later(OPENING_TIMEOUT_S, lambda: self._give_up_opening(flow))

    def _send_opening(self, flow: CallerFlow, number: int) -> None:
        packet = build_tcp(flow.key, flow.initial_sequence, number, ip.SYN)
        if self._random.random() < LATE_COPY_SHARE:
            delay_s = self._random.uniform(0.0, MAX_LATE_S)
            self._scheduler.call_later(delay_s, lambda: self._send(flow.key, packet))
        else:
            self._send(flow.key, packet)

    def _repeat_opening(self, flow: CallerFlow, number: int) -> None:
        if flow.state is _State.OPENING:
            self._send_opening(flow, number)

    def _give_up_opening(self, flow: CallerFlow) -> None:
        if flow.state is _State.OPENING:
            self.outcomes.unopened += 1
            flow.state = _State.ENDED

    # Requests

    def _send_next(self, flow: CallerFlow) -> None:
        """Send the next request, close the flow, or vanish."""
        if flow.state is not _State.OPEN:
            return
        if not flow.requests_left:
            if self._random.random() < VANISH_SHARE:
                self._end(flow, LostFlowOutcome.UNUSED)
                return
            flow.state = _State.CLOSING
        flow.requests_left -= 1
        flow.is_awaiting = True
        flow.asked_at = self._scheduler.now
        self._transmit(flow, flow.sequence, 0)

    def _transmit(self, flow: CallerFlow, sequence: int, retries: int) -> None:
        """Send a packet until it is answered; the caller gives up at its deadline."""
        if flow.state is _State.ENDED or flow.sequence != sequence or not flow.is_awaiting:
            return
        waited_s = self._scheduler.now - flow.asked_at
        if waited_s >= self._deadline_s or retries > MAX_RETRIES:
            if not flow.lost_at:
                self.outcomes.unanswered += 1
            self._end(flow, LostFlowOutcome.UNANSWERED)
            return
        is_closing = flow.state is _State.CLOSING
        flags = ip.ACK | (ip.FIN if is_closing else 0)
        payload = b"" if is_closing else b"r"
        packet = build_tcp(flow.key, sequence, flow.acknowledgement, flags, payload)
        self._send(flow.key, packet)
        delay_s = min(MAX_RETRY_S, FIRST_RETRY_S * 2**retries)
        delay_s = min(delay_s, self._deadline_s - waited_s)
        self._scheduler.call_later(delay_s, lambda: self._transmit(flow, sequence, retries + 1))

    def _end(self, flow: CallerFlow, outcome: LostFlowOutcome) -> None:
        flow.state = _State.ENDED
        if not flow.lost_at:
            return
        waited_s = 0.0
        if flow.is_awaiting:
            waited_s = self._scheduler.now - max(flow.asked_at, flow.lost_at)
        self.outcomes.lost.append(LostFlow(outcome, waited_s))

    def on_lost(self, key: bytes, initial_sequence: int) -> None:
        """Record that the server that held a flow has ended."""
        flow = self._flows_by_key.get(key)
        if flow is None or flow.initial_sequence != initial_sequence:
            return
        if flow.state in (_State.OPEN, _State.CLOSING):
            flow.lost_at = self._scheduler.now

    # Packets of servers

    def on_packet(self, packet: bytes) -> None:
        """Take a packet of a server, or a reset."""
        reply_key = ip.parse_flow_key(packet)
        assert isinstance(reply_key, bytes), "the simulation sends only complete packets"
        flow = self._flows_by_key.get(ip.reverse_key(reply_key))
        if flow is None or flow.state is _State.ENDED:
            return
        flags = ip.tcp_flags(packet)
        if flags & ip.RST:
            self._on_reset(flow, packet)
        elif flags & ip.SYN:
            self._on_opened(flow, packet)
        elif ip.tcp_sequence(packet) == flow.acknowledgement and flow.is_awaiting:
            self._on_answer(flow, packet, flags)

    def _on_reset(self, flow: CallerFlow, packet: bytes) -> None:
        sequence, acknowledgement = ip.tcp_sequence(packet), acknowledgement_of(packet)
        # A server's reset acknowledges the number of its start, and has a sequence number. The
        # system's has no acknowledgement number, or, for an opening, no sequence number.
        writer = acknowledgement if ip.tcp_flags(packet) & ip.ACK and sequence else 0
        is_of_opening = not sequence and acknowledgement == flow.initial_sequence + 1
        is_of_flow = is_of_opening or abs(sequence - flow.acknowledgement) <= RESET_WINDOW
        if flow.state is not _State.OPENING and not is_of_flow:
            self.outcomes.outdated_resets += 1
            return
        self._checks.on_reset(flow.key, flow.initial_sequence, writer, self._scheduler.now)
        if flow.state is _State.OPENING:
            self.outcomes.unopened += 1
        self._end(flow, LostFlowOutcome.RESET)

    def _on_opened(self, flow: CallerFlow, packet: bytes) -> None:
        is_current = acknowledgement_of(packet) == flow.initial_sequence + 1
        if flow.state is not _State.OPENING or not is_current:
            return
        flow.state = _State.OPEN
        flow.acknowledgement = ip.tcp_sequence(packet) + 1
        self.outcomes.opened += 1
        self._send(flow.key, build_tcp(flow.key, flow.sequence, flow.acknowledgement, ip.ACK))
        self._pause(flow)

    def _on_answer(self, flow: CallerFlow, packet: bytes, flags: int) -> None:
        if acknowledgement_of(packet) != flow.sequence + 1:
            return
        if flow.state is _State.CLOSING:
            if flags & ip.FIN:
                flow.state = _State.ENDED
            return
        flow.is_awaiting = False
        flow.sequence += 1
        self.outcomes.answered += 1
        self._pause(flow)

    def _pause(self, flow: CallerFlow) -> None:
        is_long = self._random.random() < LONG_PAUSE_SHARE
        pause_s = self._random.uniform(0.0, LONG_PAUSE_S if is_long else SHORT_PAUSE_S)
        self._scheduler.call_later(pause_s, lambda: self._send_next(flow))
