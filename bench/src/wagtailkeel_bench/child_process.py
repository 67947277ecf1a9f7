"""Child processes that the bench starts and that only the bench stops, by process id."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path
from typing import Any

import msgspec

STOP_TIMEOUT_S = 20.0
COMMAND_TIMEOUT_S = 30.0
MAX_LINE_BYTES = 64 * 1024 * 1024


class BenchError(Exception):
    """The bench run failed, so it gives no result about the system under test."""


class ChildProcess:
    """A child process of the bench and its log file."""

    def __init__(self, name: str, arguments: list[str], log_path: Path) -> None:
        self.name = name
        self._arguments = arguments
        self._log_path = log_path
        self._process: asyncio.subprocess.Process | None = None

    @property
    def is_running(self) -> bool:
        """Return whether the process has started and not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def log(self) -> str:
        """The content of the log file, empty before the first start."""
        return self._log_path.read_text() if self._log_path.exists() else ""

    async def start(self, *, has_pipes: bool = False) -> None:
        """Start the process; with ``has_pipes`` its stdin and stdout are pipes to the bench."""
        pipe = asyncio.subprocess.PIPE if has_pipes else asyncio.subprocess.DEVNULL
        with self._log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._arguments,
                stdin=pipe,
                stdout=pipe if has_pipes else log,
                stderr=log,
                limit=MAX_LINE_BYTES,
            )

    def signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal_number)

    async def wait(self) -> int:
        """Return the exit status; kill the process and raise BenchError after a timeout."""
        assert self._process is not None, "the process has not been started"
        try:
            return await asyncio.wait_for(self._process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            self._process.kill()
            await self._process.wait()
            raise BenchError(f"{self.name} did not stop within {STOP_TIMEOUT_S:g} s") from None

    async def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.signal(signal.SIGKILL)
        await self.wait()

    async def stop(self) -> int:
        """Send SIGTERM to the process; return its exit status."""
        self.signal(signal.SIGTERM)
        return await self.wait()


class StandIn(ChildProcess):
    """A stand-in process that executes commands from its standard input."""

    def __init__(self, kind: str, plan: msgspec.Struct, folder: Path) -> None:
        plan_path = folder / f"{kind}.json"
        plan_path.write_bytes(msgspec.json.encode(plan))
        arguments = ["-m", "wagtailkeel_bench.stand_ins", kind, str(plan_path)]
        super().__init__(kind, arguments, folder / f"{kind}.log")

    async def start(self, *, has_pipes: bool = True) -> None:
        """Start the process and wait until it answers a ping."""
        await super().start(has_pipes=has_pipes)
        await self.command("ping")

    async def command(self, command: str, /, **arguments: Any) -> Any:
        """Send a command and return its result; raise BenchError if the stand-in has exited."""
        process = self._process
        assert process is not None and process.stdin is not None and process.stdout is not None
        request = {"command": command, "arguments": arguments}
        process.stdin.write(json.dumps(request).encode() + b"\n")
        line = await asyncio.wait_for(process.stdout.readline(), COMMAND_TIMEOUT_S)
        if not line:
            raise BenchError(f"stand-in {self.name} exited: {self.log[-2_000:]}")
        return json.loads(line)
