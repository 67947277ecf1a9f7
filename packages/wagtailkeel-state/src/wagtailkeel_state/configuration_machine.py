"""Deterministic application of log entries: every replica computes the same configuration."""

from __future__ import annotations

from bisect import insort
from functools import singledispatch

import msgspec

from wagtailkeel_state.booking import Booking
from wagtailkeel_state.booking_rules import find_booking_conflict
from wagtailkeel_state.commands import AdvanceBooking
from wagtailkeel_state.commands import CancelBooking
from wagtailkeel_state.commands import ChangeTarget
from wagtailkeel_state.commands import Command
from wagtailkeel_state.commands import CommandAnswer
from wagtailkeel_state.commands import CreateBooking
from wagtailkeel_state.commands import CreateClass
from wagtailkeel_state.commands import CreateService
from wagtailkeel_state.commands import DefineDataCentre
from wagtailkeel_state.commands import DrainServer
from wagtailkeel_state.commands import JoinBalancer
from wagtailkeel_state.commands import JoinServer
from wagtailkeel_state.commands import LogEntry
from wagtailkeel_state.commands import Noop
from wagtailkeel_state.commands import RecordServer
from wagtailkeel_state.commands import RemoveBalancer
from wagtailkeel_state.commands import RemoveServer
from wagtailkeel_state.commands import ReplaceRouting
from wagtailkeel_state.commands import RestoreServer
from wagtailkeel_state.commands import SetControlMembers
from wagtailkeel_state.commands import SetDataCentreState
from wagtailkeel_state.commands import SetShares
from wagtailkeel_state.commands import StopAgent
from wagtailkeel_state.configuration import Configuration
from wagtailkeel_state.data_centre import DataCentre
from wagtailkeel_state.enums import AnswerStatus
from wagtailkeel_state.enums import BookingState
from wagtailkeel_state.enums import DataCentreState
from wagtailkeel_state.enums import ServerState
from wagtailkeel_state.routing import apply_change
from wagtailkeel_state.server_member import FormerMember
from wagtailkeel_state.service import Service
from wagtailkeel_state.traffic_class import TrafficClass

MAX_RETAINED_ANSWERS = 10_000
MAX_RETAINED_FORMER_MEMBERS = 1_000
MAX_RETAINED_SERVER_RECORDS = 2_000

# Commands of nodes, not operators: the expected version is not checked, and the operator version
# does not change, except when AdvanceBooking applies a booked change.
_SYSTEM_COMMANDS = (
    Noop,
    DefineDataCentre,
    JoinServer,
    RemoveServer,
    JoinBalancer,
    RemoveBalancer,
    SetControlMembers,
    SetShares,
    StopAgent,
    RecordServer,
    AdvanceBooking,
)


def apply_entry(config: Configuration, entry: LogEntry) -> CommandAnswer:
    """Apply the entry at ``config.index + 1`` to ``config`` in place and return its answer.

    A command whose id was answered before only advances the index and returns its first answer, as
    long as that is among the MAX_RETAINED_ANSWERS latest. Raises ValueError for any other index.
    """
    if entry.index != config.index + 1:
        raise ValueError(f"entry {entry.index} does not follow index {config.index}")
    config.index = entry.index
    config.term = entry.term
    first_answer = config.answers_by_command_id.get(entry.command_id) if entry.command_id else None
    if first_answer is not None:
        return first_answer
    answer = _execute(config, entry)
    answer.index = entry.index
    if entry.command_id:
        _retain_answer(config, entry.command_id, answer)
    return answer


def _execute(config: Configuration, entry: LogEntry) -> CommandAnswer:
    """Apply the entry's command; an operator's command conflicts if it expects another version."""
    is_operator_command = not isinstance(entry.command, _SYSTEM_COMMANDS)
    if is_operator_command and entry.expected_version is not None:
        if entry.expected_version != config.operator_version:
            return CommandAnswer(
                AnswerStatus.CONFLICT,
                f"expected version {entry.expected_version}, but version "
                f"{config.operator_version} by {config.last_author or 'nobody'} is in force",
            )
    reason = apply_command(entry.command, config, entry)
    if reason is not None:
        return CommandAnswer(AnswerStatus.REJECTED, reason)
    if is_operator_command:
        config.operator_version = entry.index
        config.last_author = entry.author
    return CommandAnswer(AnswerStatus.ACCEPTED)


