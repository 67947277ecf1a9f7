"""Reasons for dropping a packet, returned instead of a parsed result and counted by value."""

from __future__ import annotations

from enum import Enum


class Malformed(Enum):
    """Reason why a received packet is dropped before it is routed."""

    TRUNCATED = "truncated"
    OVERSIZED = "oversized"
    FOREIGN = "foreign"
    """The protocol or the kind of frame is none that wagtailkeel handles."""
    FRAGMENTED = "fragmented"
    WRONG_VERSION = "wrong_version"
    UNDECODABLE = "undecodable"
