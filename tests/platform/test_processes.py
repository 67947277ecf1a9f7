"""Tests the adapter's real processes: a flow through all of them, and failures in their logs."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from typing import ClassVar

from click.testing import CliRunner

from tests.platform.fake_site import ROUTE
from tests.platform.fake_site import ROUTE_PORT
from tests.platform.fake_site import SERVICE
from tests.platform.fake_site import FakeSite
from tests.platform.fake_site import build_packet
from tests.platform.fake_site import wait_until
from wagtailkeel.console.application import main
from wagtailkeel.console.exit_codes import ExitCode
from wagtailkeel.flow_explanation import explain_flow
from wagtailkeel.flow_explanation import parse_flow_id
from wagtailkeel_platform import packet_format as packets

HEADER_BYTES = packets.HEADER_BYTES
LONG_VERSION_BODY = {"version": 20261205120000000001, "routes": [], "services": []}


class ProcessesTest(unittest.TestCase):
    site: ClassVar[FakeSite]
    folder: ClassVar[tempfile.TemporaryDirectory[str]]

    @classmethod
    def setUpClass(cls) -> None:
        cls.folder = tempfile.TemporaryDirectory()
        cls.site = FakeSite(Path(cls.folder.name))
        cls.addClassCleanup(cls.folder.cleanup)
        cls.addClassCleanup(cls.site.stop)
        cls.site.start()

    def wait_for_cause(self, port: int, text: str) -> str:
        """Wait until the logs alone explain a caller's flow; return the cause.

        The cause must contain ``text``, and ``port`` is the caller's.
        """
        flow = parse_flow_id(f"127.31.9.1:{port}>{ROUTE}:{ROUTE_PORT}")

        def find_cause() -> str:
            cause = explain_flow(flow, self.site.logs()).cause
            return cause if text in cause else ""

        return str(wait_until(find_cause, f"{text} in the logs"))

    def test_a_flow_survives_the_restart_of_its_agent(self) -> None:
        self.site.open_flow(1_001)
        server = self.site.send_request(1_001)[HEADER_BYTES:].decode()
        self.assertIn(server, self.site.agent_hosts)
        self.site.kill(server)
        self.site.start_process(server)
        for _ in range(3):
            answer = self.site.send_request(1_001)
            self.assertEqual(answer[HEADER_BYTES:].decode(), server, self.site.describe(answer))

    def test_operator_api_keeps_newest_configuration_and_rejects_bad_calls(self) -> None:
        self.site.replace_configuration(7)
        status, body = self.site.call_operator_api("GET", "/-/config/fetch")
        self.assertEqual((status, json.loads(body)["version"]), (200, 7))
        self.site.replace_configuration(3)
        _, body = self.site.call_operator_api("GET", "/-/config/fetch")
        self.assertEqual(json.loads(body)["version"], 7)
        table = [
            ("POST", "/-/config/replace", {"version": 9}, 400),
            ("POST", "/-/config/replace", [], 400),
            ("POST", "/-/config/replace", LONG_VERSION_BODY, 400),
            ("POST", "/-/drain/nowhere/begin", None, 404),
            ("GET", "/elsewhere", None, 404),
        ]
        for method, path, sent, expected in table:
            with self.subTest(path):
                self.assertEqual(self.site.call_operator_api(method, path, sent)[0], expected)

    def test_a_refused_opening_is_explained(self) -> None:
        for backend in self.site.backends:
            backend.state = "draining"
        try:
            port = self.open_until_refused(2_001)
        finally:
            # A new start time makes the agents drop the flows opened above.
            self.site.backends[0]._started_at_ms += 1
            self.site.backends[1]._started_at_ms += 1
            for backend in self.site.backends:
                backend.state = "healthy"
        self.assertIn("no_server_accepts", self.wait_for_cause(port, "refused"))

    def open_until_refused(self, first_port: int) -> int:
        """Open flows until one is refused, and return its port.

        Servers accept some until they have reported that they drain.
        """
        ports = iter(range(first_port, first_port + 1_000))

        def find_refused() -> int:
            port = next(ports)
            answer = self.site.send_and_receive(build_packet(packets.SYN, ("127.31.9.1", port)))
            return port if answer is not None and answer[4] & packets.RST else 0

        return int(wait_until(find_refused, "a refusal"))

    def test_a_flow_lost_with_its_server_is_explained(self) -> None:
        self.site.open_flow(3_001)
        server = self.site.send_request(3_001)[HEADER_BYTES:].decode()
        backend = next(b for b in self.site.backends if b.host == server)
        backend.is_connected = False
        try:
            answer = self.site.send_request(3_001)
            self.assertTrue(answer[4] & packets.RST)
            self.assertIn("held_nowhere", self.wait_for_cause(3_001, "no server holds the flow"))
        finally:
            # Bring the server back as a new incarnation that holds no flows.
            backend.flows.clear()
            backend._started_at_ms += 1
            backend.is_connected = True

    def test_an_opening_without_a_route_is_explained(self) -> None:
        packet = bytearray(build_packet(packets.SYN, ("127.31.9.1", 4_001), ack=1))
        # The destination port, which has no route.
        packet[30:32] = (ROUTE_PORT + 1).to_bytes(2, "big")
        answer = wait_until(lambda: self.site.send_and_receive(bytes(packet)), "a refusal")
        self.assertTrue(answer[4] & packets.RST)
        flow = parse_flow_id(f"127.31.9.1:4001>{ROUTE}:{ROUTE_PORT + 1}")
        cause = wait_until(
            lambda: (explanation := explain_flow(flow, self.site.logs())).lines
            and explanation.cause,
            "the line about the missing route",
        )
        self.assertIn("no route", cause)

    def run_where(self, route: str, *options: str) -> tuple[int, str]:
        control = f"{self.site.control_hosts[0]}:{self.site.rpc_port}"
        arguments = ["--control", control, "where", "127.31.9.1:6001", route, *options]
        result = CliRunner().invoke(main, arguments)
        return result.exit_code, result.output

    def test_where_explains_an_opening_without_sending_it(self) -> None:
        self.site.open_flow(6_002)
        table: list[tuple[str, tuple[str, ...], ExitCode, str]] = [
            (f"{ROUTE}:{ROUTE_PORT}", (), ExitCode.DONE, f"service {SERVICE}"),
            (f"{ROUTE}:{ROUTE_PORT + 1}", (), ExitCode.FAILURE, "no route"),
            (f"{ROUTE}:x", (), ExitCode.USAGE, "port"),
            (f"{ROUTE}:{ROUTE_PORT}", ("--data-centre", "west"), ExitCode.USAGE, "west"),
        ]
        for route, options, expected, text in table:
            with self.subTest(route, options=options):
                status, output = self.run_where(route, *options)
                self.assertEqual(status, expected, output)
                self.assertIn(text, output)

    def test_malformed_packets_do_not_prevent_new_flows(self) -> None:
        for packet in (b"", b"x" * 31, b"\xff" * 64, bytes(1_400)):
            self.site.send_and_receive(packet)
        self.site.open_flow(5_001)


if __name__ == "__main__":
    unittest.main()
