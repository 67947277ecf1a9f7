"""A UDP socket that the event loop reads in batches."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING
from typing import TypeVar

from wagtailkeel_transport.address_family import address_family
from wagtailkeel_transport.errors import BindError

if TYPE_CHECKING:
    from collections.abc import Callable

Address = tuple[str, int]
Received = TypeVar("Received")

BATCH_DATAGRAMS = 64
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024
MAX_DATAGRAM_BYTES = 65_535


class UdpEndpoint:
    """Owns a bound UDP socket and passes received datagrams to one callback, in order."""

    def __init__(self, host: str, port: int) -> None:
        self._socket = socket.socket(address_family(host), socket.SOCK_DGRAM)
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

    def send(self, datagram: bytes, address: Address) -> None:
        """Send without blocking; a datagram that can't be sent is counted and dropped."""
        try:
            self._sendto(datagram, address)
        except OSError:
            self.send_failures += 1

    async def receive(self, on_datagram: Callable[[bytes], None]) -> None:
        """Pass received datagrams to ``on_datagram`` until cancelled."""
        await self._read_forever(self._socket.recv, on_datagram)

    async def receive_from(self, on_datagram: Callable[[bytes, Address], None]) -> None:
        """Pass datagrams and their sender's address to ``on_datagram`` until cancelled."""
        await self._read_forever(self._socket.recvfrom, lambda received: on_datagram(*received))

    async def _read_forever(
        self, receive: Callable[[int], Received], handle: Callable[[Received], None]
    ) -> None:
        """Pass all that ``receive`` returns to ``handle`` until cancelled.

        The socket stays registered with the event loop. At low rates most wake-ups bring a single
        datagram, and to wait for each anew would take longer than to process it. An error raised by
        ``handle`` is raised here.
        """
        loop = asyncio.get_running_loop()
        failure: asyncio.Future[None] = loop.create_future()

        def read_batch() -> None:
            try:
                self._read_batch(receive, handle)
            except Exception as error:
                loop.remove_reader(self._socket)
                failure.set_exception(error)

        loop.add_reader(self._socket, read_batch)
        try:
            await failure
        finally:
            loop.remove_reader(self._socket)

    @staticmethod
    def _read_batch(receive: Callable[[int], Received], handle: Callable[[Received], None]) -> None:
        for _ in range(BATCH_DATAGRAMS):
            try:
                received = receive(MAX_DATAGRAM_BYTES)
            except OSError:
                # No datagram is left, or an earlier send caused an ICMP error.
                return
            handle(received)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
