"""Which instances have told the leader that they are about to stop."""

from __future__ import annotations

STOP_REQUEST_TIMEOUT_S = 1.0
"""A voter that has not repeated its request for this long no longer waits for a successor."""
STOP_RETENTION_S = 10.0
"""An instance is no successor for this long after its last request: longer than a stop takes."""


class StopRequests:
    """The time of the last request of each instance that is about to stop.

    An instance repeats its request while it waits for a successor. Afterwards it still answers
    until it ends, and must not become a voter again.
    """

    def __init__(self) -> None:
        self._requested_at_by_id: dict[str, float] = {}

    def record(self, instance_id: str, now: float) -> None:
        """Record a request, and discard those older than STOP_RETENTION_S."""
        for key, requested_at in list(self._requested_at_by_id.items()):
            if now - requested_at >= STOP_RETENTION_S:
                del self._requested_at_by_id[key]
        self._requested_at_by_id[instance_id] = now

    def remove(self, instance_id: str) -> None:
        """Discard the request of an instance, if it made one."""
        self._requested_at_by_id.pop(instance_id, None)

    def clear(self) -> None:
        """Discard all requests."""
        self._requested_at_by_id.clear()

    def is_waiting(self, instance_id: str, now: float) -> bool:
        """Return whether an instance waits for a successor."""
        return self._elapsed_s(instance_id, now) < STOP_REQUEST_TIMEOUT_S

    def is_stopping(self, instance_id: str, now: float) -> bool:
        """Return whether an instance is about to stop, so that it can't succeed another."""
        return self._elapsed_s(instance_id, now) < STOP_RETENTION_S

    def _elapsed_s(self, instance_id: str, now: float) -> float:
        return now - self._requested_at_by_id.get(instance_id, float("-inf"))
