"""Rules for balancers."""

from __future__ import annotations

from wagtailkeel_state.commands import JoinBalancer
from wagtailkeel_state.commands import LogEntry
from wagtailkeel_state.commands import RemoveBalancer
from wagtailkeel_state.configuration import Configuration
from wagtailkeel_state.configuration_machine.apply_command import apply_command


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
