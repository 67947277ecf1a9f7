"""Two rounds of queries show that no leader from before a restart can still be running."""

from __future__ import annotations

import unittest
from random import Random

from wagtailkeel_coordination.raft.restart_rounds import ROUND_INTERVAL_S
from wagtailkeel_coordination.raft.restart_rounds import RestartRounds
from wagtailkeel_protocol.raft_messages import RestartReply

VOTERS = ("a", "b", "c")
LEADERLESS_PROCESS_IDS = {"b": 11, "c": 12}
"""Process ids, by voter, of processes that have seen no leader."""


def build_reply(voter: str, round_number: int, process_id: int, **changes: object) -> RestartReply:
    """Return a reply that permits an early election, except for the changed fields."""
    fields: dict[str, object] = {
        "is_leaderless": True,
        "last_index": 5,
        "last_term": 2,
        "voter_ids": list(VOTERS),
        **changes,
    }
    return RestartReply(voter, round_number, process_id, **fields)  # type: ignore[arg-type]


class RestartRoundsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rounds = RestartRounds("a", Random(1), now=10.0)

    def record_replies(
        self, round_number: int, process_ids: dict[str, int], **changes: object
    ) -> bool:
        """Record the replies of one round; return whether the last of them completed it."""
        is_complete = False
        for voter, process_id in process_ids.items():
            is_complete = self.rounds.record_reply(
                build_reply(voter, round_number, process_id, **changes), VOTERS
            )
        return is_complete

    def test_first_round_needs_a_leaderless_reply_from_every_voter(self) -> None:
        cases: dict[str, tuple[dict[str, int], dict[str, object], bool]] = {
            "no voter has seen a leader": (LEADERLESS_PROCESS_IDS, {}, True),
            "one voter has not replied": ({"b": 11}, {}, False),
            "the voters have seen a leader": (
                LEADERLESS_PROCESS_IDS,
                {"is_leaderless": False},
                False,
            ),
            "the voters know one more voter": (
                LEADERLESS_PROCESS_IDS,
                {"voter_ids": [*VOTERS, "d"]},
                False,
            ),
            "the voters have lost their disks": (LEADERLESS_PROCESS_IDS, {"voter_ids": []}, True),
        }
        for name, (process_ids, changes, expected) in cases.items():
            with self.subTest(name):
                round_number = self.rounds.start_first_round(10.0)
                self.assertIs(self.record_replies(round_number, process_ids, **changes), expected)

    def test_second_round_needs_the_processes_of_the_first(self) -> None:
        cases = {
            "the same processes": (LEADERLESS_PROCESS_IDS, LEADERLESS_PROCESS_IDS),
            # After its first reply, c may have received a heartbeat from b as leader and restarted.
            "one voter has restarted": ({"b": 11, "c": 13}, {}),
        }
        for name, (second, expected) in cases.items():
            with self.subTest(name):
                self.record_replies(self.rounds.start_first_round(10.0), LEADERLESS_PROCESS_IDS)
                self.assertFalse(self.rounds.is_second_round)
                round_number = self.rounds.start_second_round()
                self.assertTrue(self.rounds.is_second_round)
                self.assertTrue(self.record_replies(round_number, second))
                self.assertEqual(self.rounds.confirmed_process_ids, expected)

    def test_replies_of_an_earlier_round_do_not_count(self) -> None:
        round_number = self.rounds.start_first_round(10.0)
        self.rounds.start_second_round()
        self.assertFalse(self.record_replies(round_number, LEADERLESS_PROCESS_IDS))

    def test_only_the_newest_log_campaigns(self) -> None:
        cases = {
            (2, 5): True,  # Equal logs: the lowest id campaigns.
            (2, 4): False,
            (1, 9): False,
            (3, 1): True,
        }
        for (last_term, last_index), expected in cases.items():
            with self.subTest(last_term=last_term, last_index=last_index):
                self.record_replies(self.rounds.start_first_round(10.0), LEADERLESS_PROCESS_IDS)
                self.assertIs(self.rounds.has_newest_log(last_term, last_index), expected)

    def test_round_is_due_after_an_interval_or_the_start_of_a_voter(self) -> None:
        self.assertTrue(self.rounds.is_round_due(10.0))
        self.rounds.start_first_round(10.0)
        self.assertFalse(self.rounds.is_round_due(10.0))
        self.assertTrue(self.rounds.is_round_due(10.0 + ROUND_INTERVAL_S))
        self.rounds.start_first_round(10.1)
        self.rounds.record_process(7, 10.11)
        self.assertTrue(self.rounds.is_round_due(10.11), "a voter has just started")
        self.rounds.start_first_round(10.11)
        self.rounds.record_process(7, 10.12)
        self.assertFalse(self.rounds.is_round_due(10.12))
        self.rounds.has_seen_leader = True
        self.assertFalse(self.rounds.is_round_due(99.0))

    def test_early_vote_is_safe_until_a_leader_is_seen(self) -> None:
        self.assertTrue(self.rounds.is_early_vote_safe(self.rounds.process_id))
        self.assertFalse(self.rounds.is_early_vote_safe(0))
        self.assertFalse(self.rounds.is_early_vote_safe(self.rounds.process_id + 1))
        self.rounds.has_seen_leader = True
        self.assertFalse(self.rounds.is_early_vote_safe(self.rounds.process_id))


if __name__ == "__main__":
    unittest.main()
