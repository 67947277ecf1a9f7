"""Loads: the request rate of one service and the capacity of its servers."""

from __future__ import annotations

import msgspec


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """The servers of one service and its request rate; times in seconds, rates per second.

    ``server_speeds`` has one entry per server; at speed 1.0 a request takes ``mean_work_s`` on
    average, with the coefficient of variation ``work_cv``. A server works on ``slots`` requests at
    once, queues up to ``queue_limit`` more and sheds the rest. From ``surge_start_s`` to
    ``surge_end_s`` requests arrive at ``surge_requests_per_s``. For the first ``cold_s`` servers
    are slower by ``cold_factor``. With ``cold_openings_per_s`` they take only so many openings a
    second meanwhile, and their agents know it. Servers and callers are spread over
    ``data_centres`` data centres.
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
    cold_openings_per_s: float = 0.0
    data_centres: int = 1

    def rate_at(self, now: float) -> float:
        """Return the request rate at a time since the start."""
        is_surge = self.surge_start_s <= now < self.surge_end_s
        return self.surge_requests_per_s if is_surge else self.requests_per_s


LOADS_BY_NAME = {
    "unlike-servers": Load(
        summary="servers of different speeds with one slot each, 45% busy",
        server_speeds=(0.6, 1.0, 1.6, 0.6, 1.0, 1.6, 1.0),
        requests_per_s=160.0,
    ),
    "small-service": Load(
        summary="a route has moved to two servers with slightly too little capacity for it",
        server_speeds=(1.0, 1.0),
        slots=2,
        requests_per_s=215.0,
    ),
    "surge": Load(
        summary="1.7 times the usual load for three seconds, more than the servers can handle",
        server_speeds=(1.0, 1.0, 1.0),
        slots=2,
        requests_per_s=200.0,
        surge_requests_per_s=340.0,
        surge_start_s=6.0,
        surge_end_s=9.0,
    ),
    "all-return": Load(
        summary="all callers return at once to servers that are slow for the first two seconds",
        server_speeds=(1.0, 1.0, 1.0),
        slots=2,
        requests_per_s=210.0,
        cold_s=2.0,
        cold_factor=1.6,
    ),
    "all-cold": Load(
        summary="all callers return at once to servers that take five openings a second until warm",
        server_speeds=(0.6, 1.0, 1.6, 0.6, 1.0, 1.6, 1.0),
        slots=5,
        queue_limit=36,
        requests_per_s=200.0,
        mean_work_s=0.066,
        target_s=0.27,
        deadline_s=4.0,
        users=300,
        cold_s=1.3,
        cold_factor=1.6,
        cold_openings_per_s=5.0,
    ),
    "many-servers": Load(
        summary="109 unlike servers with one slot each in five data centres, half busy",
        server_speeds=tuple((0.6, 1.0, 1.6)[number % 3] for number in range(109)),
        requests_per_s=2_600.0,
        mean_work_s=0.022,
        target_s=0.12,
        deadline_s=2.4,
        users=2_000,
        data_centres=5,
    ),
}
