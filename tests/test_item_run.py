# SPDX-License-Identifier: MIT

"""
What a node gives the log of an item's text.
"""

from __future__ import annotations

from builders import make_job, make_job_state
from saddledoor import (
    CheckpointedText,
    GeneratedEvent,
    ItemCheckpoint,
    StoredText,
    decode_events,
)
from saddledoord.jobs.item_run import ItemRun


class _Writer:
    """
    Keeps what it is given, and says that it is written when a test wants.
    """

    def __init__(self) -> None:
        self.records: list[ItemCheckpoint] = []
        self.texts: list[bytes] = []
        self._written = []

    def put_with_text(self, text, record_of, written):
        self.texts.append(text)
        self.records.append(record_of(StoredText((len(self.texts),), len(text))))
        self._written.append(written)

    def finish(self):
        for written in self._written:
            written()


def _run(events: int) -> ItemRun:
    job = make_job(1)
    run = ItemRun.begin(make_job_state(job), job.items[0])
    _grow(run, events)
    return run


def _grow(run: ItemRun, events: int) -> None:
    for number in range(run.text.last + 1, run.text.last + events + 1):
        assert run.text.take(GeneratedEvent(number, f"e{number}", 1), 1)


def _hold(run: ItemRun, record: ItemCheckpoint) -> None:
    kept = CheckpointedText(record.count, record.versions, record.chain, (record.text,))
    run.state.kept[run.item.item_id] = kept


def test_only_new_events_are_given_while_the_log_holds_this_run_s():
    """
    Each event once.
    """
    run, writer = _run(3), _Writer()
    run.persist(writer)
    _hold(run, writer.records[0])
    writer.finish()
    _grow(run, 2)
    run.persist(writer)
    assert [(r.first, r.count) for r in writer.records] == [(1, 3), (4, 2)]
    assert writer.records[1].follows == writer.records[0].chain


def test_the_whole_text_is_given_once_the_log_holds_another_run_s():
    """
    That one's last events came after this run had begun.
    """
    run, writer = _run(3), _Writer()
    run.persist(writer)
    writer.finish()
    run.state.kept[run.item.item_id] = CheckpointedText(2, (1,), "another", ())
    _grow(run, 2)
    run.persist(writer)
    record = writer.records[1]
    assert (record.first, record.count, record.follows) == (1, 5, "")
    assert decode_events(writer.texts[1]) == ("e1", "e2", "e3", "e4", "e5")


def test_what_is_on_its_way_counts_as_given():
    """
    An item that is dropped then gives the rest, not everything again.
    """
    run, writer = _run(3), _Writer()
    run.persist(writer)
    _grow(run, 2)
    run.persist(writer)
    assert [(r.first, r.count) for r in writer.records] == [(1, 3), (4, 2)]
