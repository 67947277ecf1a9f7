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
PROCESS_BITS = 53


class RestartRounds:
    """What one voter knows about the restarts of all others; times in seconds."""

    def __init__(self, instance_id: str, random: Random, now: float) -> None:
        self.process = random.getrandbits(PROCESS_BITS) | 1
        self.has_met_leader = False
        self.round = 0
        self._instance_id = instance_id
        self._next_at = now
        self._replies_by_voter: dict[str, RestartReply] = {}
        self._processes_before: dict[str, int] = {}
        self._known_processes: set[int] = set()

    def is_due(self, now: float) -> bool:
        """Tell whether to ask all other voters now."""
        return not self.has_met_leader and now >= self._next_at

    def note_process(self, process: int, now: float) -> None:
        """Another voter has started: the next pair of rounds may succeed."""
        if process not in self._known_processes:
            self._known_processes.add(process)
            self._next_at = now

    def begin(self, now: float) -> int:
        """Start the first round of a pair; return its number."""
        self._processes_before = {}
        self._next_at = now + ROUND_INTERVAL_S
        return self._begin_round()

    def begin_second(self) -> int:
        """Start the second round of a pair; return its number."""
        self._processes_before = self._processes
        return self._begin_round()

    def _begin_round(self) -> int:
        self._replies_by_voter = {}
        self.round += 1
        return self.round

    @property
    def _processes(self) -> dict[str, int]:
        return {voter: reply.process for voter, reply in self._replies_by_voter.items()}

    @property
    def is_second(self) -> bool:
        """Tell whether the second round of a pair is under way."""
        return bool(self._processes_before)

    @property
    def processes_by_voter(self) -> dict[str, int]:
        """The processes that both rounds agree on; empty where they do not."""
        return self._processes if self._processes == self._processes_before else {}

    def has_newest_log(self, last_term: int, last_index: int) -> bool:
        """Tell whether no other voter's log is newer than the own one, by id among equals."""
        own = (-last_term, -last_index, self._instance_id)
        replies = self._replies_by_voter.values()
        return all(own < (-r.last_term, -r.last_index, r.voter_id) for r in replies)

    def on_reply(self, reply: RestartReply, voters: Collection[str]) -> bool:
        """Take a reply in; return whether all other voters have now answered "no leader".

        A voter that knows of voters that are not among ``voters`` makes the round fail.
        """
        if reply.round != self.round or self.has_met_leader or not reply.is_leaderless:
            return False
        if not set(reply.voter_ids) <= set(voters):
            return False
        self._replies_by_voter[reply.voter_id] = reply
        return set(self._replies_by_voter) >= set(voters) - {self._instance_id}

    def is_vouched(self, voter_process: int) -> bool:
        """Tell whether a candidate has shown that no lease this voter gave can be alive."""
        return voter_process == self.process and not self.has_met_leader
