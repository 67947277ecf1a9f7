"""A backend server with slots, a queue and a speed."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

from wagtailkeel_protocol import packet as ip
from wagtailkeel_protocol.packet_builder import build_tcp

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from wagtailkeel_bench.load_model.load import Load
    from wagtailkeel_bench.load_model.timeline import Timeline

HANDSHAKE_S = 0.0003
ANSWER = b"a"
SHED = b"s"


class ModelServer:
    """Answers what its agent delivers; ``busy_s`` sums the work of all slots."""

    def __init__(
        self,
        load: Load,
        speed: float,
        timeline: Timeline,
        random: Random,
        send: Callable[[bytes], None],
    ) -> None:
        self.busy_s = 0.0
        self._load = load
        self._speed = speed
        self._timeline = timeline
        self._random = random
        self._send = send
        self._working = 0
        self._queue: deque[bytes] = deque()

    def take(self, packet: bytes) -> None:
        """Take a packet of a caller."""
        key = ip.parse_flow_key(packet)
        assert isinstance(key, bytes), "the model sends only whole packets"
        if ip.tcp_flags(packet) & ip.SYN:
            self._reply(key, ip.SYN | ip.ACK, b"", HANDSHAKE_S)
        elif ip.payload_of(packet):
            self._take_request(key)

    def _take_request(self, key: bytes) -> None:
        if self._working < self._load.slots:
            self._work(key)
        elif len(self._queue) < self._load.queue:
            self._queue.append(key)
        else:
            self._reply(key, ip.ACK, SHED, 0.0)

    def _work(self, key: bytes) -> None:
        self._working += 1
        work_s = self._draw_work()
        self.busy_s += work_s
        self._timeline.after(work_s, lambda: self._finish(key))

    def _draw_work(self) -> float:
        """Draw from a log-normal distribution with the load's mean and relative spread."""
        variance = math.log(1.0 + self._load.work_spread**2)
        work_s = self._load.work_s * self._random.lognormvariate(-variance / 2, math.sqrt(variance))
        is_cold = self._timeline.now < self._load.cold_s
        return work_s / self._speed * (self._load.cold_factor if is_cold else 1.0)

    def _finish(self, key: bytes) -> None:
        self._working -= 1
        self._reply(key, ip.ACK, ANSWER, 0.0)
        if self._queue:
            self._work(self._queue.popleft())

    def _reply(self, key: bytes, flags: int, payload: bytes, delay_s: float) -> None:
        packet = build_tcp(ip.reverse_key(key), 1, 1, flags, payload)
        self._timeline.after(delay_s, lambda: self._send(packet))
