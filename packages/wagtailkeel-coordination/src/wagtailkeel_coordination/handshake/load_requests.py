"""The part of a directory owner that requests the loads of agents, and waits for the answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination.handshake.load_sample import may_place_without
from wagtailkeel_coordination.handshake.priority_admission import is_surely_full
from wagtailkeel_protocol.messages import LoadRequest

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from wagtailkeel_coordination.handshake.aged_load import AgedLoadChoice
    from wagtailkeel_coordination.handshake.load_sample import LoadSampler
    from wagtailkeel_coordination.handshake.member import Member
    from wagtailkeel_coordination.handshake.pending_opening import PendingOpening
    from wagtailkeel_coordination.handshake.router_context import RouterContext
    from wagtailkeel_coordination.handshake.server_choice import PeerLoads
    from wagtailkeel_protocol.messages import ServerLoad

Address = tuple[str, int]

FRESH_LOAD_S = 0.1
"""A load this recent is not requested again: the openings placed since are counted."""
FULL_LOAD_AGE_S = 0.2
"""With priority admission, the load of an agent without room is not requested again for this long.

It must still count in a placement that waits for other answers.
"""
LOAD_TIMEOUT_S = 0.03
UNRESPONSIVE_S = 1.0
"""An agent that did not answer is left out of samples for this long."""


class LoadRequests:
    """Requests of loads, and the openings that wait for the answers.

    ``advance`` is called with an opening once enough of the loads requested for it are known, or
    the others have not come in time. With ``skips_full``, the loads of full agents are requested
    less often.
    """

    def __init__(
        self,
        context: RouterContext,
        loads: PeerLoads,
        sampler: LoadSampler,
        aged: AgedLoadChoice | None,
        advance: Callable[[PendingOpening], None],
        *,
        skips_full: bool,
    ) -> None:
        self.pending_by_key: dict[bytes, PendingOpening] = {}
        self._context = context
        self._loads = loads
        self._sampler = sampler
        self._aged = aged
        self._advance = advance
        self._skips_full = skips_full
        self._data_centres_by_member: dict[Address, str] = {}
        self._requested_at_by_address: dict[Address, float] = {}
        self._unanswered_at_by_address: dict[Address, float] = {}

    def set_members(self, members: Mapping[Address, Member]) -> None:
        """Set the agents whose loads are requested."""
        self._loads.retain(members)
        if self._aged is not None:
            self._aged.rates.retain(members)
        self._sampler.set_members(members)
        self._data_centres_by_member = {a: m.data_centre for a, m in members.items()}
        for by_address in (self._requested_at_by_address, self._unanswered_at_by_address):
            for address in [a for a in by_address if a not in members]:
                del by_address[address]

    def is_member(self, address: Address) -> bool:
        """Return whether an agent may get openings."""
        return address in self._data_centres_by_member

    # Requests

    def draw_sample(self, opening: PendingOpening) -> list[Address]:
        """Return further agents whose loads to request; none if all of them were sampled."""
        now = self._context.now
        unresponsive = {
            address
            for address, at in self._unanswered_at_by_address.items()
            if now - at < UNRESPONSIVE_S
        }
        return self._sampler.draw(opening.tag, opening.sampled, unresponsive)

    def request(self, opening: PendingOpening, sample: Iterable[Address]) -> bool:
        """Request the loads of agents; return whether the opening has to wait for answers."""
        for address in sample:
            opening.sampled.append(address)
            if address == self._context.own_address or self._knows_load(opening, address):
                continue
            opening.pending.add(address)
            self._request_load(address)
        if _is_sampled(opening):
            return False
        opening.requested_at = self._context.now
        self.wait(opening)
        return True

    def wait(self, opening: PendingOpening) -> None:
        """Let an opening wait for the answers that are still pending."""
        self.pending_by_key[opening.key] = opening

    def _request_load(self, address: Address) -> None:
        if address in self._requested_at_by_address:
            return
        self._requested_at_by_address[address] = self._context.now
        self._context.counters["load_requests"] += 1
        self._context.outbox.send_message(address, LoadRequest())

    def _knows_load(self, opening: PendingOpening, address: Address) -> bool:
        """Return whether an agent's last load is recent enough for an opening."""
        now = self._context.now
        if self._loads.is_fresh(address, now, FRESH_LOAD_S):
            return True
        if not self._skips_full:
            return False
        is_recent = self._loads.is_fresh(address, now, FULL_LOAD_AGE_S)
        return is_recent and is_surely_full(self._loads.by_address[address], opening.target_s, now)

    # Answers

    def on_load(self, address: Address, load: ServerLoad) -> None:
        """Record a member's load, and advance the openings for which enough loads are known."""
        self._record(address, load)
        self._unanswered_at_by_address.pop(address, None)
        for opening in list(self.pending_by_key.values()):
            if address not in opening.pending:
                continue
            opening.pending.discard(address)
            if _is_sampled(opening):
                self._resume(opening)

    def _record(self, address: Address, load: ServerLoad) -> None:
        now = self._context.now
        data_centre = self._data_centres_by_member[address]
        self._loads.on_load(address, data_centre, load, now)
        requested_at = self._requested_at_by_address.pop(address, None)
        if self._aged is not None:
            self._aged.rates.record(address, load.opened_flows, now)
            if requested_at is not None:
                self._aged.crossing.record(data_centre, now - requested_at)

    def tick(self) -> None:
        """Advance openings without the agents that have not answered in time."""
        now = self._context.now
        overdue = [a for a, at in self._requested_at_by_address.items() if _is_overdue(at, now)]
        for address in overdue:
            del self._requested_at_by_address[address]
            self._unanswered_at_by_address[address] = now
            self._context.counters["loads_unanswered"] += 1
            self._loads.remove(address)
        for opening in list(self.pending_by_key.values()):
            if _is_overdue(opening.requested_at, now):
                opening.pending.clear()
                self._resume(opening)

    def _resume(self, opening: PendingOpening) -> None:
        del self.pending_by_key[opening.key]
        self._advance(opening)


def _is_sampled(opening: PendingOpening) -> bool:
    """Return whether enough loads are known to place an opening."""
    return may_place_without(len(opening.pending), len(opening.sampled))


def _is_overdue(requested_at: float, now: float) -> bool:
    return now - requested_at >= LOAD_TIMEOUT_S
