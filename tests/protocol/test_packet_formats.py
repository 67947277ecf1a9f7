"""Tests of every packet format, here of TCP over IP; the adapter's test adds its own format."""

from __future__ import annotations

import ipaddress
import struct
import unittest
from typing import ClassVar

import msgspec
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from wagtailkeel_protocol import Malformed
from wagtailkeel_protocol import packet as ip
from wagtailkeel_protocol import packet_format as packet_flags
from wagtailkeel_protocol.packet_builder import build_tcp
from wagtailkeel_protocol.packet_format import IpPacketFormat
from wagtailkeel_protocol.packet_format import PacketFormat
from wagtailkeel_protocol.packet_format import PacketHeader

CALLER = "100.64.0.7"
CALLER_PORT = 40_001
ROUTE = "198.18.0.1"
ROUTE_PORT = 443


class FormatCase(msgspec.Struct):
    """A packet format and packets of one flow in that format."""

    packet_format: PacketFormat
    key: bytes
    opening: bytes
    opening_sequence: int
    data: bytes
    finish: bytes
    reply: bytes
    reset: bytes


def make_ip_case() -> FormatCase:
    """Return the case of TCP over IPv4."""
    key = (
        ipaddress.ip_address(CALLER).packed
        + ipaddress.ip_address(ROUTE).packed
        + struct.pack("!HHB", CALLER_PORT, ROUTE_PORT, ip.TCP)
    )
    reply_key = ip.reverse_key(key)
    return FormatCase(
        IpPacketFormat(),
        key,
        build_tcp(key, 1, 0, ip.SYN),
        1,
        build_tcp(key, 2, 9, ip.ACK, b"data"),
        build_tcp(key, 6, 9, ip.ACK | ip.FIN),
        build_tcp(reply_key, 9, 6, ip.ACK, b"answer"),
        build_tcp(reply_key, 9, 6, ip.RST),
    )


class PacketFormatTest(unittest.TestCase):
    """Tests of every packet format; the adapter's test replaces ``cases`` by its own."""

    cases: ClassVar[list[FormatCase]] = [make_ip_case()]

    def test_flags_key_and_payload_size(self) -> None:
        for case in self.cases:
            parser = case.packet_format
            table = [
                (parser.parse_inbound(case.opening), packet_flags.OPENING, 0, True),
                (parser.parse_inbound(case.data), packet_flags.ACK, 4, False),
                (parser.parse_inbound(case.finish), packet_flags.ACK | packet_flags.FIN, 0, False),
                (parser.parse_outbound(case.reply), packet_flags.ACK, 6, False),
                (parser.parse_outbound(case.reset), packet_flags.RESET, 0, False),
            ]
            for header, expected, size, is_opening in table:
                with self.subTest(packet_format=type(parser).__name__, flags=expected):
                    assert isinstance(header, PacketHeader)
                    self.assertEqual(header.key, case.key)
                    self.assertEqual(header.flags, expected)
                    self.assertEqual(header.payload_bytes, size)
                    self.assertEqual(header.is_opening, is_opening)

    def test_only_openings_have_an_initial_sequence_number(self) -> None:
        for case in self.cases:
            parser = case.packet_format
            for packet, expected in ((case.opening, case.opening_sequence), (case.data, 0)):
                with self.subTest(packet_format=type(parser).__name__, expected=expected):
                    header = parser.parse_inbound(packet)
                    assert isinstance(header, PacketHeader)
                    self.assertEqual(header.initial_sequence, expected)

    def test_endpoint_and_caller_host(self) -> None:
        for case in self.cases:
            with self.subTest(packet_format=type(case.packet_format).__name__):
                endpoint = ipaddress.ip_address(ROUTE).packed + struct.pack("!H", ROUTE_PORT)
                self.assertEqual(case.packet_format.endpoint_of(case.key), endpoint)
                self.assertEqual(case.packet_format.caller_host(case.key), CALLER)

    def test_refusal_is_a_reset_from_the_route(self) -> None:
        for case in self.cases:
            for packet in (case.opening, case.data):
                with self.subTest(packet_format=type(case.packet_format).__name__):
                    refusal = case.packet_format.build_refusal(packet)
                    assert refusal is not None
                    header = case.packet_format.parse_outbound(refusal)
                    assert isinstance(header, PacketHeader)
                    self.assertEqual(header.key, case.key)
                    self.assertTrue(header.flags & packet_flags.RESET)

    def test_truncated_and_corrupted_packets_do_not_raise(self) -> None:
        for case in self.cases:
            with self.subTest(packet_format=type(case.packet_format).__name__):
                _check_corrupted_packets(self, case)


def _check_corrupted_packets(test: unittest.TestCase, case: FormatCase) -> None:
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.data())
    def check(data: st.DataObject) -> None:
        packet = bytearray(data.draw(st.sampled_from([case.opening, case.data])))
        for _ in range(data.draw(st.integers(0, 4))):
            position = data.draw(st.integers(0, len(packet) - 1))
            packet[position] ^= 1 << data.draw(st.integers(0, 7))
        cut = bytes(packet[: data.draw(st.integers(0, len(packet)))])
        for parse in (case.packet_format.parse_inbound, case.packet_format.parse_outbound):
            test.assertIsInstance(parse(cut), (PacketHeader, Malformed))

    check()


if __name__ == "__main__":
    unittest.main()
