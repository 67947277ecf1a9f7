"""Application payloads that callers and backend servers exchange."""

from __future__ import annotations

import msgspec


class RequestPayload(msgspec.Struct, array_like=True, tag="q"):
    """A request; ``work_ms`` is its service time on a server of speed 1, 0 for a keep-alive."""

    request_id: int
    work_ms: float
    parts: int
    is_idempotent: bool


class AnswerPayload(msgspec.Struct, array_like=True, tag="a"):
    """One part of an answer."""

    request_id: int
    part: int
    parts: int
    server_id: str
    service: str


Payload = RequestPayload | AnswerPayload

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Payload)


def encode_payload(payload: Payload) -> bytes:
    """Return the payload as bytes that follow a TCP or UDP header."""
    return _encoder.encode(payload)


def decode_payload(body: bytes) -> Payload | None:
    """Return the decoded payload, or None if the bytes are not a valid payload."""
    try:
        payload: Payload = _decoder.decode(body)
    except msgspec.MsgspecError:
        return None
    return payload
