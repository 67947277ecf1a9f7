"""State and actions that the parts of an agent's routing share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_protocol import gue
from wagtailkeel_protocol import packet as ip
from wagtailkeel_protocol.gue import DataFrame
from wagtailkeel_protocol.malformed import Malformed
from wagtailkeel_protocol.packet_builder import build_reset

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtailkeel_coordination.buckets.bucket_authority import BucketAuthority
    from wagtailkeel_coordination.counters import Counters
    from wagtailkeel_coordination.flows.agent_view import AgentView
    from wagtailkeel_coordination.flows.local_flows import LocalFlows
    from wagtailkeel_coordination.outbox import PacketOutbox
    from wagtailkeel_state.flow_directory import FlowDirectory
    from wagtailkeel_state.traffic_class import TrafficClass


class FlowContext:
    """Shared state of one agent; ``now`` is the time of the event being handled.

    ``route_answer`` is called with an answer of this agent to itself: it has become the authority.
    """

    __slots__ = (
        "authority",
        "counters",
        "directory",
        "local_flows",
        "now",
        "packets",
        "route_answer",
        "view",
    )

    def __init__(
        self,
        view: AgentView,
        directory: FlowDirectory,
        local_flows: LocalFlows,
        authority: BucketAuthority,
        packets: PacketOutbox,
        counters: Counters,
        now: float,
        route_answer: Callable[[DataFrame], None],
    ) -> None:
        self.view = view
        self.directory = directory
        self.local_flows = local_flows
        self.authority = authority
        self.packets = packets
        self.counters = counters
        self.now = now
        self.route_answer = route_answer

    @property
    def epoch(self) -> int:
        """Epoch of the newest owner table; 0 before the first one."""
        return self.authority.table.epoch if self.authority.table else 0

    def forward(self, server_id: str, frame: DataFrame, flags: int) -> None:
        """Forward a frame to another agent with ``flags`` in place of its own.

        The frame gets one hop more and the epoch of the newest owner table.
        """
        self.counters["packets_forwarded"] += 1
        self.packets.forward(
            server_id,
            DataFrame(
                frame.packet, frame.bucket, self.epoch, flags, frame.hops + 1, frame.token_epoch
            ),
        )

    def forward_to_successor(self, frame: DataFrame) -> None:
        """Forward a frame towards its bucket's authority.

        The recipient is the agent that the token was granted to, otherwise the bucket's owner.
        """
        successor = self.authority.successors_by_bucket.get(frame.bucket)
        kept_flags = frame.flags & (gue.ANSWER_FLAGS | gue.FLAG_QUERY)
        if successor is not None:
            self.forward(successor, frame, kept_flags | gue.FLAG_GRANTED)
            return
        owner = self.authority.table.owner_of(frame.bucket) if self.authority.table else None
        if owner is None or owner == self.view.own_id:
            self.counters["dropped_no_owner"] += 1
            return
        self.forward(owner, frame, kept_flags)

    def open_and_deliver(self, frame: DataFrame, key: bytes, traffic_class: TrafficClass) -> None:
        """Start tracking a flow on the local backend server and deliver its packet."""
        flow = self.local_flows.open(key, frame.bucket, traffic_class, self.now)
        self.local_flows.on_inbound(flow, frame.packet, self.now)

    def return_rejected(self, frame: DataFrame) -> None:
        """Return a frame to the authority: the local backend server lacks, or rejects, the flow."""
        self.counters["placements_rejected"] += 1
        self._answer_authority(frame, gue.FLAG_REJECTED | frame.flags & gue.FLAG_QUERY)

    def return_found(self, frame: DataFrame) -> None:
        """Return a queried frame to the authority: the local backend server has the flow."""
        self.counters["flows_found"] += 1
        self._answer_authority(frame, gue.FLAG_FOUND)

    def _answer_authority(self, frame: DataFrame, flags: int) -> None:
        # The join index identifies this incarnation; the authority ignores answers of others.
        joined_index = self.view.joined_index
        answer = DataFrame(frame.packet, frame.bucket, 0, flags, frame.hops, joined_index)
        if self.authority.is_authority(frame.bucket):
            self.route_answer(answer)
        else:
            self.forward_to_successor(answer)

    def reset_caller(self, packet: bytes) -> None:
        """Answer a caller's TCP packet with RST; a UDP packet is dropped."""
        key = ip.parse_flow_key(packet)
        if isinstance(key, Malformed) or key[-1] != ip.TCP:
            return
        if not ip.tcp_flags(packet) & ip.RST:
            self.counters["resets_sent"] += 1
            self.packets.reply(build_reset(packet))


def is_start(packet: bytes, key: bytes) -> bool:
    """Return whether a packet may start a flow: any UDP packet, or a SYN."""
    if key[-1] != ip.TCP:
        return True
    return ip.tcp_flags(packet) & (ip.SYN | ip.ACK) == ip.SYN
