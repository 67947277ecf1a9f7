"""Searches for many flows at once, by one agent of each data centre.

Load pattern: the power of all instances returns, and each caller sends data on a flow that ended
with its server. A flow is lost only if every agent that may have it denies it, so each search costs
two messages for each agent. One by one, the searches of a fleet would cost flows times agents.

The owners of a data centre pass their searches to one of its agents, the searcher. It collects the
flows of COLLECTION_INTERVAL_S and sends each agent one query about all of them. The owner decides:
if it knows other agents than the searcher, or the searcher does not answer, it queries the agents
itself.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import msgspec
import xxhash

from wagtailkeel_coordination.handshake.owner_map import OwnerMap
from wagtailkeel_coordination.handshake.silent_agents import SilentAgents
from wagtailkeel_protocol.messages import FlowQuery
from wagtailkeel_protocol.messages import SearchReply
from wagtailkeel_protocol.messages import SearchRequest

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from wagtailkeel_coordination.handshake.router_context import RouterContext
    from wagtailkeel_protocol.messages import FlowQueryReply

Address = tuple[str, int]

COLLECTION_INTERVAL_S = 0.1
ANSWER_TIMEOUT_S = 0.25
"""Agents that have not answered by then are left to the owner."""
REPEATED_ANSWER_TIMEOUT_S = 0.05
"""Those that did not answer an earlier query either are left to the owner by then."""
SEARCHER_TIMEOUT_S = 0.5
"""An owner waits this long for the searcher; it covers collection and answers."""
SILENT_SEARCHER_RETENTION_S = 2.0
"""A searcher that did not answer gets no searches for this long."""
MAX_KEYS = 40
"""The number of flow keys that fit into a datagram of 1,400 bytes."""

_SEARCHER_KEY = b"searcher"


class _BatchedSearch(msgspec.Struct):
    """A flow that is searched for: who asked, and the agents that have not denied it yet.

    ``number`` is that of the queries for it. Only denials in answer to these count: the caller may
    have used its port again since an earlier one.
    """

    requesters: set[Address]
    pending: set[Address]
    agents_hash: int
    queried_at: float
    number: int


class SearchBatches:
    """The searches of one agent as a searcher, and its choice of a searcher as an owner.

    ``find_possible_holders`` returns the agents that may have a flow, this one included, and
    ``answer_query`` this agent's own answer to a query.
    """

    def __init__(
        self,
        context: RouterContext,
        find_possible_holders: Callable[[bytes], frozenset[Address]],
        answer_query: Callable[[FlowQuery], FlowQueryReply],
    ) -> None:
        self.by_key: dict[bytes, _BatchedSearch] = {}
        self._context = context
        self._find_possible_holders = find_possible_holders
        self._answer_query = answer_query
        self._searchers = OwnerMap()
        self._silent_searcher: Address | None = None
        self._silent_until = float("-inf")
        self._collected: dict[bytes, set[Address]] = {}
        self._silent_agents = SilentAgents()
        self._sent_at = float("-inf")
        self._number = 0

    # As an owner

    def set_agents(self, agents: Iterable[Address]) -> None:
        """Set the agents of the data centre, this one included."""
        self._searchers.update(agents)

    @property
    def searcher(self) -> Address | None:
        """The agent that searches for the owners of the data centre; None if it has no agent."""
        return self._searchers.owner_of(_SEARCHER_KEY)

    def request(self, key: bytes) -> bool:
        """Pass a search to the searcher; return False if it is not available."""
        searcher = self.searcher
        if searcher is None or self._is_silent(searcher):
            return False
        if searcher == self._context.own_address:
            self.on_request(key, searcher)
        else:
            self._context.outbox.send_message(searcher, SearchRequest(key))
        return True

    def on_silence(self) -> None:
        """Pass no more searches to the searcher for a while, since it has not answered."""
        self._silent_searcher = self.searcher
        self._silent_until = self._context.now + SILENT_SEARCHER_RETENTION_S

    def _is_silent(self, searcher: Address) -> bool:
        return searcher == self._silent_searcher and self._context.now < self._silent_until

    # As the searcher

    def on_request(self, key: bytes, requester: Address) -> None:
        """Search for a flow with the next batch.

        A search in progress for the same flow does not count: agents may have denied the flow
        before it was opened, from a port that its caller has used before.
        """
        self._collected.setdefault(key, set()).add(requester)

    def on_query_reply(
        self, reply: FlowQueryReply, source: Address
    ) -> list[tuple[Address, SearchReply]]:
        """Process the answers of an agent; return the results and the agents that asked for them.

        Flows that the agent may have without knowing it are neither held nor denied.
        """
        self._silent_agents.record_answer(source)
        results = []
        for key in reply.held:
            if key in self.by_key:
                results += self._end(key, source)
        for key in reply.denied:
            search = self.by_key.get(key)
            if search is None or search.number != reply.number:
                continue
            search.pending.discard(source)
            if not search.pending:
                results += self._end(key, None)
        return results

    def tick(self) -> list[tuple[Address, SearchReply]]:
        """Send the queries that are due; return the results of searches that timed out."""
        now = self._context.now
        overdue = [key for key, search in self.by_key.items() if self._is_overdue(search)]
        results = [result for key in overdue for result in self._end(key, None)]
        if self._collected and now - self._sent_at >= COLLECTION_INTERVAL_S:
            self._sent_at = now
            results += self._send_queries()
        return results

    def _is_overdue(self, search: _BatchedSearch) -> bool:
        now = self._context.now
        waited_s = now - search.queried_at
        if waited_s < REPEATED_ANSWER_TIMEOUT_S:
            return False
        return waited_s >= ANSWER_TIMEOUT_S or all(
            self._silent_agents.is_silent(address, now) for address in search.pending
        )

    def _send_queries(self) -> list[tuple[Address, SearchReply]]:
        collected = {k: r for k, r in self._collected.items() if k not in self.by_key}
        for key in collected:
            del self._collected[key]
        keys_by_agent: defaultdict[Address, list[bytes]] = defaultdict(list)
        own_address = self._context.own_address
        self._number += 1
        for key, requesters in collected.items():
            agents = self._find_possible_holders(key)
            self.by_key[key] = _BatchedSearch(
                requesters, set(agents), hash_agents(agents), self._context.now, self._number
            )
            for agent in agents - {own_address}:
                keys_by_agent[agent].append(key)
        results = self.on_query_reply(
            self._answer_query(FlowQuery(list(collected), self._number)), own_address
        )
        for agent, keys in keys_by_agent.items():
            for start in range(0, len(keys), MAX_KEYS):
                self._context.counters["search_queries"] += 1
                query = FlowQuery(keys[start : start + MAX_KEYS], self._number)
                self._context.outbox.send_message(agent, query)
        return results

    def _end(self, key: bytes, holder: Address | None) -> list[tuple[Address, SearchReply]]:
        search = self.by_key.pop(key)
        if holder is None:
            self._silent_agents.record_silence(search.pending, self._context.now)
        undecided = [] if holder is not None else list(search.pending)
        reply = SearchReply(key, holder, undecided, search.agents_hash)
        return [(requester, reply) for requester in search.requesters]


def hash_agents(agents: frozenset[Address]) -> int:
    """Return a hash of a set of agents, which is the same on all instances."""
    digest = xxhash.xxh3_64()
    for host, port in sorted(agents):
        digest.update(f"{host}:{port} ".encode())
    return digest.intdigest()
