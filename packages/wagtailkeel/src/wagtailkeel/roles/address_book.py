"""Where instances listen, by id."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wagtailkeel.roles.configuration_store import ConfigurationStore
    from wagtailkeel.settings import ControlInstanceSettings

Address = tuple[str, int]


class AddressBook:
    """Control instances from the settings, all other nodes from the configuration."""

    def __init__(
        self, control_instances: list[ControlInstanceSettings], store: ConfigurationStore
    ) -> None:
        self._control_by_id = {found.id: found for found in control_instances}
        self._store = store

    @property
    def control_ids(self) -> list[str]:
        """Ids of the control instances, in the order of the settings."""
        return list(self._control_by_id)

    def datagram_address(self, instance_id: str) -> Address | None:
        """Return where an instance takes datagrams.

        A former member is found too: one that only control can't hear still serves its flows.
        """
        control = self._control_by_id.get(instance_id)
        if control is not None:
            return (control.host, control.port)
        config = self._store.configuration
        member = (
            config.servers_by_id.get(instance_id)
            or config.balancers_by_id.get(instance_id)
            or config.former_members_by_id.get(instance_id)
        )
        return (member.host, member.port) if member else None

    def rpc_address(self, instance_id: str) -> Address | None:
        """Return where an instance takes calls."""
        control = self._control_by_id.get(instance_id)
        if control is not None:
            return (control.host, control.rpc_port)
        config = self._store.configuration
        member = config.servers_by_id.get(instance_id) or config.balancers_by_id.get(instance_id)
        return (member.host, member.rpc_port) if member else None
