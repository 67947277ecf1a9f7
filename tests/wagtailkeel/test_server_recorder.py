"""When an agent may acknowledge what its backend server says."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from wagtailkeel.roles.handshake import server_recorder
from wagtailkeel.roles.handshake.server_recorder import ServerRecorder
from wagtailkeel_coordination.handshake import ColdLimit
from wagtailkeel_coordination.handshake import ServerGate
from wagtailkeel_coordination.handshake import ServerReport
from wagtailkeel_state import ServerIncarnation
from wagtailkeel_state import ServerRecord

DRAINED = ServerRecord(ServerIncarnation("server", 5), 2, True)


class FakeControl:
    """Records what it is sent, unless it rejects it or never answers."""

    def __init__(self) -> None:
        self.records: list[ServerRecord] = []
        self.numbers: list[int] = []
        self.rejections = 0
        self.is_reachable = True

    async def record_server(self, number: int, record: ServerRecord) -> bool:
        self.numbers.append(number)
        if not self.is_reachable:
            await asyncio.Event().wait()
        if self.rejections:
            self.rejections -= 1
            return False
        self.records.append(record)
        return True


class ServerRecorderTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.control = FakeControl()
        self.gate = ServerGate("desk", 2.0, ColdLimit(), 0.0)
        self.gate.begin_recovery(0.0)
        self.recorder = ServerRecorder(self.gate, self.control.record_server)
        self.enterContext(mock.patch.object(server_recorder, "RECORD_TIMEOUT_S", 0.1))
        self.enterContext(mock.patch.object(server_recorder, "REJECTION_RETRY_INTERVAL_S", 0.0))

    async def asyncSetUp(self) -> None:
        task = asyncio.create_task(self.recorder.run())
        self.addCleanup(task.cancel)

    def report(self, sequence: int, *, is_draining: bool) -> None:
        report = ServerReport("server", "desk", 5, sequence, 1, is_draining=is_draining)
        self.gate.on_report(report, 0.1)
        self.recorder.update()

    async def test_a_drain_is_recorded_once(self) -> None:
        self.recorder.restore(None, 0.0)
        self.report(1, is_draining=False)
        self.assertTrue(await self.recorder.wait_until_recorded())
        for sequence in (2, 3, 4):
            self.report(sequence, is_draining=True)
            self.assertTrue(await self.recorder.wait_until_recorded())
        self.assertEqual(self.control.records, [DRAINED])

    async def test_nothing_is_acknowledged_without_control(self) -> None:
        self.control.is_reachable = False
        self.recorder.restore(None, 0.0)
        self.report(2, is_draining=True)
        self.assertFalse(await self.recorder.wait_until_recorded())

    async def test_nothing_is_acknowledged_before_the_record_is_known(self) -> None:
        self.report(2, is_draining=True)
        self.assertFalse(await self.recorder.wait_until_recorded())
        self.recorder.restore(None, 0.2)
        self.assertTrue(await self.recorder.wait_until_recorded())
        self.assertEqual(self.control.records, [DRAINED])

    async def test_a_rejected_record_is_sent_again_under_another_number(self) -> None:
        self.control.rejections = 2
        self.recorder.restore(None, 0.0)
        self.report(2, is_draining=True)
        self.assertTrue(await self.recorder.wait_until_recorded())
        self.assertEqual(self.control.numbers, [1, 2, 3])

    async def test_what_is_recorded_already_is_not_sent_again(self) -> None:
        self.report(7, is_draining=True)
        self.recorder.restore(DRAINED, 0.2)
        self.assertTrue(await self.recorder.wait_until_recorded())
        self.assertEqual(self.control.records, [])


if __name__ == "__main__":
    unittest.main()
