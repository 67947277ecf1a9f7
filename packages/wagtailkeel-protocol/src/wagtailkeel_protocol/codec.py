"""MessagePack encoding of datagrams."""

from __future__ import annotations

import msgspec

from wagtailkeel_protocol import gue
from wagtailkeel_protocol.malformed import Malformed
from wagtailkeel_protocol.messages import AnyDatagram

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyDatagram)


def encode_datagram(message: AnyDatagram) -> bytes:
    """Encode a message as a control datagram, with the GUE prefix."""
    return gue.CONTROL_PREFIX + _encoder.encode(message)


def decode_datagram(datagram: bytes) -> AnyDatagram | Malformed:
    """Decode a control datagram, or return why it is malformed."""
    if datagram[:4] != gue.CONTROL_PREFIX:
        return Malformed.WRONG_VERSION
    try:
        message: AnyDatagram = _decoder.decode(datagram[4:])
    except msgspec.MsgspecError:
        return Malformed.UNDECODABLE
    return message
