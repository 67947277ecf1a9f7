"""A node's copy of the configuration, whose version never decreases."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_protocol.messages import PullReply
from wagtailkeel_state.configuration import Configuration
from wagtailkeel_state.configuration_machine import apply_entry

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtailkeel_state.commands import LogEntry

MIN_RETAINED_ENTRIES = 500


class ConfigurationStore:
    """Holds the newest configuration known to this node, and recent log entries for peers."""

    def __init__(self) -> None:
        self.configuration = Configuration()
        self._recent_entries: list[LogEntry] = []
        self._listeners: list[Callable[[Configuration], None]] = []

    @property
    def version(self) -> int:
        """Log index of the newest entry in the configuration."""
        return self.configuration.index

    def subscribe(self, listener: Callable[[Configuration], None]) -> None:
        """Call ``listener`` after each pull that raises the version."""
        self._listeners.append(listener)

    def answer_pull(self, since: int) -> PullReply:
        """Return the entries after index ``since``, or a snapshot if they are not all retained.

        The reply is empty if this node has no newer version.
        """
        if since >= self.version:
            return PullReply()
        entries = [entry for entry in self._recent_entries if entry.index > since]
        if entries and entries[0].index == since + 1:
            return PullReply(entries=entries)
        return PullReply(snapshot=self.configuration)

    def apply_pull(self, reply: PullReply) -> bool:
        """Apply the reply to a pull; return whether the version increased."""
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
        """Keep a recent entry for peers that pull."""
        self._recent_entries.append(entry)
        if len(self._recent_entries) > 2 * MIN_RETAINED_ENTRIES:
            del self._recent_entries[:MIN_RETAINED_ENTRIES]

    def replace(self, configuration: Configuration) -> None:
        """Replace the configuration by one from a snapshot that Raft has installed.

        Listeners are not called.
        """
        self.configuration = configuration
        self._recent_entries.clear()
