"""A UDP socket that one task reads in batches."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import anyio

from wagtailkeel_transport.errors import BindError

if TYPE_CHECKING:
    from collections.abc import Callable

BATCH_DATAGRAMS = 64
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024
MAX_DATAGRAM_BYTES = 65_535


class UdpEndpoint:
    """Owns a bound UDP socket and passes received datagrams to one callback, in order."""

    def __init__(self, host: str, port: int) -> None:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        try:
            self._socket.bind((host, port))
        except OSError as error:
            self._socket.close()
            raise BindError(host, port, error) from error
        self.send_failures = 0
        self._sendto = self._socket.sendto

    @property
    def port(self) -> int:
        """The port that the socket is bound to."""
        port: int = self._socket.getsockname()[1]
        return port

    def send(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Send without blocking; a datagram that can't be sent is counted and dropped."""
        try:
            self._sendto(datagram, address)
        except OSError:
            self.send_failures += 1

    async def receive(self, on_datagram: Callable[[bytes], None]) -> None:
        """Pass received datagrams to ``on_datagram`` until cancelled."""
        receive = self._socket.recv
        while True:
            await anyio.wait_readable(self._socket)
            for _ in range(BATCH_DATAGRAMS):
                try:
                    datagram = receive(MAX_DATAGRAM_BYTES)
                except OSError:
                    # No datagram is left, or an earlier send caused an ICMP error.
                    break
                on_datagram(datagram)

    async def receive_from(self, on_datagram: Callable[[bytes, tuple[str, int]], None]) -> None:
        """Pass datagrams and their sender's address to ``on_datagram`` until cancelled."""
        receive = self._socket.recvfrom
        while True:
            await anyio.wait_readable(self._socket)
            for _ in range(BATCH_DATAGRAMS):
                try:
                    datagram, address = receive(MAX_DATAGRAM_BYTES)
                except OSError:
                    # No datagram is left, or an earlier send caused an ICMP error.
                    break
                on_datagram(datagram, address)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
