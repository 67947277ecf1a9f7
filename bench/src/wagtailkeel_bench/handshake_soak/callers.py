"""The callers: they open flows, send requests on them, and use ports again at times."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections import deque
from typing import TYPE_CHECKING

import xxhash

from wagtailkeel_bench.flow_records import RecordKind
from wagtailkeel_bench.handshake_soak.soak_packet import SoakPacket
from wagtailkeel_bench.handshake_soak.soak_packet import SoakPacketFormat
from wagtailkeel_bench.handshake_soak.soak_packet import decode_packet
from wagtailkeel_bench.handshake_soak.soak_packet import describe_flow
from wagtailkeel_bench.handshake_soak.soak_packet import encode_packet
from wagtailkeel_bench.stand_ins.udp_port import UdpPort
from wagtailkeel_protocol import packet_format as packet_flags

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from wagtailkeel_bench.handshake_soak.record_file import RecordFile

Address = tuple[str, int]

OPENING_COPIES_AT_S = (0.0, 0.2, 0.6, 1.4)
"""Times at which a caller sends its opening; at the last one, it gives up instead."""
FIRST_RETRY_S = 0.2
MAX_RETRY_S = 1.6
MIN_DEADLINE_S = 2.0
MAX_DEADLINE_S = 10.0
MAX_PAUSE_S = 1.0
LONG_PAUSE_S = 4.0
LONG_PAUSE_SHARE = 0.05
SHORT_FLOW_SHARE = 0.6
MAX_REQUESTS = 40
REOPEN_PAUSE_S = 0.3
PORT_REUSE_SHARE = 0.3
PORT_QUARANTINE_S = 0.5
"""A port is not used again sooner after the end of a flow than this."""
FIRST_PORT = 2_000


class Callers:
    """Runs a fixed number of callers, each of which has one flow at a time.

    ``balancers`` are the entry instances in rotation: each packet goes to one by a hash of its key.
    """

    def __init__(
        self,
        address: Address,
        route: Address,
        balancers: list[Address],
        records: RecordFile,
        random: Random,
    ) -> None:
        self.counters: Counter[str] = Counter()
        self.balancers = balancers
        self.last_answer_at = 0.0
        self.records = records
        self.random = random
        self._host = address[0]
        self._route = route
        self._port = UdpPort(address, self._on_datagram)
        self._flows_by_key: dict[bytes, CallerFlow] = {}
        self._connection_count = 0
        self._next_port = FIRST_PORT
        self._free_ports: deque[tuple[float, int]] = deque()

    async def run(self, count: int) -> None:
        """Let callers open one flow after the other until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for _ in range(count):
                tasks.create_task(self._run_caller())

    async def _run_caller(self) -> None:
        while True:
            await asyncio.sleep(self.random.uniform(0.0, REOPEN_PAUSE_S))
            port = self._take_port()
            self._connection_count += 1
            key = SoakPacketFormat().build_key((self._host, port), self._route)
            flow = self._flows_by_key[key] = CallerFlow(self, key, self._connection_count)
            try:
                may_reuse_port = await flow.run()
            finally:
                del self._flows_by_key[key]
            if may_reuse_port:
                self._free_ports.append((time.monotonic(), port))

    def _take_port(self) -> int:
        if self._free_ports and self.random.random() < PORT_REUSE_SHARE:
            freed_at, port = self._free_ports[0]
            if time.monotonic() - freed_at >= PORT_QUARANTINE_S:
                self._free_ports.popleft()
                self.counters["ports_reused"] += 1
                return port
        self._next_port += 1
        return self._next_port

    def send(self, packet: SoakPacket) -> None:
        """Send a packet through the balancer that the key selects."""
        if self.balancers:
            index = xxhash.xxh3_64_intdigest(packet.key) % len(self.balancers)
            self._port.send(encode_packet(packet), self.balancers[index])

    def _on_datagram(self, datagram: bytes, sender: Address) -> None:
        packet = decode_packet(datagram)
        flow = self._flows_by_key.get(packet.key)
        if flow is not None and flow.connection == packet.connection:
            flow.on_packet(packet)
        else:
            self.counters["late_packets"] += 1

    def close(self) -> None:
        """Close the socket."""
        self._port.close()


