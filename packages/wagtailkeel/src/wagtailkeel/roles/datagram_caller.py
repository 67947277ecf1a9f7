"""Calls that travel in datagrams: a node needs no connection, and no grpclib, to join and pull."""

from __future__ import annotations

from functools import singledispatchmethod
from random import SystemRandom
from typing import TYPE_CHECKING
from typing import TypeVar

import anyio
import msgspec

from wagtailkeel.roles.control_caller import RpcCaller
from wagtailkeel_coordination.reply_parts import ReplyAssembly
from wagtailkeel_protocol.codec import encode_datagram
from wagtailkeel_protocol.messages import CallInProgress
from wagtailkeel_protocol.messages import CallPartsRequest
from wagtailkeel_protocol.messages import CallRejected
from wagtailkeel_protocol.messages import CallReply
from wagtailkeel_protocol.messages import CallRequest
from wagtailkeel_transport import RpcError
from wagtailkeel_transport import clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtailkeel.roles.address_book import AddressBook
    from wagtailkeel_protocol.messages import AnyDatagram
    from wagtailkeel_transport.rpc_method import RpcMethod

Address = tuple[str, int]
Request = TypeVar("Request")
Reply = TypeVar("Reply")
AnyCallReply = CallReply | CallInProgress | CallRejected

MIN_RETRY_INTERVAL_S = 0.1
MAX_RETRY_INTERVAL_S = 0.4
SILENCE_TIMEOUT_S = 0.3
"""An instance that has answered neither the request nor its first retry is taken to be down."""
EXECUTION_SILENCE_TIMEOUT_S = 1.0
"""An instance that was executing the call has stopped if it answers no retry for this long."""

CALL_ID_BITS = 53


class _Call:
    """A call that waits for its reply."""

    def __init__(self, request: CallRequest, address: Address) -> None:
        self.call_id = request.call_id
        self.datagram = encode_datagram(request)
        self.address = address
        self.assembly = ReplyAssembly()
        self.heard_at = float("-inf")
        self.retry_interval_s = MIN_RETRY_INTERVAL_S
        self.rejection: CallRejected | None = None
        self.done = anyio.Event()

    def is_unheard(self, started_at: float, now: float) -> bool:
        """Return whether the instance called has not answered retries that it should have."""
        if self.heard_at < started_at:
            return now - started_at >= SILENCE_TIMEOUT_S
        return now - self.heard_at >= EXECUTION_SILENCE_TIMEOUT_S


class DatagramCaller:
    """Makes each call in datagrams; if the reply is too large for that, over a connection.

    Requests are sent again until a reply arrives, so that methods have to be idempotent.
    """

    def __init__(
        self,
        address_book: AddressBook,
        send: Callable[[bytes, Address], None],
        source_host: str,
    ) -> None:
        self._address_book = address_book
        self._send = send
        self._source_host = source_host
        self._calls_by_id: dict[int, _Call] = {}
        # Random, since replies to calls of an earlier process may still arrive at its address.
        self._last_call_id = SystemRandom().getrandbits(CALL_ID_BITS)
        self._rpc_caller: RpcCaller | None = None

    async def call(
        self,
        instance_id: str,
        method: RpcMethod[Request, Reply],
        request: Request,
        timeout_s: float,
    ) -> Reply:
        """Call a method; raise RpcError if it is rejected or no answer arrives in time."""
        address = self._address_book.datagram_address(instance_id)
        target = f"{method.name} at {instance_id}"
        if address is None:
            raise RpcError(f"{target}: unknown address")
        self._last_call_id += 1
        body = msgspec.msgpack.encode(request)
        call = _Call(CallRequest(self._last_call_id, method.name, body), address)
        self._calls_by_id[call.call_id] = call
        try:
            await self._wait_for_reply(call, target, timeout_s)
        finally:
            del self._calls_by_id[call.call_id]
        if call.rejection is not None:
            if call.rejection.is_too_large:
                return await self._call_over_connection(instance_id, method, request, timeout_s)
            raise RpcError(f"{target}: {call.rejection.reason}")
        try:
            reply: Reply = msgspec.msgpack.decode(call.assembly.body, type=method.reply_type)
        except msgspec.MsgspecError as error:
            raise RpcError(f"{target}: {error}") from error
        return reply

    async def _wait_for_reply(self, call: _Call, target: str, timeout_s: float) -> None:
        started_at = clock.seconds()
        self._send(call.datagram, call.address)
        while True:
            with anyio.move_on_after(call.retry_interval_s):
                await call.done.wait()
                return
            now = clock.seconds()
            waited_s = now - started_at
            if waited_s >= timeout_s or call.is_unheard(started_at, now):
                raise RpcError(f"{target}: no answer within {waited_s:.2f} s")
            self._send_again(call)
            call.retry_interval_s = min(2 * call.retry_interval_s, MAX_RETRY_INTERVAL_S)

    def _send_again(self, call: _Call) -> None:
        lost_parts = call.assembly.lost_parts()
        if lost_parts:
            self._request_parts(call, lost_parts)
        else:
            self._send(call.datagram, call.address)

    def _request_parts(self, call: _Call, parts: list[int]) -> None:
        self._send(encode_datagram(CallPartsRequest(call.call_id, parts)), call.address)

    async def _call_over_connection(
        self,
        instance_id: str,
        method: RpcMethod[Request, Reply],
        request: Request,
        timeout_s: float,
    ) -> Reply:
        if self._rpc_caller is None:
            from wagtailkeel_transport.rpc import RpcClient

            self._rpc_caller = RpcCaller(self._address_book, RpcClient(self._source_host))
        return await self._rpc_caller.call(instance_id, method, request, timeout_s)

    def close(self) -> None:
        """Close all connections."""
        if self._rpc_caller is not None:
            self._rpc_caller.close()

    def on_reply(self, message: AnyCallReply) -> None:
        """Process a datagram of an instance that was called; ignore it if the call has ended."""
        call = self._calls_by_id.get(message.call_id)
        if call is not None and not call.done.is_set():
            call.heard_at = clock.seconds()
            self._on_reply(message, call)

    @singledispatchmethod
    def _on_reply(self, message: AnyDatagram, call: _Call) -> None:
        """Process a reply according to its type; a call in progress only has to be waited for."""

    @_on_reply.register
    def _(self, message: CallReply, call: _Call) -> None:
        call.retry_interval_s = MIN_RETRY_INTERVAL_S
        parts = call.assembly.add(message)
        if call.assembly.is_complete:
            call.done.set()
        elif parts:
            self._request_parts(call, parts)

    @_on_reply.register
    def _(self, message: CallRejected, call: _Call) -> None:
        call.rejection = message
        call.done.set()
