# SPDX-License-Identifier: MIT

"""
``saddledoorctl report steps``: the time of trainers' steps by phase, read from logs.
"""

from __future__ import annotations

import json
import re
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from statistics import mean

import click

from ._log_lines import LogLine, read_lines


__all__ = ["StepRow", "read_steps", "steps"]

#: Phases of an item, in order.
_PHASES = ("place", "first_event", "events", "pause", "score", "log")


@dataclass
class _Step:
    """
    Log lines of one job.

    :param line: The `job_submitted` line.
    :param groups: `group_listed` line of each complete group, by group.
    :param ended_at: Time of the first acknowledged end, in seconds; None before.
    """

    line: LogLine
    groups: dict[str, LogLine] = field(default_factory=dict)
    ended_at: float | None = None


@dataclass(frozen=True)
class StepRow:
    """
    A step and the last item that it waited for.

    :param submitted_at: Time of the first submission, in seconds.
    :param took: Time from the first submission to the end, in seconds; None if the step
        has not ended.
    :param whole: Number of complete groups.
    :param wanted: Number of groups that the trainer waits for.
    :param events: Number of events of the last item of the last group waited for.
    :param attempts: Number of engines that this item was sent to.
    :param before: Time from the submission until a node started the item, in seconds.
    :param seconds: Time of the item by phase, in seconds.
    :param after: Time from the item's result in the log to the step's end, in seconds.
    """

    model: str
    step: int
    submitted_at: float
    took: float | None
    whole: int
    wanted: int
    events: int = 0
    attempts: int = 0
    before: float = 0.0
    seconds: dict[str, float] = field(default_factory=dict)
    after: float = 0.0


@click.command()
@click.argument(
    "files", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True)
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON lines.")
def steps(files: tuple[Path, ...], as_json: bool) -> None:
    """
    Show the steps in log FILES: how long each took, and what its last item waited for.
    """
    lines = [line for file in files for line in read_lines(file)]
    lines.sort(key=lambda line: line.at)
    rows = read_steps((line.at, line.fields) for line in lines)
    if not rows:
        raise click.ClickException("no line tells of a job")
    if as_json:
        for row in rows:
            click.echo(json.dumps(vars(row)))
        return
    click.echo(_table(rows))
    click.echo(_phase_means(rows))
    click.echo(_failed_attempts(lines))


def read_steps(lines: Iterable[tuple[float, dict]]) -> list[StepRow]:
    """
    Return a row for each step, sorted by model and step.

    :param lines: Time in seconds and fields of each log line, in the order of times.
    """
    found: dict[str, _Step] = {}
    for at, fields in lines:
        event, job = fields["event"], fields.get("job")
        if event == "job_submitted" and fields["outcome"] == "done":
            found.setdefault(job, _Step(LogLine(at, fields)))
        elif job in found:
            _add_line(found[job], LogLine(at, fields))
    rows = [_row(step) for step in found.values()]
    return sorted(rows, key=lambda row: (row.model, row.step))


def _add_line(step: _Step, line: LogLine) -> None:
    if line.fields["event"] == "group_listed":
        # A partitioned node may list the group again; the first line counts.
        step.groups.setdefault(line.fields["group"], line)
    elif line.fields["event"] == "job_ended" and line.fields["acknowledged"]:
        # A trainer that got no answer repeats the request; the first end counts.
        step.ended_at = line.at if step.ended_at is None else step.ended_at


def _row(step: _Step) -> StepRow:
    fields, began = step.line.fields, step.line.at
    ended = step.ended_at
    groups = _complete_groups(step)
    common = {
        "model": fields["model"],
        "step": fields["step"],
        "submitted_at": began,
        "took": None if ended is None else ended - began,
        "whole": len(groups),
        "wanted": fields["groups_wanted"],
    }
    waited_for = groups[: fields["groups_wanted"]]
    if not waited_for:
        return StepRow(**common)
    last = waited_for[-1]
    seconds = last.fields["seconds"]
    return StepRow(
        **common,
        events=last.fields["events"],
        attempts=len(last.fields["engines"]),
        before=last.at - sum(seconds.values()) - began,
        seconds=seconds,
        after=0.0 if ended is None else ended - last.at,
    )


def _complete_groups(step: _Step) -> list[LogLine]:
    """
    Return the line of each complete group, in the order of completion.
    """
    return sorted(step.groups.values(), key=lambda line: line.at)


def _table(rows: list[StepRow]) -> str:
    head = (
        f"{'MODEL':<14} {'STEP':>4} {'AT':>9} {'TOOK':>6} {'WHOLE':>7} {'EVENTS':>6} "
        f"{'SENT':>4} {'BEFORE':>6} " + " ".join(f"{p.upper():>11}" for p in _PHASES)
    )
    lines = [f"{head} {'AFTER':>6}"]
    for row in rows:
        took = "-" if row.took is None else f"{row.took:.2f}"
        phases = " ".join(f"{row.seconds.get(p, 0.0):>11.2f}" for p in _PHASES)
        lines.append(
            f"{row.model:<14} {row.step:>4} {row.submitted_at:>9.2f} {took:>6} "
            f"{row.whole:>3}/{row.wanted:<3} {row.events:>6} {row.attempts:>4} "
            f"{row.before:>6.2f} {phases} {row.after:>6.2f}"
        )
    return "\n".join(lines)


def _phase_means(rows: list[StepRow]) -> str:
    """
    Return the mean seconds of a step by phase, for each model.
    """
    lines = ["", "mean seconds of the item that each step waited for"]
    for model in sorted({row.model for row in rows}):
        own = [row for row in rows if row.model == model and row.seconds]
        if not own:
            continue
        parts = {"before": mean(row.before for row in own)}
        parts |= {p: mean(row.seconds.get(p, 0.0) for row in own) for p in _PHASES}
        parts["after"] = mean(row.after for row in own)
        phases = " ".join(f"{name} {value:.2f}" for name, value in parts.items())
        lines.append(f"{model:<14} {len(own):>3} steps  {phases}")
    return "\n".join(lines)


def _failed_attempts(lines: list[LogLine]) -> str:
    """
    Return the number of failed attempts by outcome and reason.
    """
    failed = [
        line.fields for line in lines if line.fields["event"] == "item_attempt_failed"
    ]
    counts = Counter(
        (fields["outcome"], re.sub(r"\d+(\.\d+)?", "N", fields["reason"]))
        for fields in failed
    )
    table = ["", f"attempts of items that ended early: {len(failed)}"]
    table += [f"{n:>6}  {outcome}: {why}" for (outcome, why), n in counts.most_common()]
    return "\n".join(table)
