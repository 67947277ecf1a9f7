"""Chooses the server of a new flow by loads that are up to a quarter of a second old.

Load pattern: many owners, each of which knows the loads of a few servers that also get openings of
all other owners, and requests that are shorter than the age of the loads. An owner that adds only
its own openings to a reported load takes an old load for a current one, so all owners whose report
shows an idle server choose it. Here a load counts for less the older it is: all openings that the
server has got since, estimated from the counts in earlier reports, are added to it. Requests that
have ended since are not subtracted. That would make old loads look average, and owners would prefer
them to recent ones of busy servers and gather at the same servers again; see
``docs/design/aged-loads.md``.

Sources: interpretation of loads by their age and the arrival rate (Dahlin, IEEE TPDS 2000;
Mitzenmacher, "How Useful Is Old Information?", IEEE TPDS 2000).
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_coordination.handshake.server_choice import HELD_FLOW_WEIGHT
from wagtailkeel_coordination.handshake.server_choice import find_least
from wagtailkeel_coordination.handshake.server_choice import work_time_ms

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable
    from random import Random

    from wagtailkeel_coordination.handshake.crossing_cost import CrossingCost
    from wagtailkeel_coordination.handshake.server_choice import PeerLoad
    from wagtailkeel_protocol.messages import ServerLoad

Address = tuple[str, int]

MIN_RATE_PERIOD_S = 0.05
"""Over a shorter time, the count of openings says little about their rate."""
RATE_SMOOTHING_S = 1.0
"""The time constant of the exponential average of a server's opening rate."""


class _OpeningCount(msgspec.Struct):
    """A server's count of openings at a time, and their smoothed rate per second until then."""

    counted_at: float
    opened_flows: int
    rate: float = 0.0


class OpeningRates:
    """The rates of all openings at servers, from the counts in their agents' reports."""

    def __init__(self) -> None:
        self._by_address: dict[Address, _OpeningCount] = {}

    def record(self, address: Address, opened_flows: int, now: float) -> None:
        """Record a reported count; it starts anew if the agent has restarted."""
        last = self._by_address.get(address)
        if last is None or opened_flows < last.opened_flows:
            self._by_address[address] = _OpeningCount(now, opened_flows)
            return
        period_s = now - last.counted_at
        if period_s < MIN_RATE_PERIOD_S:
            return
        rate = (opened_flows - last.opened_flows) / period_s
        # The first rate is taken as it is: an average with 0 would be too low for a second.
        gain = -math.expm1(-period_s / RATE_SMOOTHING_S) if last.rate else 1.0
        last.rate += gain * (rate - last.rate)
        last.counted_at = now
        last.opened_flows = opened_flows

    def find(self, address: Address) -> float:
        """Return the rate at a server per second; 0 if it is unknown."""
        count = self._by_address.get(address)
        return count.rate if count is not None else 0.0

    def retain(self, addresses: Collection[Address]) -> None:
        """Remove servers whose agents are not among the addresses."""
        for address in [a for a in self._by_address if a not in addresses]:
            del self._by_address[address]


class AgedLoadChoice:
    """Chooses the candidate with the least expected wait; ``get_now`` returns the current time."""

    def __init__(self, crossing: CrossingCost, get_now: Callable[[], float]) -> None:
        self.rates = OpeningRates()
        self.crossing = crossing
        self._get_now = get_now

    def __call__(
        self,
        candidates: Iterable[PeerLoad],
        data_centre: str,
        tried: Collection[Address],
        random: Random,
    ) -> PeerLoad | None:
        """Return the best candidate that was not tried, ties broken at random, or None."""
        return find_least(
            candidates, tried, random, lambda peer: self.expected_wait_ms(peer, data_centre)
        )

    def expected_wait_ms(self, peer: PeerLoad, data_centre: str) -> float:
        """Return the expected time of a new flow's first request, by the age of the load."""
        load = peer.load
        age_s = self._get_now() - peer.received_at
        work = estimate_work(load, peer.openings_since_report, age_s, self.rates.find(peer.address))
        wait_ms = work_time_ms(load, work)
        if peer.data_centre == data_centre:
            return wait_ms
        return wait_ms + self.crossing.cost_ms(peer.data_centre)


def estimate_work(load: ServerLoad, own_openings: int, age_s: float, rate: float) -> float:
    """Return the requests at a server, including a new one, from a load of ``age_s`` seconds.

    ``own_openings`` is the number that this owner has sent since, ``rate`` that of all owners per
    second. The owner's openings are in both, so it spreads them over several servers before a new
    report shows them.
    """
    since = own_openings + rate * max(0.0, age_s)
    return load.in_flight + since + HELD_FLOW_WEIGHT * load.held_flows + 1.0
