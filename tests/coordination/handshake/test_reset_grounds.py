"""Guards on whose word a flow is reset: its caller can't take a reset back.

Each history leaves a flow open at its server, while an agent lacks or misreads what it knows of it.
"""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from tests.coordination.handshake.fake_network import DESK
from tests.coordination.handshake.fake_network import DESK_ENDPOINT
from tests.coordination.handshake.fake_network import REPORT_TIMEOUT_S
from tests.coordination.handshake.fake_network import FakeNetwork
from tests.coordination.handshake.fake_network import FakeNode
from tests.coordination.handshake.fake_network import FakePacket
from wagtailkeel_coordination.handshake import ServerReport
from wagtailkeel_coordination.handshake.flow_probe import BOUNCE_TIMEOUT_S
from wagtailkeel_coordination.handshake.held_flows import CLOSED_LINGER_S
from wagtailkeel_protocol import packet_format as packet_flags
from wagtailkeel_state.routing import RoutingDocument

if TYPE_CHECKING:
    from collections.abc import Callable

CALLER = "caller"
KEY = CALLER.encode() + DESK_ENDPOINT
REPORT_INTERVAL_S = 0.5
SEARCH_S = 1.0
ROUNDS = 4


class History:
    """A flow that is open at the server of ``holder``; ``owner`` gets its next packets."""

    def __init__(self, sequence: int = 1) -> None:
        self.network = FakeNetwork([DESK] * 4)
        self.network.pass_time(REPORT_INTERVAL_S)
        self.server = self.network.open(CALLER, sequence=sequence)
        self.network.request(CALLER, self.server)
        nodes = list(self.network.nodes.values())
        self.holder = next(n for n in nodes if n.server.name == self.server)
        self.owner, self.other, _ = (n for n in nodes if n is not self.holder)

    def report(self, node: FakeNode, started_at_ms: int, sequence: int) -> None:
        """Let the server of a node report."""
        report = ServerReport(f"server-{node.address[0]}", DESK, started_at_ms, sequence, 1)
        node.router.on_report(report, self.network.now)

    def pass_time(self, seconds: float) -> None:
        for _ in range(round(seconds / REPORT_INTERVAL_S)):
            self.network.pass_time(REPORT_INTERVAL_S)

    def pass_time_in_silence(self, seconds: float) -> None:
        """Let time pass in which the holder's server reaches no agent, although it runs."""
        self.network.advance(seconds)

    def open_elsewhere(self, sequence: int) -> None:
        """Let the caller use its port again for a flow that another server holds."""
        self.holder.is_up = False
        self.network.balancer.owners.update([self.other.address])
        self.other.forget_pointers()
        self.server = self.network.open(CALLER, sequence=sequence)
        self.network.request(CALLER, self.server)
        self.holder.is_up = True

    def count_answers(self) -> tuple[int, int]:
        """Send requests through an owner without an entry; return the answers and the resets."""
        for node in self.network.nodes.values():
            node.forget_pointers()
        self.network.balancer.owners.update([self.owner.address])
        answers = resets = 0
        for _ in range(ROUNDS):
            self.network.request(CALLER, self.server)
            self.network.advance(SEARCH_S)
            answers += sum(answer.server == self.server for answer in self.network.replies)
            resets += self.network.resets
        return answers, resets


def agent_is_silent_and_removed(history: History) -> None:
    history.holder.is_up = False
    history.network.remove(history.holder)


def agent_was_silent_before(history: History) -> None:
    agent_is_silent_and_removed(history)
    history.network.balancer.owners.update([history.owner.address])
    history.network.request("another", history.server)
    history.network.advance(SEARCH_S)


def first_report_of_a_restarted_agent_is_late(history: History) -> None:
    history.network.pass_time(REPORT_INTERVAL_S)
    history.holder.restart(reports=False)
    history.holder.router.apply_routing(history.network.document(1))
    history.report(history.holder, 1, 1)
    history.network.share_members()


def flow_opened_before_the_first_report_of_its_server(history: History) -> None:
    """The server has restarted, and the flow was admitted by a report from before that."""
    history.pass_time_in_silence(REPORT_TIMEOUT_S)
    for sequence in range(1, 4):
        history.network.now += REPORT_TIMEOUT_S
        history.report(history.holder, 2, sequence)
    assert history.holder.router.gate.report is not None
    assert history.holder.router.gate.report.started_at_ms == 2


def server_is_not_heard_by_a_restarted_agent(history: History) -> None:
    """The server waits for longer and longer after calls that failed."""
    history.holder.restart(reports=False)
    history.holder.router.apply_routing(history.network.document(1))
    history.network.share_members()
    history.pass_time_in_silence(2 * REPORT_TIMEOUT_S)


def server_is_not_heard(history: History) -> None:
    history.pass_time_in_silence(2 * REPORT_TIMEOUT_S)


def idle_limit_falls_and_rises(history: History) -> None:
    document = history.network.document(2)
    history.network.apply_routing(
        RoutingDocument(2, document.routes_by_place, document.policies_by_service, 1.0)
    )
    history.pass_time(5.0)
    history.network.apply_routing(history.network.document(3))


