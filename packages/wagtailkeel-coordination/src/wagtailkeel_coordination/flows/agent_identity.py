"""Identity of an agent."""

from __future__ import annotations

import msgspec


class AgentIdentity(msgspec.Struct, frozen=True):
    """One incarnation of the agent of one backend server."""

    server_id: str
    service: str
    data_centre: str
    slots: int
    boot_id: int
