"""The agents that control has removed lately because it did not hear of them.

Their servers may go on, and hold flows. An agent that has left together with its server is not one
of them: control drops it from its list of former members.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_state.configuration_machine.former_members import MAX_RETAINED_FORMER_MEMBERS

if TYPE_CHECKING:
    from wagtailkeel_state.configuration import Configuration

Address = tuple[str, int]


class FormerMembers:
    """Removed agents by address, each for a time after its removal became known here.

    Times are in seconds.
    """

    def __init__(self) -> None:
        self._removed_at_by_address: dict[Address, float] = {}
        self._known_index = -1

    @property
    def addresses(self) -> frozenset[Address]:
        """The addresses of the removed agents."""
        return frozenset(self._removed_at_by_address)

    def update(self, config: Configuration, now: float) -> None:
        """Apply a configuration: its removals since the last one, and agents that are back."""
        listed = set()
        for former in config.former_members_by_id.values():
            address = (former.host, former.port)
            listed.add(address)
            if former.removed_index > self._known_index:
                self._removed_at_by_address[address] = now
        indexes = [former.removed_index for former in config.former_members_by_id.values()]
        self._known_index = max([self._known_index, *indexes])
        for member in config.servers_by_id.values():
            self._removed_at_by_address.pop((member.host, member.port), None)
        if len(config.former_members_by_id) < MAX_RETAINED_FORMER_MEMBERS:
            self._keep(listed)

    def _keep(self, listed: set[Address]) -> None:
        """Drop agents that control has dropped; a full list drops those that have not left too."""
        for address in self._removed_at_by_address.keys() - listed:
            del self._removed_at_by_address[address]

    def expire(self, now: float, retention_s: float) -> bool:
        """Drop agents that were removed too long ago to have flows; return whether any was."""
        removed_at = self._removed_at_by_address
        expired = [address for address, at in removed_at.items() if now - at > retention_s]
        for address in expired:
            del removed_at[address]
        return bool(expired)
