"""Guards against answers about an earlier flow or membership that decide about a later one."""

from __future__ import annotations

import unittest

import msgspec

from tests.coordination.handshake.fake_network import DESK
from tests.coordination.handshake.fake_network import DESK_ENDPOINT
from tests.coordination.handshake.fake_network import FakeFormat
from tests.coordination.handshake.fake_network import FakeNetwork
from tests.coordination.handshake.fake_network import FakeNode
from tests.coordination.handshake.fake_network import FakePacket
from tests.coordination.handshake.fake_network import FakeServer
from tests.coordination.handshake.test_reset_grounds import History
from wagtailkeel_coordination.handshake import BalancerRouter
from wagtailkeel_coordination.handshake import FormerMembers
from wagtailkeel_coordination.handshake.flow_probe import BOUNCE_TIMEOUT_S
from wagtailkeel_coordination.handshake.forgotten_flows import MIN_RETENTION_S
from wagtailkeel_protocol import packet_format as packet_flags
from wagtailkeel_protocol import relay
from wagtailkeel_state.commands import AnyCommand
from wagtailkeel_state.commands import JoinServer
from wagtailkeel_state.commands import LogEntry
from wagtailkeel_state.commands import RemoveServer
from wagtailkeel_state.configuration import Configuration
from wagtailkeel_state.configuration_machine import apply_entry
from wagtailkeel_state.configuration_machine.former_members import MAX_RETAINED_FORMER_MEMBERS
from wagtailkeel_state.routing import RoutingDocument
from wagtailkeel_state.server_member import ServerMember

CALLER = "caller"
KEY = CALLER.encode() + DESK_ENDPOINT
COPY_DELAY_S = 0.2
SEARCH_S = 1.0


def member(number: int, boot_id: int = 1) -> ServerMember:
    host = f"10.1.{number // 250}.{number % 250}"
    return ServerMember(f"desk@{number}", DESK, "east", host, 7_001, 7_002, boot_id, 1)


class EndedFlowsHistory(History):
    """A history whose servers remember which flows have ended at them."""

    def __init__(self, sequence: int = 1) -> None:
        super().__init__(sequence)
        for node in self.network.nodes.values():
            node.server = EndedFlowsServer(node.server)


class EndedFlowsServer(FakeServer):
    """Answers a FIN of a flow that has ended here with an ACK, and data with a reset."""

    def __init__(self, other: FakeServer) -> None:
        super().__init__(other.name)
        self.open, self.half_open = other.open, other.half_open
        self.ended: set[bytes] = set()

    def handle(self, packet: bytes) -> bytes | None:
        decoded = msgspec.msgpack.decode(packet, type=FakePacket)
        if decoded.flags & packet_flags.OPENING or decoded.key not in self.ended:
            return super().handle(packet)
        if decoded.data:
            return msgspec.msgpack.encode(FakePacket(decoded.key, packet_flags.RESET, self.name))
        if decoded.flags & packet_flags.FIN:
            return msgspec.msgpack.encode(FakePacket(decoded.key, packet_flags.ACK, self.name))
        return None


class PortUsedAgainTest(unittest.TestCase):
    """The caller's port has had an earlier flow, which ended at another server."""

    def set_up(self) -> History:
        history = EndedFlowsHistory()
        first = history.holder
        history.network.close(CALLER, history.server)
        first.close_flow(KEY)
        first.server.open.discard(KEY)
        assert isinstance(first.server, EndedFlowsServer)
        first.server.ended.add(KEY)
        history.pass_time(5.0)
        history.open_elsewhere(sequence=2)
        self.assertNotEqual(history.server, first.server.name)
        self.second = next(
            n for n in history.network.nodes.values() if n.server.name == history.server
        )
        history.owner = next(
            n for n in history.network.nodes.values() if n not in (first, self.second)
        )
        return history

    def search_with_fin(self, history: History) -> None:
        """Let an owner without an entry get the FIN with which the caller closes its flow."""
        network = history.network
        for node in network.nodes.values():
            node.forget_pointers()
        network.balancer.owners.update([history.owner.address])
        history.owner.router.owner.locator.copies.set_agents([])
        network.close(CALLER, history.server)
        network.advance(SEARCH_S)

    def test_the_server_of_the_earlier_flow_does_not_get_the_later_one(self) -> None:
        """It acknowledged a FIN, which was taken for a sign that it has the flow."""
        history = self.set_up()
        self.search_with_fin(history)
        pointer = history.owner.router.pointers.by_key[KEY]
        self.assertEqual(pointer.target, self.second.address)

    def test_the_server_of_the_earlier_flow_does_not_reset_the_later_one(self) -> None:
        """The caller's end is closed, so it only repeats its FIN and late data."""
        history = self.set_up()
        self.search_with_fin(history)
        history.network.request(CALLER, history.server)
        history.network.advance(SEARCH_S)
        self.assertEqual(history.network.resets, 0)


