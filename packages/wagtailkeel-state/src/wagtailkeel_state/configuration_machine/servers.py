"""Rules for backend servers: they join, drain and leave, and their agents stop."""

from __future__ import annotations

from bisect import insort

import msgspec

from wagtailkeel_state.commands import DrainServer
from wagtailkeel_state.commands import JoinServer
from wagtailkeel_state.commands import LogEntry
from wagtailkeel_state.commands import RemoveServer
from wagtailkeel_state.commands import RestoreServer
from wagtailkeel_state.commands import StopAgent
from wagtailkeel_state.configuration import Configuration
from wagtailkeel_state.configuration_machine.apply_command import apply_command
from wagtailkeel_state.configuration_machine.former_members import retain_former_member
from wagtailkeel_state.configuration_machine.incarnations import find_incarnation
from wagtailkeel_state.configuration_machine.table_epochs import set_table_epoch
from wagtailkeel_state.enums import ServerState


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
        retain_former_member(config, previous.server_id, entry.index)
    config.servers_by_id[member.server_id] = member
    service = config.services_by_name.get(member.service)
    if service is not None and previous is None:
        insort(service.server_ids, member.server_id)
    set_table_epoch(config, entry.index, member.service)
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
    set_table_epoch(config, entry.index, member.service)
    return None


@apply_command.register
def _(command: RestoreServer, config: Configuration, entry: LogEntry) -> str | None:
    member = config.servers_by_id.get(command.server_id)
    if member is None:
        return f"server {command.server_id} is not a member"
    if member.state is ServerState.SERVING:
        return f"server {command.server_id} is serving already"
    member.state = ServerState.SERVING
    set_table_epoch(config, entry.index, member.service)
    return None


@apply_command.register
def _(command: StopAgent, config: Configuration, entry: LogEntry) -> str | None:
    member = find_incarnation(config, command.server_id, command.boot_id)
    if member is None:
        return f"server {command.server_id} with boot id {command.boot_id} is not a member"
    if member.state is ServerState.SERVING:
        member.state = ServerState.AGENT_STOPPING
        set_table_epoch(config, entry.index, member.service)
    return None


@apply_command.register
def _(command: RemoveServer, config: Configuration, entry: LogEntry) -> str | None:
    member = find_incarnation(config, command.server_id, command.boot_id)
    if member is None:
        return f"server {command.server_id} with boot id {command.boot_id} is not a member"
    if command.has_ended:
        config.former_members_by_id.pop(command.server_id, None)
        config.server_records_by_agent_id.pop(command.server_id, None)
    else:
        retain_former_member(config, command.server_id, entry.index)
    del config.servers_by_id[command.server_id]
    service = config.services_by_name.get(member.service)
    if service is not None:
        service.server_ids.remove(command.server_id)
    set_table_epoch(config, entry.index, member.service)
    return None
