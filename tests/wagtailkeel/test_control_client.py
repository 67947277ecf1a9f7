"""Guards what the command line says about the leader of control."""

from __future__ import annotations

import unittest

from tests.transport.test_rpc import HOST
from tests.transport.test_rpc import free_port
from wagtailkeel.console.control_client import ControlClient
from wagtailkeel.errors import ControlUnreachableError
from wagtailkeel_protocol.messages import CommandReply
from wagtailkeel_protocol.messages import CommandRequest
from wagtailkeel_state.commands import CreateService
from wagtailkeel_transport.methods import COMMAND
from wagtailkeel_transport.rpc import RpcServer

SHORT_DEADLINE_S = 0.1


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    """Only a follower's address is known."""

    async def test_the_error_names_the_leader(self) -> None:
        for leader_id, expected in (("control-2", "control-2"), ("", "no control instance")):
            with self.subTest(leader_id=leader_id):

                async def answer(request: CommandRequest, leader: str = leader_id) -> CommandReply:
                    return CommandReply(None, leader)

                port = free_port()
                server = RpcServer({COMMAND: answer})
                await server.start(HOST, port)
                client = ControlClient([(HOST, port)], SHORT_DEADLINE_S)
                with self.assertRaisesRegex(ControlUnreachableError, expected):
                    await client.send(CreateService(name="archive"))
                client.close()
                await server.close()


if __name__ == "__main__":
    unittest.main()
