"""Collects the records of servers and callers, and writes them to a file."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_bench.flow_records import FlowRecord
from wagtailkeel_bench.flow_records import RecordKind

if TYPE_CHECKING:
    from pathlib import Path


class RecordFile:
    """Keeps all records, and writes each to the file as a JSON line."""

    def __init__(self, path: Path) -> None:
        self.records: list[FlowRecord] = []
        self._file = path.open("ab")

    def write(
        self,
        kind: RecordKind,
        *,
        server: str = "",
        flow: str = "",
        connection: int = 0,
        writer: str = "",
    ) -> None:
        """Add a record with the current time."""
        record = FlowRecord(time.monotonic(), kind, server, flow, connection, writer)
        self.records.append(record)
        self._file.write(msgspec.json.encode(record) + b"\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()
