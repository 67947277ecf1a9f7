"""Datagrams and RPC messages between wagtailkeel processes.

Datagrams are small and may be lost, duplicated or delayed. ``sender`` is the sender's id.
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
from wagtailkeel_state.server_member import ServerRecord

ANY_PRIORITY = 255
"""The priority limit of a server that accepts openings of every priority."""


class Datagram(msgspec.Struct, array_like=True):
    """Base class of all datagrams."""


class Heartbeat(Datagram, tag=1):
    """Sent by a node to control: it is running, with this version; agents add measurements."""

    sender: str
    boot_id: int
    version: int
    capacity: int = 0
    is_stopping: bool = False
    sent_at: float = 0.0
    is_cold: bool = False


class HeartbeatAck(Datagram, tag=2):
    """Sent by control in reply to a heartbeat; ``lease_s`` is 0 if no lease is granted.

    The lease starts at ``sent_at``, the node's own time at which it sent that heartbeat.
    """

    sender: str
    version: int
    lease_s: float
    leader_id: str
    is_member: bool
    sent_at: float = 0.0
    boot_id: int = 0


class VersionHint(Datagram, tag=3):
    """Sent by any node to any other: the sender has a newer configuration version.

    ``compressed_entries`` is the output of :func:`compress_entries` for the newest log entries up
    to that version, if they fit. A receiver that lacks earlier ones pulls them.
    """

    sender: str
    version: int
    compressed_entries: bytes = b""


class Load(msgspec.Struct, array_like=True):
    """Load of an agent's backend server, as reported to the agent's peers."""

    in_flight: int
    limit: int
    held_flows: int
    capacity: int
    is_cold: bool = False


class Gossip(Datagram, tag=4):
    """Sent by an agent to the other agents of its service."""

    sender: str
    boot_id: int
    version: int
    load: Load


class Claim(Datagram, tag=5):
    """Sent by a new owner to a member: asks which of these buckets' tokens and flows it has."""

    sender: str
    boot_id: int
    epoch: int
    buckets: list[int]


class BucketAnswer(msgspec.Struct, array_like=True):
    """Part ``part`` of the ``parts`` in which a member answers a claim for one bucket.

    ``flows`` are flows of the member's own server.
    """

    bucket: int
    is_holder: bool
    flows: list[FlowRecord]
    part: int = 0
    parts: int = 1


class ClaimAnswer(Datagram, tag=6):
    """Sent by a member to the claimant.

    ``has_lost_memory``: the member lost its state, so its server may have flows not listed here.
    """

    sender: str
    boot_id: int
    epoch: int
    answers: list[BucketAnswer]
    has_lost_memory: bool = False


class BucketGrant(msgspec.Struct, array_like=True):
    """A bucket's token and directory entries; ``epoch`` is that of the table that moved it.

    For ``uncertain_s`` seconds, a flow without an entry may have reached a server for which no
    live agent is responsible. A flow without an entry is most likely at the server of
    ``lost_owner_id``, the bucket's last owner that was lost; empty if none is known.
    """

    bucket: int
    generation: Generation
    epoch: int
    flows: list[FlowRecord]
    uncertain_s: float = 0.0
    lost_owner_id: str = ""


class Grant(Datagram, tag=7):
    """Sent by the holder to one incarnation of the next owner: the tokens of some buckets."""

    sender: str
    recipient_boot_id: int
    grants: list[BucketGrant]


class BucketReceipt(msgspec.Struct, array_like=True, frozen=True):
    """Identifies one grant of one bucket."""

    bucket: int
    generation: Generation


class GrantAck(Datagram, tag=8):
    """Sent by the next owner to the holder: grants were received (accepted or refused as stale)."""

    sender: str
    receipts: list[BucketReceipt]

    @classmethod
    def from_grant(cls, sender: str, bucket: int, generation: Generation) -> GrantAck:
        """Return the acknowledgement of the grant of one bucket."""
        return cls(sender, [BucketReceipt(bucket, generation)])


