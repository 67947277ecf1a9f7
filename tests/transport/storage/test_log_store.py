from __future__ import annotations

import os
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path

from wagtailkeel_state import Configuration
from wagtailkeel_state import LogEntry
from wagtailkeel_state import apply_entry
from wagtailkeel_state.commands import DefineDataCentre
from wagtailkeel_state.persistent_state import Snapshot
from wagtailkeel_state.persistent_state import Vote
from wagtailkeel_transport import DamagedFileError
from wagtailkeel_transport import DataFolderLockedError
from wagtailkeel_transport import DataFolderMissingError
from wagtailkeel_transport import StorageError
from wagtailkeel_transport.storage import DataFolder
from wagtailkeel_transport.storage import LogStore
from wagtailkeel_transport.storage.record_file import HEADER

BATCHES = 12


def make_entry(index: int, term: int = 1) -> LogEntry:
    return LogEntry(index, term, DefineDataCentre(name=f"dc{index}", region="home"), f"id{index}")


class KilledError(Exception):
    """Simulates that the process is killed at a sync."""


class LogStoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self._temporary = tempfile.TemporaryDirectory()
        self.addCleanup(self._temporary.cleanup)
        self.path = Path(self._temporary.name)

    def open(self, sync: Callable[[int], None] = os.fsync) -> LogStore:
        folder = DataFolder(self.path)
        self.addCleanup(self._close, folder)
        self._folder = folder
        return LogStore(folder, sync)

    def reopen(self) -> LogStore:
        self._close(self._folder)
        return self.open()

    @staticmethod
    def _close(folder: DataFolder) -> None:
        try:
            folder.close()
        except OSError:
            return

    def segment(self) -> Path:
        return sorted(self.path.glob("log-*"))[-1]

    def test_entries_and_vote_survive_a_restart(self) -> None:
        store = self.open()
        store.append([make_entry(1), make_entry(2)])
        store.append([make_entry(3)])
        store.save_vote(Vote(7, "b"))
        found = self.reopen()
        self.assertEqual([e.index for e in found.entries], [1, 2, 3])
        self.assertEqual(found.vote, Vote(7, "b"))

    def test_append_after_truncation_replaces_later_entries(self) -> None:
        for index, expected in ((1, []), (2, [1]), (3, [1, 2]), (4, [1, 2, 3])):
            with self.subTest(index=index):
                self.setUp()
                store = self.open()
                store.append([make_entry(1), make_entry(2), make_entry(3)])
                store.append([make_entry(4)])
                store.truncate_from(index)
                store.append([make_entry(index, term=2)])
                found = self.reopen().entries
                self.assertEqual([e.index for e in found], [*expected, index])
                self.assertEqual(found[-1].term, 2)

    def test_kill_after_truncation_keeps_earlier_entries(self) -> None:
        """A truncation must not lose the earlier entries of the same record."""
        store = self.open()
        store.append([make_entry(1), make_entry(2), make_entry(3)])
        store.truncate_from(3)
        found = self.reopen()
        self.assertEqual([e.index for e in found.entries][:2], [1, 2])

    def test_kill_at_any_sync_keeps_answered_entries(self) -> None:
        for killed_at_sync in range(1, BATCHES * 2):
            with self.subTest(killed_at_sync=killed_at_sync):
                self.setUp()
                answered = self._write_until_killed(killed_at_sync)
                found = self.reopen()
                self.assertEqual([e.index for e in found.entries][: len(answered)], answered)

    def _write_until_killed(self, killed_at_sync: int) -> list[int]:
        syncs = 0

        def sync(descriptor: int) -> None:
            nonlocal syncs
            syncs += 1
            if syncs == killed_at_sync:
                raise KilledError
            os.fsync(descriptor)

        answered: list[int] = []
        try:
            store = self.open(sync)
            for number in range(BATCHES):
                first = 2 * number + 1
                store.append([make_entry(first), make_entry(first + 1)])
                answered += [first, first + 1]
        except KilledError:
            pass
        return answered

    def test_failed_sync_raises_storage_error(self) -> None:
        def sync(descriptor: int) -> None:
            raise OSError(28, "No space left on device")

        with self.assertRaises(StorageError):
            self.open(sync).append([make_entry(1)])

    def test_torn_last_record_is_truncated(self) -> None:
        """A crash during a write may leave a prefix of any length of the last record."""
        store = self.open()
        store.append([make_entry(1)])
        whole = self.segment().stat().st_size
        store.append([make_entry(2)])
        data = self.segment().read_bytes()
        for size in range(whole, len(data)):
            with self.subTest(size=size):
                self.segment().write_bytes(data[:size])
                found = self.reopen()
                self.assertEqual([e.index for e in found.entries], [1])
                self.assertEqual(found.truncated_bytes, size - whole)
                self.segment().write_bytes(data)

    def test_damage_before_the_last_record_is_an_error(self) -> None:
        """A crash can't damage an earlier record: its entries must not be dropped silently."""
        store = self.open()
        store.append([make_entry(1)])
        offset = self.segment().stat().st_size
        store.append([make_entry(2)])
        store.append([make_entry(3)])
        data = bytearray(self.segment().read_bytes())
        data[offset + HEADER.size + 3] ^= 0xFF
        self.segment().write_bytes(bytes(data))
        with self.assertRaises(DamagedFileError) as caught:
            self.reopen()
        self.assertIn(self.segment().name, str(caught.exception))
        self.assertIn(f"offset {offset}", str(caught.exception))

    def test_snapshot_removes_old_segments(self) -> None:
        store = self.open()
        config = Configuration()
        for index in range(1, 2_501):
            apply_entry(config, make_entry(index))
            store.append([make_entry(index)])
        store.save_snapshot(Snapshot(config))
        found = self.reopen()
        self.assertEqual(found.configuration.index, 2_500)
        self.assertEqual(found.entries, [])
        self.assertLess(len(list(self.path.glob("log-*"))), 3)
        found.append([make_entry(2_501)])
        self.assertEqual([e.index for e in self.reopen().entries], [2_501])

    def test_installed_snapshot_discards_an_older_log(self) -> None:
        store = self.open()
        store.append([make_entry(1)])
        config = Configuration()
        for index in range(1, 11):
            apply_entry(config, make_entry(index, term=3))
        store.save_snapshot(Snapshot(config))
        found = self.reopen()
        self.assertEqual((found.configuration.index, found.entries), (10, []))

    def test_locked_folder_is_refused(self) -> None:
        self.open()
        with self.assertRaises(DataFolderLockedError):
            DataFolder(self.path)

    def test_missing_folder_is_refused(self) -> None:
        with self.assertRaises(DataFolderMissingError):
            DataFolder(self.path / "none")

    def test_identity_survives_a_restart(self) -> None:
        self.open()
        identity = self._folder.identity
        self.reopen()
        self.assertEqual(self._folder.identity, identity)


if __name__ == "__main__":
    unittest.main()
