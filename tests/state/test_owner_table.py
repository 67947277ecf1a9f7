from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from wagtailkeel_state import OwnerTable
from wagtailkeel_state.owner_table import compute_quotas

SHARES = st.dictionaries(st.text("abcdef", min_size=1), st.integers(1, 5_000), min_size=1)


class OwnerTableTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(SHARES)
    def test_every_server_owns_its_quota(self, shares: dict[str, int]) -> None:
        table = OwnerTable.build(1, shares, 256)
        ids = sorted(shares)
        quotas = compute_quotas([shares[key] for key in ids], 256)
        self.assertEqual([len(table.buckets_of(key)) for key in ids], quotas)

    @settings(derandomize=True, deadline=None)
    @given(SHARES)
    def test_order_of_servers_does_not_matter(self, shares: dict[str, int]) -> None:
        backwards = dict(reversed(shares.items()))
        self.assertEqual(OwnerTable.build(1, shares, 64), OwnerTable.build(1, backwards, 64))

    def test_quotas_by_largest_remainder(self) -> None:
        table = [
            ([1], 8, [8]),
            ([1, 1], 8, [4, 4]),
            ([1, 1, 1], 8, [3, 3, 2]),
            ([3, 1], 8, [6, 2]),
            ([1, 1_000], 8, [0, 8]),
        ]
        for shares, buckets, expected in table:
            with self.subTest(shares=shares):
                self.assertEqual(compute_quotas(shares, buckets), expected)

    def test_removing_a_server_moves_few_buckets_of_others(self) -> None:
        """Fewer buckets move than twice the number that the removed server owned."""
        shares = {f"s{number}": 1_000 for number in range(8)}
        before = OwnerTable.build(1, shares, 1_024)
        del shares["s3"]
        after = OwnerTable.build(2, shares, 1_024)
        moved = sum(before.owner_of(n) != after.owner_of(n) for n in range(1_024))
        self.assertLess(moved, 2 * len(before.buckets_of("s3")))

    def test_table_without_servers_has_no_owner(self) -> None:
        for shares in ({}, {"a": 0}):
            with self.subTest(shares=shares):
                self.assertIsNone(OwnerTable.build(1, shares, 8).owner_of(0))


if __name__ == "__main__":
    unittest.main()
