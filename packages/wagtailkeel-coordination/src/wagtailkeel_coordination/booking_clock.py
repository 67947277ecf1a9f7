"""Bookings that are due by the leader's wall clock; the log puts the changes in order."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_state.commands import AdvanceBooking
from wagtailkeel_state.enums import BookingState

if TYPE_CHECKING:
    from wagtailkeel_state.configuration import Configuration


def find_due_bookings(config: Configuration, wall_s: float) -> list[AdvanceBooking]:
    """Return the state changes that are due, in the order of the bookings' starts.

    ``wall_s`` is in seconds since the Unix epoch.
    """
    due = []
    for booking in sorted(config.bookings_by_id.values(), key=lambda b: (b.start_s, b.booking_id)):
        state = _due_state(booking.state, booking.start_s, booking.end_s, wall_s)
        if state is not None:
            due.append(AdvanceBooking(booking_id=booking.booking_id, state=state))
    return due


def _due_state(
    state: BookingState, start_s: float, end_s: float, wall_s: float
) -> BookingState | None:
    if state is BookingState.BOOKED:
        if wall_s >= end_s:
            return BookingState.LAPSED
        return BookingState.ACTIVE if wall_s >= start_s else None
    if state is BookingState.ACTIVE and wall_s >= end_s:
        return BookingState.DONE
    return None
