"""The process that simulates all callers."""

from __future__ import annotations

import asyncio
import ipaddress
import struct
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from wagtailkeel_bench.flow_records import FlowRecord
from wagtailkeel_bench.flow_records import RecordKind
from wagtailkeel_bench.stand_ins.command_loop import serve_commands
from wagtailkeel_bench.stand_ins.feed import Feed
from wagtailkeel_bench.stand_ins.feed import FeedState
from wagtailkeel_bench.stand_ins.payload import AnswerPayload
from wagtailkeel_bench.stand_ins.request import Request
from wagtailkeel_bench.stand_ins.request_result import RequestOutcome
from wagtailkeel_bench.stand_ins.request_result import RequestResult
from wagtailkeel_bench.stand_ins.udp_port import Address
from wagtailkeel_bench.stand_ins.udp_port import UdpPort
from wagtailkeel_protocol import packet as ip
from wagtailkeel_protocol.flow_key import endpoint_of
from wagtailkeel_protocol.malformed import Malformed

FIRST_CALLER_ADDRESS = int(ipaddress.ip_address("10.200.0.1"))
FIRST_PORT = 2_000
PORTS_PER_CALLER = 50_000
KEY_RETENTION_S = 5.0

PacketHandler = Callable[[bytes], None]


class CallersPlan(msgspec.Struct):
    """Random seed, the address that callers receive on, and the fabric they send to."""

    seed: int
    address: Address
    fabric: Address


