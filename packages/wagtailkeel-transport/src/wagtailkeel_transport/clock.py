"""The clock of leases, ages and timeouts."""

from __future__ import annotations

import time


def seconds() -> float:
    """Return seconds of a steady clock that goes on while the instance is suspended.

    Source: CLOCK_BOOTTIME, clock_gettime(2). On the monotonic clock a suspended holder would take
    its lease for longer than its grantor does.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
