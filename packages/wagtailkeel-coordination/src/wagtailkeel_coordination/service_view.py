"""What an agent or balancer needs of the configuration, prepared for the hot path."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_protocol.flow_key import endpoint_key
from wagtailkeel_state.traffic_class import TrafficClass

if TYPE_CHECKING:
    from wagtailkeel_state.configuration import Configuration


class ServiceClass(msgspec.Struct, frozen=True):
    """A class and its service's name."""

    service: str
    traffic_class: TrafficClass


def index_classes(config: Configuration) -> dict[bytes, ServiceClass]:
    """Return the classes by destination address, port and protocol."""
    return {
        endpoint_key(service.address, found.port, found.protocol.number): ServiceClass(
            service.name, found
        )
        for service in config.services_by_name.values()
        for found in service.classes_by_name.values()
    }