class Callers:
    """Sends and receives the packets of all flows of all callers."""

    def __init__(self, plan: CallersPlan) -> None:
        self.counters: Counter[str] = Counter()
        self._plan = plan
        self._random = Random(plan.seed)
        self._port = UdpPort(plan.address, self._on_packet)
        self._handlers_by_key: dict[bytes, PacketHandler] = {}
        self._services_by_endpoint: dict[str, str] = {}
        self._flow_count = 0
        self._request_count = 0
        self._feeds: list[Feed] = []
        self._refused_ids: list[int] = []
        self._response_times_us = HdrHistogram(1, 60_000_000, 3)
        self._max_response_s = 0.0
        self._measured_since = 0.0
        self._request_tasks: list[asyncio.Task[None]] = []

    # Used by Feed and Request

    def new_key(self, endpoint: str, handler: PacketHandler) -> bytes:
        """Register the handler of a new flow and return the flow's key.

        ``endpoint`` is the hex text of address, port and protocol.
        """
        self._flow_count += 1
        caller_number, port = divmod(self._flow_count, PORTS_PER_CALLER)
        endpoint_bytes = bytes.fromhex(endpoint)
        source = struct.pack("!I", FIRST_CALLER_ADDRESS + caller_number)
        key = (
            source + endpoint_bytes[:4] + struct.pack("!H", FIRST_PORT + port) + endpoint_bytes[4:]
        )
        self._handlers_by_key[key] = handler
        return key

    def remove_key(self, key: bytes) -> None:
        """Remove a flow's handler after KEY_RETENTION_S, so that late answers still reach it."""
        asyncio.get_running_loop().call_later(KEY_RETENTION_S, self._handlers_by_key.pop, key, None)

    def new_request_id(self) -> int:
        """Return a unique request id."""
        self._request_count += 1
        return self._request_count

    def send(self, packet: bytes) -> None:
        """Send a packet to the fabric."""
        self._port.send(packet, self._plan.fabric)

    def check_service(self, key: bytes, answer: AnswerPayload) -> None:
        """Count an answer as wrong if it is from another service than the flow's endpoint."""
        if self._services_by_endpoint.get(endpoint_of(key).hex()) != answer.service:
            self.counters["wrong_answers"] += 1

    def on_request_end(self, result: RequestResult, key: bytes) -> None:
        """Record the outcome of a request; count it only if it started after the last reset."""
        self.remove_key(key)
        if result.outcome is RequestOutcome.REFUSED:
            self._refused_ids.append(result.request_id)
        if result.started_at < self._measured_since:
            return
        self.counters[f"requests_{result.outcome.value}"] += 1
        if result.outcome is RequestOutcome.ANSWERED:
            self._response_times_us.record_value(max(1, int(result.response_s * 1e6)))
            self._max_response_s = max(self._max_response_s, result.response_s)

    def _on_packet(self, packet: bytes, sender: Address) -> None:
        if packet[9] == ip.ICMP:
            # The refused packet follows an IP header of 20 bytes and an ICMP header of 8 bytes.
            quoted_packet = packet[28:]
            handler = self._handlers_by_key.get(quoted_packet[12:24] + quoted_packet[9:10])
        else:
            key = ip.parse_flow_key(packet)
            if isinstance(key, Malformed):
                self.counters["malformed"] += 1
                return
            handler = self._handlers_by_key.get(ip.reverse_key(key))
        if handler is not None:
            handler(packet)

    # Commands

    def set_endpoints(self, services_by_endpoint: dict[str, str]) -> bool:
        """Set the service of each endpoint (hex text)."""
        self._services_by_endpoint = services_by_endpoint
        return True

    def start_feeds(self, endpoint: str, count: int, interval_s: float, over_s: float) -> bool:
        """Open ``count`` feeds, evenly spread over ``over_s`` seconds."""
        loop = asyncio.get_running_loop()
        for number in range(count):
            phase_s = self._random.uniform(0, interval_s)
            loop.call_later(over_s * number / count, self._open_feed, endpoint, interval_s, phase_s)
        return True

    def _open_feed(self, endpoint: str, interval_s: float, phase_s: float) -> None:
        feed = Feed(self, endpoint, interval_s, phase_s)
        self._feeds.append(feed)
        feed.open()

    def start_requests(
        self, endpoint: str, rate: float, work_ms: float, parts: int, is_idempotent: bool
    ) -> bool:
        """Send requests at random intervals, ``rate`` per second on average, until told to stop."""

        async def send_requests() -> None:
            loop = asyncio.get_running_loop()
            due_at = loop.time()
            while True:
                due_at += self._random.expovariate(rate)
                delay_s = due_at - loop.time()
                if delay_s > 0:
                    await asyncio.sleep(delay_s)
                self.counters["requests_sent"] += 1
                Request(self, endpoint, work_ms, parts, is_idempotent).start()

        self._request_tasks.append(asyncio.create_task(send_requests()))
        return True

    def send_raw(self, packets: list[str]) -> bool:
        """Send packets given as hex text, for tests of bad input."""
        for packet in packets:
            self.send(bytes.fromhex(packet))
        return True

    def stop_requests(self) -> bool:
        """Stop sending new requests."""
        for task in self._request_tasks:
            task.cancel()
        self._request_tasks.clear()
        return True

    def reset_gaps(self) -> bool:
        """Reset the measurements of gaps, request outcomes and response times."""
        self._max_response_s = 0.0
        self._measured_since = asyncio.get_running_loop().time()
        self._response_times_us.reset()
        for name in [name for name in self.counters if name.startswith("requests_")]:
            del self.counters[name]
        for feed in self._feeds:
            feed.worst_gap_s = 0.0
        return True

    def count_open(self) -> int:
        """Return the number of open feeds."""
        return sum(feed.state is FeedState.OPEN for feed in self._feeds)

    def list_resets(self, silenced: list[str]) -> list[Any]:
        """Return when feeds got a reset, except those that their servers were told to ignore.

        A feed that got no answer does not know its server, and is left out.
        """
        records = [
            FlowRecord(feed.ended_at, RecordKind.RESET, feed.server_id, feed.key.hex())
            for feed in self._feeds
            if feed.state is FeedState.RESET and feed.server_id and feed.key.hex() not in silenced
        ]
        builtins: list[Any] = msgspec.to_builtins(records)
        return builtins

    def report(
        self, lost_servers: list[str], silenced: list[str], max_idle_s: float
    ) -> dict[str, Any]:
        """Return all measurements; flows of lost servers and silenced flows are counted apart.

        An open feed is stale if its last answer is more than ``max_idle_s`` seconds old.
        """
        now = asyncio.get_running_loop().time()
        silent_keys = {bytes.fromhex(key) for key in silenced}
        outcomes: Counter[str] = Counter()
        feeds_by_server: Counter[str] = Counter()
        worst_gap_s = self._max_response_s
        silence_detection_s: list[float] = []
        for feed in self._feeds:
            if feed.key in silent_keys:
                outcomes["silenced"] += 1
                outcomes["silenced_told"] += feed.state is FeedState.RESET
                silence_detection_s.append(feed.ended_at - feed.last_answer_at)
            elif feed.server_id in lost_servers:
                outcomes["given_up"] += 1
            elif feed.state is FeedState.OPEN and now - feed.last_answer_at > max_idle_s:
                outcomes["stale"] += 1
            else:
                outcomes[feed.state.value] += 1
                feeds_by_server[feed.server_id] += feed.state is FeedState.OPEN
                worst_gap_s = max(worst_gap_s, feed.worst_gap_s)
        return {
            "feeds": len(self._feeds),
            "feed_refusals": sum(feed.refusals for feed in self._feeds),
            "outcomes": dict(outcomes),
            "feeds_by_server": dict(feeds_by_server),
            "worst_gap_ms": worst_gap_s * 1_000,
            "silence_told_s": max(silence_detection_s, default=0.0),
            "refused_ids": self._refused_ids,
            "response_ms": {
                name: self._response_times_us.get_value_at_percentile(percentile) / 1_000
                for name, percentile in (("p50", 50.0), ("p99", 99.0), ("p999", 99.9))
            },
            **self.counters,
        }


async def run_callers(plan: CallersPlan) -> None:
    """Run the callers until told to stop."""
    callers = Callers(plan)
    handlers: dict[str, Callable[..., object]] = {
        "ping": lambda: True,
        "set_endpoints": callers.set_endpoints,
        "start_feeds": callers.start_feeds,
        "start_requests": callers.start_requests,
        "stop_requests": callers.stop_requests,
        "send_raw": callers.send_raw,
        "reset_gaps": callers.reset_gaps,
        "count_open": callers.count_open,
        "list_resets": callers.list_resets,
        "report": callers.report,
    }
    await serve_commands(handlers)
