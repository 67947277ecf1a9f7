"""Guards placement by aged loads, and openings that an agent declines."""

from __future__ import annotations

import unittest
from random import Random

from tests.coordination.handshake.fake_network import ARCHIVE
from tests.coordination.handshake.fake_network import DESK
from tests.coordination.handshake.fake_network import FakeNetwork
from wagtailkeel_coordination.handshake import RouterOptions
from wagtailkeel_coordination.handshake.aged_load import AgedLoadChoice
from wagtailkeel_coordination.handshake.crossing_cost import CrossingCost
from wagtailkeel_coordination.handshake.server_choice import REMOTE_PENALTY_MS
from wagtailkeel_coordination.handshake.server_choice import PeerLoad
from wagtailkeel_coordination.handshake.server_choice import choose_server
from wagtailkeel_protocol.messages import ServerLoad
from wagtailkeel_protocol.relay import RelayKind

AGED_LOADS = RouterOptions(placement="aged_loads")


class AgedLoadChoiceTest(unittest.TestCase):
    def test_an_old_load_of_an_idle_server_loses_to_a_recent_one(self) -> None:
        """All owners that have the old report would choose that server."""
        choice = AgedLoadChoice(CrossingCost("east"), lambda: 10.0)
        for opened_flows, now in ((1, 9.0), (21, 9.8)):
            choice.rates.record(("old", 1), opened_flows, now)
        peers = [
            PeerLoad(("old", 1), "east", ServerLoad(1, True, 0, 0, 1, 20.0), 9.8),
            PeerLoad(("recent", 1), "east", ServerLoad(1, True, 1, 0, 1, 20.0), 10.0),
        ]
        for choose, expected in ((choice, "recent"), (choose_server, "old")):
            peer = choose(peers, "east", set(), Random(1))
            self.assertEqual(peer.address[0] if peer is not None else None, expected)

    def test_crossing_costs_the_longer_round_trip(self) -> None:
        cost = CrossingCost("east")
        self.assertEqual(cost.cost_ms("west"), REMOTE_PENALTY_MS)
        for round_trip_s in (0.009, *[0.004] * 40, 0.03):
            cost.record("east", 0.001)
            cost.record("west", round_trip_s)
        self.assertAlmostEqual(cost.cost_ms("west"), 3.0, delta=0.7)


class DeclinedOpeningTest(unittest.TestCase):
    """An opening must not wait at one server, or be refused, while another one is idle."""

    def test_a_full_server_declines_an_opening_once(self) -> None:
        for server_count, options in ((1, AGED_LOADS), (2, AGED_LOADS), (2, RouterOptions())):
            with self.subTest(server_count=server_count, placement=options.placement):
                network = FakeNetwork([ARCHIVE] * 2 + [DESK] * server_count, options=options)
                owners = list(network.nodes)[:2]
                opened = []
                for number in range(3 * server_count):
                    # Neither owner counts the openings of the other one in a report that it has.
                    network.balancer.owners.update([owners[number % 2]])
                    opened.append(network.open(f"caller-{number}"))
                self.assertNotIn("", opened)
                self.assertEqual(network.resets, 0)
                self.assertLessEqual(network.frames[RelayKind.DECLINED], server_count)
                is_aged = options is AGED_LOADS
                self.assertEqual(network.frames[RelayKind.DECLINED] > 0, is_aged)
                self.assertEqual(network.frames[RelayKind.OFFER] > 0, is_aged)


if __name__ == "__main__":
    unittest.main()
