"""Consensus among control instances.

Source: Raft (Ongaro and Ousterhout, 2014), with pre-vote and check-quorum (Ongaro's dissertation,
sections 9.6 and 6.2), leader leases for reads (section 6.4.1) and membership changes of one
voter at a time (section 4.1).
"""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING

from wagtailkeel_coordination.raft.elections import ELECTION_TIMEOUT_MAX_S
from wagtailkeel_coordination.raft.elections import ELECTION_TIMEOUT_MIN_S
from wagtailkeel_coordination.raft.elections import Elections
from wagtailkeel_coordination.raft.learners import Learners
from wagtailkeel_coordination.raft.log_follower import LogFollower
from wagtailkeel_coordination.raft.member_majority import MemberMajority
from wagtailkeel_coordination.raft.progress import PeerProgress
from wagtailkeel_coordination.raft.progress import ProgressTable
from wagtailkeel_coordination.raft.proposal import Proposal
from wagtailkeel_coordination.raft.quorum_progress import QuorumProgress
from wagtailkeel_coordination.raft.raft_state import RaftState
from wagtailkeel_coordination.raft.replication import Replication
from wagtailkeel_coordination.raft.role import RaftRole
from wagtailkeel_coordination.raft.voter_changes import UNLIMITED_VOTERS
from wagtailkeel_coordination.raft.voter_changes import VoterChanges
from wagtailkeel_protocol.raft_messages import AppendReply
from wagtailkeel_protocol.raft_messages import AppendRequest
from wagtailkeel_protocol.raft_messages import RestartReply
from wagtailkeel_protocol.raft_messages import RestartRequest
from wagtailkeel_protocol.raft_messages import SnapshotRequest
from wagtailkeel_protocol.raft_messages import VoteReply
from wagtailkeel_protocol.raft_messages import VoteRequest
from wagtailkeel_state.commands import Noop

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    from random import Random

    from wagtailkeel_coordination.raft.raft_log import RaftLog
    from wagtailkeel_coordination.raft.storage import RaftStorage
    from wagtailkeel_coordination.raft.vote_count import VoteCount
    from wagtailkeel_protocol.raft_messages import RaftMessage
    from wagtailkeel_protocol.raft_messages import VoteHandover
    from wagtailkeel_state.commands import AnyCommand
    from wagtailkeel_state.commands import CommandAnswer
    from wagtailkeel_state.commands import LogEntry
    from wagtailkeel_state.configuration import Configuration
    from wagtailkeel_state.persistent_state import Vote

LEASE_DRIFT_MARGIN_S = 0.1
"""The read lease ends this long before a voter may vote again, since clocks drift apart."""
LEADER_SEARCH_S = 2.0
"""A voter that no leader contacts for this long asks for it: several elections take less."""


