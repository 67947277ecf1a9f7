"""Estimates how long the backend server works on a request, by route.

Load pattern: routes whose requests need different times, a few requests in a hundred that take
several times as long as the others, and servers that change their speed or restart. An
exponential average over the last ten requests of all routes follows each long request, so that
owners avoid a server that is as fast as any other. Here each route has an average of its own over
about ``AVERAGED_REQUESTS`` requests, in which one request counts as at most ``MAX_FACTOR`` times
the average (winsorizing; Huber, Robust Statistics, 1981). Until that many requests are measured,
all count equally, so the first ones already give an estimate.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

AVERAGED_REQUESTS = 32
"""At 20 requests a second, the estimate follows a change of speed within about two seconds."""
MAX_FACTOR = 4.0
MIN_REQUESTS = 4
"""Before so many requests are measured, the average may itself be that of a long request."""
REMAINING_SHARE = 1.0 - 1.0 / AVERAGED_REQUESTS
MIN_WEIGHT = 0.01
"""A route with a smaller share of the recent requests is forgotten."""


class RouteTime(msgspec.Struct):
    """The average service time of a route in seconds; ``weight`` is its share of the requests."""

    mean_s: float = 0.0
    requests: int = 0
    weight: float = 0.0


class RouteTimes:
    """Service times of one server; all times are in seconds.

    ``endpoint_of`` returns the part of a flow key that identifies the route.
    """

    def __init__(self, endpoint_of: Callable[[bytes], bytes]) -> None:
        self._endpoint_of = endpoint_of
        self._by_endpoint: dict[bytes, RouteTime] = {}

    @property
    def mean_s(self) -> float:
        """The average over the recent mix of routes; 0 if unknown."""
        total = weighted = 0.0
        for route in self._by_endpoint.values():
            total += route.weight
            weighted += route.weight * route.mean_s
        return weighted / total if total else 0.0

    def clear(self) -> None:
        """Forget all times, since the server has restarted."""
        self._by_endpoint.clear()

    def record(self, key: bytes, service_s: float) -> None:
        """Record the time that the server worked on a request of a flow."""
        route = self._by_endpoint.setdefault(self._endpoint_of(key), RouteTime())
        if route.requests >= MIN_REQUESTS:
            service_s = min(service_s, MAX_FACTOR * route.mean_s)
        route.requests += 1
        route.mean_s += (service_s - route.mean_s) / min(route.requests, AVERAGED_REQUESTS)
        self._record_share(route)

    def _record_share(self, recorded: RouteTime) -> None:
        has_rare = False
        for route in self._by_endpoint.values():
            route.weight *= REMAINING_SHARE
            has_rare |= route.weight < MIN_WEIGHT
        recorded.weight += 1.0 - REMAINING_SHARE
        if has_rare:
            kept = {e: r for e, r in self._by_endpoint.items() if r.weight >= MIN_WEIGHT}
            self._by_endpoint = kept
