"""RPC messages between control instances."""

from __future__ import annotations

from enum import Enum

import msgspec

from wagtailkeel_state.commands import LogEntry


class VoteRequest(msgspec.Struct, tag=True):
    """Sent by a candidate to a voter; with ``is_pre_vote`` the voter promises nothing.

    ``voter_process`` is not 0 if the candidate knows that no leader's lease can still be valid: it
    identifies the process of the voter that reported so (see ``RestartReply``). Voters of earlier
    releases grant a vote only if they list ``candidate_identity``. ``round`` numbers the rounds of
    requests of one process of the candidate.
    """

    term: int
    candidate_id: str
    last_index: int
    last_term: int
    is_pre_vote: bool
    candidate_identity: str = ""
    voter_process: int = 0
    round: int = 0


class VoteReply(msgspec.Struct, tag=True):
    """Sent by a voter to the candidate; ``round`` is 0 from voters of earlier releases."""

    term: int
    voter_id: str
    is_granted: bool
    is_pre_vote: bool
    voter_identity: str = ""
    round: int = 0


class AppendRequest(msgspec.Struct, tag=True):
    """Sent by the leader to a follower: entries after ``previous_index``; none as a heartbeat."""

    term: int
    leader_id: str
    previous_index: int
    previous_term: int
    entries: list[LogEntry]
    commit_index: int
    round: int


class AppendReply(msgspec.Struct, tag=True):
    """Sent by a follower to the leader.

    ``match_index`` is durable; on a refusal it is the index to which the leader may step back.
    """

    term: int
    follower_id: str
    is_matched: bool
    match_index: int
    round: int
    follower_identity: str = ""


class SnapshotRequest(msgspec.Struct, tag=True):
    """Sent by the leader to a follower: a whole configuration."""

    term: int
    leader_id: str
    snapshot: bytes
    last_index: int
    last_term: int
    round: int


class RestartRequest(msgspec.Struct, tag=True):
    """Sent by a voter that has just started to another voter.

    It asks whether that voter has had contact with a leader since its own start. ``process``
    identifies the querying process, not its instance.
    """

    candidate_id: str
    round: int
    process: int


class RestartReply(msgspec.Struct, tag=True):
    """Reply to a ``RestartRequest``, with the last index and term of the replying voter's log.

    ``is_leaderless``: the replying process, identified by ``process``, has neither led nor had
    contact with a leader since it started. ``voter_ids`` are the voters that it knows.
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
    """Asks a control instance whether it already belongs to a formed cluster."""

    instance_id: str
    identity: str


class FormationReply(msgspec.Struct):
    """Reply to a ``FormationRequest``.

    ``voters_by_id`` is empty if the instance does not belong to a cluster yet.
    """

    instance_id: str
    identity: str
    voters_by_id: dict[str, str] = {}


class VoteHandover(str, Enum):
    """How far the vote of an instance that is about to stop has been handed over to a learner."""

    COMPLETE = "complete"
    """The instance has no vote."""
    PENDING = "pending"
    """A learner is to replace the vote."""
    IMPOSSIBLE = "impossible"
    """No learner can replace the vote, which the instance keeps."""
    NOT_LEADER = "not leader"
    """The queried instance does not lead."""


class VoteHandoverRequest(msgspec.Struct):
    """Sent to the leader, repeatedly, by a voter that is about to stop."""

    instance_id: str
    identity: str


class VoteHandoverReply(msgspec.Struct):
    """Reply to a ``VoteHandoverRequest``."""

    state: VoteHandover
