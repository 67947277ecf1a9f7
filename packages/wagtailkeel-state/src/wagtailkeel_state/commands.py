"""Commands: the content of log entries. Every replica applies them and gets the same answer."""

from __future__ import annotations

import msgspec

from wagtailkeel_state.balancer_member import BalancerMember
from wagtailkeel_state.enums import AnswerStatus
from wagtailkeel_state.enums import BookingState
from wagtailkeel_state.enums import DataCentreState
from wagtailkeel_state.enums import FlowProtocol
from wagtailkeel_state.routing import RoutingChange
from wagtailkeel_state.server_member import ServerMember
from wagtailkeel_state.target import Target


class Command(msgspec.Struct, tag=True, kw_only=True, omit_defaults=True):
    """Base of all commands."""


class Noop(Command):
    """Entry a new leader commits first, so that entries of earlier terms commit with it."""


class CreateService(Command):
    """Create a service; its address is assigned from the pool by the leader."""

    name: str
    address: str = ""


class CreateClass(Command):
    """Add a class to a service; its port is assigned from the pool by the leader."""

    service: str
    name: str
    protocol: FlowProtocol
    target: Target
    port: int = 0
    is_idempotent: bool = True
    idle_limit_s: float = 30.0


class ChangeTarget(Command):
    """Set another target for a class."""

    service: str
    name: str
    target: Target


class DefineDataCentre(Command):
    """Record a data centre and its region."""

    name: str
    region: str


class SetDataCentreState(Command):
    """Take a data centre out of service or bring it back.

    ``may_be_last`` allows to take out the last one in service.
    """

    name: str
    state: DataCentreState
    may_be_last: bool = False


class ReplaceRouting(Command):
    """Put a newer routing document in force; one that is not newer changes nothing."""

    change: RoutingChange


class DrainServer(Command):
    """Let a server finish its flows; it gets no new work."""

    server_id: str
    deadline_s: float = 3_600.0


class RestoreServer(Command):
    """Return a draining server to service."""

    server_id: str


class JoinServer(Command):
    """Add a server, or its agent's next incarnation."""

    member: ServerMember


class StopAgent(Command):
    """An agent is about to stop as planned; its server goes on and keeps its flows."""

    server_id: str
    boot_id: int


class SetControlMembers(Command):
    """Set the voters of control: each one's data folder identity by instance id."""

    identities_by_id: dict[str, str]


class RemoveServer(Command):
    """Remove one incarnation of a server's agent; any other incarnation stays.

    ``has_ended`` says that the server has ended too: no flow of its is left anywhere.
    """

    server_id: str
    boot_id: int
    has_ended: bool = False


class JoinBalancer(Command):
    """Add a balancer, or its next incarnation."""

    member: BalancerMember


class RemoveBalancer(Command):
    """Remove one incarnation of a balancer."""

    instance_id: str
    boot_id: int


class SetShares(Command):
    """Set the quota weights of a service's servers."""

    service: str
    shares_by_server_id: dict[str, int]


class CreateBooking(Command):
    """Book a change for a window; times are seconds since the Unix epoch."""

    booking_id: str
    start_s: float
    end_s: float
    change: BookableCommand


class CancelBooking(Command):
    """Cancel a booking that has not become active."""

    booking_id: str


class AdvanceBooking(Command):
    """Leader's record that a booking became active, is done or lapsed."""

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
    """Outcome of a command; ``index`` is the log index where it was decided."""

    status: AnswerStatus
    reason: str = ""
    index: int = 0

    @property
    def is_accepted(self) -> bool:
        """Tell whether the command took effect."""
        return self.status is AnswerStatus.ACCEPTED


class LogEntry(msgspec.Struct, omit_defaults=True):
    """A command at its place in the log, with who sent it and what version they expected."""

    index: int
    term: int
    command: AnyCommand
    command_id: str = ""
    author: str = ""
    expected_version: int | None = None
