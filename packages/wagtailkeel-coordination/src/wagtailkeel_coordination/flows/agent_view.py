"""An agent's view of the configuration and of its own membership."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination.flows.service_view import index_classes
from wagtailkeel_protocol.flow_key import endpoint_of
from wagtailkeel_state.enums import ServerState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wagtailkeel_coordination.flows.agent_identity import AgentIdentity
    from wagtailkeel_state.configuration import Configuration
    from wagtailkeel_state.server_member import ServerMember
    from wagtailkeel_state.traffic_class import TrafficClass

NOT_JOINED_INDEX = 2**31
REMOVED_MEMBER_RETENTION_S = 30.0


class AgentView:
    """The newest configuration, from the point of view of one agent."""

    def __init__(self, identity: AgentIdentity) -> None:
        self.config: Configuration | None = None
        self.classes_by_endpoint: dict[bytes, TrafficClass] = {}
        self.probe_endpoint = b""
        self.bucket_count = 0
        self.is_out_of_service = False
        self.restarted_ids: list[str] = []
        self._identity = identity
        self._boot_ids = {identity.boot_id}
        self._removed_since_by_id: dict[str, float] = {}
        self._ids_by_join_index: dict[int, str] = {}
        self._ended_ids: set[str] = set()
        self._draining_since = float("inf")
        self._is_isolated = False

    @property
    def own_id(self) -> str:
        """Id of the local backend server."""
        return self._identity.server_id

    @property
    def own_member(self) -> ServerMember | None:
        """Membership entry of the local backend server, of any incarnation."""
        return self.find_member(self.own_id)

    @property
    def joined_index(self) -> int:
        """Log index at which this incarnation joined; above all indexes until it has joined."""
        own = self.own_member
        if own is None or own.boot_id not in self._boot_ids:
            return NOT_JOINED_INDEX
        return own.joined_index

    @property
    def share(self) -> int:
        """Share of the local backend server, a weight."""
        return self.config.share_of(self.own_id) if self.config else 0

    def update(self, config: Configuration, now: float) -> None:
        """Apply a newer configuration."""
        previous_ids = set(self.config.servers_by_id) if self.config else set()
        self.config = config
        self._record_ended_servers(previous_ids)
        self._record_join_indexes()
        service = config.services_by_name.get(self._identity.service)
        self.classes_by_endpoint = index_classes(service) if service else {}
        self.probe_endpoint = next(iter(self.classes_by_endpoint), b"")
        self.bucket_count = service.bucket_count if service else 0
        self._record_removed_members(now)
        self.restarted_ids = self._list_restarted_ids()
        self.refresh(now)

    def _record_ended_servers(self, previous_ids: set[str]) -> None:
        """Record the members that were removed because they had ended: no former members."""
        assert self.config is not None, "called with a configuration"
        members = self.config.servers_by_id
        self._ended_ids.update(previous_ids - self.config.former_members_by_id.keys())
        self._ended_ids.difference_update(members)

    def has_ended(self, server_id: str) -> bool:
        """Return whether a server is known to have ended.

        A server that this agent has not seen as a member may have joined since its configuration.
        """
        return server_id in self._ended_ids

    def _record_join_indexes(self) -> None:
        """Record who joined when; the last incarnations of former members are kept."""
        assert self.config is not None, "called with a configuration"
        members = self.config.servers_by_id
        removed_ids = self.config.former_members_by_id.keys() - members.keys()
        removed = {
            index: server_id
            for index, server_id in self._ids_by_join_index.items()
            if server_id in removed_ids
        }
        joined = {
            member.joined_index: member.server_id
            for member in members.values()
            if member.service == self._identity.service
        }
        self._ids_by_join_index = removed | joined

    def find_id_by_join_index(self, joined_index: int) -> str | None:
        """Return the server whose agent's incarnation joined at a log index.

        It may have been removed since, but it is not the former incarnation of a member.
        """
        return self._ids_by_join_index.get(joined_index)

    def _record_removed_members(self, now: float) -> None:
        assert self.config is not None, "called with a configuration"
        members = self.config.servers_by_id
        removed_ids = {
            former.server_id
            for former in self.config.former_members_by_id.values()
            if former.service == self._identity.service and former.server_id not in members
        }
        self._removed_since_by_id = {
            server_id: self._removed_since_by_id.get(server_id, now) for server_id in removed_ids
        }

    def _list_restarted_ids(self) -> list[str]:
        """Return the other members whose agent was restarted, so that it may lack flows."""
        assert self.config is not None, "called with a configuration"
        former_members = self.config.former_members_by_id
        return sorted(
            server_id
            for server_id, boot_id in self.boot_ids_by_member().items()
            if server_id != self.own_id
            and server_id in former_members
            and former_members[server_id].boot_id != boot_id
        )

    @property
    def removed_ids(self) -> list[str]:
        """Removed members that may still serve their flows, however long they have been silent."""
        return sorted(self._removed_since_by_id)

    def sort_by_last_removal(self, server_ids: Iterable[str]) -> list[str]:
        """Return servers by the last removal or restart of their agents, the latest first."""
        former_members = self.config.former_members_by_id if self.config else {}

        def sort_key(server_id: str) -> tuple[int, str]:
            former = former_members.get(server_id)
            return (-former.removed_index if former else 0, server_id)

        return sorted(server_ids, key=sort_key)

    @property
    def has_removed_members(self) -> bool:
        """Whether ``removed_ids`` has any."""
        return bool(self._removed_since_by_id)

    def recently_removed_ids(self, now: float) -> list[str]:
        """Return the members that were removed within ``REMOVED_MEMBER_RETENTION_S``."""
        return [
            server_id
            for server_id, since in sorted(self._removed_since_by_id.items())
            if now - since <= REMOVED_MEMBER_RETENTION_S
        ]

    def refresh(self, now: float) -> None:
        """Update whether the local server is in service; a drain deadline may have passed."""
        if self.config is None:
            return
        is_data_centre_in_service = self.config.is_in_service(self._identity.data_centre)
        self.is_out_of_service = (
            not is_data_centre_in_service or self._is_isolated or self._has_drain_expired(now)
        )

    def set_isolated(self, is_isolated: bool, now: float) -> None:
        """Stop all service while this agent is isolated, or resume it.

        Only called if the settings require that an isolated agent stops.
        """
        self._is_isolated = is_isolated
        self.refresh(now)

    def add_incarnation(self, boot_id: int) -> None:
        """Record a boot id under which this process joins again."""
        self._boot_ids.add(boot_id)

    def had_other_incarnation(self) -> bool:
        """Return whether the local backend server had another agent process before this one.

        That process may have tracked flows that this one does not know.
        """
        if self.config is None:
            return False
        known = (self.own_member, self.config.former_members_by_id.get(self.own_id))
        return any(found is not None and found.boot_id not in self._boot_ids for found in known)

    def find_class(self, key: bytes) -> TrafficClass | None:
        """Return the class of this agent's service that a flow belongs to."""
        return self.classes_by_endpoint.get(endpoint_of(key))

    def find_member(self, server_id: str) -> ServerMember | None:
        """Return a server's membership entry."""
        return self.config.servers_by_id.get(server_id) if self.config else None

    def is_placeable(self, server_id: str) -> bool:
        """Return whether new flows may be placed on a server."""
        return self.config is not None and self.config.is_placeable(server_id)

    def boot_ids_by_member(self) -> dict[str, int]:
        """Return the boot ids of the members of this agent's service and region.

        If the region has no server left, the members of the region that serves it are included.
        """
        if self.config is None:
            return {}
        service = self._identity.service
        own_region = self.config.region_of(self._identity.data_centre)
        regions = {own_region, self.config.table_region(service, own_region)}
        return {
            member.server_id: member.boot_id
            for member in self.config.members_of(service)
            if self.config.region_of(member.data_centre) in regions
        }

    def ids_removed_since(self, epoch: int) -> set[str]:
        """Return the servers of this agent's service with an incarnation removed after an epoch."""
        if self.config is None:
            return set()
        return {
            former.server_id
            for former in self.config.former_members_by_id.values()
            if former.service == self._identity.service and former.removed_index > epoch
        }

    def _has_drain_expired(self, now: float) -> bool:
        own = self.own_member
        if own is None or own.state is not ServerState.DRAINING:
            self._draining_since = float("inf")
            return False
        self._draining_since = min(self._draining_since, now)
        return now - self._draining_since > own.drain_deadline_s
