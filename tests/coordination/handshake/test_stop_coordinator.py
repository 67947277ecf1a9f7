"""Balancers of one data centre must not stop at the same time when the stops are planned."""

from __future__ import annotations

import unittest

from wagtailkeel_coordination.handshake.stop_coordinator import READY_SETTLE_S
from wagtailkeel_coordination.handshake.stop_coordinator import RESTART_TIMEOUT_S
from wagtailkeel_coordination.handshake.stop_coordinator import StopCoordinator

WAIT_LIMIT_S = 3.0
OTHER = ("10.0.0.1", 7_001)
THIRD = ("10.0.0.2", 7_001)


class StopCoordinatorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.turns = StopCoordinator(WAIT_LIMIT_S)

    def test_may_stop_at_once_when_no_other_stops(self) -> None:
        self.assertTrue(self.turns.may_stop(10.0, 10.0))

    def test_waits_for_another_balancer_up_to_the_wait_limit(self) -> None:
        self.turns.on_stop(OTHER, 9.0)
        table = [(10.0, False), (10.0 + WAIT_LIMIT_S - 0.1, False), (10.0 + WAIT_LIMIT_S, True)]
        for now, expected in table:
            with self.subTest(now=now):
                self.assertIs(self.turns.may_stop(10.0, now), expected)

    def test_a_balancer_that_does_not_return_stops_blocking(self) -> None:
        self.turns.on_stop(OTHER, 9.0)
        self.assertTrue(self.turns.may_stop(9.0 + RESTART_TIMEOUT_S, 9.0 + RESTART_TIMEOUT_S))

    def test_waits_until_the_fabric_has_noticed_the_return(self) -> None:
        self.turns.on_stop(OTHER, 9.0)
        self.turns.on_ready(OTHER, 11.0)
        self.assertFalse(self.turns.may_stop(10.0, 11.0))
        self.assertTrue(self.turns.may_stop(10.0, 11.0 + READY_SETTLE_S))

    def test_waits_for_every_stopped_balancer(self) -> None:
        self.turns.on_stop(OTHER, 9.0)
        self.turns.on_stop(THIRD, 9.5)
        self.turns.on_ready(OTHER, 10.0)
        self.assertFalse(self.turns.may_stop(10.0, 11.0))

    def test_ready_without_a_previous_stop_does_not_block(self) -> None:
        self.turns.on_ready(OTHER, 9.0)
        self.assertTrue(self.turns.may_stop(9.0, 9.0))


if __name__ == "__main__":
    unittest.main()
