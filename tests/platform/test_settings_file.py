from __future__ import annotations

import unittest

from wagtailkeel_platform.settings_file import MAX_STOP_WAIT_S
from wagtailkeel_platform.settings_file import stop_wait_limit_s

LONGEST_NOTICE_S = 1.5
"""The fabric checks twice a second and needs two misses; the first check may just have passed."""


class StopWaitLimitTest(unittest.TestCase):
    def test_the_fabric_notices_a_stop_within_the_drain_period(self) -> None:
        """Several balancers of a data centre were still in use 4 s after they had to stop."""
        for drain_period_ms in (3_000, 4_000, 5_000, 60_000):
            with self.subTest(drain_period_ms=drain_period_ms):
                limit_s = stop_wait_limit_s(drain_period_ms)
                self.assertLess(limit_s + LONGEST_NOTICE_S, drain_period_ms / 1_000)
                self.assertGreater(limit_s, 0.0)
                self.assertLessEqual(limit_s, MAX_STOP_WAIT_S)

    def test_a_short_drain_period_leaves_some_wait(self) -> None:
        self.assertGreater(stop_wait_limit_s(500), 0.0)


if __name__ == "__main__":
    unittest.main()
