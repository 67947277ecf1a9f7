"""Messages of control that agents and balancers receive alike."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING

from wagtailkeel_protocol.messages import CallInProgress
from wagtailkeel_protocol.messages import CallRejected
from wagtailkeel_protocol.messages import CallReply
from wagtailkeel_protocol.messages import Datagram
from wagtailkeel_protocol.messages import HeartbeatAck
from wagtailkeel_protocol.messages import VersionHint

if TYPE_CHECKING:
    from collections import Counter

    from wagtailkeel.roles.datagram_caller import AnyCallReply
    from wagtailkeel.roles.datagram_caller import DatagramCaller
    from wagtailkeel.roles.node_link import NodeLink


class ControlMessages:
    """Passes the messages of control to the link and the caller of one node."""

    def __init__(self, link: NodeLink, caller: DatagramCaller, counters: Counter[str]) -> None:
        self._link = link
        self._caller = caller
        self._counters = counters

    @singledispatchmethod
    def on_message(self, message: Datagram) -> None:
        """Process a message of control; any other is counted and dropped."""
        self._counters["dropped_unexpected_message"] += 1

    @on_message.register
    def _(self, message: HeartbeatAck) -> None:
        self._link.on_ack(message)

    @on_message.register
    def _(self, message: VersionHint) -> None:
        self._link.on_version_hint(message)

    @on_message.register(CallReply)
    @on_message.register(CallInProgress)
    @on_message.register(CallRejected)
    def _(self, message: AnyCallReply) -> None:
        self._caller.on_reply(message)
