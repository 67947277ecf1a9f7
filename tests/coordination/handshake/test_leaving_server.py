from __future__ import annotations

import unittest

from tests.coordination.handshake.fake_network import DESK
from tests.coordination.handshake.fake_network import DESK_ENDPOINT
from tests.coordination.handshake.fake_network import FakeNetwork
from wagtailkeel_protocol.relay import RelayKind

FLOWS = [f"caller-{number}" for number in range(40)]


class LeavingServerTest(unittest.TestCase):
    """A server that leaves closes all its flows at once.

    No search may start while it answers. A flow that its caller closes later is reset only once all
    other agents have denied it, since its caller may have used the port again for another server.
    """

    def setUp(self) -> None:
        self.network = FakeNetwork([DESK] * 4)
        self.servers = {name: self.network.open(name) for name in FLOWS}
        for name, server in self.servers.items():
            self.assertEqual(self.network.request(name, server), server)
        self.name, server = next(iter(self.servers.items()))
        self.key = self.name.encode() + DESK_ENDPOINT
        self.holder = next(n for n in self.network.nodes.values() if n.server.name == server)
        owner = next(n for n in self.network.nodes.values() if n is not self.holder)
        self.network.balancer.owners.update([owner.address])
        self.network.request(self.name, server)
        self.network.frames.clear()

    @property
    def searches(self) -> int:
        return self.network.frames[RelayKind.SEARCH]

    @property
    def other_agents(self) -> int:
        return len(self.network.nodes) - 1

    def leave(self) -> None:
        self.holder.report(is_draining=True, has_left=True)
        self.holder.close_flow(self.key)

    def end_server(self) -> None:
        """Let the server end, and time pass until its agent notices."""
        self.holder.has_server = False
        for _ in range(20):
            self.network.pass_time(0.15)

    def test_the_caller_closes_too(self) -> None:
        self.leave()
        received = self.holder.server.received[self.key]
        self.network.close(self.name, self.holder.server.name)
        self.assertEqual(self.holder.server.received[self.key], received + 1)
        self.assertEqual((self.searches, self.network.resets), (0, 0))

    def test_the_server_ends_first(self) -> None:
        self.leave()
        self.end_server()
        self.network.close(self.name, self.holder.server.name)
        self.assertEqual((self.searches, self.network.resets), (self.other_agents, 1))

    def test_a_request_after_the_server_has_ended(self) -> None:
        self.end_server()
        self.network.request(self.name, self.holder.server.name)
        self.assertEqual((self.searches, self.network.resets), (self.other_agents, 1))

    def test_the_agent_leaves_with_its_server(self) -> None:
        self.leave()
        self.holder.has_server = self.holder.is_up = False
        del self.network.nodes[self.holder.address]
        self.network.share_members()
        self.network.request(self.name, self.holder.server.name)
        self.network.pass_time(0.1)
        self.assertEqual(self.network.resets, 1)

    def test_a_close_that_no_agent_knows_is_reset(self) -> None:
        """Its caller would repeat it for seconds, with a search of all agents each time."""
        self.holder.server.open.clear()
        self.network.close(self.name, self.holder.server.name)
        self.assertEqual(self.network.resets, 1)

    def test_a_flow_that_was_not_established_may_be_elsewhere(self) -> None:
        """The caller has acknowledged another server's answer to a copy of its opening."""
        self.holder.router.held.on_server_ended()
        self.holder.router.held.open(self.key, self.holder.address, self.network.now)
        other = next(n for n in self.network.nodes.values() if n is not self.holder)
        other.server.open.add(self.key)
        other.router.held.open(self.key, self.holder.address, self.network.now)
        self.end_server()
        for node in self.network.nodes.values():
            node.forget_pointers()
        self.network.balancer.owners.update([self.holder.address])
        answered = self.network.request(self.name, other.server.name)
        self.assertEqual((answered, self.network.resets), (other.server.name, 0))


if __name__ == "__main__":
    unittest.main()