class RaftNode(RaftState):
    """Consensus state of one control instance, changed by timers, requests and replies.

    ``send`` sends a request to a peer, whose reply is passed to ``on_reply``. ``apply`` applies a
    committed entry to ``configuration`` in place. If a leader's snapshot replaces the
    configuration, ``replace_configuration`` gets the new object, to which ``apply`` applies later
    entries.
    """

    def __init__(
        self,
        instance_id: str,
        identity: str,
        instance_ids: Sequence[str],
        vote: Vote,
        log: RaftLog,
        configuration: Configuration,
        storage: RaftStorage,
        send: Callable[[str, RaftMessage], None],
        apply: Callable[[LogEntry], CommandAnswer],
        replace_configuration: Callable[[Configuration], None],
        random: Random,
        now: float,
        voter_limit: int = UNLIMITED_VOTERS,
    ) -> None:
        super().__init__(
            instance_id, identity, vote, log, configuration, storage, apply, replace_configuration
        )
        self._progress = ProgressTable(log)
        self._learners = Learners(self, self._progress, instance_ids)
        self._quorum = QuorumProgress(self, self._progress, self._learners)
        self._replication = Replication(self, self._progress, self._learners, self._quorum, send)
        self._majority = MemberMajority(self, self._progress)
        self._voter_changes = VoterChanges(
            self, self._progress, self._learners, self._replication, self._majority, voter_limit
        )
        self._elections = Elections(self, send, self.become_leader, random, now)
        self._follower = LogFollower(self, self._elections)

    # Reads

    def has_read_lease(self, now: float) -> bool:
        """Return whether no other leader can have been elected yet, so that reads are current."""
        if not self.is_leader or not self.has_committed_in_term:
            return False
        lease_s = ELECTION_TIMEOUT_MIN_S - LEASE_DRIFT_MARGIN_S
        return now < self._quorum.acknowledged_sent_at(now) + lease_s

    def is_read_confirmed(self, requested_at: float, now: float) -> bool:
        """Return whether a quorum has answered a request sent after ``requested_at``.

        Source: ReadIndex, section 6.4 of the dissertation. Relies on no clock of another instance.
        """
        if not self.is_leader or not self.has_committed_in_term:
            return False
        return self._quorum.acknowledged_sent_at(now) >= requested_at

    # Acknowledgements

    def is_stored_by_most(self, index: int) -> bool:
        """Return whether most instances have stored an entry, so that it may be acknowledged.

        A committed entry is durable, but the quorum that has it need not be the majority of the
        instances that run; see ``member_majority``. Only a leader knows.
        """
        return self.is_leader and self._majority.has_stored(index)

    def list_holders(self, index: int) -> list[str]:
        """Return the voters and learners that are known to this leader to have stored an entry."""
        return self._majority.list_holders(index)

    # Proposals

    def propose(
        self,
        command: AnyCommand,
        command_id: str = "",
        author: str = "",
        expected_version: int | None = None,
    ) -> int | None:
        """Append a command as leader; return its index, or None if not leader or the disk fails."""
        index = self.log.last_index + 1
        proposal = Proposal(command, command_id, author, expected_version)
        return index if self.propose_all([proposal]) else None

    def propose_all(self, proposals: Sequence[Proposal]) -> bool:
        """Append commands as leader, with one sync; return False if not leader or the disk fails.

        Their indexes follow that of the last entry of the log.
        """
        return self._replication.propose_all(proposals)

    def flush(self, now: float) -> None:
        """Send new entries now instead of with the next heartbeat."""
        self._replication.flush(now)

    # Elections

    @property
    def failed_vote_count(self) -> VoteCount | None:
        """The answers to the last round of vote requests that elected nobody."""
        return self._elections.failed_count

    # Members

    def progress_of(self, peer: str) -> PeerProgress:
        """Return the replication progress of another instance."""
        return self._progress.of(peer)

    def add_learner(self, instance_id: str, now: float) -> None:
        """Start replicating to an instance without a vote, which is not about to stop."""
        self._voter_changes.on_join(instance_id)
        self._learners.add(instance_id, now)

    def hand_over_vote(self, instance_id: str, identity: str, now: float) -> VoteHandover:
        """Start to replace the vote of an instance that is about to stop; return how far this is.

        The instance repeats the request until its vote is replaced or can't be.
        """
        return self._voter_changes.hand_over_vote(instance_id, identity, now)

    def must_ask_for_replication(self, now: float) -> bool:
        """Return whether the leader may not know this instance, which then has to ask others.

        That is so without a vote; and where the log of this instance alone has the change that made
        it a voter, since its leader was lost: later leaders do not list it.
        """
        if not self.is_voter:
            return True
        return not self.is_leader and now - self._elections.leader_contact_at > LEADER_SEARCH_S

    # Timers

    def tick(self, now: float) -> None:
        """Start elections, send heartbeats, and step down without a quorum."""
        self._learners.update_listed(now)
        if self.has_storage_failed:
            if self.retry_storage(now):
                # While the disk failed, a leader may have counted this voter's replies to its
                # heartbeats, and its read lease may rely on them.
                self._elections.on_leader_contact(now)
            return
        if self.is_leader:
            self._tick_as_leader(now)
        elif self.is_voter:
            self._elections.tick(now)

    def _tick_as_leader(self, now: float) -> None:
        if now - self._quorum.acknowledged_sent_at(now) > ELECTION_TIMEOUT_MAX_S:
            self._elections.step_down(self.term, now)
            return
        if not self.is_voter and not self.is_member_change_pending:
            # Its vote was handed over, and the others know it.
            self._elections.step_down(self.term, now)
            return
        self._learners.remove_unresponsive(now)
        self._voter_changes.update_voters(now)
        self._replication.tick(now)

    def become_leader(self, now: float, lost_voter: str | None = None) -> None:
        """Become the leader of the current term.

        Without the vote of ``lost_voter`` the election had a quorum, and so have its entries.
        """
        self.role = RaftRole.LEADER
        self.leader_id = self.instance_id
        self._voter_changes.start_term(now)
        self._replication.start_term(now)
        if lost_voter is not None:
            self._voter_changes.remove_lost_voter(lost_voter, now)
        self.propose(Noop())
        self.flush(now)

    # Requests

    @singledispatchmethod
    def on_request(self, request: object, now: float) -> VoteReply | AppendReply | RestartReply:
        """Process a request from a peer and return the reply."""
        raise TypeError(f"no handler for {type(request).__name__}")

    @on_request.register
    def _(self, request: VoteRequest, now: float) -> VoteReply:
        return self._elections.on_vote_request(request, now)

    @on_request.register
    def _(self, request: RestartRequest, now: float) -> RestartReply:
        return self._elections.on_restart_request(request, now)

    @on_request.register
    def _(self, request: AppendRequest, now: float) -> AppendReply:
        return self._follower.on_append_request(request, now)

    @on_request.register
    def _(self, request: SnapshotRequest, now: float) -> AppendReply:
        return self._follower.on_snapshot_request(request, now)

    # Replies

    @singledispatchmethod
    def on_reply(self, reply: object, now: float) -> None:
        """Process the reply to an earlier request."""
        raise TypeError(f"no handler for {type(reply).__name__}")

    @on_reply.register
    def _(self, reply: VoteReply, now: float) -> None:
        self._elections.on_vote_reply(reply, now)

    @on_reply.register
    def _(self, reply: RestartReply, now: float) -> None:
        self._elections.on_restart_reply(reply, now)

    @on_reply.register
    def _(self, reply: AppendReply, now: float) -> None:
        if reply.term > self.term:
            self._elections.step_down(reply.term, now)
        elif self.is_leader and reply.term == self.term:
            self._replication.on_reply(reply, now)
