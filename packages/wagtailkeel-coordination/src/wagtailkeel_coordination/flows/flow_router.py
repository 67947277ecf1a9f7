"""Routing of each packet of an agent: deliver, forward, place, refuse or recover its flow."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING

from wagtailkeel_coordination.buckets.bucket_authority import BucketAuthority
from wagtailkeel_coordination.flows.agent_view import AgentView
from wagtailkeel_coordination.flows.concurrency_limiter import ConcurrencyLimiter
from wagtailkeel_coordination.flows.expiring_keys import ExpiringKeys
from wagtailkeel_coordination.flows.flow_context import FlowContext
from wagtailkeel_coordination.flows.flow_context import is_start
from wagtailkeel_coordination.flows.local_flows import LocalFlows
from wagtailkeel_coordination.flows.peer_view import PeerView
from wagtailkeel_coordination.flows.placement import Placement
from wagtailkeel_coordination.flows.recovery import FlowRecovery
from wagtailkeel_coordination.flows.remote_flows import RemoteFlowSweeper
from wagtailkeel_coordination.flows.round_trip_probe import RoundTripProbe
from wagtailkeel_protocol import gue
from wagtailkeel_protocol import packet as ip
from wagtailkeel_protocol.flow_key import hash_flow
from wagtailkeel_protocol.malformed import Malformed
from wagtailkeel_protocol.messages import Claim
from wagtailkeel_protocol.messages import ClaimAnswer
from wagtailkeel_protocol.messages import Datagram
from wagtailkeel_protocol.messages import FlowTransfer
from wagtailkeel_protocol.messages import FlowTransferAck
from wagtailkeel_protocol.messages import Gossip
from wagtailkeel_protocol.messages import Grant
from wagtailkeel_protocol.messages import GrantAck
from wagtailkeel_protocol.packet_builder import build_abort
from wagtailkeel_state.flow_directory import FlowDirectory

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from wagtailkeel_coordination.counters import Counters
    from wagtailkeel_coordination.flows.agent_identity import AgentIdentity
    from wagtailkeel_coordination.lease import PlacementLease
    from wagtailkeel_coordination.outbox import DatagramOutbox
    from wagtailkeel_coordination.outbox import PacketOutbox
    from wagtailkeel_protocol.gue import DataFrame
    from wagtailkeel_protocol.messages import Load
    from wagtailkeel_state.configuration import Configuration
    from wagtailkeel_state.local_flow import LocalFlow
    from wagtailkeel_state.owner_table import OwnerTable
    from wagtailkeel_state.remote_flow import RemoteFlow
    from wagtailkeel_state.traffic_class import TrafficClass

REJECTION_RETENTION_S = 30.0
"""A late copy of a rejected placement is rejected again: the flow may have another server now."""


class FlowRouter:
    """Routing decisions of one agent; owns the flow directory and the parts that use it.

    ``record_response`` is called with each measured response time in seconds.
    """

    def __init__(
        self,
        identity: AgentIdentity,
        packets: PacketOutbox,
        datagrams: DatagramOutbox,
        lease: PlacementLease,
        random: Random,
        counters: Counters,
        record_response: Callable[[float], None],
        now: float,
    ) -> None:
        self.view = AgentView(identity)
        self.directory = FlowDirectory()
        self.limiter = ConcurrencyLimiter(identity.slots)
        self.peers = PeerView(random, self.view.is_placeable)
        self.local_flows = LocalFlows(
            self.directory, self.limiter, identity.slots, packets, counters, record_response
        )
        self.authority = BucketAuthority(
            identity.server_id,
            identity.boot_id,
            self.directory,
            datagrams,
            counters,
            self._replay,
        )
        self._context = FlowContext(
            self.view,
            self.directory,
            self.local_flows,
            self.authority,
            packets,
            counters,
            now,
            self._route_answer,
        )
        self._placement = Placement(
            self._context, self.limiter, self.peers, lease, self._forward_to_authority
        )
        self._recovery = FlowRecovery(self._context)
        self._packets = packets
        self._lease = lease
        self._counters = counters
        self._rejected_starts = ExpiringKeys(REJECTION_RETENTION_S)
        self._probe = RoundTripProbe()
        self._sweeper = RemoteFlowSweeper(self.directory)
        self._was_placeable = False

    @property
    def load(self) -> Load:
        """The load of the local backend server, as reported to peers."""
        return self._placement.load

    # Configuration

    def apply_configuration(
        self, config: Configuration, table: OwnerTable | None, now: float
    ) -> None:
        """Apply a newer configuration.

        ``table`` is the owner table of this agent's service, None if there is none yet.
        """
        self._context.now = now
        self.view.update(config, now)
        if self.view.had_other_incarnation():
            self.authority.has_incomplete_flow_table = True
        self._restart_limiter()
        known_epoch = self.authority.table.epoch if self.authority.table else -1
        if table is not None and table.epoch > known_epoch:
            self._apply_table(table, known_epoch, now)

    def _restart_limiter(self) -> None:
        """Restart slow start when the server is placeable again: it may have become cold."""
        is_placeable = self.view.is_placeable(self.view.own_id)
        if is_placeable and not self._was_placeable:
            self.limiter.restart()
        self._was_placeable = is_placeable

    def _apply_table(self, table: OwnerTable, known_epoch: int, now: float) -> None:
        boot_ids = self.view.boot_ids_by_member()
        self.peers.retain(boot_ids)
        self.authority.apply_table(table, boot_ids, self.view.ids_removed_since(known_epoch), now)

    def set_isolated(self, is_isolated: bool, now: float) -> None:
        """Stop all service while this agent is isolated, or resume it."""
        self.view.set_isolated(is_isolated, now)

    def rejoin(self, boot_id: int) -> None:
        """Start as a new incarnation, after control removed the previous one.

        Tokens are discarded; the flows on the local backend server still exist and are kept.
        """
        self.view.add_incarnation(boot_id)
        self._lease.revoke()
        self.authority.start_incarnation(boot_id)

    # Packets from balancers and agents

    def deliver_if_local(self, packet: bytes, hops: int, now: float) -> bool:
        """Deliver a packet of a flow of the local backend server; return False for any other.

        The code that calls this method passes any other packet to ``on_frame``.
        """
        flow = self.directory.local_flows_by_key.get(ip.parse_flow_key(packet))  # type: ignore[arg-type]
        if flow is None or self.view.is_out_of_service:
            return False
        self._deliver(flow, packet, hops, now)
        return True

    def _deliver(self, flow: LocalFlow, packet: bytes, hops: int, now: float) -> None:
        if hops:
            self._counters[f"delivered_after_{hops}_hops"] += 1
        self.local_flows.on_inbound(flow, packet, now)

    def on_frame(self, frame: DataFrame, now: float) -> None:
        """Route one packet that travels from a caller to a server."""
        self._context.now = now
        key = ip.parse_flow_key(frame.packet)
        if isinstance(key, Malformed):
            self._counters[f"dropped_{key.value}"] += 1
            return
        flow = self.directory.local_flows_by_key.get(key)
        if flow is None or frame.flags & gue.ANSWER_FLAGS:
            self._route(frame, key)
            return
        if self.view.is_out_of_service:
            self._end_out_of_service_flow(flow)
            self._context.reset_caller(frame.packet)
            return
        if frame.flags & gue.FLAG_QUERY:
            # The earlier answer was lost, or is on its way.
            self._context.return_found(frame)
        self._deliver(flow, frame.packet, frame.hops, now)

    def _end_out_of_service_flow(self, flow: LocalFlow) -> None:
        """End a flow because the data centre is out of service.

        The flow's record is kept for a while: the bucket's next owner must not start the flow
        elsewhere.
        """
        self._counters["flows_given_up"] += 1
        if flow.key[-1] == ip.TCP:
            self.local_flows.mark_closed(flow)

    def _route(self, frame: DataFrame, key: bytes) -> None:
        if frame.hops > gue.MAX_HOPS:
            self._counters["dropped_hop_limit"] += 1
            return
        traffic_class = self.view.find_class(key)
        if traffic_class is None:
            # A packet of another service, or of a class that this agent doesn't know yet.
            self._counters["dropped_unknown_class"] += 1
            return
        if hash_flow(key) % self.view.bucket_count != frame.bucket:
            self._counters["dropped_wrong_bucket"] += 1
            return
        if frame.flags & gue.FLAG_DELIVER:
            self._on_delivery(frame, key, traffic_class)
        elif self.authority.is_authority(frame.bucket):
            self._route_as_authority(frame, key, traffic_class)
        else:
            self._forward_to_authority(frame, key)

    def _forward_to_authority(self, frame: DataFrame, key: bytes) -> None:
        claim = self.authority.claims_by_bucket.get(frame.bucket)
        if claim is None:
            self._context.forward_to_successor(frame)
            return
        remote = self.directory.find_remote(frame.bucket, key)
        if remote is not None and not frame.flags & gue.ANSWER_FLAGS:
            self._send_to_remote(frame, key, remote)
            return
        if claim.holder_id and not frame.flags & gue.FLAG_GRANTED:
            self._context.forward(claim.holder_id, frame, 0)
            return
        if not claim.pending_ids and self._route_before_takeover(frame, key):
            return
        if not claim.enqueue(frame, self._context.now):
            self._counters["dropped_claim_queue_full"] += 1

    def _route_before_takeover(self, frame: DataFrame, key: bytes) -> bool:
        """Search for a flow that no member knows, without waiting for leases as the takeover does.

        Return whether the packet was handled in this way.
        """
        if frame.flags & gue.ANSWER_FLAGS:
            if not self._recovery.is_searching(key):
                return False
            self._route_answer(frame)
            return True
        if is_start(frame.packet, key) or not self._recovery.has_candidates(key):
            return False
        self._recovery.search(frame, key)
        return True

    # Decisions of the authority

    def _route_as_authority(
        self, frame: DataFrame, key: bytes, traffic_class: TrafficClass
    ) -> None:
        remote = self.directory.find_remote(frame.bucket, key)
        if frame.flags & gue.ANSWER_FLAGS:
            self._on_answer(frame, key, traffic_class)
        elif remote is not None:
            self._send_to_remote(frame, key, remote)
        elif is_start(frame.packet, key):
            self._recovery.end_search(key)
            self._placement.place(frame, key, traffic_class)
        else:
            self._recovery.search(frame, key)

    def _route_answer(self, frame: DataFrame) -> None:
        key = ip.parse_flow_key(frame.packet)
        traffic_class = None if isinstance(key, Malformed) else self.view.find_class(key)
        if not isinstance(key, Malformed) and traffic_class is not None:
            self._on_answer(frame, key, traffic_class)

    def _on_answer(self, frame: DataFrame, key: bytes, traffic_class: TrafficClass) -> None:
        """Handle what another agent, or this one before it was the authority, says of a flow."""
        remote = self.directory.find_remote(frame.bucket, key)
        server_id = self.view.find_id_by_join_index(frame.token_epoch)
        if frame.flags & gue.FLAG_FOUND:
            self._on_found(frame, key, remote, server_id)
        elif is_start(frame.packet, key):
            self._placement.on_rejection(frame, key, traffic_class, remote)
        elif server_id is None or key in self.directory.local_flows_by_key:
            self._counters["rejections_ignored"] += 1
        elif remote is not None and remote.server_id == server_id:
            self._on_outdated_pointer(frame, key, server_id)
        elif remote is None and self._recovery.is_searching(key):
            self._recovery.on_denial(frame, key, server_id)
        else:
            self._counters["rejections_ignored"] += 1

    def _on_found(
        self, frame: DataFrame, key: bytes, remote: RemoteFlow | None, server_id: str | None
    ) -> None:
        # A late answer must not replace a newer record of the key.
        is_known = remote is not None or key in self.directory.local_flows_by_key
        if server_id is None or is_known:
            return
        self._recovery.end_search(key)
        if server_id != self.view.own_id:
            self.directory.add_remote(frame.bucket, key, server_id, self._context.now)

    def _on_outdated_pointer(self, frame: DataFrame, key: bytes, server_id: str) -> None:
        """Search for a flow that its recorded server lacks."""
        if frame.flags & gue.FLAG_QUERY:
            # The pointer is newer than this answer to a query.
            self._counters["rejections_ignored"] += 1
            return
        self.directory.remove_remote(frame.bucket, key)
        self._recovery.on_denial(frame, key, server_id)

    def _send_to_remote(self, frame: DataFrame, key: bytes, remote: RemoteFlow) -> None:
        remote.last_seen_at = self._context.now
        if remote.is_refused:
            self._placement.refuse_again(frame)
            return
        if remote.server_id == self.view.own_id:
            self._adopt_flow(frame, key)
            return
        member = self.view.find_member(remote.server_id)
        if member is None:
            self._on_missing_member(frame, key, remote.server_id)
            return
        if self.view.config is not None and not self.view.config.is_in_service(member.data_centre):
            self._counters["flows_given_up"] += 1
            self._context.reset_caller(frame.packet)
            return
        if key[-1] == ip.TCP:
            self._track_closing(remote, frame.packet)
        self._context.forward(remote.server_id, frame, gue.FLAG_DELIVER)

    @staticmethod
    def _track_closing(remote: RemoteFlow, packet: bytes) -> None:
        if ip.tcp_flags(packet) & (ip.FIN | ip.RST):
            remote.is_closing = True
        elif ip.payload_of(packet):
            # The caller still sends: the FIN or RST was a late one of an earlier flow.
            remote.is_closing = False

    def _on_missing_member(self, frame: DataFrame, key: bytes, server_id: str) -> None:
        """Keep forwarding to a removed member: it may only be out of reach of control.

        Its silence says nothing of its server. Callers get RST once the server has ended. A start
        ``REMOVED_MEMBER_RETENTION_S`` after the removal opens a new flow: callers don't repeat the
        start of an earlier one for so long.
        """
        is_removed = server_id in self.view.removed_ids
        was_removed_recently = server_id in self.view.recently_removed_ids(self._context.now)
        has_ended = self.view.has_ended(server_id)
        if not is_removed and not has_ended:
            # The record comes from an agent with a newer configuration.
            self._counters["dropped_unknown_server"] += 1
        elif is_start(frame.packet, key) and not was_removed_recently:
            self.directory.remove_remote(frame.bucket, key)
            self._route(frame, key)
        elif has_ended:
            self.directory.remove_remote(frame.bucket, key)
            self._context.reset_caller(frame.packet)
        else:
            self._counters["packets_to_former_member"] += 1
            self._context.forward(server_id, frame, gue.FLAG_DELIVER)

    def _adopt_flow(self, frame: DataFrame, key: bytes) -> None:
        """Open a flow that the records place on the local server, but this incarnation lacks."""
        traffic_class = self.view.find_class(key)
        if traffic_class is not None:
            self._counters["flows_adopted"] += 1
            self._context.open_and_deliver(frame, key, traffic_class)

    # Delivery to the local backend server, requested by another authority

    def _on_delivery(self, frame: DataFrame, key: bytes, traffic_class: TrafficClass) -> None:
        if self.view.is_out_of_service:
            self._context.reset_caller(frame.packet)
            return
        is_first_packet = is_start(frame.packet, key)
        if is_first_packet and frame.epoch < self.view.joined_index:
            # Sent to an earlier incarnation, which may have rejected the flow.
            self._counters["deliveries_stale"] += 1
        elif self._rejected_starts.contains(key, self._context.now):
            self._context.return_rejected(frame)
        elif frame.flags & gue.FLAG_NEW:
            self._on_remote_placement(frame, key, traffic_class)
        elif is_first_packet:
            self._context.open_and_deliver(frame, key, traffic_class)
        elif self._recovery.may_lack_record(key):
            self._recovery.query(frame, key)
        else:
            self._context.return_rejected(frame)

    def _on_remote_placement(
        self, frame: DataFrame, key: bytes, traffic_class: TrafficClass
    ) -> None:
        if self.authority.is_placement_stale(frame.bucket, frame.token_epoch):
            self._counters["placements_stale"] += 1
            return
        if self._placement.can_start_locally(traffic_class):
            self._context.open_and_deliver(frame, key, traffic_class)
            return
        self._rejected_starts.add(key, self._context.now)
        self._context.return_rejected(frame)

    # Packets from the local backend server

    def on_server_packet(self, packet: bytes, now: float) -> None:
        """Process a packet of the local backend server: a probe's answer or a reply to a caller."""
        self._context.now = now
        parsed = ip.parse_flow_key(packet)
        if isinstance(parsed, Malformed):
            self._counters[f"dropped_reply_{parsed.value}"] += 1
            return
        key = ip.reverse_key(parsed)
        round_trip_s = self._probe.match(key, now)
        if round_trip_s is not None:
            self.limiter.on_round_trip(round_trip_s)
            return
        flow = self.directory.local_flows_by_key.get(key)
        if self.view.is_out_of_service:
            self._abort_reply(flow, packet, parsed)
            return
        if flow is None:
            self._on_unknown_reply(packet, key)
            return
        self.local_flows.on_outbound(flow, packet, now)
        self._packets.reply(packet)
        self._placement.process_queue()

    def _abort_reply(self, flow: LocalFlow | None, packet: bytes, parsed: bytes) -> None:
        if flow is not None:
            self._end_out_of_service_flow(flow)
        if parsed[-1] == ip.TCP and not ip.tcp_flags(packet) & ip.RST:
            self._packets.reply(build_abort(packet))

    def _on_unknown_reply(self, packet: bytes, key: bytes) -> None:
        if key[-1] == ip.TCP and ip.tcp_flags(packet) & ip.RST:
            self._recovery.on_reset(key)
            return
        was_queried = self._recovery.on_answer(key)
        traffic_class = self.view.find_class(key)
        if traffic_class is None:
            self._counters["dropped_reply_unknown_class"] += 1
            return
        if key[-1] != ip.TCP or was_queried or self.authority.has_incomplete_flow_table:
            self._counters["flows_adopted"] += 1
            bucket = hash_flow(key) % self.view.bucket_count
            now = self._context.now
            flow = self.local_flows.open(key, bucket, traffic_class, now)
            self.local_flows.on_outbound(flow, packet, now)
        # Otherwise, the TCP flow was closed here, and its last packets are still sent.
        self._packets.reply(packet)

    # Messages and timers

    @singledispatchmethod
    def on_message(self, message: Datagram, now: float) -> None:
        """Handle a control datagram of a peer."""
        self._counters["dropped_unexpected_message"] += 1

    @on_message.register
    def _(self, message: Claim, now: float) -> None:
        self.authority.on_claim(message, now)

    @on_message.register
    def _(self, message: ClaimAnswer, now: float) -> None:
        self._context.now = now
        self.authority.on_claim_answer(message, now)

    @on_message.register
    def _(self, message: Grant, now: float) -> None:
        self._context.now = now
        self.authority.on_grant(message, now)

    @on_message.register
    def _(self, message: GrantAck, now: float) -> None:
        self.authority.on_grant_ack(message)

    @on_message.register
    def _(self, message: FlowTransfer, now: float) -> None:
        self.authority.on_flow_transfer(message, now)

    @on_message.register
    def _(self, message: FlowTransferAck, now: float) -> None:
        self.authority.on_flow_transfer_ack(message, now)

    @on_message.register
    def _(self, message: Gossip, now: float) -> None:
        self.peers.update(message.sender, message.load, now)

    def tick(self, now: float) -> None:
        """Run all timers; called every few tens of milliseconds."""
        self._context.now = now
        self.view.refresh(now)
        self.authority.tick(now)
        self.local_flows.tick(now)
        self._placement.process_queue()
        self._send_probe(now)
        self._sweeper.tick(self.view.classes_by_endpoint, now)
        self._recovery.expire(now)
        self._rejected_starts.expire(now)

    def _send_probe(self, now: float) -> None:
        if self.view.is_out_of_service or not self.view.probe_endpoint:
            return
        probe = self._probe.build(self.view.probe_endpoint, now)
        if probe is not None:
            self._packets.deliver(probe)

    def _replay(self, frames: list[DataFrame]) -> None:
        for frame in frames:
            self.on_frame(frame, self._context.now)
