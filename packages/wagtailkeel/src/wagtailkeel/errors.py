"""Errors of the wagtailkeeld and wagtailkeel programs."""

from __future__ import annotations


class WagtailkeelError(Exception):
    """Base class of errors that end a command with a message."""


class SettingsError(WagtailkeelError):
    """Invalid settings; the message has the file, the key, and what was expected and found."""

    def __init__(self, path: str, key: str, detail: str) -> None:
        location = f"{path}: {key}" if key else path
        super().__init__(f"{location}: {detail}")


class ControlUnreachableError(WagtailkeelError):
    """No control instance answered."""


class InvalidFlowError(WagtailkeelError):
    """A flow is given in a form that can't be parsed."""

    def __init__(self, flow: str, detail: str) -> None:
        super().__init__(
            f"{flow!r} is not a flow: {detail}; expected 16 hexadecimal digits or "
            "caller:port>route:port"
        )
