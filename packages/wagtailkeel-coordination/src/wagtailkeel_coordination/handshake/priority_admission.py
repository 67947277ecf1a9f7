"""Refuses openings of low priority while their service is overloaded.

Load pattern: callers send more than the servers of a service can handle for seconds, all of them
or those of one route or data centre. Every opening then asks many agents that are all busy, and
requests of high priority wait behind those of low priority, which their callers repeat as soon as
they are refused.

An agent that sees openings wait for its warm server too long, without interruption, lowers the
limit that it reports with its load. Directory owners refuse openings above the median of these
limits as long as no load that they know shows room. Detection is that of CoDel (Nichols and
Jacobson, 2012), the steps and their report with the load are those of DAGOR (Zhou et al., SoCC
2018).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination.handshake import queue_limit
from wagtailkeel_protocol.messages import ANY_PRIORITY

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from wagtailkeel_coordination.handshake.server_choice import PeerLoad

OVERLOAD_WAIT_S = 0.03
"""Short bursts and single long requests make openings wait too, but not for OVERLOAD_TIME_S."""
OVERLOAD_TIME_S = 0.1
"""The limit falls by a step each time that the wait was longer than OVERLOAD_WAIT_S for so long."""
RAISE_INTERVAL_S = 0.02
"""The limit rises faster than it falls, since idle servers are worse than short queues."""
LIMIT_AGE_S = 1.0
"""The age up to which a load counts as fresh."""
MIN_LIMITS = 3
"""With fewer fresh loads nothing is refused, since one wrong limit would decide."""
ROOM_FRACTION = 0.25
"""A wait above this fraction of the longest one that agents admit is left to higher priorities."""


class PriorityLimit:
    """The limit of one agent, derived from how long openings have to wait for its server.

    ``value`` is the highest priority number that should be admitted, ``ANY_PRIORITY`` without a
    limit. Openings of the highest priority of the service are never above it.
    """

    def __init__(self) -> None:
        self.value = ANY_PRIORITY
        self._limits: list[int] = [ANY_PRIORITY]
        self._busy_since: float | None = None
        self._changed_at = float("-inf")

    def set_priorities(self, priorities: Iterable[int]) -> None:
        """Set the priorities of the service's routes, which the limit steps through."""
        self._limits = [*sorted(set(priorities))[:-1], ANY_PRIORITY]
        if self.value not in self._limits:
            self.value = ANY_PRIORITY

    def on_wait(self, wait_s: float, now: float) -> bool:
        """Record how long an opening has to wait at ``now``; return whether the limit changed."""
        if wait_s <= OVERLOAD_WAIT_S:
            self._busy_since = None
            return now - self._changed_at >= RAISE_INTERVAL_S and self._step(1, now)
        if self._busy_since is None:
            self._busy_since = now
        overloaded_since = max(self._busy_since, self._changed_at)
        return now - overloaded_since >= OVERLOAD_TIME_S and self._step(-1, now)

    def lift(self) -> bool:
        """Admit every priority, since the server is or was cold; return whether that is new."""
        has_changed = self.value != ANY_PRIORITY
        self.value = ANY_PRIORITY
        self._busy_since = None
        return has_changed

    def _step(self, direction: int, now: float) -> bool:
        position = self._limits.index(self.value) + direction
        if not 0 <= position < len(self._limits):
            return False
        self.value = self._limits[position]
        self._changed_at = now
        return True


def has_room(peer: PeerLoad, target_s: float) -> bool:
    """Return whether an agent would admit an opening of a route with this target, by its load."""
    load = peer.load
    if not load.accepts or peer.has_rejected or 0 < target_s <= peer.busy_target_s:
        return False
    return queue_limit.has_room(peer.in_flight, load.slots, load.service_ms / 1_000, target_s)


def is_surely_full(peer: PeerLoad, target_s: float, now: float) -> bool:
    """Return whether an agent has no room, by its load, and its server no idle slot yet.

    A cold server or a queue of openings may have room at any time.
    """
    if peer.load.is_cold or not peer.load.accepts:
        return False
    return not has_room(peer, target_s) and _remaining_wait_s(peer, now) > 0.0


def exceeds_limit(priority: int, peers: Collection[PeerLoad], target_s: float, now: float) -> bool:
    """Return whether an opening should be refused by the fresh loads of its service.

    The median keeps one overloaded server, or one wrong figure, from refusing openings.
    """
    if len(peers) < MIN_LIMITS:
        return False
    # Imported here since it would delay the start of each agent, and only overload needs it.
    from statistics import median_high

    if priority <= median_high(peer.load.priority_limit for peer in peers):
        return False
    return not any(_may_have_room(peer, target_s, now) for peer in peers)


def _may_have_room(peer: PeerLoad, target_s: float, now: float) -> bool:
    """Return whether an agent may have room for more than the highest priority by now."""
    if peer.load.is_unheard or peer.load.is_cold:
        return True
    if not peer.load.accepts or peer.has_rejected:
        return False
    longest_wait_s = 0.0
    if has_room(peer, target_s):
        longest_wait_s = ROOM_FRACTION * queue_limit.MAX_WAIT_FRACTION * target_s
    return _remaining_wait_s(peer, now) <= longest_wait_s


def _remaining_wait_s(peer: PeerLoad, now: float) -> float:
    """Return the wait by an agent's load less the age of the load; not above 0 if a slot is idle.

    Without the age, owners that refuse openings by old loads would leave servers idle.
    """
    load = peer.load
    wait_s = queue_limit.expected_wait_s(peer.in_flight, load.slots, load.service_ms / 1_000)
    return wait_s - (now - peer.received_at)
