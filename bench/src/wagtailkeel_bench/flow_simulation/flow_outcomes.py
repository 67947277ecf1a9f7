"""What callers got on flows that were lost with their servers."""

from __future__ import annotations

from collections import Counter
from enum import Enum

import msgspec


class LostFlowOutcome(str, Enum):
    """How a caller learned that its flow is lost."""

    RESET = "reset"
    UNANSWERED = "unanswered"
    """It gave up at its deadline."""
    UNUSED = "unused"
    """It sent nothing on the flow any more."""


class LostFlow(msgspec.Struct):
    """A flow that was open when its server ended.

    ``waited_s`` is the time from the caller's first packet that no server could answer.
    """

    outcome: LostFlowOutcome
    waited_s: float = 0.0


class FlowOutcomes(msgspec.Struct):
    """Counts of one history: answered requests, those given up, refused openings, lost flows.

    ``unanswered`` counts requests on flows that their servers held on to, ``stray_spans`` the times
    at which a flow's packets reached only other servers for REORDER_S, and ``outdated_resets``
    resets of earlier flows of a port, which callers ignore. ``wrong_resets`` are those of flows
    that their servers held, if the history went on.
    """

    answered: int = 0
    unanswered: int = 0
    opened: int = 0
    unopened: int = 0
    stray_spans: int = 0
    outdated_resets: int = 0
    wrong_resets: int = 0
    lost: list[LostFlow] = []

    def count(self) -> Counter[str]:
        """Return the counts by name."""
        counts = Counter(f"lost_{flow.outcome.value}" for flow in self.lost)
        for name in (
            "answered",
            "unanswered",
            "opened",
            "unopened",
            "stray_spans",
            "outdated_resets",
        ):
            counts[name] = getattr(self, name)
        return counts
