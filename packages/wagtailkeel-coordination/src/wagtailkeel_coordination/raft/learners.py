"""Membership changes of one voter at a time (Ongaro's dissertation, section 4.1)."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_state.commands import SetControlMembers

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wagtailkeel_coordination.raft.raft_node import RaftNode

REPLY_TIMEOUT_S = 1.0
"""A peer that has not replied for this long is sent a new request and can't become a voter."""
VOTER_TIMEOUT_S = 4.0
"""A voter that has not answered for longer is replaced if a caught-up learner is available."""
LEARNER_TIMEOUT_S = 30.0
UNLIMITED_VOTERS = 1_000


class Learners:
    """Instances that replicate the log without a vote, and their promotion to voters.

    ``instance_ids`` are instances to replicate to and may include voters; ``identities_by_id`` has
    the identities that instances without a vote sent in their replies.
    """

    def __init__(self, node: RaftNode, instance_ids: Iterable[str], voter_limit: int) -> None:
        self.identities_by_id: dict[str, str] = {}
        self.instance_ids = set(instance_ids)
        self._node = node
        self._voter_limit = voter_limit

    def add(self, instance_id: str, now: float) -> None:
        """Start replicating to an instance without a vote."""
        if instance_id not in self.instance_ids:
            self.instance_ids.add(instance_id)
            self._node.progress_of(instance_id).acknowledged_sent_at = now

    def remove_unresponsive(self, now: float) -> None:
        """Stop replicating to learners that have not answered for LEARNER_TIMEOUT_S."""
        for instance_id in (
            self.instance_ids - set(self._node.voters_by_id) - {self._node.instance_id}
        ):
            if now - self._node.progress_of(instance_id).acknowledged_sent_at > LEARNER_TIMEOUT_S:
                self.instance_ids.discard(instance_id)
                self.identities_by_id.pop(instance_id, None)
                del self._node.progress_by_id[instance_id]

    def update_voters(self, now: float) -> None:
        """Make a caught-up learner a voter, one at a time.

        At the voter limit, a voter that has stopped answering is removed first.
        """
        if not self._node.is_leader or self._node.is_member_change_pending:
            return
        if self._node.log.term_at(self._node.commit_index) != self._node.term:
            return
        if len(self._node.voters_by_id) >= self._voter_limit:
            self._remove_unresponsive_voter(now)
            return
        for learner, identity in list(self.identities_by_id.items()):
            if self._node.voters_by_id.get(learner) == identity:
                del self.identities_by_id[learner]
                continue
            if learner in self._node.voters_by_id:
                continue  # Its former identity has to be removed from the voters first.
            if self._can_become_voter(learner, now):
                voters = {**self._node.voters_by_id, learner: identity}
                self._node.propose(SetControlMembers(identities_by_id=voters))
                self._node.flush(now)
                return

    def _remove_unresponsive_voter(self, now: float) -> None:
        """Propose to remove the voter that has not answered for longest; it becomes a learner.

        Nothing is proposed if it answered within VOTER_TIMEOUT_S or if no learner can replace it.
        """
        if not any(self._can_become_voter(learner, now) for learner in self.identities_by_id):
            return
        unresponsive = [
            voter
            for voter in self._node.voters_by_id
            if voter != self._node.instance_id
            and now - self._node.progress_of(voter).acknowledged_sent_at > VOTER_TIMEOUT_S
        ]
        if not unresponsive:
            return
        replaced_voter = min(
            unresponsive, key=lambda v: self._node.progress_of(v).acknowledged_sent_at
        )
        voters = {
            key: value for key, value in self._node.voters_by_id.items() if key != replaced_voter
        }
        self.instance_ids.add(replaced_voter)
        self._node.propose(SetControlMembers(identities_by_id=voters))
        self._node.flush(now)

    def _can_become_voter(self, learner: str, now: float) -> bool:
        if learner in self._node.voters_by_id:
            return False
        progress = self._node.progress_of(learner)
        is_responsive = now - progress.acknowledged_sent_at < REPLY_TIMEOUT_S
        return is_responsive and progress.match_index >= self._node.commit_index
