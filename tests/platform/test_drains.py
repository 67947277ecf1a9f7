"""Real processes: which openings reach a server that drains, as the server sees it."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from tests.platform.fake_site import FakeSite
from tests.platform.fake_site import wait_until

OPENINGS = 20
FIRST_PORT = 2_000


class RestartedAgentTest(unittest.TestCase):
    """A restarted agent took a late heartbeat of before the drain, and its server got openings."""

    def test_a_drain_outlives_the_agent_that_has_acknowledged_it(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            site = FakeSite(Path(folder), control_count=1)
            self.addCleanup(site.stop)
            site.start()
            server = site.backends[0]
            server.state = "draining"
            wait_until(lambda: server.acknowledged_state == "draining", "the drain")
            server.sends_heartbeats = False
            openings = server.openings
            site.kill(server.host)
            site.start_process(server.host)
            wait_until(lambda: server.call_agent("healthy", 1) == 200, "the late heartbeat")
            for number in range(OPENINGS):
                site.open_flow(FIRST_PORT + number)
            self.assertEqual(server.openings, openings)


if __name__ == "__main__":
    unittest.main()
