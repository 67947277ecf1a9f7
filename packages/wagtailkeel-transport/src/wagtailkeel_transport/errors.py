"""Errors of the transport layer."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


class TransportError(Exception):
    """Base of all errors of this layer."""


class BindError(TransportError):
    """A socket can't be bound."""

    def __init__(self, host: str, port: int, cause: OSError) -> None:
        super().__init__(f"can't bind {host}:{port}: {cause.strerror}; choose another port")


class RpcError(TransportError):
    """A call to another process failed; whether it took effect there is not known."""


class StorageError(TransportError):
    """A write or sync failed; nothing after it may be taken as durable."""


class DataFolderLockedError(TransportError):
    """Another process uses the data folder."""

    def __init__(self, folder: Path) -> None:
        super().__init__(f"data folder {folder} is in use by another process; stop that one first")


class DataFolderMissingError(TransportError):
    """The data folder does not exist."""

    def __init__(self, folder: Path) -> None:
        super().__init__(f"data folder {folder} does not exist; create it on the instance's disk")


class DamagedFileError(TransportError):
    """A file is damaged where a crash can't have damaged it."""

    def __init__(self, path: Path, offset: int, detail: str) -> None:
        super().__init__(
            f"{path} is damaged at offset {offset}: {detail}; "
            "replace this instance with an empty data folder"
        )
