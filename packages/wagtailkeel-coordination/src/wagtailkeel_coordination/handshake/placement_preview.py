"""Determines where a directory owner would place an opening, without placing it.

It uses the functions that place openings. The loads are those that the owner knows now: the owner
of a real opening would first request the loads of some agents if it knows too few recent ones.
The priority limit is not applied, nor what the agents decide: an agent may still return an opening.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination.handshake.server_choice import choose_shortest_queue
from wagtailkeel_protocol.where_messages import KnownServer
from wagtailkeel_protocol.where_messages import PlacementOutcome
from wagtailkeel_protocol.where_messages import PlacementPreview

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from random import Random

    from wagtailkeel_coordination.handshake.server_choice import PeerLoad
    from wagtailkeel_coordination.handshake.server_choice import PeerLoads
    from wagtailkeel_coordination.handshake.server_choice import ServerChoice

Address = tuple[str, int]

# States of a server in the reply.
ACCEPTS = "accepts"
HAS_REJECTED = "has_rejected"
CLOSED = "closed"
LEAVING = "agent_leaving"
OUTDATED = "load_outdated"

# Reasons why an opening is not placed.
NO_RECENT_LOAD = "no_recent_load"
NO_SERVER_ACCEPTS = "no_server_accepts"


def preview_placement(
    loads: PeerLoads,
    members: Collection[Address],
    data_centre: str,
    choose: ServerChoice,
    expected_wait_ms: Callable[[PeerLoad], float],
    random: Random,
    max_wait_s: float,
    max_age_s: float,
    now: float,
) -> PlacementPreview:
    """Return what an owner would do with an opening for a service with the given members.

    ``choose`` decides by ``expected_wait_ms``. An opening may wait for ``max_wait_s`` seconds.
    Loads older than ``max_age_s`` are not used.
    """
    candidates = loads.find_candidates(members, now, max_age_s)
    queues = loads.find_queues(members, now, max_age_s)
    order = _rank(candidates, data_centre, choose, random)
    servers = [
        _describe(peer, expected_wait_ms(peer), max_age_s, now)
        for peer in _sort_known(loads, members, order)
    ]
    if order:
        return _build(PlacementOutcome.PLACED, order[0].address, "", members, servers)
    if not any(loads.is_available(address, now, max_age_s) for address in members):
        return _build(PlacementOutcome.LOADS_REQUESTED, None, NO_RECENT_LOAD, members, servers)
    queue = choose_shortest_queue(queues, max_wait_s * 1_000, (), random)
    if queue is not None:
        return _build(PlacementOutcome.QUEUED, queue.address, NO_SERVER_ACCEPTS, members, servers)
    return _build(PlacementOutcome.REFUSED, None, NO_SERVER_ACCEPTS, members, servers)


def _rank(
    candidates: list[PeerLoad], data_centre: str, choose: ServerChoice, random: Random
) -> list[PeerLoad]:
    """Return the candidates in the order in which they would be tried."""
    ranked: list[PeerLoad] = []
    tried: set[Address] = set()
    while (peer := choose(candidates, data_centre, tried, random)) is not None:
        ranked.append(peer)
        tried.add(peer.address)
    return ranked


def _sort_known(
    loads: PeerLoads, members: Collection[Address], order: list[PeerLoad]
) -> list[PeerLoad]:
    ranked = {peer.address for peer in order}
    others = [loads.by_address[a] for a in sorted(members) if a in loads.by_address]
    return order + [peer for peer in others if peer.address not in ranked]


def _describe(peer: PeerLoad, expected_ms: float, max_age_s: float, now: float) -> KnownServer:
    load = peer.load
    return KnownServer(
        peer.address[0],
        peer.data_centre,
        _find_state(peer, max_age_s, now),
        round((now - peer.received_at) * 1_000, 1),
        round(expected_ms, 1),
        round(load.room_in_ms, 1),
        load.in_flight,
        load.is_cold,
        load.is_outlier,
    )


def _find_state(peer: PeerLoad, max_age_s: float, now: float) -> str:
    if now - peer.received_at > max_age_s:
        return OUTDATED
    if peer.load.is_leaving:
        return LEAVING
    if peer.has_rejected:
        return HAS_REJECTED
    return ACCEPTS if peer.load.accepts else CLOSED


def _build(
    outcome: PlacementOutcome,
    address: Address | None,
    reason: str,
    members: Collection[Address],
    servers: list[KnownServer],
) -> PlacementPreview:
    return PlacementPreview(outcome, address[0] if address else "", reason, len(members), servers)
