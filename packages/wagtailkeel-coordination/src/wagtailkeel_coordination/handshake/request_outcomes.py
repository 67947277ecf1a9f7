"""Derives from the packets of an agent's server what becomes of its requests.

A flow is watched from its opening to the first byte of its first answer. Later data of the caller
may be copies of an answered request, sent because a link was cut, which a healthy server ignores or
resets. Answers are missing only if the server has shown itself alive since: times are measured up
to its last packet or report. So neither a cut link nor a stopped server makes requests count as
unanswered.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_coordination.handshake.outlier_detector import Outcome
from wagtailkeel_protocol import packet_format as packet_flags

if TYPE_CHECKING:
    from wagtailkeel_protocol.packet_format import PacketHeader

SILENCE_FACTOR = 4.0
"""A request counts as unanswered after this many times the usual response time of its route, if one
that was delivered later has been answered.
"""
MIN_SILENCE_S = 0.25
"""The least of these times; with 0.15 s, ``short-requests`` of the load model had late answers."""
STALL_FACTOR = 4.0
"""This many times longer if the server has answered no later request, since it may be slow."""
MIN_STALL_S = 1.0
UNKNOWN_SILENCE_S = 5.0
"""The limit for a route of which the server has answered no request yet."""
OPENING_SILENCE_S = 0.3
"""A server answers an opening without working on it."""
RETENTION_S = 30.0
"""Flows that wait for their caller, or for a late answer, are watched for this long."""
USUAL_DECAY = 0.1
"""The share of the difference by which a faster answer lowers the usual response time."""


class _Stage(Enum):
    """What the last packet of a watched flow was."""

    OPENING = "opening"
    OPEN = "open"
    REQUEST = "request"


class _WatchedFlow(msgspec.Struct):
    """A flow without an answer; ``is_counted`` once its opening or request was judged unanswered.

    ``since`` is when its stage began, in seconds.
    """

    route: bytes
    since: float
    stage: _Stage = _Stage.OPENING
    is_counted: bool = False

    def enter(self, stage: _Stage, now: float) -> None:
        """Begin the next stage."""
        self.stage = stage
        self.since = now
        self.is_counted = False


class RequestOutcomes:
    """The flows of a server without an answer, by flow key; times are in seconds."""

    def __init__(self) -> None:
        self._flows_by_key: dict[bytes, _WatchedFlow] = {}
        self._usual_s_by_route: dict[bytes, float] = {}
        # When the newest of the answered requests was delivered.
        self._newest_answered_since = float("-inf")

    def is_awaited(self, key: bytes) -> bool:
        """Return whether the server has an opening or a request of a flow to answer."""
        flow = self._flows_by_key.get(key)
        return flow is not None and flow.stage is not _Stage.OPEN

    def add_opening(self, key: bytes, route: bytes, now: float) -> None:
        """Watch an opening that is being delivered."""
        self._flows_by_key[key] = _WatchedFlow(route, now)

    def on_request(self, key: bytes, now: float) -> None:
        """Watch a flow's first request, from its first packet on."""
        flow = self._flows_by_key.get(key)
        if flow is not None and flow.stage is not _Stage.REQUEST:
            flow.enter(_Stage.REQUEST, now)

    def remove(self, key: bytes) -> None:
        """Stop watching a flow that its caller has reset, or that the server has returned."""
        self._flows_by_key.pop(key, None)

    def forget_flows(self) -> None:
        """Stop watching all flows, since what happens to them says nothing about the server."""
        self._flows_by_key.clear()

    def on_outbound(self, header: PacketHeader, now: float) -> Outcome | None:
        """Return what a packet of the server means for its flow's request or opening."""
        flow = self._flows_by_key.get(header.key)
        if flow is None:
            return None
        if header.flags & packet_flags.RESET:
            del self._flows_by_key[header.key]
            is_failure = flow.stage is _Stage.REQUEST and not flow.is_counted
            return Outcome.RESET if is_failure else None
        was_counted = flow.is_counted
        if header.payload_bytes:
            del self._flows_by_key[header.key]
            if flow.stage is not _Stage.REQUEST:
                return None
            self._record_response(flow, now)
            return Outcome.LATE_ANSWER if was_counted else Outcome.ANSWERED
        if header.flags & packet_flags.FIN:
            del self._flows_by_key[header.key]
        elif flow.stage is _Stage.OPENING:
            flow.enter(_Stage.OPEN, now)
            return Outcome.LATE_ANSWER if was_counted else None
        return None

    def _record_response(self, flow: _WatchedFlow, now: float) -> None:
        """Update the usual response time: it rises to a slow one at once and declines slowly.

        This is the peak-sensitive moving average of Finagle's load balancer ("Peak EWMA"). It lets
        the limit follow a server that becomes slow.
        """
        response_s = now - flow.since
        usual_s = self._usual_s_by_route.get(flow.route, response_s)
        declined_s = usual_s + USUAL_DECAY * (response_s - usual_s)
        self._usual_s_by_route[flow.route] = max(response_s, declined_s)
        self._newest_answered_since = max(self._newest_answered_since, flow.since)

    def judge(self, heard_at: float, *, is_on_trial: bool) -> dict[bytes, Outcome]:
        """Return the flows whose answer is missing for too long, each only once.

        ``heard_at`` is when the server last sent a packet or a report. On trial, the server has
        few other requests, so none has to be answered before.
        """
        outcomes: dict[bytes, Outcome] = {}
        for key, flow in list(self._flows_by_key.items()):
            waited_s = heard_at - flow.since
            if flow.is_counted or flow.stage is _Stage.OPEN:
                if waited_s > RETENTION_S:
                    del self._flows_by_key[key]
            elif waited_s > self._find_limit_s(flow, is_on_trial=is_on_trial):
                flow.is_counted = True
                outcomes[key] = Outcome.UNOPENED if flow.stage is _Stage.OPENING else Outcome.SILENT
        return outcomes

    def _find_limit_s(self, flow: _WatchedFlow, *, is_on_trial: bool) -> float:
        if flow.stage is _Stage.OPENING:
            return OPENING_SILENCE_S
        usual_s = self._usual_s_by_route.get(flow.route)
        if usual_s is None:
            return UNKNOWN_SILENCE_S
        silence_s = max(MIN_SILENCE_S, SILENCE_FACTOR * usual_s)
        if is_on_trial or flow.since < self._newest_answered_since:
            return silence_s
        return max(MIN_STALL_S, STALL_FACTOR * silence_s)
