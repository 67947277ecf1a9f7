"""Tables that keep only their latest records."""

from __future__ import annotations

from typing import TypeVar

Record = TypeVar("Record")


def retain_latest(
    records_by_key: dict[str, Record], key: str, record: Record, max_records: int
) -> None:
    """Put a record at the end of a table, and remove the oldest ones above ``max_records``."""
    records_by_key.pop(key, None)
    records_by_key[key] = record
    while len(records_by_key) > max_records:
        del records_by_key[next(iter(records_by_key))]
