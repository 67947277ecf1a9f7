"""Faults that a simulated link injects into its traffic."""

from __future__ import annotations

from random import Random

import msgspec


class LinkRule(msgspec.Struct):
    """Faults of one link; probabilities are between 0 and 1, delays in milliseconds.

    ``jitter_ms`` is the maximum random delay that is added to ``delay_ms``. With the probability
    ``reorder`` a copy is delayed by another 1 to 20 ms, so that later packets can overtake it.
    """

    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    is_cut: bool = False

    def pick_delays_s(self, random: Random) -> list[float]:
        """Return the delay in seconds of each copy to deliver; empty if the packet is lost."""
        if self.is_cut or (self.loss and random.random() < self.loss):
            return []
        copy_count = 1 + (self.duplicate > 0 and random.random() < self.duplicate)
        return [self._pick_delay_s(random) for _ in range(copy_count)]

    def _pick_delay_s(self, random: Random) -> float:
        delay_ms = self.delay_ms + (random.uniform(0, self.jitter_ms) if self.jitter_ms else 0.0)
        if self.reorder and random.random() < self.reorder:
            delay_ms += random.uniform(1, 20)
        return delay_ms / 1_000
