"""Guards the copies of directory entries that spare searches when owners change."""

from __future__ import annotations

import unittest

from tests.coordination.handshake.fake_network import DESK
from tests.coordination.handshake.fake_network import FakeNetwork
from tests.coordination.handshake.fake_network import FakeNode
from wagtailkeel_coordination.handshake.directory_copies import COPY_INTERVAL_S
from wagtailkeel_coordination.handshake.directory_copies import MIN_FLOW_AGE_S
from wagtailkeel_coordination.handshake.directory_copies import REFRESH_INTERVAL_S
from wagtailkeel_coordination.handshake.flow_search import LOCATION_TIMEOUT_S
from wagtailkeel_protocol.messages import FlowLocations
from wagtailkeel_protocol.messages import LocationRequest
from wagtailkeel_protocol.relay import RelayKind

NODE_COUNT = 30
FLOWS = [f"caller-{number}" for number in range(300)]
MAX_MESSAGES_PER_MOVED_FLOW = 1.2


class DirectoryCopiesTest(unittest.TestCase):
    """A change of owners must cost about a message for each flow that moves, and no search."""

    def setUp(self) -> None:
        self.network = FakeNetwork([DESK] * NODE_COUNT)
        self.servers = {name: self.network.open(name) for name in FLOWS}
        self.request_all()
        self.age_flows()
        self.network.messages.clear()

    def age_flows(self) -> None:
        for _ in range(2):
            self.network.pass_time(max(MIN_FLOW_AGE_S, COPY_INTERVAL_S) + 0.01)

    def request_all(self) -> None:
        for name, server in self.servers.items():
            self.assertEqual(self.network.request(name, server), server)
            self.assertEqual(self.network.resets, 0)

    def set_owners(self, *stopped: FakeNode) -> None:
        addresses = [n.address for n in self.network.nodes.values() if n not in stopped]
        self.network.balancer.owners.update(addresses)

    def busiest_owner(self) -> FakeNode:
        return max(self.network.nodes.values(), key=lambda n: len(self.owned_keys(n)))

    def owned_keys(self, node: FakeNode) -> list[bytes]:
        return [key for key, p in node.router.pointers.by_key.items() if not p.is_copy]

    def count_messages(self) -> int:
        """Return the number of messages about locations of flows, searches included."""
        searches = sum(
            self.network.frames[kind]
            for kind in (RelayKind.SEARCH, RelayKind.FOUND, RelayKind.NOT_FOUND)
        )
        return searches + self.network.messages[LocationRequest] + self.copies

    @property
    def copies(self) -> int:
        return self.network.messages[FlowLocations]

    def check_cost(self, moved: int) -> None:
        self.assertGreater(moved, 0)
        self.assertEqual(self.network.frames[RelayKind.SEARCH], 0)
        self.assertLessEqual(self.count_messages(), MAX_MESSAGES_PER_MOVED_FLOW * moved)

    def test_an_owner_dies(self) -> None:
        owner = self.busiest_owner()
        self.set_owners(owner)
        self.request_all()
        self.check_cost(len(self.owned_keys(owner)))

    def test_an_owner_stops_before_its_flows_were_copied(self) -> None:
        young = [f"young-{number}" for number in range(100)]
        self.servers.update({name: self.network.open(name) for name in young})
        owner = self.busiest_owner()
        moved = len(self.owned_keys(owner))
        owner.router.send_copies(self.network.now)
        self.network.run()
        self.set_owners(owner)
        self.request_all()
        self.check_cost(moved)

    def test_an_owner_returns_without_entries(self) -> None:
        owner = self.busiest_owner()
        moved = len(self.owned_keys(owner))
        self.set_owners(owner)
        self.request_all()
        owner.forget_pointers()
        self.network.messages.clear()
        self.set_owners()
        self.request_all()
        self.check_cost(moved)

    def test_copies_of_flows_in_use_are_refreshed(self) -> None:
        """An entry that no packet uses is removed, but the copy's flow is in use elsewhere."""
        idle_limit_s = 60.0
        passed_s = 0.0
        while passed_s < 2 * idle_limit_s:
            self.network.pass_time(REFRESH_INTERVAL_S)
            passed_s += REFRESH_INTERVAL_S
            self.request_all()
        self.network.pass_time(COPY_INTERVAL_S)
        self.network.frames.clear()
        self.set_owners(self.busiest_owner())
        self.request_all()
        self.assertEqual(self.network.frames[RelayKind.SEARCH], 0)

    def test_no_copies_of_flows_that_the_caller_has_closed(self) -> None:
        for node in self.network.nodes.values():
            for pointer in node.router.pointers.by_key.values():
                pointer.is_closing = True
                pointer.last_seen_at = self.network.now + REFRESH_INTERVAL_S
        self.network.pass_time(REFRESH_INTERVAL_S)
        self.assertEqual(self.copies, 0)


