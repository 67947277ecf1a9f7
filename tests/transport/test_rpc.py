from __future__ import annotations

import asyncio
import contextlib
import socket
import unittest

import anyio

from wagtailkeel_protocol.messages import PullReply
from wagtailkeel_protocol.messages import PullRequest
from wagtailkeel_transport import RpcError
from wagtailkeel_transport.methods import PULL
from wagtailkeel_transport.rpc import RpcClient
from wagtailkeel_transport.rpc import RpcServer

HOST = "127.0.0.1"
TEST_TIMEOUT_S = 20.0


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


class RpcTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.port = free_port()
        self.client = RpcClient(HOST)

    async def asyncTearDown(self) -> None:
        self.client.close()

    async def answer(self, request: PullRequest) -> PullReply:
        if request.since < 0:
            await asyncio.sleep(60)
        return PullReply()

    async def start_server(self) -> RpcServer:
        server = RpcServer({PULL: self.answer})
        await server.start(HOST, self.port)
        return server

    async def call(self, since: int, timeout_s: float = 5.0) -> PullReply:
        return await self.client.call((HOST, self.port), PULL, PullRequest(since), timeout_s)

    async def test_call_returns_the_reply(self) -> None:
        server = await self.start_server()
        self.assertEqual(await self.call(0), PullReply())
        await server.close()

    async def test_a_late_reply_does_not_answer_the_next_call(self) -> None:
        """The reply to a call that timed out arrives while later calls use the same server."""

        async def answer(request: PullRequest) -> PullReply:
            await asyncio.sleep(0.2 if request.since == 1 else 0.0)
            return PullReply(compressed_snapshot=str(request.since).encode())

        server = RpcServer({PULL: answer})
        await server.start(HOST, self.port)
        with self.assertRaises(RpcError):
            await self.call(1, timeout_s=0.1)
        for since in range(2, 12):
            reply = await self.call(since)
            self.assertEqual(reply.compressed_snapshot, str(since).encode())
            await asyncio.sleep(0.02)
        await server.close()

    async def test_a_stop_waits_for_the_answers_to_calls_in_progress(self) -> None:
        """A command that is about to be committed must not be cut off without an answer."""

        async def answer(request: PullRequest) -> PullReply:
            await asyncio.sleep(0.2)
            return PullReply()

        server = RpcServer({PULL: answer})
        await server.start(HOST, self.port)
        call = asyncio.create_task(self.call(0))
        await asyncio.sleep(0.05)
        await server.drain()
        await server.close()
        self.assertEqual(await call, PullReply())

    async def test_missing_server_and_timeout_raise_rpc_error(self) -> None:
        with self.assertRaises(RpcError):
            await self.call(0)
        server = await self.start_server()
        with self.assertRaises(RpcError):
            await self.call(-1, timeout_s=0.05)
        self.assertEqual(await self.call(0), PullReply())
        await server.close()

    async def test_connect_timeout_ends_before_the_call_timeout(self) -> None:
        with socket.socket() as listener, socket.socket() as first, socket.socket() as second:
            listener.bind((HOST, self.port))
            listener.listen(0)
            for filler in (first, second):
                # These fill the listen backlog, so that the kernel drops every further SYN.
                filler.setblocking(False)
                filler.connect_ex((HOST, self.port))
            async with asyncio.timeout(TEST_TIMEOUT_S):
                with self.assertRaises(RpcError):
                    await self.call(0, timeout_s=2 * TEST_TIMEOUT_S)

    async def test_lost_connection_does_not_cancel_the_caller(self) -> None:
        """grpclib cancels the task of a lost call; the caller's next timeout must still work."""

        async def abort_connection(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.read(1)
            await asyncio.sleep(0.05)
            writer.transport.abort()

        server = await asyncio.start_server(abort_connection, HOST, self.port)
        self.assertEqual(await self.lose_connection(), 0)
        server.close()

    async def lose_connection(self) -> int:
        """Make a call whose connection is lost; return the caller's cancellation count."""
        with contextlib.suppress(RpcError):
            await self.call(-1)
        with anyio.move_on_after(0.01):
            await anyio.sleep(60)
        task = asyncio.current_task()
        return task.cancelling() if task else -1


if __name__ == "__main__":
    unittest.main()
