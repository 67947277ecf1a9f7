"""The logger of all layers: loguru, imported with the first message.

Imports are most of a process's start, and processor time is short on a small instance. Most
processes write events only, which do not need loguru.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from loguru import Logger


class DeferredLogger:
    """Stands in for loguru's logger and passes everything on to it."""

    def __init__(self) -> None:
        self._configure: Callable[[Logger], None] | None = None

    def set_up(self, configure: Callable[[Logger], None]) -> None:
        """Call a function with loguru's logger before its first message."""
        self._configure = configure

    def __getattr__(self, name: str) -> Any:
        from loguru import logger as loguru_logger

        configure, self._configure = self._configure, None
        if configure is not None:
            configure(loguru_logger)
        return getattr(loguru_logger, name)


logger = DeferredLogger()
