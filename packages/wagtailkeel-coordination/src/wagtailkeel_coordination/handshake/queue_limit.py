"""How many requests may wait at a server before its agent turns openings away.

Load pattern answered: more work than a service's servers can do, as after a route moves to a small
service, or when all callers return at once after an outage. Without a limit the servers' own
queues stay full: every answer is late, and what the queues do not hold is refused after it has
travelled all the way. With one, those that are let in are answered in time, and the others learn
at once that nothing has run.
"""

from __future__ import annotations

MAX_WAIT_FRACTION = 0.4
"""The part of a route's target that a request may spend waiting; the rest is for its work."""


def has_room(in_flight: int, slots: int, service_s: float, target_s: float) -> bool:
    """Tell whether one more request would start soon enough; times in seconds.

    Without a target, or before the first measured answer, nothing is limited.
    """
    if not target_s or not service_s:
        return True
    waiting = max(0, in_flight + 1 - slots)
    return service_s * waiting / max(1, slots) <= MAX_WAIT_FRACTION * target_s