class OutlivedSearchTest(unittest.TestCase):
    """A search for a late packet of an earlier flow was going on when its port was used again."""

    def test_the_new_flow_is_not_reset_by_the_search_for_the_old_one(self) -> None:
        """Its server had denied the flow before it was opened there; another agent was slow."""
        network = FakeNetwork([DESK] * 4)
        network.pass_time(0.5)
        nodes = list(network.nodes.values())
        owner, slow = nodes[0], nodes[1]
        network.balancer.owners.update([owner.address])
        slow.is_up = False
        network.request(CALLER, "no server")
        network.advance(0.3)
        server = network.open(CALLER, sequence=2)
        self.assertEqual(network.request(CALLER, server), server)
        network.replies.clear()
        denial = relay.RelayFrame(relay.RelayKind.NOT_FOUND, 0, 0, relay.NO_SERVICE, KEY)
        owner.router.on_frame(denial, slow.address, network.now)
        network.run()
        self.assertEqual(network.resets, 0)


class LongFlowTest(unittest.TestCase):
    """Flows may last, and be idle, for longer than an agent waits for a packet of its server."""

    def test_a_flow_idle_for_longer_than_a_minute_is_not_denied_after_a_restart(self) -> None:
        history = History()
        document = history.network.document(2)
        history.network.apply_routing(
            RoutingDocument(2, document.routes_by_place, document.policies_by_service, 120.0)
        )
        history.holder.restart()
        history.holder.router.apply_routing(history.network.balancer_document)
        history.network.share_members()
        history.pass_time(MIN_RETENTION_S + 1.0)
        answers, resets = history.count_answers()
        self.assertEqual(resets, 0)
        self.assertGreater(answers, 0)


class RefusedCopyTest(unittest.TestCase):
    """A copy of an opening was refused although a server had taken another copy."""

    def setUp(self) -> None:
        self.network = FakeNetwork([DESK] * 3)
        self.network.pass_time(0.5)
        self.nodes = list(self.network.nodes.values())
        self.owner = self.nodes[0]
        self.network.balancer.owners.update([self.owner.address])

    def node_of(self, server: str) -> FakeNode:
        return next(n for n in self.nodes if n.server.name == server)

    def drain_all(self) -> None:
        for node in self.nodes:
            node.report(is_draining=True)

    def test_its_server_has_begun_to_drain(self) -> None:
        server = self.network.open(CALLER, sequence=1)
        self.assertEqual(self.network.request(CALLER, server), server)
        self.network.advance(COPY_DELAY_S)
        self.drain_all()
        self.network.open(CALLER, attempt=1, sequence=1)
        self.network.advance(0.5)
        self.assertEqual(self.network.resets, 0)

    def test_its_server_has_begun_to_drain_beside_an_agent_that_restarted(self) -> None:
        """The agent does not know that its server has taken a copy before."""
        server = self.network.open(CALLER, sequence=1)
        self.assertEqual(self.network.request(CALLER, server), server)
        holder = self.node_of(server)
        self.network.advance(COPY_DELAY_S)
        holder.restart(reports=False)
        holder.router.apply_routing(self.network.document(1))
        self.network.share_members()
        self.drain_all()
        self.network.open(CALLER, attempt=1, sequence=1)
        self.network.advance(0.5)
        self.assertEqual(self.network.resets, 0)

    def test_it_was_handled_late(self) -> None:
        """The owner had been slow, so that later copies went to another owner."""
        late = msgspec.msgpack.encode(FakePacket(KEY, packet_flags.OPENING, sequence=1))
        other = self.nodes[1]
        self.network.balancer.owners.update([other.address])
        server = self.network.open(CALLER, attempt=1, sequence=1)
        self.assertEqual(self.network.request(CALLER, server), server)
        self.network.pass_time(0.5)
        self.drain_all()
        self.network.replies.clear()
        frame = relay.RelayFrame(relay.RelayKind.FORWARD, 0, 1, relay.service_tag(DESK), late)
        slow = next(n for n in self.nodes if n is not other and n.server.name != server)
        slow.router.on_frame(frame, ("10.0.9.9", 7_001), self.network.now)
        self.network.run()
        self.network.advance(0.5)
        self.assertEqual(self.network.resets, 0)


