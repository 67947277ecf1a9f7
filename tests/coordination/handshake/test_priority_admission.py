"""Guards refusals under sustained overload: while servers have room, nothing is refused."""

from __future__ import annotations

import unittest

from tests.coordination.handshake.fake_network import ARCHIVE
from tests.coordination.handshake.fake_network import DESK
from tests.coordination.handshake.fake_network import FakeNetwork
from wagtailkeel_coordination.handshake import RouterOptions
from wagtailkeel_coordination.handshake.priority_admission import OVERLOAD_TIME_S
from wagtailkeel_coordination.handshake.priority_admission import PriorityLimit
from wagtailkeel_coordination.handshake.priority_admission import exceeds_limit
from wagtailkeel_coordination.handshake.server_choice import PeerLoad
from wagtailkeel_protocol.messages import ANY_PRIORITY
from wagtailkeel_protocol.messages import ServerLoad


class PriorityAdmissionTest(unittest.TestCase):
    def test_steps_of_the_limit(self) -> None:
        """A limit that follows single waits refuses openings in every short burst."""
        table = [
            ([1.0] * 4, [ANY_PRIORITY, 4, 1, 1]),
            ([1.0, 0.0, 1.0, 0.0], [ANY_PRIORITY] * 4),
            ([1.0, 1.0, 1.0, 0.0, 0.0], [ANY_PRIORITY, 4, 1, 4, ANY_PRIORITY]),
        ]
        for waits, expected in table:
            limit = PriorityLimit()
            limit.set_priorities([4, 1, 9, 4])
            for number, (wait_s, value) in enumerate(zip(waits, expected, strict=True)):
                limit.on_wait(wait_s, number * 1.1 * OVERLOAD_TIME_S)
                self.assertEqual(limit.value, value, (waits, number))

    def test_decisions_of_an_owner(self) -> None:
        """Few or old figures, or a server that may have room, must refuse nothing."""
        full, idle, unlimited = (20, 1), (0, 1), (20, ANY_PRIORITY)
        table = [
            ("all full", 2, [full] * 3, 0.01, True),
            ("high priority", 1, [full] * 3, 0.01, False),
            ("few loads", 2, [full] * 2, 0.01, False),
            ("one has room", 2, [full] * 4 + [idle], 0.01, False),
            ("half without limit", 2, [full] * 2 + [unlimited] * 2, 0.01, False),
            ("work done since", 2, [full] * 3, 1.01, False),
        ]
        for name, priority, entries, now, expected in table:
            with self.subTest(name):
                loads = [ServerLoad(1, True, n, 0, 1, 50.0, priority_limit=x) for n, x in entries]
                peers = [PeerLoad(("", n), "", load, 0.0) for n, load in enumerate(loads)]
                self.assertIs(exceeds_limit(priority, peers, 0.2, now), expected)

    def test_an_opening_reaches_the_only_server_with_room(self) -> None:
        """More servers than four, and than the hop limit allows, return it."""
        for is_on in (True, False):
            options = RouterOptions(priority_admission=is_on)
            network = FakeNetwork([ARCHIVE] + [DESK] * 12, options=options)
            network.balancer.owners.update(list(network.nodes)[:1])
            network.open("first")
            for node in list(network.nodes.values())[1:-1]:
                node.server.is_full = True
            served = [network.open(f"caller-{number}") for number in range(6)]
            self.assertEqual(all(served), is_on)


if __name__ == "__main__":
    unittest.main()
