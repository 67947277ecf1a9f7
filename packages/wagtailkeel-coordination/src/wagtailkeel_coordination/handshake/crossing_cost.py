"""Estimates what a flow into another data centre costs, from the times of load requests.

Load pattern: data centres whose servers are busy at different times, and network times between them
from half a millisecond to several. A constant cost keeps openings at busy servers of the own data
centre where the network time is short, and sends them to others for little gain where it is long.

A request's packets cross twice on their way to the server, the opening and the request itself, so
a crossing costs as much as the round trip takes longer than one within the data centre. A late
answer of a busy agent says nothing about the network, so the estimate follows shorter times faster
than longer ones. Since it does not rise with the load of a data centre, several that overflow at
once do not send openings back and forth.
"""

from __future__ import annotations

from wagtailkeel_coordination.handshake.server_choice import REMOTE_PENALTY_MS

FALL_GAIN = 0.2
"""Shorter times are followed within about 5 load requests."""
RISE_GAIN = 0.02
"""Longer times are followed within about 50 load requests."""


class CrossingCost:
    """The cost of crossing from a data centre to each other one."""

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._round_trip_s_by_data_centre: dict[str, float] = {}

    def record(self, data_centre: str, round_trip_s: float) -> None:
        """Record the time in seconds that a load request to a data centre took."""
        known = self._round_trip_s_by_data_centre.setdefault(data_centre, round_trip_s)
        gain = FALL_GAIN if round_trip_s < known else RISE_GAIN
        self._round_trip_s_by_data_centre[data_centre] = known + gain * (round_trip_s - known)

    def cost_ms(self, data_centre: str) -> float:
        """Return the extra time of a flow's first request; a constant until it is measured.

        Without load requests within this data centre, nothing is subtracted.
        """
        remote_s = self._round_trip_s_by_data_centre.get(data_centre)
        if remote_s is None:
            return REMOTE_PENALTY_MS
        local_s = self._round_trip_s_by_data_centre.get(self._data_centre, 0.0)
        return max(0.0, remote_s - local_s) * 1_000
