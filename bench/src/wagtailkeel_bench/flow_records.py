"""What servers and callers record of their flows, and how resets are judged by it.

A reset of a flow that its server holds breaks a promise that no fault excuses, unless this server
has written it.
"""

from __future__ import annotations

from enum import Enum

import msgspec


class RecordKind(Enum):
    """What has happened; callers write ACCEPTED and RESET, servers all others."""

    OPENED = "opened"
    """The server has got the end of the handshake."""
    CLOSED = "closed"
    """The server no longer holds the flow."""
    ENDED = "ended"
    """The server's process has ended, and with it all flows that it held."""
    ACCEPTED = "accepted"
    """The caller has chosen the server whose answer to the opening it acknowledges."""
    RESET = "reset"
    """The caller got a reset, which ``writer`` has written: a server, or "" for the system."""


class FlowRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line of the record file.

    ``at`` is in seconds of the machine's monotonic clock. ``server`` is an incarnation of a server;
    in records of callers, the one that the caller has accepted. ``flow`` and ``connection`` name
    one flow: a port may be used again under another connection number.
    """

    at: float
    kind: RecordKind
    server: str = ""
    flow: str = ""
    connection: int = 0
    writer: str = ""


class BrokenFlow(msgspec.Struct, frozen=True):
    """A reset of a flow that its server held; ``held_s`` is how long it had held it."""

    at: float
    flow: str
    connection: int
    server: str
    writer: str
    held_s: float
    cause: str = ""


class Judgement(msgspec.Struct):
    """The number of resets by what the servers held, and the broken flows.

    ``resets_of_openings`` came before the flow was open, ``resets_of_lost_flows`` when its server
    no longer held it, and ``resets_by_own_server`` from the flow's server.
    """

    opened_flows: int = 0
    resets_of_openings: int = 0
    resets_of_lost_flows: int = 0
    resets_by_own_server: int = 0
    broken_flows: list[BrokenFlow] = []


FlowName = tuple[str, int]


class _FlowTables:
    """The flow tables of all servers at the time of the last record."""

    def __init__(self) -> None:
        self._opened_at_by_server: dict[str, dict[FlowName, float]] = {}

    def apply(self, record: FlowRecord) -> None:
        """Apply a record of a server."""
        name = (record.flow, record.connection)
        flows = self._opened_at_by_server.setdefault(record.server, {})
        if record.kind is RecordKind.OPENED:
            flows[name] = record.at
        elif record.kind is RecordKind.CLOSED:
            flows.pop(name, None)
        elif record.kind is RecordKind.ENDED:
            flows.clear()

    def find_holder(self, name: FlowName, accepted_server: str) -> str:
        """Return the flow's server if it holds the flow, or "".

        If the caller has accepted no server yet, each server that holds the flow is its server.
        Otherwise a copy of the opening may have left an unused entry at another one.
        """
        servers = [accepted_server] if accepted_server else self._opened_at_by_server
        return next((s for s in servers if name in self._opened_at_by_server.get(s, {})), "")

    def opened_at(self, server: str, name: FlowName) -> float:
        """Return when a server that holds the flow has opened it."""
        return self._opened_at_by_server[server][name]


def judge(records: list[FlowRecord]) -> Judgement:
    """Judge each reset by the flow table of the flow's server at that time.

    Records of the same time count in their order in the list.
    """
    judgement, tables = Judgement(), _FlowTables()
    opened: set[FlowName] = set()
    for record in sorted(records, key=lambda record: record.at):
        if record.kind is RecordKind.RESET:
            _judge_reset(record, tables, judgement, opened)
            continue
        if record.kind is RecordKind.OPENED:
            judgement.opened_flows += 1
            opened.add((record.flow, record.connection))
        tables.apply(record)
    return judgement


def _judge_reset(
    record: FlowRecord, tables: _FlowTables, judgement: Judgement, opened: set[FlowName]
) -> None:
    name = (record.flow, record.connection)
    holder = tables.find_holder(name, record.server)
    if name not in opened:
        judgement.resets_of_openings += 1
    elif record.writer and record.writer == (holder or record.server):
        judgement.resets_by_own_server += 1
    elif not holder:
        judgement.resets_of_lost_flows += 1
    else:
        held_s = record.at - tables.opened_at(holder, name)
        judgement.broken_flows.append(
            BrokenFlow(record.at, record.flow, record.connection, holder, record.writer, held_s)
        )
