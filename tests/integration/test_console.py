from __future__ import annotations

import asyncio
import json
import unittest
from datetime import UTC
from datetime import datetime
from datetime import timedelta
from typing import Any

from click.testing import CliRunner

from wagtailkeel.console.application import main
from wagtailkeel.console.exit_codes import ExitCode
from wagtailkeel_bench.deployment import SMALL
from wagtailkeel_bench.deployment import Deployment
from wagtailkeel_bench.site import Site
from wagtailkeel_bench.site import make_folder

BOOKING_WINDOW = ("--start", "2040-01-10T01:00+05:30", "--end", "2040-01-10T03:00+05:30")
UDP_CLASS_OPTIONS = ("--protocol", "udp", "--target", "p99<1000ms")
TIMEOUT_S = 20.0
SHORT_DEADLINE = ("--deadline", "1")


class ConsoleTest(unittest.IsolatedAsyncioTestCase):
    """Guards the exit codes and output of the command line against a running site."""

    async def asyncSetUp(self) -> None:
        self.site = Site(Deployment(SMALL, make_folder(), 1, is_stateless=False))
        await self.site.start()
        control = self.site.deployment.of_role("control")[0]
        self.control = f"{control.proxy_host}:{control.ports['rpc_port']}"

    async def asyncTearDown(self) -> None:
        await self.site.stop()

    async def run_command(self, *arguments: str) -> tuple[int, str]:
        options = ["--control", self.control, "--author", "ann", *arguments]
        result = await asyncio.to_thread(CliRunner().invoke, main, options)
        return result.exit_code, result.output

    async def run_json(self, *arguments: str) -> Any:
        status, output = await self.run_command("--output", "json", *arguments)
        self.assertEqual(status, ExitCode.DONE, output)
        return json.loads(output, parse_constant=self.fail)

    async def test_commands_return_their_exit_code_and_message(self) -> None:
        created = await self.run_json("service", "create", "sheet-office", "--wait")
        table: list[tuple[tuple[str, ...], ExitCode, str]] = [
            (("service", "create", "sheet-office"), ExitCode.REJECTED, "exists already"),
            (
                ("service", "create", "x", "--expect-version", str(created["index"] - 1)),
                ExitCode.CONFLICT,
                "by ann",
            ),
            (
                ("class", "create", "sheet-office", "sheet", *UDP_CLASS_OPTIONS, "--wait"),
                ExitCode.DONE,
                "created",
            ),
            (("class", "target", "sheet-office", "sheet", "quick"), ExitCode.USAGE, "p99<200ms"),
            (("class", "target", "sheet-office", "sheet", "p95<90ms"), ExitCode.DONE, "p95<90ms"),
            (("server", "drain", "marshal-desk-1", "--wait"), ExitCode.DONE, "draining"),
            (("server", "drain", "marshal-desk-1"), ExitCode.REJECTED, "already"),
            (("server", "restore", "marshal-desk-1"), ExitCode.DONE, "serving"),
            (("datacentre", "out", "atlantis"), ExitCode.REJECTED, "not known"),
            (("datacentre", "out", "surat", "--wait"), ExitCode.DONE, "out of service"),
            (("datacentre", "back", "surat"), ExitCode.DONE, "in service"),
            (
                ("booking", "create", "datacentre-out", "surat", "--id", "one", *BOOKING_WINDOW),
                ExitCode.DONE,
                "accepted",
            ),
            (
                ("booking", "create", "datacentre-out", "surat", "--id", "two", *BOOKING_WINDOW),
                ExitCode.REJECTED,
                "booking one by ann",
            ),
            (("booking", "create", "datacentre-out", "surat"), ExitCode.USAGE, "--start"),
            (("booking", "show", "one"), ExitCode.DONE, "2040-01-09 19:30:00 UTC"),
            (
                (
                    "booking",
                    "create",
                    "class-create",
                    "sheet-office/map",
                    *UDP_CLASS_OPTIONS,
                    *BOOKING_WINDOW,
                ),
                ExitCode.DONE,
                "accepted",
            ),
            (
                ("booking", "create", "service-create", "archive", *BOOKING_WINDOW),
                ExitCode.DONE,
                "accepted",
            ),
            (
                ("booking", "create", "class-target", "sheet-office", *BOOKING_WINDOW),
                ExitCode.USAGE,
                "SERVICE/CLASS",
            ),
            (("booking", "calendar"), ExitCode.DONE, "2040-01-09"),
            (("booking", "cancel", "one"), ExitCode.DONE, "cancelled"),
            (("booking", "cancel", "one"), ExitCode.REJECTED, "cancelled already"),
            (("booking", "list"), ExitCode.DONE, "cancelled"),
            (("status",), ExitCode.DONE, "data centre surat: in-service"),
            (("status",), ExitCode.DONE, "last change by an operator: version"),
            (("servers",), ExitCode.DONE, "marshal-desk-2"),
            (("dump", "nobody"), ExitCode.UNREACHABLE, "no instance nobody"),
        ]
        for arguments, expected, text in table:
            with self.subTest(" ".join(arguments)):
                status, output = await self.run_command(*arguments)
                self.assertEqual(status, expected, output)
                self.assertIn(text, output)

    async def test_booking_is_applied_when_its_window_starts(self) -> None:
        now = datetime.now(UTC)
        window = [(now + timedelta(seconds=offset)).isoformat() for offset in (-1, 600)]
        arguments = ("booking", "create", "datacentre-out", "surat", "--id", "soon")
        await self.run_json(*arguments, "--start", window[0], "--end", window[1])
        async with asyncio.timeout(TIMEOUT_S):
            while (await self.run_json("booking", "show", "soon"))["state"] != "active":
                await asyncio.sleep(0.1)
        status = await self.run_json("status")
        states = status["configuration"]["data_centres_by_name"]
        self.assertEqual(states["surat"]["state"], "out-of-service")
        self.assertEqual(states["vadodara"]["state"], "in-service")

    async def test_resent_command_returns_the_first_answer_and_status_waits_for_a_version(
        self,
    ) -> None:
        change = ("class", "target", "marshal-desk", "feed", "held<999", "--command-id", "same")
        first = await self.run_json(*change)
        again = await self.run_json(*change)
        self.assertEqual(first, again)
        waited = await self.run_json("status", "--wait", str(first["index"]))
        self.assertEqual([n for n in waited["nodes"] if n["version"] < first["index"]], [])
        dump = await self.run_json("dump", "marshal-desk-2")
        self.assertEqual(dump["role"], "agent")
        self.assertGreaterEqual(dump["version"], first["index"])

    async def test_exit_codes_while_no_control_instance_runs(self) -> None:
        await self.site.kill_instance("control-1")
        for arguments in ((*SHORT_DEADLINE, "status"), (*SHORT_DEADLINE, "servers")):
            self.assertEqual((await self.run_command(*arguments))[0], ExitCode.UNREACHABLE)
        status, output = await self.run_command(*SHORT_DEADLINE, "service", "create", "late")
        self.assertEqual(status, ExitCode.UNKNOWN, output)
        self.assertIn("--command-id", output)


if __name__ == "__main__":
    unittest.main()