def _retain_answer(config: Configuration, command_id: str, answer: CommandAnswer) -> None:
    answers = config.answers_by_command_id
    answers[command_id] = answer
    while len(answers) > MAX_RETAINED_ANSWERS:
        del answers[next(iter(answers))]


def _set_table_epoch(config: Configuration, index: int, service_name: str) -> None:
    """Record that the owner tables of a service change at ``index``; nodes then rebuild them."""
    service = config.services_by_name.get(service_name)
    if service is not None:
        service.table_epoch = index


def _set_table_epochs_of_data_centre(config: Configuration, index: int, data_centre: str) -> None:
    """Set the table epoch of services with a server there; the owners of others do not change."""
    for service_name in {
        m.service for m in config.servers_by_id.values() if m.data_centre == data_centre
    }:
        _set_table_epoch(config, index, service_name)


@singledispatch
def apply_command(command: Command, config: Configuration, entry: LogEntry) -> str | None:
    """Apply one command; return None if it took effect, else the reason why it did not."""
    raise TypeError(f"no rule to apply {type(command).__name__}")


@apply_command.register
def _(command: Noop, config: Configuration, entry: LogEntry) -> str | None:
    return None


@apply_command.register
def _(command: CreateService, config: Configuration, entry: LogEntry) -> str | None:
    if command.name in config.services_by_name:
        return f"service {command.name} exists already"
    if any(s.address == command.address for s in config.services_by_name.values()):
        return f"address {command.address} is taken; send the command again"
    if not command.address:
        return "the address pool is used up; add a larger pool to the settings of control"
    config.services_by_name[command.name] = Service(
        command.name,
        command.address,
        server_ids=sorted(
            key for key, m in config.servers_by_id.items() if m.service == command.name
        ),
        table_epoch=entry.index,
    )
    return None


@apply_command.register
def _(command: CreateClass, config: Configuration, entry: LogEntry) -> str | None:
    service = config.services_by_name.get(command.service)
    if service is None:
        return f"service {command.service} does not exist; create it first"
    if command.name in service.classes_by_name:
        return f"class {command.name} of service {command.service} exists already"
    if any(c.port == command.port for c in service.classes_by_name.values()):
        return f"port {command.port} is taken; send the command again"
    if not command.port:
        return "the port range of the pool is used up"
    service.classes_by_name[command.name] = TrafficClass(
        command.name,
        command.protocol,
        command.port,
        command.target,
        command.is_idempotent,
        command.idle_limit_s,
    )
    return None


@apply_command.register
def _(command: ChangeTarget, config: Configuration, entry: LogEntry) -> str | None:
    service = config.services_by_name.get(command.service)
    traffic_class = service.classes_by_name.get(command.name) if service else None
    if traffic_class is None:
        return f"class {command.name} of service {command.service} does not exist"
    traffic_class.target = command.target
    return None


@apply_command.register
def _(command: DefineDataCentre, config: Configuration, entry: LogEntry) -> str | None:
    data_centre = config.data_centres_by_name.get(command.name)
    if data_centre is not None and data_centre.region == command.region:
        return None
    if data_centre is not None:
        data_centre.region = command.region
    else:
        config.data_centres_by_name[command.name] = DataCentre(command.name, command.region)
    _set_table_epochs_of_data_centre(config, entry.index, command.name)
    return None


