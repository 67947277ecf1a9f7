"""How many voters form a quorum, also when one of them is known to have lost its disk.

A majority of ``n`` voters and a majority of these voters less one always have a voter in common.
So a candidate may act as if a voter that is lost for good had been removed already. With an even
number of voters this saves a vote: of six voters, of which one has gone without notice and two
have lost their disks, the three others are a majority of the five that remain without one of the
lost.

It relies on three conditions:

- The lost voter can't vote for another candidate of the same term, so it was known to be lost
  before the votes were requested. An instance that answers with a new data folder shows that the
  former one is gone.
- The candidate knows that its newest change of voters is committed, or that change added the lost
  voter; otherwise the voters without the lost one may differ by two from those of another leader.
- A change of voters is committed only when a quorum of the voters before it has it, too. Otherwise
  later entries could be committed by voters of which none elects the candidate.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection


def majority_of(voter_count: int) -> int:
    """Return how many of the voters form a majority."""
    return voter_count // 2 + 1


def find_excluded_voter(voter_ids: Collection[str], lost_ids: Collection[str]) -> str | None:
    """Return a lost voter without which a majority is one vote smaller, or None."""
    lost_voters = sorted(set(voter_ids) & set(lost_ids))
    if not lost_voters or len(voter_ids) % 2:
        return None
    return lost_voters[0]
