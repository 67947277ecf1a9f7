from __future__ import annotations

import unittest

from tests.coordination.handshake.fake_network import ARCHIVE
from tests.coordination.handshake.fake_network import DATA_CENTRE
from tests.coordination.handshake.fake_network import DESK
from tests.coordination.handshake.fake_network import SPLIT_ENDPOINT
from tests.coordination.handshake.fake_network import FakeNetwork
from wagtailkeel_coordination.handshake import Member

FLOWS = [f"caller-{number}" for number in range(40)]


class OpeningsTest(unittest.TestCase):
    """An opening must reach a ready server, and be refused only if no server can have taken it."""

    def test_a_retransmitted_opening_reaches_the_same_server(self) -> None:
        network = FakeNetwork([DESK] * 4)
        for name in FLOWS:
            first = network.open(name)
            self.assertEqual(network.open(name, attempt=1), first)

    def test_one_opening_placed_on_two_servers(self) -> None:
        """Another owner places a retransmission: data goes to the server that the caller ACKs."""
        network = FakeNetwork([DESK] * 4)
        addresses = list(network.nodes)
        for name in FLOWS:
            network.balancer.owners.update(addresses[:1])
            first = network.open(name)
            network.balancer.owners.update(addresses[1:2])
            second = network.open(name, attempt=1)
            for chosen in (first, second):
                if chosen == first:
                    continue
                network.request(name, chosen)
                network.pass_time(0.2)
                self.assertEqual(network.request(name, chosen), chosen)

    def test_full_servers_are_skipped(self) -> None:
        network = FakeNetwork([DESK] * 4)
        nodes = list(network.nodes.values())
        for node in nodes[:3]:
            node.server.is_full = True
        for name in FLOWS:
            self.assertEqual(network.open(name), nodes[3].server.name)

    def test_refusal_when_all_are_full(self) -> None:
        network = FakeNetwork([DESK] * 3)
        for node in network.nodes.values():
            node.server.is_full = True
        self.assertEqual(network.open("caller"), "")
        self.assertEqual(network.resets, 1)
        self.assertEqual(sum(len(n.server.half_open) for n in network.nodes.values()), 0)

    def test_openings_for_busy_servers_are_refused_at_once(self) -> None:
        """After an outage, a route moved to a small service: its queues must not stay full."""
        network = FakeNetwork([DESK] * 2)
        network.apply_routing(network.document(2, target_s=0.1))
        for node in network.nodes.values():
            node.router.held.service_s = 0.02
        # At each server, two requests may wait for 0.04 s in addition to the one in progress.
        servers = [network.open(name) for name in FLOWS[:6]]
        self.assertNotIn("", servers)
        self.assertEqual((network.open("late"), network.resets), ("", 1))
        network.request(FLOWS[0], servers[0])
        self.assertEqual(network.open("next"), servers[0], "an answer makes room")

    def test_without_a_target_or_a_measured_answer_nothing_is_limited(self) -> None:
        for target_s, service_s in ((0.0, 0.02), (0.1, 0.0)):
            with self.subTest(target_s=target_s, service_s=service_s):
                network = FakeNetwork([DESK])
                network.apply_routing(network.document(2, target_s=target_s))
                next(iter(network.nodes.values())).router.held.service_s = service_s
                self.assertNotIn("", [network.open(name) for name in FLOWS])

    def test_a_retransmission_is_refused_only_by_the_owner_of_the_first_transmission(self) -> None:
        """Another owner may have placed the first transmission, so its flow may be open."""
        network = FakeNetwork([DESK] * 2)
        for node in network.nodes.values():
            node.server.is_full = True
        for attempt in (1, 2):
            self.assertEqual((network.open("copy", attempt=attempt), network.resets), ("", 0))
        for attempt in (0, 1):
            self.assertEqual((network.open("first", attempt=attempt), network.resets), ("", 1))

    def test_a_split_route_uses_both_services(self) -> None:
        network = FakeNetwork([DESK, DESK, ARCHIVE, ARCHIVE])
        names = {n.server.name: n.service for n in network.nodes.values()}
        services = {name: names[network.open(name, SPLIT_ENDPOINT)] for name in FLOWS}
        self.assertEqual(set(services.values()), {DESK, ARCHIVE})

    def test_the_newer_routing_version_decides_an_opening(self) -> None:
        network = FakeNetwork([DESK] * 3)
        for node in network.nodes.values():
            node.router.apply_routing(network.document(2, has_desk=False))
        self.assertEqual(network.open("caller"), "")
        self.assertEqual(sum(len(n.server.openings) for n in network.nodes.values()), 0)

    def test_a_server_without_recent_reports_gets_no_openings(self) -> None:
        network = FakeNetwork([DESK] * 3)
        network.now += 60.0
        network.share_state()
        self.assertEqual(network.open("caller"), "")
        self.assertEqual(sum(len(n.server.openings) for n in network.nodes.values()), 0)

    def test_a_cold_server_gets_no_more_openings_than_it_can_handle(self) -> None:
        network = FakeNetwork([DESK], cold_starts_per_s=3.0)
        node = next(iter(network.nodes.values()))
        node.report(cold_for_s=5.0)
        network.share_state()
        for name in FLOWS:
            network.open(name)
        self.assertEqual(len(node.server.openings), 3)
        self.assertEqual(network.open("late"), "")
        self.assertEqual(network.resets, 1, "room comes later than the caller can use it")

    def test_an_opening_without_route_is_refused_from_the_first_retransmission_on(self) -> None:
        network = FakeNetwork([DESK])
        endpoint = b"\xc6\x12\x00\x63\x01\xbb"
        network.open("caller", endpoint)
        self.assertEqual(network.resets, 0)
        network.open("caller", endpoint, attempt=1)
        self.assertEqual(network.resets, 1)

    def test_no_refusal_for_a_missing_route_while_changes_may_be_missing(self) -> None:
        """After a total power loss, a balancer with no routing document must refuse no opening."""
        network = FakeNetwork([DESK])
        network.is_control_reachable = False
        for attempt in range(3):
            network.open("caller", b"\xc6\x12\x00\x63\x01\xbb", attempt)
            self.assertEqual(network.resets, 0)

    def test_no_refusal_before_the_first_report_of_a_server(self) -> None:
        """After a total power loss, servers report up to a second after their agents start."""
        network = FakeNetwork([DESK] * 2)
        for node in network.nodes.values():
            node.restart(has_server=False)
            node.router.apply_routing(network.document(1))
        network.share_state()
        self.assertEqual((network.open("caller"), network.resets), ("", 0))
        network.pass_time(3.0)
        self.assertEqual((network.open("caller", attempt=1), network.resets), ("", 1))

    def test_no_refusal_while_a_member_has_not_reported_its_load(self) -> None:
        """After a total power loss, an owner without load reports must refuse no opening."""
        network = FakeNetwork([ARCHIVE, DESK])
        archive, desk = network.nodes.values()
        desk.is_up = False
        network.balancer.owners.update([archive.address])
        self.assertEqual((network.open("caller"), network.resets), ("", 0))
        network.pass_time(0.1)
        self.assertEqual(network.resets, 0)
        desk.is_up = True
        self.assertEqual(network.open("caller", attempt=1), desk.server.name)

    def test_only_members_get_openings(self) -> None:
        """While control has no leader, no flow may open on a server unknown to other owners."""
        network = FakeNetwork([DESK] * 2)
        first, second = network.nodes.values()
        for node in (first, second):
            node.router.set_peers({first.address: Member(DESK, DATA_CENTRE)}, frozenset())
            load = second.router.build_load(network.now)
            node.router.on_load(load, second.address, network.now)
        for name in FLOWS:
            self.assertEqual(network.open(name), first.server.name)


if __name__ == "__main__":
    unittest.main()
