from __future__ import annotations

import unittest

from tests.coordination.handshake.fake_network import ARCHIVE
from tests.coordination.handshake.fake_network import DESK
from tests.coordination.handshake.fake_network import FakeNetwork
from wagtailkeel_state.routing import Route
from wagtailkeel_state.routing import RoutingDocument
from wagtailkeel_state.routing import WeightedService
from wagtailkeel_state.routing import apply_change
from wagtailkeel_state.routing import compute_change


class SearchScopeTest(unittest.TestCase):
    """Only agents of the services that a route has named since it was added may have its flows."""

    def find_resets(self, network: FakeNetwork, name: str, server: str) -> int:
        """Send data on a flow that its owner does not know; return the resets within 0.2 s."""
        owner = next(iter(network.nodes.values()))
        network.balancer.owners.update([owner.address])
        owner.forget_pointers()
        network.request(name, server)
        network.advance(0.2)
        return network.resets

    def test_a_silent_agent_of_another_service_does_not_delay_the_reset(self) -> None:
        """After a total power loss, callers must learn at once that their flows have ended."""
        table = [
            ("never named", [DESK], 1),
            ("named before", [ARCHIVE, DESK], 0),
        ]
        for name, services, expected in table:
            with self.subTest(name):
                network = FakeNetwork([DESK, DESK, ARCHIVE])
                document = RoutingDocument()
                for version, service in enumerate(services, start=2):
                    new = network.document(version)
                    route = Route("198.18.0.1", 443, (WeightedService(service, 1),))
                    new.routes_by_place[route.place] = route
                    document = apply_change(document, compute_change(document, new))
                network.apply_routing(document)
                list(network.nodes.values())[2].is_up = False
                self.assertEqual(self.find_resets(network, "caller", "10.0.0.2"), expected)

    def test_a_flow_on_a_service_that_its_route_named_before_is_found(self) -> None:
        network = FakeNetwork([DESK, DESK, ARCHIVE])
        first = network.document(2)
        document = apply_change(RoutingDocument(), compute_change(RoutingDocument(), first))
        network.apply_routing(document)
        server = network.open("caller")
        network.request("caller", server)
        second = network.document(3)
        route = Route("198.18.0.1", 443, (WeightedService(ARCHIVE, 1),))
        second.routes_by_place[route.place] = route
        network.apply_routing(apply_change(document, compute_change(document, second)))
        for node in network.nodes.values():
            node.forget_pointers()
            network.balancer.owners.update([node.address])
            self.assertEqual(network.request("caller", server), server)
            self.assertEqual(network.resets, 0)


if __name__ == "__main__":
    unittest.main()
