# SPDX-License-Identifier: MIT

"""
The operators' command line against a running deployment.
"""

from __future__ import annotations

import json

import pytest
import yaml

from saddledoor_standins.bench._process import resident_mb
from saddledoor_standins.testbed import Shape, Testbed, until


@pytest.fixture(scope="module")
def bed():
    """
    One VM that writes its totals for the burn report every half second.
    """
    shape = Shape(
        vms={"dc-a": 1},
        engines={"dc-a": 1},
        services={"dc-a": 1},
        timings={"burn": 0.5},
    )
    with Testbed.open(shape) as bed:
        yield bed


def _log(bed: Testbed) -> tuple[str, str]:
    return ("--log", f"http://{bed.log}")


def _write(bed: Testbed, text: str) -> str:
    path = bed.fleet.folder / "file.yaml"
    path.write_text(text)
    return str(path)


def test_what_show_prints_can_be_edited_and_published(bed):
    """
    The file names the offset that it was edited from, so `--base` is not needed.
    """
    text = bed.ctl("config", "show", *_log(bed)).stdout
    changed = text.replace("max_queue: ", "max_queue: 1")
    assert changed != text
    done = bed.ctl("config", "publish", _write(bed, changed), *_log(bed), "--json")
    assert done.returncode == 0
    offset = json.loads(done.stdout)["offset"]
    until(lambda: bed.is_active_everywhere(offset))
    assert f"offset {offset}" in bed.ctl("config", "show", *_log(bed)).stdout


def test_publishing_without_a_base_is_refused(bed):
    """
    The file does not name the offset that it was edited from.
    """
    done = bed.ctl(
        "config", "publish", _write(bed, yaml.safe_dump(bed.deployment)), *_log(bed)
    )
    assert done.returncode == 2
    assert "--base" in done.stderr


def test_a_file_with_one_bad_field_changes_nothing(bed):
    """
    The command prints the field and line and exits with 2; the log is unchanged.
    """
    before = bed.ctl("config", "history", *_log(bed), "--json").stdout
    bad = {**bed.deployment, "trainers": [{"name": "x"}]}
    path = _write(bed, yaml.safe_dump(bad))
    done = bed.ctl("config", "publish", path, *_log(bed), "--base", "0")
    assert done.returncode == 2
    assert "trainers[0].pool (line " in done.stderr
    assert bed.ctl("config", "history", *_log(bed), "--json").stdout == before


def test_history_lists_the_state_of_each_proposal(bed):
    """
    A proposal edited from an old offset is listed as lost.
    """
    assert bed.publish(bed.deployment, -1)["state"] == "lost"
    rows = json.loads(bed.ctl("config", "history", *_log(bed), "--json").stdout)
    states = [row["state"] for row in rows if row["what"] == "proposal"]
    assert states[0] == "accepted" and states[-1] == "lost"


def test_an_unreachable_log_has_its_own_exit_status(bed):
    """
    Nothing listens on the port; the command exits with 3 and without a traceback.
    """
    done = bed.ctl("config", "show", "--log", "http://127.0.0.1:1")
    assert done.returncode == 3
    assert "Traceback" not in done.stderr


def test_status_shows_vms_back_ends_and_lease_holders(bed):
    """
    As a table and as JSON, from one VM or from the platform's list.
    """
    words = ("dc-a-vm1", "engine-1", "model-a=1", "desk-1", "control/dc-a")

    def shows_all(*where: str) -> bool:
        text = bed.ctl("status", *where).stdout
        return all(word in text for word in words)

    # The lease is written to the log before the first poll of the back ends.
    until(lambda: shows_all("--vm-list", f"http://{bed.vm_list}"))
    assert shows_all("--vm", bed.vms["dc-a-vm1"].http)
    done = bed.ctl("status", "--vm", bed.vms["dc-a-vm1"].http, "--json")
    view = next(iter(json.loads(done.stdout).values()))
    assert view["config_offset"] >= bed.offset


def test_the_burn_report_has_rows_for_partners_and_pools(bed):
    """
    The VM writes its totals to the log, and the report computes rates from them.
    """
    objectives = [
        {"name": "fast", "kind": "latency", "threshold": 5.0, "target": 0.9},
        {"name": "refused", "kind": "refusals", "threshold": 0, "target": 0.5},
    ]
    base = bed.status("dc-a-vm1")["config_offset"]
    published = bed.publish({**bed.deployment, "objectives": objectives}, base)
    until(lambda: bed.is_active_everywhere(published["offset"]))
    assert bed.complete("dc-a-vm1", "p").code == 100
    bed.fake("desk-1", not_started=10)
    assert bed.look_up("dc-a-vm1").family == "not_run"
    bed.fake("desk-1", not_started=0)

    def rows() -> dict:
        done = bed.ctl("report", "burn", *_log(bed), "--json")
        found = json.loads(done.stdout)["rows"]
        return {(r["objective"], r["subject"]): r for r in found}

    def both_counted() -> dict | None:
        # Totals may be written between the two requests.
        found = rows()
        row = found.get(("refused", "partner-a"))
        return found if row and row["total"] == 2 else None

    seen = until(both_counted)
    assert seen[("fast", "pool:pool-a")]["rate"] == 0
    assert seen[("refused", "partner-a")]["rate"] == pytest.approx(1.0)
    assert seen[("refused", "partner-a")]["by_data_centre"] == {"dc-a": 1}


def test_an_idle_daemon_stays_within_its_memory(bed):
    """
    The limit for the daemon is 128 MB on a VM.
    """
    assert resident_mb(bed.process("dc-a-vm1").popen.pid) < 128