@apply_command.register
def _(command: SetDataCentreState, config: Configuration, entry: LogEntry) -> str | None:
    data_centre = config.data_centres_by_name.get(command.name)
    if data_centre is None:
        return f"data centre {command.name} is not known; it is named in the settings of control"
    if data_centre.state is command.state:
        return f"data centre {command.name} is {command.state.value} already"
    is_last = not any(
        other.state is DataCentreState.IN_SERVICE
        for other in config.data_centres_by_name.values()
        if other.name != command.name
    )
    if command.state is DataCentreState.OUT_OF_SERVICE and is_last and not command.may_be_last:
        return f"data centre {command.name} is the last one in service"
    data_centre.state = command.state
    data_centre.state_index = entry.index
    _set_table_epochs_of_data_centre(config, entry.index, command.name)
    return None


@apply_command.register
def _(command: ReplaceRouting, config: Configuration, entry: LogEntry) -> str | None:
    current = config.routing.version
    if command.change.version <= current:
        return None
    if command.change.base_version != current:
        return f"the change is from version {command.change.base_version}, not from {current}"
    config.routing = apply_change(config.routing, command.change)
    return None


@apply_command.register
def _(command: DrainServer, config: Configuration, entry: LogEntry) -> str | None:
    member = config.servers_by_id.get(command.server_id)
    if member is None:
        return f"server {command.server_id} is not a member"
    if member.state is ServerState.DRAINING:
        return f"server {command.server_id} is draining already"
    others = (m for m in config.members_of(member.service) if m.server_id != member.server_id)
    if not any(config.is_placeable(other.server_id) for other in others):
        return f"server {command.server_id} is the last one serving {member.service}"
    member.state = ServerState.DRAINING
    member.drain_deadline_s = command.deadline_s
    _set_table_epoch(config, entry.index, member.service)
    return None


@apply_command.register
def _(command: RestoreServer, config: Configuration, entry: LogEntry) -> str | None:
    member = config.servers_by_id.get(command.server_id)
    if member is None:
        return f"server {command.server_id} is not a member"
    if member.state is ServerState.SERVING:
        return f"server {command.server_id} is serving already"
    member.state = ServerState.SERVING
    _set_table_epoch(config, entry.index, member.service)
    return None


@apply_command.register
def _(command: JoinServer, config: Configuration, entry: LogEntry) -> str | None:
    member = msgspec.structs.replace(command.member, joined_index=entry.index)
    previous = config.servers_by_id.get(member.server_id)
    if previous is not None:
        if previous.service != member.service:
            return f"server {member.server_id} serves {previous.service}; use another server id"
        if previous.state is ServerState.DRAINING:
            member.state = previous.state
            member.drain_deadline_s = previous.drain_deadline_s
        _retain_former_member(config, previous.server_id, entry.index)
    config.servers_by_id[member.server_id] = member
    service = config.services_by_name.get(member.service)
    if service is not None and previous is None:
        insort(service.server_ids, member.server_id)
    _set_table_epoch(config, entry.index, member.service)
    return None


@apply_command.register
def _(command: StopAgent, config: Configuration, entry: LogEntry) -> str | None:
    member = config.servers_by_id.get(command.server_id)
    if member is None or member.boot_id != command.boot_id:
        return f"server {command.server_id} with boot id {command.boot_id} is not a member"
    if member.state is ServerState.SERVING:
        member.state = ServerState.AGENT_STOPPING
        _set_table_epoch(config, entry.index, member.service)
    return None


@apply_command.register
def _(command: RecordServer, config: Configuration, entry: LogEntry) -> str | None:
    member = config.servers_by_id.get(command.agent_id)
    if member is None or member.boot_id != command.boot_id:
        return f"agent {command.agent_id} with boot id {command.boot_id} is not a member"
    records = config.server_records_by_agent_id
    records.pop(command.agent_id, None)
    records[command.agent_id] = command.record
    while len(records) > MAX_RETAINED_SERVER_RECORDS:
        del records[next(iter(records))]
    return None


@apply_command.register
def _(command: SetControlMembers, config: Configuration, entry: LogEntry) -> str | None:
    config.control_identities_by_id = dict(command.identities_by_id)
    config.control_learner_ids = list(command.learner_ids)
    return None


