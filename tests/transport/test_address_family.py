"""Sockets of the wrong family can't be bound or connected to the configured address."""

from __future__ import annotations

import socket
import unittest

from wagtailkeel_transport.address_family import address_family


class AddressFamilyTest(unittest.TestCase):
    def test_families(self) -> None:
        for host, family in (
            ("127.0.0.1", socket.AF_INET),
            ("localhost", socket.AF_INET),
            ("::1", socket.AF_INET6),
            ("fd00::7", socket.AF_INET6),
        ):
            with self.subTest(host):
                self.assertIs(address_family(host), family)


if __name__ == "__main__":
    unittest.main()
