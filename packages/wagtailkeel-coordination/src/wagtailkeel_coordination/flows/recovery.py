"""Recovery of flows that no agent has a record of, by querying the backend servers.

A packet from the middle of an unknown TCP connection is delivered to the local backend server: an
answer other than RST proves that the server has the connection. An RST is not sent to the caller;
the next candidate is queried instead, and the caller gets an RST only once all candidates have
denied the flow. Silence is no denial: the caller's next packet continues the search.

The authority's directory has no entry of an agent that is only queried. An entry is taken for
confirmed by the bucket's next authority, which doesn't know of the other candidates.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_protocol import gue
from wagtailkeel_protocol import packet as ip
from wagtailkeel_protocol.gue import DataFrame

if TYPE_CHECKING:
    from wagtailkeel_coordination.flows.flow_context import FlowContext

RECOVERY_TIMEOUT_S = 5.0
QUERY_TIMEOUT_S = 3.0
"""How long a candidate gets the packets of a flow before the next one is asked.

An agent that only stalls answers within this time, or is removed by control after 2.5 s.
"""


class LocalQuery(msgspec.Struct):
    """A packet to the local backend server whose answer shows whether it has the flow.

    ``frame`` came from another agent, the bucket's authority, unless ``is_own``.
    """

    frame: DataFrame
    asked_at: float
    is_own: bool


class FlowSearch(msgspec.Struct):
    """A search of a bucket's authority, or next one, for a flow; ``frame`` is the newest packet."""

    frame: DataFrame
    asked_id: str = ""
    asked_at: float = 0.0
    denied_ids: set[str] = set()
    silent_ids: set[str] = set()


