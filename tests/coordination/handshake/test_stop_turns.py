"""Planned stops of balancers in one data centre come one after the other."""

from __future__ import annotations

import unittest

from wagtailkeel_coordination.handshake.stop_turns import AWAY_LIMIT_S
from wagtailkeel_coordination.handshake.stop_turns import RETURN_SETTLE_S
from wagtailkeel_coordination.handshake.stop_turns import StopTurns

WAIT_LIMIT_S = 3.0
OTHER = ("10.0.0.1", 7_001)
THIRD = ("10.0.0.2", 7_001)


class StopTurnsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.turns = StopTurns(WAIT_LIMIT_S)

    def test_alone(self) -> None:
        self.assertTrue(self.turns.may_stop(10.0, 10.0))

    def test_while_another_is_away(self) -> None:
        self.turns.on_stop(OTHER, 9.0)
        table = [(10.0, False), (10.0 + WAIT_LIMIT_S - 0.1, False), (10.0 + WAIT_LIMIT_S, True)]
        for now, expected in table:
            with self.subTest(now=now):
                self.assertIs(self.turns.may_stop(10.0, now), expected)

    def test_one_that_stays_away_is_forgotten(self) -> None:
        self.turns.on_stop(OTHER, 9.0)
        self.assertTrue(self.turns.may_stop(9.0 + AWAY_LIMIT_S, 9.0 + AWAY_LIMIT_S))

    def test_after_the_return_the_fabric_needs_a_moment(self) -> None:
        self.turns.on_stop(OTHER, 9.0)
        self.turns.on_ready(OTHER, 11.0)
        self.assertFalse(self.turns.may_stop(10.0, 11.0))
        self.assertTrue(self.turns.may_stop(10.0, 11.0 + RETURN_SETTLE_S))

    def test_all_others_count(self) -> None:
        self.turns.on_stop(OTHER, 9.0)
        self.turns.on_stop(THIRD, 9.5)
        self.turns.on_ready(OTHER, 10.0)
        self.assertFalse(self.turns.may_stop(10.0, 11.0))

    def test_becoming_ready_without_a_stop_says_nothing(self) -> None:
        self.turns.on_ready(OTHER, 9.0)
        self.assertTrue(self.turns.may_stop(9.0, 9.0))


if __name__ == "__main__":
    unittest.main()
