from __future__ import annotations

import unittest
from random import Random

from wagtailkeel_coordination import ConcurrencyLimiter
from wagtailkeel_coordination.flows.concurrency_limiter import QUEUE_FACTOR
from wagtailkeel_coordination.flows.peer_view import PEER_REPORT_TIMEOUT_S
from wagtailkeel_coordination.flows.peer_view import PeerView
from wagtailkeel_protocol.messages import Load
from wagtailkeel_state import Target

SLOTS = 2
BASELINE_S = 0.010
REQUEST_TARGET = Target.parse("p99<200ms")
HELD_TARGET = Target.parse("held<2000")


class ConcurrencyLimiterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.limiter = ConcurrencyLimiter(SLOTS)
        self.now = 0.0

    def answer(self, response_s: float, count: int = 1, target: Target = REQUEST_TARGET) -> None:
        for _ in range(count):
            self.now += 1.0
            self.limiter.on_start()
            self.limiter.on_answer("class", response_s, target, False, self.now)

    def warm(self) -> None:
        self.answer(BASELINE_S, 100)
        self.assertFalse(self.limiter.is_cold)

    def test_cold_server_gets_one_request_then_as_many_as_answers_allow(self) -> None:
        limits = []
        for _ in range(7):
            limits.append(int(self.limiter.limit))
            self.answer(BASELINE_S)
        self.assertEqual(limits, [1, 2, 2, 3, 3, 3, 4])

    def test_limit_stops_growing_at_the_queue_factor_per_slot(self) -> None:
        self.warm()
        self.assertEqual(self.limiter.limit, SLOTS * QUEUE_FACTOR)

    def test_allows_up_to_the_limit(self) -> None:
        self.assertTrue(self.limiter.allows_start())
        self.limiter.on_start()
        self.assertFalse(self.limiter.allows_start())
        self.limiter.on_abandon()
        self.assertTrue(self.limiter.allows_start())

    def test_slow_answers_lower_the_limit_and_a_lasting_step_means_cold(self) -> None:
        table = {
            "above the target": (0.25, 1, False),
            "above four times the baseline": (BASELINE_S * 4.5, 1, False),
            "three above two and a half times the baseline": (BASELINE_S * 2.8, 3, True),
            "slightly above the baseline": (BASELINE_S * 1.4, 3, None),
        }
        for name, (response_s, count, is_cold) in table.items():
            with self.subTest(name):
                self.setUp()
                self.warm()
                before = self.limiter.limit
                self.answer(response_s, count)
                if is_cold is None:
                    self.assertEqual(self.limiter.limit, before)
                    continue
                self.assertLess(self.limiter.limit, before)
                self.assertEqual(self.limiter.is_cold, is_cold)

    def test_one_stall_that_delays_many_answers_is_no_cold_start(self) -> None:
        self.warm()
        for _ in range(10):
            self.limiter.on_start()
            self.limiter.on_answer("class", BASELINE_S * 2.8, REQUEST_TARGET, False, self.now)
        self.assertFalse(self.limiter.is_cold)

    def test_held_flow_answers_raise_the_limit_only_to_the_slots(self) -> None:
        self.answer(0.000_5, 200, HELD_TARGET)
        self.assertLessEqual(self.limiter.limit, SLOTS)
        self.assertEqual(self.limiter.capacity, 0)

    def test_capacity_leaves_out_the_round_trip(self) -> None:
        for _ in range(50):
            self.limiter.on_round_trip(0.002)
        self.answer(BASELINE_S + 0.002, 200)
        expected = SLOTS * 1_000 / BASELINE_S
        self.assertAlmostEqual(self.limiter.capacity, expected, delta=expected * 0.01)

    def test_unresponsive_or_restarted_server_is_cold(self) -> None:
        for make_cold in (ConcurrencyLimiter.on_unresponsive, ConcurrencyLimiter.restart):
            with self.subTest(make_cold.__name__):
                self.setUp()
                self.warm()
                make_cold(self.limiter)
                self.assertTrue(self.limiter.is_cold)
                self.assertEqual(self.limiter.limit, 1)


class PeerViewTest(unittest.TestCase):
    def setUp(self) -> None:
        self.unplaceable: set[str] = set()
        self.peers = PeerView(Random(1), lambda key: key not in self.unplaceable)

    def load(
        self, in_flight: int = 0, limit: int = 8, held: int = 0, capacity: int = 1_000
    ) -> Load:
        return Load(in_flight, limit, held, capacity)

    def test_chosen_peer_is_placeable_and_has_headroom(self) -> None:
        table = [
            ({"a": self.load(in_flight=8), "b": self.load()}, "b"),
            ({"a": self.load(in_flight=8)}, None),
            ({}, None),
            ({"gone": self.load(), "b": self.load(in_flight=7)}, "b"),
        ]
        for loads, expected in table:
            with self.subTest(expected=expected):
                self.setUp()
                self.unplaceable = {"gone"}
                for key, load in loads.items():
                    self.peers.update(key, load, 0.0)
                self.assertEqual(self.peers.choose_for_request((), 0.0), expected)

    def test_peer_without_recent_report_is_not_chosen(self) -> None:
        self.peers.update("a", self.load(), 0.0)
        late = PEER_REPORT_TIMEOUT_S + 0.1
        self.assertIsNone(self.peers.choose_for_request((), late))

    def test_placements_count_until_the_next_report(self) -> None:
        self.peers.update("a", self.load(limit=1), 0.0)
        self.peers.count_placement("a")
        self.assertIsNone(self.peers.choose_for_request((), 0.0))
        self.peers.update("a", self.load(limit=1), 0.1)
        self.assertEqual(self.peers.choose_for_request((), 0.1), "a")

    def test_held_flows_follow_capacity(self) -> None:
        self.peers.update("fast", self.load(held=150, capacity=2_000), 0.0)
        self.peers.update("slow", self.load(held=100, capacity=1_000), 0.0)
        self.assertEqual(self.peers.choose_for_held_flow((), 0.0), "fast")
        for held, is_at_most_mean in ((80, True), (90, False)):
            own = self.load(held=held)
            self.assertEqual(self.peers.has_at_most_mean_held_ratio(own, 0.0), is_at_most_mean)


if __name__ == "__main__":
    unittest.main()
