"""Messages of the query where an opening would go now; see ``wagtailkeel where``."""

from __future__ import annotations

from enum import Enum

import msgspec


class WhereRequest(msgspec.Struct):
    """Asks a balancer or an agent about an opening; ``caller`` and ``route`` are "host:port"."""

    caller: str
    route: str


class PlacementOutcome(Enum):
    """What a directory owner would do with an opening by the loads that it knows."""

    PLACED = "placed"
    QUEUED = "queued"
    LOADS_REQUESTED = "loads_requested"
    """It knows too few recent loads to decide, so it would request some first."""
    REFUSED = "refused"


class KnownServer(msgspec.Struct):
    """A server whose load the owner knows; times in milliseconds.

    ``state`` says whether it would get the opening, or why not. ``expected_ms`` is the expected
    time of the first request there, ``room_in_ms`` when a queued opening would be delivered; 0 if
    none may wait.
    """

    agent: str
    data_centre: str
    state: str
    load_age_ms: float
    expected_ms: float
    room_in_ms: float
    in_flight: int
    is_cold: bool
    is_outlier: bool


class PlacementPreview(msgspec.Struct):
    """What the directory owner would do; ``servers`` are ordered by preference.

    ``agent`` is the agent that would get the opening; it is empty if none would.
    """

    outcome: PlacementOutcome
    agent: str
    reason: str
    members: int
    servers: list[KnownServer]


class WhereReply(msgspec.Struct):
    """How the replying process would treat an opening.

    ``error`` is set if the request can't be answered. ``service`` is empty if the process has no
    route for the opening. A balancer names the directory owner by ``owner_host`` and
    ``owner_port``; an agent answers as the directory owner, with ``preview``.
    """

    routing_version: int = 0
    service: str = ""
    priority: int = 0
    target_ms: float = 0.0
    timeout_ms: float = 0.0
    owner_host: str = ""
    owner_port: int = 0
    preview: PlacementPreview | None = None
    error: str = ""
