"""The log store as RaftStorage: its errors are converted to StorageFaultError."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from wagtailkeel_coordination.raft import StorageFaultError
from wagtailkeel_transport import StorageError

if TYPE_CHECKING:
    from collections.abc import Iterator

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
        with self._converted_errors():
            self._store.save_vote(vote)

    def append(self, entries: list[LogEntry]) -> None:
        """Add entries at the end of the log."""
        with self._converted_errors():
            self._store.append(entries)

    def truncate_from(self, index: int) -> None:
        """Remove the entry at ``index`` and all after it."""
        with self._converted_errors():
            self._store.truncate_from(index)

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Store a snapshot and drop entries that are no longer needed."""
        with self._converted_errors():
            self._store.save_snapshot(snapshot)

    @contextmanager
    def _converted_errors(self) -> Iterator[None]:
        """Raise StorageFaultError for a StorageError, whose text becomes ``last_error``."""
        try:
            yield
        except StorageError as error:
            self.last_error = str(error)
            raise StorageFaultError(str(error)) from error
