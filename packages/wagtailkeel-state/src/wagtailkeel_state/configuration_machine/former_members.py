"""Incarnations of servers that were removed or replaced, which may still hold flows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_state.server_member import FormerMember

if TYPE_CHECKING:
    from wagtailkeel_state.configuration import Configuration

MAX_RETAINED_FORMER_MEMBERS = 1_000


def retain_former_member(config: Configuration, server_id: str, index: int) -> None:
    """Record a member's incarnation before the member is removed or replaced at ``index``.

    Only the last such incarnation of each server is kept, for MAX_RETAINED_FORMER_MEMBERS servers.
    Those of servers that are members again are dropped first: their agents answer for themselves.
    """
    member = config.servers_by_id[server_id]
    former_members = config.former_members_by_id
    former_members.pop(server_id, None)
    former_members[server_id] = FormerMember(
        server_id, member.service, member.boot_id, index, member.host, member.port
    )
    while len(former_members) > MAX_RETAINED_FORMER_MEMBERS:
        is_back = (former_id for former_id in former_members if former_id in config.servers_by_id)
        del former_members[next(is_back, next(iter(former_members)))]
