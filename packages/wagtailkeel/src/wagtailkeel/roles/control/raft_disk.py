"""The log store as RaftStorage: its errors are converted to StorageFaultError."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination.raft import StorageFaultError
from wagtailkeel_transport import StorageError

if TYPE_CHECKING:
    from wagtailkeel_state.commands import LogEntry
    from wagtailkeel_state.persistent_state import Snapshot
    from wagtailkeel_state.persistent_state import Vote
    from wagtailkeel_transport.storage import LogStore


class RaftDisk:
    """Implements RaftStorage on a log store."""

    def __init__(self, store: LogStore) -> None:
        self._store = store
        self.last_error = ""

    def save_vote(self, vote: Vote) -> None:
        """Replace the stored term and vote."""
        try:
            self._store.save_vote(vote)
        except StorageError as error:
            raise self._convert_error(error) from error

    def append(self, entries: list[LogEntry]) -> None:
        """Add entries at the end of the log."""
        try:
            self._store.append(entries)
        except StorageError as error:
            raise self._convert_error(error) from error

    def truncate_from(self, index: int) -> None:
        """Remove the entry at ``index`` and all after it."""
        try:
            self._store.truncate_from(index)
        except StorageError as error:
            raise self._convert_error(error) from error

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Store a snapshot and drop entries that are no longer needed."""
        try:
            self._store.save_snapshot(snapshot)
        except StorageError as error:
            raise self._convert_error(error) from error

    def _convert_error(self, error: StorageError) -> StorageFaultError:
        self.last_error = str(error)
        return StorageFaultError(str(error))
