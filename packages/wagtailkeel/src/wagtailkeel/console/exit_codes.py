"""Exit codes of both binaries; they are stable."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """What a command's exit status says."""

    DONE = 0
    FAILURE = 1
    USAGE = 2
    CONFLICT = 3
    REJECTED = 4
    UNKNOWN = 5
    UNREACHABLE = 6
    NOT_IN_FORCE = 7
