"""Finds out whether a backend server runs, for an agent that has just started.

Load pattern: the power returns, and callers send data on flows that ended with their servers. Some
servers were about to leave and do not come back. Until their agents deny these flows, no search for
a flow can end, and an agent that only waits for a report notices a missing server after several
report intervals.
"""

from __future__ import annotations

import asyncio
import socket
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


async def check_server(
    address: Address, has_report: anyio.Event, on_absent: Callable[[], None]
) -> None:
    """Call ``on_absent`` if the server's address refuses connections before its first report."""
    refusals = 0
    while not has_report.is_set():
        refusals = refusals + 1 if await refuses_connections(address) else 0
        if refusals >= REQUIRED_REFUSALS:
            on_absent()
            return
        with anyio.move_on_after(CHECK_INTERVAL_S):
            await has_report.wait()


async def refuses_connections(address: Address) -> bool:
    """Return whether no process of the instance listens at a TCP address.

    A connection that opens is closed at once.
    """
    with socket.socket(address_family(address[0]), socket.SOCK_STREAM) as connection:
        connection.setblocking(False)
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().sock_connect(connection, address)
        except ConnectionRefusedError:
            return True
        except OSError:
            # This includes a timeout, which shows nothing.
            return False
    return False