class FlowRecovery:
    """Searches and queries in progress, by flow key."""

    def __init__(self, context: FlowContext) -> None:
        self._context = context
        self._queries_by_key: dict[bytes, LocalQuery] = {}
        self._searches_by_key: dict[bytes, FlowSearch] = {}

    # Searches of an authority

    def search(self, frame: DataFrame, key: bytes) -> None:
        """Ask a candidate with a packet of an unknown flow; UDP packets and RSTs are dropped.

        The packets of a flow go to one candidate until it denies the flow or is silent for too
        long.
        """
        if self._drop_unrecoverable(frame, key):
            return
        search = self._searches_by_key.get(key)
        if search is None:
            self._context.counters["recoveries_started"] += 1
            search = self._searches_by_key[key] = FlowSearch(frame)
        search.frame = frame
        if search.asked_id and self._context.now - search.asked_at > QUERY_TIMEOUT_S:
            search.silent_ids.add(search.asked_id)
            search.asked_id = ""
        if search.asked_id:
            self._ask(search, key)
        else:
            self._ask_next(search, key)

    def on_denial(self, frame: DataFrame, key: bytes, server_id: str) -> None:
        """Ask the next candidate, since the server of this one lacks the flow."""
        search = self._searches_by_key.get(key)
        if search is None:
            new_frame = DataFrame(frame.packet, frame.bucket, self._context.epoch)
            search = self._searches_by_key[key] = FlowSearch(new_frame)
        search.denied_ids.add(server_id)
        if search.asked_id in ("", server_id):
            self._ask_next(search, key)

    def is_searching(self, key: bytes) -> bool:
        """Return whether this agent searches for a flow."""
        return key in self._searches_by_key

    def end_search(self, key: bytes) -> None:
        """End the search for a flow whose server is known."""
        self._searches_by_key.pop(key, None)

    def _candidates(self, bucket: int, key: bytes) -> list[str]:
        """Return the agents that may have the flow without having reported it, likely ones first.

        A record is mostly missing because the bucket's last owner was lost: flows at its own server
        had no other. Callers send often, so that the next best guess is the agent that was
        restarted or removed last. A query to any other reaches a server that lacks the flow.

        Members report that they lack flows in answers to claims. An authority whose token was
        granted has sent no claim, so agents that were restarted are asked as well.
        """
        view = self._context.view
        incomplete_ids = self._context.authority.incomplete_since_by_id.keys()
        ids = {*incomplete_ids, *view.restarted_ids, *view.removed_ids}
        if self.may_lack_record(key):
            ids.add(view.own_id)
        lost_owner = self._context.authority.lost_owners_by_bucket.get(bucket)
        candidates = view.sort_by_last_removal(ids)
        return sorted(candidates, key=lambda server_id: server_id != lost_owner)

    def has_candidates(self, key: bytes) -> bool:
        """Return whether there is an agent to ask for a flow."""
        view = self._context.view
        return self.may_lack_record(key) or bool(
            self._context.authority.incomplete_since_by_id
            or view.restarted_ids
            or view.has_removed_members
        )

    def _ask_next(self, search: FlowSearch, key: bytes) -> None:
        context = self._context
        candidates = [
            server_id
            for server_id in self._candidates(search.frame.bucket, key)
            if server_id not in search.denied_ids
        ]
        if not candidates:
            search.asked_id = ""
            if not context.authority.knows_members_of_token(search.frame.bucket):
                # A claim is still to find the token's holder, or a newer table to come, which tells
                # of agents that may lack records.
                context.counters["dropped_unknown_flow"] += 1
                return
            del self._searches_by_key[key]
            context.counters["unknown_flows_reset"] += 1
            context.reset_caller(search.frame.packet)
            return
        if search.silent_ids.issuperset(candidates):
            search.silent_ids.clear()
        search.asked_id = next(c for c in candidates if c not in search.silent_ids)
        search.asked_at = context.now
        self._ask(search, key)

    def _ask(self, search: FlowSearch, key: bytes) -> None:
        if search.asked_id == self._context.view.own_id:
            self._query(search.frame, key, is_own=True)
        else:
            self._context.forward(search.asked_id, search.frame, gue.FLAG_DELIVER | gue.FLAG_QUERY)

    # Queries to the local backend server

    def may_lack_record(self, key: bytes) -> bool:
        """Return whether the local backend server may have a flow without a record here."""
        context = self._context
        if context.view.is_out_of_service:
            return False
        if context.authority.has_incomplete_flow_table:
            return True
        return context.local_flows.has_lately_removed(key, context.now)

    def query(self, frame: DataFrame, key: bytes) -> None:
        """Ask the local backend server on behalf of the bucket's authority."""
        if not self._drop_unrecoverable(frame, key):
            self._query(frame, key, is_own=False)

    def _query(self, frame: DataFrame, key: bytes, *, is_own: bool) -> None:
        self._queries_by_key[key] = LocalQuery(frame, self._context.now, is_own)
        self._context.packets.deliver(frame.packet)

    def on_reset(self, key: bytes) -> None:
        """Pass on that the local backend server lacks a flow, by its RST."""
        context = self._context
        query = self._queries_by_key.pop(key, None)
        if query is None:
            return
        if not query.is_own:
            context.return_rejected(query.frame)
        elif self.is_searching(key):
            self.on_denial(query.frame, key, context.view.own_id)
        else:
            context.counters["dropped_unknown_flow"] += 1

    def on_answer(self, key: bytes) -> bool:
        """Pass on that the local backend server has the connection; return whether it was asked."""
        self.end_search(key)
        query = self._queries_by_key.pop(key, None)
        if query is not None and not query.is_own:
            self._context.return_found(query.frame)
        return query is not None

    def expire(self, now: float) -> None:
        """Discard what had no answer; the caller's next packet starts anew."""
        for key, query in list(self._queries_by_key.items()):
            if now - query.asked_at > RECOVERY_TIMEOUT_S:
                del self._queries_by_key[key]
        for key, search in list(self._searches_by_key.items()):
            is_overdue = now - search.asked_at > RECOVERY_TIMEOUT_S
            if is_overdue or not self._is_responsible(search.frame.bucket):
                del self._searches_by_key[key]

    def _is_responsible(self, bucket: int) -> bool:
        authority = self._context.authority
        return authority.is_authority(bucket) or bucket in authority.claims_by_bucket

    def _drop_unrecoverable(self, frame: DataFrame, key: bytes) -> bool:
        if key[-1] == ip.TCP and not ip.tcp_flags(frame.packet) & ip.RST:
            return False
        self._context.counters["dropped_unknown_flow"] += 1
        return True
