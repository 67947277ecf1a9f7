"""Backend servers, clients and the platform's router, for flows on loopback.

They run in one thread with an event loop of its own. All times are time.monotonic().
"""

from __future__ import annotations

import asyncio
import json
import random
import socket
import struct
import threading
import time
import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from small_site import Node
    from small_site import Record
    from small_site import Site

SYN, BOUNCED, RST, FIN, ACK = 1, 2, 8, 16, 32
HEAD = struct.Struct("!IBBIIIH4s4sHH")
SYN_COPIES_S = (0.2, 0.6)
SYN_TIMEOUT_S = 1.4
RETRANSMIT_S = 0.2
MAX_RETRANSMIT_S = 1.6
HEARTBEAT_S = 0.77
HEARTBEAT_RETRY_S = 0.2
HEARTBEAT_TIMEOUT_S = 1.0
READY_INTERVAL_S = 0.5
READY_MISSES = 2


class Packet:
    """A packet of a flow."""

    def __init__(self, raw: bytes) -> None:
        self.raw = raw
        fields = HEAD.unpack_from(raw)
        self.sum, self.flags, _, _, self.seq, self.ack, _, dst, src, sport, dport = fields
        self.dst, self.src = socket.inet_ntoa(dst), socket.inet_ntoa(src)
        self.sport, self.dport = sport, dport
        self.data = raw[HEAD.size :]


def pack(
    flags: int,
    source: tuple[str, int],
    destination: tuple[str, int],
    seq: int,
    ack: int,
    data: bytes = b"",
) -> bytes:
    """Return a packet; its sum stands for the keyed sum of the platform and is never 0."""
    body = HEAD.pack(
        0,
        flags,
        0,
        0,
        seq & 0xFFFFFFFF,
        ack & 0xFFFFFFFF,
        len(data),
        socket.inet_aton(destination[0]),
        socket.inet_aton(source[0]),
        source[1],
        destination[1],
    )
    return struct.pack("!I", zlib.crc32(body + data) | 1) + body[4:] + data


