"""A directory entry, in the form in which agents transfer it."""

from __future__ import annotations

import msgspec

REFUSED_SERVER_ID = ""
"""Server id in an entry that records that a flow was refused."""


class FlowRecord(msgspec.Struct, array_like=True, frozen=True):
    """The server that has a flow, or :data:`REFUSED_SERVER_ID` if the flow was refused."""

    key: bytes
    server_id: str
