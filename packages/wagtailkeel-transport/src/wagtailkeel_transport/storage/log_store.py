"""The durable log: segments of checksummed records, a vote, and snapshots.

A record holds the entries of one write, so that a torn write damages only one record. Entries of a
record replace earlier entries with the same or a higher index; nothing is overwritten in place.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_state.commands import LogEntry
from wagtailkeel_state.configuration import Configuration
from wagtailkeel_state.persistent_state import RETAINED_ENTRIES
from wagtailkeel_state.persistent_state import Snapshot
from wagtailkeel_state.persistent_state import Vote
from wagtailkeel_transport.errors import StorageError
from wagtailkeel_transport.storage.record_file import encode_record
from wagtailkeel_transport.storage.record_file import read_records

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtailkeel_transport.storage.data_folder import DataFolder

VOTE_FILE = "vote"
SNAPSHOT_FILE = "snapshot"
SEGMENT_PREFIX = "log-"
SEGMENT_RECORDS = 500


class Segment(msgspec.Struct):
    """A file of records, in the order in which they were written."""

    path: Path
    last_index: int
    size: int
    records: int


class LogStore:
    """The log in a data folder; tests replace ``sync`` to make it fail."""

    def __init__(self, folder: DataFolder, sync: Callable[[int], None] = os.fsync) -> None:
        self._folder = folder
        self._sync = sync
        self._segments: list[Segment] = []
        self._last_segment_number = 0
        self.truncated_bytes = 0
        vote = folder.load(VOTE_FILE)
        self.vote = msgspec.msgpack.decode(vote, type=Vote) if vote else Vote()
        snapshot = folder.load(SNAPSHOT_FILE)
        self.configuration = (
            msgspec.msgpack.decode(snapshot, type=Configuration) if snapshot else Configuration()
        )
        self._loaded_entries = self._load_segments()

    @property
    def entries(self) -> list[LogEntry]:
        """The entries after the snapshot, as found on disk at the start."""
        base = self.configuration.index
        entries = [entry for entry in self._loaded_entries if entry.index > base]
        if entries and entries[0].index != base + 1:
            # An installed snapshot is newer than the log; entries after a gap are outdated.
            return []
        return entries

    def save_vote(self, vote: Vote) -> None:
        """Replace the stored vote durably."""
        self._folder.replace(VOTE_FILE, msgspec.msgpack.encode(vote))

    def append(self, entries: list[LogEntry]) -> None:
        """Write entries as one record and sync it to disk."""
        if not entries:
            return
        record = encode_record(msgspec.msgpack.encode(entries))
        try:
            segment = self._current_segment()
            self._write(segment, record)
        except OSError as error:
            raise StorageError(f"can't append to the log: {error}") from error
        segment.size += len(record)
        segment.records += 1
        segment.last_index = max(segment.last_index, entries[-1].index)

    def _write(self, segment: Segment, record: bytes) -> None:
        descriptor = os.open(segment.path, os.O_WRONLY)
        try:
            written = os.pwrite(descriptor, record, segment.size)
            if written != len(record):
                raise OSError(f"wrote {written} of {len(record)} bytes")
            self._sync(descriptor)
        finally:
            os.close(descriptor)

    def _current_segment(self) -> Segment:
        if self._segments and self._segments[-1].records < SEGMENT_RECORDS:
            return self._segments[-1]
        self._last_segment_number += 1
        path = self._folder.path / f"{SEGMENT_PREFIX}{self._last_segment_number:012d}"
        with path.open("wb") as file:
            self._sync(file.fileno())
        self._folder.sync()
        segment = Segment(path, 0, 0, 0)
        self._segments.append(segment)
        return segment

    def truncate_from(self, index: int) -> None:
        """Remove the entry at ``index`` and all after it.

        Nothing is written: the next record starts at ``index`` and replaces the entries from there.
        A restart before that loads entries again that no quorum has, which consensus allows; a
        write in place could lose earlier entries of the same record.
        """

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the snapshot, then remove segments that are no longer needed.

        The newest segment and those that reach into the last ``RETAINED_ENTRIES`` before the
        snapshot are kept.
        """
        self._folder.replace(SNAPSHOT_FILE, msgspec.msgpack.encode(snapshot.configuration))
        oldest_needed_index = snapshot.index - RETAINED_ENTRIES
        try:
            while len(self._segments) > 1 and self._segments[0].last_index < oldest_needed_index:
                self._segments.pop(0).path.unlink()
            self._folder.sync()
        except OSError as error:
            raise StorageError(f"can't remove old segments: {error}") from error

    def _load_segments(self) -> list[LogEntry]:
        entries: list[LogEntry] = []
        paths = sorted(self._folder.path.glob(SEGMENT_PREFIX + "*"))
        for path in paths:
            for batch in self._load_segment(path, is_last=path == paths[-1]):
                entries = _merge_batch(entries, batch)
        return entries

    def _load_segment(self, path: Path, *, is_last: bool) -> list[list[LogEntry]]:
        payloads, end = read_records(path, is_last_file=is_last)
        self._truncate_tail(path, end)
        batches = [msgspec.msgpack.decode(body, type=list[LogEntry]) for body in payloads]
        last_index = max((batch[-1].index for batch in batches), default=0)
        self._segments.append(Segment(path, last_index, end, len(batches)))
        self._last_segment_number = int(path.name.removeprefix(SEGMENT_PREFIX))
        return batches

    def _truncate_tail(self, path: Path, end: int) -> None:
        size = path.stat().st_size
        if size == end:
            return
        self.truncated_bytes += size - end
        descriptor = os.open(path, os.O_WRONLY)
        try:
            os.ftruncate(descriptor, end)
            self._sync(descriptor)
        finally:
            os.close(descriptor)


def _merge_batch(entries: list[LogEntry], batch: list[LogEntry]) -> list[LogEntry]:
    """Append a batch; it replaces entries from its first index on, or all after a gap."""
    first_index = batch[0].index
    if not entries or first_index > entries[-1].index + 1 or first_index <= entries[0].index:
        return list(batch)
    return entries[: first_index - entries[0].index] + batch