class Loop:
    """An event loop in a thread of its own."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()

    def run(self, coroutine, timeout_s: float = 10.0):  # noqa: ANN001, ANN201
        """Run a coroutine in the loop and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(timeout_s)

    def close(self) -> None:
        """Cancel all tasks and stop the loop."""

        async def cancel_all() -> None:
            tasks = [t for t in asyncio.all_tasks() if t is not asyncio.current_task()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.run(cancel_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(5)


class Protocol(asyncio.DatagramProtocol):
    def __init__(self, on_packet: Callable[[bytes], None]) -> None:
        self._on_packet = on_packet

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._on_packet(data)

    def error_received(self, exc: Exception) -> None:
        """Nobody listens at an address: like on the platform, the packet is gone."""


class ServerFlow:
    """A flow of a server, half open until the client acknowledges ``seq``."""

    def __init__(self, client: tuple[str, int], route: tuple[str, int], syn_seq: int) -> None:
        self.client = client
        self.route = route
        self.seq = random.getrandbits(31)
        self.next_from_client = syn_seq + 1
        self.is_open = False
        self.opened_at = 0.0
        self.is_client_finished = False
        self.last_answer = b""
        self.next_seq = self.seq + 1


class Server:
    """A backend server beside an agent; it accepts every flow and answers each data packet."""

    def __init__(self, node: Node, record: Record, work_s: float, slots: int) -> None:
        self.node = node
        self.record = record
        self.name = f"server-{node.ip}"
        self.state = "healthy"
        self.cold_until = 0.0
        self.is_heard = True
        self.openings: list[tuple[float, tuple[str, int], float]] = []
        self.flows: dict[tuple[str, int, str, int], ServerFlow] = {}
        self.on_opening: Callable[[], None] | None = None
        self.acknowledged_states: list[tuple[float, str]] = []
        self._ended: set[tuple[str, int, str, int]] = set()
        self._work_s = work_s
        self._slots = asyncio.Semaphore(slots)
        self._slot_count = slots
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._id = f"i-{random.getrandbits(40):010x}"
        self._tasks: list[asyncio.Task] = []
        self._transport: asyncio.DatagramTransport | None = None
        self._tcp: asyncio.Server | None = None

    async def start(self, cold_s: float = 0.0) -> None:
        """Start to listen and to send heartbeats."""
        self.cold_until = time.monotonic() + cold_s
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: Protocol(self._on_packet), local_addr=self.node.app_address
        )
        self._tcp = await asyncio.start_server(self._answer_health, *self.node.app_address)
        self._tasks.append(loop.create_task(self._heartbeat_forever()))
        self.record.write(f"{self.name}: started, cold for {cold_s} s")

    async def crash(self) -> None:
        """End without a word."""
        for task in self._tasks:
            task.cancel()
        if self._transport is not None:
            self._transport.close()
        if self._tcp is not None:
            self._tcp.close()
        self.flows.clear()
        self.record.write(f"{self.name}: crashed")

    async def _answer_health(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            if await reader.readline():
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def _heartbeat_forever(self) -> None:
        while True:
            is_acknowledged = await self._send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S if is_acknowledged else HEARTBEAT_RETRY_S)

    async def _send_heartbeat(self) -> bool:
        self._sequence += 1
        state = self.state
        body = {
            "service": self.node.service,
            "address": f"{self.node.ip}:{self.node.site.app_port}",
            "zone": self.node.zone,
            "version": "v1",
            "capacity": self._slot_count,
            "state": state,
            "warmup-left-ms": max(0, int(1000 * (self.cold_until - time.monotonic()))),
            "seq": self._sequence,
            "born": self._born,
        }
        status = await self.post(f"/-/instances/{self._id}/heartbeat", body)
        if status == 200:
            self.acknowledged_states.append((time.monotonic(), state))
        return status == 200

    async def post(self, path: str, body: dict) -> int:
        """Call the agent; return the status, 0 without an answer."""
        content = json.dumps(body).encode()
        head = (
            f"POST {path} HTTP/1.1\r\nHost: agent\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(content)}\r\nConnection: close\r\n\r\n"
        )
        try:
            async with asyncio.timeout(HEARTBEAT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self.node.control_address)
                writer.write(head.encode() + content)
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return 0
        parts = line.split()
        return int(parts[1]) if len(parts) > 1 else 0

    async def deregister(self) -> int:
        """Say that the server ends."""
        return await self.post(f"/-/instances/{self._id}/deregister", {"born": self._born})

    # Packets

    def _send(self, raw: bytes) -> None:
        assert self._transport is not None
        self._transport.sendto(raw, (self.node.ip, self.node.site.outbound_port))

    def _reply(self, flow: ServerFlow, flags: int, seq: int, data: bytes = b"") -> bytes:
        raw = pack(flags, flow.route, flow.client, seq, flow.next_from_client, data)
        self._send(raw)
        return raw

    def _bounce(self, packet: Packet) -> None:
        self._send(packet.raw[:4] + bytes([packet.flags | BOUNCED, 0]) + packet.raw[6:])

    def _on_packet(self, raw: bytes) -> None:
        packet = Packet(raw)
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if packet.flags & ACK:
                self.record.write(f"{self.name}: got a SYN+ACK, which no client sends")
                return
            if flow is None:
                flow = ServerFlow(key[:2], key[2:], packet.seq)
                self.flows[key] = flow
                self._ended.discard(key)
            self._reply(flow, SYN | ACK, flow.seq)
            return
        if flow is None and key in self._ended:
            if packet.flags & FIN:
                self._send(pack(ACK, key[2:], key[:2], packet.ack, packet.seq + 1))
            elif packet.data:
                self._send(pack(RST, key[2:], key[:2], packet.ack, packet.seq))
            return
        if flow is None or (not flow.is_open and packet.ack != flow.seq + 1):
            if not packet.flags & RST:
                self._bounce(packet)
            return
        if not flow.is_open:
            flow.is_open = True
            flow.opened_at = time.monotonic()
            self.openings.append((flow.opened_at, flow.client, 0.0))
            if self.on_opening is not None:
                self.on_opening()
        if packet.flags & RST:
            self._end(key)
        elif packet.data:
            self._on_data(key, flow, packet)
        elif packet.flags & FIN:
            self._reply(flow, FIN | ACK, flow.next_seq)
            self._end(key)

    def _end(self, key: tuple[str, int, str, int]) -> None:
        self.flows.pop(key, None)
        self._ended.add(key)

    def _on_data(self, key: tuple[str, int, str, int], flow: ServerFlow, packet: Packet) -> None:
        if packet.seq < flow.next_from_client:
            if flow.last_answer:
                self._send(flow.last_answer)
            return
        flow.next_from_client = packet.seq + len(packet.data)
        flow.last_answer = b""
        self.record.write(f"{self.name}: runs {packet.data.decode()}")
        task = asyncio.get_running_loop().create_task(self._work(flow, packet.data))
        self._tasks.append(task)
        task.add_done_callback(self._tasks.remove)

    async def _work(self, flow: ServerFlow, request: bytes) -> None:
        async with self._slots:
            factor = 1.6 if time.monotonic() < self.cold_until else 1.0
            await asyncio.sleep(self._work_s * factor)
        answer = self.name.encode() + b" answers " + request
        flow.last_answer = self._reply(flow, ACK, flow.next_seq, answer)
        flow.next_seq += len(answer)


class Router:
    """Forwards packets of clients to the ready edge nodes, by a hash of the four addresses."""

    def __init__(self, nodes: list[Node], record: Record) -> None:
        self.nodes = nodes
        self.record = record
        self.in_rotation: list[Node] = []
        self._misses = dict.fromkeys(range(len(nodes)), READY_MISSES)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)

    async def check_forever(self) -> None:
        while True:
            await asyncio.gather(*(self._check(i, node) for i, node in enumerate(self.nodes)))
            self.in_rotation = [
                node for i, node in enumerate(self.nodes) if self._misses[i] < READY_MISSES
            ]
            await asyncio.sleep(READY_INTERVAL_S)

    async def _check(self, index: int, node: Node) -> None:
        is_ready = False
        try:
            async with asyncio.timeout(READY_INTERVAL_S):
                reader, writer = await asyncio.open_connection(node.ip, node.site.ready_port)
                writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
                is_ready = b" 200 " in await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            pass
        self._misses[index] = 0 if is_ready else self._misses[index] + 1

    def forward(self, raw: bytes) -> None:
        nodes = self.in_rotation
        if 2 * len(nodes) < len(self.nodes):
            nodes = self.nodes
        node = nodes[zlib.crc32(raw[20:32]) % len(nodes)]
        try:
            self._socket.sendto(raw, (node.ip, node.site.edge_port))
        except OSError:
            pass