class MissingCopyTest(unittest.TestCase):
    """A flow must be found if its copy is missing or outdated, or its keeper does not answer."""

    def setUp(self) -> None:
        self.network = FakeNetwork([DESK] * 6)
        self.server = self.network.open("caller")
        self.network.request("caller", self.server)
        self.owner = next(n for n in self.network.nodes.values() if n.router.pointers.by_key)
        self.key = next(iter(self.owner.router.pointers.by_key))
        self.network.pass_time(MIN_FLOW_AGE_S + COPY_INTERVAL_S)
        self.others = [n for n in self.network.nodes.values() if n is not self.owner]

    def change_owner(self) -> None:
        self.network.balancer.owners.update([node.address for node in self.others])

    def count_resets(self) -> int:
        resets = 0
        for _ in range(3):
            self.network.request("caller", self.server)
            self.network.advance(0.6)
            resets += self.network.resets
        return resets

    def test_the_copy_is_missing(self) -> None:
        for node in self.others:
            node.forget_pointers()
        self.change_owner()
        self.assertEqual(self.network.request("caller", self.server), self.server)

    def test_the_copy_is_outdated(self) -> None:
        """A caller may have used the same port before, for a flow on another server."""
        for node in self.others:
            pointer = node.router.pointers.by_key.get(self.key)
            wrong = next(n for n in self.others if n.server.name != self.server)
            if pointer is not None:
                pointer.target = wrong.address
        self.change_owner()
        self.assertEqual(self.network.request("caller", self.server), self.server)
        self.assertEqual(self.network.resets, 0)

    def test_the_copy_points_to_an_agent_that_control_has_removed(self) -> None:
        """The flow is not located there for ever: it is reset once the agent's server has ended."""
        holder = next(n for n in self.network.nodes.values() if n.server.name == self.server)
        owner = next(n for n in self.network.nodes.values() if n is not holder)
        for node in self.network.nodes.values():
            node.router.pointers.remove(self.key)
            node.router.pointers.add_copy(self.key, holder.address, self.network.now)
        self.network.balancer.owners.update([owner.address])
        holder.is_up = False
        self.network.remove(holder)
        self.assertEqual(self.count_resets(), 0)
        del self.network.nodes[holder.address]
        self.network.removed.clear()
        self.network.share_members()
        self.assertEqual(self.count_resets(), 3)

    def test_the_agent_that_may_have_the_copy_does_not_answer(self) -> None:
        holder = next(n for n in self.network.nodes.values() if n.server.name == self.server)
        for node in self.others:
            node.forget_pointers()
        keeper = next(n for n in self.others if n is not holder)
        self.network.balancer.owners.update([keeper.address])
        self.owner.is_up = self.owner is holder
        keeper.router.owner.locator.copies.set_agents([self.owner.address])
        self.network.request("caller", self.server)
        self.network.advance(2 * LOCATION_TIMEOUT_S)
        answers = [answer.server for answer in self.network.replies]
        self.assertEqual((answers, self.network.resets), ([self.server], 0))

    def test_an_agent_restarts_that_owns_and_has_the_flow(self) -> None:
        """Its neighbour tells it that it has the flow, but only its server knows."""
        node = next(n for n in self.network.nodes.values() if n.server.name == self.server)
        for is_lost in (False, True):
            with self.subTest(is_lost=is_lost):
                node.restart()
                node.router.apply_routing(self.network.document(1))
                self.network.share_members()
                if is_lost:
                    node.server.open.clear()
                for other in self.network.nodes.values():
                    if other is not node:
                        now = self.network.now
                        other.router.pointers.add_copy(self.key, node.address, now)
                self.network.balancer.owners.update([node.address])
                answered = self.network.request("caller", self.server)
                self.assertEqual(answered, "" if is_lost else self.server)
                self.assertEqual(self.network.resets, int(is_lost))


if __name__ == "__main__":
    unittest.main()
