# SPDX-License-Identifier: MIT

"""
Which events of an item's text a node writes to the log.
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
    Collects records and texts; `finish` acknowledges all of them.
    """

    def __init__(self) -> None:
        self.records: list[ItemCheckpoint] = []
        self.texts: list[bytes] = []
        self._written = []

    def put_with_text(self, text, make_record, written, regions):
        self.texts.append(text)
        self.records.append(make_record(StoredText((len(self.texts),), len(text))))
        self._written.append(written)

    def finish(self):
        for written in self._written:
            written()


def _run(events: int) -> ItemRun:
    job = make_job(1)
    run = ItemRun.create(make_job_state(job), job.items[0])
    _add_events(run, events)
    return run


def _add_events(run: ItemRun, events: int) -> None:
    for number in range(run.text.last + 1, run.text.last + events + 1):
        assert run.text.take(GeneratedEvent(number, f"e{number}", 1), 1)


def _record_checkpoint(run: ItemRun, record: ItemCheckpoint) -> None:
    checkpoint = CheckpointedText(
        record.count, record.versions, record.chain, (record.text,)
    )
    run.state.kept[run.item.item_id] = checkpoint


def test_only_new_events_are_written_while_the_log_holds_those_of_this_run():
    """
    Guards against an event that is written twice.
    """
    run, writer = _run(3), _Writer()
    run.persist(writer)
    _record_checkpoint(run, writer.records[0])
    writer.finish()
    _add_events(run, 2)
    run.persist(writer)
    assert [(r.first, r.count) for r in writer.records] == [(1, 3), (4, 2)]
    assert writer.records[1].follows == writer.records[0].chain


def test_the_whole_text_is_written_once_the_log_holds_another_run_s():
    """
    Guards against a gap when the previous owner's last events arrive late.
    """
    run, writer = _run(3), _Writer()
    run.persist(writer)
    writer.finish()
    run.state.kept[run.item.item_id] = CheckpointedText(2, (1,), "another", ())
    _add_events(run, 2)
    run.persist(writer)
    record = writer.records[1]
    assert (record.first, record.count, record.follows) == (1, 5, "")
    assert decode_events(writer.texts[1]) == ("e1", "e2", "e3", "e4", "e5")


def test_events_in_flight_are_not_written_again():
    """
    Guards against a repeated write of events whose append is in flight.
    """
    run, writer = _run(3), _Writer()
    run.persist(writer)
    _add_events(run, 2)
    run.persist(writer)
    assert [(r.first, r.count) for r in writer.records] == [(1, 3), (4, 2)]
