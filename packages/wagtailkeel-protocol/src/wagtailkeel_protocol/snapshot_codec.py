"""Compressed configurations and log entries, for nodes behind a slow link.

Most of a configuration is the records of its members, which are alike, and most entries are joins.
"""

from __future__ import annotations

import zlib

import msgspec

from wagtailkeel_state.commands import LogEntry
from wagtailkeel_state.configuration import Configuration

COMPRESSION_LEVEL = 1
"""The fastest: many nodes start at once after a power failure."""


def compress_snapshot(configuration: Configuration) -> bytes:
    """Return a configuration as compressed MessagePack."""
    return zlib.compress(msgspec.msgpack.encode(configuration), COMPRESSION_LEVEL)


def decompress_snapshot(compressed: bytes) -> Configuration | None:
    """Return the configuration; None if it can't be decoded."""
    try:
        return msgspec.msgpack.decode(zlib.decompress(compressed), type=Configuration)
    except (zlib.error, msgspec.MsgspecError):
        return None


def compress_entries(entries: list[LogEntry]) -> bytes:
    """Return log entries as compressed MessagePack."""
    return zlib.compress(msgspec.msgpack.encode(entries), COMPRESSION_LEVEL)


def decompress_entries(compressed: bytes) -> list[LogEntry] | None:
    """Return the log entries; None if they can't be decoded."""
    try:
        return msgspec.msgpack.decode(zlib.decompress(compressed), type=list[LogEntry])
    except (zlib.error, msgspec.MsgspecError):
        return None
