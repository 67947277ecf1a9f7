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
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination.buckets.bucket_claims import BucketClaims
from wagtailkeel_coordination.buckets.bucket_grants import BucketGrants
from wagtailkeel_coordination.buckets.bucket_tokens import BucketTokens
from wagtailkeel_coordination.buckets.bucket_uncertainty import BucketUncertainty
from wagtailkeel_coordination.buckets.claim_answers import pack_answers
from wagtailkeel_coordination.buckets.claim_answers import split_answer
from wagtailkeel_coordination.lease import LEASE_MARGIN_S
from wagtailkeel_coordination.lease import LEASE_S
from wagtailkeel_protocol.messages import BucketReceipt
from wagtailkeel_protocol.messages import ClaimAnswer
from wagtailkeel_protocol.messages import FlowTransferAck
from wagtailkeel_protocol.messages import GrantAck
from wagtailkeel_state.generation import Generation

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from wagtailkeel_coordination.buckets.bucket_claim import BucketClaim
    from wagtailkeel_coordination.buckets.outgoing_grant import OutgoingGrant
    from wagtailkeel_coordination.counters import Counters
    from wagtailkeel_coordination.outbox import DatagramOutbox
    from wagtailkeel_protocol.gue import DataFrame
    from wagtailkeel_protocol.messages import BucketAnswer
    from wagtailkeel_protocol.messages import Claim
    from wagtailkeel_protocol.messages import FlowTransfer
    from wagtailkeel_protocol.messages import Grant
    from wagtailkeel_state.flow_directory import FlowDirectory
    from wagtailkeel_state.owner_table import OwnerTable


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
        self.has_incomplete_flow_table = False
        self.table: OwnerTable | None = None
        self._own_id = own_id
        self._boot_id = boot_id
        self._directory = directory
        self._outbox = outbox
        self._counters = counters
        self._tokens = BucketTokens()
        self._uncertainty = BucketUncertainty()
        self._lost_owners_by_bucket: dict[int, str] = {}
        self._grants = BucketGrants(
            own_id,
            self._tokens,
            self._uncertainty,
            self._lost_owners_by_bucket,
            directory,
            outbox,
            counters,
        )
        self._claims = BucketClaims(
            own_id, self._lost_owners_by_bucket, directory, outbox, counters, replay_frames
        )
        self._boot_ids_by_member: dict[str, int] = {}
        self._takeover_not_before = float("-inf")

    @property
    def tokens_by_bucket(self) -> Mapping[int, Generation]:
        """Generations of the tokens that this agent holds."""
        return self._tokens.tokens_by_bucket

    @property
    def successors_by_bucket(self) -> Mapping[int, str]:
        """Agents to which tokens held here before were granted."""
        return self._tokens.successors_by_bucket

    @property
    def claims_by_bucket(self) -> Mapping[int, BucketClaim]:
        """Claims in progress."""
        return self._claims.claims_by_bucket

    @property
    def lost_owners_by_bucket(self) -> Mapping[int, str]:
        """The buckets' last owners that were removed or have restarted, as far as known."""
        return self._lost_owners_by_bucket

    @property
    def outgoing_by_bucket(self) -> Mapping[int, OutgoingGrant]:
        """Grants that successors have not acknowledged yet."""
        return self._grants.outgoing_by_bucket

    @property
    def incomplete_since_by_id(self) -> Mapping[str, float]:
        """When members first reported an incomplete flow table."""
        return self._uncertainty.incomplete_since_by_id

    @property
    def has_tokens_to_grant(self) -> bool:
        """Return whether this agent has tokens, or grants not acknowledged yet.

        False if the table has no owner that could receive them.
        """
        has_successors = self.table is not None and self.table.has_owners
        return has_successors and bool(self.tokens_by_bucket or self.outgoing_by_bucket)

    def is_authority(self, bucket: int) -> bool:
        """Return whether this agent holds the bucket's token."""
        return self._tokens.is_held(bucket)

    def knows_members_of_token(self, bucket: int) -> bool:
        """Return whether this agent's table is no older than the one its token was sent under.

        Otherwise it may not know of members that have been removed or have restarted.
        """
        if not self._tokens.is_held(bucket) or self.table is None:
            return False
        return self.table.epoch >= self._tokens.received_epoch(bucket)

    def is_placement_stale(self, bucket: int, token_epoch: int) -> bool:
        """Return whether a placement was made under a token older than a promise of this agent."""
        return self._tokens.is_placement_stale(bucket, token_epoch)

    def is_uncertain(self, bucket: int, now: float) -> bool:
        """Return whether an unknown flow may already run on a server whose records are missing."""
        return self._uncertainty.is_uncertain(bucket, now)

    # Members and tables

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
        if not self._is_member:
            self._discard_tokens()
        if removed_ids:
            lease_end = now + LEASE_S + LEASE_MARGIN_S
            self._takeover_not_before = max(self._takeover_not_before, lease_end)
        if removed_ids - {self._own_id}:
            # Retransmissions of flows that this agent's own former incarnation placed on the local
            # backend server reach the same server again, so its own removal causes no uncertainty.
            self._uncertainty.record_removal(now)
        self._discard_members(changed_ids)
        self._restart_claims(table, previous, changed_ids, now)
        self._grant_reassigned_buckets(table)

    @property
    def _is_member(self) -> bool:
        return self._boot_ids_by_member.get(self._own_id) == self._boot_id

    def _discard_members(self, changed_ids: set[str]) -> None:
        """Discard reports of, and grants to, members that were removed or have restarted."""
        self._uncertainty.discard_reports(changed_ids)
        self._grants.cancel_all_to(changed_ids)
        self._tokens.remove_successors(changed_ids)

    def _restart_claims(
        self, table: OwnerTable, previous: OwnerTable | None, changed_ids: set[str], now: float
    ) -> None:
        """Claim the owned buckets whose token is missing."""
        if not self._is_member:
            self._claims.clear()
            return
        owned = table.buckets_of(self._own_id)
        missing = [bucket for bucket in owned if not self._tokens.is_held(bucket)]
        other_ids = self._boot_ids_by_member.keys() - {self._own_id}
        self._claims.restart(missing, table, previous, other_ids, changed_ids, now)

    def _grant_reassigned_buckets(self, table: OwnerTable) -> None:
        """Grant tokens of buckets that others own, unless received under a newer table."""
        for bucket in list(self.tokens_by_bucket):
            if table.owner_of(bucket) == self._own_id:
                self._grants.cancel(bucket)
            elif table.epoch >= self._tokens.received_epoch(bucket):
                self._grant_to_owner(bucket, table)

    def _grant_to_owner(self, bucket: int, table: OwnerTable) -> None:
        owner = table.owner_of(bucket)
        boot_id = self._boot_ids_by_member.get(owner) if owner is not None else None
        if owner is not None and boot_id is not None and owner != self._own_id:
            self._grants.start(bucket, owner, boot_id, table.epoch)

    def start_incarnation(self, boot_id: int) -> None:
        """Discard all tokens, after control removed the previous incarnation from the members."""
        self._boot_id = boot_id
        self._discard_tokens()

    def _discard_tokens(self) -> None:
        self._tokens.clear()
        self._claims.clear()
        self._grants.clear()

    def tick(self, now: float) -> None:
        """Send claims and grants that are due; take over buckets that all others denied holding."""
        if self.table is not None:
            self._claims.send(self._boot_id, self.table.epoch, now)
        self._take_over(now)
        self._grants.send(now)

    # Claims

    def _take_over(self, now: float) -> None:
        if now < self._takeover_not_before:
            return
        for claim in self._claims.list_denied():
            generation = Generation(claim.epoch, 0)
            if self._tokens.is_stale(claim.bucket, generation):
                continue
            self._counters["takeovers"] += 1
            self._uncertainty.on_takeover(claim.bucket, now)
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
        self._grants.send(now)

    def _answer_claim(self, message: Claim, bucket: int) -> list[BucketAnswer]:
        if self._tokens.is_held(bucket):
            if self._is_entitled(message, bucket):
                self._grants.start(bucket, message.sender, message.boot_id, message.epoch)
            return split_answer(bucket, True, [])
        if not self._tokens.promise(bucket, message.epoch):
            # A newer token was seen here: the claimant has an old table and must not take over.
            self._counters["claims_outdated"] += 1
            return []
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
        """Record a member's answers to this agent's claims."""
        if self._boot_ids_by_member.get(message.sender) != message.boot_id:
            self._counters["messages_of_old_incarnation"] += 1
            return
        if message.has_lost_memory:
            self._uncertainty.record_incomplete(message.sender, now)
        self._claims.on_answer(message, now)

    # Tokens

    def _accept_token(self, bucket: int, generation: Generation, epoch: int, now: float) -> None:
        self._tokens.accept(bucket, generation, epoch)
        self._grants.cancel(bucket)
        self._claims.end(bucket, now)
        if self.table is None or self.table.epoch < epoch:
            # The sender knew a newer table; granting by the older one would send the token back.
            return
        self._grant_to_owner(bucket, self.table)

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
            if self._tokens.is_stale(grant.bucket, grant.generation):
                self._counters["grants_refused"] += 1
                continue
            self._counters["grants_taken"] += 1
            if grant.lost_owner_id:
                self._lost_owners_by_bucket[grant.bucket] = grant.lost_owner_id
            self._uncertainty.on_grant(grant.bucket, grant.uncertain_s, now)
            self._directory.install_records(grant.bucket, grant.flows, now)
            self._accept_token(grant.bucket, grant.generation, grant.epoch, now)
        self._outbox.send(message.sender, GrantAck(self._own_id, receipts))

    def on_grant_ack(self, message: GrantAck) -> None:
        """Stop resending grants that the successor has acknowledged."""
        self._grants.on_grant_ack(message)

    def on_flow_transfer(self, message: FlowTransfer, now: float) -> None:
        """Store flow records that are sent ahead of a grant."""
        if message.recipient_boot_id != self._boot_id:
            self._counters["messages_of_old_incarnation"] += 1
            return
        if not self._tokens.is_stale(message.bucket, message.generation):
            self._directory.install_records(message.bucket, message.flows, now)
        self._outbox.send(
            message.sender,
            FlowTransferAck(self._own_id, message.bucket, message.generation, message.part),
        )

    def on_flow_transfer_ack(self, message: FlowTransferAck, now: float) -> None:
        """Grant the token once the successor has acknowledged all parts."""
        self._grants.on_flow_transfer_ack(message, now)
