"""The caller's side of a short request over UDP."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from wagtailkeel_bench.stand_ins.payload import AnswerPayload
from wagtailkeel_bench.stand_ins.payload import RequestPayload
from wagtailkeel_bench.stand_ins.payload import decode_payload
from wagtailkeel_bench.stand_ins.payload import encode_payload
from wagtailkeel_bench.stand_ins.request_result import RequestOutcome
from wagtailkeel_bench.stand_ins.request_result import RequestResult
from wagtailkeel_protocol import packet as ip
from wagtailkeel_protocol.packet_builder import build_udp

if TYPE_CHECKING:
    from wagtailkeel_bench.stand_ins.caller_host import CallerHost

FIRST_RESEND_DELAY_S = 0.4
RESEND_BACKOFF_FACTOR = 2.0
REQUEST_TIMEOUT_S = 6.0


class Request:
    """Resends a request until it is refused, has timed out or has all parts of its answer."""

    def __init__(
        self, callers: CallerHost, endpoint: str, work_ms: float, parts: int, is_idempotent: bool
    ) -> None:
        self.outcome = RequestOutcome.PENDING
        self.request_id = callers.new_request_id()
        self.is_idempotent = is_idempotent
        self.server_id = ""
        self.started_at = asyncio.get_running_loop().time()
        self._callers = callers
        self._key = callers.new_key(endpoint, self.on_packet)
        self._received_parts: set[int] = set()
        self._packet = build_udp(
            self._key,
            encode_payload(RequestPayload(self.request_id, work_ms, parts, is_idempotent)),
        )

    def start(self) -> None:
        """Send the first packet and schedule resends with exponential backoff."""
        self._send(FIRST_RESEND_DELAY_S)

    def _send(self, wait_s: float) -> None:
        if self.outcome is not RequestOutcome.PENDING:
            return
        loop = asyncio.get_running_loop()
        if loop.time() - self.started_at > REQUEST_TIMEOUT_S:
            self._end(RequestOutcome.UNANSWERED)
            return
        self._callers.send(self._packet)
        loop.call_later(wait_s, self._send, wait_s * RESEND_BACKOFF_FACTOR)

    def on_packet(self, packet: bytes) -> None:
        """Process a part of the answer or an ICMP refusal."""
        if packet[9] == ip.ICMP:
            self._end(RequestOutcome.REFUSED)
            return
        answer = decode_payload(ip.payload_of(packet))
        if not isinstance(answer, AnswerPayload) or answer.request_id != self.request_id:
            self._callers.counters["wrong_answers"] += 1
            return
        self.server_id = answer.server_id
        self._callers.check_service(self._key, answer)
        self._received_parts.add(answer.part)
        if len(self._received_parts) == answer.parts:
            self._end(RequestOutcome.ANSWERED)

    def _end(self, outcome: RequestOutcome) -> None:
        if self.outcome is not RequestOutcome.PENDING:
            return
        self.outcome = outcome
        response_s = asyncio.get_running_loop().time() - self.started_at
        result = RequestResult(self.request_id, outcome, self.started_at, response_s)
        self._callers.on_request_end(result, self._key)
