"""Packets that probe whether the backend server has a flow that is unknown to its agent."""

from __future__ import annotations

import msgspec

Address = tuple[str, int]

BOUNCE_TIMEOUT_S = 0.06
"""A server returns a packet that it can't use within a few milliseconds."""


class FlowProbe(msgspec.Struct):
    """A packet that was delivered to the server, and the agent that sent it.

    If it ``is_delivery``, that agent took the server for the flow's own and gets the packet back;
    otherwise it only asked for the flow. If it ``is_close``, it only closes the flow; the server
    acknowledges it also if the flow has ended there.
    """

    requester: Address
    sent_at: float
    is_delivery: bool
    is_close: bool


class FlowProbes:
    """Pending probes by flow key."""

    def __init__(self) -> None:
        self._by_key: dict[bytes, FlowProbe] = {}

    def add(self, key: bytes, probe: FlowProbe) -> None:
        """Record that a packet of the flow was delivered to the server."""
        self._by_key[key] = probe

    def is_close(self, key: bytes) -> bool:
        """Return whether the pending probe of a flow only closes it."""
        probe = self._by_key.get(key)
        return probe is not None and probe.is_close

    def remove(self, key: bytes) -> FlowProbe | None:
        """End and return a probe; return None if there was none."""
        return self._by_key.pop(key, None)

    def pop_expired(self, now: float) -> list[tuple[bytes, Address]]:
        """End probes whose packet was not returned in time; return their keys and requesters."""
        expired = [k for k, p in self._by_key.items() if now - p.sent_at >= BOUNCE_TIMEOUT_S]
        return [(key, self._by_key.pop(key).requester) for key in expired]
