"""Recovery of flows that nobody remembers, by asking the servers.

A packet from the middle of an unknown TCP connection is delivered to the own server: an answer
other than RST proves that the connection lives there. An RST is swallowed and the next candidate
is asked; the caller gets an RST only when all have said no.
"""

from __future__ import annotations

import msgspec

from wagtailkeel_protocol.gue import DataFrame

RECOVERY_LIMIT_S = 5.0


class PendingRecovery(msgspec.Struct):
    """A flow whose server is being asked; ``candidates`` are the agents to ask next."""

    frame: DataFrame
    started_at: float
    candidates: list[str]
    asked_by: str = ""


class RecoveryBook:
    """Recoveries in progress by flow key."""

    def __init__(self) -> None:
        self._pending_by_key: dict[bytes, PendingRecovery] = {}

    def __len__(self) -> int:
        return len(self._pending_by_key)

    def start(self, key: bytes, recovery: PendingRecovery) -> None:
        """Record a recovery; the newest packet is the one that is passed on."""
        self._pending_by_key[key] = recovery

    def find(self, key: bytes) -> PendingRecovery | None:
        """Return the recovery of a flow, if one is in progress."""
        return self._pending_by_key.get(key)

    def finish(self, key: bytes) -> PendingRecovery | None:
        """End a recovery and return it."""
        return self._pending_by_key.pop(key, None)

    def expire(self, now: float) -> None:
        """Forget recoveries without an answer; the caller's next packet starts another."""
        for key, pending in list(self._pending_by_key.items()):
            if now - pending.started_at > RECOVERY_LIMIT_S:
                del self._pending_by_key[key]
