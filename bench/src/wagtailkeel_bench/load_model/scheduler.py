"""Events in virtual time."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count

Action = Callable[[], None]


class EventScheduler:
    """Runs actions in the order of their times, in seconds; equal times in the order given."""

    def __init__(self) -> None:
        self.now = 0.0
        self._sequence_numbers = count()
        self._queue: list[tuple[float, int, Action]] = []

    def call_later(self, delay_s: float, action: Action) -> None:
        """Run an action later."""
        heapq.heappush(self._queue, (self.now + delay_s, next(self._sequence_numbers), action))

    def run_until(self, end_s: float) -> None:
        """Run all actions that are due up to a moment."""
        while self._queue and self._queue[0][0] <= end_s:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = end_s
