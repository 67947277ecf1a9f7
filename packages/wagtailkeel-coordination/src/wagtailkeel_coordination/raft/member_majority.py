"""Whether so many instances have stored an entry, or answer, that the others are no majority.

The voters decide who leads and what is committed. But an instance may run without a vote: it has
lost it since it was silent, has not got it back yet, or there are too many. So most votes may be on
one side of a partition, and most instances, which then decide what is in force, on the other.

Half of the instances are enough, as the other half is no majority and has no quorum of votes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wagtailkeel_coordination.raft.progress import ProgressTable
    from wagtailkeel_coordination.raft.raft_state import RaftState


class MemberMajority:
    """Counts the voters and the learners that the log lists; times in seconds."""

    def __init__(self, state: RaftState, progress: ProgressTable) -> None:
        self._state = state
        self._progress = progress

    def list_holders(self, index: int) -> list[str]:
        """Return the members that have stored an entry of this leader's log."""
        return [member for member in sorted(self._state.member_ids) if self._holds(member, index)]

    def has_stored(self, index: int) -> bool:
        """Return whether at least half of the members have stored an entry of this leader's log."""
        return self._is_half(len(self.list_holders(index)))

    def has_answered(self, since: float) -> bool:
        """Return whether at least half of the members have answered requests sent since a time."""
        answers = [self._has_answered(member, since) for member in self._state.member_ids]
        return self._is_half(sum(answers))

    def have_voters_answered(self, since: float) -> bool:
        """Return whether all voters have answered requests sent since a time."""
        return all(self._has_answered(voter, since) for voter in self._state.voters_by_id)

    def _is_half(self, count: int) -> bool:
        return 2 * count >= len(self._state.member_ids)

    def _is_self(self, member: str) -> bool:
        return member == self._state.instance_id

    def _has_answered(self, member: str, since: float) -> bool:
        return self._is_self(member) or self._progress.of(member).acknowledged_sent_at >= since

    def _holds(self, member: str, index: int) -> bool:
        return self._is_self(member) or self._progress.of(member).match_index >= index
