"""The ``wagtailkeeld run`` command."""

from __future__ import annotations

import sys
from pathlib import Path

import anyio
import click
from loguru import logger

from wagtailkeel.console.exit_codes import ExitCode
from wagtailkeel.daemon import Daemon
from wagtailkeel.errors import SettingsError
from wagtailkeel.settings import load_settings
from wagtailkeel_transport import TransportError


@click.command()
@click.argument("settings_file", type=click.Path(path_type=Path))
def run(settings_file: Path) -> None:
    """Run the roles that SETTINGS_FILE configures until SIGTERM or SIGINT.

    Example: wagtailkeeld run /etc/wagtailkeel/agent.toml
    """
    try:
        settings = load_settings(settings_file)
    except SettingsError as error:
        click.echo(f"error: {error}", err=True)
        raise SystemExit(ExitCode.USAGE) from error
    logger.remove()
    logger.add(sys.stderr, level=settings.instance.log_level)
    try:
        daemon = Daemon.from_settings(settings)
        anyio.run(daemon.run)
    except TransportError as error:
        click.echo(f"error: {error}", err=True)
        raise SystemExit(ExitCode.FAILURE) from error
    except BaseExceptionGroup as group:
        transport_errors, other_errors = group.split(TransportError)
        if other_errors is not None or transport_errors is None:
            raise
        click.echo(f"error: {transport_errors.exceptions[0]}", err=True)
        raise SystemExit(ExitCode.FAILURE) from group
