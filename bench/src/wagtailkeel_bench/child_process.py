"""Processes that the bench starts, and only it ends, each by its own id."""

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
    """The run itself failed; it says nothing about the system."""


class ChildProcess:
    """A process with its log file."""

    def __init__(self, name: str, arguments: list[str], log_path: Path) -> None:
        self.name = name
        self._arguments = arguments
        self._log_path = log_path
        self._process: asyncio.subprocess.Process | None = None

    @property
    def is_running(self) -> bool:
        """Tell whether the process lives."""
        return self._process is not None and self._process.returncode is None

    @property
    def log(self) -> str:
        """All that the process wrote."""
        return self._log_path.read_text() if self._log_path.exists() else ""

    async def start(self, *, has_pipes: bool = False) -> None:
        """Start the process."""
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
        """Send a signal to the process, if it lives."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal_number)

    async def wait(self) -> int:
        """Wait for the end of the process; return its exit status."""
        assert self._process is not None, "only a started process is waited for"
        try:
            return await asyncio.wait_for(self._process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            self._process.kill()
            await self._process.wait()
            raise BenchError(f"{self.name} did not stop within {STOP_TIMEOUT_S:g} s") from None

    async def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)
        await self.wait()

    async def stop(self) -> int:
        """Ask the process to stop; return its exit status."""
        self.signal(signal.SIGTERM)
        return await self.wait()


class StandIn(ChildProcess):
    """A stand-in process that takes commands."""

    def __init__(self, kind: str, plan: msgspec.Struct, folder: Path) -> None:
        plan_path = folder / f"{kind}.json"
        plan_path.write_bytes(msgspec.json.encode(plan))
        arguments = ["-m", "wagtailkeel_bench.stand_ins", kind, str(plan_path)]
        super().__init__(kind, arguments, folder / f"{kind}.log")

    async def start(self, *, has_pipes: bool = True) -> None:
        """Start the process and wait until it answers."""
        await super().start(has_pipes=has_pipes)
        await self.command("ping")

    async def command(self, command: str, /, **arguments: Any) -> Any:
        """Send a command and return its result."""
        process = self._process
        assert process is not None and process.stdin is not None and process.stdout is not None
        request = {"command": command, "arguments": arguments}
        process.stdin.write(json.dumps(request).encode() + b"\n")
        line = await asyncio.wait_for(process.stdout.readline(), COMMAND_TIMEOUT_S)
        if not line:
            raise BenchError(f"stand-in {self.name} ended: {self.log[-2_000:]}")
        return json.loads(line)
