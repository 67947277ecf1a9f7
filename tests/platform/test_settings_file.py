from __future__ import annotations

import unittest

from wagtailkeel_platform.settings_file import MAX_STOP_WAIT_S
from wagtailkeel_platform.settings_file import BindAddresses
from wagtailkeel_platform.settings_file import PlatformSettings
from wagtailkeel_platform.settings_file import stop_wait_limit_s
from wagtailkeel_platform.settings_file import to_wagtailkeel_settings

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


class OptionsTest(unittest.TestCase):
    """The optional decisions must leave deployments alone whose settings do not call for them."""

    def test_options_follow_the_contracts(self) -> None:
        table: list[tuple[list[str], bool]] = [
            ([], False),
            (["base", "drain", "flows"], False),
            (["base", "health", "flows"], True),
        ]
        for contracts, expected in table:
            with self.subTest(contracts):
                section = to_wagtailkeel_settings(build_settings(contracts)).handshake_agent
                assert section is not None
                self.assertFalse(section.queue_when_busy)
                self.assertFalse(section.priority_admission)
                self.assertEqual(section.placement == "aged_loads", expected)
                self.assertEqual(section.outlier_detection, expected)


def build_settings(contracts: list[str]) -> PlatformSettings:
    """Return the settings of an agent."""
    return PlatformSettings(
        node_name="side-1",
        ip="10.1.0.10",
        zone="east",
        region="home",
        machine_class="side",
        serves=["side"],
        internal_port_range=(7720, 7735),
        seed_nodes=[],
        app="10.1.0.10:8080",
        service="desk",
        contracts=contracts,
        bind_addrs=BindAddresses(
            datagram_addr="10.1.0.10:8172",
            outbound="10.1.0.10:8173",
            control_plane="10.1.0.10:8174",
        ),
    )


if __name__ == "__main__":
    unittest.main()
