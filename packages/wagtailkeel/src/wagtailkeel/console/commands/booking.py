"""The ``wagtailkeel booking`` commands."""

from __future__ import annotations

import uuid
from datetime import UTC
from datetime import datetime

import click

from wagtailkeel.console.context import ConsoleContext
from wagtailkeel.console.context import command_options
from wagtailkeel.console.context import pass_console
from wagtailkeel.console.control_client import ControlClient
from wagtailkeel.console.exit_codes import ExitCode
from wagtailkeel.console.target_type import TARGET
from wagtailkeel.console.timestamp_type import TIMESTAMP
from wagtailkeel_state.booking import Booking
from wagtailkeel_state.booking_rules import booking_subject
from wagtailkeel_state.commands import BookableCommand
from wagtailkeel_state.commands import CancelBooking
from wagtailkeel_state.commands import ChangeTarget
from wagtailkeel_state.commands import CreateBooking
from wagtailkeel_state.commands import CreateClass
from wagtailkeel_state.commands import CreateService
from wagtailkeel_state.commands import DrainServer
from wagtailkeel_state.commands import RestoreServer
from wagtailkeel_state.commands import SetDataCentreState
from wagtailkeel_state.enums import DataCentreState
from wagtailkeel_state.enums import FlowProtocol
from wagtailkeel_state.target import Target

CHANGES = (
    "datacentre-out",
    "datacentre-back",
    "server-drain",
    "server-restore",
    "service-create",
    "class-create",
    "class-target",
)


@click.group()
def booking() -> None:
    """Book changes in advance."""


@booking.command()
@click.argument("change", type=click.Choice(CHANGES))
@click.argument("subject")
@click.option("--start", type=TIMESTAMP, required=True, help="ISO 8601 time with UTC offset.")
@click.option("--end", type=TIMESTAMP, required=True, help="ISO 8601 time with UTC offset.")
@click.option("--target", type=TARGET, default=None, help="For class-create and class-target.")
@click.option(
    "--protocol",
    type=click.Choice(["tcp", "udp"]),
    default="tcp",
    show_default=True,
    help="For class-create.",
)
@click.option("--non-idempotent", is_flag=True, help="For class-create.")
@click.option(
    "--idle-limit",
    type=click.FloatRange(min=1),
    default=30.0,
    help="For class-create: seconds without a packet after which a flow is closed.",
)
@click.option("--id", "booking_id", default="", help="Id of the booking; default: random.")
@command_options
@pass_console
def create(
    console: ConsoleContext,
    change: str,
    subject: str,
    start: datetime,
    end: datetime,
    target: Target | None,
    protocol: str,
    non_idempotent: bool,
    idle_limit: float,
    booking_id: str,
    command_id: str,
    expect_version: int | None,
    wait: bool,
) -> None:
    """Book CHANGE of SUBJECT for a time window; a class is given as SERVICE/CLASS.

    Example: wagtailkeel booking create datacentre-out surat --start 2027-01-10T01:00+05:30
    --end 2027-01-10T03:00+05:30
    """
    booking_id = booking_id or uuid.uuid4().hex[:8]
    command = CreateBooking(
        booking_id=booking_id,
        start_s=start.timestamp(),
        end_s=end.timestamp(),
        change=_build_change(change, subject, target, protocol, non_idempotent, idle_limit),
    )
    console.send(command, command_id, expect_version, wait, f"booking {booking_id} accepted")


def _build_change(
    change: str,
    subject: str,
    target: Target | None,
    protocol: str,
    non_idempotent: bool,
    idle_limit: float,
) -> BookableCommand:
    """Return the command to book for ``change``, which is one of CHANGES.

    Only class-create and class-target use ``target``, which they require, and only class-create
    uses the options after it; for the other changes the options are ignored.
    """
    if change == "datacentre-out":
        return SetDataCentreState(name=subject, state=DataCentreState.OUT_OF_SERVICE)
    if change == "datacentre-back":
        return SetDataCentreState(name=subject, state=DataCentreState.IN_SERVICE)
    if change == "server-drain":
        return DrainServer(server_id=subject)
    if change == "server-restore":
        return RestoreServer(server_id=subject)
    if change == "service-create":
        return CreateService(name=subject)
    service, separator, name = subject.partition("/")
    if target is None or not separator:
        raise click.UsageError(f"{change} requires SERVICE/CLASS and --target")
    if change == "class-create":
        return CreateClass(
            service=service,
            name=name,
            protocol=FlowProtocol(protocol),
            target=target,
            is_idempotent=not non_idempotent,
            idle_limit_s=idle_limit,
        )
    # Only class-target is left, since click accepts no change outside CHANGES.
    return ChangeTarget(service=service, name=name, target=target)


@booking.command()
@click.argument("booking_id")
@command_options
@pass_console
def cancel(
    console: ConsoleContext,
    booking_id: str,
    command_id: str,
    expect_version: int | None,
    wait: bool,
) -> None:
    """Cancel a booking that has not become active.

    Example: wagtailkeel booking cancel 4f1c22aa
    """
    command = CancelBooking(booking_id=booking_id)
    console.send(command, command_id, expect_version, wait, f"booking {booking_id} cancelled")


@booking.command(name="list")
@pass_console
def list_bookings(console: ConsoleContext) -> None:
    """List all bookings in order of their start.

    Example: wagtailkeel booking list
    """
    bookings = _load_bookings(console)
    console.print(bookings, "\n".join(_format_booking(b) for b in bookings) or "no bookings")


@booking.command()
@click.argument("booking_id")
@pass_console
def show(console: ConsoleContext, booking_id: str) -> None:
    """Show one booking.

    Example: wagtailkeel booking show 4f1c22aa
    """
    for entry in _load_bookings(console):
        if entry.booking_id == booking_id:
            console.print(entry, _format_booking(entry))
            return
    console.fail(ExitCode.REJECTED, f"booking {booking_id} does not exist")


@booking.command()
@pass_console
def calendar(console: ConsoleContext) -> None:
    """List the bookings that have not ended, by day (UTC).

    Example: wagtailkeel booking calendar
    """
    pending = [b for b in _load_bookings(console) if not b.state.is_final]
    lines: list[str] = []
    day = ""
    for entry in pending:
        start_day = _format_time(entry.start_s)[:10]
        if start_day != day:
            day = start_day
            lines.append(day)
        lines.append("  " + _format_booking(entry))
    console.print(pending, "\n".join(lines) or "no pending or active bookings")


def _load_bookings(console: ConsoleContext) -> list[Booking]:
    status = console.run(ControlClient.status)
    return sorted(status.configuration.bookings_by_id.values(), key=lambda b: b.start_s)


def _format_booking(entry: Booking) -> str:
    window = f"{_format_time(entry.start_s)} to {_format_time(entry.end_s)}"
    reason = f" ({entry.reason})" if entry.reason else ""
    subject = booking_subject(entry.change)
    return (
        f"{entry.booking_id:12} {window} {entry.state.value:9} "
        f"{type(entry.change).__name__} {subject} by {entry.author}{reason}"
    )


def _format_time(seconds: float) -> str:
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%d %H:%M:%S UTC")
