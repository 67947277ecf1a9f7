"""Balancers of one data centre stop one after the other.

Load pattern answered: operators restart all balancers in turn, faster than a thin instance comes
back. Where fewer than half of a data centre's balancers are ready, a fabric may use all of them
again, those that are down included. So one that is asked to stop serves on while another is away.
"""

from __future__ import annotations

Address = tuple[str, int]

AWAY_LIMIT_S = 5.0
"""A balancer that stays away for longer is not coming back soon."""
RETURN_SETTLE_S = 0.6
"""The fabric asks twice a second whether a balancer is ready."""


class StopTurns:
    """Planned stops of the other balancers, as they have told them; times in seconds."""

    def __init__(self, wait_limit_s: float) -> None:
        self._wait_limit_s = wait_limit_s
        self._away_until: dict[Address, float] = {}

    def on_stop(self, balancer: Address, now: float) -> None:
        """Another balancer has begun to stop."""
        self._away_until[balancer] = now + AWAY_LIMIT_S

    def on_ready(self, balancer: Address, now: float) -> None:
        """Another balancer has become ready."""
        if balancer in self._away_until:
            self._away_until[balancer] = min(self._away_until[balancer], now + RETURN_SETTLE_S)

    def may_stop(self, asked_at: float, now: float) -> bool:
        """Tell whether the own planned stop, asked for at ``asked_at``, may begin."""
        is_alone = all(until <= now for until in self._away_until.values())
        return is_alone or now - asked_at >= self._wait_limit_s
