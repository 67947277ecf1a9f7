"""Two rounds of questions show that no leader of before a restart can be alive."""

from __future__ import annotations

import unittest
from random import Random

from wagtailkeel_coordination.raft.restart_rounds import ROUND_INTERVAL_S
from wagtailkeel_coordination.raft.restart_rounds import RestartRounds
from wagtailkeel_protocol.raft_messages import RestartReply

VOTERS = ("a", "b", "c")
CLEAR = {"b": 11, "c": 12}
"""Processes of voters that have met no leader, by voter."""


def reply(voter: str, round_: int, process: int, **changes: object) -> RestartReply:
    """Return an answer that speaks for an election, but for the changes."""
    fields: dict[str, object] = {
        "is_leaderless": True,
        "last_index": 5,
        "last_term": 2,
        "voter_ids": list(VOTERS),
        **changes,
    }
    return RestartReply(voter, round_, process, **fields)  # type: ignore[arg-type]


class RestartRoundsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rounds = RestartRounds("a", Random(1), now=10.0)

    def play(self, round_: int, processes: dict[str, int], **changes: object) -> bool:
        """Take in one round of replies; return whether the last of them completed it."""
        is_complete = False
        for voter, process in processes.items():
            is_complete = self.rounds.on_reply(reply(voter, round_, process, **changes), VOTERS)
        return is_complete

    def test_first_round(self) -> None:
        cases: dict[str, tuple[dict[str, int], dict[str, object], bool]] = {
            "all are clear": (CLEAR, {}, True),
            "one is silent": ({"b": 11}, {}, False),
            "a voter has met a leader": (CLEAR, {"is_leaderless": False}, False),
            "a voter knows one more voter": (CLEAR, {"voter_ids": [*VOTERS, "d"]}, False),
            "a voter has lost its disk": (CLEAR, {"voter_ids": []}, True),
        }
        for name, (processes, changes, expected) in cases.items():
            with self.subTest(name):
                number = self.rounds.begin(10.0)
                self.assertIs(self.play(number, processes, **changes), expected)

    def test_second_round(self) -> None:
        cases = {
            "the same processes": (CLEAR, CLEAR),
            # It may have heard the other's heartbeat and started anew after its answer.
            "one has started anew": ({"b": 11, "c": 13}, {}),
        }
        for name, (second, expected) in cases.items():
            with self.subTest(name):
                self.play(self.rounds.begin(10.0), CLEAR)
                self.assertFalse(self.rounds.is_second)
                number = self.rounds.begin_second()
                self.assertTrue(self.rounds.is_second)
                self.assertTrue(self.play(number, second))
                self.assertEqual(self.rounds.processes_by_voter, expected)

    def test_replies_of_an_earlier_round_do_not_count(self) -> None:
        number = self.rounds.begin(10.0)
        self.rounds.begin_second()
        self.assertFalse(self.play(number, CLEAR))

    def test_only_the_newest_log_campaigns(self) -> None:
        cases = {
            (2, 5): True,  # Equal logs: the least id.
            (2, 4): False,
            (1, 9): False,
            (3, 1): True,
        }
        for (last_term, last_index), expected in cases.items():
            with self.subTest(last_term=last_term, last_index=last_index):
                self.play(self.rounds.begin(10.0), CLEAR)
                self.assertIs(self.rounds.has_newest_log(last_term, last_index), expected)

    def test_when_to_ask(self) -> None:
        self.assertTrue(self.rounds.is_due(10.0))
        self.rounds.begin(10.0)
        self.assertFalse(self.rounds.is_due(10.0))
        self.assertTrue(self.rounds.is_due(10.0 + ROUND_INTERVAL_S))
        self.rounds.begin(10.1)
        self.rounds.note_process(7, 10.11)
        self.assertTrue(self.rounds.is_due(10.11), "a voter has just started")
        self.rounds.begin(10.11)
        self.rounds.note_process(7, 10.12)
        self.assertFalse(self.rounds.is_due(10.12))
        self.rounds.has_met_leader = True
        self.assertFalse(self.rounds.is_due(99.0))

    def test_a_voter_is_vouched_for_until_it_meets_a_leader(self) -> None:
        self.assertTrue(self.rounds.is_vouched(self.rounds.process))
        self.assertFalse(self.rounds.is_vouched(0))
        self.assertFalse(self.rounds.is_vouched(self.rounds.process + 1))
        self.rounds.has_met_leader = True
        self.assertFalse(self.rounds.is_vouched(self.rounds.process))


if __name__ == "__main__":
    unittest.main()
