"""Agents that have not answered searches.

Load pattern: agents were removed while they could not say that their servers had ended, and then
the flows of many servers are searched for. Control keeps such agents as former members for a
minute. They are asked each time, since a partition may have ended, but a searcher does not wait
long again for an agent that was silent a moment ago: the owners learn sooner that it is undecided.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

Address = tuple[str, int]

SILENCE_RETENTION_S = 10.0


class SilentAgents:
    """The time at which each agent last failed to answer; times are in seconds."""

    def __init__(self) -> None:
        self._silent_at_by_address: dict[Address, float] = {}

    def record_silence(self, addresses: Iterable[Address], now: float) -> None:
        """Record agents that have not answered in time."""
        for address in addresses:
            self._silent_at_by_address[address] = now

    def record_answer(self, address: Address) -> None:
        """Record an answer of an agent."""
        self._silent_at_by_address.pop(address, None)

    def is_silent(self, address: Address, now: float) -> bool:
        """Return whether an agent has recently failed to answer, and not answered since."""
        silent_at = self._silent_at_by_address.get(address)
        return silent_at is not None and now - silent_at < SILENCE_RETENTION_S
