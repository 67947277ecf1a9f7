"""Instances that replicate the log without a vote."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from wagtailkeel_coordination.raft.progress import ProgressTable
    from wagtailkeel_coordination.raft.raft_state import RaftState

LEARNER_TIMEOUT_S = 30.0


class Learners:
    """Instances that the leader replicates to though they may have no vote.

    ``instance_ids`` may include voters; ``identities_by_id`` has the identities that instances
    without a vote sent in their replies.
    """

    def __init__(
        self, state: RaftState, progress: ProgressTable, instance_ids: Iterable[str]
    ) -> None:
        self.instance_ids = set(instance_ids)
        self.identities_by_id: dict[str, str] = {}
        self._identified_at_by_id: dict[str, float] = {}
        self._lost_since_by_identity: dict[str, float] = {}
        self._listed_at_by_id: dict[str, float] = {}
        self._state = state
        self._progress = progress

    def add(self, instance_id: str, now: float) -> None:
        """Start replicating to an instance without a vote.

        A voter may ask for it, too, but only its answers to the leader count towards a quorum.
        """
        if instance_id not in self.instance_ids:
            self.instance_ids.add(instance_id)
            if instance_id not in self._state.voters_by_id:
                self._progress.of(instance_id).acknowledged_sent_at = now

    def start_term(self) -> None:
        """Discard the identities, which may have changed since an earlier term."""
        self.identities_by_id.clear()
        self._lost_since_by_identity.clear()

    def record_lost(self, identity: str, now: float) -> None:
        """Record that an identity has lost its disk."""
        self._lost_since_by_identity[identity] = now

    def record_identity(self, instance_id: str, identity: str, now: float) -> None:
        """Record the identity of an instance without a vote; a new one has an empty disk."""
        if self.identities_by_id.get(instance_id) != identity:
            self.identities_by_id[instance_id] = identity
            self._identified_at_by_id[instance_id] = now
            self._progress.of(instance_id).match_index = 0

    def find_lost(self, identities_by_id: Mapping[str, str]) -> dict[str, float]:
        """Return which of these instances have lost their disk, and since when this is known."""
        lost_since_by_id = {}
        for instance_id, identity in identities_by_id.items():
            if identity in self._lost_since_by_identity:
                lost_since_by_id[instance_id] = self._lost_since_by_identity[identity]
            elif self.identities_by_id.get(instance_id, identity) != identity:
                lost_since_by_id[instance_id] = self._identified_at_by_id[instance_id]
        return lost_since_by_id

    def update_listed(self, now: float) -> None:
        """Record since when the log lists an instance without a vote; followers do so, too."""
        self._listed_at_by_id = {
            learner: self._listed_at_by_id.get(learner, now) for learner in self._state.learner_ids
        }

    def silent_since(self, instance_id: str) -> float:
        """Return when an instance that the log lists has answered last, or when it was listed.

        The latter counts as long as it has not answered in this leader's term, so that each new
        leader does not begin anew to wait for an instance that is gone.
        """
        if instance_id in self.identities_by_id:
            return self._progress.of(instance_id).acknowledged_sent_at
        return self._listed_at_by_id.get(instance_id, float("inf"))

    def remove_unresponsive(self, now: float) -> None:
        """Stop replicating to learners that have not answered for LEARNER_TIMEOUT_S."""
        for instance_id in self.instance_ids - self._state.member_ids - {self._state.instance_id}:
            if now - self._progress.of(instance_id).acknowledged_sent_at > LEARNER_TIMEOUT_S:
                self.instance_ids.discard(instance_id)
                self.identities_by_id.pop(instance_id, None)
                self._progress.remove(instance_id)
