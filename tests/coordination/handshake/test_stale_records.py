"""Guards against records of another flow or copy by which a flow is reset or an opening lost."""

from __future__ import annotations

import unittest
from unittest.mock import patch

import anyio
import msgspec

from tests.coordination.handshake.fake_network import DESK
from tests.coordination.handshake.fake_network import DESK_ENDPOINT
from tests.coordination.handshake.fake_network import REPORT_TIMEOUT_S
from tests.coordination.handshake.fake_network import FakeNetwork
from tests.coordination.handshake.fake_network import FakeNode
from tests.coordination.handshake.fake_network import FakePacket
from tests.coordination.handshake.test_reset_grounds import History
from tests.coordination.handshake.test_stale_answers import COPY_DELAY_S
from tests.coordination.handshake.test_stale_answers import EndedFlowsHistory
from tests.coordination.handshake.test_stale_answers import EndedFlowsServer
from tests.coordination.handshake.test_stale_answers import member
from wagtailkeel.roles.handshake import server_check as server_check_module
from wagtailkeel.roles.handshake.server_check import PortState
from wagtailkeel.roles.handshake.server_check import ServerCheck
from wagtailkeel.roles.handshake.server_check import check_port
from wagtailkeel_coordination.handshake import FormerMembers
from wagtailkeel_coordination.handshake.held_flows import CLOSED_LINGER_S
from wagtailkeel_coordination.handshake.opening_copies import OpeningCopies
from wagtailkeel_coordination.handshake.search_batches import hash_agents
from wagtailkeel_protocol import packet_format as packet_flags
from wagtailkeel_protocol import relay
from wagtailkeel_protocol.messages import SearchReply
from wagtailkeel_state.commands import AnyCommand
from wagtailkeel_state.commands import JoinServer
from wagtailkeel_state.commands import LogEntry
from wagtailkeel_state.commands import RemoveServer
from wagtailkeel_state.configuration import Configuration
from wagtailkeel_state.configuration_machine import apply_entry

CALLER = "caller"
KEY = CALLER.encode() + DESK_ENDPOINT
SEARCH_S = 1.0


def drop_pointers(history: History) -> None:
    """Let an owner that has neither an entry nor a copy of one get the next packets."""
    for node in history.network.nodes.values():
        node.forget_pointers()
    history.network.balancer.owners.update([history.owner.address])
    history.owner.router.owner.locator.copies.set_agents([])


class BothEndsClosedTest(unittest.TestCase):
    """The agent has seen a FIN of each end, and its server still holds the flow."""

    def test_a_flow_that_its_server_has_half_closed_survives_a_late_fin_of_an_earlier_one(
        self,
    ) -> None:
        """The server ignores the FIN of the earlier flow, and still takes what the caller sends."""
        history = History()
        network, holder = history.network, history.holder
        network.close(CALLER, history.server)
        holder.close_flow(KEY)
        history.pass_time(2 * CLOSED_LINGER_S)
        self.assertIn(KEY, holder.server.open)
        self.assertEqual(history.count_answers()[1], 0)

    def test_a_caller_that_repeats_lost_data_after_its_fin_gets_no_reset(self) -> None:
        """Packets of both ends go on, but the record is removed a fixed time after the close."""
        history = History()
        network, holder = history.network, history.holder
        network.close(CALLER, history.server)
        holder.close_flow(KEY)
        # The caller's data is lost behind the agent; its copies come 0.2, 0.4, ... s apart.
        deliver, resets = holder.deliver, 0
        holder.deliver = lambda packet: None  # type: ignore[method-assign]
        for delay_s in (0.2, 0.4, 0.8, 1.6):
            network.request(CALLER, history.server)
            network.advance(delay_s)
            resets += network.resets
        holder.deliver = deliver  # type: ignore[method-assign]
        history.pass_time(2.0)
        network.request(CALLER, history.server)
        network.advance(SEARCH_S)
        self.assertIn(KEY, holder.server.open)
        self.assertEqual(resets + network.resets, 0)


