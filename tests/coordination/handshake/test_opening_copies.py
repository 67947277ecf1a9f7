"""Guards the record of an opening's copies, by which an owner knows whether it may refuse."""

from __future__ import annotations

import unittest

from tests.coordination.handshake.fake_network import DESK
from tests.coordination.handshake.fake_network import FakeNetwork
from wagtailkeel_coordination.handshake import RouterOptions
from wagtailkeel_coordination.handshake.opening_copies import RETENTION_S
from wagtailkeel_coordination.handshake.opening_copies import SWEEP_INTERVAL_S
from wagtailkeel_coordination.handshake.opening_copies import OpeningCopies

KEY = b"caller"
SEQUENCE = 7


class OpeningCopiesTest(unittest.TestCase):
    def test_are_all_here(self) -> None:
        table = [
            ("first transmission", [(0, 0.0)], 0.1, True),
            ("first transmission, a copy may be elsewhere", [(0, 0.0)], 0.2, False),
            ("copy alone", [(1, 0.2)], 0.2, False),
            ("first and copy", [(0, 0.0), (1, 0.2)], 0.3, True),
            ("the same copy twice", [(0, 0.0), (1, 0.2), (1, 0.21)], 0.3, True),
            ("all", [(0, 0.0), (1, 0.2), (2, 0.6)], 0.7, True),
            ("one copy is missing", [(0, 0.0), (2, 0.6)], 0.6, False),
            ("the missing copy comes late", [(0, 0.0), (2, 0.6), (1, 0.61)], 0.62, False),
            ("the port is used again", [(2, 0.0), (0, 1.0)], 1.1, True),
            ("unknown", [], 0.0, False),
        ]
        for name, received, now, expected in table:
            with self.subTest(name):
                copies = OpeningCopies()
                for number, at in received:
                    copies.record(KEY, SEQUENCE, number, at)
                self.assertIs(copies.are_all_here(KEY, now), expected)

    def test_records_are_removed(self) -> None:
        copies = OpeningCopies()
        copies.record(KEY, SEQUENCE, 0, 1.0)
        copies.sweep(1.0 + RETENTION_S + SWEEP_INTERVAL_S)
        self.assertEqual(copies.first_received_at(KEY, 9.0), 9.0)


class OwnerChangeTest(unittest.TestCase):
    """A queued opening is returned after another owner has placed a copy of it."""

    def test_no_reset_of_the_flow_that_the_copy_opened(self) -> None:
        network = FakeNetwork(
            [DESK] * 3, cold_starts_per_s=1.0, options=RouterOptions(max_opening_wait_s=1.2)
        )
        first, second, third = network.nodes.values()
        for node in network.nodes.values():
            node.report(cold_for_s=0.8)
        network.balancer.owners.update([first.address])
        for number in range(3):
            self.assertTrue(network.open(f"earlier-{number}"))
        self.assertEqual(network.open("caller"), "")
        third.report()
        second.router.owner.placer.loads.remove(third.address)
        network.balancer.owners.update([second.address])
        network.now += 0.21
        server = network.open("caller", attempt=1)
        self.assertEqual(network.request("caller", server), server)
        for node in network.nodes.values():
            node.report(is_draining=True)
        network.replies.clear()
        network.advance(0.9)
        network.advance(0.1)
        self.assertEqual(network.resets, 0)


if __name__ == "__main__":
    unittest.main()
