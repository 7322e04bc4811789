# SPDX-License-Identifier: MIT

"""
Which decisions of the library both daemons make with the same functions.
"""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

import saddledoord


_DAEMONS = Path(saddledoord.__file__).parent
#: Where the program of the own deployment begins, and where the gateway does.
_OWN, _GATEWAY = "_daemon.py", "gateway.py"

#: What both reach, by subject. It grows as the daemons become one; a name goes only
#: with the decision itself.
_SHARED = {
    "leases": {
        "HeldLease",
        "LeaseClaim",
        "LeaseFold",
        "LeaseRelease",
        "LeaseRenewal",
        "LeaseWatch",
    },
    "placement": {"Candidate", "RoutingPolicy"},
    "records": {"decode_record", "encode_record"},
    "retries": {"NotRun", "OutcomeUnknown", "ResultCode"},
}


def _imports(path: Path) -> list[ast.ImportFrom]:
    tree = ast.parse(path.read_text())
    return [node for node in ast.walk(tree) if isinstance(node, ast.ImportFrom)]


def _module(path: Path, node: ast.ImportFrom) -> list[Path]:
    """
    Return the files of this package that a relative import may name.
    """
    folder = path.parents[node.level - 1]
    parts = node.module.split(".") if node.module else []
    base = folder.joinpath(*parts)
    named = [base.with_suffix(".py")] if parts else []
    inside = [base / f"{alias.name}.py" for alias in node.names]
    found = [*named, base / "__init__.py", *inside]
    return [candidate for candidate in found if candidate.is_file()]


def _reached(start: str) -> set[str]:
    """
    Return the names of the library that a program's modules import, at any depth.
    """
    waiting, seen, names = [_DAEMONS / start], set(), set()
    while waiting:
        path = waiting.pop()
        if path in seen:
            continue
        seen.add(path)
        for node in _imports(path):
            if node.level:
                waiting += _module(path, node)
            elif node.module == "saddledoor":
                names |= {alias.name for alias in node.names}
    return names


@pytest.mark.parametrize("subject", _SHARED)
def test_a_decision_that_both_daemons_share_stays_shared(subject):
    """
    Neither daemon gets a function of its own for what both take from the library.
    """
    assert _SHARED[subject] - _reached(_OWN) == set()
    assert _SHARED[subject] - _reached(_GATEWAY) == set()


def test_what_has_become_shared_is_written_down():
    """
    A name that both daemons come to import is listed, so that it stays shared.
    """
    shared = _reached(_OWN) & _reached(_GATEWAY)
    assert shared == set().union(*_SHARED.values())
