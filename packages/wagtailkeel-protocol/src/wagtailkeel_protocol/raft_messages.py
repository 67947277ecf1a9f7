"""RPC bodies between control instances."""

from __future__ import annotations

import msgspec

from wagtailkeel_state.commands import LogEntry


class VoteRequest(msgspec.Struct, tag=True):
    """Candidate to voter; with ``is_pre_vote`` nothing is promised.

    ``voter_process`` is not 0 where the candidate knows that no lease of a leader can be alive: it
    names the process of the voter that said so (see ``RestartReply``).
    """

    term: int
    candidate_id: str
    last_index: int
    last_term: int
    is_pre_vote: bool
    candidate_identity: str = ""
    voter_process: int = 0


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


class RestartRequest(msgspec.Struct, tag=True):
    """A voter that has just started asks another whether it has met a leader since its start.

    ``process`` names the asking process, not its instance.
    """

    candidate_id: str
    round: int
    process: int


class RestartReply(msgspec.Struct, tag=True):
    """Answer to a ``RestartRequest``, with the end of the own log.

    ``is_leaderless`` says that this process has neither led nor heard a leader.
    """

    voter_id: str
    round: int
    process: int
    is_leaderless: bool
    last_index: int
    last_term: int
    voter_ids: list[str]


RaftMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotRequest
    | RestartRequest
    | RestartReply
)


class FormationRequest(msgspec.Struct):
    """Ask a control instance whether it already belongs to a formed cluster."""

    instance_id: str
    identity: str


class FormationReply(msgspec.Struct):
    """``voters_by_id`` is empty in an instance that belongs to no cluster yet."""

    instance_id: str
    identity: str
    voters_by_id: dict[str, str] = {}
