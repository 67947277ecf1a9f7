"""Placement of new flows by an authority: locally, on a peer, after a short wait, or refused."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination.buckets.bucket_uncertainty import CALLER_RETRY_WINDOW_S
from wagtailkeel_coordination.flows.admission_queue import AdmissionQueue
from wagtailkeel_protocol import gue
from wagtailkeel_protocol.gue import DataFrame
from wagtailkeel_protocol.messages import Load
from wagtailkeel_protocol.packet_builder import build_refusal
from wagtailkeel_state.flow_record import REFUSED_SERVER_ID

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtailkeel_coordination.flows.admission_queue import QueuedStart
    from wagtailkeel_coordination.flows.concurrency_limiter import ConcurrencyLimiter
    from wagtailkeel_coordination.flows.flow_context import FlowContext
    from wagtailkeel_coordination.flows.peer_view import PeerView
    from wagtailkeel_coordination.lease import PlacementLease
    from wagtailkeel_state.remote_flow import RemoteFlow
    from wagtailkeel_state.traffic_class import TrafficClass


class Placement:
    """Places new flows of the buckets whose token this agent holds."""

    def __init__(
        self,
        context: FlowContext,
        limiter: ConcurrencyLimiter,
        peers: PeerView,
        lease: PlacementLease,
        forward_to_authority: Callable[[DataFrame, bytes], None],
    ) -> None:
        self._context = context
        self._limiter = limiter
        self._peers = peers
        self._lease = lease
        self._forward_to_authority = forward_to_authority
        self._queue = AdmissionQueue()
        self._started_at = context.now

    @property
    def load(self) -> Load:
        """The load reported to peers; its limit is 0 while the local server gets no new flows."""
        view = self._context.view
        return Load(
            self._limiter.in_flight,
            int(self._limiter.limit) if view.is_placeable(view.own_id) else 0,
            self._context.local_flows.held_count,
            view.share,
            self._limiter.is_cold,
        )

    def place(self, frame: DataFrame, key: bytes, traffic_class: TrafficClass) -> None:
        """Start a flow, queue it or refuse it; drop its packet if the flow may already have run."""
        if not self._may_place(frame.bucket, traffic_class) or self._queue.contains(key):
            return
        if self._start_now(frame, key, traffic_class):
            return
        if self._must_start_locally(traffic_class):
            # The former incarnation may have placed the flow on the local backend server.
            self._context.counters["starts_dropped_uncertain"] += 1
        elif not self._queue.add(frame, key, traffic_class, self._context.now):
            self._refuse(frame, key)

    def process_queue(self) -> None:
        """Start queued flows, oldest first; refuse those that have waited too long."""
        context = self._context
        while len(self._queue):
            start = self._queue.oldest
            if not context.authority.is_authority(start.frame.bucket):
                self._queue.pop()
                self._forward_to_authority(start.frame, start.key)
            elif self._try_queued_start(start):
                self._queue.pop()
            elif context.now >= start.expires_at:
                self._queue.pop()
                self._refuse(start.frame, start.key)
            else:
                return

    def _try_queued_start(self, start: QueuedStart) -> bool:
        """Start a queued flow, or drop it if it may not be placed; False if there is no room."""
        if not self._may_place(start.frame.bucket, start.traffic_class):
            return True
        return self._start_now(start.frame, start.key, start.traffic_class)

    def can_start_locally(self, traffic_class: TrafficClass) -> bool:
        """Return whether the local backend server has room for a flow of a class."""
        view = self._context.view
        if not view.is_placeable(view.own_id) or not self._limiter.allows_start():
            return False
        held_count = self._context.local_flows.held_count
        return not traffic_class.has_held_flows_target or held_count < traffic_class.target.limit

    def on_rejection(
        self,
        frame: DataFrame,
        key: bytes,
        traffic_class: TrafficClass,
        remote: RemoteFlow | None,
    ) -> None:
        """Handle a peer's rejection of a flow's start: start, queue or refuse the flow."""
        context = self._context
        if remote is None or not self._is_from_current_incarnation(frame, remote):
            context.counters["rejections_ignored"] += 1
            return
        context.directory.remove_remote(frame.bucket, key)
        if self.can_start_locally(traffic_class):
            context.open_and_deliver(frame, key, traffic_class)
        elif self._queue.contains(key):
            return
        elif not self._queue.add(self._as_new_frame(frame), key, traffic_class, context.now):
            self._refuse(frame, key)

    def _as_new_frame(self, frame: DataFrame) -> DataFrame:
        """Return a rejected start as a new frame: without flags, hops and token epoch."""
        return DataFrame(frame.packet, frame.bucket, self._context.epoch)

    def refuse_again(self, frame: DataFrame) -> None:
        """Answer another packet of a refused flow with the same refusal as the first one."""
        self._context.counters["starts_refused_again"] += 1
        self._context.packets.reply(build_refusal(frame.packet))

    def _may_place(self, bucket: int, traffic_class: TrafficClass) -> bool:
        if traffic_class.is_idempotent:
            return True
        context = self._context
        if not self._lease.is_valid(context.now):
            context.counters["starts_dropped_no_lease"] += 1
            return False
        if context.authority.is_uncertain(bucket, context.now):
            context.counters["starts_dropped_uncertain"] += 1
            return False
        return True

    def _must_start_locally(self, traffic_class: TrafficClass) -> bool:
        """Return whether a start may only be placed locally.

        Callers may still retransmit starts that a former incarnation placed on the local backend
        server, so these have to reach the same server again.
        """
        is_table_incomplete = self._context.authority.has_incomplete_flow_table
        is_within_retry_window = self._context.now - self._started_at < CALLER_RETRY_WINDOW_S
        return is_table_incomplete and is_within_retry_window and not traffic_class.is_idempotent

    def _start_now(self, frame: DataFrame, key: bytes, traffic_class: TrafficClass) -> bool:
        """Start a flow on a server that has room; return False if there is none."""
        if self._prefers_local_server(traffic_class):
            self._context.open_and_deliver(frame, key, traffic_class)
            return True
        if self._must_start_locally(traffic_class):
            return False
        peer = self._choose_peer(traffic_class)
        if peer is not None:
            self._place_remotely(frame, key, peer)
            return True
        if self.can_start_locally(traffic_class):
            self._context.open_and_deliver(frame, key, traffic_class)
            return True
        return False

    def _prefers_local_server(self, traffic_class: TrafficClass) -> bool:
        if not self.can_start_locally(traffic_class):
            return False
        if not traffic_class.has_held_flows_target or self._must_start_locally(traffic_class):
            return True
        return self._peers.has_at_most_mean_held_ratio(self.load, self._context.now)

    def _choose_peer(self, traffic_class: TrafficClass) -> str | None:
        excluded = {self._context.view.own_id}
        if traffic_class.has_held_flows_target:
            return self._peers.choose_for_held_flow(excluded, self._context.now)
        return self._peers.choose_for_request(excluded, self._context.now)

    def _place_remotely(self, frame: DataFrame, key: bytes, peer: str) -> None:
        context = self._context
        context.directory.add_remote(frame.bucket, key, peer, context.now)
        self._peers.count_placement(peer)
        context.counters["starts_redirected"] += 1
        token = context.authority.tokens_by_bucket[frame.bucket]
        flags = gue.FLAG_DELIVER | gue.FLAG_NEW
        context.packets.forward(
            peer,
            DataFrame(
                frame.packet, frame.bucket, context.epoch, flags, frame.hops + 1, token.epoch
            ),
        )

    def _refuse(self, frame: DataFrame, key: bytes) -> None:
        """Refuse a flow of which no packet has reached a server.

        No later packet of the flow reaches a server while the refusal is on record.
        """
        context = self._context
        context.directory.add_remote(frame.bucket, key, REFUSED_SERVER_ID, context.now)
        context.counters["starts_refused"] += 1
        context.packets.reply(build_refusal(frame.packet))

    def _is_from_current_incarnation(self, frame: DataFrame, remote: RemoteFlow) -> bool:
        """Return whether the current incarnation of the pointer's server sent the rejection."""
        member = self._context.view.find_member(remote.server_id)
        return member is not None and member.joined_index == frame.token_epoch
