"""The data folder of a control instance: its lock, identity and atomically replaced files."""

from __future__ import annotations

import fcntl
import os
import uuid
from typing import TYPE_CHECKING

from wagtailkeel_transport.errors import DamagedFileError
from wagtailkeel_transport.errors import DataFolderLockedError
from wagtailkeel_transport.errors import DataFolderMissingError
from wagtailkeel_transport.errors import StorageError
from wagtailkeel_transport.storage.record_file import encode_record
from wagtailkeel_transport.storage.record_file import read_record

if TYPE_CHECKING:
    from pathlib import Path

IDENTITY_FILE = "identity"
LOCK_FILE = "lock"
TEMPORARY_SUFFIX = ".tmp"


class DataFolder:
    """A data folder, locked until :meth:`close`."""

    def __init__(self, path: Path) -> None:
        if not path.is_dir():
            raise DataFolderMissingError(path)
        self.path = path
        self._lock_descriptor = os.open(path / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock_descriptor)
            raise DataFolderLockedError(path) from error
        self._remove_temporary_files()
        self.identity = self._load_identity()

    def close(self) -> None:
        """Release the lock."""
        os.close(self._lock_descriptor)

    def replace(self, name: str, payload: bytes) -> None:
        """Replace a file atomically: write a temporary file, sync, rename, sync the folder."""
        temporary = self.path / (name + TEMPORARY_SUFFIX)
        try:
            with temporary.open("wb") as file:
                file.write(encode_record(payload))
                file.flush()
                os.fsync(file.fileno())
            temporary.rename(self.path / name)
            self.sync()
        except OSError as error:
            raise StorageError(f"can't write {self.path / name}: {error}") from error

    def load(self, name: str) -> bytes | None:
        """Return the payload of a file written by :meth:`replace`, or None if it does not exist."""
        path = self.path / name
        if not path.exists():
            return None
        payload = read_record(path.read_bytes(), 0)
        if payload is None:
            raise DamagedFileError(path, 0, "no complete record with a matching checksum")
        return payload

    def sync(self) -> None:
        """Sync the folder, which makes renames, creations and removals of files durable."""
        descriptor = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def _remove_temporary_files(self) -> None:
        for leftover in self.path.glob("*" + TEMPORARY_SUFFIX):
            leftover.unlink()

    def _load_identity(self) -> str:
        stored = self.load(IDENTITY_FILE)
        if stored is not None:
            return stored.decode()
        identity = uuid.uuid4().hex
        self.replace(IDENTITY_FILE, identity.encode())
        return identity
