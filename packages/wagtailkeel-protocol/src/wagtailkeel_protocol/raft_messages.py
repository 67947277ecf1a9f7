"""RPC bodies between control instances."""

from __future__ import annotations

import msgspec

from wagtailkeel_state.commands import LogEntry


class VoteRequest(msgspec.Struct, tag=True):
    """Candidate to voter; with ``is_pre_vote`` nothing is promised."""

    term: int
    candidate_id: str
    last_index: int
    last_term: int
    is_pre_vote: bool
    candidate_identity: str = ""


class VoteReply(msgspec.Struct, tag=True):
    """Voter to candidate."""

    term: int
    voter_id: str
    is_granted: bool
    is_pre_vote: bool
    voter_identity: str = ""


class AppendRequest(msgspec.Struct, tag=True):
    """Leader to follower: entries after ``previous_index``, or none as a heartbeat."""

    term: int
    leader_id: str
    previous_index: int
    previous_term: int
    entries: list[LogEntry]
    commit_index: int
    round: int


class AppendReply(msgspec.Struct, tag=True):
    """Follower to leader; ``match_index`` is durable, or a hint to step back to on a refusal."""

    term: int
    follower_id: str
    is_matched: bool
    match_index: int
    round: int
    follower_identity: str = ""


class SnapshotRequest(msgspec.Struct, tag=True):
    """Leader to follower: a whole configuration."""

    term: int
    leader_id: str
    snapshot: bytes
    last_index: int
    last_term: int
    round: int


RaftMessage = VoteRequest | VoteReply | AppendRequest | AppendReply | SnapshotRequest


class FormationRequest(msgspec.Struct):
    """Ask a control instance whether it already belongs to a formed cluster."""

    instance_id: str
    identity: str


class FormationReply(msgspec.Struct):
    """``voters_by_id`` is empty in an instance that belongs to no cluster yet."""

    instance_id: str
    identity: str
    voters_by_id: dict[str, str] = {}
