"""Proposed commands that are not committed yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import msgspec

if TYPE_CHECKING:
    from wagtailkeel_state.commands import CommandAnswer
    from wagtailkeel_state.commands import LogEntry


class PendingProposal(msgspec.Struct):
    """A proposal at its log index; ``answer`` stays None if another entry is committed there."""

    term: int
    done: anyio.Event
    answer: CommandAnswer | None = None


class PendingProposals:
    """Proposals by log index."""

    def __init__(self) -> None:
        self._pending_by_index: dict[int, PendingProposal] = {}

    def add(self, index: int, term: int) -> PendingProposal:
        """Add a proposal at a log index."""
        pending = PendingProposal(term, anyio.Event())
        self._pending_by_index[index] = pending
        return pending

    def resolve(self, entry: LogEntry, answer: CommandAnswer) -> None:
        """Wake the waiter for an entry; it gets no answer if the entry is of another term."""
        pending = self._pending_by_index.pop(entry.index, None)
        if pending is None:
            return
        if pending.term == entry.term:
            pending.answer = answer
        pending.done.set()

    def discard(self, index: int) -> None:
        """Remove the proposal at a log index, if there is one."""
        self._pending_by_index.pop(index, None)
