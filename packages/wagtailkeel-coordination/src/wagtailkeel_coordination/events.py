"""Structured log events: one typed event for each decision, with the values that decided it.

The events of one flow share ``flow``, which any node derives from the flow's addresses and ports.
"""

from __future__ import annotations

from typing import Protocol

import msgspec
import xxhash


def flow_id(key: bytes) -> str:
    """Return the id of a flow in events: 16 hexadecimal digits.

    The id is the XXH3 hash of the caller's address, the route's address, the caller's port and the
    route's port, in network byte order; a protocol number after them is left out.
    """
    addresses_and_ports = key[: len(key) & ~1]
    return f"{xxhash.xxh3_64_intdigest(addresses_and_ports):016x}"


class Event(msgspec.Struct, tag_field="event"):
    """Base class of all events; essential events are left out only after all others."""

    @classmethod
    def name(cls) -> str:
        """The event's name in logs and counters."""
        return str(cls.__struct_config__.tag)

    @classmethod
    def is_essential(cls) -> bool:
        """Return whether the event reports a refusal, a recovery or a change of a node's state."""
        return True


class EventSink(Protocol):
    """Accepts events without blocking."""

    def emit(self, event: Event) -> None:
        """Log an event, or count it as left out."""


class UnloggedEvents:
    """The event sink of a process that writes no events."""

    def emit(self, event: Event) -> None:
        """Drop the event."""


UNLOGGED = UnloggedEvents()


# Flows


class OpeningPlaced(Event, tag="opening_placed"):
    """A directory owner chose a server for an opening.

    ``expected_ms`` is the expected wait that decided the choice, ``load_age_ms`` the age of the
    status report that it was computed from.
    """

    flow: str
    server_agent: str
    routing_version: int
    candidates: int
    expected_ms: float
    load_age_ms: float

    @classmethod
    def is_essential(cls) -> bool:
        """Return False: placements are frequent and may be left out."""
        return False


class OpeningRejected(Event, tag="opening_rejected"):
    """The agent of a server rejected an opening, or its server returned the opening."""

    flow: str
    reason: str
    service: str
    routing_version: int


class OpeningRefused(Event, tag="opening_refused"):
    """No server accepts the opening; the caller was sent a refusal, and no server has run it.

    ``candidates`` is the number of agents that could be chosen, ``tried`` the number of agents that
    rejected the opening.
    """

    flow: str
    reason: str
    tried: int
    candidates: int
    routing_version: int


class OpeningQueued(Event, tag="opening_queued"):
    """An opening waits at an agent until its cold or busy server has room.

    ``queued`` is the number of openings that wait there, ``expected_ms`` the expected wait.
    """

    flow: str
    queued: int
    expected_ms: float
    routing_version: int


class OpeningReleased(Event, tag="opening_released"):
    """A queued opening was delivered to its server; ``queued`` openings wait there still."""

    flow: str
    queued: int
    routing_version: int


class OpeningExpired(Event, tag="opening_expired"):
    """A queued opening was dropped, since its caller no longer waits; no server has run it."""

    flow: str
    routing_version: int


class OpeningReturned(Event, tag="opening_returned"):
    """An agent returned a queued opening to its directory owner; no server has run it.

    ``queued`` openings wait there still.
    """

    flow: str
    reason: str
    queued: int
    routing_version: int


class OpeningRepeated(Event, tag="opening_repeated"):
    """An agent got an opening whose addresses and ports are those of a flow that it holds.

    ``outcome`` is "retransmission" if it was delivered to the server again, "outdated" if it was
    dropped, and "new" if it was treated as the opening of another flow. ``age_ms`` is how long the
    agent has tracked the flow; ``is_established`` and ``finished_ends`` (bits: 1 the caller, 2 the
    server) are the flow's state. ``gate`` is the reason why a new opening would be rejected, empty
    if it would not.
    """

    flow: str
    outcome: str
    age_ms: int
    is_established: bool
    finished_ends: int
    gate: str
    routing_version: int


class PriorityLimitChanged(Event, tag="priority_limit_changed"):
    """An agent has changed the highest priority number that its service should admit.

    ``wait_ms`` is the time that an opening has to wait for the agent's server.
    """

    service: str
    limit: int
    wait_ms: float


class RouteMissing(Event, tag="route_missing"):
    """A balancer has no route for an opening and refuses it if ``is_refused``, else drops it."""

    flow: str
    endpoint: str
    routing_version: int
    is_refused: bool


class SearchStarted(Event, tag="search_started"):
    """A directory owner does not know which server has a flow and queries the agents."""

    flow: str
    reason: str
    asked: int


