"""Receives the reports of the backend server beside an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import msgspec

from wagtailkeel_coordination.handshake import ReportOutcome
from wagtailkeel_coordination.handshake import ServerReport
from wagtailkeel_transport import UdpEndpoint

if TYPE_CHECKING:
    from anyio.abc import TaskGroup
    from anyio.abc import TaskStatus

    from wagtailkeel.roles.handshake import HandshakeAgent

Address = tuple[str, int]


class ReportReply(msgspec.Struct):
    """Answers the report of this number; a report that is not acknowledged is sent again."""

    sequence: int
    is_acknowledged: bool


class ReportServer:
    """Receives the reports of the backend server beside an agent, and answers them."""

    def __init__(self, agent: HandshakeAgent, address: Address) -> None:
        self._agent = agent
        self._endpoint = UdpEndpoint(*address)
        self._tasks: TaskGroup | None = None

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as self._tasks:
            task_status.started()
            await self._endpoint.receive_from(self._on_datagram)

    async def stop(self) -> None:
        """Do nothing: reports are answered until the process ends."""

    def _on_datagram(self, datagram: bytes, source: Address) -> None:
        assert self._tasks is not None, "the endpoint is read only while the role runs"
        report = msgspec.msgpack.decode(datagram, type=ServerReport)
        self._tasks.start_soon(self._answer, report, source)

    async def _answer(self, report: ServerReport, source: Address) -> None:
        reply = ReportReply(report.sequence, await self._process(report))
        self._endpoint.send(msgspec.msgpack.encode(reply), source)

    async def _process(self, report: ServerReport) -> bool:
        if report.has_left:
            self._agent.on_leave(report.incarnation)
            return True
        if self._agent.on_report(report) is ReportOutcome.REFUSED:
            return False
        return not report.is_draining or await self._agent.may_acknowledge_drain(report)