def late_close_of_an_earlier_flow(history: History) -> None:
    """The caller has used its port before, and a packet that closed that flow comes late."""
    packet = FakePacket(KEY, packet_flags.RESET, history.server)
    history.network.send_packet(packet)
    history.pass_time(2 * CLOSED_LINGER_S)


def port_used_again_after_its_first_server_ended(history: History) -> None:
    first = history.holder
    history.open_elsewhere(sequence=2)
    first.has_server = False
    history.pass_time(2 * REPORT_TIMEOUT_S)
    history.owner = first


def port_used_again_after_both_ends_closed(history: History) -> None:
    history.network.close(CALLER, history.server)
    history.holder.close_flow(KEY)
    history.holder.server.open.discard(KEY)
    history.holder.server.resets_unknown = True
    history.open_elsewhere(sequence=2)


HISTORIES: list[Callable[[History], None]] = [
    agent_is_silent_and_removed,
    agent_was_silent_before,
    first_report_of_a_restarted_agent_is_late,
    flow_opened_before_the_first_report_of_its_server,
    server_is_not_heard_by_a_restarted_agent,
    server_is_not_heard,
    idle_limit_falls_and_rises,
    late_close_of_an_earlier_flow,
    port_used_again_after_its_first_server_ended,
    port_used_again_after_both_ends_closed,
]
SILENT_HOLDER = (agent_is_silent_and_removed, agent_was_silent_before)


class OpenFlowTest(unittest.TestCase):
    """An open flow was reset while its server held it."""

    def test_a_flow_that_its_server_holds_is_not_reset(self) -> None:
        for change in HISTORIES:
            with self.subTest(change.__name__):
                history = History()
                change(history)
                answers, resets = history.count_answers()
                self.assertEqual(resets, 0)
                if change not in SILENT_HOLDER:
                    self.assertGreater(answers, 0)

    def test_a_flow_goes_on_once_its_agent_is_back(self) -> None:
        for change in SILENT_HOLDER:
            with self.subTest(change.__name__):
                history = History()
                change(history)
                history.count_answers()
                history.holder.is_up = True
                history.network.removed.clear()
                history.network.share_members()
                self.assertGreater(history.count_answers()[0], 0)


class LateResetTest(unittest.TestCase):
    """A server answered a packet of another server's flow late, and its reset was forwarded."""

    def test_a_late_reset_of_a_server_that_was_only_asked_is_not_forwarded(self) -> None:
        history = History()
        asked = history.other
        asked.restart()
        asked.router.apply_routing(history.network.document(1))
        asked.server.resets_unknown = True
        late: list[bytes] = []
        asked.deliver = late.append  # type: ignore[assignment, method-assign]
        for node in history.network.nodes.values():
            node.forget_pointers()
        history.owner.router.owner.locator.copies.set_agents([])
        history.network.balancer.owners.update([history.owner.address])
        history.network.request(CALLER, history.server)
        history.network.advance(2 * BOUNCE_TIMEOUT_S)
        self.assertTrue(late)
        for packet in late:
            answer = asked.server.handle(packet)
            assert answer is not None
            asked._on_server_packet(answer)
        history.network.run()
        self.assertEqual(history.network.resets, 0)
        self.assertGreater(history.count_answers()[0], 0)


class LostFlowTest(unittest.TestCase):
    """A flow that no server holds is reset, so that its caller does not wait in vain."""

    def lose_flow(self) -> History:
        history = History()
        history.holder.has_server = False
        return history

    def test_the_server_has_ended_beside_its_agent(self) -> None:
        history = self.lose_flow()
        history.pass_time(2 * REPORT_TIMEOUT_S)
        self.assertGreater(history.count_answers()[1], 0)

    def test_another_incarnation_of_the_server_runs(self) -> None:
        history = History()
        history.holder.server.open.clear()
        flow_opened_before_the_first_report_of_its_server(history)
        self.assertGreater(history.count_answers()[1], 0)

    def test_a_removed_agent_answers_that_its_server_has_ended(self) -> None:
        history = self.lose_flow()
        agent_is_silent_and_removed(history)
        self.assertEqual(history.count_answers()[1], 0)
        history.holder.is_up = True
        history.pass_time(2 * REPORT_TIMEOUT_S)
        self.assertGreater(history.count_answers()[1], 0)

    def test_the_address_of_a_removed_agent_belongs_to_another(self) -> None:
        history = self.lose_flow()
        agent_is_silent_and_removed(history)
        self.assertEqual(history.count_answers()[1], 0)
        history.holder.server.open.clear()
        history.holder.restart()
        history.holder.router.apply_routing(history.network.document(1))
        history.network.removed.clear()
        history.network.share_members()
        self.assertGreater(history.count_answers()[1], 0)

    def test_the_agent_left_with_its_server(self) -> None:
        history = self.lose_flow()
        del history.network.nodes[history.holder.address]
        history.network.share_members()
        self.assertGreater(history.count_answers()[1], 0)


if __name__ == "__main__":
    unittest.main()
