# SPDX-License-Identifier: MIT

"""
``saddledoorctl report runs``: runs of items that were cut, by reason, from logs.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from statistics import mean, median

import click

from ._log_lines import LogLine, read_lines


__all__ = ["Cut", "read_cuts", "read_taken_up", "runs"]

#: Why an item left its engine, by what the log tells; anything else stands for itself.
_REASONS = {
    "slow": "pace",
    "stalled": "silence",
    "moved": "restarted",
    "broken": "engine lost",
    "not_started": "refused",
    "not_wanted": "share moved",
}
_REFUSED = {"refused", "weights"}


@dataclass(frozen=True)
class Cut:
    """
    A run that was ended before its text was whole.

    The log has the times only of the item that its group waited for last; `back`,
    `late` and `gained` are none for the others.

    :param events: Of its text at the cut, a count.
    :param back: From the cut to the next event, in seconds; all attempts of one node
        are taken to have waited alike.
    :param late: Whether its group was listed after the objective.
    :param gained: By all cuts of the item, in seconds: what its other events would have
        taken at the pace before, less what they took. Only if one node had the item and
        its cuts have, but for refusals, one reason; told with the first of them, or
        with the first that a refusal followed.
    """

    reason: str
    item: str
    events: int
    back: float | None = None
    late: bool | None = None
    gained: float | None = None


@click.command()
@click.argument(
    "files", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True)
)
@click.option("--objective", default=7.5, show_default=True, help="Of a job, seconds.")
def runs(files: tuple[Path, ...], objective: float) -> None:
    """
    Show the runs in log FILES that were cut, by reason: what they cost and gained.
    """
    lines = sorted((n for f in files for n in read_lines(f)), key=lambda n: n.at)
    if not any(line.fields["event"] == "job_submitted" for line in lines):
        raise click.ClickException("no line tells of a job")
    click.echo(_table(read_cuts(lines, objective)))
    told = " ".join(f"{name} {n}" for name, n in read_taken_up(lines).items())
    click.echo(f"\ntaken up after another node: {told}")


def read_cuts(lines: Iterable[LogLine], objective: float) -> list[Cut]:
    """
    Return the cut runs, item by item, of log lines in the order of their times.

    :param objective: From a job's submission until a group is late, in seconds.
    """
    submitted: dict[str, float] = {}
    cuts: dict[str, list[LogLine]] = defaultdict(list)
    groups: dict[tuple[str, str], LogLine] = {}
    taken_up: Counter[str] = Counter()
    for line in lines:
        match line.fields["event"]:
            case "job_submitted":
                submitted.setdefault(line.fields["job"], line.at)
            case "item_attempt_failed" | "item_dropped":
                cuts[line.fields["item"]].append(line)
            case "job_taken_up":
                taken_up[line.fields["job"]] += 1
            case "group_listed":
                # A node that was cut off lists it once more, in vain.
                groups.setdefault((line.fields["job"], line.fields["group"]), line)
    listed = {line.fields["item"]: line for line in groups.values()}
    found: list[Cut] = []
    for item, own in cuts.items():
        late, last = None, listed.get(item)
        if last is not None and last.fields["job"] in submitted:
            late = last.at - submitted[last.fields["job"]] > objective
        one_node = taken_up[own[0].fields["job"]] == 1
        found += _cuts_of(item, own, last, late, one_node)
    return found


def read_taken_up(lines: Iterable[LogLine]) -> Counter[str]:
    """
    Count what went from node to node: items, those let go with a line (the others' node
    was lost), their events, and the events that the log held of all of them.
    """
    seen: set[str] = set()
    let_go: dict[str, dict[str, int]] = defaultdict(dict)
    counts = Counter(items=0, let_go=0, events=0, kept=0)
    for line in lines:
        fields = line.fields
        if fields["event"] == "item_dropped":
            let_go[fields["job"]][fields["item"]] = fields["events"]
        elif fields["event"] == "job_taken_up":
            own = let_go.pop(fields["job"], {})
            if fields["job"] in seen:
                counts["items"] += fields["items"]
                counts["kept"] += fields["kept_events"]
                counts["let_go"] += len(own)
                counts["events"] += sum(own.values())
            seen.add(fields["job"])
    return counts


def _cuts_of(
    item: str,
    own: list[LogLine],
    last: LogLine | None,
    late: bool | None,
    one_node: bool,
) -> list[Cut]:
    reasons = [_reason(line.fields) for line in own]
    kinds = set(reasons) - _REFUSED
    told_with = 0
    for index, after in reversed(list(enumerate(reasons[1:]))):
        if reasons[index] == "pace" and after in _REFUSED:
            # Told apart: it gave up a place and had none.
            reasons[index] = "pace, then refused"
            told_with = index
    events = [line.fields["events"] for line in own]
    if last is None:
        return [Cut(reasons[i], item, events[i]) for i in range(len(own))]
    seconds = last.fields["seconds"]
    began = last.at - sum(seconds.values())
    wait = seconds["place"] + seconds["first_event"]
    wait /= len(last.fields["engines"])
    gained = None
    if one_node and len(kinds) == 1 and events[0] > 1:
        gap = (own[0].at - began - wait) / (events[0] - 1)
        whole = last.at - seconds.get("score", 0.0) - seconds.get("log", 0.0)
        gained = gap * (last.fields["events"] - events[0]) - (whole - own[0].at)
    return [
        Cut(
            reasons[index],
            item,
            events[index],
            wait + max(0.0, began - line.at),
            late,
            gained if index == told_with else None,
        )
        for index, line in enumerate(own)
    ]


def _reason(fields: dict) -> str:
    told = fields.get("outcome", fields["reason"])
    if told == "not_started" and fields["reason"].startswith(("weights", "event")):
        return "weights"
    if told == "broken" and fields["reason"] == "silent":
        return "silence"
    return _REASONS.get(told, told.replace("_", " "))


def _table(cuts: list[Cut]) -> str:
    """
    Return a row a reason: cuts, items, cuts of a text with events, those events, cuts
    whose item its group waited for, late ones of these, mean time until the next event,
    items whose gain is told, its median, and how many lost.
    """
    lines = [
        f"{'REASON':<18} {'CUTS':>5} {'ITEMS':>5} {'BEGUN':>5} {'EVENTS':>6} "
        f"{'LAST':>5} {'LATE':>5} {'BACK':>5} {'TOLD':>5} {'GAINED':>7} {'LOST':>5}"
    ]
    for reason in sorted({cut.reason for cut in cuts}):
        own = [cut for cut in cuts if cut.reason == reason]
        backs = [cut.back for cut in own if cut.back is not None]
        gains = [cut.gained for cut in own if cut.gained is not None]
        back = f"{mean(backs):.2f}" if backs else "-"
        gained = f"{median(gains):.2f}" if gains else "-"
        lines.append(
            f"{reason:<18} {len(own):>5} {len({cut.item for cut in own}):>5} "
            f"{sum(cut.events > 0 for cut in own):>5} {sum(c.events for c in own):>6} "
            f"{len(backs):>5} {sum(bool(cut.late) for cut in own):>5} {back:>5} "
            f"{len(gains):>5} {gained:>7} {sum(g < 0 for g in gains):>5}"
        )
    return "\n".join(lines)
