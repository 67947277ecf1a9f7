"""Membership changes of one voter at a time (Ongaro's dissertation, section 4.1)."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination.raft.learners import LEARNER_TIMEOUT_S
from wagtailkeel_coordination.raft.progress import REPLY_TIMEOUT_S
from wagtailkeel_coordination.raft.stop_requests import StopRequests
from wagtailkeel_protocol.raft_messages import VoteHandover
from wagtailkeel_state.commands import SetControlMembers

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from wagtailkeel_coordination.raft.learners import Learners
    from wagtailkeel_coordination.raft.member_majority import MemberMajority
    from wagtailkeel_coordination.raft.progress import ProgressTable
    from wagtailkeel_coordination.raft.raft_state import RaftState
    from wagtailkeel_coordination.raft.replication import Replication

VOTER_TIMEOUT_S = 1.5
"""A voter that has not answered for longer is removed if there are more than the limit."""
SUCCESSOR_TIMEOUT_S = 3.0
"""A stopping voter hopes for a learner that was silent for less: as long as a stop waits."""
LEARNER_SEARCH_S = 1.0
"""How long after its election a leader may not have heard of all learners yet."""
LEARNER_ABSENCE_S = 8.0
"""Longer than most losses of power last, and shorter than two replacements in turn take."""
UNLIMITED_VOTERS = 1_000


class VoterChanges:
    """The leader's promotion of learners to voters, and the removal of voters.

    A learner becomes a voter as soon as it has caught up, beside the others, as it may be the
    successor of any of them, and which one is known only once that has gone. The voters that are
    gone or stop are removed down to the limit, which is the number of voters without a successor.
    """

    def __init__(
        self,
        state: RaftState,
        progress: ProgressTable,
        learners: Learners,
        replication: Replication,
        majority: MemberMajority,
        voter_limit: int,
    ) -> None:
        self._state = state
        self._progress = progress
        self._learners = learners
        self._replication = replication
        self._majority = majority
        self._voter_limit = voter_limit
        # With more, the voters up to the limit would be no majority without all the others.
        self._voter_maximum = 2 * voter_limit - 1
        self._confirmed_voters: dict[str, str] = {}
        self._stop_requests = StopRequests()
        self._leads_since = float("inf")

    def start_term(self, now: float) -> None:
        """Start to lead: what earlier leaders knew of stops and learners is not known yet."""
        self._stop_requests.clear()
        self._leads_since = now
        self._confirmed_voters = {}

    def on_join(self, instance_id: str) -> None:
        """Record that an instance wants the log, so it is not about to stop."""
        self._stop_requests.remove(instance_id)

    # Planned stops

    def hand_over_vote(self, instance_id: str, identity: str, now: float) -> VoteHandover:
        """Start to replace the vote of an instance that is about to stop; return how far this is.

        The instance repeats the request until its vote is replaced or can't be.
        """
        if not self._state.is_leader:
            return VoteHandover.NOT_LEADER
        self._stop_requests.record(instance_id, now)
        self.update_voters(now)
        if not self._state.has_committed_vote(instance_id, identity):
            return VoteHandover.COMPLETE
        if self._state.is_member_change_pending or self._can_replace_voter(now):
            return VoteHandover.PENDING
        # The instance ends now: a learner that is added for it would be one voter more.
        self._stop_requests.remove(instance_id)
        return VoteHandover.IMPOSSIBLE

    @property
    def _has_surplus_voter(self) -> bool:
        return len(self._state.voters_by_id) > self._voter_limit

    def _can_replace_voter(self, now: float) -> bool:
        """Return whether a learner has replaced a voter, or may do so once it has caught up.

        Below the limit, learners become voters beside the others instead.
        """
        if len(self._state.voters_by_id) < self._voter_limit:
            return False
        if self._has_surplus_voter or now - self._leads_since < LEARNER_SEARCH_S:
            return True
        return any(
            self._may_become_voter(learner, now, SUCCESSOR_TIMEOUT_S)
            for learner in self._learners.identities_by_id
        )

    # Changes

    def update_voters(self, now: float) -> None:
        """Propose the next change of members that is due, one at a time.

        A change that is committed is proposed again, so that each log shows that it is. Where there
        are more voters than the limit, a voter that stops or does not answer is removed. A learner
        that has caught up becomes a voter; see ``_voter_maximum``. Where that can't be, and where a
        voter is removed without a stop, the instance is listed as a learner.
        """
        if not self._state.can_change_voters:
            return
        members = (
            self._repeat_change()
            or self._remove_leaving_voter(now)
            or self._add_voter(now)
            or self._remove_wiped_voter()
            or self._list_learner(now)
            or self._drop_learners(now)
        )
        if members is not None:
            self._replication.propose_members(members, now)

    def _repeat_change(self) -> SetControlMembers | None:
        if self._state.voters_by_id == self._confirmed_voters:
            return None
        self._confirmed_voters = dict(self._state.voters_by_id)
        return self._build_members(self._confirmed_voters, self._state.learner_ids)

    @staticmethod
    def _build_members(voters: Mapping[str, str], learners: Iterable[str]) -> SetControlMembers:
        learner_ids = sorted(set(learners) - set(voters))
        return SetControlMembers(identities_by_id=dict(voters), learner_ids=learner_ids)

    # Removal of voters

    def _remove_leaving_voter(self, now: float) -> SetControlMembers | None:
        if not self._has_surplus_voter:
            return None
        stopping_voter = self._find_stopping_voter(now)
        if stopping_voter is not None:
            return self._remove_voter(stopping_voter, may_run=False)
        unresponsive_voter = self._find_unresponsive_voter(now)
        return self._remove_voter(unresponsive_voter) if unresponsive_voter else None

    def _find_stopping_voter(self, now: float) -> str | None:
        for voter in self._state.voters_by_id:
            if self._stop_requests.is_waiting(voter, now):
                return voter
        return None

    def _find_unresponsive_voter(self, now: float) -> str | None:
        """Return the voter that has not answered for longest, and for VOTER_TIMEOUT_S at least."""
        unresponsive = [
            voter
            for voter in self._state.voters_by_id
            if voter != self._state.instance_id
            and now - self._progress.of(voter).acknowledged_sent_at > VOTER_TIMEOUT_S
        ]
        if not unresponsive:
            return None
        return min(unresponsive, key=lambda voter: self._progress.of(voter).acknowledged_sent_at)

    def _remove_wiped_voter(self) -> SetControlMembers | None:
        """Remove the former identity of an instance that has caught up after a lost disk.

        Only one at a time: learners become voters first, so that several disks that are lost at
        once don't leave few voters.
        """
        for voter, identity in self._state.voters_by_id.items():
            if self._learners.identities_by_id.get(voter, identity) == identity:
                continue
            if self._progress.of(voter).next_index > self._state.commit_index:
                return self._remove_voter(voter)
        return None

    def remove_lost_voter(self, instance_id: str, now: float) -> None:
        """Propose to remove a voter that was known to have lost its disk before the election."""
        self._learners.record_lost(self._state.voters_by_id[instance_id], now)
        self._replication.propose_members(self._remove_voter(instance_id), now)

    def _remove_voter(self, instance_id: str, *, may_run: bool = True) -> SetControlMembers:
        """Return the members without a voter, which becomes a learner if it may still run."""
        voters = dict(self._state.voters_by_id)
        del voters[instance_id]
        learners = set(self._state.learner_ids) - {instance_id}
        if may_run:
            learners.add(instance_id)
        self._learners.instance_ids.add(instance_id)
        return self._build_members(voters, learners)

    # Learners

    def _add_voter(self, now: float) -> SetControlMembers | None:
        """Make a learner that has caught up a voter, if there is one."""
        if len(self._state.voters_by_id) >= self._voter_maximum:
            return None
        for learner, identity in list(self._learners.identities_by_id.items()):
            if self._state.voters_by_id.get(learner) == identity:
                del self._learners.identities_by_id[learner]
            elif self._can_become_voter(learner, now):
                voters = {**self._state.voters_by_id, learner: identity}
                return self._build_members(voters, self._state.learner_ids)
        return None

    def _list_learner(self, now: float) -> SetControlMembers | None:
        """List a learner that can't become a voter, as there are too many."""
        if len(self._state.voters_by_id) < self._voter_maximum:
            return None
        for learner in self._learners.identities_by_id:
            if learner not in self._state.learner_ids and self._can_become_voter(learner, now):
                learners = [*self._state.learner_ids, learner]
                return self._build_members(self._state.voters_by_id, learners)
        return None

    def _drop_learners(self, now: float) -> SetControlMembers | None:
        """Forget learners that may be gone for good; not at the start of a term.

        All members count as having answered a leader that has just been elected.
        """
        if now - self._leads_since <= VOTER_TIMEOUT_S:
            return None
        learners = [
            learner
            for learner in self._state.learner_ids
            if not self._may_be_gone_for_good(learner, now)
        ]
        if len(learners) == len(self._state.learner_ids):
            return None
        return self._build_members(self._state.voters_by_id, learners)

    def _may_be_gone_for_good(self, learner: str, now: float) -> bool:
        """Return whether a learner has been silent for long, and others are not.

        It may also be on the other side of a partition with the majority. So this takes the answers
        of half of the members or of all voters to requests sent after LEARNER_ABSENCE_S had passed,
        or else LEARNER_TIMEOUT_S.
        """
        silent_since = self._learners.silent_since(learner)
        if now - silent_since > LEARNER_TIMEOUT_S:
            return True
        since = max(silent_since + LEARNER_ABSENCE_S, now - VOTER_TIMEOUT_S)
        if now < since:
            return False
        return self._majority.has_answered(since) or self._majority.have_voters_answered(since)

    def _can_become_voter(self, learner: str, now: float) -> bool:
        is_caught_up = self._progress.of(learner).match_index >= self._state.commit_index
        return is_caught_up and self._may_become_voter(learner, now, REPLY_TIMEOUT_S)

    def _may_become_voter(self, learner: str, now: float, silent_for_s: float) -> bool:
        """Return whether a learner has no vote, is not about to stop, and has answered lately."""
        if learner in self._state.voters_by_id or self._stop_requests.is_stopping(learner, now):
            return False
        return now - self._progress.of(learner).acknowledged_sent_at < silent_for_s