class SearchEnded(Event, tag="search_ended"):
    """A search has ended; ``server_agent`` is empty if no agent was found to have the flow.

    ``silent`` is the number of agents that did not answer, and ``silent_hosts`` are the first few.
    """

    flow: str
    outcome: str
    server_agent: str
    silent: int
    silent_hosts: list[str] = []


class FlowLocated(Event, tag="flow_located"):
    """The agent that may have owned a flow before told its new owner which server has the flow."""

    flow: str
    server_agent: str


class FlowAdopted(Event, tag="flow_adopted"):
    """A server sent a packet of a flow that its restarted agent had no record of."""

    flow: str


class FlowReturned(Event, tag="flow_returned"):
    """A server returned a packet of a flow that it does not hold."""

    flow: str


class FlowReset(Event, tag="flow_reset"):
    """The caller was sent a reset, since no server has its flow."""

    flow: str
    reason: str


# States of nodes


class RoutingAdopted(Event, tag="routing_adopted"):
    """This process has applied a newer routing document."""

    routing_version: int
    log_index: int


class ServerChanged(Event, tag="server_changed"):
    """A status report of the local backend server changed its state as seen by this agent.

    The first report after a start of the agent is such a change.
    """

    server: str
    sequence: int
    started_at_ms: int
    accepts: bool
    is_draining: bool
    cold_for_s: float


class ReportDropped(Event, tag="report_dropped"):
    """A status report of the local backend server was not used.

    ``outcome`` is "outdated" if it is late, but holds, and "refused" if it does not hold or may be
    from a start of the server that has ended. ``known_sequence`` and ``known_started_at_ms`` are
    those of the last report that was used.
    """

    server: str
    sequence: int
    started_at_ms: int
    is_draining: bool
    known_server: str
    known_sequence: int
    known_started_at_ms: int
    outcome: str


class LeaveNoticeDropped(Event, tag="leave_notice_dropped"):
    """A start of the local backend server that is not known to run says that it has ended."""

    server: str
    started_at_ms: int


class DrainUnrecorded(Event, tag="drain_unrecorded"):
    """The local backend server drains, which is not acknowledged: control has not recorded it."""

    server: str
    sequence: int
    started_at_ms: int


class ServerOutlier(Event, tag="server_outlier"):
    """The local backend server fails too many requests and gets no openings for ``avoided_s``.

    The numbers of requests that it reset, left unanswered and answered, and of openings that it
    left unanswered, since its failures began.
    """

    service: str
    requests_reset: int
    requests_unanswered: int
    openings_unanswered: int
    requests_answered: int
    avoided_s: float


class ServerOutlierEnded(Event, tag="server_outlier_ended"):
    """The local backend server is no longer an outlier, after ``lasted_s``.

    ``reason`` is ``answers`` after a trial, ``late_answers`` if the server was only slow, or
    ``restart``.
    """

    service: str
    reason: str
    failed_trials: int
    lasted_s: float


class ServerAbsent(Event, tag="server_absent"):
    """No backend server runs beside this agent: its port refuses connections."""


class DataCentreChanged(Event, tag="data_centre_changed"):
    """The data centre of this node was taken out of service or put back into service."""

    data_centre: str
    is_in_service: bool
    log_index: int


class OwnersChanged(Event, tag="owners_changed"):
    """The agents that own the flow directory have changed, as seen by this balancer."""

    owners: list[str]


class ControlLost(Event, tag="control_lost"):
    """The control instance ``instance`` has not answered a heartbeat for ``silent_s``."""

    instance: str
    silent_s: float


class ControlFound(Event, tag="control_found"):
    """``instance`` of control answers heartbeats, after ``silent_s`` without any control answer."""

    instance: str
    silent_s: float


class NodeJoined(Event, tag="node_joined"):
    """Control has committed the join of this incarnation of the process."""

    boot_id: int
    log_index: int


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


class ProcessStarted(Event, tag="process_started"):
    """The roles of this process have started."""

    roles: list[str]


class ProcessStopping(Event, tag="process_stopping"):
    """The process received a request to stop."""

    signal: str


class SettingsReloaded(Event, tag="settings_reloaded"):
    """The settings were reloaded."""

    seeds: list[str]


class EventsLeftOut(Event, tag="events_left_out"):
    """Numbers of events that were left out since the last event of this type, by event name."""

    counts: dict[str, int]


EVENT_TYPES: tuple[type[Event], ...] = tuple(Event.__subclasses__())
EVENTS_BY_NAME: dict[str, type[Event]] = {found.name(): found for found in EVENT_TYPES}
