"""Rules that decide whether bookings conflict."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_state.commands import ChangeTarget
from wagtailkeel_state.commands import Command
from wagtailkeel_state.commands import CreateBooking
from wagtailkeel_state.commands import CreateClass
from wagtailkeel_state.commands import CreateService
from wagtailkeel_state.commands import DrainServer
from wagtailkeel_state.commands import RestoreServer
from wagtailkeel_state.commands import SetDataCentreState
from wagtailkeel_state.enums import DataCentreState

if TYPE_CHECKING:
    from wagtailkeel_state.configuration import Configuration


def find_booking_conflict(config: Configuration, command: CreateBooking) -> str | None:
    """Return why the booking conflicts with others in overlapping windows, or None."""
    subject = booking_subject(command.change)
    pending = [b for b in config.bookings_by_id.values() if not b.state.is_final]
    overlapping = [b for b in pending if b.overlaps(command.start_s, command.end_s)]
    for booking in overlapping:
        if booking_subject(booking.change) == subject:
            return f"booking {booking.booking_id} by {booking.author} changes {subject} then"
    return _find_capacity_conflict(config, [command.change, *(b.change for b in overlapping)])


def _find_capacity_conflict(config: Configuration, changes: list[Command]) -> str | None:
    """Return why the changes together would leave too little capacity, or None if they do not.

    Changes that take data centres out of service must leave one in service; drains must leave a
    placeable server to each service that has one now.
    """
    out_of_service = {
        change.name
        for change in changes
        if isinstance(change, SetDataCentreState) and change.state is DataCentreState.OUT_OF_SERVICE
    }
    remaining_data_centres = [
        dc
        for dc in config.data_centres_by_name.values()
        if dc.state is DataCentreState.IN_SERVICE and dc.name not in out_of_service
    ]
    if out_of_service and not remaining_data_centres:
        return "no data centre would be left in service in that window"
    drained = {change.server_id for change in changes if isinstance(change, DrainServer)}
    members_to_drain = [config.servers_by_id[key] for key in drained if key in config.servers_by_id]
    # Sorted, so that every replica returns the same reason.
    for service in sorted({member.service for member in members_to_drain}):
        placeable = [m for m in config.members_of(service) if config.is_placeable(m.server_id)]
        remaining = [
            m
            for m in placeable
            if m.server_id not in drained and m.data_centre not in out_of_service
        ]
        if placeable and not remaining:
            return f"no server of {service} would be left in that window"
    return None


def booking_subject(change: Command) -> str:
    """Return what a change affects; overlapping bookings of the same subject conflict."""
    if isinstance(change, SetDataCentreState):
        return f"data centre {change.name}"
    if isinstance(change, (DrainServer, RestoreServer)):
        return f"server {change.server_id}"
    if isinstance(change, (CreateClass, ChangeTarget)):
        return f"class {change.service}/{change.name}"
    if isinstance(change, CreateService):
        return f"service {change.name}"
    return type(change).__name__
