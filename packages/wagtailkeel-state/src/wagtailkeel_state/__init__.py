"""Plain data and pure functions: configuration, commands, owner tables."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_state.lazy_exports import lazy_exports

if TYPE_CHECKING:
    from wagtailkeel_state.address_pool import AddressPool
    from wagtailkeel_state.balancer_member import BalancerMember
    from wagtailkeel_state.booking import Booking
    from wagtailkeel_state.commands import CommandAnswer
    from wagtailkeel_state.commands import LogEntry
    from wagtailkeel_state.configuration import Configuration
    from wagtailkeel_state.configuration_machine import apply_entry
    from wagtailkeel_state.data_centre import DataCentre
    from wagtailkeel_state.enums import AnswerStatus
    from wagtailkeel_state.enums import BookingState
    from wagtailkeel_state.enums import DataCentreState
    from wagtailkeel_state.enums import FlowProtocol
    from wagtailkeel_state.enums import ServerState
    from wagtailkeel_state.flow_directory import FlowDirectory
    from wagtailkeel_state.flow_record import FlowRecord
    from wagtailkeel_state.generation import Generation
    from wagtailkeel_state.local_flow import LocalFlow
    from wagtailkeel_state.owner_table import OwnerTable
    from wagtailkeel_state.remote_flow import RemoteFlow
    from wagtailkeel_state.server_member import ServerIncarnation
    from wagtailkeel_state.server_member import ServerMember
    from wagtailkeel_state.server_member import ServerRecord
    from wagtailkeel_state.service import Service
    from wagtailkeel_state.target import Target
    from wagtailkeel_state.target import TargetKind
    from wagtailkeel_state.traffic_class import TrafficClass

__all__ = [
    "AddressPool",
    "AnswerStatus",
    "BalancerMember",
    "Booking",
    "BookingState",
    "CommandAnswer",
    "Configuration",
    "DataCentre",
    "DataCentreState",
    "FlowDirectory",
    "FlowProtocol",
    "FlowRecord",
    "Generation",
    "LocalFlow",
    "LogEntry",
    "OwnerTable",
    "RemoteFlow",
    "ServerIncarnation",
    "ServerMember",
    "ServerRecord",
    "ServerState",
    "Service",
    "Target",
    "TargetKind",
    "TrafficClass",
    "apply_entry",
]

__getattr__ = lazy_exports(
    __name__,
    {
        "AddressPool": "address_pool",
        "AnswerStatus": "enums",
        "BalancerMember": "balancer_member",
        "Booking": "booking",
        "BookingState": "enums",
        "CommandAnswer": "commands",
        "Configuration": "configuration",
        "DataCentre": "data_centre",
        "DataCentreState": "enums",
        "FlowDirectory": "flow_directory",
        "FlowProtocol": "enums",
        "FlowRecord": "flow_record",
        "Generation": "generation",
        "LocalFlow": "local_flow",
        "LogEntry": "commands",
        "OwnerTable": "owner_table",
        "RemoteFlow": "remote_flow",
        "ServerIncarnation": "server_member",
        "ServerMember": "server_member",
        "ServerRecord": "server_member",
        "ServerState": "enums",
        "Service": "service",
        "Target": "target",
        "TargetKind": "target",
        "TrafficClass": "traffic_class",
        "apply_entry": "configuration_machine",
    },
)
