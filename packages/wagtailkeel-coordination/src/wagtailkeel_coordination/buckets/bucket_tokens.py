"""The tokens that one agent holds, and the generations that it refuses.

The token of a bucket is created by a takeover and passed on by a grant; each time its generation
rises. A member that denies holding the token, in answer to a claim at epoch e, promises to refuse
all grants of generations below (e, 0), as in the prepare phase of Paxos (Lamport, 1998).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_state.generation import Generation

if TYPE_CHECKING:
    from collections.abc import Set


class BucketTokens:
    """Tokens, successors and promises by bucket.

    ``successors_by_bucket`` are the agents to which tokens held here before were granted.
    """

    def __init__(self) -> None:
        self.tokens_by_bucket: dict[int, Generation] = {}
        self.successors_by_bucket: dict[int, str] = {}
        self._received_epochs_by_bucket: dict[int, int] = {}
        self._min_generations_by_bucket: dict[int, Generation] = {}
        self._promised_epochs_by_bucket: dict[int, int] = {}

    def is_held(self, bucket: int) -> bool:
        """Return whether this agent holds the bucket's token."""
        return bucket in self.tokens_by_bucket

    def received_epoch(self, bucket: int) -> int:
        """Return the epoch of the table under which the token was received; 0 if it never was."""
        return self._received_epochs_by_bucket.get(bucket, 0)

    def accept(self, bucket: int, generation: Generation, epoch: int) -> None:
        """Hold a token received under the table of ``epoch``."""
        self.tokens_by_bucket[bucket] = generation
        self._received_epochs_by_bucket[bucket] = epoch
        self.successors_by_bucket.pop(bucket, None)
        self._raise_min_generation(bucket, generation.successor)

    def release(self, bucket: int, successor_id: str, generation: Generation) -> None:
        """Give up a token, granted as ``generation``."""
        self._raise_min_generation(bucket, generation.successor)
        del self.tokens_by_bucket[bucket]
        self.successors_by_bucket[bucket] = successor_id

    def clear(self) -> None:
        """Discard all tokens; promises are kept."""
        self.tokens_by_bucket.clear()
        self.successors_by_bucket.clear()

    def remove_successors(self, member_ids: Set[str]) -> None:
        """Discard which tokens were granted to members that were removed or have restarted."""
        for bucket, successor in list(self.successors_by_bucket.items()):
            if successor in member_ids:
                del self.successors_by_bucket[bucket]

    # Promises

    def is_stale(self, bucket: int, generation: Generation) -> bool:
        """Return whether a generation is older than what was seen or promised for the bucket."""
        minimum = self._min_generations_by_bucket.get(bucket)
        return minimum is not None and generation < minimum

    def is_placement_stale(self, bucket: int, token_epoch: int) -> bool:
        """Return whether a placement was made under a token older than a promise of this agent."""
        return token_epoch < self._promised_epochs_by_bucket.get(bucket, 0)

    def promise(self, bucket: int, epoch: int) -> bool:
        """Promise to refuse older grants; return False if a newer token was seen here."""
        denied = Generation(epoch, 0)
        if self.is_stale(bucket, denied):
            return False
        self._raise_min_generation(bucket, denied)
        promised = self._promised_epochs_by_bucket.get(bucket, 0)
        self._promised_epochs_by_bucket[bucket] = max(promised, epoch)
        return True

    def _raise_min_generation(self, bucket: int, minimum: Generation) -> None:
        self._min_generations_by_bucket[bucket] = max(
            self._min_generations_by_bucket.get(bucket, minimum), minimum
        )
