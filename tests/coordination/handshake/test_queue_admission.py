"""Guards openings that wait for busy servers, which must neither be lost nor hidden from owners."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from tests.coordination.handshake.fake_network import ARCHIVE
from tests.coordination.handshake.fake_network import DESK
from tests.coordination.handshake.fake_network import FakeNetwork
from tests.coordination.handshake.fake_network import FakeNode
from wagtailkeel_coordination.handshake import RouterOptions
from wagtailkeel_coordination.handshake import queue_admission

MAX_WAIT_S = 1.3
TARGET_S = 0.4
TICK_S = 0.05
DELIVERED_AT_ONCE = 2
"""One for the only slot of a server, and one more while its caller completes the handshake."""
QUEUED = 3
"""An unknown service time counts as the target, so the fourth opening would wait too long."""


def build_network(server_count: int = 1) -> FakeNetwork:
    """Return a network in which the agent of another service owns all flows."""
    options = RouterOptions(max_opening_wait_s=MAX_WAIT_S, queue_when_busy=True)
    network = FakeNetwork([ARCHIVE] + [DESK] * server_count, options=options)
    network.balancer.owners.update(list(network.nodes)[:1])
    network.apply_routing(network.document(2, target_s=TARGET_S))
    return network


def fill(network: FakeNetwork, count: int) -> int:
    """Open flows; return how many openings were refused."""
    refused = 0
    for number in range(count):
        network.open(f"caller-{number}")
        refused += network.resets
    return refused


def desk_nodes(network: FakeNetwork) -> list[FakeNode]:
    return list(network.nodes.values())[1:]


class BusyServerTest(unittest.TestCase):
    def test_openings_wait_for_a_busy_server(self) -> None:
        network = build_network()
        (node,) = desk_nodes(network)
        self.assertEqual(fill(network, DELIVERED_AT_ONCE + QUEUED + 1), 1)
        self.assertEqual(len(node.server.openings), DELIVERED_AT_ONCE)
        network.advance(MAX_WAIT_S)
        self.assertEqual(len(node.server.openings), DELIVERED_AT_ONCE + QUEUED)
        self.assertEqual(node.counters["openings_queued"], QUEUED)

    def test_an_opening_that_arrives_later_does_not_pass_those_that_wait(self) -> None:
        network = build_network()
        (node,) = desk_nodes(network)
        fill(network, DELIVERED_AT_ONCE + 1)
        network.now += 0.11
        network.open("later")
        self.assertEqual(len(node.server.openings), DELIVERED_AT_ONCE)
        network.advance(2 * TICK_S)
        self.assertEqual(len(node.server.openings), DELIVERED_AT_ONCE + 2)

    def test_owners_find_the_queue_of_a_busy_server(self) -> None:
        network = build_network()
        (node,) = desk_nodes(network)
        table = [(DELIVERED_AT_ONCE, False, 400.0), (1, False, 800.0), (1, False, 1_200.0)]
        for number, (count, accepts, room_in_ms) in enumerate([*table, (1, False, 0.0)]):
            for opening in range(count):
                network.open(f"caller-{number}-{opening}")
            load = node.router.build_load(network.now)
            self.assertEqual((load.accepts, round(load.room_in_ms, 1)), (accepts, room_in_ms))

    def test_a_server_restart_keeps_the_queue(self) -> None:
        network = build_network()
        (node,) = desk_nodes(network)
        fill(network, DELIVERED_AT_ONCE + QUEUED)
        node.report(started_at_ms=2)
        self.assertEqual(len(node.router.holder.queue), QUEUED)

    def test_copies_of_a_queued_opening_are_dropped(self) -> None:
        network = build_network()
        (node,) = desk_nodes(network)
        fill(network, DELIVERED_AT_ONCE + QUEUED)
        network.open(f"caller-{DELIVERED_AT_ONCE}", attempt=1)
        self.assertEqual(network.resets, 0)
        self.assertEqual(node.counters["dropped_copy_of_queued_opening"], 1)

    def test_the_queue_is_bounded(self) -> None:
        network = build_network()
        (node,) = desk_nodes(network)
        with patch.object(queue_admission, "MAX_QUEUED_OPENINGS", 1):
            fill(network, DELIVERED_AT_ONCE + QUEUED)
        self.assertEqual(len(node.router.holder.queue), 1)


class ReturnedOpeningsTest(unittest.TestCase):
    """Callers must learn that their request was not run before they give up."""

    def test_openings_that_cannot_be_served_any_more(self) -> None:
        network = build_network()
        (node,) = desk_nodes(network)
        fill(network, DELIVERED_AT_ONCE + QUEUED)
        node.router.held.service_s = 5.0
        network.replies.clear()
        network.advance(TICK_S)
        self.assertEqual(node.counters["openings_returned_unservable"], QUEUED)
        self.assertEqual(network.resets, QUEUED)

    def test_a_server_that_begins_to_drain(self) -> None:
        network = build_network()
        (node,) = desk_nodes(network)
        fill(network, DELIVERED_AT_ONCE + QUEUED)
        node.report(is_draining=True)
        network.replies.clear()
        network.advance(TICK_S)
        self.assertEqual(node.counters["openings_returned_not_admitted"], QUEUED)
        self.assertEqual(network.resets, QUEUED)

    def test_an_agent_that_stops(self) -> None:
        """Without the return, callers would wait until their openings time out."""
        network = build_network(server_count=2)
        stopping, other = desk_nodes(network)
        fill(network, 2 * DELIVERED_AT_ONCE + QUEUED)
        returned = len(stopping.router.holder.queue)
        self.assertGreater(returned, 0)
        stopping.router.gate.is_leaving = True
        stopping.router.return_queue(network.now)
        network.run()
        network.advance(MAX_WAIT_S)
        self.assertEqual(stopping.counters["openings_returned_stopping"], returned)
        self.assertEqual(len(stopping.server.openings), DELIVERED_AT_ONCE)
        self.assertEqual(len(other.server.openings), DELIVERED_AT_ONCE + QUEUED)

    def test_the_next_copy_of_an_opening_finds_that_its_agent_died(self) -> None:
        network = build_network(server_count=2)
        fill(network, 2 * DELIVERED_AT_ONCE + 1)
        dead = next(n for n in desk_nodes(network) if len(n.router.holder.queue))
        dead.is_up = False
        network.advance(0.2)
        network.open(f"caller-{2 * DELIVERED_AT_ONCE}", attempt=1)
        network.advance(TICK_S)
        other = next(n for n in desk_nodes(network) if n is not dead)
        self.assertEqual(len(other.server.openings), DELIVERED_AT_ONCE + 1)


if __name__ == "__main__":
    unittest.main()
