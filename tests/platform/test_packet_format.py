from __future__ import annotations

import struct
import unittest

from tests.protocol import test_packet_formats
from tests.protocol.test_packet_formats import FormatCase
from wagtailkeel_platform import packet_format as platform
from wagtailkeel_platform.packet_format import PlatformPacketFormat
from wagtailkeel_protocol import Malformed
from wagtailkeel_protocol import packet_format as packet_flags
from wagtailkeel_protocol.packet_format import PacketHeader

OPENING = bytes.fromhex("a1b2c3d50100000000001122334400000000 0000c6120001644000079c4101bb")
REFUSAL = bytes.fromhex("0000000008000000000000000000000000000000 64400007c612000101bb9c41")
KEY = OPENING[24:28] + OPENING[20:24] + OPENING[28:32]


def build(flags: int, *, is_reply: bool = False, ack: int = 0, data: bytes = b"") -> bytes:
    """Build a packet of the flow that OPENING requests."""
    caller, route = OPENING[24:28], OPENING[20:24]
    caller_port, route_port = OPENING[28:30], OPENING[30:32]
    endpoints = caller + route + route_port + caller_port
    if not is_reply:
        endpoints = route + caller + caller_port + route_port
    return struct.pack("!IBBIIIH", 1, flags, 0, 0, 7, ack, len(data)) + endpoints + data


class PlatformPacketFormatTest(test_packet_formats.PacketFormatTest):
    cases = [
        FormatCase(
            PlatformPacketFormat(),
            KEY,
            OPENING,
            0x11223344,
            build(platform.ACK, ack=3, data=b"data"),
            build(platform.ACK | platform.FIN),
            build(platform.ACK, is_reply=True, data=b"answer"),
            build(platform.RST, is_reply=True),
        )
    ]

    def setUp(self) -> None:
        self.format = PlatformPacketFormat()

    def test_published_examples(self) -> None:
        header = self.format.parse_inbound(OPENING)
        assert isinstance(header, PacketHeader)
        self.assertTrue(header.is_opening)
        self.assertEqual(self.format.build_refusal(OPENING), REFUSAL)

    def test_refusal_of_data_has_the_sequence_number_that_the_caller_expects(self) -> None:
        refusal = self.format.build_refusal(build(platform.ACK, ack=77, data=b"x"))
        assert refusal is not None
        self.assertEqual(struct.unpack_from("!I", refusal, 10)[0], 77)

    def test_reset_is_not_answered_by_a_reset(self) -> None:
        self.assertIsNone(self.format.build_refusal(build(platform.RST)))

    def test_retransmitted_openings_are_counted(self) -> None:
        for retransmissions in (0, 1, 2):
            header = self.format.parse_inbound(build(platform.SYN, ack=retransmissions))
            assert isinstance(header, PacketHeader)
            self.assertEqual(header.attempt, retransmissions)

    def test_bounced_packet_is_restored(self) -> None:
        packet = build(platform.ACK, data=b"abc")
        bounced = bytearray(packet)
        bounced[4] |= platform.BOUNCED
        header = self.format.parse_outbound(bytes(bounced))
        assert isinstance(header, PacketHeader)
        self.assertEqual(header.key, KEY)
        self.assertTrue(header.flags & packet_flags.BOUNCED)
        self.assertEqual(self.format.restore_bounced(bytes(bounced)), packet)

    def test_wrong_lengths_are_malformed(self) -> None:
        valid = build(platform.ACK, data=b"abcd")
        table = [
            (b"", Malformed.TRUNCATED),
            (valid[:31], Malformed.TRUNCATED),
            (valid[:-1], Malformed.TRUNCATED),
            (valid + b"x", Malformed.OVERSIZED),
            (build(platform.ACK, data=bytes(1_201)), Malformed.OVERSIZED),
        ]
        for packet, expected in table:
            with self.subTest(size=len(packet)):
                self.assertIs(self.format.parse_inbound(packet), expected)


if __name__ == "__main__":
    unittest.main()
