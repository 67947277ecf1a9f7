"""The agents that control has removed lately because it did not hear of them.

Their servers may go on, and hold flows. An agent that has left together with its server is not one
of them: control drops it from its list of former members.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_state.configuration_machine.former_members import MAX_RETAINED_FORMER_MEMBERS

if TYPE_CHECKING:
    from collections.abc import Collection

    from wagtailkeel_state.configuration import Configuration

Address = tuple[str, int]


class _Removal(msgspec.Struct):
    """The id of a removed agent, and when its removal became known."""

    agent_id: str
    at: float


class FormerMembers:
    """Removed agents by address, each for a time after its removal became known here.

    Times are in seconds.
    """

    def __init__(self) -> None:
        self._removals_by_address: dict[Address, _Removal] = {}
        self._known_index = -1

    @property
    def addresses(self) -> frozenset[Address]:
        """The addresses of the removed agents."""
        return frozenset(self._removals_by_address)

    def update(self, config: Configuration, now: float) -> None:
        """Apply a configuration: its removals since the last one, and agents that are back."""
        for agent_id, former in config.former_members_by_id.items():
            if former.removed_index > self._known_index:
                removal = _Removal(agent_id, now)
                self._removals_by_address[(former.host, former.port)] = removal
        indexes = [former.removed_index for former in config.former_members_by_id.values()]
        self._known_index = max([self._known_index, *indexes])
        for member in config.servers_by_id.values():
            self._removals_by_address.pop((member.host, member.port), None)
        if len(config.former_members_by_id) < MAX_RETAINED_FORMER_MEMBERS:
            self._drop_all_but(config.former_members_by_id.keys())

    def _drop_all_but(self, agent_ids: Collection[str]) -> None:
        """Drop agents that control has dropped; a full list drops those that have not left too."""
        for address, removal in list(self._removals_by_address.items()):
            if removal.agent_id not in agent_ids:
                del self._removals_by_address[address]

    def expire(self, now: float, retention_s: float) -> bool:
        """Drop agents that were removed too long ago to have flows; return whether any was."""
        removals = self._removals_by_address
        expired = [address for address, r in removals.items() if now - r.at > retention_s]
        for address in expired:
            del removals[address]
        return bool(expired)