class OutdatedBalancerTest(unittest.TestCase):
    """A balancer without the newest routes refused a copy of an opening that had opened a flow."""

    def test_a_copy_of_an_opening_whose_route_is_new_is_not_refused(self) -> None:
        network = FakeNetwork([DESK] * 3)
        network.pass_time(0.5)
        outdated = BalancerRouter(
            FakeFormat(),
            lambda frame, address: network.send(frame, address, ("10.0.9.8", 7_001)),
            lambda packet, host: network.replies.append(
                msgspec.msgpack.decode(packet, type=FakePacket)
            ),
            network.counters,
            network,
            # Control acknowledged a heartbeat before it logged the new route.
            lambda: True,
        )
        outdated.apply_routing(network.document(1, has_desk=False))
        network.apply_routing(network.document(2))
        server = network.open(CALLER, attempt=1, sequence=1)
        self.assertEqual(network.request(CALLER, server), server)
        network.replies.clear()
        copy = FakePacket(KEY, packet_flags.OPENING, attempt=2, sequence=1)
        outdated.on_packet(msgspec.msgpack.encode(copy))
        self.assertEqual(network.resets, 0)


class FormerMembersTest(unittest.TestCase):
    """An agent that control has removed counts as left with its server too early."""

    def test_it_was_removed_after_a_long_time_without_a_change(self) -> None:
        """The retention ran from the last change that named it as a member."""
        former_members, config = FormerMembers(), Configuration()
        for number in (1, 2):
            apply_entry(config, LogEntry(number, 1, JoinServer(member=member(number)), ""))
        now = 100.0
        former_members.update(config, now)
        apply_entry(config, LogEntry(3, 1, RemoveServer(server_id="desk@1", boot_id=1), ""))
        now += MIN_RETENTION_S + 1.0
        former_members.update(config, now)
        former_members.expire(now, MIN_RETENTION_S)
        self.assertEqual(former_members.addresses, {(member(1).host, 7_001)})

    def test_it_is_a_former_member_for_the_retention_time_only(self) -> None:
        former_members, config = FormerMembers(), Configuration()
        apply_entry(config, LogEntry(1, 1, JoinServer(member=member(1)), ""))
        apply_entry(config, LogEntry(2, 1, RemoveServer(server_id="desk@1", boot_id=1), ""))
        former_members.update(config, 100.0)
        self.assertFalse(former_members.expire(100.0 + MIN_RETENTION_S, MIN_RETENTION_S))
        self.assertTrue(former_members.expire(101.0 + MIN_RETENTION_S, MIN_RETENTION_S))
        self.assertEqual(former_members.addresses, frozenset())

    def test_it_is_none_once_it_is_back_or_has_left(self) -> None:
        table: list[tuple[str, AnyCommand]] = [
            ("back", JoinServer(member=member(1, 2))),
            ("left", RemoveServer(server_id="desk@1", boot_id=2, has_ended=True)),
        ]
        former_members, config = FormerMembers(), Configuration()
        apply_entry(config, LogEntry(1, 1, JoinServer(member=member(1)), ""))
        apply_entry(config, LogEntry(2, 1, RemoveServer(server_id="desk@1", boot_id=1), ""))
        former_members.update(config, 100.0)
        self.assertEqual(former_members.addresses, {(member(1).host, 7_001)})
        for index, (name, command) in enumerate(table, 3):
            with self.subTest(name):
                apply_entry(config, LogEntry(index, 1, command, ""))
                former_members.update(config, 101.0)
                self.assertEqual(former_members.addresses, frozenset())

    def test_other_agents_restarted_after_its_removal(self) -> None:
        """Their earlier processes, at the same addresses, displaced it from the list."""
        config = Configuration()
        count = MAX_RETAINED_FORMER_MEMBERS + 2
        index = 0
        for number in range(count):
            index += 1
            apply_entry(config, LogEntry(index, 1, JoinServer(member=member(number)), ""))
        index += 1
        apply_entry(config, LogEntry(index, 1, RemoveServer(server_id="desk@0", boot_id=1), ""))
        for number in range(1, count):
            index += 1
            apply_entry(config, LogEntry(index, 1, JoinServer(member=member(number, 2)), ""))
        self.assertTrue("desk@0" in config.former_members_by_id)


