# SPDX-License-Identifier: MIT

"""
The docs agree with the code.
"""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

import pytest

from proofs import GATEWAY_PROOFS, PROOFS
from saddledoor import Family, NotRun, OutcomeUnknown, ResultCode, describe
from saddledoor.tracing import CHECKS


_ROOT = Path(__file__).parent.parent
#: Days that the users wrote for one of their deployments, stored as they came.
_DAYS_OF_USERS = {"unlucky"}
#: Fields of a day's entry that name a part of a deployment.
_NAMED = {"class", "region", "service", "to_zone", "zone"}


def test_the_table_of_codes_matches_the_code():
    """
    docs/CALLERS.md has exactly one row per result code, with the code's description.
    """
    text = (_ROOT / "docs" / "CALLERS.md").read_text()
    listed = [line for line in text.splitlines() if re.match(r"\| \d+ \|", line)]
    expected = [
        f"| {int(code)} | {code.name.lower()} | {code.family.value} | {status} "
        f"| {meaning} | {todo} |"
        for code, status, meaning, todo in describe()
    ]
    assert listed == expected


def test_every_promise_has_its_row():
    """
    docs/PROMISES.md names every state machine in tests/proofs.
    """
    text = (_ROOT / "docs" / "PROMISES.md").read_text()
    machines = {p.stem for p in (_ROOT / "tests" / "proofs").glob("[a-z]*.py")}
    assert [name for name in sorted(machines) if f"`{name}`" not in text] == []
    assert len(machines) == len(PROOFS) + len(GATEWAY_PROOFS)
    # The promises in PROOFS are also checked by replaying traces.
    assert {proof.name for proof in PROOFS} == set(CHECKS)


@pytest.mark.parametrize("code", ResultCode)
def test_the_families_do_not_mix(code):
    """
    NotRun and OutcomeUnknown accept only the codes of their own family.
    """
    if code.family is not Family.NOT_RUN:
        with pytest.raises(ValueError):
            NotRun(code, "")
    if code.family is not Family.UNKNOWN:
        with pytest.raises(ValueError):
            OutcomeUnknown(code, "")


def test_every_day_of_our_own_is_described_and_names_no_site():
    """
    deploy/days/README.md has one row per file; each file refers to services, data
    centres and kinds of request by their index.
    """
    days = _ROOT / "deploy" / "days"
    rows = re.findall(r"^\| `([a-z-]+)` \|", (days / "README.md").read_text(), re.M)
    assert sorted(rows) == sorted(path.stem for path in days.glob("*.toml"))
    for path in sorted(days.glob("*.toml")):
        document = tomllib.loads(path.read_text())
        if path.stem in _DAYS_OF_USERS:
            assert document["name"] == path.stem and document["faults"]
            continue
        [day] = document["day"]
        assert day["name"] == f"own-{path.stem}"
        for entry in day["plan"] + day["faults"]:
            named = {entry[key] for key in _NAMED & entry.keys()}
            assert named <= {"@c0", "@s0", "@z0"}, (path.name, entry)
