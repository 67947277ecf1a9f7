from __future__ import annotations

import ipaddress
import struct
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from wagtailkeel_protocol import DataFrame
from wagtailkeel_protocol import Malformed
from wagtailkeel_protocol import decode_datagram
from wagtailkeel_protocol import encode_datagram
from wagtailkeel_protocol import gue
from wagtailkeel_protocol import packet as ip
from wagtailkeel_protocol.flow_key import describe_flow
from wagtailkeel_protocol.flow_key import endpoint_key
from wagtailkeel_protocol.flow_key import endpoint_of
from wagtailkeel_protocol.messages import VersionHint
from wagtailkeel_protocol.packet_builder import build_refusal
from wagtailkeel_protocol.packet_builder import build_reset
from wagtailkeel_protocol.packet_builder import build_tcp
from wagtailkeel_protocol.packet_builder import build_udp
from wagtailkeel_protocol.packet_builder import checksum

V4 = (
    ipaddress.ip_address("10.1.0.1").packed
    + ipaddress.ip_address("10.90.0.1").packed
    + struct.pack("!HH", 2_000, 20_000)
)
V6 = (
    ipaddress.ip_address("2001:db8::1").packed
    + ipaddress.ip_address("2001:db8::2").packed
    + struct.pack("!HH", 2_000, 20_000)
)
KEYS = [V4 + b"\x06", V4 + b"\x11", V6 + b"\x06", V6 + b"\x11"]


def build(key: bytes, flags: int = ip.ACK) -> bytes:
    return build_tcp(key, 5, 9, flags, b"body") if key[-1] == ip.TCP else build_udp(key, b"body")


class PacketTest(unittest.TestCase):
    def test_flow_key_of_built_packets(self) -> None:
        for key in KEYS:
            with self.subTest(describe_flow(key)):
                packet = build(key)
                self.assertEqual(ip.parse_flow_key(packet), key)
                self.assertEqual(ip.payload_of(packet), b"body")
                self.assertEqual(ip.reverse_key(ip.reverse_key(key)), key)
                address = "10.90.0.1" if len(key) == 13 else "2001:db8::2"
                self.assertEqual(endpoint_of(key), endpoint_key(address, 20_000, key[-1]))

    def test_malformed_packets_are_classified(self) -> None:
        udp = build(KEYS[1])
        table = {
            "empty": (b"", Malformed.TRUNCATED),
            "short": (udp[:20], Malformed.TRUNCATED),
            "cut": (udp[:-1], Malformed.TRUNCATED),
            "longer than announced": (udp + b"x", Malformed.OVERSIZED),
            "fragment": (udp[:6] + b"\x20\x00" + udp[8:], Malformed.FRAGMENTED),
            "other protocol": (udp[:9] + b"\x2f" + udp[10:], Malformed.FOREIGN),
            "other version": (b"\x75" + udp[1:], Malformed.WRONG_VERSION),
            "IPv6 fragment": (
                build(KEYS[3])[:6] + b"\x2c" + build(KEYS[3])[7:],
                Malformed.FRAGMENTED,
            ),
        }
        for name, (packet, cause) in table.items():
            with self.subTest(name):
                self.assertIs(ip.parse_flow_key(packet), cause)

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=120))
    def test_no_input_raises(self, body: bytes) -> None:
        for data in (body, b"\x45" + body, b"\x60" + body, gue.CONTROL_PREFIX + body):
            ip.parse_flow_key(data)
            gue.decode_frame(data)
            decode_datagram(data)

    def test_header_checksums(self) -> None:
        for packet in (build(KEYS[0]), build_refusal(build(KEYS[1]))):
            self.assertEqual(checksum(packet[:20]), 0)
        icmp = build_refusal(build(KEYS[1]))
        self.assertEqual(checksum(icmp[20:]), 0)

    def test_reset_sequence_numbers(self) -> None:
        table = [(ip.SYN, ip.RST | ip.ACK, 0, 5 + 4 + 1), (ip.ACK, ip.RST, 9, 0)]
        for key in (KEYS[0], KEYS[2]):
            for flags, expected, sequence, acknowledged in table:
                with self.subTest(flags=flags, bytes=len(key)):
                    reset = build_reset(build(key, flags))
                    offset = ip.transport_offset(reset)
                    found = struct.unpack_from("!II", reset, offset + 4)
                    self.assertEqual(ip.parse_flow_key(reset), ip.reverse_key(key))
                    self.assertEqual(ip.tcp_flags(reset), expected)
                    self.assertEqual(found, (sequence, acknowledged))

    def test_refusal_protocol_matches_the_flow(self) -> None:
        for key, protocol in zip(KEYS, (ip.TCP, ip.ICMP, ip.TCP, ip.ICMPV6), strict=True):
            refusal = build_refusal(build(key))
            found = refusal[9] if len(key) == 13 else refusal[6]
            self.assertEqual(found, protocol)


class FrameTest(unittest.TestCase):
    def test_frame_round_trip(self) -> None:
        for key in KEYS:
            frame = DataFrame(build(key), 1_023, 2**40, gue.FLAG_NEW, 3, 2**31)
            self.assertEqual(gue.decode_frame(gue.encode_frame(frame)), frame)

    def test_header_prefix_and_suffix_form_the_header(self) -> None:
        for version in (4, 6):
            whole = gue.encode_header(77, 2**40, version=version)
            parts = gue.header_prefix(version) + (77).to_bytes(2, "big") + gue.header_suffix(2**40)
            self.assertEqual(parts, whole)

    def test_malformed_frames_are_classified(self) -> None:
        whole = gue.encode_frame(DataFrame(build(KEYS[0]), 1, 1))
        table = [
            (whole[:30], Malformed.TRUNCATED),
            (b"\x05" + whole[1:], Malformed.WRONG_VERSION),
            (whole[:1] + b"\x2f" + whole[2:], Malformed.FOREIGN),
        ]
        for data, cause in table:
            self.assertIs(gue.decode_frame(data), cause)

    def test_datagram_round_trip_and_malformed_datagrams(self) -> None:
        hint = VersionHint("control-1", 7)
        data = encode_datagram(hint)
        self.assertEqual(decode_datagram(data), hint)
        self.assertIs(decode_datagram(data[:-1]), Malformed.UNDECODABLE)
        self.assertIs(decode_datagram(b"\x21" + data[1:]), Malformed.WRONG_VERSION)


if __name__ == "__main__":
    unittest.main()
