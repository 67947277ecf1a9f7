"""Calls in datagrams between a node and a control instance, over a network that loses some."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
import unittest
from collections import Counter
from functools import partial
from random import Random
from typing import TYPE_CHECKING
from typing import Any
from unittest.mock import Mock
from unittest.mock import patch

import anyio
import msgspec

from wagtailkeel.roles import datagram_call_server
from wagtailkeel.roles.datagram_call_server import REPLY_RETENTION_S
from wagtailkeel.roles.datagram_call_server import DatagramCallServer
from wagtailkeel.roles.datagram_caller import DatagramCaller
from wagtailkeel_protocol.codec import decode_datagram
from wagtailkeel_protocol.messages import CallInProgress
from wagtailkeel_protocol.messages import CallPartsRequest
from wagtailkeel_protocol.messages import CallRejected
from wagtailkeel_protocol.messages import CallReply
from wagtailkeel_protocol.messages import CallRequest
from wagtailkeel_protocol.messages import LeaveRequest
from wagtailkeel_protocol.messages import PullReply
from wagtailkeel_protocol.messages import PullRequest
from wagtailkeel_transport import RpcError
from wagtailkeel_transport import clock
from wagtailkeel_transport.methods import LEAVE
from wagtailkeel_transport.methods import PULL
from wagtailkeel_transport.rpc import RpcServer

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

HOST = "127.0.0.1"
NODE = (HOST, 7_001)
CONTROL = (HOST, 7_002)
CONTROL_ID = "control-1"
CALL_TIMEOUT_S = 5.0
TEST_TIMEOUT_S = 30.0


class DatagramCallsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.random = Random(7)
        self.loss = 0.0
        self.executions = 0
        self.delay_s = 0.0
        self.reply_bytes = 10
        self.tasks = Mock()
        self.tasks.start_soon = self.start_soon
        self.started: set[asyncio.Task[None]] = set()
        address_book = Mock()
        address_book.datagram_address.side_effect = {CONTROL_ID: CONTROL}.get
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            self.rpc_address = probe.getsockname()
        address_book.rpc_address.return_value = self.rpc_address
        self.caller = DatagramCaller(address_book, self.to_control, HOST)
        self.server = DatagramCallServer({PULL: self.answer}, self.to_node, Counter())

    def start_soon(self, function: Callable[..., Coroutine[Any, Any, None]], *args: Any) -> None:
        self.started.add(asyncio.create_task(function(*args)))

    async def answer(self, request: PullRequest) -> PullReply:
        self.executions += 1
        await asyncio.sleep(self.delay_s)
        if request.since < 0:
            raise ValueError("planted failure")
        return PullReply(compressed_snapshot=Random(request.since).randbytes(self.reply_bytes))

    def to_control(self, datagram: bytes, address: tuple[str, int]) -> None:
        self.assertEqual(address, CONTROL)
        message = decode_datagram(datagram)
        if isinstance(message, CallRequest):
            self.deliver(self.server.on_request, message, NODE, self.tasks)
        else:
            assert isinstance(message, CallPartsRequest)
            self.deliver(self.server.on_parts_request, message, NODE)

    def to_node(self, datagram: bytes, address: tuple[str, int]) -> None:
        self.assertEqual(address, NODE)
        message = decode_datagram(datagram)
        assert isinstance(message, CallReply | CallInProgress | CallRejected)
        self.deliver(self.caller.on_reply, message)

    @staticmethod
    def record(sent: list[bytes], datagram: bytes, address: tuple[str, int]) -> None:
        sent.append(datagram)

    def deliver(self, handle: Callable[..., None], *arguments: Any) -> None:
        if self.random.random() >= self.loss:
            asyncio.get_running_loop().call_soon(handle, *arguments)

    async def pull(self, since: int, control_id: str = CONTROL_ID) -> PullReply:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            request = PullRequest(since, accepts_compressed=True)
            return await self.caller.call(control_id, PULL, request, CALL_TIMEOUT_S)

    async def test_replies(self) -> None:
        table = [
            ("short", 10, 0.0, 0.0),
            ("in several parts", 40_000, 0.0, 0.0),
            ("later than an unanswered call would end", 10, 0.0, 0.7),
        ]
        for since, (name, self.reply_bytes, self.loss, self.delay_s) in enumerate(table):
            with self.subTest(name):
                reply = await self.pull(since)
                expected = Random(since).randbytes(self.reply_bytes)
                self.assertEqual(reply.compressed_snapshot, expected)

    async def test_lossy_links(self) -> None:
        """With half of all datagrams lost some calls are given up; the node then calls again."""
        self.reply_bytes = 8_000
        self.loss = 0.5
        for since in range(5):
            reply = None
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while reply is None:
                    with contextlib.suppress(RpcError):
                        reply = await self.pull(since)
            expected = Random(since).randbytes(self.reply_bytes)
            self.assertEqual(reply.compressed_snapshot, expected)

    async def test_a_slow_call_is_executed_once(self) -> None:
        """The caller sends the request again while control waits for an election to end."""
        self.delay_s = 0.7
        await self.pull(1)
        self.assertEqual(self.executions, 1)

    async def test_a_silent_instance_is_given_up_early(self) -> None:
        """A node that starts while one control instance is down goes on to the next."""
        self.loss = 1.0
        started_at = time.monotonic()
        with self.assertRaises(RpcError):
            await self.pull(1)
        self.assertLess(time.monotonic() - started_at, CALL_TIMEOUT_S)

    async def test_an_instance_that_stops_while_it_executes_a_call_is_given_up(self) -> None:
        """A control instance is killed while a node waits for its join to be committed."""
        self.delay_s = 60.0
        started_at = time.monotonic()
        asyncio.get_running_loop().call_later(0.5, setattr, self, "loss", 1.0)
        with self.assertRaises(RpcError):
            await self.pull(1)
        self.assertLess(time.monotonic() - started_at, CALL_TIMEOUT_S)

    async def test_errors(self) -> None:
        with self.assertRaisesRegex(RpcError, "unknown address"):
            await self.pull(1, "control-9")
        with self.assertRaisesRegex(RpcError, "the call failed"):
            await self.pull(-1)
        with self.assertRaisesRegex(RpcError, "unknown method Leave"):
            await self.caller.call(CONTROL_ID, LEAVE, LeaveRequest("a", 1), CALL_TIMEOUT_S)

    async def test_a_reply_too_large_for_datagrams_takes_a_connection(self) -> None:
        self.reply_bytes = 200_000
        server = RpcServer({PULL: self.answer})
        await server.start(*self.rpc_address)
        reply = await self.pull(3)
        self.assertEqual(reply.compressed_snapshot, Random(3).randbytes(self.reply_bytes))
        self.caller.close()
        await server.close()

    async def test_malformed_requests_are_rejected(self) -> None:
        table: list[tuple[str, CallRequest | CallPartsRequest]] = [
            ("unknown method", CallRequest(1, "Nothing", b"")),
            ("undecodable body", CallRequest(2, "Pull", b"\xc1")),
            ("parts of no reply", CallPartsRequest(3, [0, -1, 10**9])),
        ]
        for name, message in table:
            with self.subTest(name):
                sent: list[bytes] = []
                record = partial(self.record, sent)
                server = DatagramCallServer({PULL: self.answer}, record, Counter())
                if isinstance(message, CallRequest):
                    server.on_request(message, NODE, Mock())
                else:
                    server.on_parts_request(message, NODE)
                replies = [decode_datagram(datagram) for datagram in sent]
                self.assertEqual([type(reply) for reply in replies], [CallRejected])


class CountingReply(datagram_call_server._RetainedReply):
    """Counts how often the age of any retained reply is read."""

    __slots__ = ()
    reads = 0

    def __getattribute__(self, name: str) -> Any:
        if name == "sent_at":
            CountingReply.reads += 1
        return super().__getattribute__(name)


class RetainedRepliesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.now = 100.0
        patches = (
            patch.object(clock, "seconds", lambda: self.now),
            patch.object(datagram_call_server, "_RetainedReply", CountingReply),
        )
        for replaced in patches:
            replaced.start()
            self.addCleanup(replaced.stop)
        self.sent: list[bytes] = []
        self.server = DatagramCallServer({PULL: self.answer}, self.record, Counter())

    async def answer(self, request: PullRequest) -> PullReply:
        return PullReply(compressed_snapshot=Random(1).randbytes(40_000))

    def record(self, datagram: bytes, address: tuple[str, int]) -> None:
        self.sent.append(datagram)

    async def call(self, call_id: int) -> None:
        request = CallRequest(call_id, PULL.name, msgspec.msgpack.encode(PullRequest(0)))
        async with anyio.create_task_group() as tasks:
            self.server.on_request(request, NODE, tasks)

    def is_retained(self, call_id: int) -> bool:
        self.sent.clear()
        self.server.on_parts_request(CallPartsRequest(call_id, [0]), NODE)
        return isinstance(decode_datagram(self.sent[0]), CallReply)

    async def test_a_request_does_not_look_through_all_retained_replies(self) -> None:
        """While many nodes join at once, each request took time in proportion to the others."""
        for call_id in range(200):
            await self.call(call_id)
        CountingReply.reads = 0
        await self.call(1_000)
        self.assertLessEqual(CountingReply.reads, 1)

    async def test_replies_are_removed_by_the_time_of_their_last_use(self) -> None:
        """A caller that goes on requesting parts would lose its reply, or the others would stay."""
        for call_id in (1, 2, 3):
            await self.call(call_id)
        self.now += REPLY_RETENTION_S / 2
        self.assertTrue(self.is_retained(1))
        self.now += REPLY_RETENTION_S / 2 + 0.1
        await self.call(4)
        found = [call_id for call_id in (1, 2, 3, 4) if self.is_retained(call_id)]
        self.assertEqual(found, [1, 4])


if __name__ == "__main__":
    unittest.main()
