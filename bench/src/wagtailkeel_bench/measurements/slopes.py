"""Unit costs for the capacity page: memory and time per flow, bytes and time per message."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

import anyio
import msgspec

from wagtailkeel_bench.deployment import AddressAllocator
from wagtailkeel_bench.deployment import find_free_port
from wagtailkeel_bench.measurements.sample_service import build_configuration
from wagtailkeel_bench.measurements.sample_service import build_keys
from wagtailkeel_coordination import AgentIdentity
from wagtailkeel_coordination import FlowRouter
from wagtailkeel_coordination import PlacementLease
from wagtailkeel_coordination.membership import Membership
from wagtailkeel_protocol import packet as ip
from wagtailkeel_protocol.codec import decode_datagram
from wagtailkeel_protocol.codec import encode_datagram
from wagtailkeel_protocol.flow_key import hash_flow
from wagtailkeel_protocol.gue import DataFrame
from wagtailkeel_protocol.messages import AnyDatagram
from wagtailkeel_protocol.messages import BucketGrant
from wagtailkeel_protocol.messages import Claim
from wagtailkeel_protocol.messages import Gossip
from wagtailkeel_protocol.messages import Grant
from wagtailkeel_protocol.messages import Heartbeat
from wagtailkeel_protocol.messages import HeartbeatAck
from wagtailkeel_protocol.messages import Load
from wagtailkeel_protocol.messages import PullReply
from wagtailkeel_protocol.messages import PullRequest
from wagtailkeel_protocol.messages import VersionHint
from wagtailkeel_protocol.packet_builder import build_tcp
from wagtailkeel_state import Configuration
from wagtailkeel_state import FlowRecord
from wagtailkeel_state import Generation
from wagtailkeel_state import LogEntry
from wagtailkeel_state import OwnerTable
from wagtailkeel_state import ServerMember
from wagtailkeel_state import Target
from wagtailkeel_state import apply_entry
from wagtailkeel_state.commands import AnyCommand
from wagtailkeel_state.commands import ChangeTarget
from wagtailkeel_state.commands import CreateService
from wagtailkeel_state.commands import JoinServer
from wagtailkeel_transport.methods import PULL
from wagtailkeel_transport.rpc import RpcClient
from wagtailkeel_transport.rpc import RpcServer

FLOW_COUNTS = (1_000, 10_000, 50_000, 200_000)
SERVER_COUNTS = (100, 1_000, 5_000, 13_000)
SERVERS_PER_SERVICE = 3
LOOKUP_COUNT = 20_000
CODEC_CALLS = 2_000
PULL_COUNT = 500
BOOT_ID = 2**52


class _NullOutbox:
    def deliver(self, packet: bytes) -> None:
        return

    def reply(self, packet: bytes) -> None:
        return

    def forward(self, server_id: str, frame: DataFrame) -> None:
        return

    def send(self, instance_id: str, message: AnyDatagram) -> None:
        return


def measure_slopes() -> dict[str, Any]:
    """Return the unit costs, those of flows and servers at several counts."""
    return {
        "measurement": "slopes",
        "flows": [_measure_flows(count) for count in FLOW_COUNTS],
        "configuration": [_measure_configuration(count) for count in SERVER_COUNTS],
        "messages": _measure_messages(),
        "calls": anyio.run(_measure_calls),
        "heartbeats": [_measure_heartbeats(count) for count in SERVER_COUNTS],
    }


def _apply_command(config: Configuration, command: AnyCommand) -> LogEntry:
    entry = LogEntry(config.index + 1, 1, command, f"command-{config.index}", "operator")
    apply_entry(config, entry)
    return entry


def _build_member(server_id: str, service: str) -> ServerMember:
    return ServerMember(server_id, service, "dc-1", "10.0.0.1", 7_001, 7_002, BOOT_ID, 2)


def _build_router(now: float) -> FlowRouter:
    outbox = _NullOutbox()
    router = FlowRouter(
        AgentIdentity("desk-1", "desk", "dc-1", 2, BOOT_ID),
        outbox,
        outbox,
        PlacementLease(),
        Random(1),
        Counter(),
        lambda response_s: None,
        now,
    )
    config = build_configuration(_build_member("desk-1", "desk"))
    service = config.services_by_name["desk"]
    table = OwnerTable.build(
        service.table_epoch, config.table_shares("desk", "dc-1"), service.bucket_count
    )
    router.apply_configuration(config, table, now)
    router.tick(now + 10)
    return router


def _measure_flows(count: int) -> dict[str, float]:
    router = _build_router(0.0)
    traffic_class = router.view.config.services_by_name["desk"].classes_by_name["feed"]  # type: ignore[union-attr]
    keys = build_keys(count)
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for key in keys:
        router.local_flows.open(bytes(key), hash_flow(key) % 1_024, traffic_class, 0.0)
    allocated_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    random = Random(1)
    frames = [
        DataFrame(build_tcp(key, 1, 1, ip.ACK), hash_flow(key) % 1_024, 0)
        for key in random.choices(keys, k=LOOKUP_COUNT)
    ]
    started_at = time.perf_counter()
    for frame in frames:
        router.on_frame(frame, 1.0)
    microseconds = (time.perf_counter() - started_at) * 1e6 / LOOKUP_COUNT
    return {
        "flows": count,
        "bytes_per_flow": round(allocated_bytes / count, 1),
        "inbound_us_per_packet": round(microseconds, 3),
    }


def _measure_us(function: Callable[[], object], repeats: int) -> float:
    """Return the mean time of a call in microseconds."""
    started_at = time.perf_counter()
    for _ in range(repeats):
        function()
    return (time.perf_counter() - started_at) * 1e6 / repeats


def _build_fleet(servers: int) -> tuple[Configuration, int]:
    config = Configuration()
    log_bytes = 0
    for number in range(servers):
        service = f"service-{number // SERVERS_PER_SERVICE}"
        if number % SERVERS_PER_SERVICE == 0:
            command = CreateService(name=service, address=f"10.{number >> 8}.{number & 255}.1")
            _apply_command(config, command)
        entry = _apply_command(
            config, JoinServer(member=_build_member(f"{service}-{number}", service))
        )
        log_bytes += len(msgspec.msgpack.encode(entry))
    return config, log_bytes


def _measure_configuration(servers: int) -> dict[str, float]:
    gc.collect()
    tracemalloc.start()
    config, log_bytes = _build_fleet(servers)
    allocated_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    snapshot = msgspec.msgpack.encode(config)
    config.answers_by_command_id.clear()
    bytes_without_answers = len(msgspec.msgpack.encode(config))
    decode_us = _measure_us(lambda: msgspec.msgpack.decode(snapshot, type=Configuration), 3)
    name = next(iter(config.services_by_name))
    shares_us = _measure_us(lambda: config.table_shares(name, "dc-1"), 20)
    return {
        "servers": servers,
        "bytes_in_memory": allocated_bytes,
        "snapshot_bytes": len(snapshot),
        "snapshot_bytes_without_answers": bytes_without_answers,
        "log_bytes_per_join": round(log_bytes / servers, 1),
        "decode_ms": round(decode_us / 1_000, 2),
        "table_shares_ms": round(shares_us / 1_000, 3),
    }


def _measure_messages() -> dict[str, dict[str, float]]:
    record = FlowRecord(build_keys(1)[0], "service-120-361")
    change = LogEntry(
        120_000,
        7,
        ChangeTarget(service="service-120", name="feed", target=Target.parse("p99<200ms")),
        "0123456789abcdef0123456789abcdef",
        "operator",
    )
    sender = "service-120-361"
    cases: dict[str, AnyDatagram] = {
        "heartbeat": Heartbeat(sender, BOOT_ID, 120_000, 200_000, False, 1e6, False),
        "heartbeat_ack": HeartbeatAck("control-1", 120_000, 2.0, "control-1", True, 1e6, BOOT_ID),
        "gossip": Gossip(sender, BOOT_ID, 120_000, Load(2, 8, 3_400, 2_000)),
        "version_hint": VersionHint("control-1", 120_000),
        "claim_of_100_buckets": Claim(sender, BOOT_ID, 120_000, list(range(100))),
        "grant_of_100_empty_buckets": Grant(
            sender,
            BOOT_ID,
            [BucketGrant(n, Generation(120_000, 1), 120_000, []) for n in range(100)],
        ),
        "grant_of_1_bucket_with_10_flows": Grant(
            sender, BOOT_ID, [BucketGrant(1, Generation(120_000, 1), 120_000, [record] * 10)]
        ),
    }
    result = {}
    for name, message in cases.items():
        datagram = encode_datagram(message)
        result[name] = {
            "bytes": len(datagram),
            "encode_us": round(_measure_us(lambda m=message: encode_datagram(m), CODEC_CALLS), 2),  # type: ignore[misc]
            "decode_us": round(_measure_us(lambda d=datagram: decode_datagram(d), CODEC_CALLS), 2),  # type: ignore[misc]
        }
    result["configuration_change"] = {"bytes": len(msgspec.msgpack.encode([change]))}
    return result


async def _measure_calls() -> dict[str, float]:
    """Return the time of a pull RPC that returns one log entry; both ends are in this process."""
    change = ChangeTarget(service="desk", name="feed", target=Target.parse("p99<200ms"))
    entry = LogEntry(7, 1, change, "0123456789abcdef0123456789abcdef", "operator")

    async def answer(request: PullRequest) -> PullReply:
        return PullReply(entries=[entry])

    host = AddressAllocator().allocate_hosts()[0]
    port = find_free_port(host)
    server = RpcServer({PULL: answer})
    await server.start(host, port)
    client = RpcClient(host)
    await client.call((host, port), PULL, PullRequest(6))
    started_at = time.perf_counter()
    for _ in range(PULL_COUNT):
        await client.call((host, port), PULL, PullRequest(6))
    microseconds = (time.perf_counter() - started_at) * 1e6 / PULL_COUNT
    client.close()
    await server.close()
    return {"pull_us_both_ends": round(microseconds, 1)}


def _measure_heartbeats(servers: int) -> dict[str, float]:
    config, _ = _build_fleet(servers)
    membership = Membership(0.0)
    messages = [
        Heartbeat(member.server_id, BOOT_ID, config.index, 1_000, False, 1.0)
        for member in list(config.servers_by_id.values())[:500]
    ]
    microseconds = _measure_us(
        lambda: [membership.on_heartbeat(message, config, 1.0) for message in messages], 3
    )
    removals_us = _measure_us(lambda: membership.find_removals(config, 1.0), 3)
    return {
        "servers": servers,
        "leader_us_per_heartbeat": round(microseconds / len(messages), 2),
        "removal_check_ms": round(removals_us / 1_000, 2),
    }
