"""What a process writes about its decisions: one typed event each, with what decided it.

The events of one flow share ``flow``, which any node derives from the flow's addresses and ports.
"""

from __future__ import annotations

from typing import Protocol

import msgspec
import xxhash


def flow_id(key: bytes) -> str:
    """Return the id of a flow in events: 16 hexadecimal digits.

    It is the XXH3 of the caller's address, the route's address, the caller's port and the route's
    port, in network byte order; a protocol number behind them does not count.
    """
    addresses_and_ports = key[: len(key) & ~1]
    return f"{xxhash.xxh3_64_intdigest(addresses_and_ports):016x}"


class Event(msgspec.Struct, tag_field="event"):
    """Base of all events. An essential event is never left out before one that is not."""

    @classmethod
    def name(cls) -> str:
        """The event's name in logs and counters."""
        return str(cls.__struct_config__.tag)

    @classmethod
    def is_essential(cls) -> bool:
        """Tell whether refusals, recoveries or beliefs are at stake."""
        return True


class EventSink(Protocol):
    """Takes events without waiting."""

    def emit(self, event: Event) -> None:
        """Write an event, or count it as left out."""


class UnloggedEvents:
    """The event sink of a process that writes no events."""

    def emit(self, event: Event) -> None:
        """Drop the event."""


UNLOGGED = UnloggedEvents()


# Flows


class OpeningPlaced(Event, tag="opening_placed"):
    """A directory owner chose a server for an opening.

    ``expected_ms`` is the wait that decided, ``load_age_ms`` the age of the report behind it.
    """

    flow: str
    server_agent: str
    routing_version: int
    candidates: int
    expected_ms: float
    load_age_ms: float

    @classmethod
    def is_essential(cls) -> bool:
        """Placements are many and may be left out."""
        return False


class OpeningRejected(Event, tag="opening_rejected"):
    """The agent beside a server did not let an opening through, or its server returned it."""

    flow: str
    reason: str
    service: str
    routing_version: int


class OpeningRefused(Event, tag="opening_refused"):
    """No server takes the opening; the caller was told so, and nothing has run."""

    flow: str
    reason: str
    tried: int
    candidates: int
    routing_version: int


class RouteMissing(Event, tag="route_missing"):
    """A balancer has no route for an opening."""

    flow: str
    endpoint: str
    routing_version: int
    is_refused: bool


class SearchStarted(Event, tag="search_started"):
    """An owner does not know where a flow is and asks the agents."""

    flow: str
    reason: str
    asked: int


class SearchEnded(Event, tag="search_ended"):
    """A search is over; ``server_agent`` is empty where no agent has the flow."""

    flow: str
    outcome: str
    server_agent: str
    silent: int


class FlowAdopted(Event, tag="flow_adopted"):
    """A server speaks on a flow that its restarted agent had forgotten."""

    flow: str


class FlowReturned(Event, tag="flow_returned"):
    """A server returned a packet of a flow that it does not hold."""

    flow: str


class FlowReset(Event, tag="flow_reset"):
    """The caller was told that nobody has its flow."""

    flow: str
    reason: str


# Beliefs


class RoutingAdopted(Event, tag="routing_adopted"):
    """A newer routing document is in force in this process."""

    routing_version: int
    log_index: int


class ServerChanged(Event, tag="server_changed"):
    """The own server's report changed what this agent believes of it."""

    server: str
    sequence: int
    started_at_ms: int
    accepts: bool
    is_draining: bool
    cold_for_s: float


class DataCentreChanged(Event, tag="data_centre_changed"):
    """The own data centre was taken out of service or brought back."""

    data_centre: str
    is_in_service: bool
    log_index: int


class OwnersChanged(Event, tag="owners_changed"):
    """The agents that keep the directory, as this balancer sees them."""

    owners: list[str]


class ControlLost(Event, tag="control_lost"):
    """Control has not answered a heartbeat for a while."""

    instance: str
    silent_s: float


class ControlFound(Event, tag="control_found"):
    """Control answers again."""

    instance: str
    silent_s: float


class NodeJoined(Event, tag="node_joined"):
    """Control has logged this incarnation of the process."""

    boot_id: int
    log_index: int


class LeaderChanged(Event, tag="leader_changed"):
    """Another control instance leads, or none."""

    leader: str
    term: int


class VotersChanged(Event, tag="voters_changed"):
    """The voters of control, as of the newest entry in the log."""

    voters: list[str]


class StorageFailed(Event, tag="storage_failed"):
    """The disk refused a write; this instance gives up its vote until a write succeeds."""

    error: str


class RoutingCommitted(Event, tag="routing_committed"):
    """A quorum holds a newer routing document."""

    routing_version: int
    log_index: int


class ProcessStarted(Event, tag="process_started"):
    """The roles of this process run."""

    roles: list[str]


class ProcessStopping(Event, tag="process_stopping"):
    """The process was asked to stop."""

    signal: str


class SettingsReloaded(Event, tag="settings_reloaded"):
    """The settings were read again."""

    seeds: list[str]


class EventsLeftOut(Event, tag="events_left_out"):
    """Events that were not written since the last such line, by name."""

    counts: dict[str, int]


EVENT_TYPES: tuple[type[Event], ...] = tuple(Event.__subclasses__())
EVENTS_BY_NAME: dict[str, type[Event]] = {found.name(): found for found in EVENT_TYPES}
