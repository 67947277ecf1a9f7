"""Which control instance a node sends its heartbeats to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination import events
from wagtailkeel_transport import clock

if TYPE_CHECKING:
    from wagtailkeel.roles.address_book import AddressBook
    from wagtailkeel_coordination.events import EventSink

HEARTBEAT_INTERVAL_S = 0.5
ACK_TIMEOUT_S = 1.5


class CurrentLeader:
    """The control instance that leads as far as this node knows; another is tried if it is silent.

    ``acknowledged_at`` is when a leader last acknowledged a heartbeat, at first when the object was
    built, in seconds of the transport's clock.
    """

    def __init__(self, address_book: AddressBook, event_sink: EventSink) -> None:
        self.instance_id = address_book.control_ids[0]
        self.acknowledged_at = clock.seconds()
        self._address_book = address_book
        self._emit = event_sink.emit
        self._switch_at = self.acknowledged_at + ACK_TIMEOUT_S
        self._lost_at = float("inf")

    def on_ack(self, leader_id: str) -> None:
        """Process the acknowledgement of a heartbeat by the leader itself."""
        self.instance_id = leader_id
        self.acknowledged_at = clock.seconds()
        self._switch_at = self.acknowledged_at + ACK_TIMEOUT_S
        if self._lost_at < float("inf"):
            silent_s = round(self.acknowledged_at - self._lost_at, 1)
            self._emit(events.ControlFound(self.instance_id, silent_s))
            self._lost_at = float("inf")

    def switch_if_silent(self, now: float) -> None:
        """Switch to the next control instance; it has one heartbeat interval to ack."""
        if now <= self._switch_at:
            return
        if self._lost_at == float("inf"):
            self._lost_at = self.acknowledged_at
            silent_s = round(now - self.acknowledged_at, 1)
            self._emit(events.ControlLost(self.instance_id, silent_s))
        ids = self._address_book.control_ids
        position = ids.index(self.instance_id) if self.instance_id in ids else -1
        self.instance_id = ids[(position + 1) % len(ids)]
        if position + 1 == len(ids):
            self._address_book.reload_seeds()
        self._switch_at = now + HEARTBEAT_INTERVAL_S

    def switch_to(self, leader_id: str) -> bool:
        """Switch to the leader that a follower reported; it has two heartbeat intervals to ack.

        Return whether this changed the instance, whose address has to be known.
        """
        if not leader_id or leader_id == self.instance_id:
            return False
        if self._address_book.datagram_address(leader_id) is None:
            return False
        self.instance_id = leader_id
        self._switch_at = clock.seconds() + 2 * HEARTBEAT_INTERVAL_S
        return True
