"""Wire formats: packet headers, encapsulation, messages and their encoding."""

from __future__ import annotations

from wagtailkeel_protocol.codec import decode_datagram
from wagtailkeel_protocol.codec import encode_datagram
from wagtailkeel_protocol.gue import DataFrame
from wagtailkeel_protocol.malformed import Malformed

__all__ = [
    "DataFrame",
    "Malformed",
    "decode_datagram",
    "encode_datagram",
]
