"""Tracking of the flows on the local backend server: packets, unanswered requests, expiry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination.flows.expiring_keys import ExpiringKeys
from wagtailkeel_protocol import packet as ip
from wagtailkeel_protocol.packet_builder import build_probe
from wagtailkeel_protocol.packet_builder import build_reset
from wagtailkeel_state.enums import FlowProtocol
from wagtailkeel_state.local_flow import LocalFlow

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtailkeel_coordination.counters import Counters
    from wagtailkeel_coordination.flows.concurrency_limiter import ConcurrencyLimiter
    from wagtailkeel_coordination.outbox import PacketOutbox
    from wagtailkeel_state.flow_directory import FlowDirectory
    from wagtailkeel_state.traffic_class import TrafficClass

ANSWER_TIMEOUT_S = 10.0
PROBE_DELAY_S = 3.0
MIN_UNANSWERED_PACKETS = 2
PROBE_INTERVAL_S = 1.0
MAX_PROBES = 3
SERVER_ALIVE_WINDOW_S = 2.0
CLOSED_RETENTION_S = 10.0
REMOVED_RETENTION_S = 60.0
"""How long the server is asked about a flow whose record was removed without its word."""
SWEEP_INTERVAL_S = 5.0
SWEEP_FLOWS_PER_TICK = 2_000

_CONNECTION_FLAGS = ip.RST | ip.SYN | ip.FIN


class LocalFlows:
    """Tracks every packet of the flows on the local backend server."""

    def __init__(
        self,
        directory: FlowDirectory,
        limiter: ConcurrencyLimiter,
        slots: int,
        packets: PacketOutbox,
        counters: Counters,
        record_response: Callable[[float], None],
    ) -> None:
        self.held_count = 0
        self._directory = directory
        self._limiter = limiter
        self._slots = slots
        self._packets = packets
        self._counters = counters
        self._record_response = record_response
        self._awaiting_by_key: dict[bytes, LocalFlow] = {}
        self._probe_counts_by_key: dict[bytes, int] = {}
        self._lately_removed = ExpiringKeys(REMOVED_RETENTION_S)
        self._last_answer_at = float("-inf")
        self._sweep_keys: list[bytes] = []
        self._swept_at = float("-inf")

    @property
    def awaiting_count(self) -> int:
        """The number of flows that await an answer of the server."""
        return len(self._awaiting_by_key)

    def open(self, key: bytes, bucket: int, traffic_class: TrafficClass, now: float) -> LocalFlow:
        """Start tracking a flow."""
        flow = LocalFlow(key, bucket, traffic_class, now, now)
        self._lately_removed.discard(key)
        self._directory.add_local(flow)
        self.held_count += traffic_class.has_held_flows_target
        self._counters["flows_opened"] += 1
        return flow

    def has_lately_removed(self, key: bytes, now: float) -> bool:
        """Return whether a TCP flow's record was removed lately, though its server may have it.

        An RST or FIN may be a late packet of an earlier flow with the same key, which the server
        ignores, and an idle limit ends the record, not the connection.
        """
        return self._lately_removed.contains(key, now)

    def _remove(self, flow: LocalFlow, now: float) -> None:
        """Remove a record without the server's word that the flow has ended."""
        self.close(flow)
        if flow.traffic_class.protocol is FlowProtocol.TCP:
            self._lately_removed.add(flow.key, now)

    def close(self, flow: LocalFlow) -> None:
        """Stop tracking a flow and remove its record."""
        self._abandon_answer(flow)
        self._directory.remove_local(flow)
        self.held_count -= flow.traffic_class.has_held_flows_target
        self._counters["flows_closed"] += 1

    def mark_closed(self, flow: LocalFlow) -> None:
        """Treat a TCP flow as closed by both ends; its record is kept for late packets."""
        self._abandon_answer(flow)
        flow.has_inbound_fin = flow.has_outbound_fin = True

    def on_inbound(self, flow: LocalFlow, packet: bytes, now: float) -> None:
        """Record a packet to the server and deliver it."""
        flow.last_inbound_at = now
        if flow.traffic_class.protocol is FlowProtocol.UDP:
            self._expect_answer(flow, packet, now)
            self._packets.deliver(packet)
            return
        self._packets.deliver(packet)
        offset = ip.transport_offset(packet)
        flags = packet[offset + 13]
        if flags & _CONNECTION_FLAGS:
            self._track_connection(flow, flags, now)
        if flags & ip.RST:
            return
        has_payload = len(packet) > offset + (packet[offset + 12] >> 4) * 4
        if has_payload or flags & ip.SYN:
            self._expect_answer(flow, packet, now)

    def _track_connection(self, flow: LocalFlow, flags: int, now: float) -> None:
        if flags & ip.RST:
            self._remove(flow, now)
        elif flags & ip.SYN:
            flow.has_inbound_fin = flow.has_outbound_fin = False
        else:
            flow.has_inbound_fin = True

    def _expect_answer(self, flow: LocalFlow, packet: bytes, now: float) -> None:
        flow.unanswered_packets += 1
        flow.last_packet = packet
        if flow.awaiting_since > 0.0:
            return
        flow.awaiting_since = now
        flow.was_queued = self._limiter.in_flight >= self._slots
        self._limiter.on_start()
        self._awaiting_by_key[flow.key] = flow

    def on_outbound(self, flow: LocalFlow, packet: bytes, now: float) -> None:
        """Record a packet of the server; the code that calls this method sends the packet."""
        flow.last_outbound_at = now
        self._last_answer_at = now
        if flow.traffic_class.protocol is FlowProtocol.UDP:
            if flow.awaiting_since > 0.0:
                self._record_answer(flow, now)
            return
        offset = ip.transport_offset(packet)
        flags = packet[offset + 13]
        if flags & ip.RST:
            self.close(flow)
            return
        if flags & ip.FIN:
            flow.has_outbound_fin = True
        if flow.awaiting_since <= 0.0:
            return
        if flags & ip.SYN:
            self._abandon_answer(flow)
        elif len(packet) > offset + (packet[offset + 12] >> 4) * 4:
            self._record_answer(flow, now)

    def _record_answer(self, flow: LocalFlow, now: float) -> None:
        response_s = now - flow.awaiting_since
        traffic_class = flow.traffic_class
        self._clear_awaiting(flow)
        self._limiter.on_answer(
            traffic_class.name, response_s, traffic_class.target, flow.was_queued, now
        )
        self._record_response(response_s)

    def _abandon_answer(self, flow: LocalFlow) -> None:
        if not flow.is_awaiting_answer:
            return
        self._clear_awaiting(flow)
        self._limiter.on_abandon()

    def _clear_awaiting(self, flow: LocalFlow) -> None:
        flow.awaiting_since = 0.0
        flow.unanswered_packets = 0
        flow.last_packet = b""
        self._awaiting_by_key.pop(flow.key, None)
        self._probe_counts_by_key.pop(flow.key, None)

    def tick(self, now: float) -> None:
        """Probe unanswered flows, give up overdue answers, close expired flows."""
        for flow in list(self._awaiting_by_key.values()):
            self._check_unanswered(flow, now)
        self._sweep(now)
        self._lately_removed.expire(now)

    def _check_unanswered(self, flow: LocalFlow, now: float) -> None:
        """Probe an unanswered flow, or give up its answer after ``ANSWER_TIMEOUT_S``.

        A TCP flow is probed if its caller has sent repeatedly and the server answers other flows.
        """
        waited_s = now - flow.awaiting_since
        if waited_s < PROBE_DELAY_S:
            return
        is_server_alive = now - self._last_answer_at < SERVER_ALIVE_WINDOW_S
        is_flow_unanswered = flow.last_outbound_at < flow.awaiting_since
        if not is_server_alive and is_flow_unanswered:
            self._limiter.on_unresponsive()
        is_tcp = flow.traffic_class.protocol is FlowProtocol.TCP
        is_repeated = flow.unanswered_packets >= MIN_UNANSWERED_PACKETS
        if is_tcp and is_flow_unanswered and is_server_alive and is_repeated:
            self._probe(flow, now)
            return
        if waited_s > ANSWER_TIMEOUT_S:
            self._counters["answers_overdue"] += 1
            self._abandon_answer(flow)

    def _probe(self, flow: LocalFlow, now: float) -> None:
        """Probe whether the server has the flow; after ``MAX_PROBES``, reset and close the flow."""
        if now - flow.probed_at < PROBE_INTERVAL_S:
            return
        probes = self._probe_counts_by_key.get(flow.key, 0)
        if probes >= MAX_PROBES:
            self._counters["silent_flows_reset"] += 1
            self._packets.reply(build_reset(flow.last_packet))
            self.close(flow)
            return
        flow.probed_at = now
        self._probe_counts_by_key[flow.key] = probes + 1
        self._counters["silence_probes"] += 1
        self._packets.deliver(build_probe(flow.last_packet))

    def _sweep(self, now: float) -> None:
        if not self._sweep_keys:
            if now - self._swept_at < SWEEP_INTERVAL_S:
                return
            self._swept_at = now
            self._sweep_keys = list(self._directory.local_flows_by_key)
        keys = self._sweep_keys
        for _ in range(min(SWEEP_FLOWS_PER_TICK, len(keys))):
            flow = self._directory.local_flows_by_key.get(keys.pop())
            if flow is not None and self._is_expired(flow, now):
                self._remove(flow, now)

    def _is_expired(self, flow: LocalFlow, now: float) -> bool:
        idle_s = now - max(flow.last_inbound_at, flow.last_outbound_at)
        if flow.is_closed:
            return idle_s > CLOSED_RETENTION_S
        return idle_s > flow.traffic_class.idle_limit_s
