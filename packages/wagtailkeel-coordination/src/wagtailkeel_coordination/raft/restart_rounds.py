"""Elections without delay after a restart of all voters.

A voter that has just started may, before, have acknowledged a leader that still counts on its
read lease, so it grants no vote for the shortest election timeout. Where all voters have
restarted, that wait protects nobody: a lease is held by the process that led, and it has ended.

A candidate asks every voter in two rounds. It may ask for votes at once when in both rounds all
have answered from the same processes that these have neither led nor heard a leader. One round
would not do: a voter could answer, then lead, and another could hear it, restart and answer last.
With the second round, every answer of it is younger than every process of the first, so that
whoever led before a voter's start has ended, or would have said so. The vote request names the
voter's process, and a voter that has met a leader since refuses.

Of the voters, only the one with the newest log campaigns, the least id among equals: all see the
same answers, and two candidates would split the votes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_protocol.raft_messages import RestartReply

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

ROUND_INTERVAL_S = 0.1
PROCESS_ID_BITS = 53


class RestartRounds:
    """What one voter knows about the restarts of all others; times in seconds."""

    def __init__(self, instance_id: str, random: Random, now: float) -> None:
        self.process_id = random.getrandbits(PROCESS_ID_BITS) | 1
        self.has_seen_leader = False
        self.round_number = 0
        self._instance_id = instance_id
        self._next_round_at = now
        self._replies_by_voter: dict[str, RestartReply] = {}
        self._first_round_process_ids: dict[str, int] = {}
        self._known_process_ids: set[int] = set()

    def is_round_due(self, now: float) -> bool:
        """Tell whether to ask all other voters now."""
        return not self.has_seen_leader and now >= self._next_round_at

    def record_process(self, process_id: int, now: float) -> None:
        """Another voter has started: the next pair of rounds may succeed."""
        if process_id not in self._known_process_ids:
            self._known_process_ids.add(process_id)
            self._next_round_at = now

    def start_first_round(self, now: float) -> int:
        """Start the first round of a pair; return its number."""
        self._first_round_process_ids = {}
        self._next_round_at = now + ROUND_INTERVAL_S
        return self._start_round()

    def start_second_round(self) -> int:
        """Start the second round of a pair; return its number."""
        self._first_round_process_ids = self._process_ids
        return self._start_round()

    def _start_round(self) -> int:
        self._replies_by_voter = {}
        self.round_number += 1
        return self.round_number

    @property
    def _process_ids(self) -> dict[str, int]:
        return {voter: reply.process for voter, reply in self._replies_by_voter.items()}

    @property
    def is_second_round(self) -> bool:
        """Tell whether the second round of a pair is under way."""
        return bool(self._first_round_process_ids)

    @property
    def process_ids_by_voter(self) -> dict[str, int]:
        """The processes that both rounds agree on; empty where they do not."""
        return self._process_ids if self._process_ids == self._first_round_process_ids else {}

    def has_newest_log(self, last_term: int, last_index: int) -> bool:
        """Tell whether no other voter's log is newer than the own one, by id among equals."""
        own_position = (-last_term, -last_index, self._instance_id)
        replies = self._replies_by_voter.values()
        return all(own_position < (-r.last_term, -r.last_index, r.voter_id) for r in replies)

    def record_reply(self, reply: RestartReply, voters: Collection[str]) -> bool:
        """Take a reply in; return whether all other voters have now answered "no leader".

        A voter that knows of voters that are not among ``voters`` makes the round fail.
        """
        if reply.round != self.round_number or self.has_seen_leader or not reply.is_leaderless:
            return False
        if not set(reply.voter_ids) <= set(voters):
            return False
        self._replies_by_voter[reply.voter_id] = reply
        return set(self._replies_by_voter) >= set(voters) - {self._instance_id}

    def is_early_vote_safe(self, voter_process: int) -> bool:
        """Tell whether a candidate has shown that no lease this voter gave can be alive."""
        return voter_process == self.process_id and not self.has_seen_leader
