"""A grant in progress: flow records are sent first, the token with the last of them."""

from __future__ import annotations

import msgspec

from wagtailkeel_protocol.messages import BucketGrant
from wagtailkeel_state.flow_record import FlowRecord
from wagtailkeel_state.generation import Generation

RECORDS_PER_DATAGRAM = 30


class OutgoingGrant(msgspec.Struct):
    """State of one grant; the sender stays the bucket's authority until ``is_released``.

    ``parts_by_number`` are the parts that the successor has not acknowledged yet, ``final_records``
    the records that are sent with the token.
    """

    bucket: int
    successor_id: str
    successor_boot_id: int
    generation: Generation
    epoch: int
    parts_by_number: dict[int, list[FlowRecord]] = {}
    sent_keys: set[bytes] = set()
    next_part: int = 0
    final_records: list[FlowRecord] = []
    uncertain_until: float = 0.0
    lost_owner_id: str = ""
    is_released: bool = False
    last_sent_at: float = float("-inf")

    def is_addressed_to(self, successor_id: str, boot_id: int, epoch: int) -> bool:
        """Return whether the grant is to that incarnation, by a table of ``epoch`` or newer."""
        is_same = self.successor_id == successor_id and self.successor_boot_id == boot_id
        return is_same and self.epoch >= epoch

    def build_message(self, now: float) -> BucketGrant:
        """Return the part of a Grant message that passes on the token."""
        uncertain_s = max(0.0, self.uncertain_until - now)
        return BucketGrant(
            self.bucket,
            self.generation,
            self.epoch,
            self.final_records,
            round(uncertain_s, 3),
            self.lost_owner_id,
        )

    def split_unsent(self, records: list[FlowRecord]) -> list[FlowRecord]:
        """Store full parts of the records not sent yet for sending; return the rest.

        The parts are added to ``parts_by_number`` and their keys to ``sent_keys``. The rest, at
        most RECORDS_PER_DATAGRAM records, is not marked as sent, so that a later call returns it
        again; it is sent with the token.
        """
        unsent = [record for record in records if record.key not in self.sent_keys]
        while len(unsent) > RECORDS_PER_DATAGRAM:
            part, unsent = unsent[:RECORDS_PER_DATAGRAM], unsent[RECORDS_PER_DATAGRAM:]
            self.parts_by_number[self.next_part] = part
            self.next_part += 1
            self.sent_keys.update(record.key for record in part)
        return unsent
