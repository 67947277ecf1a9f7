"""Datagrams and RPC bodies between our own processes.

Datagrams are small, may be lost, doubled or late, and name their sender by id.
"""

from __future__ import annotations

import msgspec

from wagtailkeel_state.balancer_member import BalancerMember
from wagtailkeel_state.commands import AnyCommand
from wagtailkeel_state.commands import CommandAnswer
from wagtailkeel_state.commands import LogEntry
from wagtailkeel_state.configuration import Configuration
from wagtailkeel_state.flow_record import FlowRecord
from wagtailkeel_state.generation import Generation
from wagtailkeel_state.server_member import ServerMember


class Datagram(msgspec.Struct, array_like=True):
    """Base of all datagrams."""


class Heartbeat(Datagram, tag=1):
    """Node to control: still alive, and at this version; agents add what they measured."""

    sender: str
    boot_id: int
    version: int
    capacity: int = 0
    is_stopping: bool = False
    sent_at: float = 0.0
    is_cold: bool = False


class HeartbeatAck(Datagram, tag=2):
    """Control to node; ``lease_s`` is 0 where no lease is granted.

    The lease counts from ``sent_at``, the node's own time of the heartbeat that it answers.
    """

    sender: str
    version: int
    lease_s: float
    leader_id: str
    is_member: bool
    sent_at: float = 0.0
    boot_id: int = 0


class VersionHint(Datagram, tag=3):
    """Any node to any other: a newer version exists here."""

    sender: str
    version: int


class Load(msgspec.Struct, array_like=True):
    """What an agent tells its peers of its server's load."""

    in_flight: int
    limit: int
    held_flows: int
    capacity: int
    is_cold: bool = False


class Gossip(Datagram, tag=4):
    """Agent to agents of its service."""

    sender: str
    boot_id: int
    version: int
    load: Load


class Claim(Datagram, tag=5):
    """New owner to member: are these buckets' tokens yours, and which of their flows?"""

    sender: str
    boot_id: int
    epoch: int
    buckets: list[int]


class BucketAnswer(msgspec.Struct, array_like=True):
    """One bucket's answer to a claim, one part of ``parts``; the flows are the member's own."""

    bucket: int
    is_holder: bool
    flows: list[FlowRecord]
    part: int = 0
    parts: int = 1


class ClaimAnswer(Datagram, tag=6):
    """Member to claimant; with ``has_lost_memory`` it may have flows that it does not know."""

    sender: str
    boot_id: int
    epoch: int
    answers: list[BucketAnswer]
    has_lost_memory: bool = False


class BucketGrant(msgspec.Struct, array_like=True):
    """A bucket's token and directory entries; ``epoch`` is of the table that moved it.

    For ``uncertain_s`` seconds an unknown flow may have reached a server that nobody speaks for.
    """

    bucket: int
    generation: Generation
    epoch: int
    flows: list[FlowRecord]
    uncertain_s: float = 0.0


class Grant(Datagram, tag=7):
    """Holder to one incarnation of the next owner: the tokens of some buckets."""

    sender: str
    recipient_boot_id: int
    grants: list[BucketGrant]


class BucketReceipt(msgspec.Struct, array_like=True, frozen=True):
    """Names one grant of one bucket."""

    bucket: int
    generation: Generation


class GrantAck(Datagram, tag=8):
    """Next owner to holder: these grants arrived (taken or refused as stale)."""

    sender: str
    receipts: list[BucketReceipt]

    @classmethod
    def from_grant(cls, sender: str, bucket: int, generation: Generation) -> GrantAck:
        """Acknowledge the grant of one bucket."""
        return cls(sender, [BucketReceipt(bucket, generation)])


class FlowTransfer(Datagram, tag=9):
    """Holder to the next owner: entries sent ahead of a grant too large for one datagram."""

    sender: str
    recipient_boot_id: int
    bucket: int
    generation: Generation
    part: int
    flows: list[FlowRecord]


class FlowTransferAck(Datagram, tag=10):
    """Next owner to holder."""

    sender: str
    bucket: int
    generation: Generation
    part: int


class ServerLoad(Datagram, tag=11):
    """Agent to agents and to the balancers of its data centre: what its server bears now.

    ``service_ms`` is the time that the server takes for one request, without waiting.
    ``is_leaving`` says that the agent is about to stop, ``is_unheard`` that it is so young that
    the first report of its server may be on its way.
    """

    service_tag: int
    accepts: bool
    in_flight: int
    held_flows: int
    slots: int
    service_ms: float
    is_cold: bool = False
    is_leaving: bool = False
    is_unheard: bool = False


class BalancerState(Datagram, tag=12):
    """Balancer to the others of its data centre: a planned stop begins, or it has become ready."""

    is_stopping: bool


AnyDatagram = (
    Heartbeat
    | HeartbeatAck
    | VersionHint
    | Gossip
    | Claim
    | ClaimAnswer
    | Grant
    | GrantAck
    | FlowTransfer
    | FlowTransferAck
    | ServerLoad
    | BalancerState
)


class AnnounceRequest(msgspec.Struct):
    """A node joins: exactly one of the members is set."""

    server: ServerMember | None = None
    balancer: BalancerMember | None = None


class AnnounceReply(msgspec.Struct):
    """Whether the join is committed; otherwise whom to ask."""

    is_joined: bool
    index: int = 0
    leader_id: str = ""
    reason: str = ""


class StopRequest(msgspec.Struct):
    """An agent is about to stop as planned."""

    server_id: str
    boot_id: int


class LeaveRequest(msgspec.Struct):
    """An agent is about to stop for good: its server has ended."""

    server_id: str
    boot_id: int


class PullRequest(msgspec.Struct):
    """Ask for what was committed after ``since``."""

    since: int


class PullReply(msgspec.Struct):
    """Entries after ``since``, or the whole configuration where they are not retained."""

    entries: list[LogEntry] = []
    snapshot: Configuration | None = None


class CommandRequest(msgspec.Struct):
    """A command by an operator or by control itself."""

    command: AnyCommand
    command_id: str
    author: str
    expected_version: int | None = None


class CommandReply(msgspec.Struct):
    """The answer, or the leader to ask instead."""

    answer: CommandAnswer | None = None
    leader_id: str = ""


class ControlJoinRequest(msgspec.Struct):
    """A control instance without a vote asks to follow the log."""

    instance_id: str
    identity: str


class ControlJoinReply(msgspec.Struct):
    """Whether the asked instance leads and has noted the other; otherwise whom to ask."""

    is_noted: bool
    leader_id: str = ""


class DumpRequest(msgspec.Struct):
    """Ask a process for its state."""


class DumpReply(msgspec.Struct):
    """A process's state as JSON text."""

    body: bytes


class StatusRequest(msgspec.Struct):
    """Ask control for the whole picture."""


class NodeStatus(msgspec.Struct):
    """What control last heard of a node."""

    instance_id: str
    role: str
    data_centre: str
    version: int
    age_s: float | None
    state: str
    service: str = ""
    capacity: int = 0


class StatusReply(msgspec.Struct):
    """Committed version and every node's own version."""

    version: int
    leader_id: str
    is_leader: bool
    nodes: list[NodeStatus]
    configuration: Configuration
