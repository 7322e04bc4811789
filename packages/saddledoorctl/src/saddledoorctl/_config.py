# SPDX-License-Identifier: MIT

"""
``saddledoorctl config``: check, publish, show and history.
"""

from __future__ import annotations

import asyncio
import getpass
import json
import sys
import time
import uuid
from datetime import UTC, datetime
from pathlib import Path

import aiohttp
import click

from saddledoor import (
    NO_BASE,
    ConfigProposal,
    ConfigSnapshot,
    ConfigVerdict,
    Deployment,
    PublishResult,
    deployment_to_json,
    pack_document,
)
from saddledoor.exceptions import InvalidDocumentError

from ._files import difference, load_deployment, read_base, to_yaml
from ._platform import ConfigStream, PlatformUnavailableError


__all__ = ["config"]

#: Exit statuses: rejected or nothing accepted, unusable input, log unreachable.
EXIT_REJECTED = 1
EXIT_USAGE = 2
EXIT_UNAVAILABLE = 3

_log_option = click.option(
    "--log",
    "log_url",
    required=True,
    envvar="SADDLEDOOR_LOG",
    help="URL of the log service, such as http://127.0.0.1:9000.",
)
_json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


@click.group()
def config() -> None:
    """
    Check, publish and read deployment files.
    """


@config.command()
@click.argument("file", type=click.Path(path_type=Path))
@_json_option
def check(file: Path, as_json: bool) -> None:
    """
    Check FILE as a whole, without publishing it.
    """
    deployment = _load(file, as_json)
    summary = {"valid": True, "deployment": deployment.name}
    _print(summary, as_json, f"{file}: can be used ({deployment.name})")


@config.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--base", type=int, help="Offset of the file it was edited from.")
@click.option("--wait", default=10.0, help="Longest wait for a verdict, in seconds.")
@_log_option
@_json_option
def publish(
    file: Path, base: int | None, wait: float, log_url: str, as_json: bool
) -> None:
    """
    Publish FILE; it is accepted only if nobody published in between.
    """
    deployment = _load(file, as_json)
    base = base if base is not None else read_base(file)
    _run(_publish(deployment, base, wait, log_url, as_json))


@config.command()
@_log_option
@_json_option
def show(log_url: str, as_json: bool) -> None:
    """
    Print the accepted file, ready to be edited and published.
    """
    _run(_show(log_url, as_json))


@config.command()
@_log_option
@_json_option
def history(log_url: str, as_json: bool) -> None:
    """
    List what was published and what became of it.
    """
    _run(_history(log_url, as_json))


def _load(file: Path, as_json: bool) -> Deployment:
    try:
        return load_deployment(file)
    except InvalidDocumentError as error:
        if as_json:
            problems = [vars(problem) for problem in error.problems]
            click.echo(json.dumps({"valid": False, "problems": problems}))
        else:
            click.echo(str(error), err=True)
        sys.exit(EXIT_USAGE)


def _run(work) -> None:
    try:
        sys.exit(asyncio.run(work))
    except PlatformUnavailableError as error:
        click.echo(f"the log cannot be reached: {error}", err=True)
        sys.exit(EXIT_UNAVAILABLE)


def _print(data: dict, as_json: bool, text: str) -> None:
    click.echo(json.dumps(data) if as_json else text)


async def _publish(
    deployment: Deployment, base: int | None, wait: float, log_url: str, as_json: bool
) -> int:
    async with aiohttp.ClientSession() as session:
        stream = ConfigStream(session, log_url)
        await stream.catch_up()
        accepted = stream.fold.accepted
        if base is None and accepted is not None:
            click.echo(
                "the file does not say which offset it was edited from: start from "
                "`config show`, or name it with --base "
                f"(accepted now: {accepted.offset})",
                err=True,
            )
            return EXIT_USAGE
        proposal = ConfigProposal(
            record_id=uuid.uuid4().hex,
            base=NO_BASE if base is None else base,
            document=pack_document(deployment_to_json(deployment)),
            author=getpass.getuser(),
        )
        began = time.monotonic()
        found = await _propose(stream, proposal, wait)
        seconds = round(time.monotonic() - began, 3)
        return _print_result(stream, deployment, found, seconds, as_json)


