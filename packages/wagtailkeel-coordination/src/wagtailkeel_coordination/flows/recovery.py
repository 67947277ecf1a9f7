"""Recovery of flows that no agent has a record of, by querying the backend servers.

A packet from the middle of an unknown TCP connection is delivered to the local backend server: an
answer other than RST proves that the server has the connection. An RST is not sent to the caller;
the next candidate is queried instead, and the caller gets an RST only when none has the connection.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_protocol import gue
from wagtailkeel_protocol import packet as ip
from wagtailkeel_protocol.gue import DataFrame

if TYPE_CHECKING:
    from wagtailkeel_coordination.flows.flow_context import FlowContext

RECOVERY_TIMEOUT_S = 5.0


class PendingRecovery(msgspec.Struct):
    """A flow being recovered; ``candidates`` are the agents to query next.

    With ``is_for_authority``, another agent is the bucket's authority: it gets the frame back if
    the local backend server lacks the connection.
    """

    frame: DataFrame
    started_at: float
    candidates: list[str]
    is_for_authority: bool = False


class FlowRecovery:
    """Recoveries in progress, by flow key."""

    def __init__(self, context: FlowContext) -> None:
        self._context = context
        self._pending_by_key: dict[bytes, PendingRecovery] = {}

    def start(
        self,
        frame: DataFrame,
        key: bytes,
        candidates: list[str],
        *,
        is_for_authority: bool = False,
    ) -> None:
        """Start a recovery; a UDP packet or an RST is dropped instead.

        The local backend server is queried first, if this incarnation may lack some of its flows.
        """
        context = self._context
        if key[-1] != ip.TCP or ip.tcp_flags(frame.packet) & ip.RST:
            context.counters["dropped_unknown_flow"] += 1
            return
        pending = PendingRecovery(frame, context.now, candidates, is_for_authority)
        if not context.authority.has_incomplete_flow_table or context.view.is_out_of_service:
            self._query_next(pending, key)
            return
        self._pending_by_key[key] = pending
        context.counters["recoveries_started"] += 1
        context.packets.deliver(frame.packet)

    def on_reset(self, key: bytes) -> None:
        """Query the next candidate: the local backend server's RST shows that it lacks the flow."""
        pending = self._pending_by_key.pop(key, None)
        if pending is not None:
            self._query_next(pending, key)

    def on_answer(self, key: bytes) -> None:
        """End a recovery: the local backend server has the connection."""
        self._pending_by_key.pop(key, None)

    def expire(self, now: float) -> None:
        """Discard recoveries without an answer; the caller's next packet starts another."""
        for key, pending in list(self._pending_by_key.items()):
            if now - pending.started_at > RECOVERY_TIMEOUT_S:
                del self._pending_by_key[key]

    def _query_next(self, pending: PendingRecovery, key: bytes) -> None:
        context = self._context
        if pending.is_for_authority:
            context.return_rejected(pending.frame)
            return
        if not context.authority.is_authority(pending.frame.bucket):
            context.counters["dropped_unknown_flow"] += 1
            return
        if not pending.candidates:
            context.counters["unknown_flows_reset"] += 1
            context.reset_caller(pending.frame.packet)
            return
        candidate = pending.candidates.pop(0)
        context.directory.add_remote(pending.frame.bucket, key, candidate, context.now)
        context.forward(candidate, pending.frame, gue.FLAG_DELIVER)
