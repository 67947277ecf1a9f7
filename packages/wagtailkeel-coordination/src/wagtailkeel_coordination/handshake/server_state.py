"""What an agent knows of its backend server, shared by the parts of its flow holder."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination.handshake.held_flows import HeldFlows
from wagtailkeel_coordination.handshake.opening_queue import OpeningQueue
from wagtailkeel_coordination.handshake.queue_admission import QueueAdmission
from wagtailkeel_coordination.handshake.route_times import RouteTimes
from wagtailkeel_coordination.handshake.server_watch import ServerWatch

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtailkeel_coordination.handshake.router_context import RouterContext
    from wagtailkeel_coordination.handshake.router_options import RouterOptions
    from wagtailkeel_coordination.handshake.server_gate import ServerGate
    from wagtailkeel_coordination.handshake.server_report import ServerReport


class ServerState:
    """The flows and queued openings of a backend server, and the decisions made about it.

    ``watch`` and ``admission`` are None unless the options ask for them.
    """

    def __init__(
        self,
        context: RouterContext,
        gate: ServerGate,
        record_response: Callable[[float], None],
        options: RouterOptions,
    ) -> None:
        self.gate = gate
        self.queue = OpeningQueue(options.max_opening_wait_s)
        self.uses_aged_loads = options.placement == "aged_loads"
        route_times = None
        if self.uses_aged_loads:
            route_times = RouteTimes(context.packet_format.endpoint_of)
        self.held = HeldFlows(record_response, route_times)
        self.watch = ServerWatch(context, gate) if options.outlier_detection else None
        self.admission: QueueAdmission | None = None
        if options.queue_when_busy and options.max_opening_wait_s:
            self.admission = QueueAdmission(self.queue, gate, self.held, context.now)

    def apply_report(self, report: ServerReport, now: float, *, is_restart: bool) -> None:
        """Apply a status report that the gate has accepted."""
        self.held.slots = report.slots
        if self.watch is not None:
            self.watch.on_report(now, is_restart=is_restart)
        if not is_restart:
            return
        self.held.clear(now)
        self.held.service_s = 0.0
        if self.admission is not None:
            self.admission.on_server_restart(now)
