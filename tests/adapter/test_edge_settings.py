# SPDX-License-Identifier: MIT

"""
Reloading of an edge's settings file at run time.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from platform_bed import until
from platform_documents import make_job, texts, whole_texts


def _logged(bed, event: str) -> list[dict]:
    return [line for line in bed.log("edge-0") if line["event"] == event]


@pytest.mark.parametrize("signalled", [True, False], ids=["by a signal", "without one"])
def test_a_changed_file_is_taken_while_texts_are_made(platform_bed, signalled):
    """
    No item runs twice, and the metrics show the version in force.
    """
    bed = platform_bed
    for engine in ("engine-0", "engine-1"):
        bed.fake_engine(engine, pace=0.2)
    before = bed.settings_in_force("edge-0")
    assert bed.submit("job-1", make_job(2)).status == 202
    until(lambda: len(bed.runs()) == 2)
    bed.change_settings("edge-0", "cancel_ms = 3000", "cancel_ms = 2000")
    if signalled:
        bed.signal("edge-0", signal.SIGHUP)
    until(lambda: bed.settings_in_force("edge-0") != before, 3.0)
    (line,) = _logged(bed, "settings_in_force")
    assert line["version"] == bed.settings_in_force("edge-0")
    assert texts(bed.finished("job-1", 2)) == whole_texts(2)
    items = [run for run in bed.runs() if run["request_id"].startswith("item")]
    assert [run["resume_after"] for run in items] == [0, 0]


@pytest.mark.parametrize("held", ["imports", "settings"])
def test_a_signal_before_the_handler_does_not_end_the_process(tmp_path, held):
    """
    It may come as soon as the file is written, while the process still imports its
    modules or reads its settings.
    """
    pipe = tmp_path / "pipe"
    os.mkfifo(pipe)
    if held == "imports":
        code = f"open({str(pipe)!r}).read()"
        (tmp_path / "click.py").write_text(f"{code}\nraise SystemExit(7)\n")
    edge = Path(__file__).parent.parent.parent / "platform" / "edge.py"
    process = subprocess.Popen(
        [sys.executable, str(edge)],
        env={
            **os.environ,
            "PYTHONPATH": f"{tmp_path}:{os.environ.get('PYTHONPATH', '')}",
            "SADDLEDOOR_BOOT": str(pipe),
        },
        stderr=subprocess.DEVNULL,
    )
    try:
        # Opening the pipe waits until the process reads from it.
        with pipe.open("w") as stream:
            process.send_signal(signal.SIGHUP)
            time.sleep(0.2)
            assert process.poll() is None
            stream.write("unusable")
        assert process.wait(10.0) == (7 if held == "imports" else 2)
    finally:
        process.kill()
        process.wait()


@pytest.mark.parametrize(
    ("before", "after", "expected"),
    [
        ("grace_s = 8", "grace_s = true", "timing_bounds.grace_s"),
        ("lease_ms = 1000", "lease_ms = 1500", "lease_term"),
        ("[platform]", "[platform", "edge-0.toml"),
    ],
)
def test_a_file_that_cannot_be_taken_is_refused_whole_with_one_line(
    platform_bed, before, after, expected
):
    """
    The line names the field; the settings in force stay, and the next valid file is
    applied.
    """
    bed = platform_bed
    version = bed.settings_in_force("edge-0")
    bed.change_settings("edge-0", "cancel_ms = 3000", "cancel_ms = 2000")
    bed.change_settings("edge-0", before, after)
    bed.signal("edge-0", signal.SIGHUP)
    until(lambda: _logged(bed, "settings_refused"))
    time.sleep(1.2)
    (line,) = _logged(bed, "settings_refused")
    assert expected in line["reason"]
    assert bed.settings_in_force("edge-0") == version == line["in_force"]
    assert bed.submit("job-1", make_job(1)).status == 202
    bed.change_settings("edge-0", after, before)
    until(lambda: bed.settings_in_force("edge-0") != version, 3.0)
