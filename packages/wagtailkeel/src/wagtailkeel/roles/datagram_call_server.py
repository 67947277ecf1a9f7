"""Answers calls that travel in datagrams."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from wagtailkeel_coordination.reply_parts import PARTS_IN_FLIGHT
from wagtailkeel_coordination.reply_parts import split_reply
from wagtailkeel_protocol.codec import encode_datagram
from wagtailkeel_protocol.messages import CallInProgress
from wagtailkeel_protocol.messages import CallRejected
from wagtailkeel_transport import clock
from wagtailkeel_transport.log import logger

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Awaitable
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from wagtailkeel_protocol.messages import CallPartsRequest
    from wagtailkeel_protocol.messages import CallReply
    from wagtailkeel_protocol.messages import CallRequest
    from wagtailkeel_transport.rpc_method import RpcHandlers

Address = tuple[str, int]
CallKey = tuple[Address, int]

REPLY_RETENTION_S = 2.0
MAX_CALLS_IN_PROGRESS = 4_096


class _RetainedReply:
    """A reply of several parts, which the caller requests a few at a time."""

    __slots__ = ("parts", "sent_at")

    def __init__(self, parts: list[CallReply], sent_at: float) -> None:
        self.parts = parts
        self.sent_at = sent_at


class DatagramCallServer:
    """Executes calls of idempotent methods and sends their replies, in parts if they are long."""

    def __init__(
        self,
        handlers: RpcHandlers,
        send: Callable[[bytes, Address], None],
        counters: Counter[str],
    ) -> None:
        self._handlers_by_name = {method.name: (method, h) for method, h in handlers.items()}
        self._send_datagram = send
        self._counters = counters
        self._in_progress: set[CallKey] = set()
        # In the order of ``sent_at``, so that only the first replies have to be looked at.
        self._replies_by_call: OrderedDict[CallKey, _RetainedReply] = OrderedDict()

    def on_request(self, message: CallRequest, source: Address, tasks: TaskGroup) -> None:
        """Execute a call, unless it is in progress or its reply is retained."""
        call = (source, message.call_id)
        self._remove_old_replies()
        retained = self._replies_by_call.get(call)
        if call in self._in_progress:
            self._send(CallInProgress(message.call_id), source)
        elif retained is not None:
            self._send_parts(retained, range(PARTS_IN_FLIGHT), source)
        elif message.method not in self._handlers_by_name:
            self._reject(call, f"unknown method {message.method}")
        elif len(self._in_progress) >= MAX_CALLS_IN_PROGRESS:
            self._reject(call, "too many calls are in progress")
        else:
            self._execute(message, call, tasks)

    def on_parts_request(self, message: CallPartsRequest, source: Address) -> None:
        """Send parts of a retained reply; without the reply, the caller will call again."""
        call = (source, message.call_id)
        retained = self._replies_by_call.get(call)
        if retained is None:
            self._reject(call, "the reply is not retained any more")
            return
        retained.sent_at = clock.seconds()
        self._replies_by_call.move_to_end(call)
        self._send_parts(retained, message.parts[:PARTS_IN_FLIGHT], source)

    def _execute(self, message: CallRequest, call: CallKey, tasks: TaskGroup) -> None:
        method, handler = self._handlers_by_name[message.method]
        try:
            request = msgspec.msgpack.decode(message.body, type=method.request_type)
        except msgspec.MsgspecError as error:
            self._reject(call, str(error))
            return
        self._counters["datagram_calls"] += 1
        self._in_progress.add(call)
        tasks.start_soon(self._answer, call, handler, request)

    async def _answer(
        self, call: CallKey, handler: Callable[[Any], Awaitable[Any]], request: Any
    ) -> None:
        source, call_id = call
        try:
            reply = await handler(request)
        except Exception:
            # One failed call must not end the role.
            logger.exception("a call of {} failed", source)
            self._reject(call, "the call failed; see the log of the instance called")
            return
        finally:
            self._in_progress.discard(call)
        parts = split_reply(call_id, msgspec.msgpack.encode(reply))
        if not parts:
            self._send(CallRejected(call_id, "the reply is too large", is_too_large=True), source)
            return
        retained = _RetainedReply(parts, clock.seconds())
        if len(parts) > 1:
            self._replies_by_call[call] = retained
            self._replies_by_call.move_to_end(call)
        self._send_parts(retained, range(PARTS_IN_FLIGHT), source)

    def _remove_old_replies(self) -> None:
        oldest = clock.seconds() - REPLY_RETENTION_S
        while self._replies_by_call:
            first = next(iter(self._replies_by_call.values()))
            if first.sent_at >= oldest:
                return
            self._replies_by_call.popitem(last=False)

    def _send_parts(
        self, retained: _RetainedReply, parts: range | list[int], source: Address
    ) -> None:
        for part in parts:
            if 0 <= part < len(retained.parts):
                self._send(retained.parts[part], source)

    def _reject(self, call: CallKey, reason: str) -> None:
        source, call_id = call
        self._counters["datagram_calls_rejected"] += 1
        self._send(CallRejected(call_id, reason), source)

    def _send(self, message: CallReply | CallInProgress | CallRejected, address: Address) -> None:
        datagram = encode_datagram(message)
        self._counters["control_bytes_sent"] += len(datagram)
        self._send_datagram(datagram, address)
