"""An RPC server of a process that is rarely called."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import anyio

from wagtailkeel_transport.address_family import address_family
from wagtailkeel_transport.errors import BindError

if TYPE_CHECKING:
    from wagtailkeel_transport.rpc import RpcServer
    from wagtailkeel_transport.rpc_method import RpcHandlers

BACKLOG = 16


class DeferredRpcServer:
    """Listens at once, and imports grpclib when the first connection arrives."""

    def __init__(self, handlers: RpcHandlers, host: str, port: int) -> None:
        self._handlers = handlers
        self._socket = socket.socket(address_family(host), socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setblocking(False)
        try:
            self._socket.bind((host, port))
            self._socket.listen(BACKLOG)
        except OSError as error:
            self._socket.close()
            raise BindError(host, port, error) from error
        self._server: RpcServer | None = None

    async def serve(self) -> None:
        """Wait for the first connection, then accept it and all others until closed."""
        await anyio.wait_readable(self._socket)
        from wagtailkeel_transport.rpc import RpcServer

        self._server = RpcServer(self._handlers)
        await self._server.start_on(self._socket)

    async def close(self) -> None:
        """Stop listening and end the calls in progress."""
        if self._server is not None:
            await self._server.close()
        self._socket.close()
