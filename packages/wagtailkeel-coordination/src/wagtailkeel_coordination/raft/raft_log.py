"""The in-memory log: the index and term of a snapshot, and the entries after it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from wagtailkeel_state.commands import SetControlMembers

if TYPE_CHECKING:
    from wagtailkeel_state.commands import LogEntry


class VoterChange(NamedTuple):
    """A log entry that sets the voters: its index, and their identities by instance id."""

    log_index: int
    identities_by_id: dict[str, str]


class RaftLog:
    """Entries by index; ``base_index`` is the last index that is only in the snapshot."""

    def __init__(self, base_index: int, base_term: int, entries: list[LogEntry]) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self._entries = list(entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry or of the base, or None if the log has no such index."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def entry_at(self, index: int) -> LogEntry:
        """Return the entry at an index within the log."""
        return self._entries[index - self.base_index - 1]

    def entries_after(self, index: int, limit: int) -> list[LogEntry]:
        """Return up to ``limit`` entries after ``index``, which is not before the base."""
        start = index - self.base_index
        return self._entries[start : start + limit]

    def find_members(self, after: int) -> SetControlMembers | None:
        """Return the newest command after ``after`` that sets the members, or None."""
        for index in range(self.last_index, after, -1):
            command = self.entry_at(index).command
            if isinstance(command, SetControlMembers):
                return command
        return None

    def find_voter_changes(self, after: int) -> list[VoterChange]:
        """Return the entries after ``after`` that set the voters, oldest first."""
        changes = []
        for index in range(max(after, self.base_index) + 1, self.last_index + 1):
            command = self.entry_at(index).command
            if isinstance(command, SetControlMembers):
                changes.append(VoterChange(index, dict(command.identities_by_id)))
        return changes

    def append(self, entries: list[LogEntry]) -> None:
        """Add entries at the end."""
        self._entries.extend(entries)

    def truncate_from(self, index: int) -> None:
        """Remove the entry at ``index`` and all after it."""
        del self._entries[index - self.base_index - 1 :]

    def compact(self, index: int) -> None:
        """Move the base forward to ``index``, which is in the log, and remove entries up to it."""
        term = self.term_at(index)
        assert term is not None, "the compaction index is in the log"
        del self._entries[: index - self.base_index]
        self.base_index, self.base_term = index, term

    def reset(self, index: int, term: int) -> None:
        """Remove all entries and start after a snapshot received from the leader."""
        self._entries.clear()
        self.base_index, self.base_term = index, term
