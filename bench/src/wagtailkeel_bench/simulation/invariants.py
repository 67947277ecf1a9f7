"""What must hold at each step of a history, from what the instances do and say."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wagtailkeel_coordination.raft import RaftLog
    from wagtailkeel_coordination.raft import RaftNode
    from wagtailkeel_protocol.raft_messages import VoteReply
    from wagtailkeel_state import LogEntry
    from wagtailkeel_state.persistent_state import Vote

ACK_TIMEOUT_S = 5.0
CALM_S = 4.0
"""A command must be acknowledged in time only if nothing was disturbed for this long before."""


class InvariantError(Exception):
    """An invariant was broken; the message says which, when and by whom."""


class Invariants:
    """Observes all instances of one history; raises InvariantError."""

    def __init__(self) -> None:
        self.acknowledged: set[str] = set()
        self._committed_by_index: dict[int, LogEntry] = {}
        self._leaders_by_term: dict[int, str] = {}
        self._votes: dict[tuple[str, int], str] = {}
        self._checked_terms: set[int] = set()
        self._checked_last_index_by_identity: dict[str, tuple[int, int]] = {}
        self._checked_changes: set[tuple[int, int]] = set()
        self._voted_term_by_identity: dict[str, int] = {}
        self._logs_by_identity: dict[str, RaftLog] = {}

    def on_start(self, identity: str, vote: Vote, log: RaftLog) -> None:
        """An identity that has voted comes back with what it had stored."""
        self._logs_by_identity[identity] = log
        voted_term = self._voted_term_by_identity.get(identity, 0)
        if vote.term < voted_term:
            raise InvariantError(
                f"{identity} voted in term {voted_term} and starts with {vote.term}"
            )

    def on_apply(self, entry: LogEntry) -> None:
        """All instances apply the same entry at an index."""
        known = self._committed_by_index.setdefault(entry.index, entry)
        if known != entry:
            raise InvariantError(f"two entries are committed at index {entry.index}")

    def on_vote(self, reply: VoteReply, candidate_id: str) -> None:
        """An identity votes once in a term."""
        if not reply.is_granted or reply.is_pre_vote:
            return
        self._voted_term_by_identity[reply.voter_identity] = reply.term
        voted_for = self._votes.setdefault((reply.voter_identity, reply.term), candidate_id)
        if voted_for != candidate_id:
            raise InvariantError(
                f"{reply.voter_identity} votes for {voted_for} and {candidate_id} in {reply.term}"
            )

    def on_step(self, node: RaftNode) -> None:
        """One leader a term, which has every acknowledged command and one change of voters."""
        if not node.is_leader:
            return
        leader = self._leaders_by_term.setdefault(node.term, node.instance_id)
        if leader != node.instance_id:
            raise InvariantError(f"{leader} and {node.instance_id} lead in term {node.term}")
        self._check_pending_changes(node)
        has_committed = node.log.term_at(node.commit_index) == node.term
        if has_committed and node.term not in self._checked_terms:
            self._checked_terms.add(node.term)
            self.check_acknowledged(node, self.acknowledged)

    def _check_pending_changes(self, node: RaftNode) -> None:
        position = (node.commit_index, node.log.last_index)
        if self._checked_last_index_by_identity.get(node.identity) == position:
            return
        self._checked_last_index_by_identity[node.identity] = position
        changes = node.log.find_voter_changes(after=node.commit_index)
        own_changes = [c for c in changes if node.log.term_at(c.log_index) == node.term]
        if not own_changes:
            return
        if len(own_changes) > 1:
            raise InvariantError(f"{node.instance_id} has {len(own_changes)} changes in flight")
        # After a restart, changes of earlier terms count as committed only if they are repeated.
        earlier = [change.identities_by_id for change in changes[:-1]]
        earlier.insert(0, node.configuration.control_identities_by_id)
        is_committed = len(earlier) == 1 or earlier[-1] == earlier[-2]
        if not is_committed and own_changes[0].identities_by_id != earlier[-2]:
            raise InvariantError(f"{node.instance_id} changes voters that may not be committed")
        if (node.term, changes[0].log_index) not in self._checked_changes:
            self._checked_changes.add((node.term, changes[0].log_index))
            self._check_new_voters(node)

    def _check_new_voters(self, node: RaftNode) -> None:
        """A new voter has what was committed when it was proposed."""
        committed = set(node.configuration.control_identities_by_id.values())
        for instance_id, identity in node.voters_by_id.items():
            log = self._logs_by_identity.get(identity)
            has_committed = log is not None and log.last_index >= node.commit_index
            if identity not in committed and not has_committed:
                raise InvariantError(f"{instance_id} becomes a voter before it has caught up")

    @staticmethod
    def check_acknowledged(node: RaftNode, expected: set[str]) -> None:
        """An instance that leads or answers a read has applied what was acknowledged before."""
        missing = expected - set(node.configuration.answers_by_command_id)
        if missing:
            raise InvariantError(f"{node.instance_id} lacks acknowledged {sorted(missing)[:3]}")
