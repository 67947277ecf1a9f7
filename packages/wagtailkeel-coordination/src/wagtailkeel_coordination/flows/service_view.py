"""Index of a service's classes for fast lookups by endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_protocol.flow_key import endpoint_key

if TYPE_CHECKING:
    from wagtailkeel_state.service import Service
    from wagtailkeel_state.traffic_class import TrafficClass


def index_classes(service: Service) -> dict[bytes, TrafficClass]:
    """Return the classes by destination address, port and protocol."""
    return {
        endpoint_key(
            service.address, traffic_class.port, traffic_class.protocol.number
        ): traffic_class
        for traffic_class in service.classes_by_name.values()
    }
