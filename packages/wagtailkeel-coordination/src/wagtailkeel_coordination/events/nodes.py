"""Events on the membership of a node and the configuration that it has applied."""

from __future__ import annotations

from wagtailkeel_coordination.events.event import Event


class RoutingAdopted(Event, tag="routing_adopted"):
    """This process has applied a newer routing document."""

    routing_version: int
    log_index: int


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
