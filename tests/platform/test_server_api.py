from __future__ import annotations

import json
import unittest
from http import HTTPStatus
from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import cast

import anyio

from wagtailkeel.roles.metrics import Metrics
from wagtailkeel_coordination.handshake import ColdLimit
from wagtailkeel_coordination.handshake import ServerGate
from wagtailkeel_platform.server_api import ServerApi

if TYPE_CHECKING:
    from wagtailkeel.roles.handshake import HandshakeAgent
    from wagtailkeel_coordination.handshake import ReportOutcome
    from wagtailkeel_coordination.handshake import ServerReport
    from wagtailkeel_state import ServerIncarnation

SERVICE = "desk"
ADDRESS = "10.0.0.1:8080"
NOW = 100.0


class FakeAgent:
    """An agent's gate, without its sockets."""

    def __init__(self) -> None:
        self.is_control_reachable = True
        self.metrics = Metrics()
        gate = ServerGate(SERVICE, 2.0, ColdLimit(), NOW)
        self.router = SimpleNamespace(gate=gate)

    def on_report(self, report: ServerReport) -> ReportOutcome:
        outcome: ReportOutcome = self.router.gate.on_report(report, NOW)
        return outcome

    def on_leave(self, incarnation: ServerIncarnation) -> None:
        self.router.gate.on_leave(incarnation, NOW)

    async def may_acknowledge_drain(self, report: ServerReport) -> bool:
        return self.is_control_reachable


class HeartbeatAnswerTest(unittest.TestCase):
    """A server took a drain for known that its agent had dropped, or would forget."""

    def setUp(self) -> None:
        self.agent = FakeAgent()
        self.api = ServerApi(cast("HandshakeAgent", self.agent), ADDRESS)

    def beat(self, born: int, seq: int, state: str) -> HTTPStatus:
        body = {
            "service": SERVICE,
            "address": ADDRESS,
            "zone": "east",
            "capacity": 1,
            "state": state,
            "seq": seq,
            "born": born,
        }
        path = "/-/instances/i-1/heartbeat"
        response = anyio.run(self.api.handle, "POST", path, json.dumps(body).encode())
        return response.status

    def test_only_a_state_that_is_in_force_is_acknowledged(self) -> None:
        # Two reports as (start of the server, number, state), and the status of the second one.
        table = [
            ("newer", (1, 1, "healthy"), (1, 2, "draining"), HTTPStatus.OK),
            ("repeated", (1, 2, "healthy"), (1, 2, "healthy"), HTTPStatus.OK),
            ("older, of before the drain", (1, 2, "draining"), (1, 1, "healthy"), HTTPStatus.OK),
            ("older drain", (1, 3, "draining"), (1, 2, "draining"), HTTPStatus.OK),
            ("number used twice", (1, 2, "healthy"), (1, 2, "draining"), HTTPStatus.CONFLICT),
            ("clock was set back", (5, 9, "healthy"), (3, 1, "draining"), HTTPStatus.CONFLICT),
            ("earlier start", (5, 9, "healthy"), (3, 1, "healthy"), HTTPStatus.CONFLICT),
        ]
        for name, first, second, expected in table:
            with self.subTest(name):
                self.setUp()
                self.assertEqual(self.beat(*first), HTTPStatus.OK)
                self.assertEqual(self.beat(*second), expected)

    def test_a_drain_is_acknowledged_only_once_control_has_recorded_it(self) -> None:
        table = [("healthy", HTTPStatus.OK), ("draining", HTTPStatus.SERVICE_UNAVAILABLE)]
        self.agent.is_control_reachable = False
        for number, (state, expected) in enumerate(table, start=1):
            with self.subTest(state):
                self.assertEqual(self.beat(1, number, state), expected)
        self.agent.is_control_reachable = True
        self.assertEqual(self.beat(1, 3, "draining"), HTTPStatus.OK)

    def test_a_heartbeat_without_its_start_is_invalid_where_others_have_one(self) -> None:
        self.assertEqual(self.beat(1, 1, "healthy"), HTTPStatus.OK)
        self.assertEqual(self.beat(0, 2, "healthy"), HTTPStatus.BAD_REQUEST)


if __name__ == "__main__":
    unittest.main()
