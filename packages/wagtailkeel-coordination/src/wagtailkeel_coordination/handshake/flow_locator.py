"""The part of a directory owner that finds flows of which it has no entry.

It asks for a copy of the entry, then queries the agents that may have the flow, itself or through
the searcher of its data centre. If all deny it, it ended with its server and is reset.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination import events
from wagtailkeel_coordination.events import flow_id
from wagtailkeel_coordination.handshake.directory_copies import DirectoryCopies
from wagtailkeel_coordination.handshake.flow_search import FlowSearches
from wagtailkeel_coordination.handshake.search_batches import SearchBatches
from wagtailkeel_coordination.handshake.search_batches import hash_agents
from wagtailkeel_coordination.token_bucket import TokenBucket
from wagtailkeel_protocol.malformed import Malformed
from wagtailkeel_protocol.relay import RelayKind

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Mapping

    from wagtailkeel_coordination.handshake.flow_holder import FlowHolder
    from wagtailkeel_coordination.handshake.flow_pointers import FlowPointers
    from wagtailkeel_coordination.handshake.member import Member
    from wagtailkeel_coordination.handshake.router_context import RouterContext
    from wagtailkeel_protocol.messages import FlowLocations
    from wagtailkeel_protocol.messages import FlowQueryReply
    from wagtailkeel_protocol.messages import SearchReply

Address = tuple[str, int]

DEFAULT_QUERIES_PER_S = 100.0
"""A search queries each agent that may have the flow: the more agents, the fewer searches."""
QUERY_BURST_S = 1.0
MAX_LOGGED_AGENTS = 4


class FlowLocator:
    """Searches of one owner, and its answers to the searches of others.

    ``are_members_confirmed`` returns whether control has confirmed the list of members since a
    given time, and asks control for a confirmation if it has not.
    """

    def __init__(
        self,
        context: RouterContext,
        holder: FlowHolder,
        pointers: FlowPointers,
        data_centre: str,
        are_members_confirmed: Callable[[float], bool],
        search_queries_per_s: float,
    ) -> None:
        self.searches = FlowSearches()
        self.copies = DirectoryCopies(context, pointers)
        self.batches = SearchBatches(context, self._find_all_possible_holders, holder.answer_query)
        self.peers: frozenset[Address] = frozenset()
        self.former_members: frozenset[Address] = frozenset()
        self._pointers = pointers
        self._services_by_peer: dict[Address, str] = {}
        self._context = context
        self._holder = holder
        self._data_centre = data_centre
        self._are_members_confirmed = are_members_confirmed
        self._query_budget = TokenBucket.full(search_queries_per_s, QUERY_BURST_S, context.now)

    def set_peers(
        self, members: Mapping[Address, Member], former_members: frozenset[Address]
    ) -> None:
        """Set the agents that may hold flows: the members and those removed recently."""
        self.former_members = former_members - members.keys()
        self.peers = (frozenset(members) | former_members) - {self._context.own_address}
        known = self._services_by_peer
        self._services_by_peer = {a: known[a] for a in self.peers if a in known}
        self._services_by_peer.update({a: member.service for a, member in members.items()})
        local = {a for a, member in members.items() if member.data_centre == self._data_centre}
        self.copies.set_agents(local - {self._context.own_address})
        self.batches.set_agents(local)

    def search(self, packet: bytes, key: bytes, exclude: Address | None) -> None:
        """Search for the flow of a packet.

        The agent that may have owned it before is asked first, unless the agent ``exclude`` has
        returned the packet.
        """
        is_new = key not in self.searches.by_key
        if is_new and exclude is None and self.copies.request(key):
            self.searches.locate(key, packet, self._context.now)
            return
        agents = self._find_possible_holders(key)
        if is_new:
            reason = "not_in_directory" if exclude is None else "returned_by_server"
            self._context.emit(events.SearchStarted(flow_id(key), reason, len(agents)))
        if exclude is not None:
            agents.discard(exclude)
        queried = self.searches.begin(key, packet, agents, self._context.now)
        self._query(key, packet, queried)

    def _on_unlocated(self, key: bytes) -> None:
        """Search for a flow that no copy of an entry locates, or let the searcher do it.

        Agents that have restarted without their servers have to see a packet of the flow.
        """
        now = self._context.now
        agent_count = len(self._find_possible_holders(key))
        if (
            self._holder.may_have(key)
            or self._query_budget.try_consume(now, agent_count)
            or not self.batches.request(key)
        ):
            self._search_everywhere(key)
            return
        self._context.counters["searches_delegated"] += 1
        self.searches.delegate(key, now)

    def _search_everywhere(self, key: bytes) -> None:
        """Query all agents that may have a flow that was not located."""
        search = self.searches.by_key[key]
        agents = self._find_possible_holders(key)
        self._context.emit(events.SearchStarted(flow_id(key), "not_in_directory", len(agents)))
        queried = self.searches.query_more(key, agents, self._context.now)
        self._query(key, search.packet, queried)

    def _query(self, key: bytes, packet: bytes, agents: Iterable[Address]) -> None:
        for address in agents:
            self._context.counters["search_requests"] += 1
            if address == self._context.own_address:
                self._probe_own_server(packet)
            else:
                self._context.relay_packet(address, RelayKind.SEARCH, packet)

    def _probe_own_server(self, packet: bytes) -> None:
        header = self._context.packet_format.parse_inbound(packet)
        if not isinstance(header, Malformed):
            self._holder.probe(header, packet, self._context.own_address)

    def _find_possible_holders(self, key: bytes) -> set[Address]:
        """Return the agents whose server may have a flow, by the services of its route.

        An agent whose service is not known, since it was removed before this agent joined, may.
        This agent is one of them only if its server may have flows that it does not know.
        """
        endpoint = self._context.packet_format.endpoint_of(key)
        may_have_flows = self._context.routing.may_have_flows
        services = self._services_by_peer
        agents = {
            address
            for address in self.peers
            if address not in services or may_have_flows(endpoint, services[address])
        }
        if self._holder.may_have(key):
            agents.add(self._context.own_address)
        return agents

    def _find_all_possible_holders(self, key: bytes) -> frozenset[Address]:
        """Return the agents whose server may have a flow; this one too if its service may."""
        endpoint = self._context.packet_format.endpoint_of(key)
        agents = self._find_possible_holders(key)
        own_service = self._context.services_by_tag[self._context.own_tag]
        if self._context.routing.may_have_flows(endpoint, own_service):
            agents.add(self._context.own_address)
        return frozenset(agents)

    def on_search_reply(self, reply: SearchReply) -> None:
        """Process the result of a search that was passed to the searcher."""
        key = reply.key
        if not self.searches.is_locating(key):
            return
        agents = self._find_all_possible_holders(key)
        if reply.holder is not None and self._may_be_located_at(reply.holder):
            self._on_located(key, reply.holder)
        elif reply.holder is not None or reply.agents_hash != hash_agents(agents):
            # The searcher knows other agents than this owner.
            self._search_everywhere(key)
        else:
            self._on_denied(key, agents - set(reply.undecided), reply.undecided)

    def _on_denied(
        self, key: bytes, denied_by: frozenset[Address], undecided: list[Address]
    ) -> None:
        """Ask the agents that have not decided whether they have a flow, or end its search."""
        search = self.searches.by_key[key]
        self._context.emit(
            events.SearchStarted(flow_id(key), "not_in_directory", len(denied_by) + len(undecided))
        )
        self.searches.on_denied(key, denied_by)
        queried = self.searches.query_more(key, undecided, self._context.now)
        self._query(key, search.packet, queried)
        if not queried:
            self._end_exhausted(key)

    def on_query_reply(self, reply: FlowQueryReply, source: Address) -> None:
        """Process an agent's answer to a query that this agent sent as the searcher."""
        self._send_results(self.batches.on_query_reply(reply, source))

    def _send_results(self, results: Iterable[tuple[Address, SearchReply]]) -> None:
        for requester, reply in results:
            if requester == self._context.own_address:
                self.on_search_reply(reply)
            else:
                self._context.outbox.send_message(requester, reply)

    def on_location_request(self, key: bytes, source: Address) -> None:
        """Answer where a flow is, as far as this agent knows."""
        self.copies.answer(key, self._find_holder(key), source)

    def _find_holder(self, key: bytes) -> Address | None:
        """Return the agent that has a flow as far as this agent knows, or None."""
        if key in self._holder.held.by_key:
            return self._context.own_address
        pointer = self._pointers.by_key.get(key)
        return pointer.target if pointer is not None and not pointer.is_denied else None

    def on_locations(self, message: FlowLocations) -> None:
        """Keep copies of another owner's entries, and end the searches that they answer."""
        for location in message.locations:
            target = location.address
            if not self._may_be_located_at(target):
                continue
            if self.searches.is_locating(location.key):
                self._on_located(location.key, target)
            else:
                self._pointers.add_copy(location.key, target, self._context.now)
        if self.searches.is_awaiting_location(message.requested_key):
            self._on_unlocated(message.requested_key)

    def _may_be_located_at(self, target: Address) -> bool:
        """Return whether another agent's entry may point to an agent.

        It may not if control has no contact with the agent: its server may have stopped too, and
        only a search can tell.
        """
        if target == self._context.own_address:
            return True
        return target in self.peers and target not in self.former_members

    def _on_located(self, key: bytes, target: Address) -> None:
        if target == self._context.own_address:
            # This agent has restarted: only its server knows whether it still has the flow.
            packet = self.searches.by_key[key].packet
            self._query(key, packet, self.searches.query_more(key, [target], self._context.now))
            return
        self._context.counters["flows_located"] += 1
        self._context.emit(events.FlowLocated(flow_id(key), target[0]))
        self._send_queued(key, target)

    def on_found(self, key: bytes, source: Address) -> None:
        """End a search; the agent at ``source`` has the flow and gets the queued packets."""
        is_searched = key in self.searches.by_key
        pointer = self._pointers.by_key.get(key)
        if not is_searched and pointer is not None and not pointer.is_denied:
            # The flow was found meanwhile, at an agent whose server has sent a packet of it.
            return
        if is_searched:
            self._emit_search_ended(key, "found", source[0])
        self._send_queued(key, source)

    def _send_queued(self, key: bytes, target: Address) -> None:
        """Set the agent that has a flow, and send it the packets of the flow's search."""
        queued = self.searches.on_found(key)
        self._pointers.set_target(key, target, self._context.now)
        for packet in queued:
            if target == self._context.own_address:
                self._context.outbox.deliver(packet)
            else:
                self._context.relay_packet(target, RelayKind.DELIVER, packet)

    def on_opening(self, key: bytes) -> None:
        """End a search for an earlier flow: denials of it say nothing about the new flow."""
        self.searches.by_key.pop(key, None)

    def on_not_found(self, key: bytes, source: Address) -> None:
        """Record that the agent at ``source`` does not have the flow."""
        pointer = self._pointers.by_key.get(key)
        if key not in self.searches.by_key and pointer is not None and pointer.target == source:
            # This answers a delivery, not a search: the next packet starts a search.
            pointer.is_denied = True
        if self.searches.on_not_found(key, source):
            self._end_exhausted(key)

    def _end_exhausted(self, key: bytes) -> None:
        """End a search that all queried agents have denied, once all possible holders were queried.

        Only their denials show that no server has the flow: a reset can't be taken back, while a
        caller that gets none repeats its packet. A server gets openings only as a member of a
        service that the route names, so the agent that has the flow was one before the search
        began. Until control has confirmed the members and routes since then, one may be missing.
        """
        search = self.searches.by_key[key]
        if not self._are_members_confirmed(search.started_at):
            return
        packet = search.packet
        possible_holders = self._find_possible_holders(key)
        unqueried = self.searches.query_more(key, possible_holders, self._context.now)
        if unqueried:
            self._query(key, packet, unqueried)
            return
        self.searches.end(key)
        self._pointers.remove(key)
        self._context.counters["flows_found_nowhere"] += 1
        self._emit_search_ended(key, "nowhere", "")
        header = self._context.packet_format.parse_inbound(packet)
        if not isinstance(header, Malformed):
            self._context.reset_lost_flow(packet, header)

    def _emit_search_ended(
        self, key: bytes, outcome: str, server_agent: str, silent: Collection[Address] = ()
    ) -> None:
        hosts = sorted(host for host, _ in silent)[:MAX_LOGGED_AGENTS]
        self._context.emit(
            events.SearchEnded(flow_id(key), outcome, server_agent, len(silent), hosts)
        )

    def tick(self) -> None:
        """Send due copies and queries, and end searches that are complete or timed out."""
        now, own_address = self._context.now, self._context.own_address
        self.copies.tick()
        for key in self.searches.find_unlocated(now):
            self._on_unlocated(key)
        for key in self.searches.find_unanswered(now):
            self.batches.on_silence()
            self._search_everywhere(key)
        self._send_results(self.batches.tick())
        for key in self.searches.find_exhausted(self.peers | {own_address}):
            self._end_exhausted(key)
        for key, silent in self.searches.expire(now):
            self._context.counters["searches_expired"] += 1
            self._emit_search_ended(key, "expired", "", silent)
