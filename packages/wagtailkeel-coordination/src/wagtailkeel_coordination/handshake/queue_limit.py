"""Limits how many requests may wait at a server before its agent rejects openings.

This protects a service that gets more work than its servers can handle, for instance after a route
moves to a small service, or when all callers return at once after an outage. Without a limit the
servers' own queues stay full: every answer is late, and requests that do not fit into the queues
are refused only after they have reached a server. With the limit, admitted requests are answered in
time, and the other callers learn at once that their request was not executed.
"""

from __future__ import annotations

MAX_WAIT_FRACTION = 0.4
"""The fraction of a route's target that a request may wait; the rest is left to process it."""


def has_room(in_flight: int, slots: int, service_s: float, target_s: float) -> bool:
    """Return whether one more request would start soon enough; times are in seconds.

    There is no limit without a target, or before a first response time was measured.
    """
    if not target_s or not service_s:
        return True
    return expected_wait_s(in_flight, slots, service_s) <= MAX_WAIT_FRACTION * target_s


def expected_wait_s(in_flight: int, slots: int, service_s: float) -> float:
    """Return the time in seconds after which one more request would start."""
    waiting = max(0, in_flight + 1 - slots)
    return service_s * waiting / max(1, slots)
