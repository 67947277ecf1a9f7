"""Tests of the assignment of directory entries to agents."""

from __future__ import annotations

import unittest
from unittest import mock

import xxhash
from hypothesis import given
from hypothesis import strategies as st

from wagtailkeel_coordination.handshake.owner_map import BUCKET_COUNT
from wagtailkeel_coordination.handshake.owner_map import OwnerMap

KEYS = [number.to_bytes(4, "big") for number in range(2_000)]

Address = tuple[str, int]


def build_agents(count: int) -> list[Address]:
    return [(f"10.0.{number // 250}.{number % 250 + 1}", 7_001) for number in range(count)]


def owners_of(agents: list[Address]) -> list[Address | None]:
    owners = OwnerMap()
    owners.update(agents)
    return [owners.owner_of(key) for key in KEYS]


class OwnerMapTest(unittest.TestCase):
    def test_whether_the_agents_have_changed(self) -> None:
        agents = build_agents(3)
        table = [
            ("first agents", agents, True),
            ("same agents", list(reversed(agents)), False),
            ("one agent stopped", agents[:2], True),
            ("all agents stopped", [], True),
            ("still none", [], False),
            ("agents again", agents, True),
        ]
        owners = OwnerMap()
        for name, current, expected in table:
            with self.subTest(name):
                self.assertEqual(owners.update(current), expected)
                self.assertEqual(owners.has_owners, bool(current))
                self.assertEqual(owners.owner_of(b"key") is None, not current)

    def test_only_the_flows_of_an_agent_that_stops_get_other_owners(self) -> None:
        agents = build_agents(30)
        for before, after in zip(owners_of(agents), owners_of(agents[1:]), strict=True):
            if before != agents[0]:
                self.assertEqual(before, after)

    @given(st.lists(st.sets(st.integers(0, 9), max_size=10), min_size=1, max_size=6))
    def test_owners_do_not_depend_on_the_order_of_changes(self, changes: list[set[int]]) -> None:
        """Balancers that have seen different histories must send a flow to the same owner."""
        agents = build_agents(10)
        owners = OwnerMap()
        for numbers in changes:
            current = [agents[number] for number in numbers]
            owners.update(current)
            self.assertEqual([owners.owner_of(key) for key in KEYS], owners_of(current))

    def test_cost_of_a_change_does_not_grow_with_the_number_of_agents(self) -> None:
        """A rolling restart of many servers must not keep a small balancer busy."""
        for count in (10, 50, 400):
            agents = build_agents(count)
            for name, changed in (("stop", agents[1:]), ("start", [*agents, ("10.1.0.1", 7_001)])):
                with self.subTest(name, count=count):
                    owners = OwnerMap()
                    owners.update(agents)
                    hashed = mock.Mock(side_effect=xxhash.xxh3_64_intdigest)
                    with mock.patch("xxhash.xxh3_64_intdigest", hashed):
                        owners.update(changed)
                    self.assertLessEqual(hashed.call_count, 3 * BUCKET_COUNT)


if __name__ == "__main__":
    unittest.main()
