"""What control has recorded of a backend server, and what it should have recorded.

An acknowledgement binds for as long as the server runs, and its agent may restart meanwhile. So it
is given only once control has it; the next process of the agent reads it before it admits openings.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_coordination.handshake.server_report import ServerReport
from wagtailkeel_state.server_member import ServerRecord

if TYPE_CHECKING:
    from wagtailkeel_coordination.handshake.server_gate import ServerGate


class RecordedServer:
    """Compares the state of a gate to control's record."""

    def __init__(self, gate: ServerGate) -> None:
        self._gate = gate
        self._recorded: ServerRecord | None = None

    @property
    def is_up_to_date(self) -> bool:
        """Return whether control has recorded all that has to be known of the server.

        What it has recorded is unknown until :meth:`restore`.
        """
        if not self._gate.is_confirmed:
            return False
        wanted = self.build()
        return wanted is None or _says_the_same(wanted, self._recorded)

    def restore(self, record: ServerRecord | None, now: float) -> None:
        """Let the gate admit openings by what control has recorded for this agent."""
        self._recorded = record
        if record is None:
            self._gate.confirm(None, (), now)
        else:
            self._gate.confirm(_build_report(record, self._gate.service), record.ended, now)

    def build(self) -> ServerRecord | None:
        """Return the record that control should have; None if there is nothing to know."""
        report, ended = self._gate.report, self._gate.ended_incarnations
        if report is None or (report.takes_openings and not ended):
            return None
        return ServerRecord(report.incarnation, report.sequence, not report.takes_openings, ended)

    def on_recorded(self, record: ServerRecord) -> None:
        """Process the answer of control that it has a record."""
        self._recorded = record


def _build_report(record: ServerRecord, service: str) -> ServerReport:
    incarnation = record.incarnation
    return ServerReport(
        incarnation.server_id,
        service,
        incarnation.started_at_ms,
        record.sequence,
        1,
        record.is_draining,
    )


def _says_the_same(record: ServerRecord, recorded: ServerRecord | None) -> bool:
    if recorded is None:
        return False
    return msgspec.structs.replace(record, sequence=recorded.sequence) == recorded
