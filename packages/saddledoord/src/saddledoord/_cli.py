# SPDX-License-Identifier: MIT

"""
The command line of ``saddledoord``.
"""

from __future__ import annotations

import logging
import sys
from pathlib import Path

import click
import structlog

from saddledoor.exceptions import InvalidDocumentError

from ._allocator import return_large_blocks
from ._clock import run_by_boot_time
from ._daemon import Daemon
from ._settings import Settings, load_settings


__all__ = ["main"]

#: Exit status for invalid settings.
EXIT_USAGE = 2


@click.command()
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(path_type=Path),
    help="YAML file with this VM's addresses, data centre and platform services.",
)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
def main(path: Path, check: bool) -> None:
    """
    Run the saddledoor daemon of one entry VM.
    """
    try:
        settings = load_settings(path)
    except InvalidDocumentError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_USAGE)
    if check:
        click.echo("the settings can be used")
        return
    _set_up_logging(settings)
    return_large_blocks()
    try:
        run_by_boot_time(_run(settings))
    except OSError as error:
        click.echo(f"{path}: {error}", err=True)
        sys.exit(1)


async def _run(settings: Settings) -> None:
    await Daemon(settings).run()


def _set_up_logging(settings: Settings) -> None:
    # Log lines of libraries concern single requests.
    logging.basicConfig(level=logging.CRITICAL)
    renderer = (
        structlog.processors.JSONRenderer()
        if settings.log_format == "json"
        else structlog.dev.ConsoleRenderer()
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.clear_contextvars()


if __name__ == "__main__":
    main()
