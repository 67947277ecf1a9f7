"""Makes the balancers of one data centre stop one after the other.

Operators may restart all balancers in turn, faster than a restarted instance comes
back. Where fewer than half of a data centre's balancers are ready, a fabric may use all of them
again, including those down. So a balancer asked to stop keeps serving while another is down.
"""

from __future__ import annotations

Address = tuple[str, int]

RESTART_TIMEOUT_S = 5.0
"""A balancer that is down for longer is not expected back soon."""
READY_SETTLE_S = 0.6
"""The fabric asks twice a second whether a balancer is ready."""


class StopCoordinator:
    """Tracks the planned stops that other balancers announce; times are in seconds."""

    def __init__(self, wait_limit_s: float) -> None:
        self._wait_limit_s = wait_limit_s
        self._stopped_until: dict[Address, float] = {}

    def on_stop(self, balancer: Address, now: float) -> None:
        """Another balancer has begun to stop."""
        self._stopped_until[balancer] = now + RESTART_TIMEOUT_S

    def on_ready(self, balancer: Address, now: float) -> None:
        """Another balancer has become ready."""
        if balancer in self._stopped_until:
            self._stopped_until[balancer] = min(self._stopped_until[balancer], now + READY_SETTLE_S)

    def may_stop(self, requested_at: float, now: float) -> bool:
        """Return whether this balancer's planned stop, requested at ``requested_at``, may begin."""
        are_others_ready = all(until <= now for until in self._stopped_until.values())
        return are_others_ready or now - requested_at >= self._wait_limit_s
