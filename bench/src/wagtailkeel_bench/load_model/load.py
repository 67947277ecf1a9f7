"""What callers ask of a service, and the servers that it has."""

from __future__ import annotations

import msgspec


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """One service under one pattern of requests; times in seconds, rates a second.

    ``speeds`` has one entry a server, 1.0 being the speed at which a request takes ``work_s``. A
    server works on ``slots`` requests at once, queues ``queue`` more and sheds the rest. Requests
    between ``surge_from_s`` and ``surge_to_s`` come at ``surge_rate``. Servers are ``cold_factor``
    times slower for the first ``cold_s``.
    """

    summary: str
    server_speeds: tuple[float, ...]
    slots: int = 1
    queue_limit: int = 8
    requests_per_s: float
    surge_requests_per_s: float = 0.0
    surge_start_s: float = 0.0
    surge_end_s: float = 0.0
    mean_work_s: float = 0.02
    work_cv: float = 0.5
    target_s: float = 0.1
    deadline_s: float = 1.0
    users: int = 150
    duration_s: float = 20.0
    cold_s: float = 0.0
    cold_factor: float = 1.0

    def rate_at(self, now: float) -> float:
        """Return the rate of requests at a moment."""
        is_surge = self.surge_start_s <= now < self.surge_end_s
        return self.surge_requests_per_s if is_surge else self.requests_per_s


LOADS_BY_NAME = {
    "unlike-servers": Load(
        summary="servers of unlike speed with one slot each, 45% busy",
        server_speeds=(0.6, 1.0, 1.6, 0.6, 1.0, 1.6, 1.0),
        requests_per_s=160.0,
    ),
    "small-service": Load(
        summary="a route has moved to two servers that can just not do its work",
        server_speeds=(1.0, 1.0),
        slots=2,
        requests_per_s=215.0,
    ),
    "surge": Load(
        summary="1.7 times the usual work for three seconds, more than the servers can do",
        server_speeds=(1.0, 1.0, 1.0),
        slots=2,
        requests_per_s=200.0,
        surge_requests_per_s=340.0,
        surge_start_s=6.0,
        surge_end_s=9.0,
    ),
    "all-return": Load(
        summary="all callers come back at once to servers that are slow for two seconds",
        server_speeds=(1.0, 1.0, 1.0),
        slots=2,
        requests_per_s=210.0,
        cold_s=2.0,
        cold_factor=1.6,
    ),
}
