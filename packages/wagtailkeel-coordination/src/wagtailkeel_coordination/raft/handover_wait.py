"""How long an instance that is about to stop waits for a successor of its vote."""

from __future__ import annotations

from wagtailkeel_protocol.raft_messages import VoteHandover

HANDOVER_TIMEOUT_S = 3.0
"""Leaves time, within the usual grace period of a stop, for the answers to calls in progress."""
LEADERLESS_TIMEOUT_S = 1.5
"""Longer than an election takes; without a quorum no vote can be handed over."""


class HandoverWait:
    """Decides from the leader's answers whether to go on waiting; times in seconds."""

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._led_at = now

    def is_over(self, state: VoteHandover, now: float) -> bool:
        """Return whether the instance may end, given the newest answer to its request."""
        if state in (VoteHandover.COMPLETE, VoteHandover.IMPOSSIBLE):
            return True
        if now - self._started_at > HANDOVER_TIMEOUT_S:
            return True
        if state is VoteHandover.PENDING:
            self._led_at = now
        return now - self._led_at > LEADERLESS_TIMEOUT_S
