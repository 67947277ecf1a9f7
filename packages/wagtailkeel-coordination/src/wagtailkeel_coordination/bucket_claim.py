"""A claim in progress: one bucket that this agent owns by the table but has no token for."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_protocol.gue import DataFrame

if TYPE_CHECKING:
    from wagtailkeel_protocol.messages import BucketAnswer

QUEUE_LIMIT_PACKETS = 64
QUEUE_TIMEOUT_S = 2.0


class QueuedFrame(msgspec.Struct):
    """A frame that waits for the token, and since when."""

    frame: DataFrame
    queued_at: float


class BucketClaim(msgspec.Struct):
    """What is known so far; the members in ``pending_ids`` have not denied holding the token."""

    bucket: int
    epoch: int
    due_at: float
    pending_ids: set[str]
    holder_id: str = ""
    parts_by_member: dict[str, set[int]] = {}
    queue: list[QueuedFrame] = []

    def record_denial(self, member_id: str, answer: BucketAnswer) -> None:
        """Count a part of a member's "no"; the whole counts once all parts are here."""
        parts = self.parts_by_member.setdefault(member_id, set())
        parts.add(answer.part)
        if len(parts) >= answer.parts:
            self.pending_ids.discard(member_id)

    def enqueue(self, frame: DataFrame, now: float) -> bool:
        """Keep a frame until the token arrives; False when the queue is full."""
        if len(self.queue) >= QUEUE_LIMIT_PACKETS:
            return False
        self.queue.append(QueuedFrame(frame, now))
        return True

    def drain_queue(self, now: float) -> list[DataFrame]:
        """Return the frames that are not too old to be of use."""
        frames = [q.frame for q in self.queue if now - q.queued_at <= QUEUE_TIMEOUT_S]
        self.queue.clear()
        return frames
