"""The durable log: segments of checksummed records, a vote, and snapshots.

A record holds the entries of one write, so that a torn write damages one record only.
"""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_state.commands import LogEntry
from wagtailkeel_state.configuration import Configuration
from wagtailkeel_state.durable import Snapshot
from wagtailkeel_state.durable import Vote
from wagtailkeel_transport.errors import StorageError
from wagtailkeel_transport.record_file import encode_record
from wagtailkeel_transport.record_file import read_records

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from wagtailkeel_transport.data_folder import DataFolder

VOTE_FILE = "vote"
SNAPSHOT_FILE = "snapshot"
SEGMENT_PREFIX = "log-"
SEGMENT_ENTRIES = 500
RETAINED_ENTRIES = 500


class RecordPosition(msgspec.Struct, frozen=True):
    """Where a record starts in its segment, and the first entry in it."""

    offset: int
    first_index: int


class Segment(msgspec.Struct):
    """A file of consecutive records."""

    path: str
    first_index: int
    last_index: int
    size: int
    positions: list[RecordPosition]


class LogStore:
    """The log on a data folder; ``sync`` can be replaced to make it fail."""

    def __init__(self, folder: DataFolder, sync: Callable[[int], None] = os.fsync) -> None:
        self._folder = folder
        self._sync = sync
        self._segments: list[Segment] = []
        self.cut_bytes = 0
        vote = folder.load(VOTE_FILE)
        self.vote = msgspec.msgpack.decode(vote, type=Vote) if vote else Vote()
        snapshot = folder.load(SNAPSHOT_FILE)
        self.configuration = (
            msgspec.msgpack.decode(snapshot, type=Configuration) if snapshot else Configuration()
        )
        self._loaded_entries = self._load_segments()

    @property
    def entries(self) -> list[LogEntry]:
        """The entries that follow the snapshot, as found on disk at the start."""
        base = self.configuration.index
        entries = [entry for entry in self._loaded_entries if entry.index > base]
        if entries and entries[0].index != base + 1:
            # An installed snapshot is ahead of all entries; the rest is of an older log.
            return []
        return entries

    def save_vote(self, vote: Vote) -> None:
        """Replace the vote durably."""
        self._folder.replace(VOTE_FILE, msgspec.msgpack.encode(vote))

    def append(self, entries: list[LogEntry]) -> None:
        """Write entries as one record and sync it."""
        if not entries:
            return
        record = encode_record(msgspec.msgpack.encode(entries))
        try:
            segment = self._segment_for(entries[0].index)
            self._write(segment, record)
        except OSError as error:
            raise StorageError(f"can't append to the log: {error}") from error
        segment.positions.append(RecordPosition(segment.size, entries[0].index))
        segment.size += len(record)
        segment.last_index = entries[-1].index

    def _write(self, segment: Segment, record: bytes) -> None:
        descriptor = os.open(segment.path, os.O_WRONLY)
        try:
            written = os.pwrite(descriptor, record, segment.size)
            if written != len(record):
                raise OSError(f"wrote {written} of {len(record)} bytes")
            self._sync(descriptor)
        finally:
            os.close(descriptor)

    def _segment_for(self, first_index: int) -> Segment:
        if self._segments:
            last = self._segments[-1]
            if last.last_index - last.first_index < SEGMENT_ENTRIES:
                return last
        path = self._folder.path / f"{SEGMENT_PREFIX}{first_index:020d}"
        with path.open("wb") as file:
            self._sync(file.fileno())
        self._folder.sync()
        segment = Segment(str(path), first_index, first_index - 1, 0, [])
        self._segments.append(segment)
        return segment

    def truncate_from(self, index: int) -> None:
        """Remove the entry at ``index`` and all after it, durably."""
        try:
            while self._segments and self._segments[-1].first_index >= index:
                os.unlink(self._segments.pop().path)
            if self._segments and self._segments[-1].last_index >= index:
                self._truncate_segment(self._segments[-1], index)
            self._folder.sync()
        except OSError as error:
            raise StorageError(f"can't truncate the log: {error}") from error

    def _truncate_segment(self, segment: Segment, index: int) -> None:
        position = next(p for p in reversed(segment.positions) if p.first_index <= index)
        kept = self._entries_before(segment, position, index)
        descriptor = os.open(segment.path, os.O_WRONLY)
        try:
            os.ftruncate(descriptor, position.offset)
            self._sync(descriptor)
        finally:
            os.close(descriptor)
        segment.positions = [p for p in segment.positions if p.offset < position.offset]
        segment.size = position.offset
        segment.last_index = position.first_index - 1
        self.append(kept)

    def _entries_before(
        self, segment: Segment, position: RecordPosition, index: int
    ) -> list[LogEntry]:
        with open(segment.path, "rb") as file:
            file.seek(position.offset)
            body = file.read(segment.size - position.offset)
        payload = body[12 : 12 + int.from_bytes(body[:4], "little")]
        entries = msgspec.msgpack.decode(payload, type=list[LogEntry])
        return [entry for entry in entries if entry.index < index]

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the snapshot, then remove segments that are no longer needed."""
        self._folder.replace(SNAPSHOT_FILE, msgspec.msgpack.encode(snapshot.configuration))
        oldest_needed = snapshot.index - RETAINED_ENTRIES
        try:
            while len(self._segments) > 1 and self._segments[0].last_index < oldest_needed:
                os.unlink(self._segments.pop(0).path)
            self._folder.sync()
        except OSError as error:
            raise StorageError(f"can't remove old segments: {error}") from error

    def _load_segments(self) -> list[LogEntry]:
        entries: list[LogEntry] = []
        paths = sorted(self._folder.path.glob(SEGMENT_PREFIX + "*"))
        for path in paths:
            entries.extend(self._load_segment(path, is_last=path == paths[-1]))
        return entries

    def _load_segment(self, path: Path, *, is_last: bool) -> list[LogEntry]:
        payloads, end = read_records(path, is_last_file=is_last)
        self._cut_tail(path, end)
        first_index = int(path.name.removeprefix(SEGMENT_PREFIX))
        segment = Segment(str(path), first_index, first_index - 1, end, [])
        entries: list[LogEntry] = []
        offset = 0
        for payload in payloads:
            batch = msgspec.msgpack.decode(payload, type=list[LogEntry])
            segment.positions.append(RecordPosition(offset, batch[0].index))
            segment.last_index = batch[-1].index
            offset += len(encode_record(payload))
            entries.extend(batch)
        self._segments.append(segment)
        return entries

    def _cut_tail(self, path: Path, end: int) -> None:
        size = path.stat().st_size
        if size == end:
            return
        self.cut_bytes += size - end
        descriptor = os.open(path, os.O_WRONLY)
        try:
            os.ftruncate(descriptor, end)
            self._sync(descriptor)
        finally:
            os.close(descriptor)
