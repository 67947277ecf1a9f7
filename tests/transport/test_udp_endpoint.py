"""Tests of the UDP endpoint on loopback sockets."""

from __future__ import annotations

import asyncio
import socket
import unittest
from typing import TYPE_CHECKING

import anyio

from wagtailkeel_transport import UdpEndpoint

if TYPE_CHECKING:
    from collections.abc import Coroutine

HOST = "127.0.0.1"
TIMEOUT_S = 5.0
DATAGRAMS = 200


class HandlerError(Exception):
    """Raised by a handler of received datagrams."""


class UdpEndpointTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.endpoint = UdpEndpoint(HOST, 0)
        self.addCleanup(self.endpoint.close)
        self.sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sender.bind((HOST, 0))
        self.received: list[object] = []
        self.addCleanup(self.sender.close)

    def send(self, datagram: bytes) -> None:
        self.sender.sendto(datagram, (HOST, self.endpoint.port))

    async def receive_all(self, receive: Coroutine[object, object, None]) -> None:
        """Send numbered datagrams while ``receive`` runs, then cancel it."""
        task = asyncio.create_task(receive)
        for number in range(DATAGRAMS):
            self.send(str(number).encode())
        with anyio.fail_after(TIMEOUT_S):
            while len(self.received) < DATAGRAMS:
                await anyio.sleep(0.01)
        task.cancel()
        await asyncio.wait([task])

    async def test_datagrams_arrive_in_order_with_their_source(self) -> None:
        """More datagrams than one batch are read, with and without their source."""
        source = self.sender.getsockname()
        datagrams = [str(number).encode() for number in range(DATAGRAMS)]
        await self.receive_all(self.endpoint.receive(self.received.append))
        self.assertEqual(self.received, datagrams)
        self.received.clear()
        await self.receive_all(
            self.endpoint.receive_from(lambda *received: self.received.append(received))
        )
        self.assertEqual(self.received, [(datagram, source) for datagram in datagrams])

    async def test_an_error_of_the_handler_ends_the_task(self) -> None:
        """A fault in a handler must not leave a process that runs but reads no packets."""

        def fail(datagram: bytes) -> None:
            raise HandlerError

        self.send(b"datagram")
        with anyio.fail_after(TIMEOUT_S), self.assertRaises(HandlerError):
            await self.endpoint.receive(fail)

    async def test_nothing_is_read_after_cancellation(self) -> None:
        """A stopped role must not process packets while its socket is still open."""
        received: list[bytes] = []
        with anyio.move_on_after(0.05):
            await self.endpoint.receive(received.append)
        self.send(b"late")
        await anyio.sleep(0.05)
        self.assertEqual(received, [])
