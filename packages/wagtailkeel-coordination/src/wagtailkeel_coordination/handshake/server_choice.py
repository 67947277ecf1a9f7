"""Chooses the server of a new flow among those whose load is known.

The servers of a service may differ in speed and have few slots each, so random placement would
make some servers queue requests while others are idle. In a burst several openings are placed by
one report of a load, so the openings sent to an agent since its last report count as load too.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

import msgspec

from wagtailkeel_coordination.handshake.outlier_detector import are_most_outliers
from wagtailkeel_protocol.messages import ServerLoad

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable
    from random import Random

Address = tuple[str, int]

MAX_LOAD_AGE_S = 1.2
"""Agents report to the balancers of their data centre twice a second."""
REMOTE_PENALTY_MS = 3.0
"""The extra wait counted for a flow into another data centre, since its packets travel between
the two data centres twice.
"""
HELD_FLOW_WEIGHT = 0.25
"""The fraction of a request that an open flow counts as, on average."""
QUEUED_OPENING_MS = 20.0
"""The extra wait counted for each opening queued at an agent since its last report."""
COLD_SERVICE_TIME_FACTOR = 2.0
"""A cold server is expected to need this many times its measured service time."""
DEFAULT_SERVICE_MS = 20.0
"""The service time of a server that has not reported one yet."""


class PeerLoad(msgspec.Struct):
    """The last load report of an agent and the openings sent to the agent since.

    The agent has rejected openings of routes with targets up to ``busy_target_s`` as busy since.
    """

    address: Address
    data_centre: str
    load: ServerLoad
    received_at: float
    openings_since_report: int = 0
    has_rejected: bool = False
    busy_target_s: float = 0.0

    @property
    def in_flight(self) -> int:
        """The reported requests in flight and the openings sent since."""
        return self.load.in_flight + self.openings_since_report


class PeerLoads:
    """Load reports by address of the agent that sent them.

    With ``avoids_outliers``, servers that are reported as outliers get no openings.
    """

    def __init__(self, *, avoids_outliers: bool = False) -> None:
        self.by_address: dict[Address, PeerLoad] = {}
        self._avoids_outliers = avoids_outliers

    def on_load(self, address: Address, data_centre: str, load: ServerLoad, now: float) -> None:
        """Record a load report."""
        self.by_address[address] = PeerLoad(address, data_centre, load, now)

    def count_opening(self, address: Address) -> None:
        """Count an opening that the agent's last report can't include."""
        peer = self.by_address.get(address)
        if peer is not None:
            peer.openings_since_report += 1

    def record_rejection(self, address: Address) -> None:
        """Exclude an agent from placement until its next report."""
        peer = self.by_address.get(address)
        if peer is not None:
            peer.has_rejected = True

    def record_full(self, address: Address, now: float) -> None:
        """Record that all slots of an agent's server are taken now."""
        peer = self.by_address.get(address)
        if peer is not None:
            in_flight = max(peer.load.in_flight, peer.load.slots)
            peer.load = msgspec.structs.replace(peer.load, in_flight=in_flight)
            peer.openings_since_report = 0
            peer.received_at = now

    def record_busy(self, address: Address, target_s: float) -> None:
        """Record that an agent's server was too busy for a route with this target."""
        peer = self.by_address.get(address)
        if peer is not None:
            peer.busy_target_s = max(peer.busy_target_s, target_s)

    def remove(self, address: Address) -> None:
        """Remove an agent whose load is unknown, since it did not answer a request."""
        self.by_address.pop(address, None)

    def retain(self, addresses: Collection[Address]) -> None:
        """Remove agents that are not among the addresses."""
        for address in [a for a in self.by_address if a not in addresses]:
            del self.by_address[address]

    def is_available(self, address: Address, now: float, max_age_s: float = MAX_LOAD_AGE_S) -> bool:
        """Return whether an agent has reported recently and is not about to stop."""
        peer = self.by_address.get(address)
        if peer is None or peer.load.is_leaving:
            return False
        return now - peer.received_at <= max_age_s

    def is_fresh(self, address: Address, now: float, max_age_s: float) -> bool:
        """Return whether an agent's last report is at most ``max_age_s`` old."""
        peer = self.by_address.get(address)
        return peer is not None and now - peer.received_at <= max_age_s

    def find_candidates(
        self, addresses: Iterable[Address], now: float, max_age_s: float = MAX_LOAD_AGE_S
    ) -> list[PeerLoad]:
        """Return the recent loads of agents that accept openings and have rejected none since."""
        accepting = [p for p in self._find_recent(addresses, now, max_age_s) if p.load.accepts]
        if self._avoids_outliers:
            accepting = self._leave_out_outliers(accepting, now)
        return [peer for peer in accepting if not peer.has_rejected]

    def _leave_out_outliers(self, peers: list[PeerLoad], now: float) -> list[PeerLoad]:
        """Return the peers whose servers are not outliers, or all if most of the service are."""
        trusted = [peer for peer in peers if not peer.load.is_outlier]
        if not trusted or len(trusted) == len(peers):
            return peers
        known = self._find_accepting(peers[0].load.service_tag, now)
        outliers = sum(peer.load.is_outlier for peer in known)
        return peers if are_most_outliers(outliers, len(known)) else trusted

    def find_queues(
        self, addresses: Iterable[Address], now: float, max_age_s: float
    ) -> list[PeerLoad]:
        """Return the recent loads of agents at which openings can wait for their server."""
        return [
            peer
            for peer in self._find_recent(addresses, now, max_age_s)
            if peer.load.room_in_ms > 0
        ]

    def are_most_outliers(self, own_address: Address, service_tag: int, now: float) -> bool:
        """Return whether at least half of a service's known servers are outliers.

        The server of the agent itself counts as one.
        """
        known = self._find_accepting(service_tag, now)
        others = [peer.load for peer in known if peer.address != own_address]
        return are_most_outliers(1 + sum(load.is_outlier for load in others), 1 + len(others))

    def _find_accepting(self, service_tag: int, now: float) -> list[PeerLoad]:
        """Return the recent loads of a service's agents that accept openings."""
        recent = self.find_recent_of_service(service_tag, now, MAX_LOAD_AGE_S)
        return [peer for peer in recent if peer.load.accepts]

    def find_recent_of_service(self, tag: int, now: float, max_age_s: float) -> list[PeerLoad]:
        """Return the recent loads of the agents of the service with a tag."""
        recent = self._find_recent(self.by_address, now, max_age_s)
        return [peer for peer in recent if peer.load.service_tag == tag]

    def _find_recent(
        self, addresses: Iterable[Address], now: float, max_age_s: float
    ) -> list[PeerLoad]:
        known = (self.by_address.get(address) for address in addresses)
        return [
            peer
            for peer in known
            if peer is not None and not peer.load.is_leaving and now - peer.received_at <= max_age_s
        ]

    def has_unreported_server(self, addresses: Iterable[Address], now: float) -> bool:
        """Return whether an agent's server may be ready without the agent knowing it yet."""
        known = (self.by_address.get(address) for address in addresses)
        return any(
            peer.load.is_unheard and now - peer.received_at <= MAX_LOAD_AGE_S
            for peer in known
            if peer is not None
        )


