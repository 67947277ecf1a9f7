"""Assignment of addresses and ports to new services and classes; done by the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_state.commands import CreateBooking
from wagtailkeel_state.commands import CreateClass
from wagtailkeel_state.commands import CreateService

if TYPE_CHECKING:
    from wagtailkeel_state.address_pool import AddressPool
    from wagtailkeel_state.commands import AnyCommand
    from wagtailkeel_state.configuration import Configuration


def assign_addresses(
    command: AnyCommand, config: Configuration, pools: list[AddressPool]
) -> AnyCommand:
    """Return the command with an address or port from the pools; empty or 0 if none is free.

    Commands that need neither are returned unchanged.
    """
    if isinstance(command, CreateBooking):
        change = assign_addresses(command.change, config, pools)
        return msgspec.structs.replace(command, change=change)
    if isinstance(command, CreateService):
        return msgspec.structs.replace(command, address=_free_address(config, pools))
    if isinstance(command, CreateClass):
        return msgspec.structs.replace(command, port=_free_port(command, config, pools))
    return command


def _booked_changes(config: Configuration) -> list[AnyCommand]:
    """Return the changes of unfinished bookings; their addresses and ports count as taken."""
    return [b.change for b in config.bookings_by_id.values() if not b.state.is_final]


def _free_address(config: Configuration, pools: list[AddressPool]) -> str:
    taken = {service.address for service in config.services_by_name.values()}
    taken |= {c.address for c in _booked_changes(config) if isinstance(c, CreateService)}
    for pool in pools:
        address = pool.first_free_address(taken)
        if address is not None:
            return address
    return ""


def _free_port(command: CreateClass, config: Configuration, pools: list[AddressPool]) -> int:
    service = config.services_by_name.get(command.service)
    taken = (
        {traffic_class.port for traffic_class in service.classes_by_name.values()}
        if service
        else set()
    )
    taken |= {
        c.port
        for c in _booked_changes(config)
        if isinstance(c, CreateClass) and c.service == command.service
    }
    return pools[0].first_free_port(taken) or 0
