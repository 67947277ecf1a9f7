"""What a quorum of the voters has answered and stored, as far as the leader knows.

While a change of voters may not be committed, a quorum of the voters before it counts, too; see
``quorum``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination.raft.quorum import find_excluded_voter
from wagtailkeel_coordination.raft.quorum import majority_of

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wagtailkeel_coordination.raft.learners import Learners
    from wagtailkeel_coordination.raft.progress import ProgressTable
    from wagtailkeel_coordination.raft.raft_state import RaftState
    from wagtailkeel_coordination.raft.raft_state import UnconfirmedChange


class QuorumProgress:
    """Compares the progress of the voters; times in seconds."""

    def __init__(self, state: RaftState, progress: ProgressTable, learners: Learners) -> None:
        self._state = state
        self._progress = progress
        self._learners = learners

    # Answers

    def acknowledged_sent_at(self, now: float) -> float:
        """Return the latest time such that a quorum has answered requests sent then or later.

        This instance counts as having answered at ``now``.
        """
        sent_at = self._majority_acknowledged_sent_at(self._state.voters_by_id, now)
        change = self._state.find_unconfirmed_change()
        if change is None or not change.previous_identities_by_id:
            return sent_at
        previous = dict(change.previous_identities_by_id)
        excluded_voter = find_excluded_voter(previous, self._learners.find_lost(previous))
        if excluded_voter is not None:
            del previous[excluded_voter]
        return min(sent_at, self._majority_acknowledged_sent_at(previous, now))

    def _majority_acknowledged_sent_at(self, voters: Mapping[str, str], now: float) -> float:
        sent_times = [
            now if self._is_self(voter) else self._acknowledged_sent_at(voter, identity)
            for voter, identity in voters.items()
        ]
        return sorted(sent_times, reverse=True)[majority_of(len(voters)) - 1]

    def _acknowledged_sent_at(self, instance_id: str, identity: str) -> float:
        if self._current_identity(instance_id, identity) != identity:
            return float("-inf")
        return self._progress.of(instance_id).acknowledged_sent_at

    # Entries

    def find_commit_index(self) -> int:
        """Return the last index that a quorum has stored; 0 if there is no voter."""
        state = self._state
        match_indexes = [
            state.log.last_index if self._is_self(voter) else self._progress.of(voter).match_index
            for voter in state.voters_by_id
        ]
        if not match_indexes:
            return 0
        index = sorted(match_indexes, reverse=True)[state.quorum - 1]
        change = state.find_unconfirmed_change()
        if change is not None and not self._has_quorum_before(change):
            return min(index, change.log_index - 1)
        return index

    def _has_quorum_before(self, change: UnconfirmedChange) -> bool:
        """Return whether a quorum of the voters before a change has the entry that changes them.

        Where a lost voter is left out, only replies to requests count that were sent after it was
        known to be lost; see ``quorum``.
        """
        voters = change.previous_identities_by_id
        holders = [id_ for id_ in voters if self._has_entry(id_, voters[id_], change.log_index)]
        if not voters or len(holders) >= majority_of(len(voters)):
            return True
        lost_since_by_id = self._learners.find_lost(voters)
        excluded_voter = find_excluded_voter(voters, lost_since_by_id)
        if excluded_voter is None:
            return False
        lost_since = lost_since_by_id[excluded_voter]
        recent_holders = [
            voter
            for voter in holders
            if self._is_self(voter) or self._progress.of(voter).acknowledged_sent_at >= lost_since
        ]
        return len(recent_holders) >= majority_of(len(voters) - 1)

    def _has_entry(self, instance_id: str, identity: str, index: int) -> bool:
        """Return whether an identity is known to have stored an entry of this leader's log."""
        if self._is_self(instance_id):
            return identity == self._state.identity
        if self._current_identity(instance_id, identity) != identity:
            return False
        return self._progress.of(instance_id).match_index >= index

    # Identities

    def _current_identity(self, instance_id: str, default: str) -> str:
        """Return the identity with which an instance has answered last, as far as it is known."""
        voter_identity = self._state.voters_by_id.get(instance_id, default)
        return self._learners.identities_by_id.get(instance_id, voter_identity)

    def _is_self(self, voter: str) -> bool:
        return voter == self._state.instance_id
