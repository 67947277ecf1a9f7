"""Looks up members by incarnation: a command about an earlier one must not change a later one."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wagtailkeel_state.configuration import Configuration
    from wagtailkeel_state.server_member import ServerMember


def find_incarnation(config: Configuration, server_id: str, boot_id: int) -> ServerMember | None:
    """Return the member with this server id and boot id, or None if there is none."""
    member = config.servers_by_id.get(server_id)
    return member if member is not None and member.boot_id == boot_id else None
