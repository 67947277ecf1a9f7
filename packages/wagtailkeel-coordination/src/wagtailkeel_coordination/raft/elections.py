"""Elections: when an instance requests votes, and when it grants its own.

Source: Raft (Ongaro and Ousterhout, 2014), with pre-vote (Ongaro's dissertation, section 9.6). A
voter that was contacted by a leader recently grants no vote, because the leader may rely on its
read lease.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination.raft.quorum import find_excluded_voter
from wagtailkeel_coordination.raft.restart_rounds import RestartRounds
from wagtailkeel_coordination.raft.role import RaftRole
from wagtailkeel_coordination.raft.vote_count import VoteCount
from wagtailkeel_protocol.raft_messages import RestartReply
from wagtailkeel_protocol.raft_messages import RestartRequest
from wagtailkeel_protocol.raft_messages import VoteReply
from wagtailkeel_protocol.raft_messages import VoteRequest

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from wagtailkeel_coordination.raft.raft_state import RaftState
    from wagtailkeel_protocol.raft_messages import RaftMessage

ELECTION_TIMEOUT_MIN_S = 0.5
ELECTION_TIMEOUT_MAX_S = 1.0


class Elections:
    """Requests, counts and grants votes for one instance; times in seconds.

    ``leader_contact_at`` is when a leader last contacted this instance, or may have done so.
    ``failed_count`` are the answers to the last round that elected nobody.
    """

    def __init__(
        self,
        state: RaftState,
        send: Callable[[str, RaftMessage], None],
        become_leader: Callable[[float, str | None], None],
        random: Random,
        now: float,
    ) -> None:
        self._state = state
        self._send = send
        self._become_leader = become_leader
        self._random = random
        self.failed_count: VoteCount | None = None
        self._count: VoteCount | None = None
        self._round = 0
        self._excluded_voter: str | None = None
        self._is_pre_vote = False
        self._restart_rounds = RestartRounds(state.instance_id, random, now)
        # This voter may have acknowledged, before a restart, a leader that still has its lease.
        self.leader_contact_at = now
        self._election_due_at = now + self._pick_timeout_s()

    def _pick_timeout_s(self) -> float:
        return self._random.uniform(ELECTION_TIMEOUT_MIN_S, ELECTION_TIMEOUT_MAX_S)

    def tick(self, now: float) -> None:
        """Start an election once its timeout has passed, or a restart round once it is due."""
        if now >= self._election_due_at:
            if self._state.role is RaftRole.CANDIDATE:
                self.failed_count = self._count
            self._start_pre_vote(now)
        elif self._restart_rounds.is_round_due(now):
            self._send_restart_requests(self._restart_rounds.start_first_round(now), now)

    def on_leader_contact(self, now: float) -> None:
        """Record that a leader exists, or may exist, and restart the election timer.

        From now on, this voter replies in restart rounds that it has seen a leader, and it grants
        no vote for ELECTION_TIMEOUT_MIN_S.
        """
        self._restart_rounds.has_seen_leader = True
        self.leader_contact_at = now
        self._reset_timer(now)

    def step_down(self, term: int, now: float) -> None:
        """Become a follower in a term that is not older than the current one."""
        if term > self._state.term and not self._state.save_vote(term, ""):
            return
        self._state.role = RaftRole.FOLLOWER
        self._state.leader_id = ""
        self._reset_timer(now)

    def _reset_timer(self, now: float) -> None:
        """Restart the election timer, so that others have time for an election."""
        self._election_due_at = now + self._pick_timeout_s()

    # Requesting votes

    @property
    def _other_voters(self) -> list[str]:
        return [voter for voter in self._state.voters_by_id if voter != self._state.instance_id]

    def _start_pre_vote(self, now: float) -> None:
        self._become_candidate(now, None, is_pre_vote=True)
        self._request_votes(self._state.term + 1, {})
        self._count_votes(now)

    def _campaign(
        self, now: float, process_ids_by_voter: dict[str, int], excluded_voter: str | None = None
    ) -> None:
        """Request votes in a new term.

        ``process_ids_by_voter`` identifies the processes whose replies in restart rounds allow an
        early vote; it is empty in an ordinary election. ``excluded_voter`` has lost its disk and is
        no voter of this election; see ``quorum``.
        """
        self._become_candidate(now, excluded_voter, is_pre_vote=False)
        if not self._state.save_vote(self._state.term + 1, self._state.instance_id):
            return
        self._request_votes(self._state.term, process_ids_by_voter)
        self._count_votes(now)

    def _become_candidate(
        self, now: float, excluded_voter: str | None, *, is_pre_vote: bool
    ) -> None:
        self._reset_timer(now)
        self._is_pre_vote = is_pre_vote
        self._state.leader_id = ""
        self._state.role = RaftRole.CANDIDATE
        self._round += 1
        lost_identities = self._count.all_lost_identities if self._count is not None else set()
        self._excluded_voter = excluded_voter
        identities_by_id = dict(self._state.voters_by_id)
        if excluded_voter is not None:
            del identities_by_id[excluded_voter]
        self._count = VoteCount(
            self._round, identities_by_id, self._state.instance_id, lost_identities
        )

    def _request_votes(self, term: int, process_ids_by_voter: dict[str, int]) -> None:
        for voter in self._other_voters:
            request = VoteRequest(
                term,
                self._state.instance_id,
                self._state.log.last_index,
                self._state.log.last_term,
                self._is_pre_vote,
                self._state.identity,
                process_ids_by_voter.get(voter, 0),
                self._round,
            )
            self._send(voter, request)

    def _count_votes(self, now: float) -> None:
        assert self._count is not None, "a candidate counts votes"
        if self._count.has_quorum:
            self._on_quorum(now, self._excluded_voter)
        elif self._is_pre_vote and self._count.has_quorum_without_one:
            excluded_voter = self._find_excluded_voter(self._count.known_lost)
            if excluded_voter is not None:
                self._on_quorum(now, excluded_voter)

    def _find_excluded_voter(self, lost: set[str]) -> str | None:
        """Return a lost voter that may be left out; see ``quorum`` for the conditions."""
        voters = self._state.voters_by_id
        change = self._state.find_unconfirmed_change()
        if change is not None:
            lost = lost & (set(voters) - set(change.previous_identities_by_id))
        return find_excluded_voter(voters, lost)

    def _on_quorum(self, now: float, excluded_voter: str | None) -> None:
        if self._is_pre_vote:
            self._campaign(now, {}, excluded_voter)
            return
        self._restart_rounds.has_seen_leader = True
        self._become_leader(now, excluded_voter)

    def on_vote_reply(self, reply: VoteReply, now: float) -> None:
        """Count a granted vote, or step down if the reply is from a newer term."""
        if reply.term > self._state.term:
            self.step_down(reply.term, now)
            return
        if self._state.role is not RaftRole.CANDIDATE or reply.is_pre_vote != self._is_pre_vote:
            return
        if not reply.is_pre_vote and reply.term != self._state.term:
            return
        assert self._count is not None, "a candidate counts votes"
        self._count.record(reply)
        self._count_votes(now)

    # Granting votes

    def on_vote_request(self, request: VoteRequest, now: float) -> VoteReply:
        """Grant or refuse this instance's vote; a vote is durable before it is granted."""
        is_granted = not self._state.has_storage_failed and self._can_grant_vote(request, now)
        if is_granted and not request.is_pre_vote:
            if request.term > self._state.term:
                self.step_down(request.term, now)
            is_granted = not self._state.has_storage_failed and self._state.save_vote(
                request.term, request.candidate_id
            )
            self._reset_timer(now)
        return VoteReply(
            self._state.term,
            self._state.instance_id,
            is_granted,
            request.is_pre_vote,
            self._state.identity,
            request.round,
        )

    def _can_grant_vote(self, request: VoteRequest, now: float) -> bool:
        """Return whether this instance's vote may be granted, whatever voters its own log lists.

        The candidate's log may have a newer change of voters; the candidate counts only the votes
        of the identities listed there. Source: section 4.1 of the dissertation.
        """
        if self._may_have_leader(request, now) or request.term < self._state.term:
            return False
        if request.is_pre_vote and request.term == self._state.term:
            return False
        if request.term == self._state.term and self._state.voted_for not in (
            "",
            request.candidate_id,
        ):
            return False
        own_position = (self._state.log.last_term, self._state.log.last_index)
        return (request.last_term, request.last_index) >= own_position

    def _may_have_leader(self, request: VoteRequest, now: float) -> bool:
        if self._state.is_leader:
            return True
        if now - self.leader_contact_at >= ELECTION_TIMEOUT_MIN_S:
            return False
        return not self._restart_rounds.is_early_vote_safe(request.voter_process)

    # Early elections after a restart of all voters

    def _send_restart_requests(self, round_number: int, now: float) -> None:
        """Ask each other voter whether it has seen a leader since its process started.

        If there is no other voter, campaign at once.
        """
        if not self._other_voters:
            self._campaign(now, {})
        for voter in self._other_voters:
            request = RestartRequest(
                self._state.instance_id, round_number, self._restart_rounds.process_id
            )
            self._send(voter, request)

    def on_restart_request(self, request: RestartRequest, now: float) -> RestartReply:
        """Reply whether this process has led or seen a leader since it started."""
        rounds = self._restart_rounds
        rounds.record_process(request.process, now)
        return RestartReply(
            self._state.instance_id,
            request.round,
            rounds.process_id,
            not rounds.has_seen_leader,
            self._state.log.last_index,
            self._state.log.last_term,
            list(self._state.voters_by_id),
        )

    def on_restart_reply(self, reply: RestartReply, now: float) -> None:
        """Start the second round after the first is complete, and campaign after the second.

        Only the voter with the newest log goes on, and it campaigns only if both rounds were
        answered by the same processes, which shows that no read lease can still be valid.
        """
        rounds = self._restart_rounds
        if (
            not rounds.record_reply(reply, self._state.voters_by_id)
            or self._state.has_storage_failed
            or not self._state.is_voter
        ):
            return
        if not rounds.has_newest_log(self._state.log.last_term, self._state.log.last_index):
            return
        if not rounds.is_second_round:
            self._send_restart_requests(rounds.start_second_round(), now)
        elif rounds.confirmed_process_ids:
            self._campaign(now, rounds.confirmed_process_ids)
