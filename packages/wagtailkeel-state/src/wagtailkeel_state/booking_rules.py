"""When two bookings clash."""

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
    """Return why the booking clashes with another in an overlapping window, or None."""
    subject = booking_subject(command.change)
    pending = [b for b in config.bookings_by_id.values() if not b.state.is_final]
    overlapping = [b for b in pending if b.overlaps(command.start_s, command.end_s)]
    for booking in overlapping:
        if booking_subject(booking.change) == subject:
            return f"booking {booking.booking_id} by {booking.author} changes {subject} then"
    removed = {_out_data_centre(booking.change) for booking in overlapping}
    removed.add(_out_data_centre(command.change))
    removed.discard(None)
    remaining = [
        dc
        for dc in config.data_centres_by_name.values()
        if dc.state is DataCentreState.IN_SERVICE and dc.name not in removed
    ]
    if removed and not remaining:
        return "no data centre would be left in service in that window"
    return None


def _out_data_centre(change: Command) -> str | None:
    if not isinstance(change, SetDataCentreState):
        return None
    return change.name if change.state is DataCentreState.OUT_OF_SERVICE else None


def booking_subject(change: Command) -> str:
    """Return the name of what a change is about; two changes of one subject conflict."""
    if isinstance(change, SetDataCentreState):
        return f"data centre {change.name}"
    if isinstance(change, (DrainServer, RestoreServer)):
        return f"server {change.server_id}"
    if isinstance(change, (CreateClass, ChangeTarget)):
        return f"class {change.service}/{change.name}"
    if isinstance(change, CreateService):
        return f"service {change.name}"
    return type(change).__name__
