"""The rule for the members of control."""

from __future__ import annotations

from wagtailkeel_state.commands import LogEntry
from wagtailkeel_state.commands import SetControlMembers
from wagtailkeel_state.configuration import Configuration
from wagtailkeel_state.configuration_machine.apply_command import apply_command


@apply_command.register
def _(command: SetControlMembers, config: Configuration, entry: LogEntry) -> str | None:
    config.control_identities_by_id = dict(command.identities_by_id)
    config.control_learner_ids = list(command.learner_ids)
    return None
