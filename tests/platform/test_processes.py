"""The adapter's real processes: a flow through all of them, and what the logs say of failures."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from typing import ClassVar

from tests.platform.fake_site import ROUTE
from tests.platform.fake_site import ROUTE_PORT
from tests.platform.fake_site import FakeSite
from tests.platform.fake_site import build
from tests.platform.fake_site import wait_until
from wagtailkeel.flow_explanation import explain_flow
from wagtailkeel.flow_explanation import parse_flow_name
from wagtailkeel_platform import packet_format as packets

HEAD = packets.HEADER_BYTES


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

    def explain(self, port: int, word: str) -> str:
        """Wait until the logs alone say a word about a flow."""
        flow = parse_flow_name(f"127.31.9.1:{port}>{ROUTE}:{ROUTE_PORT}")

        def find() -> str:
            cause = explain_flow(flow, self.site.logs()).cause
            return cause if word in cause else ""

        return str(wait_until(find, f"{word} in the logs"))

    def test_a_flow_survives_the_restart_of_its_agent(self) -> None:
        self.site.open(1_001)
        server = self.site.request(1_001)[HEAD:].decode()
        self.assertIn(server, self.site.sides)
        self.site.kill(server)
        self.site.start_process(server)
        for _ in range(3):
            self.assertEqual(self.site.request(1_001)[HEAD:].decode(), server)

    def test_operators_calls(self) -> None:
        self.site.configure(7)
        status, body = self.site.operate("GET", "/-/config/fetch")
        self.assertEqual((status, json.loads(body)["version"]), (200, 7))
        self.site.configure(3)
        _, body = self.site.operate("GET", "/-/config/fetch")
        self.assertEqual(json.loads(body)["version"], 7)
        table = [
            ("POST", "/-/config/replace", {"version": 9}, 400),
            ("POST", "/-/config/replace", [], 400),
            ("POST", "/-/drain/nowhere/begin", None, 404),
            ("GET", "/elsewhere", None, 404),
        ]
        for method, path, sent, expected in table:
            with self.subTest(path):
                self.assertEqual(self.site.operate(method, path, sent)[0], expected)

    def test_a_refused_opening_is_explained(self) -> None:
        for backend in self.site.backends:
            backend.state = "draining"
        try:
            port = self.refuse(2_001)
        finally:
            self.site.backends[0]._born += 1
            self.site.backends[1]._born += 1
            for backend in self.site.backends:
                backend.state = "healthy"
        self.assertIn("no_server_accepts", self.explain(port, "refused"))

    def refuse(self, first_port: int) -> int:
        """Open flows until one is refused: servers may take some before they are heard to drain."""
        ports = iter(range(first_port, first_port + 1_000))

        def find_refused() -> int:
            port = next(ports)
            answer = self.site.exchange(build(packets.SYN, ("127.31.9.1", port)))
            return port if answer is not None and answer[4] & packets.RST else 0

        return int(wait_until(find_refused, "a refusal"))

    def test_a_flow_lost_with_its_server_is_explained(self) -> None:
        self.site.open(3_001)
        server = self.site.request(3_001)[HEAD:].decode()
        backend = next(b for b in self.site.backends if b.host == server)
        backend.is_alive_on_network = False
        try:
            answer = self.site.request(3_001)
            self.assertTrue(answer[4] & packets.RST)
            self.assertIn("held_nowhere", self.explain(3_001, "nobody has the flow"))
        finally:
            backend.flows.clear()
            backend._born += 1
            backend.is_alive_on_network = True

    def test_an_opening_without_a_route_is_explained(self) -> None:
        packet = bytearray(build(packets.SYN, ("127.31.9.1", 4_001), ack=1))
        packet[30:32] = (ROUTE_PORT + 1).to_bytes(2, "big")
        answer = wait_until(lambda: self.site.exchange(bytes(packet)), "a refusal")
        self.assertTrue(answer[4] & packets.RST)
        flow = parse_flow_name(f"127.31.9.1:4001>{ROUTE}:{ROUTE_PORT + 1}")
        cause = wait_until(
            lambda: (found := explain_flow(flow, self.site.logs())).lines and found.cause,
            "the line about the missing route",
        )
        self.assertIn("no route", cause)

    def test_foreign_packets_harm_nothing(self) -> None:
        for packet in (b"", b"x" * 31, b"\xff" * 64, bytes(1_400)):
            self.site.exchange(packet)
        self.site.open(5_001)


if __name__ == "__main__":
    unittest.main()