@apply_command.register
def _(command: RemoveServer, config: Configuration, entry: LogEntry) -> str | None:
    member = config.servers_by_id.get(command.server_id)
    if member is None or member.boot_id != command.boot_id:
        return f"server {command.server_id} with boot id {command.boot_id} is not a member"
    if command.has_ended:
        config.former_members_by_id.pop(command.server_id, None)
        config.server_records_by_agent_id.pop(command.server_id, None)
    else:
        _retain_former_member(config, command.server_id, entry.index)
    del config.servers_by_id[command.server_id]
    service = config.services_by_name.get(member.service)
    if service is not None:
        service.server_ids.remove(command.server_id)
    _set_table_epoch(config, entry.index, member.service)
    return None


def _retain_former_member(config: Configuration, server_id: str, index: int) -> None:
    """Record a member's incarnation before the member is removed or replaced at ``index``.

    Only the last such incarnation of each server is kept, for MAX_RETAINED_FORMER_MEMBERS servers.
    Those of servers that are members again are dropped first: their agents answer for themselves.
    """
    member = config.servers_by_id[server_id]
    former_members = config.former_members_by_id
    former_members.pop(server_id, None)
    former_members[server_id] = FormerMember(
        server_id, member.service, member.boot_id, index, member.host, member.port
    )
    while len(former_members) > MAX_RETAINED_FORMER_MEMBERS:
        is_back = (former_id for former_id in former_members if former_id in config.servers_by_id)
        del former_members[next(is_back, next(iter(former_members)))]


@apply_command.register
def _(command: JoinBalancer, config: Configuration, entry: LogEntry) -> str | None:
    config.balancers_by_id[command.member.instance_id] = command.member
    return None


@apply_command.register
def _(command: RemoveBalancer, config: Configuration, entry: LogEntry) -> str | None:
    member = config.balancers_by_id.get(command.instance_id)
    if member is None or member.boot_id != command.boot_id:
        return f"balancer {command.instance_id} with boot id {command.boot_id} is not a member"
    del config.balancers_by_id[command.instance_id]
    return None


@apply_command.register
def _(command: SetShares, config: Configuration, entry: LogEntry) -> str | None:
    service = config.services_by_name.get(command.service)
    if service is None:
        return f"service {command.service} does not exist"
    service.shares_by_server_id = dict(command.shares_by_server_id)
    service.table_epoch = entry.index
    return None


@apply_command.register
def _(command: CreateBooking, config: Configuration, entry: LogEntry) -> str | None:
    if command.booking_id in config.bookings_by_id:
        return f"booking {command.booking_id} exists already"
    if command.end_s <= command.start_s:
        return "the window ends before it starts"
    reason = find_booking_conflict(config, command)
    if reason is not None:
        return reason
    config.bookings_by_id[command.booking_id] = Booking(
        command.booking_id, entry.author, command.start_s, command.end_s, command.change
    )
    return None


@apply_command.register
def _(command: CancelBooking, config: Configuration, entry: LogEntry) -> str | None:
    booking = config.bookings_by_id.get(command.booking_id)
    if booking is None:
        return f"booking {command.booking_id} does not exist"
    if booking.state is not BookingState.BOOKED:
        return f"booking {command.booking_id} is {booking.state.value} already"
    booking.state = BookingState.CANCELLED
    return None


@apply_command.register
def _(command: AdvanceBooking, config: Configuration, entry: LogEntry) -> str | None:
    booking = config.bookings_by_id.get(command.booking_id)
    if booking is None or booking.state.is_final:
        return f"booking {command.booking_id} is not pending"
    if command.state is not BookingState.ACTIVE:
        booking.state = command.state
        return None
    if booking.state is BookingState.ACTIVE:
        return f"booking {command.booking_id} is active already"
    reason = apply_command(booking.change, config, entry)
    if reason is not None:
        booking.state = BookingState.FAILED
        booking.reason = reason
        return None
    booking.state = BookingState.ACTIVE
    config.operator_version = entry.index
    config.last_author = booking.author
    return None
