"""Whether an unknown flow of a bucket may already run on a server whose records are missing."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

CALLER_RETRY_WINDOW_S = 10.0


class BucketUncertainty:
    """The periods in which callers may retransmit the opening of a flow whose record was lost.

    ``incomplete_since_by_id`` are the times at which members first reported an incomplete flow
    table.
    """

    def __init__(self) -> None:
        self.incomplete_since_by_id: dict[str, float] = {}
        self._until_by_bucket: dict[int, float] = {}
        self._until = float("-inf")

    def is_uncertain(self, bucket: int, now: float) -> bool:
        """Return whether an unknown flow may already run on a server whose records are missing.

        True for ``CALLER_RETRY_WINDOW_S`` after another member first reported an incomplete flow
        table. For a bucket that was taken over after the removal of a member, also true until
        ``CALLER_RETRY_WINDOW_S`` after the removal; a grant passes the rest of that time on.
        """
        if any(
            now - since < CALLER_RETRY_WINDOW_S for since in self.incomplete_since_by_id.values()
        ):
            return True
        return now < self._until_by_bucket.get(bucket, now)

    # Members

    def record_incomplete(self, member_id: str, now: float) -> None:
        """Record that a member has reported an incomplete flow table."""
        self.incomplete_since_by_id.setdefault(member_id, now)

    def discard_reports(self, member_ids: Iterable[str]) -> None:
        """Discard the reports of members that were removed or have restarted."""
        for member in member_ids:
            self.incomplete_since_by_id.pop(member, None)

    def record_removal(self, now: float) -> None:
        """Record that a member was removed: buckets taken over from now on are uncertain."""
        self._until = now + CALLER_RETRY_WINDOW_S

    # Buckets

    def on_takeover(self, bucket: int, now: float) -> None:
        """Make a bucket uncertain that is taken over soon after the removal of a member."""
        if now < self._until:
            self._until_by_bucket[bucket] = self._until

    def on_grant(self, bucket: int, uncertain_s: float, now: float) -> None:
        """Make a bucket uncertain for the rest of the time that a grant passes on."""
        if uncertain_s > 0:
            self._until_by_bucket[bucket] = now + uncertain_s

    def release(self, bucket: int) -> float:
        """Return until when a bucket is uncertain whose token is given up, and discard this."""
        return self._until_by_bucket.pop(bucket, 0.0)
