"""The clock for leases, ages and timeouts."""

from __future__ import annotations

import time


def seconds() -> float:
    """Return the seconds of a monotonic clock that advances while the instance is suspended.

    It is CLOCK_BOOTTIME, see clock_gettime(2). CLOCK_MONOTONIC stops during a suspension, so a
    suspended holder would consider its lease valid for longer than the grantor does.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
