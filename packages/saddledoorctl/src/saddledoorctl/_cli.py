# SPDX-License-Identifier: MIT

"""
The command line of ``saddledoorctl``.
"""

from __future__ import annotations

import json

import click

from saddledoor import deployment_schema

from ._config import config
from ._replay import replay_command
from ._report import report
from ._status import status


__all__ = ["main"]


@click.group()
@click.version_option(package_name="saddledoorctl")
def main() -> None:
    """
    Drive and watch a saddledoor deployment.
    """


@main.command()
def schema() -> None:
    """
    Print the JSON Schema of the deployment file, for editors.
    """
    click.echo(json.dumps(deployment_schema(), indent=2))


main.add_command(config)
main.add_command(replay_command)
main.add_command(report)
main.add_command(status)


if __name__ == "__main__":
    main()
