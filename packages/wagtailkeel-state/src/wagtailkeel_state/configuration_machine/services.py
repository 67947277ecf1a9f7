"""Rules for services, their traffic classes and their shares."""

from __future__ import annotations

from wagtailkeel_state.commands import ChangeTarget
from wagtailkeel_state.commands import CreateClass
from wagtailkeel_state.commands import CreateService
from wagtailkeel_state.commands import LogEntry
from wagtailkeel_state.commands import SetShares
from wagtailkeel_state.configuration import Configuration
from wagtailkeel_state.configuration_machine.apply_command import apply_command
from wagtailkeel_state.service import Service
from wagtailkeel_state.traffic_class import TrafficClass


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
def _(command: SetShares, config: Configuration, entry: LogEntry) -> str | None:
    service = config.services_by_name.get(command.service)
    if service is None:
        return f"service {command.service} does not exist"
    service.shares_by_server_id = dict(command.shares_by_server_id)
    service.table_epoch = entry.index
    return None
