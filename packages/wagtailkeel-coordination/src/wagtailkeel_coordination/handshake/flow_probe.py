"""Packets that probe whether the backend server has a flow that is unknown to its agent."""

from __future__ import annotations

import msgspec

Address = tuple[str, int]

BOUNCE_TIMEOUT_S = 0.06
"""A server returns a packet that it can't use within a few milliseconds."""


class FlowProbe(msgspec.Struct):
    """The agent that asked for the flow, and when the packet was delivered to the server."""

    requester: Address
    sent_at: float


class FlowProbes:
    """Pending probes by flow key."""

    def __init__(self) -> None:
        self._by_key: dict[bytes, FlowProbe] = {}

    def add(self, key: bytes, requester: Address, now: float) -> None:
        """Record that a packet of the flow was delivered to the server."""
        self._by_key[key] = FlowProbe(requester, now)

    def remove(self, key: bytes) -> Address | None:
        """End a probe; return its requester, or None if there was no probe."""
        probe = self._by_key.pop(key, None)
        return probe.requester if probe else None

    def pop_expired(self, now: float) -> list[tuple[bytes, Address]]:
        """End probes whose packet was not returned in time; return their keys and requesters."""
        expired = [k for k, p in self._by_key.items() if now - p.sent_at >= BOUNCE_TIMEOUT_S]
        return [(key, self._by_key.pop(key).requester) for key in expired]