class FirstAnswerTest(unittest.TestCase):
    """The first answer to a search came from a server that no longer has the flow."""

    def setUp(self) -> None:
        history = EndedFlowsHistory()
        first, network = history.holder, history.network
        network.close(CALLER, history.server)
        first.close_flow(KEY)
        first.server.open.discard(KEY)
        assert isinstance(first.server, EndedFlowsServer)
        first.server.ended.add(KEY)
        history.pass_time(5.0)
        history.open_elsewhere(sequence=2)
        self.history, self.network = history, network
        self.second = next(n for n in network.nodes.values() if n.server.name == history.server)
        history.owner = next(n for n in network.nodes.values() if n not in (first, self.second))
        # The first agent asks its server about all flows, since it has started again.
        first.restart()
        first.router.apply_routing(network.document(1))
        network.share_members()
        drop_pointers(history)
        self.search_with_fin()

    def search_with_fin(self) -> None:
        """Let the agent that has the flow answer a search for its FIN last."""
        on_frame, late = self.second.router.on_frame, []
        self.second.router.on_frame = (  # type: ignore[method-assign]
            lambda frame, source, now: late.append((frame, source))
        )
        self.network.close(CALLER, self.history.server)
        self.assertTrue(late)
        self.second.router.on_frame = on_frame  # type: ignore[method-assign]
        for frame, source in late:
            on_frame(frame, source, self.network.now)
        self.network.run()

    def test_the_flow_is_not_reset(self) -> None:
        """The later answer, of the agent that has the flow, is ignored."""
        self.network.request(CALLER, self.history.server)
        resets = self.network.resets
        self.network.advance(SEARCH_S)
        self.assertEqual(resets + self.network.resets, 0)

    def test_the_repeated_fin_reaches_the_server_of_the_flow(self) -> None:
        """The server of the earlier flow acknowledges each copy, so nothing corrects the entry."""
        received = self.second.server.received[KEY]
        for _ in range(4):
            self.network.close(CALLER, self.history.server)
            self.network.advance(0.2)
        self.assertGreater(self.second.server.received[KEY], received)


class OtherOwnersSearchTest(unittest.TestCase):
    """A search for a late packet of an earlier flow is at another owner than the new opening."""

    def test_a_packet_of_the_new_flow_is_not_denied_by_answers_from_before_its_opening(
        self,
    ) -> None:
        """An opening ends the search of its own owner only."""
        network = FakeNetwork([DESK] * 4)
        network.pass_time(0.5)
        nodes = list(network.nodes.values())
        searching, slow, other = nodes[0], nodes[1], nodes[2]
        network.balancer.owners.update([searching.address])
        slow.is_up = False
        network.request(CALLER, "no server")
        network.advance(0.3)
        network.balancer.owners.update([other.address])
        server = network.open(CALLER, sequence=2)
        self.assertEqual(network.request(CALLER, server), server)
        network.balancer.owners.update([searching.address])
        network.request(CALLER, server)
        denial = relay.RelayFrame(relay.RelayKind.NOT_FOUND, 0, 0, relay.NO_SERVICE, KEY)
        searching.router.on_frame(denial, slow.address, network.now)
        network.run()
        self.assertEqual(network.resets, 0)

    def test_a_late_result_of_the_searcher_about_the_earlier_flow_resets_nothing(self) -> None:
        """A SearchReply does not say which request it answers."""
        history = History()
        network, owner = history.network, history.owner
        for node in network.nodes.values():
            node.forget_pointers()
        network.balancer.owners.update([owner.address])
        # The flow's own packet waits for a copy of its entry or the searcher.
        packet = FakePacket(KEY, packet_flags.ACK, history.server, 1)
        owner.router.searches.locate(KEY, msgspec.msgpack.encode(packet), network.now)
        owner.router.searches.delegate(KEY, network.now)
        agents = owner.router.owner.locator._find_all_possible_holders(KEY)
        network.replies.clear()
        owner.router.on_search_reply(SearchReply(KEY, None, [], hash_agents(agents)), network.now)
        network.run()
        self.assertEqual(network.resets, 0)


class OpeningCopiesTest(unittest.TestCase):
    """What an owner knows of the copies of an opening is wrong."""

    def setUp(self) -> None:
        self.network = FakeNetwork([DESK] * 3)
        self.network.pass_time(0.5)
        self.nodes = list(self.network.nodes.values())
        self.owner = self.nodes[0]
        self.network.balancer.owners.update([self.owner.address])

    def drain_all(self) -> None:
        for node in self.nodes:
            node.report(is_draining=True)

    def open_elsewhere(self, attempt: int = 0) -> FakeNode:
        """Open a flow at a server that is not beside the owner."""
        self.owner.report(is_draining=True)
        server = self.network.open(CALLER, attempt=attempt, sequence=1)
        self.assertEqual(self.network.request(CALLER, server), server)
        return next(n for n in self.nodes if n.server.name == server)

    def test_a_first_copy_that_comes_after_the_second_is_not_refused(self) -> None:
        """Its record replaces that of the second copy, which has opened the flow."""
        holder = self.open_elsewhere(attempt=1)
        holder.restart(reports=False)
        holder.router.apply_routing(self.network.document(1))
        self.network.share_members()
        self.drain_all()
        self.network.open(CALLER, attempt=0, sequence=1)
        self.network.advance(0.5)
        self.assertEqual(self.network.resets, 0)

    def test_a_repeated_first_copy_is_not_refused(self) -> None:
        """The network has duplicated it."""
        holder = self.open_elsewhere()
        holder.restart(reports=False)
        holder.router.apply_routing(self.network.document(1))
        self.network.share_members()
        self.drain_all()
        self.network.open(CALLER, attempt=0, sequence=1)
        self.network.advance(0.5)
        self.assertEqual(self.network.resets, 0)

    def test_an_opening_is_refused_once_its_agent_has_left_with_its_server(self) -> None:
        """The server's end is known, so the flow can't be open there."""
        self.owner.report(is_draining=True)
        network = self.network
        for node in self.nodes[1:]:
            node.deliver = lambda packet: None  # type: ignore[method-assign]
        network.open(CALLER, sequence=1)
        holder = next(n for n in self.nodes if KEY in n.router.held.by_key)
        self.nodes.remove(holder)
        del network.nodes[holder.address]
        network.share_members()
        self.drain_all()
        resets = 0
        for attempt in range(1, 5):
            network.advance(COPY_DELAY_S)
            network.open(CALLER, attempt=attempt, sequence=1)
            network.advance(0.1)
            resets += network.resets
        self.assertGreater(resets, 0)


