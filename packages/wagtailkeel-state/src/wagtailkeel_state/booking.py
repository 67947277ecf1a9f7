"""A change that is booked for a time window."""

from __future__ import annotations

import msgspec

from wagtailkeel_state.commands import BookableCommand
from wagtailkeel_state.enums import BookingState


class Booking(msgspec.Struct):
    """A booked change and its state, of which the leader logs each transition.

    The change takes effect when the booking becomes active; the end of the window does not undo it.
    Times are in seconds since the Unix epoch. ``reason`` says why a failed booking could not be
    applied.
    """

    booking_id: str
    author: str
    start_s: float
    end_s: float
    change: BookableCommand
    state: BookingState = BookingState.BOOKED
    reason: str = ""

    def overlaps(self, start_s: float, end_s: float) -> bool:
        """Return whether the two windows overlap; windows that only touch do not."""
        return self.start_s < end_s and start_s < self.end_s
