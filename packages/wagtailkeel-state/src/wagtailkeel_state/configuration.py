"""The replicated configuration that every node has, as of one log index."""

from __future__ import annotations

import msgspec

from wagtailkeel_state.balancer_member import BalancerMember
from wagtailkeel_state.booking import Booking
from wagtailkeel_state.commands import CommandAnswer
from wagtailkeel_state.data_centre import DataCentre
from wagtailkeel_state.enums import DataCentreState
from wagtailkeel_state.enums import ServerState
from wagtailkeel_state.routing import RoutingDocument
from wagtailkeel_state.server_member import FormerMember
from wagtailkeel_state.server_member import ServerMember
from wagtailkeel_state.server_member import ServerRecord
from wagtailkeel_state.service import Service

DEFAULT_SHARE_PER_SLOT = 1_000


class Configuration(msgspec.Struct):
    """All replicated state; only :func:`apply_entry` modifies it.

    ``index`` and ``term`` are those of the last entry applied. ``operator_version`` is the index at
    which an operator's command was last accepted or a booking last became active, and
    ``last_author`` is the author.
    """

    index: int = 0
    term: int = 0
    operator_version: int = 0
    last_author: str = ""
    services_by_name: dict[str, Service] = {}
    servers_by_id: dict[str, ServerMember] = {}
    former_members_by_id: dict[str, FormerMember] = {}
    server_records_by_agent_id: dict[str, ServerRecord] = {}
    balancers_by_id: dict[str, BalancerMember] = {}
    data_centres_by_name: dict[str, DataCentre] = {}
    bookings_by_id: dict[str, Booking] = {}
    control_identities_by_id: dict[str, str] = {}
    control_learner_ids: list[str] = []
    answers_by_command_id: dict[str, CommandAnswer] = {}
    routing: RoutingDocument = msgspec.field(default_factory=RoutingDocument)

    def is_in_service(self, data_centre: str) -> bool:
        """Return whether a data centre takes traffic; an undefined data centre does."""
        definition = self.data_centres_by_name.get(data_centre)
        return definition is None or definition.state is DataCentreState.IN_SERVICE

    def region_of(self, data_centre: str) -> str:
        """Return the region of a data centre; an undefined data centre is a region of its own."""
        definition = self.data_centres_by_name.get(data_centre)
        return definition.region if definition else data_centre

    def is_placeable(self, server_id: str) -> bool:
        """Return whether new flows may be placed on the server."""
        member = self.servers_by_id.get(server_id)
        if member is None or member.state is not ServerState.SERVING:
            return False
        return self.is_in_service(member.data_centre)

    def members_of(self, service: str) -> list[ServerMember]:
        """Return all members of a service, ordered by server id."""
        definition = self.services_by_name.get(service)
        return [self.servers_by_id[key] for key in definition.server_ids] if definition else []

    def share_of(self, server_id: str) -> int:
        """Return a server's quota weight, or 0 if it is not a member of a defined service."""
        member = self.servers_by_id.get(server_id)
        if member is None or member.service not in self.services_by_name:
            return 0
        shares = self.services_by_name[member.service].shares_by_server_id
        return shares.get(server_id, DEFAULT_SHARE_PER_SLOT * member.slots)

    def table_region(self, service: str, region: str) -> str:
        """Return the region whose servers own the buckets in the owner table of ``region``.

        This is the region itself or, if none of the service's servers there is placeable, the next
        region by name that has such a server, with the first name following the last. If there is
        none anywhere, it is the region itself, and the table is empty. All nodes with the same
        configuration compute the same region.
        """
        regions = sorted(
            {
                self.region_of(m.data_centre)
                for m in self.members_of(service)
                if self.is_placeable(m.server_id)
            }
        )
        if region in regions or not regions:
            return region
        return next((name for name in regions if name > region), regions[0])

    def table_shares(self, service: str, region: str) -> dict[str, int]:
        """Return the quota weights by id of the servers that may own buckets for a region."""
        serving_region = self.table_region(service, region)
        return {
            m.server_id: self.share_of(m.server_id)
            for m in self.members_of(service)
            if self.is_placeable(m.server_id) and self.region_of(m.data_centre) == serving_region
        }
