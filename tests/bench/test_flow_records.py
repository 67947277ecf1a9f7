"""What the stand-ins of the older roles record, by which resets of feeds are judged."""

from __future__ import annotations

import unittest
from random import Random
from unittest import mock

import msgspec

from wagtailkeel_bench.flow_records import FlowRecord
from wagtailkeel_bench.flow_records import RecordKind
from wagtailkeel_bench.flow_records import judge
from wagtailkeel_bench.stand_ins.backend_server import BackendServer
from wagtailkeel_bench.stand_ins.callers import Callers
from wagtailkeel_bench.stand_ins.callers import CallersPlan
from wagtailkeel_bench.stand_ins.delivery_checker import DeliveryChecker
from wagtailkeel_bench.stand_ins.feed import FeedState
from wagtailkeel_bench.stand_ins.server_plan import ServerPlan
from wagtailkeel_protocol import packet as ip
from wagtailkeel_protocol.packet_builder import build_reset
from wagtailkeel_protocol.packet_builder import build_tcp

ADDRESS = ("127.0.0.1", 0)
SERVER_ID = "desk-1"
ENDPOINT = "0a5a000101bb06"


class FeedResetTest(unittest.IsolatedAsyncioTestCase):
    """Resets of feeds were counted without a look at what the servers held."""

    async def asyncSetUp(self) -> None:
        with mock.patch("wagtailkeel_bench.stand_ins.backend_server.UdpPort"):
            plan = ServerPlan(SERVER_ID, "desk", "east", 1, 1.0, ADDRESS, ADDRESS)
            self.server = BackendServer(plan, DeliveryChecker(), Random(1))
        with mock.patch("wagtailkeel_bench.stand_ins.callers.UdpPort"):
            self.callers = Callers(CallersPlan(1, ADDRESS, ADDRESS))
        self.callers._open_feed(ENDPOINT, 1.0, 1.0)
        (self.feed,) = self.callers._feeds
        self.send(ip.SYN)
        self.feed.state, self.feed.server_id = FeedState.OPEN, SERVER_ID

    def send(self, flags: int) -> None:
        self.server._on_packet(build_tcp(self.feed.key, 1, 1, flags), ADDRESS)

    def count_broken(self, silenced: list[str] | None = None) -> int:
        """Reset the feed; return whether its server held it then."""
        self.feed.on_packet(build_reset(build_tcp(self.feed.key, 1, 1, ip.ACK)))
        resets = msgspec.convert(self.callers.list_resets(silenced or []), list[FlowRecord])
        return len(judge([*self.server.flow_records, *resets]).broken_flows)

    async def test_a_held_feed_is_reset(self) -> None:
        self.assertEqual(self.count_broken(), 1)

    async def test_a_feed_that_its_server_ignores_is_reset(self) -> None:
        self.assertEqual(self.count_broken([self.feed.key.hex()]), 0)

    async def test_a_feed_that_was_closed_is_reset(self) -> None:
        self.send(ip.FIN | ip.ACK)
        self.assertEqual(self.count_broken(), 0)

    async def test_a_feed_that_was_lost_with_its_server_is_reset(self) -> None:
        self.server.set_down(True)
        self.assertEqual(self.count_broken(), 0)

    async def test_a_repeated_opening_does_not_open_the_flow_again(self) -> None:
        self.send(ip.SYN)
        kinds = [record.kind for record in self.server.flow_records]
        self.assertEqual(kinds, [RecordKind.OPENED])


if __name__ == "__main__":
    unittest.main()
