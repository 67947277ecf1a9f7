"""Log events on changes of the consensus state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination import events

if TYPE_CHECKING:
    from wagtailkeel_coordination.events import EventSink
    from wagtailkeel_coordination.raft import RaftNode
    from wagtailkeel_coordination.raft.vote_count import VoteCount


class RaftEvents:
    """Compares the consensus state with what was last emitted; one object for each instance."""

    def __init__(self, raft: RaftNode, event_sink: EventSink) -> None:
        self._raft = raft
        self._emit = event_sink.emit
        self._leader_id = ""
        self._voters_changed = events.VotersChanged([])
        self._failed_count: VoteCount | None = None
        self._election_failed: events.ElectionFailed | None = None

    def emit_changes(self) -> bool:
        """Emit an event for each change since the last call; return whether the leader changed."""
        is_leader_changed = self._emit_leader()
        self._emit_voters()
        self._emit_failed_election()
        return is_leader_changed

    def _emit_leader(self) -> bool:
        if self._raft.leader_id == self._leader_id:
            return False
        self._leader_id = self._raft.leader_id
        self._election_failed = None
        self._emit(events.LeaderChanged(self._leader_id, self._raft.term))
        return True

    def _emit_voters(self) -> None:
        event = events.VotersChanged(sorted(self._raft.voters_by_id), self._raft.learner_ids)
        if event != self._voters_changed:
            self._voters_changed = event
            self._emit(event)

    def _emit_failed_election(self) -> None:
        count = self._raft.failed_vote_count
        if count is None or count is self._failed_count:
            return
        self._failed_count = count
        event = events.ElectionFailed(
            sorted(count.granted),
            sorted(count.refused),
            sorted(count.silent),
            sorted(count.lost),
            count.quorum,
        )
        if event != self._election_failed:
            self._election_failed = event
            self._emit(event)