async def _propose(
    stream: ConfigStream, proposal: ConfigProposal, wait: float
) -> tuple[int, PublishResult] | None:
    """
    Append a proposal and read the log until it has a verdict or `wait` seconds pass.

    :returns: Offset and state of the proposal; None if it is not in the log.
    """
    deadline = time.monotonic() + wait
    try:
        await stream.append(proposal)
    except PlatformUnavailableError:
        # The append may have succeeded; reading the log shows whether it did.
        click.echo("the log's answer was lost; reading on", err=True)
    found = None
    while time.monotonic() < deadline:
        try:
            await stream.catch_up(wait=0.5)
        except PlatformUnavailableError:
            await asyncio.sleep(0.2)
        found = stream.fold.result_of(proposal.record_id)
        if found is not None and found[1].state != "pending":
            return found
    return found


def _print_result(
    stream: ConfigStream,
    deployment: Deployment,
    found: tuple[int, PublishResult] | None,
    seconds: float,
    as_json: bool,
) -> int:
    offset, result = found or (NO_BASE, PublishResult("not_in_log"))
    data = {"state": result.state, "offset": offset, "seconds": seconds}
    if result.state == "accepted":
        _print(data, as_json, f"accepted under offset {offset} after {seconds} s")
        return 0
    if result.state == "invalid":
        data["reason"] = result.reason
        _print(data, as_json, f"refused: {result.reason}")
        return EXIT_REJECTED
    if result.state == "lost":
        winner = stream.fold.accepted
        text = difference(deployment, winner.document) if winner else ""
        data |= {"accepted": result.winner, "difference": text}
        first = f"lost: offset {result.winner} is accepted and your file's base is not"
        _print(data, as_json, f"{first}\n{text}")
        return EXIT_REJECTED
    # The outcome is unknown: the proposal may still be accepted or refused.
    _print(data, as_json, f"no verdict yet ({result.state}); see `config history`")
    return EXIT_UNAVAILABLE


async def _show(log_url: str, as_json: bool) -> int:
    async with aiohttp.ClientSession() as session:
        stream = ConfigStream(session, log_url)
        await stream.catch_up()
    accepted = stream.fold.accepted
    if accepted is None:
        click.echo("no configuration is accepted", err=True)
        return EXIT_REJECTED
    text = to_yaml(accepted.document, accepted.offset)
    _print({"offset": accepted.offset, "file": text}, as_json, text)
    return 0


async def _history(log_url: str, as_json: bool) -> int:
    async with aiohttp.ClientSession() as session:
        stream = ConfigStream(session, log_url)
        await stream.catch_up()
    rows = [row for entry in stream.entries if (row := _row(stream, entry))]
    if as_json:
        click.echo(json.dumps(rows))
        return 0
    for row in rows:
        click.echo(
            f"{row['offset']:>8}  {row['at']}  {row['what']:<10} {row['detail']}"
        )
    return 0


def _row(stream: ConfigStream, entry) -> dict | None:
    at = datetime.fromtimestamp(entry.at, UTC).isoformat(timespec="seconds")
    row = {"offset": entry.offset, "at": at}
    match entry.record:
        case ConfigProposal() as proposal:
            found = stream.fold.result_of(proposal.record_id)
            state = found[1].state if found else "unknown"
            detail = f"{state}; edited from {proposal.base} by {proposal.author}"
            return row | {"what": "proposal", "detail": detail, "state": state}
        case ConfigVerdict() as verdict:
            word = "valid" if verdict.valid else f"invalid: {verdict.reason}"
            detail = f"{word} ({verdict.proposal})"
            return row | {"what": "verdict", "detail": detail}
        case ConfigSnapshot() as snapshot:
            detail = f"of offset {snapshot.offset}"
            return row | {"what": "snapshot", "detail": detail}
    return None
