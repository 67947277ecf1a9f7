"""Names and types of RPC methods, whichever transport carries the calls."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import Generic
from typing import TypeVar

Request = TypeVar("Request")
Reply = TypeVar("Reply")

SERVICE_PATH = "/wagtailkeel.Node/"


class RpcMethod(Generic[Request, Reply]):
    """The name of an RPC method and the types of its request and reply."""

    __slots__ = ("name", "reply_type", "request_type")

    def __init__(self, name: str, request_type: Any, reply_type: Any) -> None:
        self.name = name
        self.request_type = request_type
        self.reply_type = reply_type

    @property
    def path(self) -> str:
        """The gRPC path of the method."""
        return SERVICE_PATH + self.name


RpcHandlers = Mapping[RpcMethod[Any, Any], Callable[[Any], Awaitable[Any]]]