class FlowTransfer(Datagram, tag=9):
    """Sent by the holder to the next owner: entries of a grant too large for one datagram.

    The parts precede the grant.
    """

    sender: str
    recipient_boot_id: int
    bucket: int
    generation: Generation
    part: int
    flows: list[FlowRecord]


class FlowTransferAck(Datagram, tag=10):
    """Sent by the next owner to the holder: one part of a flow transfer was received."""

    sender: str
    bucket: int
    generation: Generation
    part: int


class ServerLoad(Datagram, tag=11):
    """Sent by an agent to its data centre's balancers, and in reply to a LoadRequest.

    ``service_ms`` is the time that the server takes for one request, excluding waiting time.
    ``is_leaving``: the agent is about to stop. ``is_unheard``: the agent started so recently
    that the first report of its server may still be on its way. ``room_in_ms`` is the time after
    which an opening that waits at the agent will be delivered, if the server accepts none now; 0
    if openings can't wait there. ``is_reply``: the report was requested. ``opened_flows`` counts
    the openings delivered to the server since the agent started. ``is_outlier``: the server fails
    more of its requests than a healthy one would, and no trial opening may be sent to it now.
    Openings with a priority number above ``priority_limit`` should be refused.
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
    room_in_ms: float = 0.0
    is_reply: bool = False
    opened_flows: int = 0
    is_outlier: bool = False
    priority_limit: int = ANY_PRIORITY


class BalancerState(Datagram, tag=12):
    """Sent by a balancer to the other balancers of its data centre.

    The sender begins a planned stop (``is_stopping``) or has become ready.
    """

    is_stopping: bool


class LoadRequest(Datagram, tag=13):
    """Sent by an agent to another one: asks for the load of its server."""


class LocationRequest(Datagram, tag=14):
    """Sent by a directory owner to the agent that may have owned a flow before: where is it?"""

    key: bytes


class FlowLocation(msgspec.Struct, array_like=True, frozen=True):
    """A directory entry: the agent at ``host`` and ``port`` has the flow of this key."""

    key: bytes
    host: str
    port: int

    @property
    def address(self) -> tuple[str, int]:
        """The address of the agent that has the flow."""
        return self.host, self.port


class FlowLocations(Datagram, tag=15):
    """Sent by a directory owner: copies of some of its entries.

    In the reply to a request, ``requested_key`` is the key of the request, which is among the
    locations if the sender knows the flow. It is empty otherwise.
    """

    locations: list[FlowLocation]
    requested_key: bytes = b""


class FlowQuery(Datagram, tag=16):
    """Sent by an agent that searches for flows: does the receiver's server have some of them?

    ``number`` identifies the query among those of the sender.
    """

    keys: list[bytes]
    number: int = 0


class FlowQueryReply(Datagram, tag=17):
    """The flows of a query that the sender's server has, and those that it does not have.

    Flows in neither list may be on the server without the agent knowing it. ``number`` is that of
    the query; 0 from an agent of a release without it.
    """

    held: list[bytes]
    denied: list[bytes]
    number: int = 0


class SearchRequest(Datagram, tag=18):
    """Sent by a directory owner to the agent that searches for the flows of its data centre."""

    key: bytes


class SearchReply(Datagram, tag=19):
    """The result of a search for a flow: the agent that has it, if one has.

    ``undecided`` are the agents that have neither confirmed nor denied the flow. ``agents_hash`` is
    the hash of all agents that may have it, as far as the searcher knows.
    """

    key: bytes
    holder: tuple[str, int] | None
    undecided: list[tuple[str, int]]
    agents_hash: int


class CallRequest(Datagram, tag=20):
    """Calls an idempotent RPC method; sent again with the same id until a reply arrives."""

    call_id: int
    method: str
    body: bytes


class CallReply(Datagram, tag=21):
    """Part ``part`` of the ``parts`` of the encoded reply to a call.

    ``checksum`` is that of the whole reply, so that parts of two executions are not combined.
    """

    call_id: int
    part: int
    parts: int
    checksum: int
    body: bytes


class CallPartsRequest(Datagram, tag=22):
    """Requests further parts of the reply to a call, or lost ones again."""

    call_id: int
    parts: list[int]


class CallInProgress(Datagram, tag=23):
    """Sent in reply to a request received again: the call is being executed."""

    call_id: int


class CallRejected(Datagram, tag=24):
    """The call was not executed, or its reply is too large for datagrams."""

    call_id: int
    reason: str
    is_too_large: bool = False


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
    | LoadRequest
    | LocationRequest
    | FlowLocations
    | FlowQuery
    | FlowQueryReply
    | SearchRequest
    | SearchReply
    | CallRequest
    | CallReply
    | CallPartsRequest
    | CallInProgress
    | CallRejected
)


class AnnounceRequest(msgspec.Struct):
    """Sent by a node that joins: exactly one of the members is set."""

    server: ServerMember | None = None
    balancer: BalancerMember | None = None


class AnnounceReply(msgspec.Struct):
    """Reply to an announcement, or to a request that changes a member.

    ``is_joined``: the requested change is committed. If it is not, ``reason`` says why control
    rejected it; without a reason, ``leader_id`` is the instance to send the request to instead.
    """

    is_joined: bool
    index: int = 0
    leader_id: str = ""
    reason: str = ""


class StopRequest(msgspec.Struct):
    """Sent by an agent that is about to stop as planned."""

    server_id: str
    boot_id: int


class LeaveRequest(msgspec.Struct):
    """Sent by an agent that is about to stop for good because its server has ended."""

    server_id: str
    boot_id: int


class RecordServerRequest(msgspec.Struct):
    """Sent by an agent before it acknowledges to its backend server what the record says.

    ``number`` rises with each record of an incarnation of the agent.
    """

    agent_id: str
    boot_id: int
    number: int
    record: ServerRecord


class PullRequest(msgspec.Struct):
    """Requests the log entries committed after index ``since``.

    Nodes of an earlier release do not set ``accepts_compressed``, and cannot read such a reply.
    """

    since: int
    accepts_compressed: bool = False


class PullReply(msgspec.Struct):
    """Entries after ``since``, or the whole configuration if that is shorter.

    The configuration is a ``snapshot`` or, compressed, the output of :func:`compress_snapshot`.
    """

    entries: list[LogEntry] = []
    snapshot: Configuration | None = None
    compressed_snapshot: bytes = b""


class CommandRequest(msgspec.Struct):
    """A command sent by an operator or by control itself."""

    command: AnyCommand
    command_id: str
    author: str
    expected_version: int | None = None


class CommandReply(msgspec.Struct):
    """The answer to the command, or the leader to send it to instead."""

    answer: CommandAnswer | None = None
    leader_id: str = ""


class ControlJoinRequest(msgspec.Struct):
    """Sent by a control instance without a vote that asks to follow the log."""

    instance_id: str
    identity: str


class ControlJoinReply(msgspec.Struct):
    """Whether the queried instance is the leader and has registered the requester as a learner.

    If not, ``leader_id`` is the instance to query instead.
    """

    is_noted: bool
    leader_id: str = ""


class DumpRequest(msgspec.Struct):
    """Requests the state of a process."""


class DumpReply(msgspec.Struct):
    """The state of a process as JSON text."""

    body: bytes


class StatusRequest(msgspec.Struct):
    """Requests from control the status of all nodes and the configuration."""


class NodeStatus(msgspec.Struct):
    """A node's state, and the version and capacity from its last heartbeat to control.

    An agent's ``state`` is the committed one, a balancer's is always ``serving``. ``age_s``
    is the age of that heartbeat in seconds, None if control has received none.
    """

    instance_id: str
    role: str
    data_centre: str
    version: int
    age_s: float | None
    state: str
    service: str = ""
    capacity: int = 0


class StatusReply(msgspec.Struct):
    """The committed version and configuration, and the status of each node with its own version."""

    version: int
    leader_id: str
    is_leader: bool
    nodes: list[NodeStatus]
    configuration: Configuration
