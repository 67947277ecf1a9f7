"""Applies log entries: checks the expected version, and answers a repeated command as before."""

from __future__ import annotations

from wagtailkeel_state.commands import AdvanceBooking
from wagtailkeel_state.commands import CommandAnswer
from wagtailkeel_state.commands import DefineDataCentre
from wagtailkeel_state.commands import JoinBalancer
from wagtailkeel_state.commands import JoinServer
from wagtailkeel_state.commands import LogEntry
from wagtailkeel_state.commands import Noop
from wagtailkeel_state.commands import RecordServer
from wagtailkeel_state.commands import RemoveBalancer
from wagtailkeel_state.commands import RemoveServer
from wagtailkeel_state.commands import SetControlMembers
from wagtailkeel_state.commands import SetShares
from wagtailkeel_state.commands import StopAgent
from wagtailkeel_state.configuration import Configuration
from wagtailkeel_state.configuration_machine.apply_command import apply_command
from wagtailkeel_state.configuration_machine.bounded_tables import retain_latest
from wagtailkeel_state.enums import AnswerStatus

MAX_RETAINED_ANSWERS = 10_000

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
        retain_latest(config.answers_by_command_id, entry.command_id, answer, MAX_RETAINED_ANSWERS)
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
