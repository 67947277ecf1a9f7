"""A change booked for a window of time."""

from __future__ import annotations

import msgspec

from wagtailkeel_state.commands import BookableCommand
from wagtailkeel_state.enums import BookingState


class Booking(msgspec.Struct):
    """Times are seconds since the Unix epoch; the leader logs each change of state."""

    booking_id: str
    author: str
    start_s: float
    end_s: float
    change: BookableCommand
    state: BookingState = BookingState.BOOKED
    reason: str = ""

    def overlaps(self, start_s: float, end_s: float) -> bool:
        """Tell whether the windows have an instant in common."""
        return self.start_s < end_s and start_s < self.end_s
