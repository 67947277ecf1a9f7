"""A UDP socket on the event loop that passes datagrams to a callback."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

BATCH_DATAGRAMS = 64
BUFFER_BYTES = 4 * 1024 * 1024

Address = tuple[str, int]


class UdpPort:
    """A bound socket; the callback gets each datagram with the address of its sender."""

    def __init__(self, address: Address, on_datagram: Callable[[bytes, Address], None]) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        self._socket.bind(address)
        self._on_datagram = on_datagram
        asyncio.get_running_loop().add_reader(self._socket, self._read)

    def send(self, datagram: bytes, address: Address) -> None:
        """Send the datagram; drop it if the socket returns an error."""
        try:
            self._socket.sendto(datagram, address)
        except OSError:
            return

    def close(self) -> None:
        """Close the socket."""
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def _read(self) -> None:
        for _ in range(BATCH_DATAGRAMS):
            try:
                datagram, sender = self._socket.recvfrom(65_535)
            except OSError:
                return
            self._on_datagram(datagram, sender)
