"""Routing documents: the services to which new flows to an address and port go.

Operators replace the whole document under an increasing version. Log entries carry only the
difference from the previous version, so that a small change of a large document costs little.
"""

from __future__ import annotations

import msgspec


class WeightedService(msgspec.Struct, frozen=True):
    """A destination of a route; ``weight`` is relative to the route's other destinations."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True):
    """The destinations of new flows to one address and port.

    ``source`` is the route as the operator wrote it; it is returned unchanged to readers.
    ``target_s`` is the target response time of its requests in seconds, or 0 if none is set. The
    openings with the lowest ``priority`` number get the room of a cold server first. Callers wait
    for an answer for up to ``timeout_s`` seconds, or for an unknown time if it is 0. Only a request
    that ``is_idempotent`` may run twice.
    """

    address: str
    port: int
    destinations: tuple[WeightedService, ...]
    source: bytes = b""
    target_s: float = 0.0
    priority: int = 0
    timeout_s: float = 0.0
    is_idempotent: bool = False

    @property
    def place(self) -> str:
        """The route's key: its address and port as text."""
        return f"{self.address}:{self.port}"


class ServicePolicy(msgspec.Struct, frozen=True):
    """The openings per second that each server of a service can handle while it is cold.

    A server is cold for a while after its start. ``source`` is as in Route.
    """

    name: str
    cold_starts_per_s: float = 0.0
    source: bytes = b""


class RoutingDocument(msgspec.Struct):
    """All routes of one version; version 0 is the empty document that precedes the first one.

    ``source`` holds the document's other fields as the operator wrote them. A flow without packets
    for ``idle_limit_s`` seconds expires. ``services_by_place`` has all services that a route has
    named since it was added, which may have its flows; it has no entry for a route that was added
    by a release without this field.
    """

    version: int = 0
    routes_by_place: dict[str, Route] = {}
    policies_by_service: dict[str, ServicePolicy] = {}
    idle_limit_s: float = 60.0
    source: bytes = b""
    services_by_place: dict[str, tuple[str, ...]] = {}


class RoutingChange(msgspec.Struct):
    """The difference between the documents of ``base_version`` and ``version``.

    ``places`` lists the keys of all routes in order if the order does not follow from the other
    fields; otherwise it is empty.
    """

    version: int
    base_version: int
    changed_routes: list[Route]
    removed_places: list[str]
    changed_policies: list[ServicePolicy]
    removed_policies: list[str]
    idle_limit_s: float
    source: bytes
    places: list[str] = []


def find_document_error(document: RoutingDocument) -> str | None:
    """Return why a document is invalid and must not be put in force, or None."""
    if document.version <= 0:
        return f"version {document.version} is not a positive number"
    for route in document.routes_by_place.values():
        if not route.destinations:
            return f"route {route.place} has no destinations"
        for destination in route.destinations:
            if destination.service not in document.policies_by_service:
                return f"route {route.place} refers to the unknown service {destination.service}"
            if destination.weight < 0:
                return f"route {route.place} has the negative weight {destination.weight}"
        if not sum(destination.weight for destination in route.destinations):
            return f"route {route.place} has only destinations of weight 0"
    return None


def compute_change(old: RoutingDocument, new: RoutingDocument) -> RoutingChange:
    """Return the change that turns ``old`` into ``new``."""
    change = RoutingChange(
        new.version,
        old.version,
        [r for place, r in new.routes_by_place.items() if old.routes_by_place.get(place) != r],
        [place for place in old.routes_by_place if place not in new.routes_by_place],
        [
            policy
            for name, policy in new.policies_by_service.items()
            if old.policies_by_service.get(name) != policy
        ],
        [name for name in old.policies_by_service if name not in new.policies_by_service],
        new.idle_limit_s,
        new.source,
    )
    if list(apply_change(old, change).routes_by_place) != list(new.routes_by_place):
        change.places = list(new.routes_by_place)
    return change


def apply_change(old: RoutingDocument, change: RoutingChange) -> RoutingDocument:
    """Return the document after a change; ``old`` is not modified.

    The caller makes sure that ``old`` has the change's base version.
    """
    routes = dict(old.routes_by_place)
    for place in change.removed_places:
        routes.pop(place, None)
    routes.update({route.place: route for route in change.changed_routes})
    if change.places:
        routes = {place: routes[place] for place in change.places}
    policies = dict(old.policies_by_service)
    for name in change.removed_policies:
        policies.pop(name, None)
    policies.update({policy.name: policy for policy in change.changed_policies})
    return RoutingDocument(
        change.version,
        routes,
        policies,
        change.idle_limit_s,
        change.source,
        _extend_services(old, routes),
    )


def _extend_services(
    old: RoutingDocument, routes_by_place: dict[str, Route]
) -> dict[str, tuple[str, ...]]:
    """Return the services that each route has named since it was added."""
    extended = {}
    for place, route in routes_by_place.items():
        known = old.services_by_place.get(place)
        if known is None and place in old.routes_by_place:
            continue
        named = (destination.service for destination in route.destinations)
        extended[place] = tuple(dict.fromkeys([*(known or ()), *named]))
    return extended