class ServerChoice(Protocol):
    """A function that chooses a server for a new flow."""

    def __call__(
        self,
        candidates: Iterable[PeerLoad],
        data_centre: str,
        tried: Collection[Address],
        random: Random,
    ) -> PeerLoad | None:
        """Return a candidate that was not tried, or None if all were."""


def expected_wait_ms(peer: PeerLoad, data_centre: str) -> float:
    """Return the expected time of a new flow's first request; held flows add parts of a request."""
    load = peer.load
    work = peer.in_flight + HELD_FLOW_WEIGHT * load.held_flows + 1.0
    wait_ms = work_time_ms(load, work)
    return wait_ms if peer.data_centre == data_centre else wait_ms + REMOTE_PENALTY_MS


def work_time_ms(load: ServerLoad, work: float) -> float:
    """Return the time that all slots of a server together need for a number of requests."""
    service_ms = load.service_ms or DEFAULT_SERVICE_MS
    if load.is_cold:
        service_ms *= COLD_SERVICE_TIME_FACTOR
    return service_ms * work / max(1, load.slots)


def find_least(
    peers: Iterable[PeerLoad],
    tried: Collection[Address],
    random: Random,
    wait_ms: Callable[[PeerLoad], float],
) -> PeerLoad | None:
    """Return the untried agent with the least ``wait_ms``, ties broken at random, or None."""
    scored = [(wait_ms(peer), random.random(), peer) for peer in peers if peer.address not in tried]
    return min(scored, key=lambda entry: entry[:2])[2] if scored else None


def choose_server(
    candidates: Iterable[PeerLoad], data_centre: str, tried: Collection[Address], random: Random
) -> PeerLoad | None:
    """Return the untried candidate with the least expected wait, ties broken at random, or None."""
    return find_least(candidates, tried, random, lambda peer: expected_wait_ms(peer, data_centre))


def choose_shortest_queue(
    queues: Iterable[PeerLoad], wait_limit_ms: float, tried: Collection[Address], random: Random
) -> PeerLoad | None:
    """Return the untried agent that will deliver a queued opening first, ties broken at random.

    Return None if no agent will deliver it within ``wait_limit_ms``.
    """
    best = find_least(queues, tried, random, _queue_wait_ms)
    return best if best is not None and _queue_wait_ms(best) <= wait_limit_ms else None


def _queue_wait_ms(peer: PeerLoad) -> float:
    return peer.load.room_in_ms + QUEUED_OPENING_MS * peer.openings_since_report
