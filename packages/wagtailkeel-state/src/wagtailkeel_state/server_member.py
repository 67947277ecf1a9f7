"""Membership entry of a backend server and its agent."""

from __future__ import annotations

import msgspec

from wagtailkeel_state.enums import ServerState


class ServerMember(msgspec.Struct):
    """A backend server announced by its agent; ``boot_id`` identifies the agent's incarnation.

    ``slots`` is the number of requests that the server processes in parallel. ``drain_deadline_s``
    is how many seconds a drain may take, and ``joined_index`` the log index at which the
    incarnation joined.
    """

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


class ServerIncarnation(msgspec.Struct, frozen=True):
    """One start of a backend server; ``started_at_ms`` is by the server's clock, 0 if unknown.

    A server may start again under its id, and its clock may be set between two starts.
    """

    server_id: str
    started_at_ms: int


class ServerRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """What an agent has acknowledged to its backend server, which binds its later processes.

    ``incarnation`` is the one that runs, and ``sequence`` the number of its report that led to this
    record. ``ended`` are other incarnations, whose reports may still arrive.
    """

    incarnation: ServerIncarnation
    sequence: int
    is_draining: bool = False
    ended: tuple[ServerIncarnation, ...] = ()


class FormerMember(msgspec.Struct, frozen=True):
    """The last incarnation that was removed, or replaced by the next incarnation of the agent.

    Its tokens and its server's flows may still exist. ``removed_index`` is the log index of the
    removal or replacement.
    """

    server_id: str
    service: str
    boot_id: int
    removed_index: int
    host: str = ""
    port: int = 0
