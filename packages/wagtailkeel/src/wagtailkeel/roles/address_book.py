"""Addresses of instances by id."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtailkeel.roles.configuration_store import ConfigurationStore
    from wagtailkeel.settings import ControlInstanceSettings
    from wagtailkeel.settings import DiscoverySettings
    from wagtailkeel.settings import Settings

Address = tuple[str, int]


class AddressBook:
    """Looks up control instances in the settings or seeds, other nodes in the configuration.

    With seeds, an id that is not in the configuration is taken to be the host of a control instance
    that listens on the ports of the discovery settings.
    """

    def __init__(
        self,
        control_instances: list[ControlInstanceSettings],
        store: ConfigurationStore,
        discovery: DiscoverySettings | None = None,
        read_seeds: Callable[[], list[str]] | None = None,
    ) -> None:
        self._control_instances_by_id = {instance.id: instance for instance in control_instances}
        self._store = store
        self._discovery = discovery
        self._seeds = list(discovery.seeds) if discovery else []
        self._read_seeds = read_seeds

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        store: ConfigurationStore,
        read_seeds: Callable[[], list[str]] | None = None,
    ) -> AddressBook:
        """Build the address book; ``read_seeds`` returns the seeds that the settings have now."""
        return cls(settings.control_instances, store, settings.discovery, read_seeds)

    def reload_seeds(self) -> None:
        """Read the seeds again, since they may have changed; keep the old ones if none are read."""
        if self._read_seeds is not None:
            self._seeds = self._read_seeds() or self._seeds

    @property
    def control_ids(self) -> list[str]:
        """Ids of the control instances in the settings; with seeds, of the voters, then seeds."""
        if self._discovery is None:
            return list(self._control_instances_by_id)
        voters = self._store.configuration.control_identities_by_id
        return list(dict.fromkeys([*voters, *self._seeds]))

    @property
    def seeds(self) -> list[str]:
        """Ids of the seeds."""
        return list(self._seeds)

    def datagram_address(self, instance_id: str) -> Address | None:
        """Return the address at which an instance receives datagrams, or None if it is unknown.

        Former members are included, since an agent that only control can't reach still serves
        its flows.
        """
        control = self._control_instances_by_id.get(instance_id)
        if control is not None:
            return (control.host, control.port)
        config = self._store.configuration
        member = (
            config.servers_by_id.get(instance_id)
            or config.balancers_by_id.get(instance_id)
            or config.former_members_by_id.get(instance_id)
        )
        if member is not None:
            return (member.host, member.port)
        return (instance_id, self._discovery.port) if self._discovery else None

    def rpc_address(self, instance_id: str) -> Address | None:
        """Return the address at which an instance receives RPCs, or None if it is unknown."""
        control = self._control_instances_by_id.get(instance_id)
        if control is not None:
            return (control.host, control.rpc_port)
        config = self._store.configuration
        member = config.servers_by_id.get(instance_id) or config.balancers_by_id.get(instance_id)
        if member is not None:
            return (member.host, member.rpc_port)
        return (instance_id, self._discovery.rpc_port) if self._discovery else None
