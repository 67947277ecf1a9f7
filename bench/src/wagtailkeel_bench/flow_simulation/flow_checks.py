"""What must hold for open flows, by what their servers hold when a reset reaches a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

REORDER_S = 2.0
MIN_STRAY_PACKETS = 3


class FlowCheckError(Exception):
    """A caller was reset although the flow's server holds the flow; the message says more."""


class ServerFlow(msgspec.Struct):
    """A flow of one start of a server; times are in seconds.

    ``initial_sequence`` is that of the caller's opening, ``acknowledgement`` the number that the
    caller's later packets carry. The flow is open once one of them has reached the server, until
    both ends have closed it. ``stray_times`` are the times at which its packets reached other
    servers since one has reached its own.
    """

    key: bytes
    initial_sequence: int
    acknowledgement: int
    last_seen_at: float
    is_open: bool = False
    has_ended: bool = False
    stray_times: list[float] = msgspec.field(default_factory=list)


class HoldingStart(msgspec.Struct):
    """A start of a server that runs: its number, and the flows that it holds by key."""

    number: int
    name: str
    flows_by_key: dict[bytes, ServerFlow] = msgspec.field(default_factory=dict)


class FlowChecks:
    """Judges resets when they reach a caller, and counts packets that reach wrong servers.

    ``find_running`` returns the starts of servers that run. ``idle_limit_s`` is the one in force.
    Without ``stops``, wrong resets are only counted.
    """

    def __init__(self, find_running: Callable[[], Iterable[HoldingStart]]) -> None:
        self.idle_limit_s = 60.0
        self.resets = 0
        self.stray_spans = 0
        self.wrong_resets = 0
        self.stops = True
        self._find_running = find_running

    def find_holder(
        self, key: bytes, initial_sequence: int
    ) -> tuple[HoldingStart, ServerFlow] | None:
        """Return the start of a server that holds an open flow, and the flow there."""
        for start in self._find_running():
            flow = start.flows_by_key.get(key)
            if flow is None or not flow.is_open or flow.has_ended:
                continue
            if flow.initial_sequence == initial_sequence:
                return start, flow
        return None

    def on_reset(self, key: bytes, initial_sequence: int, writer: int, now: float) -> None:
        """Check a reset that has reached the caller of a flow.

        ``writer`` is the number of the start that wrote it, 0 if an instance of the system did.
        """
        self.resets += 1
        found = self.find_holder(key, initial_sequence)
        if found is None:
            return
        start, flow = found
        if writer == start.number or now - flow.last_seen_at > self.idle_limit_s:
            return
        self.wrong_resets += 1
        if not self.stops:
            return
        source = f"start {writer}" if writer else "the system"
        raise FlowCheckError(
            f"the flow {key.hex()} is reset by {source} while start {start.number} of {start.name}"
            f" holds it, last used {now - flow.last_seen_at:.3f} s ago"
        )

    def on_stray_packet(self, key: bytes, acknowledgement: int, now: float) -> None:
        """Count a packet that has reached a server that does not hold its flow."""
        for start in self._find_running():
            flow = start.flows_by_key.get(key)
            if flow is None or not flow.is_open or flow.acknowledgement != acknowledgement:
                continue
            flow.stray_times.append(now)
            is_long = now - flow.stray_times[0] >= REORDER_S
            if is_long and len(flow.stray_times) >= MIN_STRAY_PACKETS:
                self.stray_spans += 1
                flow.stray_times.clear()
