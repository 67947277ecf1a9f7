"""Token protocol of one agent: which buckets it is the authority of, and how tokens move.

The agent that holds a bucket's token is the bucket's authority. A token is created by a takeover
and passed on by a grant. At most one agent that may place flows of non-idempotent classes holds a
bucket's token, because

* a member that denies holding the token, in answer to a claim at epoch e, promises to refuse all
  grants of generations below (e, 0), as in the prepare phase of Paxos (Lamport, 1998). It denies
  only if it has seen no newer generation;
* a takeover waits for the answers of all other members, and until every lease granted before the
  last removal of a member has expired;
* a new incarnation of an agent starts without tokens.

Flow records are copied before the token moves, as memory pages are in pre-copy migration (Clark
et al., 2005): the holder stays the authority until the successor has all but the last few records.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination.bucket_claim import BucketClaim
from wagtailkeel_coordination.claim_answers import pack_answers
from wagtailkeel_coordination.claim_answers import split_answer
from wagtailkeel_coordination.lease import LEASE_MARGIN_S
from wagtailkeel_coordination.lease import LEASE_S
from wagtailkeel_coordination.outgoing_grant import RECORDS_PER_DATAGRAM
from wagtailkeel_coordination.outgoing_grant import OutgoingGrant
from wagtailkeel_protocol.messages import BucketReceipt
from wagtailkeel_protocol.messages import Claim
from wagtailkeel_protocol.messages import ClaimAnswer
from wagtailkeel_protocol.messages import FlowTransfer
from wagtailkeel_protocol.messages import FlowTransferAck
from wagtailkeel_protocol.messages import Grant
from wagtailkeel_protocol.messages import GrantAck
from wagtailkeel_state.generation import Generation

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtailkeel_coordination.counters import Counters
    from wagtailkeel_coordination.outbox import DatagramOutbox
    from wagtailkeel_protocol.gue import DataFrame
    from wagtailkeel_protocol.messages import BucketAnswer
    from wagtailkeel_protocol.messages import BucketGrant
    from wagtailkeel_state.flow_directory import FlowDirectory
    from wagtailkeel_state.flow_record import FlowRecord
    from wagtailkeel_state.owner_table import OwnerTable

CLAIM_DELAY_S = 0.3
CLAIM_RETRY_S = 0.3
GRANT_RETRY_S = 0.2
CALLER_RETRY_WINDOW_S = 10.0
BUCKETS_PER_CLAIM = 256
GRANTS_PER_DATAGRAM = 60
DATAGRAMS_PER_TICK = 16


class BucketAuthority:
    """Tokens, claims, grants and promises of one agent for one service.

    ``replay_frames`` is called with the frames that were queued while a claim was in progress.
    """

    def __init__(
        self,
        own_id: str,
        boot_id: int,
        directory: FlowDirectory,
        outbox: DatagramOutbox,
        counters: Counters,
        replay_frames: Callable[[list[DataFrame]], None],
    ) -> None:
        self.tokens_by_bucket: dict[int, Generation] = {}
        self.claims_by_bucket: dict[int, BucketClaim] = {}
        self.outgoing_by_bucket: dict[int, OutgoingGrant] = {}
        self.successors_by_bucket: dict[int, str] = {}
        self.uncertain_until_by_bucket: dict[int, float] = {}
        self.incomplete_since_by_id: dict[str, float] = {}
        self.has_incomplete_flow_table = False
        self.table: OwnerTable | None = None
        self._own_id = own_id
        self._boot_id = boot_id
        self._directory = directory
        self._outbox = outbox
        self._counters = counters
        self._replay_frames = replay_frames
        self._boot_ids_by_member: dict[str, int] = {}
        self._received_epochs_by_bucket: dict[int, int] = {}
        self._min_generations_by_bucket: dict[int, Generation] = {}
        self._promised_epochs_by_bucket: dict[int, int] = {}
        self._takeover_not_before = float("-inf")
        self._uncertain_until = float("-inf")
        self._claims_sent_at = float("-inf")

    @property
    def has_tokens_to_grant(self) -> bool:
        """Return whether this agent has tokens, or grants not acknowledged yet.

        False if the table has no owner that could receive them.
        """
        has_successors = self.table is not None and self.table.has_owners
        return has_successors and bool(self.tokens_by_bucket or self.outgoing_by_bucket)

    def is_authority(self, bucket: int) -> bool:
        """Return whether this agent holds the bucket's token."""
        return bucket in self.tokens_by_bucket

    def is_uncertain(self, bucket: int, now: float) -> bool:
        """Return whether an unknown flow may already run on a server whose records are missing.

        True for ``CALLER_RETRY_WINDOW_S`` after another member first reported an incomplete flow
        table. For a bucket that was taken over after the removal of a member, also true until
        ``CALLER_RETRY_WINDOW_S`` after the removal; a grant passes the rest of that time on.
        """
        if any(
            now - since < CALLER_RETRY_WINDOW_S for since in self.incomplete_since_by_id.values()
        ):
            return True
        return now < self.uncertain_until_by_bucket.get(bucket, now)

    def apply_table(
        self,
        table: OwnerTable,
        boot_ids_by_member: dict[str, int],
        removed_ids: set[str],
        now: float,
    ) -> None:
        """Apply a newer owner table.

        ``removed_ids`` are the servers with an incarnation removed since the previous table.
        """
        previous = self.table
        self.table = table
        changed_ids = {
            member
            for member, boot_id in self._boot_ids_by_member.items()
            if boot_ids_by_member.get(member) != boot_id
        }
        self._boot_ids_by_member = dict(boot_ids_by_member)
        if self._boot_ids_by_member.get(self._own_id) != self._boot_id:
            self._discard_tokens()
        if removed_ids:
            lease_end = now + LEASE_S + LEASE_MARGIN_S
            self._takeover_not_before = max(self._takeover_not_before, lease_end)
        if removed_ids - {self._own_id}:
            # Retransmissions of flows that this agent's own former incarnation placed on the local
            # backend server reach the same server again, so its own removal causes no uncertainty.
            self._uncertain_until = now + CALLER_RETRY_WINDOW_S
        self._discard_members(changed_ids)
        self._restart_claims(table, previous, changed_ids, now)
        self._grant_reassigned_buckets(table)

    def _discard_members(self, changed_ids: set[str]) -> None:
        """Discard reports of, and grants to, members that were removed or have restarted."""
        for member in changed_ids:
            self.incomplete_since_by_id.pop(member, None)
        for bucket, outgoing in list(self.outgoing_by_bucket.items()):
            if outgoing.successor_id in changed_ids:
                del self.outgoing_by_bucket[bucket]
        for bucket, successor in list(self.successors_by_bucket.items()):
            if successor in changed_ids:
                del self.successors_by_bucket[bucket]

    def _restart_claims(
        self, table: OwnerTable, previous: OwnerTable | None, changed_ids: set[str], now: float
    ) -> None:
        """Claim the owned buckets whose token is missing; earlier claims' queues are kept."""
        earlier_claims = self.claims_by_bucket
        self.claims_by_bucket = {}
        if self._boot_ids_by_member.get(self._own_id) != self._boot_id:
            return
        for bucket in table.buckets_of(self._own_id):
            if bucket in self.tokens_by_bucket:
                continue
            earlier = earlier_claims.get(bucket)
            holder = previous.owner_of(bucket) if previous else None
            if earlier is not None:
                holder = earlier.holder_id
            has_holder = bool(holder) and holder != self._own_id and holder not in changed_ids
            claim = BucketClaim(
                bucket,
                table.epoch,
                self._claim_due_at(earlier, has_holder, now),
                self._other_members(),
                holder_id=holder if holder and has_holder else "",
                queue=earlier.queue if earlier else [],
            )
            self.claims_by_bucket[bucket] = claim

    @staticmethod
    def _claim_due_at(earlier: BucketClaim | None, has_holder: bool, now: float) -> float:
        """Return when to send a claim: later if a holder is known, since it grants without a claim.

        Further table changes don't postpone a claim that is already scheduled.
        """
        if not has_holder:
            return now
        due = now + CLAIM_DELAY_S
        return min(due, earlier.due_at) if earlier is not None else due

    def _other_members(self) -> set[str]:
        return {member for member in self._boot_ids_by_member if member != self._own_id}

    def _grant_reassigned_buckets(self, table: OwnerTable) -> None:
        """Grant tokens of buckets that others own, unless received under a newer table."""
        for bucket in list(self.tokens_by_bucket):
            if table.owner_of(bucket) == self._own_id:
                self.outgoing_by_bucket.pop(bucket, None)
            elif table.epoch >= self._received_epochs_by_bucket.get(bucket, 0):
                self._grant_to_owner(bucket, table)

    def _grant_to_owner(self, bucket: int, table: OwnerTable) -> None:
        owner = table.owner_of(bucket)
        boot_id = self._boot_ids_by_member.get(owner) if owner is not None else None
        if owner is not None and boot_id is not None and owner != self._own_id:
            self._start_grant(bucket, owner, boot_id, table.epoch)

    def start_incarnation(self, boot_id: int) -> None:
        """Discard all tokens, after control removed the previous incarnation from the members."""
        self._boot_id = boot_id
        self._discard_tokens()

    def _discard_tokens(self) -> None:
        self.tokens_by_bucket.clear()
        self.claims_by_bucket.clear()
        self.outgoing_by_bucket.clear()
        self.successors_by_bucket.clear()

    def tick(self, now: float) -> None:
        """Send claims and grants that are due; take over buckets that all others denied holding."""
        self._send_claims(now)
        self._take_over(now)
        self._send_grants(now)

    # Claims

    def _send_claims(self, now: float) -> None:
        if not self.claims_by_bucket or now - self._claims_sent_at < CLAIM_RETRY_S:
            return
        due_by_member: dict[str, list[int]] = {}
        for claim in self.claims_by_bucket.values():
            if now < claim.due_at:
                continue
            for member in sorted(claim.pending_ids):
                due_by_member.setdefault(member, []).append(claim.bucket)
        if not due_by_member:
            return
        self._claims_sent_at = now
        for member, buckets in due_by_member.items():
            for start in range(0, len(buckets), BUCKETS_PER_CLAIM):
                self._send_claim(member, buckets[start : start + BUCKETS_PER_CLAIM])

    def _send_claim(self, member: str, buckets: list[int]) -> None:
        assert self.table is not None, "claims exist only under a table"
        self._counters["claims_sent"] += 1
        self._outbox.send(member, Claim(self._own_id, self._boot_id, self.table.epoch, buckets))

    def _take_over(self, now: float) -> None:
        if now < self._takeover_not_before:
            return
        ready_claims = [claim for claim in self.claims_by_bucket.values() if not claim.pending_ids]
        for claim in ready_claims:
            generation = Generation(claim.epoch, 0)
            if self.is_stale(claim.bucket, generation):
                continue
            self._counters["takeovers"] += 1
            if now < self._uncertain_until:
                self.uncertain_until_by_bucket[claim.bucket] = self._uncertain_until
            self._accept_token(claim.bucket, generation, claim.epoch, now)

    def on_claim(self, message: Claim, now: float) -> None:
        """Answer a claim: grant buckets held here, promise to refuse older grants of the others."""
        if self._boot_ids_by_member.get(message.sender, message.boot_id) != message.boot_id:
            self._counters["messages_of_old_incarnation"] += 1
            return
        answers: list[BucketAnswer] = []
        for bucket in message.buckets:
            answers.extend(self._answer_claim(message, bucket))
        for batch in pack_answers(answers):
            self._outbox.send(
                message.sender,
                ClaimAnswer(
                    self._own_id,
                    self._boot_id,
                    message.epoch,
                    batch,
                    self.has_incomplete_flow_table,
                ),
            )
        self._send_grants(now)

    def _answer_claim(self, message: Claim, bucket: int) -> list[BucketAnswer]:
        token = self.tokens_by_bucket.get(bucket)
        if token is not None:
            if self._is_entitled(message, bucket):
                self._start_grant(bucket, message.sender, message.boot_id, message.epoch)
            return split_answer(bucket, True, [])
        denied = Generation(message.epoch, 0)
        if self.is_stale(bucket, denied):
            # A newer token was seen here: the claimant has an old table and must not take over.
            self._counters["claims_outdated"] += 1
            return []
        self._raise_min_generation(bucket, denied)
        promised = self._promised_epochs_by_bucket.get(bucket, 0)
        self._promised_epochs_by_bucket[bucket] = max(promised, message.epoch)
        flows = self._directory.local_records([bucket], self._own_id)
        return split_answer(bucket, False, flows)

    def _is_entitled(self, message: Claim, bucket: int) -> bool:
        """Return whether the claimant owns the bucket.

        A claim under a newer table than this agent's proves ownership, one under an older does not.
        """
        if self.table is None or message.epoch > self.table.epoch:
            return True
        return message.epoch == self.table.epoch and message.sender == self.table.owner_of(bucket)

    def on_claim_answer(self, message: ClaimAnswer, now: float) -> None:
        """Record a member's answers; the flows on its server become pointers at once."""
        if self._boot_ids_by_member.get(message.sender) != message.boot_id:
            self._counters["messages_of_old_incarnation"] += 1
            return
        if message.has_lost_memory:
            self.incomplete_since_by_id.setdefault(message.sender, now)
        for answer in message.answers:
            claim = self.claims_by_bucket.get(answer.bucket)
            if claim is None or claim.epoch != message.epoch:
                continue
            if answer.is_holder:
                claim.holder_id = message.sender
                continue
            if claim.holder_id == message.sender:
                claim.holder_id = ""
            self._directory.install_records(answer.bucket, answer.flows, now)
            claim.record_denial(message.sender, answer)
            if not claim.pending_ids and claim.queue:
                # All members' flows are now known, though the takeover may still wait for leases.
                self._replay_frames(claim.drain_queue(now))

    # Tokens

    def is_stale(self, bucket: int, generation: Generation) -> bool:
        """Return whether a generation is older than what was seen or promised for the bucket."""
        minimum = self._min_generations_by_bucket.get(bucket)
        return minimum is not None and generation < minimum

    def is_placement_stale(self, bucket: int, token_epoch: int) -> bool:
        """Return whether a placement was made under a token older than a promise of this agent."""
        return token_epoch < self._promised_epochs_by_bucket.get(bucket, 0)

    def _raise_min_generation(self, bucket: int, minimum: Generation) -> None:
        self._min_generations_by_bucket[bucket] = max(
            self._min_generations_by_bucket.get(bucket, minimum), minimum
        )

    def _accept_token(self, bucket: int, generation: Generation, epoch: int, now: float) -> None:
        self.tokens_by_bucket[bucket] = generation
        self._received_epochs_by_bucket[bucket] = epoch
        self.outgoing_by_bucket.pop(bucket, None)
        self.successors_by_bucket.pop(bucket, None)
        self._raise_min_generation(bucket, generation.successor)
        claim = self.claims_by_bucket.pop(bucket, None)
        if claim is not None and claim.queue:
            self._replay_frames(claim.drain_queue(now))
        if self.table is None or self.table.epoch < epoch:
            # The sender knew a newer table; granting by the older one would send the token back.
            return
        self._grant_to_owner(bucket, self.table)

    # Grants

    def _start_grant(self, bucket: int, successor: str, boot_id: int, epoch: int) -> None:
        outgoing = self.outgoing_by_bucket.get(bucket)
        if outgoing is not None and outgoing.is_addressed_to(successor, boot_id, epoch):
            return
        token = self.tokens_by_bucket[bucket]
        # The new generation must not be below what members promised at the epoch of the grant.
        generation = Generation(max(token.epoch, epoch), token.counter + 1)
        self.outgoing_by_bucket[bucket] = OutgoingGrant(
            bucket, successor, boot_id, generation, epoch
        )

    def _send_grants(self, now: float) -> None:
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
        self._raise_min_generation(outgoing.bucket, outgoing.generation.successor)
        outgoing.uncertain_until = self.uncertain_until_by_bucket.pop(outgoing.bucket, 0.0)
        del self.tokens_by_bucket[outgoing.bucket]
        self.successors_by_bucket[outgoing.bucket] = outgoing.successor_id
        self._directory.remove_remotes(outgoing.bucket)
        self._counters["grants_released"] += 1

    def on_grant(self, message: Grant, now: float) -> None:
        """Accept the tokens that are newer than any seen, refuse the others, acknowledge all.

        A grant to an earlier incarnation of this agent is ignored, since the present incarnation
        does not know which promises the earlier one made.
        """
        if message.recipient_boot_id != self._boot_id:
            self._counters["messages_of_old_incarnation"] += 1
            return
        receipts = []
        for grant in message.grants:
            receipts.append(BucketReceipt(grant.bucket, grant.generation))
            if self.is_stale(grant.bucket, grant.generation):
                self._counters["grants_refused"] += 1
                continue
            self._counters["grants_taken"] += 1
            if grant.uncertain_s > 0:
                self.uncertain_until_by_bucket[grant.bucket] = now + grant.uncertain_s
            self._directory.install_records(grant.bucket, grant.flows, now)
            self._accept_token(grant.bucket, grant.generation, grant.epoch, now)
        self._outbox.send(message.sender, GrantAck(self._own_id, receipts))

    def on_grant_ack(self, message: GrantAck) -> None:
        """Stop resending grants that the successor has acknowledged."""
        for receipt in message.receipts:
            outgoing = self.outgoing_by_bucket.get(receipt.bucket)
            if outgoing is None or outgoing.successor_id != message.sender:
                continue
            if outgoing.is_released and outgoing.generation == receipt.generation:
                del self.outgoing_by_bucket[receipt.bucket]

    def on_flow_transfer(self, message: FlowTransfer, now: float) -> None:
        """Store flow records that are sent ahead of a grant."""
        if message.recipient_boot_id != self._boot_id:
            self._counters["messages_of_old_incarnation"] += 1
            return
        if not self.is_stale(message.bucket, message.generation):
            self._directory.install_records(message.bucket, message.flows, now)
        self._outbox.send(
            message.sender,
            FlowTransferAck(self._own_id, message.bucket, message.generation, message.part),
        )

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
            self._send_grants(now)
