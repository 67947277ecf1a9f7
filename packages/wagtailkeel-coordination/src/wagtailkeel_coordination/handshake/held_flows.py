"""Tracks the flows of the agent's backend server and derives the server's load from them."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_coordination.handshake.forgotten_flows import MIN_RETENTION_S
from wagtailkeel_coordination.handshake.forgotten_flows import ForgottenFlows
from wagtailkeel_protocol import packet_format as packet_flags

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtailkeel_coordination.handshake.route_times import RouteTimes
    from wagtailkeel_protocol.packet_format import PacketHeader

Address = tuple[str, int]

CLOSED_LINGER_S = 3.0
"""Late packets of a closed flow are still delivered to its server, which answers them."""
ANSWER_TIMEOUT_S = 5.0
SWEEP_INTERVAL_S = 1.0
SMOOTHING_FACTOR = 0.1
FIRST_REQUEST_TIMEOUT_S = 0.1
"""A new flow counts as a request for this long, while the caller completes the handshake."""


class HeldFlow(msgspec.Struct):
    """A flow of the backend server; times are in seconds.

    ``opened_at`` is when the agent began to track it, and ``initial_sequence`` the sequence number
    of its opening, None if the agent has not seen that. ``owner`` is the agent that sent the flow's
    last packet here, ``awaiting_since`` the time of a request without an answer (0 for none).
    ``is_established`` is set once the server has sent more than the answer to the opening, so the
    caller has chosen this server. ``has_free_slot`` is set if the server had a slot free for that
    request, so that its response time is the server's work alone. ``started_at`` is when the server
    began to work on that request, as far as the agent can tell; 0 before, or if this is not
    measured. ``finished_ends`` has a bit for each end that has closed the flow; ``closed_at`` is 0
    until the flow is closed. ``is_used`` is set once a packet after the opening was delivered, and
    ``is_presumed`` while the server has only failed to return a packet of the flow.
    """

    key: bytes
    owner: Address
    opened_at: float
    last_seen_at: float
    initial_sequence: int | None = None
    has_reply: bool = False
    is_established: bool = False
    awaiting_since: float = 0.0
    has_free_slot: bool = False
    started_at: float = 0.0
    finished_ends: int = 0
    closed_at: float = 0.0
    is_used: bool = False
    is_presumed: bool = False


_CALLER_FINISHED = 1
_SERVER_FINISHED = 2


class HeldFlows:
    """Keeps the state of the backend server's flows, updated with each of their packets.

    ``service_s`` is the smoothed response time of requests that found a slot free; 0 if unknown.
    With ``route_times`` it is their average instead. They also include requests that waited, from
    the end of the request on whose slot they waited. A request that a full server sheds is answered
    while it waits, so it never counts. ``forgotten`` are flows that are not tracked any more.
    """

    def __init__(
        self, record_response: Callable[[float], None], route_times: RouteTimes | None = None
    ) -> None:
        self.by_key: dict[bytes, HeldFlow] = {}
        self.forgotten = ForgottenFlows()
        self.idle_limit_s = MIN_RETENTION_S
        self.slots = 1
        self.service_s = 0.0
        self._awaiting_by_key: dict[bytes, HeldFlow] = {}
        self._opened_at_by_key: dict[bytes, float] = {}
        self._record_response = record_response
        self._route_times = route_times
        self._waiting: deque[HeldFlow] = deque()
        self._closed_count = 0
        self._swept_at = float("-inf")

    def set_idle_limit(self, limit_s: float) -> None:
        """Set the time in seconds after which a flow without packets expires."""
        self.idle_limit_s = limit_s
        self.forgotten.retention_s = max(limit_s, MIN_RETENTION_S)

    @property
    def in_flight(self) -> int:
        """The number of flows with a request that the server has not answered."""
        return len(self._awaiting_by_key)

    @property
    def open_count(self) -> int:
        """The number of flows that are not closed."""
        return len(self.by_key) - self._closed_count

    def count_expected_requests(self, now: float) -> int:
        """Return the number of requests in flight plus that of expected first requests."""
        opened = self._opened_at_by_key
        while opened and now - opened[oldest := next(iter(opened))] > FIRST_REQUEST_TIMEOUT_S:
            del opened[oldest]
        return self.in_flight + len(opened)

    def open(
        self, key: bytes, owner: Address, now: float, initial_sequence: int | None = None
    ) -> HeldFlow:
        """Start to track a flow."""
        flow = HeldFlow(key, owner, now, now, initial_sequence)
        self.by_key[key] = flow
        return flow

    def expect_request(self, flow: HeldFlow, now: float) -> None:
        """Count a flow whose opening is being delivered as an expected request."""
        self._opened_at_by_key[flow.key] = now

    def remove(self, flow: HeldFlow, now: float) -> None:
        """Stop tracking a flow, which the server may still hold.

        This is so even if it has returned a packet of the flow: that may have been a late one of an
        earlier flow, and the next one may have completed the handshake.
        """
        self.forgotten.add(flow.key, now)
        if self.by_key.pop(flow.key, None) is not None and flow.closed_at:
            self._closed_count -= 1
        self._awaiting_by_key.pop(flow.key, None)
        self._opened_at_by_key.pop(flow.key, None)

    def clear(self, now: float) -> None:
        """Stop tracking all flows, since another incarnation of the server runs.

        It may hold some of them, which were opened before its first report.
        """
        for key in self.by_key:
            self.forgotten.add(key, now)
        self._clear()

    def on_server_ended(self) -> None:
        """Stop tracking all flows, since the server process that held them has ended."""
        self._clear()
        self.forgotten.clear()

    def _clear(self) -> None:
        self.by_key.clear()
        self._awaiting_by_key.clear()
        self._opened_at_by_key.clear()
        self._waiting.clear()
        self._closed_count = 0
        if self._route_times is not None:
            self._route_times.clear()

    def on_inbound(self, flow: HeldFlow, header: PacketHeader, now: float) -> None:
        """Update a flow for a packet that is about to be delivered to the server."""
        flow.last_seen_at = now
        flow.is_used = flow.is_used or not header.is_opening
        if header.payload_bytes and not flow.awaiting_since:
            flow.awaiting_since = now
            flow.has_free_slot = len(self._awaiting_by_key) < self.slots
            self._awaiting_by_key[flow.key] = flow
            self._opened_at_by_key.pop(flow.key, None)
            self._start_or_wait(flow, now)
        if header.flags & (packet_flags.FIN | packet_flags.RESET):
            self._record_close(flow, header, _CALLER_FINISHED, now)

    def on_outbound(self, flow: HeldFlow, header: PacketHeader, now: float) -> None:
        """Update a flow for a packet that the server has sent."""
        flow.last_seen_at = now
        flow.has_reply = True
        flow.is_presumed = False
        if not header.flags & (packet_flags.OPENING | packet_flags.RESET):
            flow.is_established = True
        if header.payload_bytes and flow.awaiting_since:
            self._record_answer(flow, now)
        if header.flags & (packet_flags.FIN | packet_flags.RESET):
            self._record_close(flow, header, _SERVER_FINISHED, now)

    def _record_close(self, flow: HeldFlow, header: PacketHeader, end: int, now: float) -> None:
        flow.finished_ends |= end
        if (
            header.flags & packet_flags.RESET
            or flow.finished_ends == _CALLER_FINISHED | _SERVER_FINISHED
        ):
            self._closed_count += not flow.closed_at
            flow.closed_at = flow.closed_at or now
            self._clear_awaiting(flow, now)

    def _record_answer(self, flow: HeldFlow, now: float) -> None:
        response_s = now - flow.awaiting_since
        self._record_response(response_s)
        if self._route_times is not None:
            if flow.started_at:
                self._route_times.record(flow.key, now - flow.started_at)
                self.service_s = self._route_times.mean_s
        elif flow.has_free_slot:
            self.service_s = _smooth(self.service_s, response_s)
        self._clear_awaiting(flow, now)

    def _clear_awaiting(self, flow: HeldFlow, now: float) -> None:
        flow.awaiting_since = 0.0
        self._awaiting_by_key.pop(flow.key, None)
        if flow.started_at:
            flow.started_at = 0.0
            self._start_next(now)

    def _start_or_wait(self, flow: HeldFlow, now: float) -> None:
        if self._route_times is None:
            return
        if flow.has_free_slot:
            flow.started_at = now
        else:
            self._waiting.append(flow)

    def _start_next(self, now: float) -> None:
        """Record that the oldest waiting request gets the slot of a finished one."""
        while self._waiting:
            flow = self._waiting.popleft()
            if flow.awaiting_since and not flow.started_at:
                flow.started_at = now
                return

    def sweep(self, now: float) -> None:
        """Remove closed and idle flows, and stop waiting for overdue answers."""
        if now - self._swept_at < SWEEP_INTERVAL_S:
            return
        self._swept_at = now
        for flow in list(self._awaiting_by_key.values()):
            if now - flow.awaiting_since > ANSWER_TIMEOUT_S:
                self._clear_awaiting(flow, now)
        for flow in [f for f in self.by_key.values() if self._is_expired(f, now)]:
            self.remove(flow, now)

    def _is_expired(self, flow: HeldFlow, now: float) -> bool:
        if flow.closed_at and now - flow.closed_at > CLOSED_LINGER_S:
            return True
        return now - flow.last_seen_at > self.idle_limit_s


def _smooth(average: float, value: float) -> float:
    return average + SMOOTHING_FACTOR * (value - average) if average else value
