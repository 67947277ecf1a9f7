"""A backend server beside an agent: it holds flows, and starts as a new incarnation each time."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_bench.flow_records import RecordKind
from wagtailkeel_bench.handshake_soak.report_sender import ReportSender
from wagtailkeel_bench.handshake_soak.soak_packet import SoakPacket
from wagtailkeel_bench.handshake_soak.soak_packet import decode_packet
from wagtailkeel_bench.handshake_soak.soak_packet import describe_flow
from wagtailkeel_bench.handshake_soak.soak_packet import encode_packet
from wagtailkeel_bench.stand_ins.udp_port import UdpPort
from wagtailkeel_coordination.handshake import ServerReport
from wagtailkeel_protocol import packet_format as packet_flags

if TYPE_CHECKING:
    from random import Random

    from wagtailkeel_bench.handshake_soak.record_file import RecordFile

Address = tuple[str, int]

SLOTS = 4
MIN_SERVICE_S = 0.002
MAX_SERVICE_S = 0.02
RETURNED_OPENINGS_SHARE = 0.03
"""Of the openings of new flows; the server can't accept them at the time."""
DRAIN_ACKNOWLEDGEMENT_TIMEOUT_S = 3.0
"""A server that leaves does not wait longer than this for the acknowledgement of its drain."""
SERVES_AFTER_DRAIN_S = 1.0


class ServerPlan(msgspec.Struct):
    """The addresses of a server and of its agent."""

    name: str
    service: str
    address: Address
    report_source: Address
    agent: Address
    agent_reports: Address


class FlowState(Enum):
    """What a server knows of a flow."""

    HALF_OPEN = "half_open"
    OPEN = "open"
    CLOSED = "closed"


class ServerFlow(msgspec.Struct):
    """A flow, or the last one, of a key."""

    connection: int
    state: FlowState = FlowState.HALF_OPEN


