# SPDX-License-Identifier: MIT

"""
The daemon and the gateway use the same functions of the library for the same decisions.
"""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

import saddledoord


_PACKAGE = Path(saddledoord.__file__).parent
#: Entry modules of the daemon and of the gateway.
_DAEMON, _GATEWAY = "_daemon.py", "gateway.py"

#: Names of the library that both import, by subject.
_SHARED = {
    "interfaces": {"EngineEntry", "GatewayConfig", "GeneratedEvent"},
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


def _module_files(path: Path, node: ast.ImportFrom) -> list[Path]:
    """
    Return the files of this package that a relative import may refer to.
    """
    folder = path.parents[node.level - 1]
    parts = node.module.split(".") if node.module else []
    base = folder.joinpath(*parts)
    module_files = [base.with_suffix(".py")] if parts else []
    submodules = [base / f"{alias.name}.py" for alias in node.names]
    files = [*module_files, base / "__init__.py", *submodules]
    return [candidate for candidate in files if candidate.is_file()]


def _imported_names(start: str) -> set[str]:
    """
    Return the names of the library that a module imports, directly or transitively.
    """
    pending, seen, names = [_PACKAGE / start], set(), set()
    while pending:
        path = pending.pop()
        if path in seen:
            continue
        seen.add(path)
        for node in _imports(path):
            if node.level:
                pending += _module_files(path, node)
            elif node.module == "saddledoor":
                names |= {alias.name for alias in node.names}
    return names


@pytest.mark.parametrize("subject", _SHARED)
def test_shared_decisions_use_the_same_functions(subject):
    """
    Neither replaces a shared function of the library by its own.
    """
    assert _SHARED[subject] - _imported_names(_DAEMON) == set()
    assert _SHARED[subject] - _imported_names(_GATEWAY) == set()


def test_names_that_daemon_and_gateway_import_are_listed():
    """
    Every name that the daemon and the gateway import is listed in `_SHARED`.
    """
    shared = _imported_names(_DAEMON) & _imported_names(_GATEWAY)
    assert shared == set().union(*_SHARED.values())
