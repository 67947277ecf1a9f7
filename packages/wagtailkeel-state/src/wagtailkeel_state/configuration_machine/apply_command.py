"""The function that applies a command; the rules of each subject are registered with it."""

from __future__ import annotations

from functools import singledispatch

from wagtailkeel_state.commands import Command
from wagtailkeel_state.commands import LogEntry
from wagtailkeel_state.commands import Noop
from wagtailkeel_state.configuration import Configuration


@singledispatch
def apply_command(command: Command, config: Configuration, entry: LogEntry) -> str | None:
    """Apply one command; return None if it took effect, else the reason why it did not."""
    raise TypeError(f"no rule to apply {type(command).__name__}")


@apply_command.register
def _(command: Noop, config: Configuration, entry: LogEntry) -> str | None:
    return None
