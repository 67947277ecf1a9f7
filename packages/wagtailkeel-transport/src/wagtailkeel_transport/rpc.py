"""RPC between processes: gRPC framing with a MessagePack codec."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

import msgspec
from grpclib.client import Channel
from grpclib.client import UnaryUnaryMethod
from grpclib.const import Cardinality
from grpclib.const import Handler
from grpclib.const import Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError
from grpclib.exceptions import ProtocolError
from grpclib.exceptions import StreamTerminatedError
from grpclib.server import Server
from grpclib.server import Stream

from wagtailkeel_transport.errors import BindError
from wagtailkeel_transport.errors import RpcError
from wagtailkeel_transport.requests_in_progress import RequestsInProgress
from wagtailkeel_transport.rpc_method import RpcHandlers
from wagtailkeel_transport.rpc_method import RpcMethod

if TYPE_CHECKING:
    import socket

Request = TypeVar("Request")
Reply = TypeVar("Reply")

CALL_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 0.25
"""A powered-off instance does not answer the SYN, which the kernel repeats only after 1 s."""

DRAIN_TIMEOUT_S = 1.0
"""A stop waits this long at most for the answers to the calls in progress."""

_CALL_ERRORS = (GRPCError, ProtocolError, StreamTerminatedError, OSError)


class MessagePackCodec(CodecBase):
    """Encodes and decodes message structs with msgspec."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a message."""
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode a message; if that fails, the call ends with INVALID_ARGUMENT."""
        try:
            return msgspec.msgpack.decode(data, type=message_type)
        except msgspec.MsgspecError as error:
            raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error


class _Service:
    def __init__(self, handlers: RpcHandlers, in_progress: RequestsInProgress) -> None:
        self._handlers = handlers
        self._in_progress = in_progress

    def __mapping__(self) -> dict[str, Handler]:
        return {
            method.path: Handler(
                _adapt_handler(handler, self._in_progress),
                Cardinality.UNARY_UNARY,
                method.request_type,
                method.reply_type,
            )
            for method, handler in self._handlers.items()
        }


def _adapt_handler(
    handler: Callable[[Any], Awaitable[Any]], in_progress: RequestsInProgress
) -> Callable[[Stream[Any, Any]], Awaitable[None]]:
    async def handle_stream(stream: Stream[Any, Any]) -> None:
        request = await stream.recv_message()
        if request is None:
            return
        with in_progress.track():
            await stream.send_message(await handler(request))

    return handle_stream


class RpcServer:
    """Serves the RPC methods of one role."""

    def __init__(self, handlers: RpcHandlers) -> None:
        self._in_progress = RequestsInProgress()
        self._server = Server([_Service(handlers, self._in_progress)], codec=MessagePackCodec())

    async def start(self, host: str, port: int) -> None:
        """Bind to an address and listen."""
        try:
            await self._server.start(host, port)
        except OSError as error:
            raise BindError(host, port, error) from error

    async def start_on(self, listener: socket.socket) -> None:
        """Accept connections of a socket that listens already."""
        await self._server.start(sock=listener)

    async def drain(self) -> None:
        """Wait for the answers to the calls in progress."""
        await self._in_progress.wait_until_answered(DRAIN_TIMEOUT_S)

    async def close(self) -> None:
        """Stop listening and end the calls in progress."""
        self._server.close()
        await self._server.wait_closed()


class _BoundChannel(Channel):
    """A channel whose connections use the instance's own address as their source."""

    def __init__(self, host: str, port: int, source_host: str) -> None:
        super().__init__(host, port, codec=MessagePackCodec())
        self._source_host = source_host

    async def _create_connection(self) -> Any:
        _, protocol = await self._loop.create_connection(
            self._protocol_factory,
            self._host,
            self._port,
            local_addr=(self._source_host, 0) if self._source_host else None,
        )
        return protocol


class RpcClient:
    """Calls other processes over one connection each, opened on the first call.

    The connections use ``source_host`` as their source address, if one is given.
    """

    def __init__(self, source_host: str = "") -> None:
        self._source_host = source_host
        self._channels_by_address: dict[tuple[str, int], Channel] = {}

    async def call(
        self,
        address: tuple[str, int],
        method: RpcMethod[Request, Reply],
        request: Request,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Reply:
        """Call a method; raise RpcError if the call fails or no answer arrives in time."""
        channel = self._channels_by_address.get(address)
        if channel is None:
            channel = _BoundChannel(*address, self._source_host)
            self._channels_by_address[address] = channel
        grpc_method: UnaryUnaryMethod[Request, Reply] = UnaryUnaryMethod(
            channel, method.path, method.request_type, method.reply_type
        )
        # The call runs in a separate task: when a connection is lost, grpclib cancels the calling
        # task without resetting its cancellation count, which would end the caller's next timeout.
        task: asyncio.Task[Reply | None]
        task = asyncio.create_task(_connect_and_call(channel, grpc_method, request))
        try:
            await asyncio.wait({task}, timeout=timeout_s)
        finally:
            is_done = task.done()
            task.cancel()
            task.add_done_callback(_retrieve_exception)
        target = f"{method.name} at {address[0]}:{address[1]}"
        if not is_done:
            self._close_channel(address, channel)
            raise RpcError(f"{target}: no answer within {timeout_s:g} s")
        try:
            reply = task.result()
        except (*_CALL_ERRORS, asyncio.CancelledError) as error:
            self._close_channel(address, channel)
            raise RpcError(f"{target}: {error!r}") from error
        if reply is None:
            raise RpcError(f"{target}: empty answer")
        return reply

    def _close_channel(self, address: tuple[str, int], channel: Channel) -> None:
        """Close a connection that may no longer work; the next call opens a new one."""
        if self._channels_by_address.get(address) is channel:
            del self._channels_by_address[address]
        channel.close()

    def close(self) -> None:
        """Close all connections."""
        for address, channel in list(self._channels_by_address.items()):
            self._close_channel(address, channel)


async def _connect_and_call(
    channel: Channel, grpc_method: UnaryUnaryMethod[Any, Any], request: Any
) -> Any:
    await asyncio.wait_for(channel.__connect__(), CONNECT_TIMEOUT_S)
    return await grpc_method(request)


def _retrieve_exception(task: asyncio.Task[Any]) -> None:
    """Retrieve an abandoned call's exception, so that asyncio does not log it as unretrieved."""
    if not task.cancelled():
        task.exception()
