"""Hints of a new version that carry the entries that led to it.

Load pattern: many nodes join or leave within seconds, at a start, a release or after a power
failure. Without the entries, each node would pull each of these versions.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_protocol.codec import encode_datagram
from wagtailkeel_protocol.messages import VersionHint
from wagtailkeel_protocol.snapshot_codec import compress_entries

if TYPE_CHECKING:
    from wagtailkeel_state.commands import LogEntry

MAX_HINT_BYTES = 1_200
MAX_HINTED_ENTRIES = 64
"""Only so many are compressed to see whether they fit."""


def encode_version_hint(sender: str, version: int, entries: list[LogEntry]) -> bytes:
    """Return a hint with all the entries, or with none if they don't fit into a datagram.

    The receivers of a hint without entries pull them.
    """
    if entries and len(entries) <= MAX_HINTED_ENTRIES:
        datagram = encode_datagram(VersionHint(sender, version, compress_entries(entries)))
        if len(datagram) <= MAX_HINT_BYTES:
            return datagram
    return encode_datagram(VersionHint(sender, version))
