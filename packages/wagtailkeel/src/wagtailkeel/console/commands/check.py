"""The ``wagtailkeeld check`` command."""

from __future__ import annotations

from pathlib import Path

import click

from wagtailkeel.console.exit_codes import ExitCode
from wagtailkeel.errors import SettingsError
from wagtailkeel.settings import load_settings


@click.command()
@click.argument("settings_file", type=click.Path(path_type=Path))
def check(settings_file: Path) -> None:
    """Validate SETTINGS_FILE without running its roles.

    Example: wagtailkeeld check /etc/wagtailkeel/balancer.toml
    """
    try:
        load_settings(settings_file)
    except SettingsError as error:
        click.echo(f"error: {error}", err=True)
        raise SystemExit(ExitCode.USAGE) from error
    click.echo(f"{settings_file}: settings are valid")
