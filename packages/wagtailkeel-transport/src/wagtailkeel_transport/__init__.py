"""Sockets, RPC between processes, the HTTP server and disk storage.

RPC is imported from its own module, since most of its import is that of grpclib.
"""

from __future__ import annotations

from wagtailkeel_transport.errors import BindError
from wagtailkeel_transport.errors import DamagedFileError
from wagtailkeel_transport.errors import DataFolderLockedError
from wagtailkeel_transport.errors import DataFolderMissingError
from wagtailkeel_transport.errors import RpcError
from wagtailkeel_transport.errors import StorageError
from wagtailkeel_transport.errors import TransportError
from wagtailkeel_transport.udp_endpoint import UdpEndpoint

__all__ = [
    "BindError",
    "DamagedFileError",
    "DataFolderLockedError",
    "DataFolderMissingError",
    "RpcError",
    "StorageError",
    "TransportError",
    "UdpEndpoint",
]
