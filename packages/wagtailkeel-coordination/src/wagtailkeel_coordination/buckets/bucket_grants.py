"""Grants of one agent's tokens to the agents that own the buckets by a newer table.

Flow records are copied before the token moves, as memory pages are in pre-copy migration (Clark
et al., 2005): the holder stays the authority until the successor has all but the last few records.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination.buckets.outgoing_grant import RECORDS_PER_DATAGRAM
from wagtailkeel_coordination.buckets.outgoing_grant import OutgoingGrant
from wagtailkeel_protocol.messages import FlowTransfer
from wagtailkeel_protocol.messages import Grant
from wagtailkeel_state.generation import Generation

if TYPE_CHECKING:
    from collections.abc import Set

    from wagtailkeel_coordination.buckets.bucket_tokens import BucketTokens
    from wagtailkeel_coordination.buckets.bucket_uncertainty import BucketUncertainty
    from wagtailkeel_coordination.counters import Counters
    from wagtailkeel_coordination.outbox import DatagramOutbox
    from wagtailkeel_protocol.messages import BucketGrant
    from wagtailkeel_protocol.messages import FlowTransferAck
    from wagtailkeel_protocol.messages import GrantAck
    from wagtailkeel_state.flow_directory import FlowDirectory
    from wagtailkeel_state.flow_record import FlowRecord

GRANT_RETRY_S = 0.2
GRANTS_PER_DATAGRAM = 60
DATAGRAMS_PER_TICK = 16


class BucketGrants:
    """Grants that successors have not acknowledged yet, by bucket."""

    def __init__(
        self,
        own_id: str,
        tokens: BucketTokens,
        uncertainty: BucketUncertainty,
        lost_owners_by_bucket: dict[int, str],
        directory: FlowDirectory,
        outbox: DatagramOutbox,
        counters: Counters,
    ) -> None:
        self.outgoing_by_bucket: dict[int, OutgoingGrant] = {}
        self._own_id = own_id
        self._tokens = tokens
        self._uncertainty = uncertainty
        self._lost_owners_by_bucket = lost_owners_by_bucket
        self._directory = directory
        self._outbox = outbox
        self._counters = counters

    def start(self, bucket: int, successor: str, boot_id: int, epoch: int) -> None:
        """Grant a token that is held here, unless this is already in progress."""
        outgoing = self.outgoing_by_bucket.get(bucket)
        if outgoing is not None and outgoing.is_addressed_to(successor, boot_id, epoch):
            return
        token = self._tokens.tokens_by_bucket[bucket]
        # The new generation must not be below what members promised at the epoch of the grant.
        generation = Generation(max(token.epoch, epoch), token.counter + 1)
        self.outgoing_by_bucket[bucket] = OutgoingGrant(
            bucket, successor, boot_id, generation, epoch
        )

    def cancel(self, bucket: int) -> None:
        """Discard a bucket's grant, if there is one."""
        self.outgoing_by_bucket.pop(bucket, None)

    def cancel_all_to(self, member_ids: Set[str]) -> None:
        """Discard the grants to members that were removed or have restarted."""
        for bucket, outgoing in list(self.outgoing_by_bucket.items()):
            if outgoing.successor_id in member_ids:
                del self.outgoing_by_bucket[bucket]

    def clear(self) -> None:
        """Discard all grants."""
        self.outgoing_by_bucket.clear()

    # Sending

    def send(self, now: float) -> None:
        """Send the flow records of each due grant in parts; after their receipt, send the token.

        The token is sent with the last few records. About ``DATAGRAMS_PER_TICK`` datagrams are
        sent; the other grants wait for the next call.
        """
        budget = DATAGRAMS_PER_TICK
        batches: dict[tuple[str, int], list[BucketGrant]] = {}
        for outgoing in list(self.outgoing_by_bucket.values()):
            if budget <= 0:
                break
            if now - outgoing.last_sent_at < GRANT_RETRY_S:
                continue
            if not outgoing.is_released:
                records = self._directory.records_of(outgoing.bucket, self._own_id)
                remaining = outgoing.split_unsent(records)
                if outgoing.parts_by_number:
                    budget -= self._send_parts(outgoing)
                    outgoing.last_sent_at = now
                    continue
                self._release(outgoing, remaining)
            outgoing.last_sent_at = now
            successor = (outgoing.successor_id, outgoing.successor_boot_id)
            batch = batches.setdefault(successor, [])
            if self._is_full(batch, outgoing):
                self._send_batch(*successor, batch)
                budget -= 1
                batch = batches[successor] = []
            batch.append(outgoing.build_message(now))
        for successor, batch in batches.items():
            self._send_batch(*successor, batch)

    def _is_full(self, batch: list[BucketGrant], outgoing: OutgoingGrant) -> bool:
        records = sum(len(grant.flows) for grant in batch) + len(outgoing.final_records)
        return bool(batch) and (records > RECORDS_PER_DATAGRAM or len(batch) >= GRANTS_PER_DATAGRAM)

    def _send_batch(self, successor: str, boot_id: int, batch: list[BucketGrant]) -> None:
        self._outbox.send(successor, Grant(self._own_id, boot_id, batch))

    def _send_parts(self, outgoing: OutgoingGrant) -> int:
        for part, flows in outgoing.parts_by_number.items():
            self._outbox.send(
                outgoing.successor_id,
                FlowTransfer(
                    self._own_id,
                    outgoing.successor_boot_id,
                    outgoing.bucket,
                    outgoing.generation,
                    part,
                    flows,
                ),
            )
        return len(outgoing.parts_by_number)

    def _release(self, outgoing: OutgoingGrant, records: list[FlowRecord]) -> None:
        """Give up the token, to be sent with ``records``: this agent is no longer the authority."""
        outgoing.final_records = records
        outgoing.is_released = True
        outgoing.lost_owner_id = self._lost_owners_by_bucket.pop(outgoing.bucket, "")
        outgoing.uncertain_until = self._uncertainty.release(outgoing.bucket)
        self._tokens.release(outgoing.bucket, outgoing.successor_id, outgoing.generation)
        self._directory.remove_remotes(outgoing.bucket)
        self._counters["grants_released"] += 1

    # Acknowledgements

    def on_grant_ack(self, message: GrantAck) -> None:
        """Stop resending grants that the successor has acknowledged."""
        for receipt in message.receipts:
            outgoing = self.outgoing_by_bucket.get(receipt.bucket)
            if outgoing is None or outgoing.successor_id != message.sender:
                continue
            if outgoing.is_released and outgoing.generation == receipt.generation:
                del self.outgoing_by_bucket[receipt.bucket]

    def on_flow_transfer_ack(self, message: FlowTransferAck, now: float) -> None:
        """Grant the token once the successor has acknowledged all parts."""
        outgoing = self.outgoing_by_bucket.get(message.bucket)
        if outgoing is None or outgoing.generation != message.generation:
            return
        if outgoing.successor_id != message.sender:
            return
        outgoing.parts_by_number.pop(message.part, None)
        if not outgoing.parts_by_number and not outgoing.is_released:
            outgoing.last_sent_at = float("-inf")
            self.send(now)
