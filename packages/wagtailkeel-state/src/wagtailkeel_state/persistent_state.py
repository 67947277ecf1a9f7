"""State that a control instance keeps on disk in addition to its log."""

from __future__ import annotations

import msgspec

from wagtailkeel_state.configuration import Configuration

RETAINED_ENTRIES = 500
"""Log entries kept before a snapshot: a peer that lacks only these needs no snapshot."""


class Vote(msgspec.Struct, frozen=True):
    """The latest term seen and the candidate that this instance voted for in that term, if any."""

    term: int = 0
    voted_for: str = ""


class Snapshot(msgspec.Struct):
    """A configuration that replaces all log entries up to its index."""

    configuration: Configuration

    @property
    def index(self) -> int:
        """Index of the last entry that the snapshot includes."""
        return self.configuration.index

    @property
    def term(self) -> int:
        """Term of the last entry that the snapshot includes."""
        return self.configuration.term
