"""Packs a member's answers to a claim into datagrams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination.buckets.outgoing_grant import RECORDS_PER_DATAGRAM
from wagtailkeel_protocol.messages import BucketAnswer

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from wagtailkeel_state.flow_record import FlowRecord

ANSWERS_PER_DATAGRAM = 200


def split_answer(bucket: int, is_holder: bool, flows: list[FlowRecord]) -> list[BucketAnswer]:
    """Split one bucket's answer into parts that each fit into a datagram."""
    size = RECORDS_PER_DATAGRAM
    chunks = [flows[start : start + size] for start in range(0, len(flows), size)] or [[]]
    return [
        BucketAnswer(bucket, is_holder, chunk, part, len(chunks))
        for part, chunk in enumerate(chunks)
    ]


def pack_answers(answers: Iterable[BucketAnswer]) -> Iterator[list[BucketAnswer]]:
    """Yield batches of answers, each small enough for one datagram."""
    batch: list[BucketAnswer] = []
    records = 0
    for answer in answers:
        is_full = records + len(answer.flows) > RECORDS_PER_DATAGRAM
        if batch and (is_full or len(batch) >= ANSWERS_PER_DATAGRAM):
            yield batch
            batch, records = [], 0
        batch.append(answer)
        records += len(answer.flows)
    if batch:
        yield batch
