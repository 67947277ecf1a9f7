"""Guards how an agent learns that its server does not run."""

from __future__ import annotations

import asyncio
import socket
import unittest
from unittest.mock import Mock

import anyio

from wagtailkeel.roles.handshake.server_check import CHECK_INTERVAL_S
from wagtailkeel.roles.handshake.server_check import PortState
from wagtailkeel.roles.handshake.server_check import ServerCheck
from wagtailkeel.roles.handshake.server_check import check_port
from wagtailkeel_coordination.handshake import ColdLimit
from wagtailkeel_coordination.handshake import ServerGate
from wagtailkeel_coordination.handshake import ServerReport
from wagtailkeel_coordination.handshake.server_gate import CLOSING_TIMEOUT_S
from wagtailkeel_coordination.handshake.server_gate import MAX_INACTIVITY_STEP_S

HOST = "127.0.0.1"
REPORT_TIMEOUT_S = 3.0
CHECKED_S = 1.0


class ServerCheckTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.listener = socket.socket()
        self.listener.bind((HOST, 0))
        self.address = self.listener.getsockname()
        self.addCleanup(self.listener.close)

    async def check(self, *, is_due: bool = True) -> tuple[Mock, Mock]:
        """Check the port for a second; return what the check has called."""
        on_present, on_absent = Mock(), Mock()
        check = ServerCheck(self.address, lambda: is_due, on_present, Mock(), on_absent)
        with anyio.move_on_after(CHECKED_S):
            await check.run()
        return on_present, on_absent

    async def test_nobody_listens(self) -> None:
        self.listener.close()
        on_present, on_absent = await self.check()
        on_present.assert_not_called()
        on_absent.assert_called()

    async def test_the_server_listens_but_is_not_heard(self) -> None:
        self.listener.listen()
        on_present, on_absent = await self.check()
        on_present.assert_called()
        on_absent.assert_not_called()

    async def test_a_server_that_is_heard_is_not_checked(self) -> None:
        self.listener.close()
        on_present, on_absent = await self.check(is_due=False)
        on_present.assert_not_called()
        on_absent.assert_not_called()

    async def test_the_server_starts_after_the_first_check(self) -> None:
        """Its socket is bound, but listens only later."""
        asyncio.get_running_loop().call_later(CHECK_INTERVAL_S / 2, self.listener.listen)
        on_present, on_absent = await self.check()
        on_present.assert_called()
        on_absent.assert_not_called()

    async def test_a_server_that_accepts_nothing_is_not_absent(self) -> None:
        self.listener.listen(0)
        with socket.socket() as first, socket.socket() as second:
            for filler in (first, second):
                # These fill the listen backlog, so that the kernel drops every further SYN.
                filler.setblocking(False)
                filler.connect_ex(self.address)
            self.assertIs(await check_port(self.address), PortState.UNKNOWN)


class ServerGateTest(unittest.TestCase):
    def test_absence_ends_with_a_sign_of_the_server(self) -> None:
        report = ServerReport("s", "desk", 1, 1, 1)
        for name in ("report", "packet"):
            with self.subTest(name):
                gate = ServerGate("desk", REPORT_TIMEOUT_S, ColdLimit(), 0.0)
                gate.record_absence()
                self.assertTrue(gate.has_ended)
                if name == "report":
                    gate.on_report(report, 0.1)
                else:
                    gate.record_activity()
                self.assertFalse(gate.has_ended)

    def test_a_server_that_has_reported_is_not_absent(self) -> None:
        gate = ServerGate("desk", REPORT_TIMEOUT_S, ColdLimit(), 0.0)
        gate.on_report(ServerReport("s", "desk", 1, 1, 1), 0.1)
        gate.record_absence()
        self.assertFalse(gate.has_ended)

    def test_silence_does_not_mean_that_the_server_has_ended(self) -> None:
        """The flows of a server that had not reached its agent for seconds were reset."""
        gate = ServerGate("desk", REPORT_TIMEOUT_S, ColdLimit(), 0.0)
        gate.on_report(ServerReport("s", "desk", 1, 1, 1), 0.1)
        for step in range(round(2 * REPORT_TIMEOUT_S / MAX_INACTIVITY_STEP_S)):
            gate.update_inactivity(step * MAX_INACTIVITY_STEP_S)
        self.assertEqual((gate.is_inactive, gate.has_ended), (True, False))
        gate.record_absence()
        self.assertTrue(gate.has_ended)

    def test_a_server_that_left_has_time_to_close_its_flows_after_a_restart_of_its_agent(
        self,
    ) -> None:
        gate = ServerGate("desk", REPORT_TIMEOUT_S, ColdLimit(), 0.0)
        gate.begin_recovery(0.0)
        gate.confirm(ServerReport("s", "desk", 1, 5, 1, has_left=True), [], 0.1)
        self.assertFalse(gate.has_ended)
        for step in range(1 + round(CLOSING_TIMEOUT_S / MAX_INACTIVITY_STEP_S)):
            gate.update_inactivity((step + 1) * MAX_INACTIVITY_STEP_S)
        self.assertTrue(gate.has_ended)


if __name__ == "__main__":
    unittest.main()
