"""Cost of building owner tables, by the numbers of servers and buckets."""

from __future__ import annotations

import statistics
import time
from typing import Any

from wagtailkeel_state.owner_table import OwnerTable

CASES = ((4, 1_024), (7, 1_024), (10, 1_024), (20, 1_024), (50, 1_024), (50, 4_096), (100, 4_096))
REPEATS = 5


def measure_table_build() -> dict[str, Any]:
    """Return build times in ms, and the movement and evenness of buckets.

    ``moves_over_least`` is the number of buckets that change owner when a server is removed,
    divided by the least possible number. ``share_cv`` is the coefficient of variation of the
    servers' bucket counts relative to their shares.
    """
    return {"measurement": "table-build", "cases": [_measure(*case) for case in CASES]}


def _measure(servers: int, buckets: int) -> dict[str, float]:
    shares = {f"server-{number}": 1_000 + 37 * number for number in range(servers)}
    times_ms = []
    for _ in range(REPEATS):
        started_at = time.perf_counter()
        table = OwnerTable.build(1, shares, buckets)
        times_ms.append((time.perf_counter() - started_at) * 1_000)
    remaining_shares = dict(shares)
    removed = remaining_shares.popitem()[0]
    reduced_table = OwnerTable.build(2, remaining_shares, buckets)
    moved_buckets = sum(table.owner_of(n) != reduced_table.owner_of(n) for n in range(buckets))
    total_share = sum(shares.values())
    relative_loads = [
        len(table.buckets_of(key)) / share * total_share for key, share in shares.items()
    ]
    return {
        "servers": servers,
        "buckets": buckets,
        "build_ms": round(statistics.median(times_ms), 3),
        "microseconds_per_pair": round(statistics.median(times_ms) * 1_000 / servers / buckets, 4),
        "moves_over_least": round(moved_buckets / len(table.buckets_of(removed)), 2),
        "share_cv": round(statistics.pstdev(relative_loads) / statistics.fmean(relative_loads), 4),
    }
