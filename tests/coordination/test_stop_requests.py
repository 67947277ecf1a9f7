"""The two periods for which a leader remembers that an instance is about to stop."""

from __future__ import annotations

import unittest

from wagtailkeel_coordination.raft.stop_requests import STOP_REQUEST_TIMEOUT_S
from wagtailkeel_coordination.raft.stop_requests import STOP_RETENTION_S
from wagtailkeel_coordination.raft.stop_requests import StopRequests


class StopRequestsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.requests = StopRequests()
        self.requests.record("a", 0.0)

    def test_instance_is_stopping_for_longer_than_it_waits_for_a_successor(self) -> None:
        """An instance that no longer repeats its request would succeed another before it ends."""
        for now, is_waiting, is_stopping in (
            (0.0, True, True),
            (STOP_REQUEST_TIMEOUT_S, False, True),
            (STOP_RETENTION_S, False, False),
        ):
            with self.subTest(now=now):
                self.assertIs(self.requests.is_waiting("a", now), is_waiting)
                self.assertIs(self.requests.is_stopping("a", now), is_stopping)

    def test_request_of_another_instance_keeps_those_that_are_not_too_old(self) -> None:
        """The first of two instances that stop together would lose its successor."""
        self.requests.record("b", STOP_RETENTION_S / 2)
        self.assertTrue(self.requests.is_stopping("a", STOP_RETENTION_S / 2))
        self.requests.record("c", STOP_RETENTION_S)
        self.assertFalse(self.requests.is_stopping("a", 0.0))
        self.assertTrue(self.requests.is_stopping("b", STOP_RETENTION_S))

    def test_removed_request_leaves_an_instance_free_to_become_a_voter(self) -> None:
        """An instance that has restarted would stay a learner for STOP_RETENTION_S."""
        self.requests.remove("a")
        self.requests.remove("unknown")
        self.assertFalse(self.requests.is_stopping("a", 0.0))


if __name__ == "__main__":
    unittest.main()
