"""Guards the preview of a placement: it must say what the owner would do, and change nothing."""

from __future__ import annotations

import unittest

from tests.coordination.handshake.fake_network import DESK
from tests.coordination.handshake.fake_network import FakeNetwork
from wagtailkeel_coordination.handshake import RouterOptions
from wagtailkeel_coordination.handshake.route_explanation import AddressError
from wagtailkeel_coordination.handshake.route_explanation import parse_address
from wagtailkeel_protocol.where_messages import PlacementOutcome
from wagtailkeel_protocol.where_messages import PlacementPreview

MAX_WAIT_S = 1.3
CALLER = "100.64.0.7:40001"


def preview(network: FakeNetwork, route: str = "198.18.0.1:443") -> PlacementPreview:
    """Return the preview of the network's first agent."""
    node = next(iter(network.nodes.values()))
    reply = node.router.explain_opening(CALLER, route, network.now)
    assert reply.preview is not None, reply
    return reply.preview


class PlacementPreviewTest(unittest.TestCase):
    def test_outcome(self) -> None:
        table = [
            ("no load is known", None, PlacementOutcome.LOADS_REQUESTED),
            ("servers accept", {}, PlacementOutcome.PLACED),
            ("servers drain", {"is_draining": True}, PlacementOutcome.REFUSED),
            ("servers are cold and full", {"cold_for_s": 0.9}, PlacementOutcome.QUEUED),
        ]
        for name, report, expected in table:
            with self.subTest(name):
                network = FakeNetwork(
                    [DESK] * 3,
                    cold_starts_per_s=1.0,
                    options=RouterOptions(max_opening_wait_s=MAX_WAIT_S),
                )
                network.balancer.owners.update(list(network.nodes)[:1])
                if report is not None:
                    for node in network.nodes.values():
                        node.report(**report)
                    for number in range(4):
                        network.open(f"caller-{number}")
                found = preview(network)
                self.assertEqual(found.outcome, expected)
                self.assertEqual(
                    bool(found.agent),
                    expected in (PlacementOutcome.PLACED, PlacementOutcome.QUEUED),
                )
                self.assertEqual(found.members, 3)

    def test_nothing_changes(self) -> None:
        network = FakeNetwork([DESK] * 3)
        network.open("caller")
        node = next(iter(network.nodes.values()))
        before = dict(network.counters), dict(node.router.loads.by_address)
        preview(network)
        self.assertEqual((dict(network.counters), dict(node.router.loads.by_address)), before)

    def test_the_agent_named_gets_the_next_opening(self) -> None:
        network = FakeNetwork([DESK] * 3)
        network.balancer.owners.update(list(network.nodes)[:1])
        for number in range(5):
            network.open(f"caller-{number}")
        named = next(
            node for address, node in network.nodes.items() if address[0] == preview(network).agent
        )
        self.assertEqual(network.open("next"), named.server.name)

    def test_an_unknown_route_has_no_service(self) -> None:
        network = FakeNetwork([DESK])
        node = next(iter(network.nodes.values()))
        reply = node.router.explain_opening(CALLER, "198.18.0.9:443", network.now)
        self.assertEqual((reply.service, reply.preview), ("", None))

    def test_addresses(self) -> None:
        for text in ("", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:70000", "host:1"):
            with self.subTest(text), self.assertRaises(AddressError):
                parse_address(text)
        self.assertEqual(parse_address("[::1]:80"), ("::1", 80))


if __name__ == "__main__":
    unittest.main()
