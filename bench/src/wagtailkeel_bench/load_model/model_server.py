"""Model of a backend server with slots, a request queue and a speed."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

from wagtailkeel_protocol import packet as ip
from wagtailkeel_protocol.packet_builder import build_tcp

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from wagtailkeel_bench.event_scheduler import EventScheduler
    from wagtailkeel_bench.load_model.load import Load

HANDSHAKE_DELAY_S = 0.0003
FIRST_ROUTE_PORT = 443
"""The port of the first class's route; each further class has the next port."""
ANSWER_PAYLOAD = b"a"
SHED_PAYLOAD = b"s"


def class_index_of(key: bytes) -> int:
    """Return the number of the request class to whose route a caller's flow goes.

    The callers are IPv4: the key has two addresses of four bytes, the source port, the route's.
    """
    return int.from_bytes(key[10:12], "big") - FIRST_ROUTE_PORT


class ModelServer:
    """Answers packets from its agent; ``busy_s`` is the total work time of all slots.

    ``has_fault`` is set if the load's server fault concerns this server.
    """

    def __init__(
        self,
        load: Load,
        speed: float,
        scheduler: EventScheduler,
        random: Random,
        send: Callable[[bytes], None],
        *,
        has_fault: bool,
    ) -> None:
        self.busy_s = 0.0
        self._fault = load.server_fault if has_fault else None
        self._load = load
        self._speed = speed
        self._scheduler = scheduler
        self._random = random
        self._send = send
        self._busy_slots = 0
        self._queue: deque[bytes] = deque()

    def on_packet(self, packet: bytes) -> None:
        """Process a packet of a caller."""
        key = ip.parse_flow_key(packet)
        assert isinstance(key, bytes), "the model must send only complete packets"
        if self._fault is not None and self._fault.how == "hang" and self._fails():
            return
        if ip.tcp_flags(packet) & ip.SYN:
            self._reply(key, ip.SYN | ip.ACK, b"", HANDSHAKE_DELAY_S)
        elif ip.payload_of(packet):
            self._on_request(key)
        elif ip.tcp_flags(packet) & ip.FIN:
            self._reply(key, ip.FIN | ip.ACK, b"", 0.0)

    @property
    def idle_slots(self) -> int:
        """The number of requests that would start at once."""
        return self._load.slots - self._busy_slots

    @property
    def queued(self) -> int:
        """The number of requests that wait for a slot."""
        return len(self._queue)

    def _fails(self) -> bool:
        fault = self._fault
        if fault is None or not fault.is_active(self._scheduler.now):
            return False
        return self._random.random() < fault.share

    def _on_request(self, key: bytes) -> None:
        if self._fails():
            assert self._fault is not None, "without a fault no request fails"
            if self._fault.how in ("reset", "flap"):
                self._reply(key, ip.RST, b"", 0.0)
        elif self._busy_slots < self._load.slots:
            self._start_work(key)
        elif len(self._queue) < self._load.queue_limit:
            self._queue.append(key)
        else:
            self._reply(key, ip.ACK, SHED_PAYLOAD, 0.0)

    def _start_work(self, key: bytes) -> None:
        self._busy_slots += 1
        work_s = self._sample_work_s() * self._work_factor(key)
        self.busy_s += work_s
        self._scheduler.call_later(work_s, lambda: self._finish_request(key))

    def _work_factor(self, key: bytes) -> float:
        return self._load.request_classes[class_index_of(key)].work_factor

    def _sample_work_s(self) -> float:
        """Return a work time from a log-normal distribution, scaled by speed and slow start.

        The distribution has the load's mean and coefficient of variation.
        """
        variance = math.log(1.0 + self._load.work_cv**2)
        work_s = self._load.mean_work_s * self._random.lognormvariate(
            -variance / 2, math.sqrt(variance)
        )
        is_cold = self._scheduler.now < self._load.cold_s
        return work_s / self._speed * (self._load.cold_factor if is_cold else 1.0)

    def _finish_request(self, key: bytes) -> None:
        self._busy_slots -= 1
        self._reply(key, ip.ACK, ANSWER_PAYLOAD, 0.0)
        if self._queue:
            self._start_work(self._queue.popleft())

    def _reply(self, key: bytes, flags: int, payload: bytes, delay_s: float) -> None:
        packet = build_tcp(ip.reverse_key(key), 1, 1, flags, payload)
        self._scheduler.call_later(delay_s, lambda: self._send(packet))
