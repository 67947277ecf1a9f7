"""Sockets, calls between processes and the disk."""

from __future__ import annotations

from wagtailkeel_transport.data_folder import DataFolder
from wagtailkeel_transport.errors import BindError
from wagtailkeel_transport.errors import DamagedFileError
from wagtailkeel_transport.errors import DataFolderLockedError
from wagtailkeel_transport.errors import DataFolderMissingError
from wagtailkeel_transport.errors import RpcError
from wagtailkeel_transport.errors import StorageError
from wagtailkeel_transport.errors import TransportError
from wagtailkeel_transport.log_store import LogStore
from wagtailkeel_transport.rpc import RpcClient
from wagtailkeel_transport.rpc import RpcServer
from wagtailkeel_transport.udp_endpoint import UdpEndpoint

__all__ = [
    "BindError",
    "DamagedFileError",
    "DataFolder",
    "DataFolderLockedError",
    "DataFolderMissingError",
    "LogStore",
    "RpcClient",
    "RpcError",
    "RpcServer",
    "StorageError",
    "TransportError",
    "UdpEndpoint",
]
