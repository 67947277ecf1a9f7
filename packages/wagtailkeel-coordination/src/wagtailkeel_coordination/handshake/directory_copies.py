"""Keeps a copy of each directory entry at the agent that would own it next.

Load pattern: a release or a rolling restart, in which agents stop and start one after the other and
the flows of each get another owner twice. An owner without an entry queries every agent that may
have the flow, so the messages would grow with the flows times the agents. With copies, the
successor of a stopped owner has the entries already, and an agent that starts asks the agent that
has owned its entries meanwhile.

Both are the same agent: of the others in the data centre, the one with the highest weight in
rendezvous hashing. A copy may be outdated or missing; the owner then queries every agent.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from wagtailkeel_coordination.handshake.owner_map import OwnerMap
from wagtailkeel_coordination.handshake.owner_map import bucket_of
from wagtailkeel_protocol.messages import FlowLocation
from wagtailkeel_protocol.messages import FlowLocations
from wagtailkeel_protocol.messages import LocationRequest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wagtailkeel_coordination.handshake.flow_pointers import FlowPointer
    from wagtailkeel_coordination.handshake.flow_pointers import FlowPointers
    from wagtailkeel_coordination.handshake.router_context import RouterContext

Address = tuple[str, int]

COPY_INTERVAL_S = 0.5
MIN_FLOW_AGE_S = 1.0
"""Flows of a single request have ended by then, so they cost no copy."""
REFRESH_INTERVAL_S = 5.0
"""Copies of flows in use are sent again this often, since unused entries are removed."""
MAX_LOCATIONS = 40
"""The number of entries that fit into a datagram of 1,400 bytes."""


class DirectoryCopies:
    """Exchanges copies of entries with the other agents of the data centre."""

    def __init__(self, context: RouterContext, pointers: FlowPointers) -> None:
        self._context = context
        self._pointers = pointers
        self._next_owners = OwnerMap()
        self._copied_at = float("-inf")

    def set_agents(self, agents: Iterable[Address]) -> None:
        """Set the other agents of the data centre."""
        self._next_owners.update(agents)

    def request(self, key: bytes) -> bool:
        """Ask the agent that may have owned a flow before; return False if there is none."""
        address = self._next_owners.owner_of(key)
        if address is None:
            return False
        self._context.counters["location_requests"] += 1
        self._context.outbox.send_message(address, LocationRequest(key))
        return True

    def answer(self, key: bytes, target: Address | None, source: Address) -> None:
        """Send the agent that has a flow, and the entries that the requester will ask for next.

        ``target`` is None if this agent does not know the flow.
        """
        entries = dict(self._pointers.find_in_bucket(bucket_of(key), MAX_LOCATIONS - 1))
        if target is not None:
            entries[key] = target
        locations = [FlowLocation(k, *address) for k, address in entries.items()]
        self._context.outbox.send_message(source, FlowLocations(locations, key))

    def tick(self) -> None:
        """Send the copies that are due."""
        now = self._context.now
        if now - self._copied_at < COPY_INTERVAL_S:
            return
        self._copied_at = now
        self._send(key for key, p in self._pointers.by_key.items() if _is_copy_due(p, now))

    def send_all(self) -> None:
        """Send copies of all entries that this agent owns, before it stops."""
        self._send(key for key, p in self._pointers.by_key.items() if not p.is_copy)

    def _send(self, keys: Iterable[bytes]) -> None:
        locations_by_address: defaultdict[Address, list[FlowLocation]] = defaultdict(list)
        for key in keys:
            address = self._next_owners.owner_of(key)
            if address is None:
                return
            pointer = self._pointers.by_key[key]
            pointer.copied_at = self._context.now
            locations_by_address[address].append(FlowLocation(key, *pointer.target))
        for address, locations in locations_by_address.items():
            for start in range(0, len(locations), MAX_LOCATIONS):
                message = FlowLocations(locations[start : start + MAX_LOCATIONS])
                self._context.counters["copies_sent"] += 1
                self._context.outbox.send_message(address, message)


def _is_copy_due(pointer: FlowPointer, now: float) -> bool:
    """Return whether a flow is in use and its copy is missing or has not been refreshed lately."""
    if pointer.is_copy or pointer.is_closing or now - pointer.created_at < MIN_FLOW_AGE_S:
        return False
    is_used_since = pointer.last_seen_at > pointer.copied_at
    return is_used_since and now - pointer.copied_at >= REFRESH_INTERVAL_S
