"""The part of a flow holder that reports the load of its server to directory owners."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination import events
from wagtailkeel_coordination.handshake.priority_admission import PriorityLimit
from wagtailkeel_coordination.handshake.queue_limit import expected_wait_s
from wagtailkeel_coordination.handshake.waiting_openings import MIN_QUEUE_WAIT_S
from wagtailkeel_protocol.messages import ServerLoad

if TYPE_CHECKING:
    from wagtailkeel_coordination.handshake.router_context import RouterContext
    from wagtailkeel_coordination.handshake.router_options import RouterOptions
    from wagtailkeel_coordination.handshake.server_openings import ServerOpenings
    from wagtailkeel_coordination.handshake.server_state import ServerState
    from wagtailkeel_coordination.handshake.waiting_openings import WaitingOpenings


class LoadReporter:
    """Measures the load of the server and adjusts the priority limit that is reported with it."""

    def __init__(
        self,
        context: RouterContext,
        server: ServerState,
        openings: ServerOpenings,
        waiting: WaitingOpenings,
        options: RouterOptions,
    ) -> None:
        self.priority_limit = PriorityLimit()
        self._cold_at = float("-inf")
        self._context = context
        self._server = server
        self._openings = openings
        self._waiting = waiting
        self._has_priority_limit = options.priority_admission

    def build(self, now: float) -> ServerLoad:
        """Return the load of the backend server to report to peers."""
        self.update_priority_limit(now)
        gate, held, watch = self._server.gate, self._server.held, self._server.watch
        in_flight, held_flows = self._count_work(now)
        accepts, room_in_s, queued = self._find_room(now)
        return ServerLoad(
            self._context.own_tag,
            accepts,
            in_flight + queued,
            held_flows,
            held.slots,
            held.service_s * 1_000,
            gate.is_cold(now),
            gate.is_leaving,
            gate.is_awaiting_first_report(now),
            room_in_s * 1_000,
            is_outlier=watch is not None and watch.is_outlier,
            opened_flows=self._openings.opened_flows,
            priority_limit=self.priority_limit.value,
        )

    def _count_work(self, now: float) -> tuple[int, int]:
        """Return the requests in flight and the held flows to report.

        With the rule for aged loads, the first requests of new flows count as in flight, and only
        the other flows that are open as held. Where each request opens a flow, closed flows that
        still linger would outweigh the requests.
        """
        held = self._server.held
        if not self._server.uses_aged_loads:
            return held.in_flight, len(held.by_key)
        in_flight = held.count_expected_requests(now)
        return in_flight, max(0, held.open_count - in_flight)

    def _find_room(self, now: float) -> tuple[bool, float, int]:
        """Return whether openings are accepted, how long they wait else, and how many count."""
        gate, queue, admission = self._server.gate, self._server.queue, self._server.admission
        accepts = gate.accepts(now)
        if admission is None:
            accepts = accepts and not queue
            return accepts, 0.0 if accepts else self._waiting.find_room_in_s(now), 0
        if not accepts and not gate.is_limited_by_cold_start(now):
            return False, 0.0, len(queue)
        has_room, wait_s = admission.forecast(now)
        room_in_s = 0.0 if wait_s is None else max(wait_s, MIN_QUEUE_WAIT_S)
        return accepts and has_room, room_in_s, len(queue)

    def update_priority_limit(self, now: float) -> None:
        """Adjust the priority limit to the time that an opening has to wait now.

        A cold server has room within its cold time, so that openings wait for it meanwhile. They
        are still being delivered when it is warm.
        """
        if not self._has_priority_limit:
            return
        gate, held, queue = self._server.gate, self._server.held, self._server.queue
        if gate.is_cold(now):
            self._cold_at = now
        is_recovering = now - self._cold_at <= queue.max_wait_s
        limit = self.priority_limit
        waiting = held.count_expected_requests(now) + len(queue)
        wait_s = expected_wait_s(waiting, held.slots, held.service_s)
        if limit.lift() if is_recovering else limit.on_wait(wait_s, now):
            self._context.counters["priority_limit_changes"] += 1
            wait_ms = round(wait_s * 1_000, 1)
            self._context.emit(events.PriorityLimitChanged(gate.service, limit.value, wait_ms))
