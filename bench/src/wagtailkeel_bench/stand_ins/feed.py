"""The caller's side of a long flow: opened once, kept alive, never reopened when it breaks."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING

from wagtailkeel_bench.stand_ins.payload import AnswerPayload
from wagtailkeel_bench.stand_ins.payload import RequestPayload
from wagtailkeel_bench.stand_ins.payload import decode_payload
from wagtailkeel_bench.stand_ins.payload import encode_payload
from wagtailkeel_protocol import packet as ip
from wagtailkeel_protocol.packet_builder import build_tcp

if TYPE_CHECKING:
    from wagtailkeel_bench.stand_ins.caller_host import CallerHost

RESEND_INTERVAL_S = 0.25
OPEN_TIMEOUT_S = 15.0
ANSWER_TIMEOUT_S = 10.0


class FeedState(Enum):
    """State of a feed; all states except OPENING and OPEN are final."""

    OPENING = "opening"
    OPEN = "open"
    RESET = "reset"
    TIMED_OUT = "timed_out"
    NEVER_OPENED = "never_opened"


class Feed:
    """One flow of TCP packets with fixed sequence numbers and a keep-alive request per interval."""

    def __init__(
        self, callers: CallerHost, endpoint: str, interval_s: float, phase_s: float
    ) -> None:
        self.state = FeedState.OPENING
        self.server_id = ""
        self.worst_gap_s = 0.0
        self.ended_at = 0.0
        self.refusals = 0
        self.last_answer_at = 0.0
        self._callers = callers
        self._endpoint = endpoint
        self._interval_s = interval_s
        self._phase_s = phase_s
        self._key = callers.new_key(endpoint, self.on_packet)
        self._request_id = 0
        self._requested_at = 0.0
        self._opening_since = self._now

    @property
    def key(self) -> bytes:
        """Current key of the flow; a refused opening is retried with a new key."""
        return self._key

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def open(self) -> None:
        """Send a SYN every RESEND_INTERVAL_S until it is answered; give up after OPEN_TIMEOUT_S."""
        if self.state is not FeedState.OPENING:
            return
        if self._now - self._opening_since > OPEN_TIMEOUT_S:
            self._end(FeedState.NEVER_OPENED)
            return
        self._send(ip.SYN)
        asyncio.get_running_loop().call_later(RESEND_INTERVAL_S, self.open)

    def on_packet(self, packet: bytes) -> None:
        """Process a packet from the server."""
        flags = ip.tcp_flags(packet)
        if flags & ip.RST:
            self._on_reset()
        elif flags & ip.SYN and self.state is FeedState.OPENING:
            self.state = FeedState.OPEN
            self._send(ip.ACK)
            asyncio.get_running_loop().call_later(self._phase_s, self._send_request)
        else:
            self._on_answer(ip.payload_of(packet))

    def _on_reset(self) -> None:
        """End an open feed; give a refused opening a new key, which the next SYN uses."""
        if self.state is FeedState.OPENING:
            self.refusals += 1
            self._callers.remove_key(self._key)
            self._key = self._callers.new_key(self._endpoint, self.on_packet)
        elif self.state is FeedState.OPEN:
            self._end(FeedState.RESET)

    def _send_request(self) -> None:
        if self.state is not FeedState.OPEN:
            return
        self._request_id = self._callers.new_request_id()
        self._requested_at = self._now
        self._resend_request(self._request_id)
        asyncio.get_running_loop().call_later(self._interval_s, self._send_next_request)

    def _send_next_request(self) -> None:
        if self._requested_at:
            # The previous request is unanswered and is still being resent.
            asyncio.get_running_loop().call_later(RESEND_INTERVAL_S, self._send_next_request)
            return
        self._send_request()

    def _resend_request(self, request_id: int) -> None:
        if self.state is not FeedState.OPEN or not self._requested_at:
            return
        if request_id != self._request_id:
            return
        if self._now - self._requested_at > ANSWER_TIMEOUT_S:
            self._end(FeedState.TIMED_OUT)
            return
        body = encode_payload(RequestPayload(request_id, 0.0, 1, True))
        self._send(ip.PSH | ip.ACK, body)
        asyncio.get_running_loop().call_later(RESEND_INTERVAL_S, self._resend_request, request_id)

    def _on_answer(self, body: bytes) -> None:
        answer = decode_payload(body) if body else None
        if not isinstance(answer, AnswerPayload) or answer.request_id != self._request_id:
            return
        if self.server_id and answer.server_id != self.server_id:
            self._callers.counters["wrong_answers"] += 1
        self.server_id = answer.server_id
        self._callers.check_service(self._key, answer)
        if self._requested_at:
            self.worst_gap_s = max(self.worst_gap_s, self._now - self._requested_at)
            self._requested_at = 0.0
            self.last_answer_at = self._now

    def _end(self, state: FeedState) -> None:
        self.state = state
        self.ended_at = self._now
        self._callers.remove_key(self._key)

    def _send(self, flags: int, body: bytes = b"") -> None:
        self._callers.send(build_tcp(self._key, 1, 1, flags, body))