class CopyNumbersTest(unittest.TestCase):
    """The number of a copy is what its caller has written into the packet."""

    def test_a_caller_that_repeats_its_opening_without_end_does_not_fill_the_memory(self) -> None:
        copies = OpeningCopies()
        for number in range(10_000):
            copies.record(KEY, 1, number, 100.0)
            copies.record_sent(KEY, number, ("10.0.0.1", 7_001))
        self.assertLess(len(copies._by_key[KEY].numbers_by_agent), 100)


class LatePacketTest(unittest.TestCase):
    """A late packet of an earlier flow reaches a server that has half opened the new flow."""

    def test_its_return_does_not_deny_the_flow_that_the_next_packet_opens(self) -> None:
        """The server gets both packets before its agent gets the first one back."""
        network = FakeNetwork([DESK] * 3)
        network.pass_time(0.5)
        server = network.open(CALLER, sequence=2)
        holder = next(n for n in network.nodes.values() if n.server.name == server)
        deliver = holder.deliver
        waiting: list[bytes] = []
        holder.deliver = waiting.append  # type: ignore[assignment, method-assign]
        network.send_packet(FakePacket(KEY, packet_flags.ACK, "no server", 1))
        network.send_packet(FakePacket(KEY, packet_flags.ACK, server))
        holder.deliver = deliver  # type: ignore[method-assign]
        self.assertEqual(len(waiting), 2)
        for packet in waiting:
            holder.deliver(packet)
        network.run()
        network.advance(SEARCH_S)
        self.assertIn(KEY, holder.server.open)
        resets = 0
        for _ in range(4):
            network.request(CALLER, server)
            network.advance(SEARCH_S)
            resets += network.resets
        self.assertEqual(resets, 0)


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    """A server's port refused a connection once."""

    async def test_a_refusal_from_before_the_server_was_heard_does_not_count(self) -> None:
        """Refusals in a row are required, but none is forgotten while no check is due."""
        checked: list[PortState] = []
        absent: list[bool] = []

        async def check(address: tuple[str, int]) -> PortState:
            checked.append(PortState.CLOSED)
            return PortState.CLOSED

        heard_for = 5

        def is_due() -> bool:
            nonlocal heard_for
            if not checked:
                return True
            heard_for -= 1
            return heard_for <= 0

        server_check = ServerCheck(
            ("127.0.0.1", 1),
            is_due,
            lambda: None,
            lambda: None,
            lambda: absent.append(len(checked) == 2),
        )
        with (
            patch.object(server_check_module, "check_port", check),
            patch.object(server_check_module, "CHECK_INTERVAL_S", 0.01),
            anyio.move_on_after(0.5),
        ):
            await server_check.run()
        self.assertNotIn(True, absent)

    async def test_no_socket_is_left_for_the_check(self) -> None:
        """The error would end all tasks of the agent, or its orderly stop."""
        with patch("socket.socket", side_effect=OSError(24, "EMFILE")):
            self.assertIs(await check_port(("127.0.0.1", 1)), PortState.UNKNOWN)

    def test_its_flows_are_not_denied_once_it_is_heard_again(self) -> None:
        """One refusal does not drop the table of an agent that has heard of the server."""
        history = History()
        history.pass_time_in_silence(2 * REPORT_TIMEOUT_S)
        history.holder.router.on_closed_port(history.network.now)
        history.pass_time(1.0)
        self.assertIn(KEY, history.holder.server.open)
        self.assertEqual(history.count_answers()[1], 0)


class MovedAgentTest(unittest.TestCase):
    """An agent was removed at one address, and then at another."""

    def test_its_server_at_the_first_address_has_not_left(self) -> None:
        first, second = member(1), member(1, 2)
        second.host = "10.9.9.9"
        commands: list[AnyCommand] = [
            JoinServer(member=first),
            RemoveServer(server_id="desk@1", boot_id=1),
            JoinServer(member=second),
            RemoveServer(server_id="desk@1", boot_id=2),
        ]
        former_members, config = FormerMembers(), Configuration()
        for index, command in enumerate(commands, 1):
            apply_entry(config, LogEntry(index, 1, command, ""))
            former_members.update(config, 100.0 + index)
        self.assertIn((first.host, 7_001), former_members.addresses)


if __name__ == "__main__":
    unittest.main()
