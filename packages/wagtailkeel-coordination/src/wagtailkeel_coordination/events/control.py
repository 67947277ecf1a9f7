"""Events of control: its leader and voters, its disk, and what it commits."""

from __future__ import annotations

from wagtailkeel_coordination.events.event import Event


class LeaderChanged(Event, tag="leader_changed"):
    """The leader of control has changed, or there is none."""

    leader: str
    term: int


class VotersChanged(Event, tag="voters_changed"):
    """The members of control, as of the newest entry in the log.

    ``learners`` have no vote but may run; they count where a change is acknowledged.
    """

    voters: list[str]
    learners: list[str] = []


class ElectionFailed(Event, tag="election_failed"):
    """A round of vote requests elected no leader; written when the answers differ from the last.

    ``quorum`` votes were needed. ``lost`` are voters that have answered with a new data folder.
    """

    granted: list[str]
    refused: list[str]
    silent: list[str]
    lost: list[str]
    quorum: int


class AcknowledgementWithheld(Event, tag="acknowledgement_withheld"):
    """A committed change was not acknowledged: ``holders`` are too few of ``members`` to do so.

    The others may be most of those that run, on the other side of a partition.
    """

    log_index: int
    holders: list[str]
    members: list[str]


class VoteHandedOver(Event, tag="vote_handed_over"):
    """A control instance that is about to stop has asked for a successor of its vote.

    ``state`` is the last answer, ``waited_ms`` how long the instance waited for it.
    """

    state: str
    waited_ms: int


class StorageFailed(Event, tag="storage_failed"):
    """A write to disk failed; this instance gives up its vote until a write succeeds."""

    error: str


class RoutingCommitted(Event, tag="routing_committed"):
    """A newer routing document was committed: a quorum has it."""

    routing_version: int
    log_index: int
