"""Guards replies that need several datagrams, over links that lose, repeat and reorder them."""

from __future__ import annotations

import unittest
from random import Random

from wagtailkeel_coordination.reply_parts import MAX_PARTS
from wagtailkeel_coordination.reply_parts import PART_BYTES
from wagtailkeel_coordination.reply_parts import PARTS_IN_FLIGHT
from wagtailkeel_coordination.reply_parts import ReplyAssembly
from wagtailkeel_coordination.reply_parts import split_reply
from wagtailkeel_protocol.codec import encode_datagram
from wagtailkeel_protocol.messages import CallReply

CALL_ID = 2**53
MAX_DATAGRAM_BYTES = 1_200
MAX_ROUNDS = 200


def body_of(size: int, seed: int = 1) -> bytes:
    return Random(seed).randbytes(size)


class ReplyPartsTest(unittest.TestCase):
    def test_sizes(self) -> None:
        table = [
            ("empty", 0, 1),
            ("one part", PART_BYTES, 1),
            ("one byte more", PART_BYTES + 1, 2),
            ("largest", PART_BYTES * MAX_PARTS, MAX_PARTS),
            ("too large", PART_BYTES * MAX_PARTS + 1, 0),
        ]
        for name, size, part_count in table:
            with self.subTest(name):
                parts = split_reply(CALL_ID, body_of(size))
                self.assertEqual(len(parts), part_count)
                for part in parts:
                    self.assertLessEqual(len(encode_datagram(part)), MAX_DATAGRAM_BYTES)

    def test_lossy_links(self) -> None:
        """200 nodes start behind slow links; each reply arrives whole, a few parts in flight."""
        table = [("no loss", 0.0, 0.0), ("loss", 0.3, 0.0), ("loss and duplicates", 0.3, 0.3)]
        for name, loss, duplicates in table:
            for seed in range(20):
                with self.subTest(name, seed=seed):
                    self.transfer(Random(seed), loss, duplicates)

    def transfer(self, random: Random, loss: float, duplicates: float) -> None:
        body = body_of(random.randrange(PART_BYTES * MAX_PARTS), random.randrange(100))
        parts = split_reply(CALL_ID, body)
        assembly = ReplyAssembly()
        in_flight = list(parts[:PARTS_IN_FLIGHT])
        for _ in range(MAX_ROUNDS):
            self.assertLessEqual(len(in_flight), PARTS_IN_FLIGHT)
            random.shuffle(in_flight)
            requested = self.deliver(assembly, in_flight, random, loss, duplicates)
            if assembly.is_complete:
                break
            # After a silence, the lost parts are requested again, or the call is made again.
            numbers = requested or assembly.lost_parts() or range(PARTS_IN_FLIGHT)
            in_flight = [parts[number] for number in numbers if number < len(parts)]
        self.assertEqual(assembly.body, body)

    def deliver(
        self,
        assembly: ReplyAssembly,
        in_flight: list[CallReply],
        random: Random,
        loss: float,
        duplicates: float,
    ) -> list[int]:
        requested: list[int] = []
        for part in in_flight:
            if random.random() < loss:
                continue
            for _ in range(2 if random.random() < duplicates else 1):
                requested = assembly.add(part) or requested
        return requested

    def test_two_executions_are_not_combined(self) -> None:
        """The configuration changed between a call and its retry, whose replies are as long."""
        old, new = (split_reply(CALL_ID, body_of(3 * PART_BYTES, seed)) for seed in (1, 2))
        assembly = ReplyAssembly()
        assembly.add(old[0])
        assembly.add(old[1])
        for part in new:
            self.assertFalse(assembly.is_complete)
            assembly.add(part)
        self.assertTrue(assembly.is_complete)
        self.assertEqual(assembly.body, body_of(3 * PART_BYTES, 2))

    def test_malformed_parts_are_ignored(self) -> None:
        table = [
            ("negative part", -1, 2),
            ("part beyond the last", 2, 2),
            ("no parts", 0, 0),
            ("too many parts", 0, MAX_PARTS + 1),
        ]
        for name, part, part_count in table:
            with self.subTest(name):
                assembly = ReplyAssembly()
                self.assertEqual(assembly.add(CallReply(CALL_ID, part, part_count, 1, b"x")), [])
                self.assertFalse(assembly.is_complete)


if __name__ == "__main__":
    unittest.main()
