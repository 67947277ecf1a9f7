"""A backend server stand-in: slots, a queue, cold start, connections, and a memory of runs."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections import deque
from random import Random
from typing import TYPE_CHECKING

import msgspec

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
    from wagtailkeel_bench.stand_ins.run_ledger import RunLedger

COLD_FACTOR = 4.0
WARM_UP_REQUESTS = 40
COLD_BEARABLE = 2
BEARABLE_PER_SLOT = 8
OVERLOAD_LIMIT_S = 1.0
FALLEN_S = 3.0
SERVICE_JITTER = 0.1
ANSWER_MEMORY = 20_000


class ServerPlan(msgspec.Struct):
    """What one server is and where it listens."""

    server_id: str
    service: str
    data_centre: str
    slots: int
    speed: float
    address: Address
    agent: Address


class Work(msgspec.Struct):
    """A request in a slot or in the queue."""

    key: bytes
    request: RequestPayload


class BackendServer:
    """Takes packets of its agent, answers over its agent."""

    def __init__(self, plan: ServerPlan, ledger: RunLedger, random: Random) -> None:
        self.plan = plan
        self.counters: Counter[str] = Counter()
        self.busy_s = 0.0
        self.max_load_over_bearable = 0.0
        self._ledger = ledger
        self._random = random
        self._port = UdpPort(plan.address, self._on_packet)
        self._connections: set[bytes] = set()
        self._silent: set[bytes] = set()
        self._done: dict[tuple[bytes, int], bool] = {}
        self._queue: deque[Work] = deque()
        self._busy = 0
        self._warmth = 0
        self._overloaded_since = 0.0
        self._fallen_until = 0.0
        self._is_down = False

    @property
    def connection_count(self) -> int:
        """Open connections."""
        return len(self._connections)

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    @property
    def _is_cold(self) -> bool:
        return self._warmth < WARM_UP_REQUESTS

    @property
    def bearable(self) -> int:
        """Concurrent requests that the server can bear now."""
        full = self.plan.slots * BEARABLE_PER_SLOT
        return COLD_BEARABLE + (full - COLD_BEARABLE) * min(self._warmth, WARM_UP_REQUESTS) // (
            WARM_UP_REQUESTS
        )

    def turn_cold(self) -> None:
        """Lose all warmth without a sign."""
        self._warmth = 0

    def set_down(self, is_down: bool) -> None:
        """Stop or start the server; a start begins cold and without connections."""
        self._is_down = is_down
        self._connections.clear()
        self._done.clear()
        self._queue.clear()
        self._busy = 0
        self._warmth = 0

    def silence(self, count: int) -> list[str]:
        """Make some connections silent for good; return their keys as hex text."""
        chosen = sorted(self._connections)[:count]
        self._silent.update(chosen)
        return [key.hex() for key in chosen]

    def _on_packet(self, packet: bytes, sender: Address) -> None:
        if self._is_down or self._now < self._fallen_until:
            return
        key = ip.parse_flow_key(packet)
        if isinstance(key, Malformed):
            return
        self.counters["packets"] += 1
        self._ledger.check_arrival(self.plan, key)
        if key in self._silent:
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
            self._connections.discard(key)
            return
        if flags & ip.SYN:
            self._connections.add(key)
            self._send_tcp(key, ip.SYN | ip.ACK)
            return
        if key not in self._connections:
            self.counters["resets"] += 1
            self._send(build_reset(packet))
            return
        if flags & ip.FIN:
            self._connections.discard(key)
            self._send_tcp(key, ip.FIN | ip.ACK)
            return
        body = ip.payload_of(packet)
        if not body:
            # A probe asks for an acknowledgement; an ordinary ACK does no harm to answer.
            self._send_tcp(key, ip.ACK)
            return
        request = decode_payload(body)
        if isinstance(request, RequestPayload):
            self._on_request(key, request)

    def _on_request(self, key: bytes, request: RequestPayload) -> None:
        known = self._done.get((key, request.request_id))
        if known is not None:
            if known:
                self._answer(key, request)
            return
        while len(self._done) > ANSWER_MEMORY:
            del self._done[next(iter(self._done))]
        if request.work_ms <= 0:
            self._done[(key, request.request_id)] = True
            self._answer(key, request)
            return
        self._done[(key, request.request_id)] = False
        self._ledger.record_run(request, self.plan.server_id)
        self._queue.append(Work(key, request))
        self._check_load()
        self._start_work()

    def _check_load(self) -> None:
        load = self._busy + len(self._queue)
        self.max_load_over_bearable = max(self.max_load_over_bearable, load / self.bearable)
        if load <= self.bearable:
            self._overloaded_since = 0.0
            return
        self.counters["overloads"] += 1
        if self._overloaded_since == 0.0:
            self._overloaded_since = self._now
        elif self._now - self._overloaded_since > OVERLOAD_LIMIT_S:
            self.counters["falls"] += 1
            self._fallen_until = self._now + FALLEN_S
            self._overloaded_since = 0.0
            self._queue.clear()

    def _start_work(self) -> None:
        while self._queue and self._busy < self.plan.slots:
            work = self._queue.popleft()
            self._busy += 1
            factor = COLD_FACTOR if self._is_cold else 1.0
            jitter = self._random.uniform(1 - SERVICE_JITTER, 1 + SERVICE_JITTER)
            duration_s = work.request.work_ms / 1_000 / self.plan.speed * factor * jitter
            asyncio.get_running_loop().call_later(duration_s, self._finish, work, duration_s)

    def _finish(self, work: Work, duration_s: float) -> None:
        if self._is_down:
            return
        self._busy = max(0, self._busy - 1)
        self.busy_s += work.request.work_ms / 1_000 / self.plan.speed
        self._warmth += 1
        self.counters["served"] += 1
        if (work.key, work.request.request_id) in self._done:
            self._done[(work.key, work.request.request_id)] = True
        self._answer(work.key, work.request)
        self._check_load()
        self._start_work()

    def _answer(self, key: bytes, request: RequestPayload) -> None:
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
