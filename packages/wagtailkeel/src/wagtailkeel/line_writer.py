"""Writes log lines without ever waiting for their reader."""

from __future__ import annotations

import os

PENDING_LIMIT_BYTES = 64 * 1024


class LineWriter:
    """Writes to a descriptor that is made non-blocking.

    A reader that does not read costs lines, which are counted, and never time.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped_lines = 0
        self._descriptor = descriptor
        self._pending = b""
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Write a line, keep it for later, or drop and count it."""
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
            # The pipe is full, or its reader has gone: lines wait up to the limit.
            return
        self._pending = self._pending[written:]
