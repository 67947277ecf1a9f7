"""Events on the way of an opening from its arrival to a server."""

from __future__ import annotations

from wagtailkeel_coordination.events.event import Event


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
