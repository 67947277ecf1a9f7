"""Counts the requests that a server has accepted and not answered yet."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from collections.abc import Iterator


class RequestsInProgress:
    """The requests in progress of one server; a planned stop waits for their answers."""

    def __init__(self) -> None:
        self._count = 0
        self._is_idle = anyio.Event()

    def __len__(self) -> int:
        return self._count

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count a request until its answer has been sent."""
        self._count += 1
        try:
            yield
        finally:
            self._count -= 1
            if not self._count:
                self._is_idle.set()
                self._is_idle = anyio.Event()

    async def wait_until_answered(self, timeout_s: float) -> bool:
        """Wait until no request is in progress; return False if some are after the timeout."""
        with anyio.move_on_after(timeout_s):
            while self._count:
                await self._is_idle.wait()
        return not self._count
