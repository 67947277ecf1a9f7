"""Derives from the packets of an agent's server what becomes of its requests.

A flow is watched from its opening to the first byte of an answer. Answers are missing only if the
server has shown itself alive since: times are measured up to its last packet or report. So neither
a cut link nor a stopped server makes requests count as unanswered.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_coordination.handshake.outlier_detector import Outcome
from wagtailkeel_protocol import packet_format as packet_flags

if TYPE_CHECKING:
    from wagtailkeel_protocol.packet_format import PacketHeader

MIN_SILENCE_S = 0.25
SILENCE_FACTOR = 4.0
"""A request that later ones have overtaken counts as unanswered after this many times the usual
response time of its route.
"""
STALL_FACTOR = 4.0
"""This many times longer if the server has answered no later request, since it may be slow."""
MIN_STALL_S = 1.0
UNKNOWN_SILENCE_S = 5.0
"""The limit for a route of which the server has answered no request yet."""
OPENING_SILENCE_S = 0.3
"""A server answers an opening without working on it."""
LATE_ANSWER_LIMIT_S = 30.0
USUAL_DECAY = 0.1


class _Pending(msgspec.Struct):
    """An opening or a request without an answer; ``is_counted`` once it was judged unanswered."""

    route: bytes
    since: float
    is_opening: bool
    is_counted: bool = False


class RequestOutcomes:
    """The unanswered openings and requests of a server, by flow key; times are in seconds."""

    def __init__(self) -> None:
        self._pending_by_key: dict[bytes, _Pending] = {}
        self._usual_s_by_route: dict[bytes, float] = {}
        self._last_answered_since = float("-inf")

    def __contains__(self, key: bytes) -> bool:
        return key in self._pending_by_key

    def add_opening(self, key: bytes, route: bytes, now: float) -> None:
        """Watch an opening that is being delivered."""
        self._pending_by_key[key] = _Pending(route, now, is_opening=True)

    def add_request(self, key: bytes, route: bytes, now: float) -> None:
        """Watch a flow's request, from its first packet on."""
        pending = self._pending_by_key.get(key)
        if pending is None or pending.is_opening:
            self._pending_by_key[key] = _Pending(route, now, is_opening=False)

    def remove(self, key: bytes) -> None:
        """Stop to watch a flow that its caller has reset, or that the server has returned."""
        self._pending_by_key.pop(key, None)

    def forget_pending(self) -> None:
        """Stop to watch all flows, since what happens to them says nothing about the server."""
        self._pending_by_key.clear()

    def on_outbound(self, header: PacketHeader, now: float) -> Outcome | None:
        """Return what a packet of the server means for its flow's request or opening."""
        pending = self._pending_by_key.get(header.key)
        if pending is None:
            return None
        if header.flags & packet_flags.RESET:
            del self._pending_by_key[header.key]
            is_failure = not pending.is_opening and not pending.is_counted
            return Outcome.RESET if is_failure else None
        if not pending.is_opening and not header.payload_bytes:
            if header.flags & packet_flags.FIN:
                del self._pending_by_key[header.key]
            return None
        del self._pending_by_key[header.key]
        if not pending.is_opening:
            self._record_response(pending, now)
        if pending.is_counted:
            return Outcome.LATE_ANSWER
        return None if pending.is_opening else Outcome.ANSWERED

    def _record_response(self, pending: _Pending, now: float) -> None:
        """Update the usual response time: it rises to a slow one at once and declines slowly.

        This is the peak-sensitive moving average of Finagle's load balancer ("Peak EWMA"). It lets
        the limit follow a server that becomes slow.
        """
        response_s = now - pending.since
        usual_s = self._usual_s_by_route.get(pending.route, response_s)
        declined_s = usual_s + USUAL_DECAY * (response_s - usual_s)
        self._usual_s_by_route[pending.route] = max(response_s, declined_s)
        self._last_answered_since = max(self._last_answered_since, pending.since)

    def judge(self, heard_at: float, *, is_on_trial: bool) -> dict[bytes, Outcome]:
        """Return the flows whose answer is missing for too long, each only once.

        ``heard_at`` is when the server last sent a packet or a report. On trial, the server has
        few other requests, so none has to be answered before.
        """
        outcomes: dict[bytes, Outcome] = {}
        for key, pending in list(self._pending_by_key.items()):
            waited_s = heard_at - pending.since
            if pending.is_counted:
                if waited_s > LATE_ANSWER_LIMIT_S:
                    del self._pending_by_key[key]
            elif waited_s > self._find_limit_s(pending, is_on_trial=is_on_trial):
                pending.is_counted = True
                outcomes[key] = Outcome.UNOPENED if pending.is_opening else Outcome.SILENT
        return outcomes

    def _find_limit_s(self, pending: _Pending, *, is_on_trial: bool) -> float:
        if pending.is_opening:
            return OPENING_SILENCE_S
        usual_s = self._usual_s_by_route.get(pending.route)
        if usual_s is None:
            return UNKNOWN_SILENCE_S
        silence_s = max(MIN_SILENCE_S, SILENCE_FACTOR * usual_s)
        if is_on_trial or pending.since < self._last_answered_since:
            return silence_s
        return max(MIN_STALL_S, STALL_FACTOR * silence_s)
