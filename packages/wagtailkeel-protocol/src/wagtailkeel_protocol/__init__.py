"""Wire formats: packet headers, encapsulation, messages and their codec."""

from __future__ import annotations

from wagtailkeel_protocol.codec import decode_datagram
from wagtailkeel_protocol.codec import encode_datagram
from wagtailkeel_protocol.errors import MessageDecodeError
from wagtailkeel_protocol.errors import ProtocolError
from wagtailkeel_protocol.gue import DataFrame
from wagtailkeel_protocol.malformed import Malformed

__all__ = [
    "DataFrame",
    "Malformed",
    "MessageDecodeError",
    "ProtocolError",
    "decode_datagram",
    "encode_datagram",
]
