"""Hints of a new version that carry the entries that made it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_protocol.codec import encode_datagram
from wagtailkeel_protocol.messages import VersionHint

if TYPE_CHECKING:
    from wagtailkeel_state.commands import LogEntry

MAX_HINT_BYTES = 1_200
MIN_ENTRY_BYTES = 20
"""Entries that can't fit are not encoded."""


def encode_version_hint(sender: str, version: int, entries: list[LogEntry]) -> bytes:
    """Return a hint with all the entries, or with none if they don't fit into a datagram.

    The receivers of a hint without entries pull them.
    """
    if len(entries) * MIN_ENTRY_BYTES <= MAX_HINT_BYTES:
        datagram = encode_datagram(VersionHint(sender, version, entries))
        if len(datagram) <= MAX_HINT_BYTES:
            return datagram
    return encode_datagram(VersionHint(sender, version))
