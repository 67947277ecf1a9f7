"""Finds out whether the process of a backend server runs.

Load pattern: the power returns, and callers send data on flows that ended with their servers. Some
servers were about to leave and do not come back. Until their agents deny these flows, no search for
a flow can end. Missing reports do not show that a server has ended, since it may have failed to
reach its agent; a port that is closed does.
"""

from __future__ import annotations

import asyncio
import socket
from enum import Enum
from typing import TYPE_CHECKING

import anyio

from wagtailkeel_transport.address_family import address_family

if TYPE_CHECKING:
    from collections.abc import Callable

Address = tuple[str, int]

CHECK_INTERVAL_S = 0.2
CONNECT_TIMEOUT_S = 0.2
REQUIRED_REFUSALS = 2
"""In a row; a server that has been starting in the meantime has no flows either."""


class PortState(Enum):
    """What an attempt to connect to a server's port shows."""

    OPEN = "open"
    CLOSED = "closed"
    UNKNOWN = "unknown"


class ServerCheck:
    """Checks the port of a backend server while its agent does not hear of it.

    ``is_due`` returns whether the agent does not know if the server runs. ``on_present`` is called
    if the port is open, ``on_closed_port`` if it is closed, and ``on_absent`` if it is so in
    REQUIRED_REFUSALS checks in a row.
    """

    def __init__(
        self,
        address: Address,
        is_due: Callable[[], bool],
        on_present: Callable[[], None],
        on_closed_port: Callable[[], None],
        on_absent: Callable[[], None],
    ) -> None:
        self._address = address
        self._is_due = is_due
        self._on_present = on_present
        self._on_closed_port = on_closed_port
        self._on_absent = on_absent
        self._refusals = 0

    async def run(self) -> None:
        """Check the port until cancelled."""
        while True:
            if self._is_due():
                await self._check()
            else:
                self._refusals = 0
            await anyio.sleep(CHECK_INTERVAL_S)

    async def _check(self) -> None:
        state = await check_port(self._address)
        self._refusals = self._refusals + 1 if state is PortState.CLOSED else 0
        if state is PortState.OPEN:
            self._on_present()
        elif state is PortState.CLOSED:
            self._on_refusal()

    def _on_refusal(self) -> None:
        self._on_closed_port()
        if self._refusals >= REQUIRED_REFUSALS and self._is_due():
            self._refusals = 0
            self._on_absent()


async def check_port(address: Address) -> PortState:
    """Return whether a process of the instance listens at a TCP address.

    A connection that opens is closed at once.
    """
    try:
        with socket.socket(address_family(address[0]), socket.SOCK_STREAM) as connection:
            connection.setblocking(False)
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().sock_connect(connection, address)
    except ConnectionRefusedError:
        return PortState.CLOSED
    except OSError:
        # This includes a timeout and a lack of descriptors, which show nothing.
        return PortState.UNKNOWN
    return PortState.OPEN
