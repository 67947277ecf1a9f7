"""A command that a leader is to append to its log."""

from __future__ import annotations

import msgspec

from wagtailkeel_state.commands import AnyCommand
from wagtailkeel_state.commands import LogEntry


class Proposal(msgspec.Struct, frozen=True):
    """A command with the options of its sender; see ``LogEntry`` for their meaning."""

    command: AnyCommand
    command_id: str = ""
    author: str = ""
    expected_version: int | None = None

    def to_entry(self, index: int, term: int) -> LogEntry:
        """Return the log entry of this command."""
        return LogEntry(
            index, term, self.command, self.command_id, self.author, self.expected_version
        )

    def find_encoding_error(self) -> str | None:
        """Return why an entry with this command can't be stored or sent, or None."""
        try:
            msgspec.msgpack.encode(self.to_entry(0, 0))
        except (msgspec.MsgspecError, OverflowError, TypeError, ValueError) as error:
            return str(error)
        return None
