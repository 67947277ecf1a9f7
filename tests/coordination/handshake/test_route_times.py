"""Guards service times and the loads that agents report for the rule of aged loads."""

from __future__ import annotations

import unittest

from tests.coordination.handshake.fake_network import DESK
from tests.coordination.handshake.fake_network import FakeNetwork
from wagtailkeel_coordination.handshake import RouterOptions
from wagtailkeel_coordination.handshake.held_flows import HeldFlows
from wagtailkeel_coordination.handshake.route_times import RouteTimes
from wagtailkeel_protocol import packet_format as packet_flags
from wagtailkeel_protocol.packet_format import PacketHeader

AGED_LOADS = RouterOptions(placement="aged_loads")


class ServiceTimesTest(unittest.TestCase):
    """A wrong service time sends openings to a slow server, or none to a fast one."""

    def test_estimates(self) -> None:
        table = [
            ("first answer", [0.02], 0.02, 0.0),
            ("one in 33 takes 7 times as long", ([0.02] * 32 + [0.14]) * 8, 0.0225, 0.002),
            ("seven times slower for 4 s at 20/s", [0.02] * 99 + [0.14] * 80, 0.14, 0.02),
            ("faster for 4 s at 20/s", [0.14] * 99 + [0.02] * 80, 0.02, 0.01),
        ]
        for name, times, expected, tolerance in table:
            with self.subTest(name):
                route_times = RouteTimes(lambda key: key[:1])
                for service_s in times:
                    route_times.record(b"a", service_s)
                self.assertAlmostEqual(route_times.mean_s, expected, delta=tolerance)

    def test_requests_that_waited_count_from_their_start_and_shed_ones_never(self) -> None:
        held = HeldFlows(lambda response_s: None, RouteTimes(lambda key: b"route"))
        for key in (b"first", b"second", b"shed"):
            held.on_inbound(held.open(key, ("", 0), 1.0), PacketHeader(key, 0, 1), 1.0)
        for key, now in ((b"shed", 1.001), (b"first", 1.02), (b"second", 1.04)):
            held.on_outbound(held.by_key[key], PacketHeader(key, 0, 1), now)
        self.assertAlmostEqual(held.service_s, 0.02)

    def test_closed_flows_are_no_load_and_reports_count_openings(self) -> None:
        for options, expected in ((AGED_LOADS, (0, 0, 1)), (RouterOptions(), (0, 1, 1))):
            with self.subTest(options.placement):
                network = FakeNetwork([DESK], options=options)
                network.open("caller")
                node = next(iter(network.nodes.values()))
                key = next(iter(node.router.held.by_key))
                reset = PacketHeader(key, packet_flags.RESET, 0)
                node.router.held.on_outbound(node.router.held.by_key[key], reset, network.now)
                network.now += 0.2
                load = node.router.build_load(network.now)
                self.assertEqual((load.in_flight, load.held_flows, load.opened_flows), expected)


if __name__ == "__main__":
    unittest.main()
