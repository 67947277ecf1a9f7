"""Where instances listen, by id."""

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
    """Control instances from the settings or from seeds, all other nodes from the configuration.

    With seeds, the voters of the configuration come first and the seeds after them.
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
        """Build the book; ``read_seeds`` returns the seeds as they are in the settings now."""
        return cls(settings.control_instances, store, settings.discovery, read_seeds)

    def reload_seeds(self) -> None:
        """Read the seeds again: they may have changed since the start."""
        if self._read_seeds is not None:
            self._seeds = self._read_seeds() or self._seeds

    @property
    def control_ids(self) -> list[str]:
        """Ids of the control instances, in the order of the settings."""
        if self._discovery is None:
            return list(self._control_instances_by_id)
        voters = self._store.configuration.control_identities_by_id
        return list(dict.fromkeys([*voters, *self._seeds]))

    @property
    def seeds(self) -> list[str]:
        """Ids of the seeds."""
        return list(self._seeds)

    def datagram_address(self, instance_id: str) -> Address | None:
        """Return where an instance takes datagrams.

        A former member is found too: one that only control can't hear still serves its flows.
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
        """Return where an instance takes calls."""
        control = self._control_instances_by_id.get(instance_id)
        if control is not None:
            return (control.host, control.rpc_port)
        config = self._store.configuration
        member = config.servers_by_id.get(instance_id) or config.balancers_by_id.get(instance_id)
        if member is not None:
            return (member.host, member.rpc_port)
        return (instance_id, self._discovery.rpc_port) if self._discovery else None
