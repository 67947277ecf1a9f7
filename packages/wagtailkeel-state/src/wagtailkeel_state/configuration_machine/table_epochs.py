"""Epochs of owner tables: a node builds a service's table anew when its epoch changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wagtailkeel_state.configuration import Configuration


def set_table_epoch(config: Configuration, index: int, service_name: str) -> None:
    """Record that the owner tables of a service change at ``index``; nodes then rebuild them."""
    service = config.services_by_name.get(service_name)
    if service is not None:
        service.table_epoch = index


def set_table_epochs_of_data_centre(config: Configuration, index: int, data_centre: str) -> None:
    """Set the table epoch of services with a server there; the owners of others do not change."""
    for service_name in {
        m.service for m in config.servers_by_id.values() if m.data_centre == data_centre
    }:
        set_table_epoch(config, index, service_name)
