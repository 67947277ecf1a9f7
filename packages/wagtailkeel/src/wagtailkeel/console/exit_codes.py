"""Exit codes of both command lines; the numbers are stable."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Outcome of a command."""

    DONE = 0
    FAILURE = 1
    USAGE = 2
    CONFLICT = 3
    REJECTED = 4
    UNKNOWN = 5
    UNREACHABLE = 6
    NOT_IN_FORCE = 7
