"""The part of a flow holder that decides which openings its server takes, and delivers them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination import events
from wagtailkeel_coordination.events import flow_id
from wagtailkeel_coordination.handshake.queue_limit import has_room
from wagtailkeel_protocol.malformed import Malformed
from wagtailkeel_protocol.relay import RelayKind

if TYPE_CHECKING:
    from wagtailkeel_coordination.handshake.owner_link import OwnerLink
    from wagtailkeel_coordination.handshake.router_context import RouterContext
    from wagtailkeel_coordination.handshake.server_state import ServerState
    from wagtailkeel_protocol.relay import RelayFrame

Address = tuple[str, int]

SERVER_BUSY = "server_busy"


class ServerOpenings:
    """Admits openings to the server or counts their rejections.

    ``opened_flows`` is the number of openings delivered since the agent started.
    """

    def __init__(self, context: RouterContext, server: ServerState, owners: OwnerLink) -> None:
        self.opened_flows = 0
        self._has_declined = False
        self._context = context
        self._server = server
        self._owners = owners

    def declines(self, frame: RelayFrame) -> bool:
        """Return whether an offered opening goes back to its owner, since all slots are taken.

        At most one opening does until an opening finds a free slot again. If the server stays full,
        so do the others in general, and an owner finds no better place.
        """
        held, now = self._server.held, self._context.now
        if held.count_expected_requests(now) < held.slots:
            self._has_declined = False
            return False
        if frame.kind is not RelayKind.OFFER or self._has_declined:
            return False
        self._has_declined = self._server.gate.accepts(now)
        return self._has_declined

    def has_room(self, key: bytes, *, is_queued: bool = False) -> bool:
        """Return whether a request on a new flow would be answered within its route's target.

        If not, a rejection is counted, unless the opening is queued and goes on waiting.
        """
        held = self._server.held
        has_capacity = has_room(
            held.count_expected_requests(self._context.now),
            held.slots,
            held.service_s,
            self._context.routing.target_s(self._context.packet_format.endpoint_of(key)),
        )
        if not has_capacity and not is_queued:
            self.count_rejection(key, SERVER_BUSY)
        return has_capacity

    def withholds(self, key: bytes, *, is_first: bool) -> bool:
        """Return whether an opening is kept from a failing server, and count its rejection.

        Only the first agent that gets an opening withholds it, and only if it knows better servers,
        so that no opening is refused because all servers of its service fail.
        """
        watch = self._server.watch
        if watch is None or not is_first or not watch.detector.is_suspect:
            return False
        reason = watch.find_return_reason(key)
        if reason is None or self._owners.are_most_outliers():
            return False
        self.count_rejection(key, reason)
        return True

    def admit(self, service: str, key: bytes) -> bool:
        """Admit an opening of a service or count its rejection; return whether it is admitted."""
        reason = self._server.gate.admit(service, self._context.now)
        if reason is not None:
            self.count_rejection(key, reason.value)
        return reason is None

    def count_rejection(self, key: bytes, reason: str) -> None:
        """Count and report an opening that this agent rejects."""
        self._context.counters[f"rejected_{reason}"] += 1
        self.emit_rejection(key, reason)

    def emit_rejection(self, key: bytes, reason: str) -> None:
        """Report an opening that this agent or its server rejects."""
        self._context.emit(
            events.OpeningRejected(
                flow_id(key), reason, self._server.gate.service, self._context.routing.version
            )
        )

    def open(self, packet: bytes, key: bytes, owner: Address) -> None:
        """Deliver an opening that was admitted."""
        held, now = self._server.held, self._context.now
        header = self._context.packet_format.parse_inbound(packet)
        assert not isinstance(header, Malformed), "only parsed openings are admitted"
        self._context.counters["flows_opened"] += 1
        self.opened_flows += 1
        held.expect_request(held.open(key, owner, now, header.initial_sequence), now)
        if self._server.watch is not None:
            self._server.watch.on_opened(key)
        self._context.outbox.deliver(packet)
