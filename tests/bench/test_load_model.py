"""Guards server choice and queue limit against late answers and shed requests.

Each load is simulated in virtual time against the real routing code.
"""

from __future__ import annotations

import unittest

import msgspec

from wagtailkeel_bench.load_model import LOADS_BY_NAME
from wagtailkeel_bench.load_model import POLICIES_BY_NAME
from wagtailkeel_bench.load_model import Results
from wagtailkeel_bench.load_model import format_table
from wagtailkeel_bench.load_model import simulate

SEED = 1
SHORT_DURATION_S = 10.0


def simulate_short(load: str, policy: str) -> Results:
    """Simulate the first seconds of a load."""
    chosen = msgspec.structs.replace(LOADS_BY_NAME[load], duration_s=SHORT_DURATION_S)
    return simulate(chosen, POLICIES_BY_NAME[policy], SEED)


class LoadModelTest(unittest.TestCase):
    def test_least_wait_has_at_most_a_quarter_of_the_late_answers_of_random_placement(
        self,
    ) -> None:
        at_random = simulate_short("unlike-servers", "random")
        by_load = simulate_short("unlike-servers", "least-wait-limited")
        self.assertGreater(at_random.late, 50)
        self.assertLessEqual(by_load.late, at_random.late / 4)
        self.assertLess(by_load.imbalance, at_random.imbalance)

    def test_queue_limit_answers_more_requests_in_time(self) -> None:
        for load in ("small-service", "surge", "all-return"):
            with self.subTest(load):
                unlimited = simulate_short(load, "least-wait")
                limited = simulate_short(load, "least-wait-limited")
                self.assertGreater(limited.in_target_share, unlimited.in_target_share + 0.02)
                self.assertLess(limited.late, unlimited.late / 2)
                self.assertLess(limited.shed, unlimited.shed / 4)

    def test_queue_limit_refuses_nothing_while_servers_have_room(self) -> None:
        found = simulate_short("unlike-servers", "least-wait-limited")
        self.assertEqual((found.failed, found.shed), (0, 0))

    def test_equal_seeds_give_equal_results(self) -> None:
        first, second = (simulate_short("surge", "least-wait-limited") for _ in range(2))
        self.assertEqual(format_table({"it": first}), format_table({"it": second}))
        self.assertEqual(first.plot(), second.plot())
        self.assertEqual(len(first.plot()), SHORT_DURATION_S)


if __name__ == "__main__":
    unittest.main()
