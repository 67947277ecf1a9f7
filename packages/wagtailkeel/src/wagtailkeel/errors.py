"""Errors of the two binaries."""

from __future__ import annotations


class WagtailkeelError(Exception):
    """Base of all errors that end a command with a message."""


class SettingsError(WagtailkeelError):
    """Settings that can't be used; names the file, the key, what was expected and found."""

    def __init__(self, path: str, key: str, detail: str) -> None:
        location = f"{path}: {key}" if key else path
        super().__init__(f"{location}: {detail}")


class ControlUnreachableError(WagtailkeelError):
    """No control instance answered."""


class InvalidFlowError(WagtailkeelError):
    """A flow is named in a way that can't be read."""

    def __init__(self, name: str, detail: str) -> None:
        super().__init__(
            f"{name!r} names no flow: {detail}; expected 16 hexadecimal digits or "
            "caller:port>route:port"
        )
