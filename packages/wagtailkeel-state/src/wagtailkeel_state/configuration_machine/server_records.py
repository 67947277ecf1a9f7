"""The rule for what an agent has acknowledged to its backend server."""

from __future__ import annotations

from wagtailkeel_state.commands import LogEntry
from wagtailkeel_state.commands import RecordServer
from wagtailkeel_state.configuration import Configuration
from wagtailkeel_state.configuration_machine.apply_command import apply_command
from wagtailkeel_state.configuration_machine.bounded_tables import retain_latest
from wagtailkeel_state.configuration_machine.incarnations import find_incarnation

MAX_RETAINED_SERVER_RECORDS = 2_000


@apply_command.register
def _(command: RecordServer, config: Configuration, entry: LogEntry) -> str | None:
    if find_incarnation(config, command.agent_id, command.boot_id) is None:
        return f"agent {command.agent_id} with boot id {command.boot_id} is not a member"
    retain_latest(
        config.server_records_by_agent_id,
        command.agent_id,
        command.record,
        MAX_RETAINED_SERVER_RECORDS,
    )
    return None
