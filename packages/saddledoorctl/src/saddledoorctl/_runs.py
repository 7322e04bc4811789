# SPDX-License-Identifier: MIT

"""
``saddledoorctl report runs``: interrupted runs of items by reason, read from logs.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from statistics import mean, median

import click

from ._log_lines import LogLine, read_lines


__all__ = ["Cut", "count_handovers", "read_cuts", "runs"]

#: Printed reasons by logged outcome; other outcomes are printed as they are.
_REASONS = {
    "slow": "pace",
    "stalled": "silence",
    "moved": "restarted",
    "broken": "engine lost",
    "not_started": "refused",
    "not_wanted": "share moved",
}
#: Reasons of attempts that engines refused.
_REFUSED = {"refused", "weights"}


@dataclass(frozen=True)
class Cut:
    """
    A run that was interrupted before its text was complete.

    The log has times only for the last item of each group; `resume_delay`, `late` and
    `saved` are None for other items.

    :param events: Events of the text at the cut.
    :param resume_delay: Time from the cut to the next event, in seconds; all attempts
        on one node are assumed to have waited equally.
    :param late: Whether the group was listed after the objective.
    :param saved: Time saved by all cuts of the item, in seconds: the estimated time of
        the remaining events at the pace before the first cut, less the time that they
        took. Set for one cut of an item only: the first slow cut that a refusal
        followed, else the first cut. None for all of them if the job changed nodes, if
        the cuts do not have exactly one reason apart from refusals, or if the first cut
        had fewer than two events.
    """

    reason: str
    item: str
    events: int
    resume_delay: float | None = None
    late: bool | None = None
    saved: float | None = None


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
    counts = " ".join(f"{name} {n}" for name, n in count_handovers(lines).items())
    click.echo(f"\ntaken up after another node: {counts}")


def read_cuts(lines: Iterable[LogLine], objective: float) -> list[Cut]:
    """
    Return the interrupted runs, grouped by item.

    :param lines: Log lines in the order of their times.
    :param objective: Time after a job's submission at which a group is late, in
        seconds.
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
                # A partitioned node may list the group again; the first line counts.
                groups.setdefault((line.fields["job"], line.fields["group"]), line)
    listed = {line.fields["item"]: line for line in groups.values()}
    found: list[Cut] = []
    for item, own in cuts.items():
        late, last = None, listed.get(item)
        if last is not None and last.fields["job"] in submitted:
            late = last.at - submitted[last.fields["job"]] > objective
        one_node = taken_up[own[0].fields["job"]] == 1
        found += _cuts_of_item(item, own, last, late, one_node)
    return found


def count_handovers(lines: Iterable[LogLine]) -> Counter[str]:
    """
    Count the items of jobs that changed nodes.

    :returns: `items`; `let_go`, items with an `item_dropped` line (the others' node
        crashed); `events`, their events; `kept`, events of all items in the log.
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


def _cuts_of_item(
    item: str,
    cut_lines: list[LogLine],
    listed_line: LogLine | None,
    late: bool | None,
    one_node: bool,
) -> list[Cut]:
    reasons = [_reason(line.fields) for line in cut_lines]
    cut_reasons = set(reasons) - _REFUSED
    reported_index = 0
    for index, after in reversed(list(enumerate(reasons[1:]))):
        if reasons[index] == "pace" and after in _REFUSED:
            # The item gave up its slot and did not get another.
            reasons[index] = "pace, then refused"
            reported_index = index
    events = [line.fields["events"] for line in cut_lines]
    if listed_line is None:
        return [Cut(reasons[i], item, events[i]) for i in range(len(cut_lines))]
    seconds = listed_line.fields["seconds"]
    started_at = listed_line.at - sum(seconds.values())
    # All attempts are assumed to have waited equally.
    wait = seconds["place"] + seconds["first_event"]
    wait /= len(listed_line.fields["engines"])
    saved = None
    if one_node and len(cut_reasons) == 1 and events[0] > 1:
        event_interval = (cut_lines[0].at - started_at - wait) / (events[0] - 1)
        completed_at = (
            listed_line.at - seconds.get("score", 0.0) - seconds.get("log", 0.0)
        )
        saved = event_interval * (listed_line.fields["events"] - events[0]) - (
            completed_at - cut_lines[0].at
        )
    return [
        Cut(
            reasons[index],
            item,
            events[index],
            wait + max(0.0, started_at - line.at),
            late,
            saved if index == reported_index else None,
        )
        for index, line in enumerate(cut_lines)
    ]


def _reason(fields: dict) -> str:
    outcome = fields.get("outcome", fields["reason"])
    if outcome == "not_started" and fields["reason"].startswith(("weights", "event")):
        return "weights"
    if outcome == "broken" and fields["reason"] == "silent":
        return "silence"
    return _REASONS.get(outcome, outcome.replace("_", " "))


def _table(cuts: list[Cut]) -> str:
    """
    Return a row per reason, with its cuts and their items.

    BEGUN: cuts of a text with events; EVENTS: those events; LAST: cuts of a group's
    last item; LATE: late ones of these; BACK: mean time until the next event, in
    seconds; TOLD: items whose saved time is known; GAINED: its median, in seconds;
    LOST: items with a negative one.
    """
    lines = [
        f"{'REASON':<18} {'CUTS':>5} {'ITEMS':>5} {'BEGUN':>5} {'EVENTS':>6} "
        f"{'LAST':>5} {'LATE':>5} {'BACK':>5} {'TOLD':>5} {'GAINED':>7} {'LOST':>5}"
    ]
    for reason in sorted({cut.reason for cut in cuts}):
        own = [cut for cut in cuts if cut.reason == reason]
        delays = [cut.resume_delay for cut in own if cut.resume_delay is not None]
        savings = [cut.saved for cut in own if cut.saved is not None]
        delay = f"{mean(delays):.2f}" if delays else "-"
        saved = f"{median(savings):.2f}" if savings else "-"
        lines.append(
            f"{reason:<18} {len(own):>5} {len({cut.item for cut in own}):>5} "
            f"{sum(cut.events > 0 for cut in own):>5} {sum(c.events for c in own):>6} "
            f"{len(delays):>5} {sum(bool(cut.late) for cut in own):>5} {delay:>5} "
            f"{len(savings):>5} {saved:>7} {sum(g < 0 for g in savings):>5}"
        )
    return "\n".join(lines)
