"""Packets handed to the own server to learn whether it has a flow that the agent forgot."""

from __future__ import annotations

import msgspec

Address = tuple[str, int]

BOUNCE_TIMEOUT_S = 0.06
"""A server returns what it can't use within a few milliseconds."""


class FlowProbe(msgspec.Struct):
    """Who asked, and when the packet was delivered."""

    requester: Address
    sent_at: float


class FlowProbes:
    """Probes by flow key."""

    def __init__(self) -> None:
        self._by_key: dict[bytes, FlowProbe] = {}

    def add(self, key: bytes, requester: Address, now: float) -> None:
        """Note that the server was handed a packet of the flow."""
        self._by_key[key] = FlowProbe(requester, now)

    def remove(self, key: bytes) -> Address | None:
        """End a probe; return who asked, or None where there was none."""
        probe = self._by_key.pop(key, None)
        return probe.requester if probe else None

    def pop_expired(self, now: float) -> list[tuple[bytes, Address]]:
        """End the probes whose packet was not returned in time; return their keys and askers."""
        expired = [k for k, p in self._by_key.items() if now - p.sent_at >= BOUNCE_TIMEOUT_S]
        return [(key, self._by_key.pop(key).requester) for key in expired]
