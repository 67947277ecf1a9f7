"""A directory entry in its transferable form."""

from __future__ import annotations

import msgspec

REFUSED_SERVER_ID = ""
"""Server id of an entry that records a refusal."""


class FlowRecord(msgspec.Struct, array_like=True, frozen=True):
    """Says which server has a flow; the server id :data:`REFUSED` records a refusal."""

    key: bytes
    server_id: str
