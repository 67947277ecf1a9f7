from __future__ import annotations

import asyncio
import socket
import unittest

from wagtailkeel_protocol.messages import PullReply
from wagtailkeel_protocol.messages import PullRequest
from wagtailkeel_transport import BindError
from wagtailkeel_transport.deferred_rpc_server import DeferredRpcServer
from wagtailkeel_transport.methods import PULL
from wagtailkeel_transport.rpc import RpcClient

HOST = "127.0.0.1"


def listening_socket() -> socket.socket:
    listener = socket.socket()
    listener.bind((HOST, 0))
    return listener


class DeferredRpcServerTest(unittest.IsolatedAsyncioTestCase):
    async def answer(self, request: PullRequest) -> PullReply:
        return PullReply(compressed_snapshot=str(request.since).encode())

    async def test_the_first_and_later_connections_are_answered(self) -> None:
        with listening_socket() as probe:
            port = probe.getsockname()[1]
        server = DeferredRpcServer({PULL: self.answer}, HOST, port)
        serving = asyncio.create_task(server.serve())
        for since in range(3):
            client = RpcClient(HOST)
            reply = await client.call((HOST, port), PULL, PullRequest(since))
            self.assertEqual(reply.compressed_snapshot, str(since).encode())
            client.close()
        await serving
        await server.close()

    async def test_a_port_in_use_is_reported(self) -> None:
        with listening_socket() as listener:
            listener.listen()
            with self.assertRaises(BindError):
                DeferredRpcServer({PULL: self.answer}, HOST, listener.getsockname()[1])

    async def test_it_closes_without_a_connection(self) -> None:
        with listening_socket() as probe:
            port = probe.getsockname()[1]
        server = DeferredRpcServer({PULL: self.answer}, HOST, port)
        await server.close()
        with listening_socket(), socket.socket() as other:
            other.bind((HOST, port))


if __name__ == "__main__":
    unittest.main()
