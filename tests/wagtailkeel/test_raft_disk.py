"""Guards how errors of the log store reach the consensus node."""

from __future__ import annotations

import unittest
from unittest.mock import Mock

from wagtailkeel.roles.control.raft_disk import RaftDisk
from wagtailkeel_coordination.raft import StorageFaultError
from wagtailkeel_transport import StorageError


class RaftDiskTest(unittest.TestCase):
    def test_errors_are_converted(self) -> None:
        """An error of another layer would end the process instead of costing it the vote."""
        table = [
            ("save_vote", Mock()),
            ("append", []),
            ("truncate_from", 1),
            ("save_snapshot", Mock()),
        ]
        for name, value in table:
            with self.subTest(name):
                store = Mock()
                disk = RaftDisk(store)
                getattr(disk, name)(value)
                self.assertEqual(disk.last_error, "")
                getattr(store, name).assert_called_once_with(value)
                getattr(store, name).side_effect = StorageError("no space left")
                with self.assertRaises(StorageFaultError):
                    getattr(disk, name)(value)
                self.assertEqual(disk.last_error, "no space left")


if __name__ == "__main__":
    unittest.main()
