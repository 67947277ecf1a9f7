"""Membership entry of a backend server and its agent."""

from __future__ import annotations

import msgspec

from wagtailkeel_state.enums import ServerState


class ServerMember(msgspec.Struct):
    """A backend server announced by its agent; ``boot_id`` identifies the agent's incarnation."""

    server_id: str
    service: str
    data_centre: str
    host: str
    port: int
    rpc_port: int
    boot_id: int
    slots: int
    state: ServerState = ServerState.SERVING
    drain_deadline_s: float = 0.0
    joined_index: int = 0


class FormerMember(msgspec.Struct, frozen=True):
    """A removed member, whose tokens and whose server's flows may still exist."""

    server_id: str
    service: str
    boot_id: int
    removed_index: int
    host: str = ""
    port: int = 0
