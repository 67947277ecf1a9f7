"""Optional decisions of an agent's router; settings switch them on."""

from __future__ import annotations

from typing import Literal

import msgspec

PlacementRule = Literal["least_wait", "aged_loads"]


class RouterOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Which decisions an agent makes; see the settings of the same names.

    Openings wait for up to ``max_opening_wait_s`` seconds for a cold server, and for a busy one
    with ``queue_when_busy``; 0 means that none waits.
    """

    max_opening_wait_s: float = 0.0
    queue_when_busy: bool = False
    priority_admission: bool = False
    placement: PlacementRule = "least_wait"
    outlier_detection: bool = False

    @property
    def looks_for_room(self) -> bool:
        """Return whether owners look for an agent that has room.

        Where openings queue at busy agents, they need not.
        """
        return self.priority_admission and not self.queue_when_busy


DEFAULT_OPTIONS = RouterOptions()
