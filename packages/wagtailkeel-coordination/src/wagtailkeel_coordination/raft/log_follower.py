"""The follower's part of replication: requests of the leader are stored and acknowledged."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_coordination.raft.role import RaftRole
from wagtailkeel_protocol.raft_messages import AppendReply
from wagtailkeel_state.configuration import Configuration

if TYPE_CHECKING:
    from wagtailkeel_coordination.raft.elections import Elections
    from wagtailkeel_coordination.raft.raft_state import RaftState
    from wagtailkeel_protocol.raft_messages import AppendRequest
    from wagtailkeel_protocol.raft_messages import SnapshotRequest
    from wagtailkeel_state.commands import LogEntry


class LogFollower:
    """Accepts a leader of the current or a newer term, and what it sends."""

    def __init__(self, state: RaftState, elections: Elections) -> None:
        self._state = state
        self._elections = elections

    def on_append_request(self, request: AppendRequest, now: float) -> AppendReply:
        """Store the entries, which follow one that this log must have, and commit."""
        log = self._state.log
        if not self._accept_leader(request.leader_id, request.term, now):
            return self._build_reply(False, log.last_index, request.round)
        if log.term_at(request.previous_index) != request.previous_term:
            hint = min(log.last_index, max(request.previous_index - 1, self._state.commit_index))
            return self._build_reply(False, hint, request.round)
        if not self._store_entries(request.entries):
            return self._build_reply(False, self._state.commit_index, request.round)
        match_index = request.previous_index + len(request.entries)
        self._state.commit_to(min(request.commit_index, match_index))
        return self._build_reply(True, match_index, request.round)

    def on_snapshot_request(self, request: SnapshotRequest, now: float) -> AppendReply:
        """Replace the log by the leader's snapshot, unless what it contains is committed here."""
        if not self._accept_leader(request.leader_id, request.term, now):
            return self._build_reply(False, self._state.log.last_index, request.round)
        if request.last_index > self._state.commit_index:
            configuration = msgspec.msgpack.decode(request.snapshot, type=Configuration)
            if not self._state.install_snapshot(configuration):
                return self._build_reply(False, self._state.commit_index, request.round)
        return self._build_reply(True, request.last_index, request.round)

    def _accept_leader(self, leader_id: str, term: int, now: float) -> bool:
        """Return whether this instance follows a leader from now on; not while its disk fails."""
        state = self._state
        if state.has_storage_failed or term < state.term:
            return False
        if term > state.term or state.role is not RaftRole.FOLLOWER:
            self._elections.step_down(term, now)
            if state.has_storage_failed:
                return False
        state.leader_id = leader_id
        self._elections.on_leader_contact(now)
        return True

    def _store_entries(self, entries: list[LogEntry]) -> bool:
        """Append the entries that the log lacks, in place of those that conflict with them."""
        log = self._state.log
        new_entries: list[LogEntry] = []
        for position, entry in enumerate(entries):
            known_term = log.term_at(entry.index)
            if known_term == entry.term or entry.index <= log.base_index:
                continue
            if known_term is not None and not self._state.truncate_from(entry.index):
                return False
            new_entries = entries[position:]
            break
        return not new_entries or self._state.append(new_entries)

    def _build_reply(self, is_matched: bool, match_index: int, round_number: int) -> AppendReply:
        state = self._state
        return AppendReply(
            state.term, state.instance_id, is_matched, match_index, round_number, state.identity
        )
