"""Guards the searches that one agent of a data centre does for all its owners."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from tests.coordination.handshake.fake_network import DATA_CENTRE
from tests.coordination.handshake.fake_network import DESK
from tests.coordination.handshake.fake_network import DESK_ENDPOINT
from tests.coordination.handshake.fake_network import TICK_INTERVAL_S
from tests.coordination.handshake.fake_network import UNLIMITED_QUERIES_PER_S
from tests.coordination.handshake.fake_network import FakeNetwork
from tests.coordination.handshake.fake_network import FakeNode
from wagtailkeel_coordination.handshake import Member
from wagtailkeel_coordination.handshake.flow_search import SEARCH_TIMEOUT_S
from wagtailkeel_coordination.handshake.search_batches import ANSWER_TIMEOUT_S
from wagtailkeel_coordination.handshake.search_batches import COLLECTION_INTERVAL_S
from wagtailkeel_coordination.handshake.search_batches import SEARCHER_TIMEOUT_S
from wagtailkeel_protocol.relay import RelayKind

if TYPE_CHECKING:
    from collections.abc import Callable

FLOWS = [f"caller-{number}" for number in range(300)]
MAX_MESSAGES_PER_FLOW = 8
REPORT_INTERVAL_S = 0.15
SEARCH_TIME_S = 3 * COLLECTION_INTERVAL_S + ANSWER_TIMEOUT_S


class PowerReturnsTest(unittest.TestCase):
    """All callers send data on flows that ended with their servers."""

    def count_messages(self, node_count: int) -> int:
        """Return the messages for all flows, each of which must be reset once."""
        network = FakeNetwork([DESK] * node_count, search_queries_per_s=0.0)
        servers = {name: network.open(name) for name in FLOWS}
        for node in network.nodes.values():
            node.lose_flows()
            node.forget_pointers()
        network.messages.clear()
        network.frames.clear()
        resets = 0
        for name, server in servers.items():
            network.request(name, server)
        network.replies.clear()
        network.advance(SEARCH_TIME_S)
        resets = network.resets
        self.assertEqual(resets, len(FLOWS))
        self.assertEqual(network.frames[RelayKind.SEARCH], 0)
        return network.messages.total()

    def test_messages_for_a_flow_do_not_grow_with_the_agents(self) -> None:
        for node_count in (10, 30, 60):
            with self.subTest(node_count=node_count):
                messages = self.count_messages(node_count)
                self.assertLessEqual(messages, MAX_MESSAGES_PER_FLOW * len(FLOWS))


def wait_for_reports(network: FakeNetwork, lone: FakeNode) -> None:
    """Let a server stay silent until its agent finds out that its process has ended."""
    while not lone.router.gate.has_ended:
        network.pass_time(REPORT_INTERVAL_S)


def refuse_connections(network: FakeNetwork, lone: FakeNode) -> None:
    """Let an agent find out that no server listens beside it."""
    lone.check_server()


class LoneAgentTest(unittest.TestCase):
    """A server was about to leave when the power failed; its agent starts again without it."""

    def test_it_delays_no_search(self) -> None:
        table: list[tuple[float, Callable[[FakeNetwork, FakeNode], None]]] = [
            (UNLIMITED_QUERIES_PER_S, wait_for_reports),
            (0.0, wait_for_reports),
            (UNLIMITED_QUERIES_PER_S, refuse_connections),
            (0.0, refuse_connections),
        ]
        for queries_per_s, end in table:
            with self.subTest(end.__name__, queries_per_s=queries_per_s):
                network = FakeNetwork([DESK] * 4, search_queries_per_s=queries_per_s)
                server = network.open("caller")
                holder = next(n for n in network.nodes.values() if n.server.name == server)
                lone = next(n for n in network.nodes.values() if n is not holder)
                lone.restart(has_server=False)
                lone.router.apply_routing(network.document(1))
                end(network, lone)
                holder.lose_flows()
                for node in network.nodes.values():
                    node.forget_pointers()
                owners = [n.address for n in network.nodes.values() if n is not lone]
                network.balancer.owners.update(owners)
                network.request("caller", server)
                network.advance(2 * COLLECTION_INTERVAL_S + TICK_INTERVAL_S)
                self.assertEqual(network.resets, 1)


class RemovedAgentTest(unittest.TestCase):
    """Control has removed an agent that is silent; its server may go on."""

    def setUp(self) -> None:
        self.network = FakeNetwork([DESK] * 5)
        self.removed = next(iter(self.network.nodes.values()))
        self.removed.is_up = False
        self.network.remove(self.removed)
        self.running = [n for n in self.network.nodes.values() if n is not self.removed]
        self.owner = self.running[0]
        self.network.balancer.owners.update([self.owner.address])

    def limit_queries(self, queries_per_s: float) -> None:
        """Let the owners pass their searches to the searcher beyond a number of queries."""
        self.network.search_queries_per_s = queries_per_s
        for node in self.running:
            node.restart()
        self.network.pass_time(70.0)
        self.network.apply_routing(self.network.document(1))

    def lose_flow(self, name: str) -> None:
        """Open a flow that its server loses, and send a request on it."""
        server = self.network.open(name)
        for node in self.running:
            node.lose_flows()
            node.forget_pointers()
        self.network.request(name, server)

    def test_a_lost_flow_is_reset_once_the_removed_agent_denies_it(self) -> None:
        for queries_per_s in (UNLIMITED_QUERIES_PER_S, 0.0):
            with self.subTest(queries_per_s=queries_per_s):
                self.limit_queries(queries_per_s)
                for name in ("first", "second"):
                    self.removed.is_up = False
                    self.lose_flow(name)
                    self.network.advance(SEARCH_TIMEOUT_S + TICK_INTERVAL_S)
                    self.assertEqual(self.network.resets, 0)
                    self.removed.is_up = True
                    self.network.request(name, self.owner.server.name)
                    self.network.advance(SEARCH_TIME_S)
                    self.assertEqual(self.network.resets, 1)

    def test_other_searches_do_not_wait_for_the_removed_agent(self) -> None:
        for queries_per_s in (UNLIMITED_QUERIES_PER_S, 0.0):
            with self.subTest(queries_per_s=queries_per_s):
                self.limit_queries(queries_per_s)
                server = self.network.open("caller")
                for node in self.running:
                    node.forget_pointers()
                self.network.request("caller", server)
                self.network.advance(COLLECTION_INTERVAL_S + TICK_INTERVAL_S)
                answers = [answer.server for answer in self.network.replies]
                self.assertEqual(answers, [server])

    def test_only_the_first_batch_waits_long_for_it(self) -> None:
        self.limit_queries(0.0)
        waits_s = [self.wait_for_searcher(name) for name in ("first", "second", "third")]
        self.assertGreaterEqual(waits_s[0], ANSWER_TIMEOUT_S)
        self.assertLess(max(waits_s[1:]), ANSWER_TIMEOUT_S)

    def wait_for_searcher(self, name: str) -> float:
        """Lose a flow; return the time until its owner knows which agents have not decided."""
        self.lose_flow(name)
        started_at = self.network.now
        while self.owner.router.searches.is_locating(name.encode() + DESK_ENDPOINT):
            self.network.advance(TICK_INTERVAL_S)
        return self.network.now - started_at


class SearcherTest(unittest.TestCase):
    """A flow of a live server must be found, whatever the searcher knows."""

    def setUp(self) -> None:
        self.network = FakeNetwork([DESK] * 6, search_queries_per_s=0.0)
        self.server = self.network.open("caller")
        self.network.request("caller", self.server)
        nodes = list(self.network.nodes.values())
        self.searcher = next(
            n for n in nodes if n.address == n.router.owner.locator.batches.searcher
        )
        self.holder = next(n for n in nodes if n.server.name == self.server)
        self.owner = next(n for n in nodes if n not in (self.searcher, self.holder))
        for node in nodes:
            node.forget_pointers()
        self.network.balancer.owners.update([self.owner.address])

    def check_found(self, within_s: float) -> None:
        self.network.request("caller", self.server)
        self.network.advance(within_s)
        answers = [answer.server for answer in self.network.replies]
        self.assertEqual((answers, self.network.resets), ([self.server], 0))

    def test_the_flow_is_found(self) -> None:
        self.check_found(SEARCH_TIME_S)

    def test_the_searcher_does_not_answer(self) -> None:
        self.searcher.is_up = False
        self.check_found(2 * SEARCHER_TIMEOUT_S)

    def test_a_silent_searcher_gets_no_searches_for_a_while(self) -> None:
        self.searcher.is_up = False
        self.check_found(2 * SEARCHER_TIMEOUT_S)
        self.owner.forget_pointers()
        self.check_found(SEARCHER_TIMEOUT_S / 2)

    def test_the_searcher_does_not_know_the_agent_that_has_the_flow(self) -> None:
        members = {
            n.address: Member(n.service, DATA_CENTRE)
            for n in self.network.nodes.values()
            if n is not self.holder
        }
        self.searcher.router.set_peers(members, frozenset())
        self.check_found(SEARCH_TIME_S)

    def test_the_agent_that_has_the_flow_does_not_answer_in_time(self) -> None:
        self.holder.is_up = False
        self.network.request("caller", self.server)
        self.network.advance(SEARCH_TIME_S)
        self.assertEqual(self.network.resets, 0)
        self.holder.is_up = True
        self.check_found(SEARCH_TIME_S)

    def test_denials_from_before_the_request_do_not_count(self) -> None:
        """The flow opens on an agent that has denied it to an earlier search."""
        batches = self.searcher.router.owner.locator.batches
        key = b"caller" + DESK_ENDPOINT
        flow = self.holder.router.held.by_key.pop(key)
        involved = (self.searcher, self.holder, self.owner)
        silent = next(n for n in self.network.nodes.values() if n not in involved)
        silent.is_up = False
        batches.on_request(key, self.searcher.address)
        self.network.advance(COLLECTION_INTERVAL_S)
        silent.is_up = True
        self.holder.router.held.by_key[key] = flow
        self.check_found(2 * SEARCH_TIME_S)

    def test_an_agent_that_may_have_flows_unknowingly_is_asked_with_a_packet(self) -> None:
        self.holder.restart()
        self.holder.router.apply_routing(self.network.document(1))
        self.network.share_members()
        self.check_found(2 * SEARCH_TIME_S)


if __name__ == "__main__":
    unittest.main()
