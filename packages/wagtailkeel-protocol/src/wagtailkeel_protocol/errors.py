"""Errors of the protocol layer."""

from __future__ import annotations


class ProtocolError(Exception):
    """Base of all errors of this layer."""


class MessageDecodeError(ProtocolError):
    """A datagram or RPC body does not decode to a known message."""
