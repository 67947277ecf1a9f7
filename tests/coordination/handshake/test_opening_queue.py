"""Guards openings that wait for cold servers, after all servers of a service have restarted."""

from __future__ import annotations

import unittest

from tests.coordination.handshake.fake_network import DESK
from tests.coordination.handshake.fake_network import FakeNetwork
from wagtailkeel_coordination.handshake import RouterOptions
from wagtailkeel_coordination.handshake.opening_queue import OpeningQueue
from wagtailkeel_coordination.handshake.opening_queue import QueuedOpening
from wagtailkeel_protocol.relay import RelayFrame
from wagtailkeel_protocol.relay import RelayKind

COLD_OPENINGS_PER_S = 2
MAX_WAIT_S = 1.3
TICK_S = 0.05
NOW = 10.0


def build_cold_network(cold_for_s: float, server_count: int = 1) -> FakeNetwork:
    network = FakeNetwork(
        [DESK] * server_count,
        cold_starts_per_s=COLD_OPENINGS_PER_S,
        options=RouterOptions(max_opening_wait_s=MAX_WAIT_S),
    )
    for node in network.nodes.values():
        node.report(cold_for_s=cold_for_s)
    return network


def build_opening(name: str, priority: int, late_from: float, expires_at: float) -> QueuedOpening:
    frame = RelayFrame(RelayKind.QUEUE, 0, 1, 1, b"")
    return QueuedOpening(frame, name.encode(), ("", 0), priority, late_from, expires_at)


class ColdServersTest(unittest.TestCase):
    def test_openings_wait_until_their_server_is_warm(self) -> None:
        network = build_cold_network(1.0)
        served = [bool(network.open(f"caller-{number}")) for number in range(6)]
        self.assertEqual(served, [True, True, False, False, False, False])
        self.assertEqual(network.resets, 0)
        answers = []
        for _ in range(21):
            network.replies.clear()
            network.advance(TICK_S)
            answers += network.replies
        self.assertEqual(len(answers), 4)
        self.assertEqual(network.resets, 0)

    def test_no_more_openings_than_a_cold_server_can_handle(self) -> None:
        network = build_cold_network(5.0)
        node = next(iter(network.nodes.values()))
        for number in range(4):
            network.open(f"caller-{number}")
        self.assertEqual(len(node.server.openings), 2)
        for _ in range(20):
            network.advance(TICK_S)
        self.assertEqual(len(node.server.openings), 2)
        for _ in range(3):
            network.advance(TICK_S)
        self.assertEqual(len(node.server.openings), 4)

    def test_an_opening_is_refused_at_once_if_room_comes_too_late(self) -> None:
        network = build_cold_network(5.0)
        outcomes = []
        for number in range(6):
            network.open(f"caller-{number}")
            outcomes.append(network.resets)
        self.assertEqual(outcomes, [0, 0, 0, 0, 1, 1])

    def test_copies_of_a_queued_opening_change_nothing(self) -> None:
        network = build_cold_network(1.0, server_count=2)
        for number in range(8):
            network.open(f"caller-{number}")
        for attempt in (1, 2):
            network.advance(0.2)
            for number in range(8):
                network.open(f"caller-{number}", attempt=attempt)
                self.assertEqual(network.resets, 0)
        network.advance(0.7)
        openings = [key for node in network.nodes.values() for key in node.server.openings]
        self.assertEqual(len(set(openings)), 8)
        network.advance(TICK_S)

    def test_a_server_that_begins_to_drain_gets_no_queued_opening(self) -> None:
        network = build_cold_network(1.0)
        node = next(iter(network.nodes.values()))
        for number in range(4):
            network.open(f"caller-{number}")
        node.report(is_draining=True)
        network.replies.clear()
        network.advance(TICK_S)
        self.assertEqual(len(node.server.openings), 2)
        self.assertEqual(network.resets, 2, "the callers learn at once that nothing was run")

    def test_a_queued_opening_whose_route_was_removed_is_not_delivered(self) -> None:
        network = build_cold_network(1.0)
        node = next(iter(network.nodes.values()))
        for number in range(4):
            network.open(f"caller-{number}")
        network.apply_routing(network.document(2, has_desk=False))
        network.advance(1.1)
        self.assertEqual(len(node.server.openings), 2)


class OrderTest(unittest.TestCase):
    def test_next_opening(self) -> None:
        late = build_opening("late", 1, NOW - 1, NOW + 1)
        in_time = build_opening("in-time", 1, NOW + 1, NOW + 1)
        also_in_time = build_opening("also-in-time", 1, NOW + 2, NOW + 1)
        urgent = build_opening("urgent", 0, NOW - 1, NOW + 1)
        table = [
            ("none", [], None),
            ("in order of arrival", [in_time, also_in_time], in_time),
            ("in time before late", [late, in_time], in_time),
            ("late ones last", [late], late),
            ("priority first", [in_time, urgent], urgent),
        ]
        for name, openings, expected in table:
            with self.subTest(name):
                queue = OpeningQueue(MAX_WAIT_S)
                for opening in openings:
                    queue.add(opening)
                self.assertIs(queue.find_next(NOW), expected)

    def test_expired_openings_are_removed(self) -> None:
        queue = OpeningQueue(MAX_WAIT_S)
        expired = build_opening("expired", 1, NOW, NOW)
        queue.add(expired)
        queue.add(build_opening("waiting", 1, NOW, NOW + 1))
        self.assertEqual(queue.pop_expired(NOW), [expired])
        self.assertEqual((len(queue), b"expired" in queue, b"waiting" in queue), (1, False, True))


if __name__ == "__main__":
    unittest.main()
