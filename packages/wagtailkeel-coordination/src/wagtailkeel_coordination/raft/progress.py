"""What a leader knows of one peer."""

from __future__ import annotations

import msgspec


class PeerProgress(msgspec.Struct):
    """Replication state; times are monotonic seconds of the leader."""

    next_index: int
    match_index: int = 0
    sent_at: float = float("-inf")
    acknowledged_sent_at: float = float("-inf")
    round: int = 0
    is_busy: bool = False
