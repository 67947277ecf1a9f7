"""Calls of a node to control instances, by their ids."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeVar

from wagtailkeel_transport import RpcError

if TYPE_CHECKING:
    from wagtailkeel.roles.address_book import AddressBook
    from wagtailkeel_transport.rpc import RpcClient
    from wagtailkeel_transport.rpc_method import RpcMethod

Request = TypeVar("Request")
Reply = TypeVar("Reply")


class ControlCaller(Protocol):
    """Calls RPC methods of other instances."""

    async def call(
        self,
        instance_id: str,
        method: RpcMethod[Request, Reply],
        request: Request,
        timeout_s: float,
    ) -> Reply:
        """Call a method; raise RpcError if the call fails or no answer arrives in time."""

    def close(self) -> None:
        """Close all connections."""


class RpcCaller:
    """Makes each call over a connection."""

    def __init__(self, address_book: AddressBook, rpc_client: RpcClient) -> None:
        self._address_book = address_book
        self._rpc_client = rpc_client

    async def call(
        self,
        instance_id: str,
        method: RpcMethod[Request, Reply],
        request: Request,
        timeout_s: float,
    ) -> Reply:
        """Call a method; raise RpcError if the call fails or the instance's address is unknown."""
        address = self._address_book.rpc_address(instance_id)
        if address is None:
            raise RpcError(f"{method.name} at {instance_id}: unknown address")
        return await self._rpc_client.call(address, method, request, timeout_s)

    def close(self) -> None:
        """Close all connections."""
        self._rpc_client.close()
