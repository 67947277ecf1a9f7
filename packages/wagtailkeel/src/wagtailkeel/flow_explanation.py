"""Orders the log lines of all processes about one flow and determines what ended the flow."""

from __future__ import annotations

import ipaddress
import struct
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from wagtailkeel.errors import InvalidFlowError
from wagtailkeel_coordination.events import EVENTS_BY_NAME
from wagtailkeel_coordination.events import flow_id

if TYPE_CHECKING:
    from collections.abc import Iterable

FLOW_ID_DIGITS = 16

_OPENING_EVENTS = (
    "route_missing",
    "opening_placed",
    "opening_queued",
    "opening_rejected",
    "opening_released",
    "opening_repeated",
    "opening_expired",
    "opening_refused",
)
_CAUSE_TEMPLATES_BY_EVENT = {
    "opening_refused": "the opening was refused: {reason}; {tried} servers were tried",
    "opening_queued": "the opening waits for a cold server, behind others: {queued} wait there",
    "opening_expired": "no server had room for the opening while its caller waited",
    "flow_reset": "a reset was sent to the caller, as no server holds the flow: {reason}",
    "route_missing": "the balancer has no route for the flow in routing version {routing_version}",
    "search_ended": "the search for the flow ended: {outcome}; {silent} agents did not answer",
    "opening_rejected": "an agent or its server rejected the opening: {reason}",
    "flow_returned": "a server returned a packet because it does not hold the flow",
}
_FINAL_EVENTS = ("opening_refused", "flow_reset")


class LogLine(msgspec.Struct):
    """One log line about a flow; ``position`` is its index among the lines read."""

    at: float
    node: str
    event: str
    fields: dict[str, Any]
    position: int

    @property
    def sort_key(self) -> tuple[bool, int, float, int]:
        """Sort key that puts events of openings first, in order of their routing version.

        Their times come second, since the clocks of two nodes may differ.
        """
        is_after_opening = self.event not in _OPENING_EVENTS
        version = int(self.fields.get("routing_version", 0))
        return is_after_opening, 0 if is_after_opening else version, self.at, self.position


class FlowExplanation(msgspec.Struct):
    """The log lines about a flow, and the numbers of lines that could not be used.

    ``unreadable`` counts truncated or malformed lines, ``unrelated`` lines of no known event.
    """

    flow: str
    lines: list[LogLine]
    unreadable: int
    unrelated: int

    @property
    def cause(self) -> str:
        """What ended the flow, or else the last event known of it."""
        if not self.lines:
            return "the logs do not contain the flow"
        final_lines = [line for line in self.lines if line.event in _FINAL_EVENTS]
        last = (final_lines or self.lines)[-1]
        template = _CAUSE_TEMPLATES_BY_EVENT.get(last.event)
        if template is None:
            return f"no event ended the flow; the last is {last.event} on {last.node}"
        try:
            return f"{template.format(**last.fields)} (on {last.node})"
        except KeyError as error:
            return f"{last.event} on {last.node}, but the event lacks the field {error}"


def explain_flow(flow: str, lines: Iterable[str | bytes]) -> FlowExplanation:
    """Collect the events of a flow; truncated and unrelated lines are counted, never an error."""
    flow_lines: list[LogLine] = []
    unreadable = unrelated = 0
    for position, raw_line in enumerate(lines):
        fields = _decode_line(raw_line)
        if fields is None:
            unreadable += 1
        elif fields.get("event") not in EVENTS_BY_NAME:
            unrelated += 1
        elif fields.get("flow") == flow:
            line = _build_line(fields, position)
            if line is None:
                unreadable += 1
            else:
                flow_lines.append(line)
    return FlowExplanation(
        flow, sorted(flow_lines, key=lambda line: line.sort_key), unreadable, unrelated
    )


def _decode_line(raw_line: str | bytes) -> dict[str, Any] | None:
    data = raw_line.encode() if isinstance(raw_line, str) else raw_line
    # A log collector may have put a prefix in front of the JSON object.
    start = data.find(b"{")
    if start < 0:
        return None
    try:
        return msgspec.json.decode(data[start:], type=dict[str, Any])
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


def _build_line(fields: dict[str, Any], position: int) -> LogLine | None:
    at, node, version = fields.get("at"), fields.get("node"), fields.get("routing_version", 0)
    if not isinstance(at, (int, float)) or not isinstance(node, str):
        return None
    if not isinstance(version, int):
        return None
    details = {k: v for k, v in fields.items() if k not in ("at", "node", "event", "flow")}
    return LogLine(float(at), node, str(fields["event"]), details, position)


def parse_flow_id(flow: str) -> str:
    """Return the flow id of "caller:port>route:port"; return a flow id unchanged."""
    if len(flow) == FLOW_ID_DIGITS and all(digit in "0123456789abcdef" for digit in flow):
        return flow
    caller, separator, route = flow.partition(">")
    try:
        if not separator:
            raise ValueError("'>' is missing")
        caller_address, caller_port = _parse_endpoint(caller)
        route_address, route_port = _parse_endpoint(route)
    except ValueError as error:
        raise InvalidFlowError(flow, str(error)) from error
    return flow_id(caller_address + route_address + caller_port + route_port)


def _parse_endpoint(text: str) -> tuple[bytes, bytes]:
    host, _, port = text.rpartition(":")
    port_number = int(port)
    if not 0 < port_number <= 65_535:
        raise ValueError(f"{port_number} is not a port number")
    return ipaddress.ip_address(host).packed, struct.pack("!H", port_number)
