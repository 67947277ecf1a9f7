"""Writes log lines without ever blocking on their reader."""

from __future__ import annotations

import os

PENDING_LIMIT_BYTES = 64 * 1024


class LineWriter:
    """Writes lines to a file descriptor, which it makes non-blocking.

    If the reader does not read, lines are dropped and counted instead of blocking the process.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped_lines = 0
        self._descriptor = descriptor
        self._pending = b""
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Write or buffer a line; drop and count it if the buffer is full."""
        data = line.encode()
        if len(self._pending) + len(data) > PENDING_LIMIT_BYTES:
            self.dropped_lines += 1
        else:
            self._pending += data
        self._flush()

    def _flush(self) -> None:
        try:
            written = os.write(self._descriptor, self._pending)
        except OSError:
            # The pipe is full or its reader has closed it: lines stay buffered up to the limit.
            return
        self._pending = self._pending[written:]
