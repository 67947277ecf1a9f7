"""Commands of log entries. Every replica applies them and computes the same answers."""

from __future__ import annotations

import msgspec

from wagtailkeel_state.balancer_member import BalancerMember
from wagtailkeel_state.enums import AnswerStatus
from wagtailkeel_state.enums import BookingState
from wagtailkeel_state.enums import DataCentreState
from wagtailkeel_state.enums import FlowProtocol
from wagtailkeel_state.routing import RoutingChange
from wagtailkeel_state.server_member import ServerMember
from wagtailkeel_state.server_member import ServerRecord
from wagtailkeel_state.target import Target


class Command(msgspec.Struct, tag=True, kw_only=True, omit_defaults=True):
    """Base of all commands."""


class Noop(Command):
    """First entry that a new leader commits, so that entries of earlier terms commit with it."""


class CreateService(Command):
    """Create a service; the leader assigns its address from a pool."""

    name: str
    address: str = ""


class CreateClass(Command):
    """Add a traffic class to a service; the leader assigns its port from a pool."""

    service: str
    name: str
    protocol: FlowProtocol
    target: Target
    port: int = 0
    is_idempotent: bool = True
    idle_limit_s: float = 30.0


class ChangeTarget(Command):
    """Replace the target of a traffic class."""

    service: str
    name: str
    target: Target


class DefineDataCentre(Command):
    """Define a data centre, or change its region."""

    name: str
    region: str


class SetDataCentreState(Command):
    """Take a data centre out of service or return it to service.

    ``may_be_last`` permits that the last data centre in service is taken out.
    """

    name: str
    state: DataCentreState
    may_be_last: bool = False


class ReplaceRouting(Command):
    """Put a newer routing document in force; a version that is not newer has no effect.

    The change is rejected if its base version is not the version in force.
    """

    change: RoutingChange


class DrainServer(Command):
    """Stop placing new flows on a server and let it finish its flows.

    The server goes out of service ``deadline_s`` seconds after its agent has learned of the drain,
    even if it still has flows.
    """

    server_id: str
    deadline_s: float = 3_600.0


class RestoreServer(Command):
    """Return a draining server to service."""

    server_id: str


class JoinServer(Command):
    """Add a server, or record its agent's next incarnation; a draining server keeps draining."""

    member: ServerMember


class StopAgent(Command):
    """Record that an agent is about to stop as planned; its server keeps running with its flows."""

    server_id: str
    boot_id: int


class RecordServer(Command):
    """Record what the agent of this incarnation has acknowledged to its backend server."""

    agent_id: str
    boot_id: int
    record: ServerRecord


class SetControlMembers(Command):
    """Set the voters of control: the identity of each voter's data folder, by instance id.

    ``learner_ids`` are instances without a vote that may run all the same, such as those that have
    lost their vote since they were silent. A change that operators make is acknowledged only once
    most of the voters and these instances have stored it.
    """

    identities_by_id: dict[str, str]
    learner_ids: list[str] = []


class RemoveServer(Command):
    """Remove one incarnation of a server's agent; other incarnations are not affected.

    ``has_ended`` means that the server has stopped too, so that none of its flows is left anywhere.
    """

    server_id: str
    boot_id: int
    has_ended: bool = False


class JoinBalancer(Command):
    """Add a balancer, or record its next incarnation."""

    member: BalancerMember


class RemoveBalancer(Command):
    """Remove one incarnation of a balancer."""

    instance_id: str
    boot_id: int


class SetShares(Command):
    """Set the quota weights of a service's servers by server id."""

    service: str
    shares_by_server_id: dict[str, int]


class CreateBooking(Command):
    """Book a change for a time window; times are in seconds since the Unix epoch."""

    booking_id: str
    start_s: float
    end_s: float
    change: BookableCommand


class CancelBooking(Command):
    """Cancel a booking that is not active yet."""

    booking_id: str


class AdvanceBooking(Command):
    """Record, as proposed by the leader, that a booking is active, is done or has lapsed.

    When a booking becomes active, its change is applied; the booking fails if the change is
    rejected.
    """

    booking_id: str
    state: BookingState


BookableCommand = (
    CreateService | CreateClass | ChangeTarget | SetDataCentreState | DrainServer | RestoreServer
)
AnyCommand = (
    Noop
    | CreateService
    | CreateClass
    | ChangeTarget
    | DefineDataCentre
    | SetDataCentreState
    | ReplaceRouting
    | DrainServer
    | RestoreServer
    | JoinServer
    | StopAgent
    | RecordServer
    | SetControlMembers
    | RemoveServer
    | JoinBalancer
    | RemoveBalancer
    | SetShares
    | CreateBooking
    | CancelBooking
    | AdvanceBooking
)


class CommandAnswer(msgspec.Struct, omit_defaults=True):
    """Outcome of a command; ``index`` is the log index at which it was decided."""

    status: AnswerStatus
    reason: str = ""
    index: int = 0

    @property
    def is_accepted(self) -> bool:
        """Return whether the command took effect."""
        return self.status is AnswerStatus.ACCEPTED


class LogEntry(msgspec.Struct, omit_defaults=True):
    """A command with its position in the log, its author and the version that they expected.

    A command without ``command_id`` is not recognised when it is sent again; a command without
    ``expected_version`` is applied to any version.
    """

    index: int
    term: int
    command: AnyCommand
    command_id: str = ""
    author: str = ""
    expected_version: int | None = None
