from __future__ import annotations

import unittest
from collections import Counter

from wagtailkeel_coordination import BucketAuthority
from wagtailkeel_coordination.buckets.bucket_claims import CLAIM_DELAY_S
from wagtailkeel_coordination.buckets.bucket_uncertainty import CALLER_RETRY_WINDOW_S
from wagtailkeel_coordination.lease import LEASE_MARGIN_S
from wagtailkeel_coordination.lease import LEASE_S
from wagtailkeel_protocol.messages import AnyDatagram
from wagtailkeel_protocol.messages import BucketAnswer
from wagtailkeel_protocol.messages import BucketGrant
from wagtailkeel_protocol.messages import Claim
from wagtailkeel_protocol.messages import ClaimAnswer
from wagtailkeel_protocol.messages import FlowTransfer
from wagtailkeel_protocol.messages import FlowTransferAck
from wagtailkeel_protocol.messages import Grant
from wagtailkeel_protocol.messages import GrantAck
from wagtailkeel_state import FlowDirectory
from wagtailkeel_state import FlowRecord
from wagtailkeel_state import Generation
from wagtailkeel_state import OwnerTable

BUCKET = 0
BOOT_IDS = {"a": 1, "b": 2, "c": 3}
LEASE_WAIT_S = LEASE_S + LEASE_MARGIN_S


class Outbox:
    def __init__(self) -> None:
        self.sent: list[tuple[str, AnyDatagram]] = []

    def send(self, instance_id: str, message: AnyDatagram) -> None:
        self.sent.append((instance_id, message))

    def of_type(self, kind: type) -> list[tuple[str, AnyDatagram]]:
        return [(to, message) for to, message in self.sent if isinstance(message, kind)]


