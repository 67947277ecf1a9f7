"""Incarnations of servers that were removed or replaced, which may still hold flows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_state.configuration_machine.bounded_tables import retain_latest
from wagtailkeel_state.server_member import FormerMember

if TYPE_CHECKING:
    from wagtailkeel_state.configuration import Configuration

MAX_RETAINED_FORMER_MEMBERS = 1_000


def retain_former_member(config: Configuration, server_id: str, index: int) -> None:
    """Record a member's incarnation before the member is removed or replaced at ``index``.

    Only the last such incarnation of each server is kept, for MAX_RETAINED_FORMER_MEMBERS servers.
    """
    member = config.servers_by_id[server_id]
    former_member = FormerMember(
        server_id, member.service, member.boot_id, index, member.host, member.port
    )
    retain_latest(
        config.former_members_by_id, server_id, former_member, MAX_RETAINED_FORMER_MEMBERS
    )