class LostProbeTest(unittest.TestCase):
    """A server that did not return a packet in time was taken for the one that has the flow."""

    def test_the_agent_that_has_delivered_the_packet_stays_the_target(self) -> None:
        history = History()
        network = history.network
        asked = next(n for n in network.nodes.values() if n not in (history.holder, history.owner))
        asked.restart()
        asked.router.apply_routing(network.document(1))
        asked.deliver = lambda packet: None  # type: ignore[method-assign]
        for node in network.nodes.values():
            node.forget_pointers()
        history.owner.router.owner.locator.copies.set_agents([])
        network.balancer.owners.update([history.owner.address])
        self.assertEqual(network.request(CALLER, history.server), history.server)
        network.advance(2 * BOUNCE_TIMEOUT_S)
        pointer = history.owner.router.pointers.by_key[KEY]
        self.assertEqual(pointer.target, history.holder.address)


class PowerReturnsTest(unittest.TestCase):
    """All servers and agents start again, and callers send data on the flows from before."""

    def test_searches_are_batched_if_each_agent_has_found_the_port_closed_once(self) -> None:
        """Otherwise, each lost flow costs a packet for each agent."""
        network = FakeNetwork([DESK] * 12, search_queries_per_s=0.0)
        servers = {f"caller-{number}": "" for number in range(40)}
        for name in servers:
            servers[name] = network.open(name)
        for node in network.nodes.values():
            node.server.open.clear()
            node.server.half_open.clear()
            node.report_count = 0
            node.restart(reports=False)
            node.router.on_closed_port(network.now)
            node.report()
            node.router.apply_routing(network.document(1))
        network.share_members()
        network.frames.clear()
        for name, server in servers.items():
            network.request(name, server)
        network.advance(SEARCH_S)
        self.assertEqual(network.frames[relay.RelayKind.SEARCH], 0)
        self.assertEqual(network.counters["memory_probes"], 0)


class UnopenedFlowTest(unittest.TestCase):
    """A server that took a copy of an opening gives up, while the flow is open at another."""

    def test_its_reset_is_not_forwarded(self) -> None:
        network = FakeNetwork([DESK] * 3)
        network.pass_time(0.5)
        nodes = list(network.nodes.values())
        network.balancer.owners.update([nodes[0].address])
        first = network.open(CALLER, sequence=1)
        holder = next(n for n in nodes if n.server.name == first)
        holder.is_up = False
        network.balancer.owners.update([next(n for n in nodes if n is not holder).address])
        for node in nodes:
            node.forget_pointers()
        second = network.open(CALLER, attempt=1, sequence=1)
        self.assertNotEqual(first, second)
        holder.is_up = True
        self.assertEqual(network.request(CALLER, second), second)
        network.replies.clear()
        reset = FakePacket(KEY, packet_flags.RESET, first)
        holder._on_server_packet(msgspec.msgpack.encode(reset))
        self.assertEqual(network.resets, 0)


if __name__ == "__main__":
    unittest.main()
