"""Structured log events: one typed event for each decision, with the values that decided it.

The events of one flow share ``flow``, which any node derives from the flow's addresses and ports.
"""

from __future__ import annotations

from wagtailkeel_coordination.events.control import AcknowledgementWithheld
from wagtailkeel_coordination.events.control import ElectionFailed
from wagtailkeel_coordination.events.control import LeaderChanged
from wagtailkeel_coordination.events.control import RoutingCommitted
from wagtailkeel_coordination.events.control import StorageFailed
from wagtailkeel_coordination.events.control import VoteHandedOver
from wagtailkeel_coordination.events.control import VotersChanged
from wagtailkeel_coordination.events.event import Event
from wagtailkeel_coordination.events.event_sink import UNLOGGED
from wagtailkeel_coordination.events.event_sink import EventSink
from wagtailkeel_coordination.events.event_sink import UnloggedEvents
from wagtailkeel_coordination.events.flow_ids import flow_id
from wagtailkeel_coordination.events.flows import FlowAdopted
from wagtailkeel_coordination.events.flows import FlowLocated
from wagtailkeel_coordination.events.flows import FlowReset
from wagtailkeel_coordination.events.flows import FlowReturned
from wagtailkeel_coordination.events.flows import SearchEnded
from wagtailkeel_coordination.events.flows import SearchStarted
from wagtailkeel_coordination.events.nodes import ControlFound
from wagtailkeel_coordination.events.nodes import ControlLost
from wagtailkeel_coordination.events.nodes import DataCentreChanged
from wagtailkeel_coordination.events.nodes import NodeJoined
from wagtailkeel_coordination.events.nodes import OwnersChanged
from wagtailkeel_coordination.events.nodes import RoutingAdopted
from wagtailkeel_coordination.events.openings import OpeningExpired
from wagtailkeel_coordination.events.openings import OpeningPlaced
from wagtailkeel_coordination.events.openings import OpeningQueued
from wagtailkeel_coordination.events.openings import OpeningRefused
from wagtailkeel_coordination.events.openings import OpeningRejected
from wagtailkeel_coordination.events.openings import OpeningReleased
from wagtailkeel_coordination.events.openings import OpeningRepeated
from wagtailkeel_coordination.events.openings import OpeningReturned
from wagtailkeel_coordination.events.openings import PriorityLimitChanged
from wagtailkeel_coordination.events.openings import RouteMissing
from wagtailkeel_coordination.events.processes import EventsLeftOut
from wagtailkeel_coordination.events.processes import ProcessStarted
from wagtailkeel_coordination.events.processes import ProcessStopping
from wagtailkeel_coordination.events.processes import SettingsReloaded
from wagtailkeel_coordination.events.servers import DrainUnrecorded
from wagtailkeel_coordination.events.servers import LeaveNoticeDropped
from wagtailkeel_coordination.events.servers import ReportDropped
from wagtailkeel_coordination.events.servers import ServerAbsent
from wagtailkeel_coordination.events.servers import ServerChanged
from wagtailkeel_coordination.events.servers import ServerOutlier
from wagtailkeel_coordination.events.servers import ServerOutlierEnded

EVENT_TYPES: tuple[type[Event], ...] = tuple(Event.__subclasses__())
EVENTS_BY_NAME: dict[str, type[Event]] = {found.name(): found for found in EVENT_TYPES}

__all__ = [
    "EVENTS_BY_NAME",
    "EVENT_TYPES",
    "UNLOGGED",
    "AcknowledgementWithheld",
    "ControlFound",
    "ControlLost",
    "DataCentreChanged",
    "DrainUnrecorded",
    "ElectionFailed",
    "Event",
    "EventSink",
    "EventsLeftOut",
    "FlowAdopted",
    "FlowLocated",
    "FlowReset",
    "FlowReturned",
    "LeaderChanged",
    "LeaveNoticeDropped",
    "NodeJoined",
    "OpeningExpired",
    "OpeningPlaced",
    "OpeningQueued",
    "OpeningRefused",
    "OpeningRejected",
    "OpeningReleased",
    "OpeningRepeated",
    "OpeningReturned",
    "OwnersChanged",
    "PriorityLimitChanged",
    "ProcessStarted",
    "ProcessStopping",
    "ReportDropped",
    "RouteMissing",
    "RoutingAdopted",
    "RoutingCommitted",
    "SearchEnded",
    "SearchStarted",
    "ServerAbsent",
    "ServerChanged",
    "ServerOutlier",
    "ServerOutlierEnded",
    "SettingsReloaded",
    "StorageFailed",
    "UnloggedEvents",
    "VoteHandedOver",
    "VotersChanged",
    "flow_id",
]
