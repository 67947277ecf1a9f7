"""Replies that need several datagrams.

Load pattern: after a power failure all nodes of a data centre fetch the configuration at once, each
behind a slow link. The caller has a few parts in flight and asks for the next ones as they arrive,
so that no link's queue overflows and a lost datagram costs that part only.
"""

from __future__ import annotations

import xxhash

from wagtailkeel_protocol.messages import CallReply

PART_BYTES = 1_100
"""Fits a datagram of 1,200 bytes with the other fields."""

MAX_PARTS = 64
PARTS_IN_FLIGHT = 8


def split_reply(call_id: int, body: bytes) -> list[CallReply]:
    """Split an encoded reply into datagrams; return none if it has too many parts."""
    chunks = [body[at : at + PART_BYTES] for at in range(0, len(body), PART_BYTES)] or [b""]
    if len(chunks) > MAX_PARTS:
        return []
    checksum = xxhash.xxh32_intdigest(body)
    return [
        CallReply(call_id, part, len(chunks), checksum, chunk) for part, chunk in enumerate(chunks)
    ]


class ReplyAssembly:
    """Collects the parts of one reply, which may be lost, duplicated or out of order."""

    def __init__(self) -> None:
        self._bodies_by_part: dict[int, bytes] = {}
        self._part_count = 0
        self._checksum = 0
        self._outstanding: set[int] = set()

    @property
    def is_complete(self) -> bool:
        """Return whether all parts have arrived."""
        return 0 < self._part_count == len(self._bodies_by_part)

    @property
    def body(self) -> bytes:
        """The encoded reply, once it is complete."""
        return b"".join(self._bodies_by_part[part] for part in range(self._part_count))

    def add(self, reply: CallReply) -> list[int]:
        """Add a part; return the parts to request now.

        Parts of an earlier execution of the call are dropped.
        """
        if not 0 <= reply.part < reply.parts <= MAX_PARTS:
            return []
        if (reply.checksum, reply.parts) != (self._checksum, self._part_count):
            self._start(reply)
        self._bodies_by_part[reply.part] = reply.body
        self._outstanding.discard(reply.part)
        if self._outstanding or self.is_complete:
            return []
        self._outstanding = set(self._missing_parts()[:PARTS_IN_FLIGHT])
        return sorted(self._outstanding)

    def lost_parts(self) -> list[int]:
        """Return the parts to request again after a silence; none if no part has arrived."""
        return sorted(self._outstanding)

    def _start(self, reply: CallReply) -> None:
        self._bodies_by_part.clear()
        self._part_count = reply.parts
        self._checksum = reply.checksum
        self._outstanding = set(range(min(reply.parts, PARTS_IN_FLIGHT)))

    def _missing_parts(self) -> list[int]:
        return [part for part in range(self._part_count) if part not in self._bodies_by_part]
