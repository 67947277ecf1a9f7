"""A simulated backend server with slots, a queue, a cold start and connections.

It remembers the requests that it has accepted, so that a resent request does not run twice.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections import deque
from random import Random
from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_bench.flow_records import FlowRecord
from wagtailkeel_bench.flow_records import RecordKind
from wagtailkeel_bench.stand_ins.payload import AnswerPayload
from wagtailkeel_bench.stand_ins.payload import RequestPayload
from wagtailkeel_bench.stand_ins.payload import decode_payload
from wagtailkeel_bench.stand_ins.payload import encode_payload
from wagtailkeel_bench.stand_ins.udp_port import Address
from wagtailkeel_bench.stand_ins.udp_port import UdpPort
from wagtailkeel_protocol import packet as ip
from wagtailkeel_protocol.malformed import Malformed
from wagtailkeel_protocol.packet_builder import build_reset
from wagtailkeel_protocol.packet_builder import build_tcp
from wagtailkeel_protocol.packet_builder import build_udp

if TYPE_CHECKING:
    from wagtailkeel_bench.stand_ins.delivery_checker import DeliveryChecker
    from wagtailkeel_bench.stand_ins.server_plan import ServerPlan

COLD_SLOWDOWN_FACTOR = 4.0
WARM_UP_REQUESTS = 40
COLD_MAX_CONCURRENCY = 2
MAX_CONCURRENCY_PER_SLOT = 8
OVERLOAD_TOLERANCE_S = 1.0
OUTAGE_S = 3.0
SERVICE_TIME_JITTER = 0.1
MAX_REMEMBERED_REQUESTS = 20_000


class AcceptedRequest(msgspec.Struct):
    """A request that occupies a slot or waits in the queue."""

    key: bytes
    request: RequestPayload


class BackendServer:
    """Receives packets from its agent and sends its answers through the agent."""

    def __init__(self, plan: ServerPlan, checker: DeliveryChecker, random: Random) -> None:
        self.plan = plan
        self.counters: Counter[str] = Counter()
        self.busy_s = 0.0
        self.max_load_ratio = 0.0
        self._checker = checker
        self._random = random
        self._port = UdpPort(plan.address, self._on_packet)
        self.flow_records: list[FlowRecord] = []
        self._connections: set[bytes] = set()
        self._silent_keys: set[bytes] = set()
        self._is_answered_by_request: dict[tuple[bytes, int], bool] = {}
        self._queue: deque[AcceptedRequest] = deque()
        self._busy_slots = 0
        self._requests_since_cold = 0
        self._overloaded_since = 0.0
        self._failed_until = 0.0
        self._is_down = False

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    @property
    def _is_cold(self) -> bool:
        return self._requests_since_cold < WARM_UP_REQUESTS

    @property
    def max_concurrency(self) -> int:
        """Number of concurrent requests that the server can handle now; it grows during warm-up."""
        full_concurrency = self.plan.slots * MAX_CONCURRENCY_PER_SLOT
        return (
            COLD_MAX_CONCURRENCY
            + (full_concurrency - COLD_MAX_CONCURRENCY)
            * min(self._requests_since_cold, WARM_UP_REQUESTS)
            // WARM_UP_REQUESTS
        )

    def turn_cold(self) -> None:
        """Make the server cold while it runs; its agent is not notified."""
        self._requests_since_cold = 0

    def set_down(self, is_down: bool) -> None:
        """Stop or start the server; it starts cold and without connections."""
        self._is_down = is_down
        self._connections.clear()
        self._record(RecordKind.ENDED)
        self._is_answered_by_request.clear()
        self._queue.clear()
        self._busy_slots = 0
        self._requests_since_cold = 0

    def silence(self, count: int) -> list[str]:
        """Permanently stop answering up to ``count`` connections; return their keys as hex text."""
        chosen_keys = sorted(self._connections)[:count]
        self._silent_keys.update(chosen_keys)
        return [key.hex() for key in chosen_keys]

    def _on_packet(self, packet: bytes, sender: Address) -> None:
        if self._is_down or self._now < self._failed_until:
            return
        key = ip.parse_flow_key(packet)
        if isinstance(key, Malformed):
            return
        self.counters["packets"] += 1
        self._checker.check_arrival(self.plan, key)
        if key in self._silent_keys:
            return
        if key[-1] == ip.TCP:
            self._on_tcp(packet, key)
            return
        request = decode_payload(ip.payload_of(packet))
        if isinstance(request, RequestPayload):
            self._on_request(key, request)

    def _on_tcp(self, packet: bytes, key: bytes) -> None:
        flags = ip.tcp_flags(packet)
        if flags & ip.RST:
            self._close(key)
            return
        if flags & ip.SYN:
            if key not in self._connections:
                self._connections.add(key)
                self._record(RecordKind.OPENED, key)
            self._send_tcp(key, ip.SYN | ip.ACK)
            return
        if key not in self._connections:
            self.counters["resets"] += 1
            self._send(build_reset(packet))
            return
        if flags & ip.FIN:
            self._close(key)
            self._send_tcp(key, ip.FIN | ip.ACK)
            return
        body = ip.payload_of(packet)
        if not body:
            # A probe expects an acknowledgement; answering an ordinary ACK too is harmless.
            self._send_tcp(key, ip.ACK)
            return
        request = decode_payload(body)
        if isinstance(request, RequestPayload):
            self._on_request(key, request)

    def _close(self, key: bytes) -> None:
        if key in self._connections:
            self._connections.discard(key)
            self._record(RecordKind.CLOSED, key)

    def _record(self, kind: RecordKind, key: bytes = b"") -> None:
        self.flow_records.append(FlowRecord(time.monotonic(), kind, self.plan.server_id, key.hex()))

    def _on_request(self, key: bytes, request: RequestPayload) -> None:
        is_answered = self._is_answered_by_request.get((key, request.request_id))
        if is_answered is not None:
            if is_answered:
                self._send_answer(key, request)
            return
        while len(self._is_answered_by_request) > MAX_REMEMBERED_REQUESTS:
            del self._is_answered_by_request[next(iter(self._is_answered_by_request))]
        if request.work_ms <= 0:
            self._is_answered_by_request[(key, request.request_id)] = True
            self._send_answer(key, request)
            return
        self._is_answered_by_request[(key, request.request_id)] = False
        self._checker.record_run(request, self.plan.server_id)
        self._queue.append(AcceptedRequest(key, request))
        self._check_load()
        self._start_queued_requests()

    def _check_load(self) -> None:
        """Count an overload; let the server fail after OVERLOAD_TOLERANCE_S of continuous overload.

        A failed server drops its queue and ignores all packets for OUTAGE_S.
        """
        load = self._busy_slots + len(self._queue)
        self.max_load_ratio = max(self.max_load_ratio, load / self.max_concurrency)
        if load <= self.max_concurrency:
            self._overloaded_since = 0.0
            return
        self.counters["overloads"] += 1
        if self._overloaded_since == 0.0:
            self._overloaded_since = self._now
        elif self._now - self._overloaded_since > OVERLOAD_TOLERANCE_S:
            self.counters["falls"] += 1
            self._failed_until = self._now + OUTAGE_S
            self._overloaded_since = 0.0
            self._queue.clear()

    def _start_queued_requests(self) -> None:
        while self._queue and self._busy_slots < self.plan.slots:
            accepted = self._queue.popleft()
            self._busy_slots += 1
            slowdown = COLD_SLOWDOWN_FACTOR if self._is_cold else 1.0
            jitter = self._random.uniform(1 - SERVICE_TIME_JITTER, 1 + SERVICE_TIME_JITTER)
            duration_s = accepted.request.work_ms / 1_000 / self.plan.speed * slowdown * jitter
            asyncio.get_running_loop().call_later(duration_s, self._finish_request, accepted)

    def _finish_request(self, accepted: AcceptedRequest) -> None:
        if self._is_down:
            return
        self._busy_slots = max(0, self._busy_slots - 1)
        self.busy_s += accepted.request.work_ms / 1_000 / self.plan.speed
        self._requests_since_cold += 1
        self.counters["served"] += 1
        if (accepted.key, accepted.request.request_id) in self._is_answered_by_request:
            self._is_answered_by_request[(accepted.key, accepted.request.request_id)] = True
        self._send_answer(accepted.key, accepted.request)
        self._check_load()
        self._start_queued_requests()

    def _send_answer(self, key: bytes, request: RequestPayload) -> None:
        for part in range(request.parts):
            body = encode_payload(
                AnswerPayload(
                    request.request_id,
                    part,
                    request.parts,
                    self.plan.server_id,
                    self.plan.service,
                )
            )
            if key[-1] == ip.TCP:
                self._send_tcp(key, ip.PSH | ip.ACK, body)
            else:
                self._send(build_udp(ip.reverse_key(key), body))

    def _send_tcp(self, key: bytes, flags: int, body: bytes = b"") -> None:
        self._send(build_tcp(ip.reverse_key(key), 1, 1, flags, body))

    def _send(self, packet: bytes) -> None:
        self._port.send(packet, self.plan.agent)
