"""Tests of frames between balancers and agents, and of load reports of the release before."""

from __future__ import annotations

import unittest

import msgspec

from wagtailkeel_protocol import Malformed
from wagtailkeel_protocol import gue
from wagtailkeel_protocol import relay
from wagtailkeel_protocol.codec import decode_datagram
from wagtailkeel_protocol.codec import encode_datagram
from wagtailkeel_protocol.messages import LoadRequest
from wagtailkeel_protocol.messages import ServerLoad
from wagtailkeel_protocol.relay import RelayFrame
from wagtailkeel_protocol.relay import RelayKind

PACKET = b"packet"
EARLIER_LOAD = [11, 77, True, 1, 20, 2, 15.0, False, False, False]
"""A load report as the release before encodes it: without the last two fields."""


class RelayTest(unittest.TestCase):
    def test_decoding_restores_the_frame(self) -> None:
        table = [
            (RelayKind.FORWARD, PACKET, RelayFrame(RelayKind.FORWARD, 2, 5, 9, PACKET)),
            (
                RelayKind.QUEUE,
                relay.encode_queued(1.25, PACKET),
                RelayFrame(RelayKind.QUEUE, 2, 5, 9, PACKET, 1.25),
            ),
        ]
        for kind, body, expected in table:
            with self.subTest(kind):
                datagram = relay.encode_relay(kind, 2, 5, 9, body)
                self.assertTrue(relay.is_relay(datagram))
                self.assertEqual(relay.decode_relay(datagram), expected)

    def test_malformed_frames(self) -> None:
        half_a_limit = relay.encode_relay(RelayKind.QUEUE, 0, 0, 0, b"x")
        table = [
            ("no header", b"", Malformed.TRUNCATED),
            ("unknown kind", b"\x4f" + bytes(9), Malformed.FOREIGN),
            ("half a limit", half_a_limit, Malformed.TRUNCATED),
        ]
        for name, datagram, expected in table:
            with self.subTest(name):
                self.assertIs(relay.decode_relay(datagram), expected)


class LoadReportTest(unittest.TestCase):
    """During an update, agents of two releases read each other's reports."""

    def test_report_of_the_release_before(self) -> None:
        datagram = gue.CONTROL_PREFIX + msgspec.msgpack.encode(EARLIER_LOAD)
        expected = ServerLoad(77, True, 1, 20, 2, 15.0)
        self.assertEqual(decode_datagram(datagram), expected)
        self.assertFalse(expected.is_reply)

    def test_the_release_before_can_read_a_report(self) -> None:
        """It ignores further elements, so those that it knows must come first."""
        datagram = encode_datagram(ServerLoad(77, True, 1, 20, 2, 15.0, is_reply=True))
        elements = msgspec.msgpack.decode(datagram[len(gue.CONTROL_PREFIX) :])
        self.assertEqual(elements[: len(EARLIER_LOAD)], EARLIER_LOAD)

    def test_load_request(self) -> None:
        self.assertEqual(decode_datagram(encode_datagram(LoadRequest())), LoadRequest())


if __name__ == "__main__":
    unittest.main()
