"""Why a packet was not accepted: sentinel values, counted by name."""

from __future__ import annotations

from enum import Enum


class Malformed(Enum):
    """Reason for which a packet is dropped at the edge."""

    TRUNCATED = "truncated"
    OVERSIZED = "oversized"
    FOREIGN = "foreign"
    FRAGMENTED = "fragmented"
    WRONG_VERSION = "wrong_version"
    UNDECODABLE = "undecodable"
