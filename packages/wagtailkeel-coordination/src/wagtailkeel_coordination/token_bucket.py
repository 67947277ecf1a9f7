"""Token bucket (Turner, 1986): limits how often something is done, and allows bursts."""

from __future__ import annotations

import msgspec


class TokenBucket(msgspec.Struct):
    """Tokens that are earned at ``rate`` per second, up to ``capacity``; times are in seconds."""

    rate: float
    capacity: float
    tokens: float
    refilled_at: float

    @classmethod
    def full(cls, rate: float, burst_s: float, now: float) -> TokenBucket:
        """Return a bucket that holds the tokens of ``burst_s`` seconds and is full."""
        return cls(rate, rate * burst_s, rate * burst_s, now)

    def try_consume(self, now: float, count: int = 1) -> bool:
        """Consume some tokens; return False, and consume none, if there are fewer."""
        earned = (now - self.refilled_at) * self.rate
        self.tokens = min(self.capacity, self.tokens + earned)
        self.refilled_at = now
        if self.tokens < count:
            return False
        self.tokens -= count
        return True
