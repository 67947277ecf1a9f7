"""The rule for routing documents."""

from __future__ import annotations

from wagtailkeel_state.commands import LogEntry
from wagtailkeel_state.commands import ReplaceRouting
from wagtailkeel_state.configuration import Configuration
from wagtailkeel_state.configuration_machine.apply_command import apply_command
from wagtailkeel_state.routing import apply_change


@apply_command.register
def _(command: ReplaceRouting, config: Configuration, entry: LogEntry) -> str | None:
    current = config.routing.version
    if command.change.version <= current:
        return None
    if command.change.base_version != current:
        return f"the change is from version {command.change.base_version}, not from {current}"
    config.routing = apply_change(config.routing, command.change)
    return None
