"""A claim in progress: this agent owns a bucket by the owner table but lacks its token."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_protocol.gue import DataFrame

if TYPE_CHECKING:
    from wagtailkeel_protocol.messages import BucketAnswer

QUEUE_LIMIT_PACKETS = 64
QUEUE_TIMEOUT_S = 2.0


class QueuedFrame(msgspec.Struct):
    """A frame that waits for the bucket's token since ``queued_at``."""

    frame: DataFrame
    queued_at: float


class BucketClaim(msgspec.Struct):
    """State of one claim; the members in ``pending_ids`` have not yet denied holding the token.

    No claim message is sent before ``due_at``. ``holder_id`` is the member believed to hold the
    token, empty if none is known. ``parts_by_member`` are the parts of denials received so far.
    """

    bucket: int
    epoch: int
    due_at: float
    pending_ids: set[str]
    holder_id: str = ""
    parts_by_member: dict[str, set[int]] = {}
    queue: list[QueuedFrame] = []

    def record_denial(self, member_id: str, answer: BucketAnswer) -> None:
        """Record a part of a member's denial, which counts once all its parts have arrived."""
        parts = self.parts_by_member.setdefault(member_id, set())
        parts.add(answer.part)
        if len(parts) >= answer.parts:
            self.pending_ids.discard(member_id)

    def enqueue(self, frame: DataFrame, now: float) -> bool:
        """Queue a frame until the token arrives; return False if the queue is full."""
        if len(self.queue) >= QUEUE_LIMIT_PACKETS:
            return False
        self.queue.append(QueuedFrame(frame, now))
        return True

    def drain_queue(self, now: float) -> list[DataFrame]:
        """Empty the queue and return the frames that waited at most ``QUEUE_TIMEOUT_S``."""
        frames = [q.frame for q in self.queue if now - q.queued_at <= QUEUE_TIMEOUT_S]
        self.queue.clear()
        return frames
