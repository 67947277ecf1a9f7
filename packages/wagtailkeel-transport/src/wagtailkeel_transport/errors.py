"""Errors of the transport layer."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


class TransportError(Exception):
    """Base class of all errors of the transport layer."""


class BindError(TransportError):
    """A socket can't be bound to its address."""

    def __init__(self, host: str, port: int, cause: OSError) -> None:
        super().__init__(f"can't bind {host}:{port}: {cause.strerror}; choose another port")


class RpcError(TransportError):
    """A call to another process failed; the call may or may not have taken effect there."""


class StorageError(TransportError):
    """A write or sync failed; nothing written after it may be treated as durable."""


class DataFolderLockedError(TransportError):
    """Another process holds the lock of the data folder."""

    def __init__(self, folder: Path) -> None:
        super().__init__(
            f"data folder {folder} is in use by another process; stop that process first"
        )


class DataFolderMissingError(TransportError):
    """The data folder does not exist."""

    def __init__(self, folder: Path) -> None:
        super().__init__(f"data folder {folder} does not exist; create it on the instance's disk")


class DamagedFileError(TransportError):
    """A file is damaged at a place that a crash can't have damaged."""

    def __init__(self, path: Path, offset: int, detail: str) -> None:
        super().__init__(
            f"{path} is damaged at offset {offset}: {detail}; "
            "replace this instance with an empty data folder"
        )
