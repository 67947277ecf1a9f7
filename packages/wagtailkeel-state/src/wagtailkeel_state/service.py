"""A service, as operators define it."""

from __future__ import annotations

import msgspec

from wagtailkeel_state.traffic_class import TrafficClass

DEFAULT_BUCKET_COUNT = 1_024


class Service(msgspec.Struct):
    """A service with its address, its traffic classes and its servers.

    ``server_ids`` is sorted. ``shares_by_server_id`` holds quota weights; ``table_epoch`` is the
    log index of the last change that affects the service's owner tables.
    """

    name: str
    address: str
    bucket_count: int = DEFAULT_BUCKET_COUNT
    classes_by_name: dict[str, TrafficClass] = {}
    server_ids: list[str] = []
    shares_by_server_id: dict[str, int] = {}
    table_epoch: int = 0
