"""A node's copy of the configuration: it only ever moves forward."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_protocol.messages import PullReply
from wagtailkeel_state.configuration import Configuration
from wagtailkeel_state.configuration_machine import apply_entry

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtailkeel_state.commands import LogEntry

RETAINED_ENTRIES = 500


class ConfigurationStore:
    """The newest configuration known here, and recent entries for peers that pull."""

    def __init__(self) -> None:
        self.configuration = Configuration()
        self._recent_entries: list[LogEntry] = []
        self._listeners: list[Callable[[Configuration], None]] = []

    @property
    def version(self) -> int:
        """Log index of the configuration."""
        return self.configuration.index

    def subscribe(self, listener: Callable[[Configuration], None]) -> None:
        """Call ``listener`` after each step forward."""
        self._listeners.append(listener)

    def answer_pull(self, since: int) -> PullReply:
        """Return what is newer than ``since``."""
        if since >= self.version:
            return PullReply()
        entries = [entry for entry in self._recent_entries if entry.index > since]
        if entries and entries[0].index == since + 1:
            return PullReply(entries=entries)
        return PullReply(snapshot=self.configuration)

    def apply_pull(self, reply: PullReply) -> bool:
        """Apply a reply to a pull; return whether the version went up."""
        previous_version = self.version
        if reply.snapshot is not None and reply.snapshot.index > self.version:
            self.configuration = reply.snapshot
            self._recent_entries.clear()
        for entry in reply.entries:
            if entry.index == self.version + 1:
                self._apply_entry(entry)
        if self.version == previous_version:
            return False
        for listener in self._listeners:
            listener(self.configuration)
        return True

    def _apply_entry(self, entry: LogEntry) -> None:
        apply_entry(self.configuration, entry)
        self.retain_entry(entry)

    def retain_entry(self, entry: LogEntry) -> None:
        """Keep a recent entry for peers."""
        self._recent_entries.append(entry)
        if len(self._recent_entries) > 2 * RETAINED_ENTRIES:
            del self._recent_entries[:RETAINED_ENTRIES]

    def replace(self, configuration: Configuration) -> None:
        """Adopt a whole configuration that consensus has installed."""
        self.configuration = configuration
        self._recent_entries.clear()
