"""Placement leases.

Source: leases (Gray and Cheriton, 1989). A lease starts at the time when its holder sent the
heartbeat that was answered, so it expires at the holder before it does at the grantor.
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
        """Extend the lease; a late or duplicate answer never shortens it."""
        self._expires_at = max(self._expires_at, heartbeat_sent_at + lease_s)

    def revoke(self) -> None:
        """Give up the lease, after control removed this incarnation from the members."""
        self._expires_at = float("-inf")

    def is_valid(self, now: float) -> bool:
        """Return whether the lease has not expired."""
        return now < self._expires_at
