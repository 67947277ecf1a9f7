"""Rules for bookings; an active one applies its booked change."""

from __future__ import annotations

from wagtailkeel_state.booking import Booking
from wagtailkeel_state.booking_rules import find_booking_conflict
from wagtailkeel_state.commands import AdvanceBooking
from wagtailkeel_state.commands import CancelBooking
from wagtailkeel_state.commands import CreateBooking
from wagtailkeel_state.commands import LogEntry
from wagtailkeel_state.configuration import Configuration
from wagtailkeel_state.configuration_machine.apply_command import apply_command
from wagtailkeel_state.enums import BookingState


@apply_command.register
def _(command: CreateBooking, config: Configuration, entry: LogEntry) -> str | None:
    if command.booking_id in config.bookings_by_id:
        return f"booking {command.booking_id} exists already"
    if command.end_s <= command.start_s:
        return "the window ends before it starts"
    reason = find_booking_conflict(config, command)
    if reason is not None:
        return reason
    config.bookings_by_id[command.booking_id] = Booking(
        command.booking_id, entry.author, command.start_s, command.end_s, command.change
    )
    return None


@apply_command.register
def _(command: CancelBooking, config: Configuration, entry: LogEntry) -> str | None:
    booking = config.bookings_by_id.get(command.booking_id)
    if booking is None:
        return f"booking {command.booking_id} does not exist"
    if booking.state is not BookingState.BOOKED:
        return f"booking {command.booking_id} is {booking.state.value} already"
    booking.state = BookingState.CANCELLED
    return None


@apply_command.register
def _(command: AdvanceBooking, config: Configuration, entry: LogEntry) -> str | None:
    booking = config.bookings_by_id.get(command.booking_id)
    if booking is None or booking.state.is_final:
        return f"booking {command.booking_id} is not pending"
    if command.state is not BookingState.ACTIVE:
        booking.state = command.state
        return None
    if booking.state is BookingState.ACTIVE:
        return f"booking {command.booking_id} is active already"
    reason = apply_command(booking.change, config, entry)
    if reason is not None:
        booking.state = BookingState.FAILED
        booking.reason = reason
        return None
    booking.state = BookingState.ACTIVE
    config.operator_version = entry.index
    config.last_author = booking.author
    return None
