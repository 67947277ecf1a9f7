"""Keeps control's record of what an agent has acknowledged to its backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from wagtailkeel_coordination.handshake import RecordedServer

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from wagtailkeel_coordination.handshake import ServerGate
    from wagtailkeel_state.server_member import ServerRecord

RECORD_TIMEOUT_S = 0.8
"""A server waits for an answer for one second."""
REJECTION_RETRY_INTERVAL_S = 0.2
"""Control rejects the records of an agent that it has removed, which then joins again."""


class ServerRecorder:
    """Sends control each change of what it should have recorded.

    ``record_server`` gets the number of a record and the record; it returns whether control has it.
    """

    def __init__(
        self,
        gate: ServerGate,
        record_server: Callable[[int, ServerRecord], Awaitable[bool]],
    ) -> None:
        self._gate = gate
        self._record_server = record_server
        self._server = RecordedServer(gate)
        self._number = 0
        self._changed = anyio.Event()
        self._progress = anyio.Event()

    def restore(self, record: ServerRecord | None, now: float) -> None:
        """Let the gate admit openings by what control has recorded for this agent."""
        self._server.restore(record, now)
        self._signal_progress()
        self.update()

    def update(self) -> None:
        """Let control record what has changed; what it has is unknown until :meth:`restore`."""
        if self._gate.is_confirmed and not self._server.is_up_to_date:
            self._changed.set()

    async def wait_until_recorded(self) -> bool:
        """Wait until control has recorded the server's state; return False if it takes too long."""
        with anyio.move_on_after(RECORD_TIMEOUT_S):
            while not self._server.is_up_to_date:
                await self._progress.wait()
        return self._server.is_up_to_date

    async def run(self) -> None:
        """Record changes until cancelled; each record is answered before the next one is sent."""
        while True:
            await self._changed.wait()
            self._changed = anyio.Event()
            while (record := self._server.build()) is not None and not self._server.is_up_to_date:
                await self._record(record)

    async def _record(self, record: ServerRecord) -> None:
        self._number += 1
        if await self._record_server(self._number, record):
            self._server.on_recorded(record)
            self._signal_progress()
        else:
            await anyio.sleep(REJECTION_RETRY_INTERVAL_S)

    def _signal_progress(self) -> None:
        self._progress.set()
        self._progress = anyio.Event()
