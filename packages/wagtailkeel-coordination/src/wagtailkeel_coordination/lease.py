"""Placement leases.

Source: leases (Gray and Cheriton, 1989). A lease counts from the time at which the holder sent the
heartbeat that was answered, so that it runs out at the holder before it does at the grantor.
"""

from __future__ import annotations

LEASE_S = 2.0
LEASE_MARGIN_S = 0.5
REMOVAL_TIMEOUT_S = LEASE_S + LEASE_MARGIN_S


class PlacementLease:
    """An agent's right to place new flows of classes that are not idempotent."""

    __slots__ = ("_expires_at",)

    def __init__(self) -> None:
        self._expires_at = float("-inf")

    def renew(self, heartbeat_sent_at: float, lease_s: float) -> None:
        """Extend the lease; a late or doubled answer never shortens it."""
        self._expires_at = max(self._expires_at, heartbeat_sent_at + lease_s)

    def revoke(self) -> None:
        """Give the lease up, when control no longer counts this incarnation as a member."""
        self._expires_at = float("-inf")

    def is_valid(self, now: float) -> bool:
        """Tell whether the lease has not run out."""
        return now < self._expires_at
