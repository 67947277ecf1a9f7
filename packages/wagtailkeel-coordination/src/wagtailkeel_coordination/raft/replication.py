"""The leader's part of replication: proposals, and requests to the other instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_coordination.raft.progress import REPLY_TIMEOUT_S
from wagtailkeel_coordination.raft.proposal import Proposal
from wagtailkeel_protocol.raft_messages import AppendRequest
from wagtailkeel_protocol.raft_messages import SnapshotRequest

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from wagtailkeel_coordination.raft.learners import Learners
    from wagtailkeel_coordination.raft.progress import PeerProgress
    from wagtailkeel_coordination.raft.progress import ProgressTable
    from wagtailkeel_coordination.raft.quorum_progress import QuorumProgress
    from wagtailkeel_coordination.raft.raft_state import RaftState
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
        quorum: QuorumProgress,
        send: Callable[[str, RaftMessage], None],
    ) -> None:
        self._state = state
        self._progress = progress
        self._learners = learners
        self._quorum = quorum
        self._send = send

    def start_term(self, now: float) -> None:
        """Start to lead.

        Peers count as having just answered, so that check-quorum gives them time to do so.
        """
        self._progress.clear()
        self._learners.start_term()
        for peer in self._targets():
            self._progress.of(peer).acknowledged_sent_at = now

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
        index = self._quorum.find_commit_index()
        if index > state.commit_index and state.log.term_at(index) == state.term:
            state.commit_to(index)

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
