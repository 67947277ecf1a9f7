"""What must hold at the backend server's end, from the openings and answers that it gets."""

from __future__ import annotations

from collections import deque

import msgspec

DRAIN_PERIOD_S = 3.0
OUT_OF_SERVICE_PERIOD_S = 5.0
ACK_TIMEOUT_S = 5.0
COLD_WINDOW_S = 1.0
COLD_OPENINGS = 5
"""A cold server takes this many openings in any COLD_WINDOW_S."""
CALM_S = 6.0
"""Bounds that depend on other processes hold after this time without a fault of theirs."""


class ServerCheckError(Exception):
    """The server has seen what must not be; the message says what."""


class ServerStart(msgspec.Struct):
    """One start of the backend server; times are in seconds, infinite until they come.

    From ``heard_from`` on its agent may have heard of it.
    """

    server_id: str
    started_at_ms: int
    heard_from: float
    cold_until: float
    sequence: int = 0
    is_draining: bool = False
    draining_since: float = float("inf")
    drain_acknowledged_at: float = float("inf")
    openings: set[bytes] = msgspec.field(default_factory=set)
    cold_opening_times: deque[float] = msgspec.field(default_factory=deque)


class ServerChecks:
    """Judges each opening that arrives at a server, and what the server waits for.

    ``disturbed_at`` is the end of the last fault of the agent or its links, ``delayed_at`` that of
    the last one that delayed the server's calls, ``uninformed_at`` of one that delayed control's.
    """

    def __init__(self) -> None:
        self.disturbed_at = float("-inf")
        self.delayed_at = float("-inf")
        self.uninformed_at = float("-inf")
        self.out_of_service_at = float("inf")
        self.last_opening_at = float("-inf")

    def on_opening(self, start: ServerStart, opening: bytes, now: float) -> None:
        """Check an opening that has arrived at a server; its copies are equal to it."""
        self.last_opening_at = now
        if now > start.drain_acknowledged_at + DRAIN_PERIOD_S:
            ago_s = now - start.drain_acknowledged_at
            raise ServerCheckError(
                f"an opening reaches {start.server_id} {ago_s:.3f} s after the acknowledgement"
                " that it drains"
            )
        late_s = now - max(self.out_of_service_at, self.uninformed_at + CALM_S)
        if late_s > OUT_OF_SERVICE_PERIOD_S:
            raise ServerCheckError(
                f"an opening reaches {start.server_id}, whose data centre is out of service"
            )
        # An agent that hears late of a start can't know that the server is cold.
        is_copy = opening in start.openings
        start.openings.add(opening)
        is_known = now > start.heard_from and now - self.delayed_at > CALM_S
        if now < start.cold_until and is_known and not is_copy:
            self._check_cold(start, now)

    def _check_cold(self, start: ServerStart, now: float) -> None:
        times = start.cold_opening_times
        times.append(now)
        while now - times[0] > COLD_WINDOW_S:
            times.popleft()
        if len(times) > COLD_OPENINGS:
            raise ServerCheckError(f"{start.server_id} is cold and gets {len(times)} openings")

    def check_progress(self, start: ServerStart | None, now: float) -> None:
        """Check that a server that leaves is answered, and that a healthy one gets openings."""
        if start is None or now - self.disturbed_at < CALM_S:
            return
        is_unanswered = start.is_draining and start.drain_acknowledged_at == float("inf")
        if is_unanswered and now - start.draining_since > ACK_TIMEOUT_S:
            raise ServerCheckError(f"nobody acknowledges that {start.server_id} drains")
        is_expected = not start.is_draining and self.out_of_service_at == float("inf")
        if is_expected and now - self.last_opening_at > CALM_S:
            raise ServerCheckError(f"{start.server_id} is healthy and gets no openings")
