"""Claims of one agent to the buckets that it owns by the table but whose tokens it lacks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination.buckets.bucket_claim import BucketClaim
from wagtailkeel_protocol.messages import Claim

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Set

    from wagtailkeel_coordination.counters import Counters
    from wagtailkeel_coordination.outbox import DatagramOutbox
    from wagtailkeel_protocol.gue import DataFrame
    from wagtailkeel_protocol.messages import BucketAnswer
    from wagtailkeel_protocol.messages import ClaimAnswer
    from wagtailkeel_state.flow_directory import FlowDirectory
    from wagtailkeel_state.owner_table import OwnerTable

CLAIM_DELAY_S = 0.3
CLAIM_RETRY_S = 0.3
BUCKETS_PER_CLAIM = 256


class BucketClaims:
    """Claims in progress by bucket, and the frames that are queued meanwhile.

    A claim records in ``lost_owners_by_bucket`` the bucket's last owner if it was removed or has
    restarted, by the tables that this process has seen. Before its first table that is its own
    former incarnation.
    ``replay_frames`` is called with these frames once they can be routed.
    """

    def __init__(
        self,
        own_id: str,
        lost_owners_by_bucket: dict[int, str],
        directory: FlowDirectory,
        outbox: DatagramOutbox,
        counters: Counters,
        replay_frames: Callable[[list[DataFrame]], None],
    ) -> None:
        self.claims_by_bucket: dict[int, BucketClaim] = {}
        self._lost_owners_by_bucket = lost_owners_by_bucket
        self._own_id = own_id
        self._directory = directory
        self._outbox = outbox
        self._counters = counters
        self._replay_frames = replay_frames
        self._sent_at = float("-inf")

    # Start and end

    def restart(
        self,
        buckets: Iterable[int],
        table: OwnerTable,
        previous: OwnerTable | None,
        other_ids: Set[str],
        changed_ids: Set[str],
        now: float,
    ) -> None:
        """Claim ``buckets`` and no others; the queues of earlier claims to them are kept.

        All of ``other_ids`` are to answer. Members among ``changed_ids`` have lost their tokens.
        """
        earlier_claims = self.claims_by_bucket
        self.claims_by_bucket = {}
        for bucket in buckets:
            earlier = earlier_claims.get(bucket)
            holder = previous.owner_of(bucket) if previous else None
            if previous is None or holder in changed_ids:
                self._lost_owners_by_bucket[bucket] = holder or self._own_id
            if earlier is not None:
                holder = earlier.holder_id
            has_holder = bool(holder) and holder != self._own_id and holder not in changed_ids
            self.claims_by_bucket[bucket] = BucketClaim(
                bucket,
                table.epoch,
                self._claim_due_at(earlier, has_holder, now),
                set(other_ids),
                holder_id=holder if holder and has_holder else "",
                queue=earlier.queue if earlier else [],
            )

    @staticmethod
    def _claim_due_at(earlier: BucketClaim | None, has_holder: bool, now: float) -> float:
        """Return when to send a claim: later if a holder is known, since it grants without a claim.

        Further table changes don't postpone a claim that is already scheduled.
        """
        if not has_holder:
            return now
        due = now + CLAIM_DELAY_S
        return min(due, earlier.due_at) if earlier is not None else due

    def end(self, bucket: int, now: float) -> None:
        """End the claim to a bucket whose token has been received, if there is one."""
        claim = self.claims_by_bucket.pop(bucket, None)
        if claim is not None and claim.queue:
            self._replay_frames(claim.drain_queue(now))

    def clear(self) -> None:
        """Discard all claims."""
        self.claims_by_bucket.clear()

    def list_denied(self) -> list[BucketClaim]:
        """Return the claims to buckets whose tokens all other members have denied holding."""
        return [claim for claim in self.claims_by_bucket.values() if not claim.pending_ids]

    # Messages

    def send(self, boot_id: int, epoch: int, now: float) -> None:
        """Send the claims that are due, at most once in CLAIM_RETRY_S."""
        if not self.claims_by_bucket or now - self._sent_at < CLAIM_RETRY_S:
            return
        due_by_member = self._list_due_by_member(now)
        if not due_by_member:
            return
        self._sent_at = now
        for member, buckets in due_by_member.items():
            for start in range(0, len(buckets), BUCKETS_PER_CLAIM):
                batch = buckets[start : start + BUCKETS_PER_CLAIM]
                self._counters["claims_sent"] += 1
                self._outbox.send(member, Claim(self._own_id, boot_id, epoch, batch))

    def _list_due_by_member(self, now: float) -> dict[str, list[int]]:
        due_by_member: dict[str, list[int]] = {}
        for claim in self.claims_by_bucket.values():
            if now < claim.due_at:
                continue
            for member in sorted(claim.pending_ids):
                due_by_member.setdefault(member, []).append(claim.bucket)
        return due_by_member

    def on_answer(self, message: ClaimAnswer, now: float) -> None:
        """Record a member's answers; the flows on its server become pointers at once."""
        for answer in message.answers:
            claim = self.claims_by_bucket.get(answer.bucket)
            if claim is None or claim.epoch != message.epoch:
                continue
            if answer.is_holder:
                claim.holder_id = message.sender
            else:
                self._on_denial(claim, message.sender, answer, now)

    def _on_denial(self, claim: BucketClaim, sender: str, answer: BucketAnswer, now: float) -> None:
        if claim.holder_id == sender:
            claim.holder_id = ""
        self._directory.install_records(answer.bucket, answer.flows, now)
        claim.record_denial(sender, answer)
        if not claim.pending_ids and claim.queue:
            # All members' flows are now known, though the takeover may still wait for leases.
            self._replay_frames(claim.drain_queue(now))
