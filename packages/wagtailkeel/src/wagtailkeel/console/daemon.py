"""The ``wagtailkeeld`` command line."""

from __future__ import annotations

import click

from wagtailkeel.console.commands.check import check
from wagtailkeel.console.commands.run import run


@click.group()
def main() -> None:
    """Run the roles of one wagtailkeel instance."""


main.add_command(check)
main.add_command(run)


if __name__ == "__main__":
    main()
