"""Replication progress of the peers, kept by the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from wagtailkeel_coordination.raft.raft_log import RaftLog

REPLY_TIMEOUT_S = 1.0
"""A peer that has not replied for this long is sent a new request and can't become a voter."""


class PeerProgress(msgspec.Struct):
    """Replication state of one peer; times are monotonic seconds of the leader.

    ``round`` is the number of the newest request, and ``acknowledged_sent_at`` the time at which
    the newest acknowledged request was sent.
    """

    next_index: int
    match_index: int = 0
    sent_at: float = float("-inf")
    acknowledged_sent_at: float = float("-inf")
    round: int = 0
    is_request_pending: bool = False

    def update(self, is_matched: bool, match_index: int, base_index: int) -> None:
        """Process a peer's append reply; ``base_index`` is the base of the leader's log.

        Without ``is_matched``, ``match_index`` is the last index that may match.
        """
        if is_matched:
            self.match_index = max(self.match_index, match_index)
            self.next_index = self.match_index + 1
            return
        retry_index = min(match_index, self.next_index - 1) + 1
        # At the base, the entry before ``next_index`` is not in the log: a snapshot is sent next.
        self.next_index = max(1, retry_index, base_index)


class ProgressTable:
    """Progress of each peer in the leader's term; a new one starts at the end of the log."""

    def __init__(self, log: RaftLog) -> None:
        self._log = log
        self._progress_by_id: dict[str, PeerProgress] = {}

    def of(self, peer: str) -> PeerProgress:
        """Return the replication progress of another instance."""
        if peer not in self._progress_by_id:
            self._progress_by_id[peer] = PeerProgress(self._log.last_index + 1)
        return self._progress_by_id[peer]

    def remove(self, peer: str) -> None:
        """Discard the progress of an instance."""
        del self._progress_by_id[peer]

    def clear(self) -> None:
        """Discard all progress, which belongs to an earlier term."""
        self._progress_by_id = {}