class ClientFlow:
    """A client attempt: a flow with one request at a time."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.seq = random.getrandbits(31)
        self.next_seq = self.seq + 1
        self.server_seq: int | None = None
        self.next_from_server = 0
        self.is_reset = False
        self.changed = asyncio.Event()
        self.answers: list[bytes] = []


class Clients:
    """Clients at one address that open flows to one route."""

    def __init__(
        self, site: Site, router: Router, route: tuple[str, int], record: Record, name: str
    ) -> None:
        self.ip = site.new_ip()
        self.port = site.edge_port
        self.router = router
        self.route = route
        self.record = record
        self.name = name
        self.flows: dict[int, ClientFlow] = {}
        self.opened_at: dict[int, float] = {}
        self.resets: list[tuple[float, int, bool]] = []
        self.finished = 0
        self.failed = 0
        self._next_port = 20_000
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: Protocol(self._on_packet), local_addr=(self.ip, self.port)
        )

    def _on_packet(self, raw: bytes) -> None:
        packet = Packet(raw)
        flow = self.flows.get(packet.dport)
        if flow is None or packet.dst != self.ip:
            return
        if packet.flags & RST:
            flow.is_reset = True
            self.resets.append((time.monotonic(), flow.port, packet.sum == 0))
            self.record.write(
                f"{self.name}: flow {flow.port} reset by "
                f"{'the system' if packet.sum == 0 else 'its server'}"
            )
        elif packet.flags & SYN:
            if flow.server_seq is None:
                flow.server_seq = packet.seq
                flow.next_from_server = packet.seq + 1
        elif packet.data and packet.seq == flow.next_from_server:
            flow.next_from_server += len(packet.data)
            flow.answers.append(packet.data)
        flow.changed.set()

    def _send(self, flow: ClientFlow, flags: int, seq: int, ack: int, data: bytes = b"") -> None:
        self.router.forward(pack(flags, (self.ip, flow.port), self.route, seq, ack, data))

    async def open(self) -> ClientFlow | None:
        """Open a flow from a new port; return None if no server accepts it."""
        self._next_port += 1
        flow = ClientFlow(self._next_port)
        self.flows[flow.port] = flow
        started_at = time.monotonic()
        self.opened_at[flow.port] = started_at
        for copy, until in enumerate((*SYN_COPIES_S, SYN_TIMEOUT_S)):
            self._send(flow, SYN, flow.seq, copy)
            if await self._wait(flow, lambda: flow.server_seq is not None, started_at + until):
                break
            if flow.is_reset:
                break
        if flow.server_seq is None or flow.is_reset:
            del self.flows[flow.port]
            return None
        return flow

    async def _wait(
        self, flow: ClientFlow, is_done: Callable[[], bool], until: float
    ) -> bool:
        while not is_done() and not flow.is_reset:
            flow.changed.clear()
            left_s = until - time.monotonic()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(flow.changed.wait(), left_s)
            except TimeoutError:
                break
        return is_done()

    async def request(self, flow: ClientFlow, text: str, deadline_s: float) -> bytes | None:
        """Send a request on an open flow; return its answer, None if none came."""
        data = text.encode()
        seq, count = flow.next_seq, len(flow.answers)
        flow.next_seq += len(data)
        until = time.monotonic() + deadline_s
        interval_s = RETRANSMIT_S
        while time.monotonic() < until and not flow.is_reset:
            self._send(flow, ACK, seq, flow.next_from_server, data)
            next_at = min(until, time.monotonic() + interval_s)
            if await self._wait(flow, lambda: len(flow.answers) > count, next_at):
                return flow.answers[-1]
            interval_s = min(2 * interval_s, MAX_RETRANSMIT_S)
        return None

    def close(self, flow: ClientFlow) -> None:
        """Finish a flow."""
        self._send(flow, FIN | ACK, flow.next_seq, flow.next_from_server)
        self.flows.pop(flow.port, None)

    async def run_once(self, deadline_s: float = 1.5) -> None:
        """Open a flow for one request."""
        flow = await self.open()
        if flow is None:
            self.failed += 1
            return
        answer = await self.request(flow, f"{self.name}-{flow.port}", deadline_s)
        if answer is None:
            self.failed += 1
            self.flows.pop(flow.port, None)
            return
        self.finished += 1
        self.close(flow)

    async def arrive_forever(self, per_s: float) -> None:
        """Open a flow for each request, at a constant rate."""
        loop = asyncio.get_running_loop()
        tasks: set[asyncio.Task] = set()
        next_at = time.monotonic()
        while True:
            task = loop.create_task(self.run_once())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            next_at += 1 / per_s
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