class CallerFlow:
    """One flow, from its opening to its end."""

    def __init__(self, callers: Callers, key: bytes, connection: int) -> None:
        self.connection = connection
        self._callers = callers
        self._random = callers.random
        self._key = key
        self._server = ""
        self._answered_request = 0
        self._is_reset = False
        self._has_server_closed = False
        self._changed = asyncio.Event()

    async def run(self) -> bool:
        """Open the flow, use and close it; return whether both ends have done with it."""
        if not await self._open():
            self._callers.counters["unopened"] += 1
            return False
        count = 1
        if self._random.random() >= SHORT_FLOW_SHARE:
            count = self._random.randint(2, MAX_REQUESTS)
        for request in range(1, count + 1):
            if not await self._request(request):
                return False
            if self._has_server_closed:
                break
            if request < count:
                await self._pause()
                if self._is_reset:
                    return False
        return await self._close()

    async def _open(self) -> bool:
        opened_at = time.monotonic()
        for attempt, gives_up_s in enumerate(OPENING_COPIES_AT_S[1:]):
            self._send(packet_flags.OPENING, attempt=attempt)
            await self._wait(opened_at + gives_up_s, lambda: bool(self._server))
            if self._is_reset:
                return False
            if self._server:
                self._send(packet_flags.ACK)
                return True
        return False

    async def _request(self, request: int) -> bool:
        """Send a request, and repeat it until it is answered; return whether it was."""
        deadline = time.monotonic() + self._random.uniform(MIN_DEADLINE_S, MAX_DEADLINE_S)
        retry_s = FIRST_RETRY_S
        while time.monotonic() < deadline:
            self._send(packet_flags.ACK, request=request)
            await self._wait(time.monotonic() + retry_s, lambda: self._answered_request >= request)
            if self._is_reset:
                return False
            if self._answered_request >= request:
                self._callers.counters["answered"] += 1
                self._callers.last_answer_at = time.monotonic()
                return True
            retry_s = min(2 * retry_s, MAX_RETRY_S)
        self._callers.counters["unanswered"] += 1
        return False

    async def _pause(self) -> None:
        is_long = self._random.random() < LONG_PAUSE_SHARE
        pause_s = self._random.uniform(0.0, LONG_PAUSE_S if is_long else MAX_PAUSE_S)
        await self._wait(time.monotonic() + pause_s, lambda: False)

    async def _close(self) -> bool:
        self._has_server_closed = False
        deadline = time.monotonic() + MIN_DEADLINE_S
        retry_s = FIRST_RETRY_S
        while time.monotonic() < deadline:
            self._send(packet_flags.FIN | packet_flags.ACK)
            await self._wait(time.monotonic() + retry_s, lambda: self._has_server_closed)
            if self._is_reset or self._has_server_closed:
                return self._has_server_closed
            retry_s = min(2 * retry_s, MAX_RETRY_S)
        return False

    async def _wait(self, until: float, is_done: Callable[[], bool]) -> None:
        """Wait until a condition holds, the flow is reset or a time has come."""
        while not self._is_reset and not is_done():
            self._changed.clear()
            try:
                async with asyncio.timeout(until - time.monotonic()):
                    await self._changed.wait()
            except TimeoutError:
                return

    def on_packet(self, packet: SoakPacket) -> None:
        """Process a packet of this connection."""
        if packet.flags & packet_flags.RESET:
            if not self._is_reset:
                self._is_reset = True
                self._write(RecordKind.RESET, writer=packet.server)
        elif packet.flags & packet_flags.OPENING:
            if not self._server:
                self._server = packet.server
                self._write(RecordKind.ACCEPTED)
        elif packet.server != self._server:
            self._callers.counters["answers_of_other_servers"] += 1
        else:
            self._answered_request = max(self._answered_request, packet.request)
            self._has_server_closed |= bool(packet.flags & packet_flags.FIN)
        self._changed.set()

    def _send(self, flags: int, *, request: int = 0, attempt: int = 0) -> None:
        self._callers.send(
            SoakPacket(self._key, flags, self.connection, self._server, request, attempt)
        )

    def _write(self, kind: RecordKind, writer: str = "") -> None:
        self._callers.records.write(
            kind,
            server=self._server,
            flow=describe_flow(self._key),
            connection=self.connection,
            writer=writer,
        )