class BucketAuthorityTest(unittest.TestCase):
    """Lost, late and duplicate messages must not give a bucket two authorities.

    The agent under test is "a".
    """

    def setUp(self) -> None:
        self.outbox = Outbox()
        self.directory = FlowDirectory()
        self.counters: Counter[str] = Counter()
        self.authority = BucketAuthority(
            "a", 1, self.directory, self.outbox, self.counters, lambda frames: None
        )

    def apply(self, epoch: int, owner: str, *, removed: str = "", now: float = 0.0) -> None:
        members = {key: boot for key, boot in BOOT_IDS.items() if key != removed}
        removed_ids = {removed} if removed else set()
        self.authority.apply_table(
            OwnerTable.with_single_owner(epoch, owner), members, removed_ids, now
        )

    def deny(self, member: str, epoch: int, now: float = 0.0) -> None:
        """Answer the agent's claim: ``member`` denies holding the token."""
        answers = [BucketAnswer(BUCKET, False, [])]
        self.authority.on_claim_answer(ClaimAnswer(member, BOOT_IDS[member], epoch, answers), now)

    def grant(self, generation: Generation, boot_id: int = 1, epoch: int = 5) -> None:
        grants = [BucketGrant(BUCKET, generation, epoch, [])]
        self.authority.on_grant(Grant("b", boot_id, grants), 0.0)

    def hold(self) -> None:
        """Make the agent the bucket's authority."""
        self.apply(5, "a")
        self.grant(Generation(4, 0))
        self.assertTrue(self.authority.is_authority(BUCKET))

    def test_takeover_needs_every_answer(self) -> None:
        for answering, is_taken in (([], False), (["b"], False), (["b", "c"], True)):
            with self.subTest(answering=answering):
                self.setUp()
                self.apply(5, "a")
                for member in answering:
                    self.deny(member, 5)
                self.authority.tick(CLAIM_DELAY_S)
                self.assertEqual(self.authority.is_authority(BUCKET), is_taken)

    def test_takeover_waits_for_leases_after_a_removal(self) -> None:
        for now, is_taken in ((LEASE_WAIT_S - 0.01, False), (LEASE_WAIT_S, True)):
            with self.subTest(now=now):
                self.setUp()
                self.apply(5, "a", removed="c")
                self.deny("b", 5)
                self.authority.tick(now)
                self.assertEqual(self.authority.is_authority(BUCKET), is_taken)

    def test_takeover_after_a_removal_is_uncertain_for_the_retry_window(self) -> None:
        for removed, is_uncertain in (("c", True), ("", False)):
            with self.subTest(removed=removed):
                self.setUp()
                self.apply(5, "a", removed=removed)
                for member in ("b", "c"):
                    self.deny(member, 5)
                self.authority.tick(LEASE_WAIT_S)
                self.assertTrue(self.authority.is_authority(BUCKET))
                found = self.authority.is_uncertain(BUCKET, LEASE_WAIT_S)
                self.assertEqual(found, is_uncertain)
                self.assertFalse(self.authority.is_uncertain(BUCKET, CALLER_RETRY_WINDOW_S))

    def test_denial_promises_to_refuse_older_grants(self) -> None:
        for claimed, granted, is_taken in ((7, 6, False), (7, 7, True), (6, 7, True)):
            with self.subTest(claimed=claimed, granted=granted):
                self.setUp()
                self.apply(5, "a")
                self.authority.on_claim(Claim("c", 3, claimed, [BUCKET]), 0.0)
                self.grant(Generation(granted, 4))
                self.assertEqual(self.authority.is_authority(BUCKET), is_taken)

    def test_claim_of_an_old_table_is_not_denied_after_the_token_was_granted(self) -> None:
        for epoch, denials in ((6, 0), (7, 1)):
            with self.subTest(epoch=epoch):
                self.setUp()
                self.hold()
                self.apply(6, "b")
                self.authority.tick(1.0)
                self.authority.on_claim(Claim("c", 3, epoch, [BUCKET]), 1.0)
                self.assertEqual(len(self.outbox.of_type(ClaimAnswer)), denials)

    def test_no_takeover_below_a_promised_epoch(self) -> None:
        self.apply(5, "a")
        self.authority.on_claim(Claim("c", 3, 6, [BUCKET]), 0.0)
        for member in ("b", "c"):
            self.deny(member, 5)
        self.authority.tick(1.0)
        self.assertFalse(self.authority.is_authority(BUCKET))

    def test_duplicate_grant_is_refused_after_the_token_was_granted(self) -> None:
        self.hold()
        self.apply(6, "b")
        self.authority.tick(1.0)
        self.assertFalse(self.authority.is_authority(BUCKET))
        self.grant(Generation(4, 0))
        self.assertFalse(self.authority.is_authority(BUCKET))
        self.assertEqual(self.counters["grants_refused"], 1)

    def test_grant_to_an_earlier_incarnation_is_ignored(self) -> None:
        self.apply(5, "a")
        self.grant(Generation(4, 0), boot_id=99)
        self.assertFalse(self.authority.is_authority(BUCKET))
        self.assertEqual(self.outbox.of_type(GrantAck), [])

    def test_grant_is_sent_until_acknowledged(self) -> None:
        self.hold()
        self.apply(6, "b")
        for now in (1.0, 2.0):
            self.authority.tick(now)
        grants = self.outbox.of_type(Grant)
        self.assertEqual([to for to, _ in grants], ["b", "b"])
        message = grants[0][1]
        assert isinstance(message, Grant)
        self.assertEqual(message.grants[0].generation, Generation(6, 1))
        receipt = message.grants[0]
        self.authority.on_grant_ack(GrantAck.from_grant("b", receipt.bucket, receipt.generation))
        self.authority.tick(3.0)
        self.assertEqual(len(self.outbox.of_type(Grant)), 2)

    def test_large_bucket_is_transferred_before_its_token(self) -> None:
        self.hold()
        records = [FlowRecord(bytes([n]) * 13, "b") for n in range(70)]
        self.directory.install_records(BUCKET, records, 0.0)
        self.apply(6, "b")
        self.authority.tick(1.0)
        self.assertTrue(self.authority.is_authority(BUCKET), "the holder stays the authority")
        for _, part in self.outbox.of_type(FlowTransfer):
            assert isinstance(part, FlowTransfer)
            self.authority.on_flow_transfer_ack(
                FlowTransferAck("b", part.bucket, part.generation, part.part), 1.1
            )
        self.assertFalse(self.authority.is_authority(BUCKET))
        parts = [p for _, p in self.outbox.of_type(FlowTransfer) if isinstance(p, FlowTransfer)]
        last = next(g for _, g in self.outbox.of_type(Grant) if isinstance(g, Grant))
        sent = [flow for part in parts for flow in part.flows] + last.grants[0].flows
        self.assertCountEqual(sent, records)

    def test_owner_that_is_no_member_gets_no_grant(self) -> None:
        self.hold()
        self.apply(6, "stranger")
        self.authority.tick(1.0)
        self.assertTrue(self.authority.is_authority(BUCKET))

    def test_removed_incarnation_discards_its_tokens(self) -> None:
        self.hold()
        self.authority.apply_table(
            OwnerTable.with_single_owner(6, "b"), {"b": 2, "c": 3}, {"a"}, 0.0
        )
        self.assertFalse(self.authority.is_authority(BUCKET))


if __name__ == "__main__":
    unittest.main()
