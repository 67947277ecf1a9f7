"""A node's copy of the configuration, whose version never decreases."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_protocol.messages import PullReply
from wagtailkeel_protocol.snapshot_codec import compress_snapshot
from wagtailkeel_protocol.snapshot_codec import decompress_snapshot
from wagtailkeel_state.configuration import Configuration
from wagtailkeel_state.configuration_machine import apply_entry
from wagtailkeel_transport.log import logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtailkeel_protocol.messages import PullRequest
    from wagtailkeel_state.commands import LogEntry

MIN_RETAINED_ENTRIES = 500


class ConfigurationStore:
    """Holds the newest configuration known to this node, and recent log entries for peers."""

    def __init__(self) -> None:
        self.configuration = Configuration()
        self._recent_entries: list[LogEntry] = []
        self._listeners: list[Callable[[Configuration], None]] = []
        self._compressed = b""
        self._compressed_version = 0

    @property
    def version(self) -> int:
        """Log index of the newest entry in the configuration."""
        return self.configuration.index

    def subscribe(self, listener: Callable[[Configuration], None]) -> None:
        """Call ``listener`` after each pull that raises the version."""
        self._listeners.append(listener)

    def answer_pull(self, request: PullRequest) -> PullReply:
        """Return the entries after an index, or a snapshot if that is shorter.

        It is also a snapshot if the entries are not all retained. The reply is empty if this node
        has no newer version.
        """
        since = request.since
        if since >= self.version:
            return PullReply()
        entries = self.entries_after(since)
        if entries and len(entries) <= self._record_count:
            return PullReply(entries=entries)
        if not request.accepts_compressed:
            return PullReply(snapshot=self.configuration)
        return PullReply(compressed_snapshot=self._compress())

    async def handle_pull(self, request: PullRequest) -> PullReply:
        """Answer a pull as the handler of a call."""
        return self.answer_pull(request)

    def entries_after(self, index: int) -> list[LogEntry]:
        """Return the log entries after an index; none if they are not all retained."""
        entries = [entry for entry in self._recent_entries if entry.index > index]
        return entries if entries and entries[0].index == index + 1 else []

    @property
    def _record_count(self) -> int:
        """The number of records in a snapshot; a record takes no more space than an entry."""
        config = self.configuration
        members = len(config.servers_by_id) + len(config.balancers_by_id)
        return members + len(config.routing.routes_by_place)

    def _compress(self) -> bytes:
        """Return the compressed configuration, which is computed once for each version."""
        if self._compressed_version != self.version:
            self._compressed = compress_snapshot(self.configuration)
            self._compressed_version = self.version
        return self._compressed

    def apply_pull(self, reply: PullReply) -> bool:
        """Apply the reply to a pull; return whether the version increased."""
        previous_version = self.version
        snapshot = reply.snapshot
        if reply.compressed_snapshot:
            snapshot = decompress_snapshot(reply.compressed_snapshot)
            if snapshot is None:
                logger.error("can't read the compressed configuration of a peer")
        if snapshot is not None and snapshot.index > self.version:
            self.configuration = snapshot
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
