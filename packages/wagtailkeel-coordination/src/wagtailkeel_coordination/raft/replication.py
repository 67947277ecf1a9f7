"""The leader's part of replication: proposals, requests to the other instances, and commits."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_coordination.raft.progress import REPLY_TIMEOUT_S
from wagtailkeel_coordination.raft.proposal import Proposal
from wagtailkeel_coordination.raft.quorum import find_spare_voter
from wagtailkeel_coordination.raft.quorum import majority_of
from wagtailkeel_protocol.raft_messages import AppendRequest
from wagtailkeel_protocol.raft_messages import SnapshotRequest

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from wagtailkeel_coordination.raft.learners import Learners
    from wagtailkeel_coordination.raft.progress import PeerProgress
    from wagtailkeel_coordination.raft.progress import ProgressTable
    from wagtailkeel_coordination.raft.raft_state import RaftState
    from wagtailkeel_coordination.raft.raft_state import UnconfirmedChange
    from wagtailkeel_protocol.raft_messages import AppendReply
    from wagtailkeel_protocol.raft_messages import RaftMessage
    from wagtailkeel_state.commands import SetControlMembers

HEARTBEAT_INTERVAL_S = 0.15
ENTRIES_PER_APPEND = 200
"""The most log entries of one request."""


class Replication:
    """Sends the log to the voters and learners, and commits what a quorum has."""

    def __init__(
        self,
        state: RaftState,
        progress: ProgressTable,
        learners: Learners,
        send: Callable[[str, RaftMessage], None],
    ) -> None:
        self._state = state
        self._progress = progress
        self._learners = learners
        self._send = send

    def start_term(self, now: float) -> None:
        """Start to lead.

        Peers count as having just answered, so that check-quorum gives them time to do so.
        """
        self._progress.clear()
        self._learners.start_term()
        for peer in self._targets():
            self._progress.of(peer).acknowledged_sent_at = now

    def quorum_acknowledged_sent_at(self, now: float) -> float:
        """Return the latest time such that a quorum has answered requests sent then or later.

        This instance counts as having answered at ``now``. While a change of voters may not be
        committed, a quorum of the voters before it has to have answered, too.
        """
        sent_at = self._majority_acknowledged_sent_at(self._state.voters_by_id, now)
        change = self._state.find_unconfirmed_change()
        if change is None or not change.previous_identities_by_id:
            return sent_at
        previous = dict(change.previous_identities_by_id)
        spare_voter = find_spare_voter(previous, self._learners.find_lost(previous))
        if spare_voter is not None:
            del previous[spare_voter]
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

    def _current_identity(self, instance_id: str, default: str) -> str:
        """Return the identity with which an instance has answered last, as far as it is known."""
        voter_identity = self._state.voters_by_id.get(instance_id, default)
        return self._learners.identities_by_id.get(instance_id, voter_identity)

    def _is_self(self, voter: str) -> bool:
        return voter == self._state.instance_id

    # Proposals and commits

    def propose_all(self, proposals: Sequence[Proposal]) -> bool:
        """Append commands as leader, with one sync; return False if not leader or the disk fails.

        Their indexes follow that of the last entry of the log.
        """
        state = self._state
        if not state.is_leader or state.has_storage_failed:
            return False
        first_index = state.log.last_index + 1
        state.append(
            [
                proposal.to_entry(first_index + number, state.term)
                for number, proposal in enumerate(proposals)
            ]
        )
        self._advance_commit_index()
        return not state.has_storage_failed

    def propose_members(self, members: SetControlMembers, now: float) -> None:
        """Propose a change of members, and send it at once."""
        self.propose_all([Proposal(members)])
        self.flush(now)

    def _advance_commit_index(self) -> None:
        state = self._state
        if not state.is_leader:
            return
        match_indexes = [
            state.log.last_index if self._is_self(voter) else self._progress.of(voter).match_index
            for voter in state.voters_by_id
        ]
        if not match_indexes:
            return
        index = sorted(match_indexes, reverse=True)[state.quorum - 1]
        change = state.find_unconfirmed_change()
        if change is not None and not self._has_quorum_before(change):
            index = min(index, change.log_index - 1)
        if index > state.commit_index and state.log.term_at(index) == state.term:
            state.commit_to(index)

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
        spare_voter = find_spare_voter(voters, lost_since_by_id)
        if spare_voter is None:
            return False
        lost_since = lost_since_by_id[spare_voter]
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

    # Requests

    def tick(self, now: float) -> None:
        """Send all other instances what is due."""
        for peer in self._targets():
            self._replicate(peer, now)

    def flush(self, now: float) -> None:
        """Send new entries now instead of with the next heartbeat."""
        if not self._state.is_leader:
            return
        for peer in self._targets():
            if self._progress.of(peer).next_index <= self._state.log.last_index:
                self._replicate(peer, now)

    def _targets(self) -> list[str]:
        """Return all other instances; those without a vote replicate the log as learners."""
        targets = self._state.member_ids | self._learners.instance_ids
        return sorted(targets - {self._state.instance_id})

    def _replicate(self, peer: str, now: float) -> None:
        """Send a peer new entries, a snapshot if it needs entries before the base, or a heartbeat.

        Nothing is sent while a request is pending for less than REPLY_TIMEOUT_S, nor a heartbeat
        before HEARTBEAT_INTERVAL_S has passed.
        """
        progress = self._progress.of(peer)
        if progress.is_request_pending and now - progress.sent_at < REPLY_TIMEOUT_S:
            return
        has_new_entries = progress.next_index <= self._state.log.last_index
        if not has_new_entries and now - progress.sent_at < HEARTBEAT_INTERVAL_S:
            return
        progress.is_request_pending = True
        progress.sent_at = now
        progress.round += 1
        previous_term = self._state.log.term_at(progress.next_index - 1)
        if previous_term is None:
            self._send(peer, self._build_snapshot_request(progress))
        else:
            self._send(peer, self._build_append_request(progress, previous_term))

    def _build_append_request(self, progress: PeerProgress, previous_term: int) -> AppendRequest:
        state = self._state
        previous_index = progress.next_index - 1
        return AppendRequest(
            state.term,
            state.instance_id,
            previous_index,
            previous_term,
            state.log.entries_after(previous_index, ENTRIES_PER_APPEND),
            state.commit_index,
            progress.round,
        )

    def _build_snapshot_request(self, progress: PeerProgress) -> SnapshotRequest:
        state, config = self._state, self._state.configuration
        body = msgspec.msgpack.encode(config)
        return SnapshotRequest(
            state.term, state.instance_id, body, config.index, config.term, progress.round
        )

    # Replies

    def on_reply(self, reply: AppendReply, now: float) -> None:
        """Process the reply to a request of this leader's term."""
        progress = self._progress.of(reply.follower_id)
        if reply.round != progress.round:
            return
        progress.is_request_pending = False
        voter_identity = self._state.voters_by_id.get(reply.follower_id)
        if voter_identity is None:
            self._learners.record_identity(reply.follower_id, reply.follower_identity, now)
        elif voter_identity != reply.follower_identity:
            self._on_identity_mismatch(reply, progress, now)
            return
        progress.acknowledged_sent_at = progress.sent_at
        previous_next_index = progress.next_index
        progress.update(reply.is_matched, reply.match_index, self._state.log.base_index)
        self._advance_commit_index()
        # A follower whose disk fails rejects the same entries repeatedly: don't resend at once.
        has_progressed = reply.is_matched or progress.next_index != previous_next_index
        if has_progressed and progress.next_index <= self._state.log.last_index:
            self._replicate(reply.follower_id, now)

    def _on_identity_mismatch(self, reply: AppendReply, progress: PeerProgress, now: float) -> None:
        """Process the reply of an instance that has another identity than the voter of its id.

        The log is replicated to the instance, but its replies don't count towards a quorum.
        """
        self._learners.record_identity(reply.follower_id, reply.follower_identity, now)
        if reply.is_matched:
            progress.next_index = reply.match_index + 1
        else:
            progress.update(reply.is_matched, reply.match_index, self._state.log.base_index)
        progress.match_index = 0
