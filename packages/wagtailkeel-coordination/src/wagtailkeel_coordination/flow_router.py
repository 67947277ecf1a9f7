"""What an agent does with each packet: deliver, forward, place, refuse or recover its flow."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING

from wagtailkeel_coordination.admission_queue import AdmissionQueue
from wagtailkeel_coordination.bucket_authority import RETRY_HORIZON_S
from wagtailkeel_coordination.bucket_authority import BucketAuthority
from wagtailkeel_coordination.concurrency_limiter import ConcurrencyLimiter
from wagtailkeel_coordination.local_flows import LocalFlows
from wagtailkeel_coordination.peer_view import PeerView
from wagtailkeel_coordination.recovery import PendingRecovery
from wagtailkeel_coordination.recovery import RecoveryBook
from wagtailkeel_coordination.rejected_starts import RejectedStarts
from wagtailkeel_coordination.remote_flows import RemoteFlowSweeper
from wagtailkeel_coordination.round_trip_probe import RoundTripProbe
from wagtailkeel_coordination.service_view import index_classes
from wagtailkeel_protocol import gue
from wagtailkeel_protocol import packet as ip
from wagtailkeel_protocol.flow_key import endpoint_of
from wagtailkeel_protocol.flow_key import hash_flow
from wagtailkeel_protocol.gue import DataFrame
from wagtailkeel_protocol.malformed import Malformed
from wagtailkeel_protocol.messages import Claim
from wagtailkeel_protocol.messages import ClaimAnswer
from wagtailkeel_protocol.messages import Datagram
from wagtailkeel_protocol.messages import FlowTransfer
from wagtailkeel_protocol.messages import FlowTransferAck
from wagtailkeel_protocol.messages import Gossip
from wagtailkeel_protocol.messages import Grant
from wagtailkeel_protocol.messages import GrantAck
from wagtailkeel_protocol.messages import Load
from wagtailkeel_protocol.packet_builder import build_abort
from wagtailkeel_protocol.packet_builder import build_refusal
from wagtailkeel_protocol.packet_builder import build_reset
from wagtailkeel_state.enums import ServerState
from wagtailkeel_state.flow_directory import FlowDirectory
from wagtailkeel_state.flow_record import REFUSED

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from wagtailkeel_coordination.agent_identity import AgentIdentity
    from wagtailkeel_coordination.counters import Counters
    from wagtailkeel_coordination.lease import PlacementLease
    from wagtailkeel_coordination.outbox import DatagramOutbox
    from wagtailkeel_coordination.outbox import PacketOutbox
    from wagtailkeel_coordination.service_view import ServiceClass
    from wagtailkeel_state.configuration import Configuration
    from wagtailkeel_state.local_flow import LocalFlow
    from wagtailkeel_state.owner_table import OwnerTable
    from wagtailkeel_state.remote_flow import RemoteFlow
    from wagtailkeel_state.traffic_class import TrafficClass

ABSENCE_LIMIT_S = 30.0
NEVER_JOINED = 2**31


class FlowRouter:
    """Routing decisions of one agent; it owns the directory and all that hangs on it."""

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
        self.directory = FlowDirectory()
        self.limiter = ConcurrencyLimiter(identity.slots)
        self.local = LocalFlows(
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
        self.peers = PeerView(random, self._is_placeable)
        self.config: Configuration | None = None
        self._identity = identity
        self._own_id = identity.server_id
        self._packets = packets
        self._lease = lease
        self._counters = counters
        self._recoveries = RecoveryBook()
        self._rejected = RejectedStarts()
        self._starts = AdmissionQueue()
        self._probe = RoundTripProbe()
        self._sweeper = RemoteFlowSweeper(self.directory)
        self._classes_by_endpoint: dict[bytes, ServiceClass] = {}
        self._absent_since_by_id: dict[str, float] = {}
        self._is_own_server_placeable = False
        self._draining_since = float("inf")
        self._is_isolated = False
        self._own_endpoint = b""
        self._bucket_count = 0
        self._is_out_of_service = False
        self._now = now
        self._started_at = now
        self._boot_ids = {identity.boot_id}

    # Configuration

    def apply_configuration(
        self, config: Configuration, table: OwnerTable | None, now: float
    ) -> None:
        """Adopt a newer configuration; ``table`` is its owner table, built by the caller."""
        if self._had_other_incarnation(config):
            self.authority.has_lost_memory = True
        self.config = config
        self._now = now
        self._classes_by_endpoint = index_classes(config)
        self._own_endpoint = next(
            (
                endpoint
                for endpoint, found in self._classes_by_endpoint.items()
                if found.service == self._identity.service
            ),
            b"",
        )
        was_placeable = self._is_own_server_placeable
        self._is_own_server_placeable = config.is_placeable(self._own_id)
        if self._is_own_server_placeable and not was_placeable:
            # Whatever the server was doing meanwhile, it may have turned cold.
            self.limiter.restart()
        self._update_service_state()
        service = config.services_by_name.get(self._identity.service)
        if service is None or table is None:
            return
        self._bucket_count = service.bucket_count
        known_epoch = self.authority.table.epoch if self.authority.table else -1
        if table.epoch > known_epoch:
            self._apply_table(config, table, known_epoch, now)

    def set_isolated(self, is_isolated: bool) -> None:
        """End all service, or take it up again, where the settings ask so for an isolated node."""
        self._is_isolated = is_isolated
        self._update_service_state()

    def _update_service_state(self) -> None:
        assert self.config is not None, "service starts with a configuration"
        is_in = self.config.is_in_service(self._identity.data_centre)
        self._is_out_of_service = not is_in or self._is_isolated or self._is_drain_over()

    def _is_drain_over(self) -> bool:
        own = self.config.servers_by_id.get(self._own_id) if self.config else None
        if own is None or own.state is not ServerState.DRAINING:
            self._draining_since = float("inf")
            return False
        self._draining_since = min(self._draining_since, self._now)
        return self._now - self._draining_since > own.drain_deadline_s

    def _had_other_incarnation(self, config: Configuration) -> bool:
        """Tell whether the own server had an agent before this process."""
        known = (
            config.servers_by_id.get(self._own_id),
            config.former_members_by_id.get(self._own_id),
        )
        return any(found is not None and found.boot_id not in self._boot_ids for found in known)

    def _apply_table(
        self, config: Configuration, table: OwnerTable, known_epoch: int, now: float
    ) -> None:
        region = config.region_of(self._identity.data_centre)
        boot_ids = {
            member.server_id: member.boot_id
            for member in config.members_of(self._identity.service)
            if config.region_of(member.data_centre) == region
        }
        removed_ids = {
            former.server_id
            for former in config.former_members_by_id.values()
            if former.service == self._identity.service and former.removed_index > known_epoch
        }
        self.peers.retain(boot_ids)
        for server_id in boot_ids:
            self._absent_since_by_id.pop(server_id, None)
        self.authority.apply_table(table, boot_ids, removed_ids, now)

    def _is_placeable(self, server_id: str) -> bool:
        return self.config is not None and self.config.is_placeable(server_id)

    # Packets from balancers and agents

    def on_frame(self, frame: DataFrame, now: float) -> None:
        """Route one packet that travels from a caller to a server."""
        self._now = now
        key = ip.parse_flow_key(frame.packet)
        if isinstance(key, Malformed):
            self._counters[f"dropped_{key.value}"] += 1
            return
        flow = self.directory.local_flows_by_key.get(key)
        if flow is None or frame.marks & gue.MARK_REJECTED:
            self._route(frame, key)
            return
        if self._is_out_of_service:
            self._give_up_local(flow, frame)
            return
        if frame.hops:
            self._counters[f"delivered_after_{frame.hops}_hops"] += 1
        self.local.on_inbound(flow, frame.packet, now)

    def _give_up_local(self, flow: LocalFlow, frame: DataFrame) -> None:
        self._give_up(flow)
        self._reset_caller(frame.packet)

    def _give_up(self, flow: LocalFlow) -> None:
        """End a flow of a data centre that is out of service.

        It is remembered for a while: its next owner must not start it elsewhere.
        """
        self._counters["flows_given_up"] += 1
        if flow.key[-1] == ip.TCP:
            self.local.end(flow)

    def _route(self, frame: DataFrame, key: bytes) -> None:
        if frame.hops > gue.MAX_HOPS:
            self._counters["dropped_hop_limit"] += 1
            return
        found = self._classes_by_endpoint.get(endpoint_of(key))
        if found is None or found.service != self._identity.service:
            cause = "dropped_unknown_class" if found is None else "dropped_other_service"
            self._counters[cause] += 1
            return
        bucket = hash_flow(key) % self._bucket_count
        if bucket != frame.bucket:
            self._counters["dropped_wrong_bucket"] += 1
            return
        if frame.marks & gue.MARK_DELIVER:
            self._on_delivery(frame, key, found.traffic_class)
        elif self.authority.is_authority(bucket):
            self._decide(frame, key, found.traffic_class)
        else:
            self._pass_to_authority(frame, key, found.traffic_class)

    def _pass_to_authority(self, frame: DataFrame, key: bytes, traffic_class: TrafficClass) -> None:
        bucket = frame.bucket
        claim = self.authority.claims_by_bucket.get(bucket)
        if claim is None:
            self._forward_to_successor(frame)
            return
        remote = self.directory.find_remote(bucket, key)
        if remote is not None and not frame.marks & gue.MARK_REJECTED:
            self._send_to_remote(frame, key, remote)
            return
        if claim.holder_id and not frame.marks & gue.MARK_GRANTED:
            self._forward(claim.holder_id, frame, 0)
            return
        is_known_to_nobody = not claim.pending_ids and not _is_start(frame.packet, key)
        if is_known_to_nobody and self._has_lost_memory:
            self._recover(frame, key, [])
            return
        if not claim.enqueue(frame, self._now):
            self._counters["dropped_claim_queue_full"] += 1

    def _forward_to_successor(self, frame: DataFrame) -> None:
        successor = self.authority.successors_by_bucket.get(frame.bucket)
        kept = frame.marks & gue.MARK_REJECTED
        if successor is not None:
            self._forward(successor, frame, kept | gue.MARK_GRANTED)
            return
        owner = self.authority.table.owner_of(frame.bucket) if self.authority.table else None
        if owner is None or owner == self._own_id:
            self._counters["dropped_no_owner"] += 1
            return
        self._forward(owner, frame, kept)

    def _forward(self, server_id: str, frame: DataFrame, marks: int) -> None:
        epoch = self.authority.table.epoch if self.authority.table else 0
        self._counters["packets_forwarded"] += 1
        self._packets.forward(
            server_id,
            DataFrame(frame.packet, frame.bucket, epoch, marks, frame.hops + 1, frame.token_epoch),
        )

    # Decisions of the authority

    def _decide(self, frame: DataFrame, key: bytes, traffic_class: TrafficClass) -> None:
        remote = self.directory.find_remote(frame.bucket, key)
        if frame.marks & gue.MARK_REJECTED:
            self._on_rejection(frame, key, traffic_class, remote)
            return
        if remote is not None:
            self._send_to_remote(frame, key, remote)
            return
        if _is_start(frame.packet, key):
            self._place(frame, key, traffic_class)
            return
        self._recover(frame, key, sorted(self.authority.forgetful_since_by_id))

    def _send_to_remote(self, frame: DataFrame, key: bytes, remote: RemoteFlow) -> None:
        remote.last_seen_at = self._now
        if remote.is_refused:
            self._counters["starts_refused_again"] += 1
            self._packets.reply(build_refusal(frame.packet))
            return
        server_id = remote.server_id
        if server_id == self._own_id:
            self._adopt(frame, key)
            return
        assert self.config is not None, "pointers exist only under a configuration"
        member = self.config.servers_by_id.get(server_id)
        if member is None:
            self._on_absent_server(frame, key, server_id)
            return
        if not self.config.is_in_service(member.data_centre):
            self._counters["flows_given_up"] += 1
            self._reset_caller(frame.packet)
            return
        if key[-1] == ip.TCP and ip.tcp_flags(frame.packet) & (ip.FIN | ip.RST):
            remote.is_closing = True
        self._forward(server_id, frame, gue.MARK_DELIVER)

    def _on_absent_server(self, frame: DataFrame, key: bytes, server_id: str) -> None:
        """Drop while the agent may come back, since the server may still have the connection."""
        absent_since = self._absent_since_by_id.setdefault(server_id, self._now)
        self._counters["dropped_absent_server"] += 1
        if self._now - absent_since > ABSENCE_LIMIT_S:
            self.directory.remove_remote(frame.bucket, key)
            self._reset_caller(frame.packet)

    def _place(self, frame: DataFrame, key: bytes, traffic_class: TrafficClass) -> None:
        if not traffic_class.is_idempotent:
            if not self._lease.is_valid(self._now):
                self._counters["starts_dropped_no_lease"] += 1
                return
            if self.authority.is_uncertain(frame.bucket, self._now):
                self._counters["starts_dropped_uncertain"] += 1
                return
        if self._starts.contains(key) or self._start_now(frame, key, traffic_class):
            return
        if self._is_within_retry_horizon and not traffic_class.is_idempotent:
            # The former incarnation may have placed the flow on the own server.
            self._counters["starts_dropped_uncertain"] += 1
        elif not self._starts.add(frame, key, traffic_class, self._now):
            self._refuse(frame, key)

    def _start_now(self, frame: DataFrame, key: bytes, traffic_class: TrafficClass) -> bool:
        """Start a flow where there is room; False when there is none."""
        if self._prefers_own_server(traffic_class):
            self._open_and_deliver(frame, key, traffic_class)
            return True
        if self._is_within_retry_horizon and not traffic_class.is_idempotent:
            return False
        peer = self._choose_peer(traffic_class)
        if peer is not None:
            self._place_remotely(frame, key, peer)
            return True
        if self._can_start_here(traffic_class):
            self._open_and_deliver(frame, key, traffic_class)
            return True
        return False

    def _drain_starts(self) -> None:
        """Start what waits, oldest first; refuse what has waited too long."""
        while len(self._starts):
            start = self._starts.first
            if not self.authority.is_authority(start.frame.bucket):
                self._starts.pop()
                self._pass_to_authority(start.frame, start.key, start.traffic_class)
            elif self._start_now(start.frame, start.key, start.traffic_class):
                self._starts.pop()
            elif self._now >= start.expires_at:
                self._starts.pop()
                self._refuse(start.frame, start.key)
            else:
                return

    def _prefers_own_server(self, traffic_class: TrafficClass) -> bool:
        if not self._can_start_here(traffic_class):
            return False
        if not traffic_class.is_held or self._is_within_retry_horizon:
            return True
        return self.peers.is_least_held(self.load, self._now)

    def _can_start_here(self, traffic_class: TrafficClass) -> bool:
        if not self._is_placeable(self._own_id) or not self.limiter.allows_start():
            return False
        return not traffic_class.is_held or self.local.held_count < traffic_class.target.limit

    def _choose_peer(self, traffic_class: TrafficClass) -> str | None:
        if traffic_class.is_held:
            return self.peers.choose_for_held_flow({self._own_id}, self._now)
        return self.peers.choose_for_request({self._own_id}, self._now)

    def _place_remotely(self, frame: DataFrame, key: bytes, peer: str) -> None:
        self.directory.add_remote(frame.bucket, key, peer, self._now)
        self.peers.count_placement(peer)
        token = self.authority.tokens_by_bucket[frame.bucket]
        self._counters["starts_redirected"] += 1
        epoch = self.authority.table.epoch if self.authority.table else 0
        marks = gue.MARK_DELIVER | gue.MARK_NEW
        self._packets.forward(
            peer,
            DataFrame(frame.packet, frame.bucket, epoch, marks, frame.hops + 1, token.epoch),
        )

    def _refuse(self, frame: DataFrame, key: bytes) -> None:
        """No packet of the flow has reached a server, and none will while this is remembered."""
        self.directory.add_remote(frame.bucket, key, REFUSED, self._now)
        self._counters["starts_refused"] += 1
        self._packets.reply(build_refusal(frame.packet))

    def _on_rejection(
        self,
        frame: DataFrame,
        key: bytes,
        traffic_class: TrafficClass,
        remote: RemoteFlow | None,
    ) -> None:
        if remote is None or not self._is_rejected_by(frame, remote):
            self._counters["rejections_ignored"] += 1
            return
        self.directory.remove_remote(frame.bucket, key)
        if not _is_start(frame.packet, key):
            self._reset_caller(frame.packet)
        elif self._can_start_here(traffic_class):
            self._open_and_deliver(frame, key, traffic_class)
        else:
            self._refuse(frame, key)

    def _is_rejected_by(self, frame: DataFrame, remote: RemoteFlow) -> bool:
        """Tell whether the rejection comes from the incarnation that the pointer names now."""
        assert self.config is not None, "pointers exist only under a configuration"
        member = self.config.servers_by_id.get(remote.server_id)
        return member is not None and member.joined_index == frame.token_epoch

    # Delivery to the own server

    def _on_delivery(self, frame: DataFrame, key: bytes, traffic_class: TrafficClass) -> None:
        if self._is_out_of_service:
            self._reset_caller(frame.packet)
            return
        if _is_start(frame.packet, key) and frame.epoch < self._joined_index:
            # Sent to an earlier incarnation, which may have rejected it.
            self._counters["deliveries_stale"] += 1
            return
        if self._rejected.contains(key, self._now):
            self._return_rejected(frame)
            return
        if frame.marks & gue.MARK_NEW:
            self._on_remote_placement(frame, key, traffic_class)
        elif _is_start(frame.packet, key):
            self._open_and_deliver(frame, key, traffic_class)
        elif self._has_lost_memory:
            self._recover(frame, key, [], asked_by="authority")
        else:
            self._return_rejected(frame)

    def _on_remote_placement(
        self, frame: DataFrame, key: bytes, traffic_class: TrafficClass
    ) -> None:
        if self.authority.is_placement_stale(frame.bucket, frame.token_epoch):
            self._counters["placements_stale"] += 1
            return
        if self._can_start_here(traffic_class):
            self._open_and_deliver(frame, key, traffic_class)
            return
        self._rejected.add(key, self._now)
        self._return_rejected(frame)

    @property
    def _joined_index(self) -> int:
        """Log index at which this incarnation joined; beyond all indexes while it has not."""
        own = self.config.servers_by_id.get(self._own_id) if self.config else None
        if own is None or own.boot_id not in self._boot_ids:
            return NEVER_JOINED
        return own.joined_index

    def _return_rejected(self, frame: DataFrame) -> None:
        self._counters["placements_rejected"] += 1
        if self.authority.is_authority(frame.bucket):
            self._reset_caller(frame.packet)
            return
        # The index of the join names this incarnation: another one's rejection doesn't count.
        rejected = DataFrame(
            frame.packet, frame.bucket, 0, gue.MARK_REJECTED, frame.hops, self._joined_index
        )
        self._forward_to_successor(rejected)

    def _open_and_deliver(self, frame: DataFrame, key: bytes, traffic_class: TrafficClass) -> None:
        flow = self.local.open(key, frame.bucket, traffic_class, self._now)
        self.local.on_inbound(flow, frame.packet, self._now)

    def _adopt(self, frame: DataFrame, key: bytes) -> None:
        """The records say that the own server has the flow, but this incarnation forgot it."""
        found = self._classes_by_endpoint[endpoint_of(key)]
        self._counters["flows_adopted"] += 1
        self._open_and_deliver(frame, key, found.traffic_class)

    def _reset_caller(self, packet: bytes) -> None:
        key = ip.parse_flow_key(packet)
        if isinstance(key, Malformed) or key[-1] != ip.TCP:
            return
        if not ip.tcp_flags(packet) & ip.RST:
            self._counters["resets_sent"] += 1
            self._packets.reply(build_reset(packet))

    # Recovery

    @property
    def _has_lost_memory(self) -> bool:
        return self.authority.has_lost_memory

    @property
    def _is_within_retry_horizon(self) -> bool:
        """Tell whether a former incarnation's starts may still be sent again."""
        return self._has_lost_memory and self._now - self._started_at < RETRY_HORIZON_S

    def _recover(
        self, frame: DataFrame, key: bytes, candidates: list[str], asked_by: str = ""
    ) -> None:
        if key[-1] != ip.TCP or ip.tcp_flags(frame.packet) & ip.RST:
            self._counters["dropped_unknown_flow"] += 1
            return
        pending = PendingRecovery(frame, self._now, candidates, asked_by)
        if self._has_lost_memory and not self._is_out_of_service:
            self._recoveries.start(key, pending)
            self._counters["recoveries_started"] += 1
            self._packets.deliver(frame.packet)
            return
        self._ask_next(pending, key)

    def _ask_next(self, pending: PendingRecovery, key: bytes) -> None:
        if pending.asked_by:
            self._return_rejected(pending.frame)
            return
        if not self.authority.is_authority(pending.frame.bucket):
            self._counters["dropped_unknown_flow"] += 1
            return
        if not pending.candidates:
            self._counters["unknown_flows_reset"] += 1
            self._reset_caller(pending.frame.packet)
            return
        candidate = pending.candidates.pop(0)
        self.directory.add_remote(pending.frame.bucket, key, candidate, self._now)
        self._forward(candidate, pending.frame, gue.MARK_DELIVER)

    # Packets from the own server

    def on_server_packet(self, packet: bytes, now: float) -> None:
        """Send a reply of the own server to its caller."""
        self._now = now
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
        if self._is_out_of_service:
            self._abort_reply(flow, packet, parsed)
            return
        if flow is None:
            self._on_unknown_reply(packet, key)
            return
        self.local.on_outbound(flow, packet, now)
        self._packets.reply(packet)
        if len(self._starts):
            self._drain_starts()

    def _abort_reply(self, flow: LocalFlow | None, packet: bytes, parsed: bytes) -> None:
        if flow is not None:
            self._give_up(flow)
        if parsed[-1] == ip.TCP and not ip.tcp_flags(packet) & ip.RST:
            self._packets.reply(build_abort(packet))

    def _on_unknown_reply(self, packet: bytes, key: bytes) -> None:
        is_reset = key[-1] == ip.TCP and ip.tcp_flags(packet) & ip.RST
        pending = self._recoveries.finish(key)
        if is_reset:
            if pending is not None:
                self._ask_next(pending, key)
            return
        found = self._classes_by_endpoint.get(endpoint_of(key))
        if found is None or found.service != self._identity.service:
            self._counters["dropped_reply_foreign"] += 1
            return
        if key[-1] == ip.TCP and not self._has_lost_memory:
            # A flow that was closed here: its last packets still go out.
            self._packets.reply(packet)
            return
        bucket = hash_flow(key) % self._bucket_count
        self._counters["flows_adopted"] += 1
        flow = self.local.open(key, bucket, found.traffic_class, self._now)
        self.local.on_outbound(flow, packet, self._now)
        self._packets.reply(packet)

    # Messages and timers

    @property
    def load(self) -> Load:
        """What peers need to know of the own server."""
        share = 0
        if self.config is not None:
            share = self.config.share_of(self._own_id)
        return Load(
            self.limiter.in_flight,
            int(self.limiter.limit) if self._is_placeable(self._own_id) else 0,
            self.local.held_count,
            share,
            self.limiter.is_cold,
        )

    @singledispatchmethod
    def on_message(self, message: Datagram, now: float) -> None:
        """Handle a control datagram of a peer."""
        self._counters["dropped_unexpected_message"] += 1

    @on_message.register
    def _(self, message: Claim, now: float) -> None:
        self.authority.on_claim(message, now)

    @on_message.register
    def _(self, message: ClaimAnswer, now: float) -> None:
        self.authority.on_claim_answer(message, now)

    @on_message.register
    def _(self, message: Grant, now: float) -> None:
        self._now = now
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
        self._now = now
        if self._draining_since < now:
            self._update_service_state()
        self.authority.tick(now)
        self.local.tick(now)
        self._drain_starts()
        self._send_probe()
        self._sweeper.tick(self._classes_by_endpoint, now)
        self._recoveries.expire(now)
        self._rejected.expire(now)

    def _send_probe(self) -> None:
        if self._is_out_of_service or not self._own_endpoint:
            return
        probe = self._probe.build(self._own_endpoint, self._now)
        if probe is not None:
            self._packets.deliver(probe)

    def rejoin(self, boot_id: int) -> None:
        """Start as a new incarnation: control has removed the one before.

        Tokens are gone; the flows on the own server are as real as before.
        """
        self._boot_ids.add(boot_id)
        self._lease.revoke()
        self.authority.start_incarnation(boot_id)

    def _replay(self, frames: list[DataFrame]) -> None:
        for frame in frames:
            self.on_frame(frame, self._now)


def _is_start(packet: bytes, key: bytes) -> bool:
    """Tell whether a packet may open a flow: any UDP packet, or a SYN."""
    if key[-1] != ip.TCP:
        return True
    return ip.tcp_flags(packet) & (ip.SYN | ip.ACK) == ip.SYN
