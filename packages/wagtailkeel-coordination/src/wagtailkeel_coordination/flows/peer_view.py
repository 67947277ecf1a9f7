"""An agent's view of its peers' load, from gossip, and the choice of a peer for a flow."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_protocol.messages import Load

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from random import Random

PEER_REPORT_TIMEOUT_S = 3.0


class PeerLoad(msgspec.Struct):
    """A peer's last report, with the number of flows placed on the peer since then."""

    load: Load
    received_at: float
    placements_since_report: int = 0

    @property
    def headroom(self) -> int:
        """Estimated room for new flows."""
        return self.load.limit - self.load.in_flight - self.placements_since_report

    @property
    def held_ratio(self) -> float:
        """Held flows per unit of capacity."""
        return (self.load.held_flows + self.placements_since_report) / max(self.load.capacity, 1)


class PeerView:
    """Loads of the peers by server id; chooses among them."""

    def __init__(self, random: Random, is_placeable: Callable[[str], bool]) -> None:
        self._random = random
        self._is_placeable = is_placeable
        self._loads_by_id: dict[str, PeerLoad] = {}

    @property
    def loads_by_id(self) -> dict[str, PeerLoad]:
        """Last reports by server id, for diagnostic dumps."""
        return self._loads_by_id

    def update(self, server_id: str, load: Load, now: float) -> None:
        """Record a peer's load report."""
        self._loads_by_id[server_id] = PeerLoad(load, now)

    def retain(self, server_ids: Collection[str]) -> None:
        """Remove the reports of peers that are not in ``server_ids``."""
        for former_id in set(self._loads_by_id) - set(server_ids):
            del self._loads_by_id[former_id]

    def choose_for_request(self, excluded: Collection[str], now: float) -> str | None:
        """Return, of two random peers with headroom, the one with more; None if no peer has any.

        Source: the power of two choices (Mitzenmacher, 2001).
        """
        candidates = [
            (key, peer) for key, peer in self._candidates(excluded, now) if peer.headroom > 0
        ]
        return self._pick(candidates, lambda peer: -peer.headroom)

    def choose_for_held_flow(self, excluded: Collection[str], now: float) -> str | None:
        """Return, of two random peers with headroom, the one with fewer held flows.

        Held flows are compared per unit of capacity; None if no peer has headroom.
        """
        candidates = [
            (key, peer) for key, peer in self._candidates(excluded, now) if peer.headroom > 0
        ]
        return self._pick(candidates, lambda peer: peer.held_ratio)

    def has_at_most_mean_held_ratio(self, own: Load, now: float) -> bool:
        """Return whether the local backend server has no more held flows than its peers' mean.

        Held flows are compared per unit of capacity: with the total held flows of all peers that
        have headroom, divided by their total capacity. Return True if no peer has headroom.
        """
        peers = [peer for _, peer in self._candidates((), now) if peer.headroom > 0]
        capacity = sum(max(peer.load.capacity, 1) for peer in peers)
        if not capacity:
            return True
        held = sum(peer.load.held_flows + peer.placements_since_report for peer in peers)
        return own.held_flows * capacity <= held * max(own.capacity, 1)

    def count_placement(self, server_id: str) -> None:
        """Count a placement against the peer's headroom until its next report."""
        peer = self._loads_by_id.get(server_id)
        if peer is not None:
            peer.placements_since_report += 1

    def _candidates(self, excluded: Collection[str], now: float) -> list[tuple[str, PeerLoad]]:
        return [
            (key, peer)
            for key, peer in self._loads_by_id.items()
            if key not in excluded
            and now - peer.received_at <= PEER_REPORT_TIMEOUT_S
            and self._is_placeable(key)
        ]

    def _pick(
        self, candidates: list[tuple[str, PeerLoad]], cost: Callable[[PeerLoad], float]
    ) -> str | None:
        if not candidates:
            return None
        sampled = self._random.sample(candidates, min(2, len(candidates)))
        return min(sampled, key=lambda pair: cost(pair[1]))[0]
