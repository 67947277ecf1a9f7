"""Guards how an agent that has just started learns that its server does not run."""

from __future__ import annotations

import asyncio
import socket
import unittest
from unittest.mock import Mock

import anyio

from wagtailkeel.roles.handshake.server_check import check_server
from wagtailkeel.roles.handshake.server_check import refuses_connections
from wagtailkeel_coordination.handshake import ColdLimit
from wagtailkeel_coordination.handshake import ServerGate
from wagtailkeel_coordination.handshake import ServerReport

HOST = "127.0.0.1"
TEST_TIMEOUT_S = 10.0


class ServerCheckTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.listener = socket.socket()
        self.listener.bind((HOST, 0))
        self.address = self.listener.getsockname()
        self.addCleanup(self.listener.close)

    async def check(self) -> Mock:
        on_absent = Mock()
        has_report = anyio.Event()
        asyncio.get_running_loop().call_later(1.0, has_report.set)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await check_server(self.address, has_report, on_absent)
        return on_absent

    async def test_nobody_listens(self) -> None:
        self.listener.close()
        (await self.check()).assert_called_once_with()

    async def test_the_server_listens_but_has_not_reported_yet(self) -> None:
        self.listener.listen()
        (await self.check()).assert_not_called()

    async def test_the_server_starts_after_the_first_check(self) -> None:
        """Its socket is bound, but listens only later."""
        asyncio.get_running_loop().call_later(0.1, self.listener.listen)
        (await self.check()).assert_not_called()

    async def test_a_server_that_accepts_nothing_is_not_absent(self) -> None:
        self.listener.listen(0)
        with socket.socket() as first, socket.socket() as second:
            for filler in (first, second):
                # These fill the listen backlog, so that the kernel drops every further SYN.
                filler.setblocking(False)
                filler.connect_ex(self.address)
            self.assertFalse(await refuses_connections(self.address))


class ServerGateTest(unittest.TestCase):
    def test_absence_ends_with_a_sign_of_the_server(self) -> None:
        report = ServerReport("s", "desk", 1, 1, 1)
        for name in ("report", "packet"):
            with self.subTest(name):
                gate = ServerGate("desk", 3.0, ColdLimit(), 0.0)
                gate.record_absence()
                self.assertTrue(gate.has_stopped)
                if name == "report":
                    gate.on_report(report, 0.1)
                else:
                    gate.record_packet()
                self.assertFalse(gate.has_stopped)

    def test_a_server_that_has_reported_is_not_absent(self) -> None:
        gate = ServerGate("desk", 3.0, ColdLimit(), 0.0)
        gate.on_report(ServerReport("s", "desk", 1, 1, 1), 0.1)
        gate.record_absence()
        self.assertFalse(gate.has_stopped)


if __name__ == "__main__":
    unittest.main()
