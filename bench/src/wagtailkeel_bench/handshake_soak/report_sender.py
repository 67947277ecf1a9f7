"""Sends the reports of one backend server to its agent, and repeats those without an answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_bench.handshake_soak.report_server import ReportReply
from wagtailkeel_bench.stand_ins.udp_port import UdpPort

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from wagtailkeel_coordination.handshake import ServerReport

Address = tuple[str, int]

REPORT_INTERVAL_S = 0.75
ANSWER_TIMEOUT_S = 1.0
MAX_BACKOFF_S = 3.0
LATE_REPORT_SHARE = 0.1
MAX_LATE_S = 4.0


class ReportSender:
    """Reports at intervals that double, up to MAX_BACKOFF_S, while reports are not acknowledged.

    ``build_report`` returns the report with a number. Some reports also arrive a second time,
    seconds late.
    """

    def __init__(
        self,
        address: Address,
        agent: Address,
        build_report: Callable[[int], ServerReport],
        random: Random,
    ) -> None:
        self.fails_until = 0.0
        self.is_drain_acknowledged = False
        self._agent = agent
        self._build_report = build_report
        self._random = random
        self._sequence = 0
        self._answers: dict[int, asyncio.Future[bool]] = {}
        self._port = UdpPort(address, self._on_datagram)

    async def run(self) -> None:
        """Report until cancelled."""
        backoff_s = REPORT_INTERVAL_S
        while True:
            is_acknowledged = await self.send()
            backoff_s = REPORT_INTERVAL_S if is_acknowledged else min(2 * backoff_s, MAX_BACKOFF_S)
            await asyncio.sleep(backoff_s)

    async def send(self) -> bool:
        """Send a report; return whether it was acknowledged."""
        self._sequence += 1
        report = self._build_report(self._sequence)
        loop = asyncio.get_running_loop()
        if loop.time() < self.fails_until:
            return False
        datagram = msgspec.msgpack.encode(report)
        if self._random.random() < LATE_REPORT_SHARE:
            late_s = self._random.uniform(0.0, MAX_LATE_S)
            loop.call_later(late_s, self._port.send, datagram, self._agent)
        answer = self._answers[report.sequence] = loop.create_future()
        self._port.send(datagram, self._agent)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                is_acknowledged: bool = await answer
        except TimeoutError:
            return False
        finally:
            del self._answers[report.sequence]
        self.is_drain_acknowledged |= is_acknowledged and report.is_draining
        return is_acknowledged

    def _on_datagram(self, datagram: bytes, sender: Address) -> None:
        reply = msgspec.msgpack.decode(datagram, type=ReportReply)
        answer = self._answers.get(reply.sequence)
        if answer is not None and not answer.done():
            answer.set_result(reply.is_acknowledged)

    def close(self) -> None:
        """Close the socket."""
        self._port.close()
