"""Looks up routes by the destination of a packet."""

from __future__ import annotations

import ipaddress
import struct
from bisect import bisect_right
from itertools import accumulate
from typing import TYPE_CHECKING

import msgspec
import xxhash

if TYPE_CHECKING:
    from wagtailkeel_state.routing import Route
    from wagtailkeel_state.routing import RoutingDocument

SPLIT_SEED = 0x5EED


class Destinations(msgspec.Struct, frozen=True):
    """The services of a route, the running sums of their weights, and its settings; see Route."""

    services: tuple[str, ...]
    cumulative_weights: tuple[int, ...]
    target_s: float = 0.0
    priority: int = 0
    timeout_s: float = 0.0
    is_idempotent: bool = False

    @classmethod
    def from_route(cls, route: Route) -> Destinations:
        """Build the destinations of a route without services of weight zero."""
        weighted = [entry for entry in route.destinations if entry.weight > 0]
        cumulative_weights = accumulate(entry.weight for entry in weighted)
        services = tuple(entry.service for entry in weighted)
        return cls(
            services,
            tuple(cumulative_weights),
            route.target_s,
            route.priority,
            route.timeout_s,
            route.is_idempotent,
        )

    def choose(self, key: bytes) -> str:
        """Return the service of a flow; it is the same for every transmission of the opening."""
        if len(self.services) == 1:
            return self.services[0]
        position = xxhash.xxh3_64_intdigest(key, SPLIT_SEED) % self.cumulative_weights[-1]
        return self.services[bisect_right(self.cumulative_weights, position)]


class RoutingTable:
    """Destinations by endpoint (packed address and port) for one routing document."""

    def __init__(self) -> None:
        self.version = 0
        self._by_endpoint: dict[bytes, Destinations] = {}
        self._routes: dict[str, Route] = {}
        self._services_by_endpoint: dict[bytes, frozenset[str]] = {}

    def update(self, document: RoutingDocument) -> bool:
        """Apply a document if it is newer; return whether it was."""
        if document.version <= self.version:
            return False
        for place, route in self._routes.items():
            if place not in document.routes_by_place:
                del self._by_endpoint[endpoint_of_route(route)]
        for place, route in document.routes_by_place.items():
            if self._routes.get(place) != route:
                self._by_endpoint[endpoint_of_route(route)] = Destinations.from_route(route)
        self._services_by_endpoint = {
            endpoint_of_route(document.routes_by_place[place]): frozenset(services)
            for place, services in document.services_by_place.items()
        }
        self._routes = document.routes_by_place
        self.version = document.version
        return True

    def find(self, endpoint: bytes) -> Destinations | None:
        """Return the destinations of new flows to an endpoint, or None if there is no route."""
        return self._by_endpoint.get(endpoint)

    def may_have_flows(self, endpoint: bytes, service: str) -> bool:
        """Return whether a service may have flows to an endpoint.

        It may unless the endpoint's route has never named it. Without a route, any service may.
        """
        services = self._services_by_endpoint.get(endpoint)
        return services is None or service in services

    def target_s(self, endpoint: bytes) -> float:
        """Return the target response time of a route's requests; 0 if none is set."""
        destinations = self._by_endpoint.get(endpoint)
        return destinations.target_s if destinations else 0.0

    def priority(self, endpoint: bytes) -> int:
        """Return the priority of a route's openings; 0 if it has none."""
        destinations = self._by_endpoint.get(endpoint)
        return destinations.priority if destinations else 0

    def priorities_of(self, service: str) -> set[int]:
        """Return the priorities of the routes that send new flows to a service."""
        return {d.priority for d in self._by_endpoint.values() if service in d.services}

    def timeout_s(self, endpoint: bytes) -> float:
        """Return how long callers of a route wait for an answer; 0 if that is not known."""
        destinations = self._by_endpoint.get(endpoint)
        return destinations.timeout_s if destinations else 0.0

    def is_idempotent(self, endpoint: bytes) -> bool:
        """Return whether the requests of a route may run twice; False if there is no route."""
        destinations = self._by_endpoint.get(endpoint)
        return destinations is not None and destinations.is_idempotent


def endpoint_of_route(route: Route) -> bytes:
    """Return a route's address and port as they are encoded in packets."""
    return ipaddress.ip_address(route.address).packed + struct.pack("!H", route.port)
