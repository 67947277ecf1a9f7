"""Guards the placement of openings by a sample of loads."""

from __future__ import annotations

import unittest

from tests.coordination.handshake.fake_network import ARCHIVE
from tests.coordination.handshake.fake_network import DESK
from tests.coordination.handshake.fake_network import FakeNetwork
from wagtailkeel_coordination.handshake.load_sample import DEFAULT_SAMPLE_SIZE

OWNER_COUNT = 1


def build_network(server_count: int) -> FakeNetwork:
    """Return a network in which the agent of another service owns all flows."""
    network = FakeNetwork([ARCHIVE] * OWNER_COUNT + [DESK] * server_count)
    network.balancer.owners.update(list(network.nodes)[:OWNER_COUNT])
    return network


class LoadRequestsTest(unittest.TestCase):
    """The cost of an opening must not grow with the number of servers."""

    def test_number_of_requests_for_one_opening(self) -> None:
        local, limit = DEFAULT_SAMPLE_SIZE.local, DEFAULT_SAMPLE_SIZE.limit
        table = [
            ("few servers", 3, False, 3),
            ("many servers", 60, False, local),
            ("more servers", 200, False, local),
            ("no server accepts", 200, True, limit),
        ]
        for name, server_count, is_draining, expected in table:
            with self.subTest(name):
                network = build_network(server_count)
                for node in list(network.nodes.values())[OWNER_COUNT:]:
                    node.report(is_draining=is_draining)
                network.open("caller")
                self.assertEqual(network.load_requests, expected)
                self.assertEqual(network.resets, int(is_draining))

    def test_openings_in_a_burst_share_the_answers(self) -> None:
        network = build_network(5)
        servers = [network.open(f"caller-{number}") for number in range(50)]
        self.assertEqual(network.load_requests, 5)
        self.assertEqual({servers.count(server) for server in servers}, {10})

    def test_only_servers_of_the_service_are_asked(self) -> None:
        network = FakeNetwork([ARCHIVE] * 6 + [DESK])
        network.balancer.owners.update(list(network.nodes)[:1])
        network.open("caller")
        self.assertEqual(network.load_requests, 1)


class UnansweredRequestsTest(unittest.TestCase):
    """An agent that does not answer must neither block an opening nor be trusted."""

    def test_an_opening_is_placed_without_the_agents_that_do_not_answer(self) -> None:
        for down_count in (1, 2, 3):
            with self.subTest(down_count=down_count):
                network = build_network(4)
                nodes = list(network.nodes.values())[OWNER_COUNT:]
                for node in nodes[:down_count]:
                    node.is_up = False
                server = network.open("caller")
                if not server:
                    network.advance(0.05)
                    server = network.replies[0].server
                self.assertIn(server, [node.server.name for node in nodes[down_count:]])

    def test_an_agent_that_did_not_answer_is_not_asked_again_at_once(self) -> None:
        network = build_network(4)
        dead = list(network.nodes.values())[-1]
        dead.is_up = False
        network.open("first")
        network.advance(0.2)
        requests = network.load_requests
        self.assertTrue(network.open("second"))
        network.advance(0.2)
        self.assertTrue(network.open("third"))
        self.assertLessEqual(network.load_requests - requests, 7)

    def test_copies_of_an_opening_that_awaits_answers_are_dropped(self) -> None:
        network = build_network(3)
        for node in list(network.nodes.values())[OWNER_COUNT:]:
            node.is_up = False
        for attempt in range(3):
            self.assertEqual(network.open("caller", attempt=attempt), "")
        self.assertEqual(network.load_requests, 3)

    def test_no_refusal_while_a_server_has_not_answered(self) -> None:
        """A server may have room without the owner knowing it."""
        network = build_network(3)
        draining, _, dead = list(network.nodes.values())[OWNER_COUNT:]
        draining.report(is_draining=True)
        draining.server.is_full = True
        dead.is_up = False
        list(network.nodes.values())[2].report(is_draining=True)
        self.assertEqual((network.open("caller"), network.resets), ("", 0))
        network.advance(0.1)
        self.assertEqual(network.resets, 0)

    def test_a_copy_goes_to_another_server_if_the_first_agent_died(self) -> None:
        network = build_network(2)
        first = network.open("caller")
        holder = next(n for n in network.nodes.values() if n.server.name == first)
        holder.is_up = False
        network.advance(0.2)
        self.assertEqual(network.open("caller", attempt=1), "")
        network.advance(0.05)
        self.assertEqual(len(network.replies), 1)
        self.assertNotEqual(network.replies[0].server, first)


if __name__ == "__main__":
    unittest.main()
