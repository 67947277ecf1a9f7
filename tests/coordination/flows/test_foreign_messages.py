from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from tests.coordination.flows.fake_cluster import BUCKETS
from tests.coordination.flows.fake_cluster import FakeCluster
from tests.coordination.flows.fake_cluster import flow_key
from wagtailkeel_protocol import DataFrame
from wagtailkeel_protocol import Malformed
from wagtailkeel_protocol import decode_datagram
from wagtailkeel_protocol import encode_datagram
from wagtailkeel_protocol.messages import BucketAnswer
from wagtailkeel_protocol.messages import BucketGrant
from wagtailkeel_protocol.messages import BucketReceipt
from wagtailkeel_protocol.messages import Claim
from wagtailkeel_protocol.messages import ClaimAnswer
from wagtailkeel_protocol.messages import FlowTransfer
from wagtailkeel_protocol.messages import FlowTransferAck
from wagtailkeel_protocol.messages import Gossip
from wagtailkeel_protocol.messages import Grant
from wagtailkeel_protocol.messages import GrantAck
from wagtailkeel_protocol.messages import Load
from wagtailkeel_protocol.packet_builder import build_udp
from wagtailkeel_state import FlowRecord
from wagtailkeel_state import Generation

SERVERS = ["a", "b"]
NUMBERS = st.integers(-3, BUCKETS + 3) | st.integers(-(2**40), 2**60)
IDS = st.sampled_from(["a", "b", "nobody", ""])
GENERATIONS = st.builds(Generation, NUMBERS, NUMBERS)
FLOWS = st.lists(st.builds(FlowRecord, st.binary(max_size=40), IDS), max_size=3)
MESSAGES = st.one_of(
    st.builds(Claim, IDS, NUMBERS, NUMBERS, st.lists(NUMBERS, max_size=4)),
    st.builds(
        ClaimAnswer,
        IDS,
        NUMBERS,
        NUMBERS,
        st.lists(
            st.builds(BucketAnswer, NUMBERS, st.booleans(), FLOWS, NUMBERS, NUMBERS), max_size=3
        ),
        st.booleans(),
    ),
    st.builds(
        Grant,
        IDS,
        NUMBERS,
        st.lists(st.builds(BucketGrant, NUMBERS, GENERATIONS, NUMBERS, FLOWS), max_size=3),
    ),
    st.builds(GrantAck, IDS, st.lists(st.builds(BucketReceipt, NUMBERS, GENERATIONS), max_size=3)),
    st.builds(FlowTransfer, IDS, NUMBERS, NUMBERS, GENERATIONS, NUMBERS, FLOWS),
    st.builds(FlowTransferAck, IDS, NUMBERS, GENERATIONS, NUMBERS),
    st.builds(Gossip, IDS, NUMBERS, NUMBERS, st.builds(Load, NUMBERS, NUMBERS, NUMBERS, NUMBERS)),
)


class ForeignMessagesTest(unittest.TestCase):
    """A message that decodes but has meaningless values must not end a task by an exception."""

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.lists(MESSAGES, max_size=6))
    def test_no_message_raises(self, messages: list[object]) -> None:
        cluster = FakeCluster(SERVERS)
        cluster.settle(1.0)
        router = cluster.nodes_by_id["a"].router
        for message in messages:
            decoded = decode_datagram(encode_datagram(message))  # type: ignore[arg-type]
            if not isinstance(decoded, Malformed):
                router.on_message(decoded, cluster.now)
            cluster.settle(0.1)
        for number in range(BUCKETS):
            packet = build_udp(flow_key(number, is_tcp=False), b"x")
            router.on_frame(DataFrame(packet, number, 0), cluster.now)


if __name__ == "__main__":
    unittest.main()