class SoakServer:
    """Runs one incarnation at a time, between :meth:`start` and :meth:`crash` or :meth:`leave`."""

    def __init__(self, plan: ServerPlan, records: RecordFile, random: Random) -> None:
        self.counters: Counter[str] = Counter()
        self.incarnation = ""
        self._plan = plan
        self._records = records
        self._random = random
        self._server_id = f"{plan.name}-0"
        self._start_count = 0
        self._started_at_ms = 0
        self._is_draining = False
        self._has_left = False
        self._flows: dict[bytes, ServerFlow] = {}
        self._port: UdpPort | None = None
        self._listener: asyncio.Server | None = None
        self._reports: ReportSender | None = None
        self._report_task: asyncio.Task[None] | None = None

    @property
    def is_running(self) -> bool:
        """Return whether an incarnation runs."""
        return self._port is not None

    async def start(self, *, has_new_id: bool) -> None:
        """Start a new incarnation, which holds no flows; with the former id or a new one."""
        self._start_count += 1
        if has_new_id:
            self._server_id = f"{self._plan.name}-{self._start_count}"
        self._started_at_ms = int(time.time() * 1_000)
        self.incarnation = f"{self._plan.name}#{self._start_count}"
        self._is_draining = self._has_left = False
        self._port = UdpPort(self._plan.address, self._on_datagram)
        self._listener = await asyncio.start_server(_close_connection, *self._plan.address)
        self._reports = ReportSender(
            self._plan.report_source, self._plan.agent_reports, self._build_report, self._random
        )
        self._report_task = asyncio.create_task(self._reports.run())

    def crash(self) -> None:
        """End the process without a notice."""
        if self._port is None or self._listener is None or self._reports is None:
            return
        assert self._report_task is not None, "it is set with the port"
        self._report_task.cancel()
        self._reports.close()
        self._listener.close()
        self._port.close()
        self._port = self._listener = self._reports = self._report_task = None
        self._flows.clear()
        self._records.write(RecordKind.ENDED, server=self.incarnation)

    async def leave(self) -> None:
        """Report that the server drains, serve for a while after that, give notice and end."""
        self._is_draining = True
        deadline = time.monotonic() + DRAIN_ACKNOWLEDGEMENT_TIMEOUT_S
        while self._reports is not None and not self._reports.is_drain_acknowledged:
            if time.monotonic() > deadline:
                break
            await self._reports.send()
            await asyncio.sleep(0.1)
        await asyncio.sleep(SERVES_AFTER_DRAIN_S)
        if self._reports is not None:
            self._has_left = True
            await self._reports.send()
        self.crash()

    def fail_reports(self, for_s: float) -> None:
        """Let all reports of the next seconds fail."""
        if self._reports is not None:
            self._reports.fails_until = asyncio.get_running_loop().time() + for_s

    def _build_report(self, sequence: int) -> ServerReport:
        return ServerReport(
            self._server_id,
            self._plan.service,
            self._started_at_ms,
            sequence,
            SLOTS,
            is_draining=self._is_draining,
            has_left=self._has_left,
        )

    # Packets

    def _on_datagram(self, datagram: bytes, sender: Address) -> None:
        packet = decode_packet(datagram)
        flow = self._flows.get(packet.key)
        if packet.flags & packet_flags.OPENING:
            self._on_opening(packet, flow)
        elif flow is None or flow.connection != packet.connection:
            self._bounce(packet)
        else:
            self._on_packet(packet, flow)

    def _on_opening(self, packet: SoakPacket, flow: ServerFlow | None) -> None:
        if flow is not None and flow.connection > packet.connection:
            self._bounce(packet)
            return
        if flow is None or flow.connection < packet.connection:
            if self._random.random() < RETURNED_OPENINGS_SHARE:
                self._bounce(packet)
                return
            if flow is not None:
                self._close(packet.key, flow)
            self._flows[packet.key] = ServerFlow(packet.connection)
        elif flow.state is FlowState.CLOSED:
            return
        self._send(packet, packet_flags.OPENING | packet_flags.ACK)

    def _on_packet(self, packet: SoakPacket, flow: ServerFlow) -> None:
        if flow.state is FlowState.CLOSED:
            self._on_packet_of_closed_flow(packet)
            return
        if flow.state is FlowState.HALF_OPEN:
            if packet.server != self.incarnation:
                self._bounce(packet)
                return
            flow.state = FlowState.OPEN
            self._write(RecordKind.OPENED, packet.key, flow)
        if packet.flags & packet_flags.RESET:
            self._close(packet.key, flow)
        elif packet.flags & packet_flags.FIN:
            self._close(packet.key, flow)
            self._send(packet, packet_flags.FIN | packet_flags.ACK)
        elif packet.request:
            service_s = self._random.uniform(MIN_SERVICE_S, MAX_SERVICE_S)
            loop = asyncio.get_running_loop()
            loop.call_later(service_s, self._answer, packet, self.incarnation)

    def _on_packet_of_closed_flow(self, packet: SoakPacket) -> None:
        if packet.flags & packet_flags.FIN:
            self._send(packet, packet_flags.FIN | packet_flags.ACK)
        elif packet.request:
            self._send(packet, packet_flags.RESET)

    def _answer(self, packet: SoakPacket, incarnation: str) -> None:
        flow = self._flows.get(packet.key)
        if flow is None or flow.connection != packet.connection or incarnation != self.incarnation:
            return
        if flow.state is FlowState.OPEN:
            self.counters["answers"] += 1
            # The caller answers the FIN of a server that drains with its own.
            fin = packet_flags.FIN if self._is_draining else 0
            self._send(packet, packet_flags.ACK | fin, packet.request)

    def _close(self, key: bytes, flow: ServerFlow) -> None:
        if flow.state is FlowState.OPEN:
            self._write(RecordKind.CLOSED, key, flow)
        flow.state = FlowState.CLOSED

    def _bounce(self, packet: SoakPacket) -> None:
        self.counters["bounced"] += 1
        packet.flags |= packet_flags.BOUNCED
        self._send_packet(packet)

    def _send(self, received: SoakPacket, flags: int, request: int = 0) -> None:
        self._send_packet(
            SoakPacket(received.key, flags, received.connection, self.incarnation, request)
        )

    def _send_packet(self, packet: SoakPacket) -> None:
        if self._port is not None:
            self._port.send(encode_packet(packet), self._plan.agent)

    def _write(self, kind: RecordKind, key: bytes, flow: ServerFlow) -> None:
        self._records.write(
            kind,
            server=self.incarnation,
            flow=describe_flow(key),
            connection=flow.connection,
        )


async def _close_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.close()
