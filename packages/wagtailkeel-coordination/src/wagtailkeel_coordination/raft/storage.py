"""The storage interface of consensus. Every method returns only when its effect is durable."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from wagtailkeel_coordination.errors import CoordinationError

if TYPE_CHECKING:
    from wagtailkeel_state.commands import LogEntry
    from wagtailkeel_state.persistent_state import Snapshot
    from wagtailkeel_state.persistent_state import Vote


class RaftStorage(Protocol):
    """Durable state of one control instance; raises StorageFaultError when the disk fails."""

    def save_vote(self, vote: Vote) -> None:
        """Replace the stored term and vote."""

    def append(self, entries: list[LogEntry]) -> None:
        """Add entries at the end of the log."""

    def truncate_from(self, index: int) -> None:
        """Remove the entry at ``index`` and all after it."""

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Store a snapshot and drop entries that are no longer needed."""


class StorageFaultError(CoordinationError):
    """The disk failed; nothing afterwards may be acknowledged as durable."""
