"""The part of an agent that owns directory entries: it forwards packets to the agents of flows.

Its pointers are a cache of the flows that agents hold; a search rebuilds them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination.handshake.flow_locator import FlowLocator
from wagtailkeel_coordination.handshake.flow_pointers import FlowPointers
from wagtailkeel_coordination.handshake.opening_placer import OpeningPlacer
from wagtailkeel_protocol import packet_format as packet_flags
from wagtailkeel_protocol.relay import RelayKind

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from random import Random

    from wagtailkeel_coordination.handshake.flow_holder import FlowHolder
    from wagtailkeel_coordination.handshake.flow_pointers import FlowPointer
    from wagtailkeel_coordination.handshake.load_sample import SampleSize
    from wagtailkeel_coordination.handshake.member import Member
    from wagtailkeel_coordination.handshake.router_context import RouterContext
    from wagtailkeel_coordination.handshake.router_options import RouterOptions
    from wagtailkeel_coordination.handshake.server_choice import ServerChoice
    from wagtailkeel_protocol.packet_format import PacketHeader
    from wagtailkeel_protocol.relay import RelayFrame

Address = tuple[str, int]

_CLOSING_FLAGS = packet_flags.FIN | packet_flags.RESET


class DirectoryOwner:
    """Keeps the directory entries of some flows."""

    def __init__(
        self,
        context: RouterContext,
        holder: FlowHolder,
        data_centre: str,
        random: Random,
        choose: ServerChoice,
        sample_size: SampleSize,
        are_members_confirmed: Callable[[float], bool],
        search_queries_per_s: float,
        options: RouterOptions,
    ) -> None:
        self.pointers = FlowPointers()
        self.placer = OpeningPlacer(
            context, holder, self.pointers, data_centre, random, choose, sample_size, options
        )
        self.locator = FlowLocator(
            context,
            holder,
            self.pointers,
            data_centre,
            are_members_confirmed,
            search_queries_per_s,
        )
        self._context = context
        self._holder = holder

    def set_peers(
        self, members: Mapping[Address, Member], former_members: frozenset[Address]
    ) -> None:
        """Set the agents that may hold flows: the members and those removed recently."""
        self.placer.set_members(members, former_members)
        self.locator.set_peers(members, former_members)

    def on_forward(self, frame: RelayFrame, header: PacketHeader) -> None:
        """Forward a balancer's packet, place its opening, or search for its flow."""
        if header.is_opening:
            self._on_opening(frame, header)
            return
        known = self.pointers.by_key.get(header.key)
        denied_by = known.target if known is not None and known.is_denied else None
        pointer = self._find_pointer(header.key)
        if pointer is not None:
            pointer.is_closing = pointer.is_closing or bool(header.flags & _CLOSING_FLAGS)
            self._context.send(pointer.target, RelayKind.DELIVER, frame, frame.body)
            if pointer.target in self.locator.former_members:
                # Control has no contact with the agent, and the flow's server may have stopped too.
                self.locator.search(frame.body, header.key, exclude=None)
        elif header.flags & packet_flags.RESET:
            self._context.counters["dropped_unknown_reset"] += 1
        else:
            self.locator.search(frame.body, header.key, exclude=denied_by)

    def _on_opening(self, frame: RelayFrame, header: PacketHeader) -> None:
        self.locator.on_opening(header.key)
        self.placer.opening_copies.record(
            header.key, header.initial_sequence, header.attempt, self._context.now
        )
        if header.key in self._holder.queue:
            self._context.counters["dropped_copy_of_queued_opening"] += 1
            return
        pointer = self._find_pointer(header.key)
        if pointer is not None:
            if pointer.initial_sequence != header.initial_sequence:
                pointer.forget_attempts()
            self.placer.place_again(frame, header, pointer)
        else:
            self.placer.place(frame, header, set())

    def _find_pointer(self, key: bytes) -> FlowPointer | None:
        """Return a flow's pointer; remove one whose agent has the flow no longer."""
        pointer = self.pointers.find(key, self._context.now)
        if pointer is None:
            return None
        # Agents that are neither members nor former members have left together with their servers.
        has_left = pointer.target not in self.locator.peers
        if pointer.is_denied or has_left:
            self.pointers.remove(key)
            return None
        return pointer

    # Returned packets and answers

    def on_rejected(self, frame: RelayFrame, header: PacketHeader, source: Address) -> None:
        """Place a rejected opening on another server."""
        self.placer.on_rejected(frame, header, source)

    def on_returned(self, frame: RelayFrame, header: PacketHeader, source: Address) -> None:
        """Search for the flow of a packet that the agent at ``source`` has returned."""
        pointer = self.pointers.by_key.get(header.key)
        if pointer is not None and pointer.target == source:
            self.pointers.remove(header.key)
        self.locator.search(frame.body, header.key, exclude=source)

    def on_found(self, key: bytes, source: Address) -> None:
        """End a search; the agent at ``source`` has the flow."""
        self.locator.on_found(key, source)

    def on_not_found(self, key: bytes, source: Address) -> None:
        """Record that the agent at ``source`` does not have the flow."""
        self.locator.on_not_found(key, source)

    def are_most_outliers(self) -> bool:
        """Return whether at least half of the service's known servers are outliers."""
        return self.placer.are_most_outliers()

    def tick(self) -> None:
        """Process openings and searches that timed out, and remove unused pointers."""
        self.placer.tick()
        self.locator.tick()
        self.pointers.sweep(self._context.now)
