# SPDX-License-Identifier: MIT

"""
Deployment files on disk, and the offset that they were edited from.
"""

from __future__ import annotations

import difflib
import json
import re
from pathlib import Path

import yaml

from saddledoor import Deployment, deployment_to_json, unpack_document, validate
from saddledoor.checked_yaml import load_checked
from saddledoor.exceptions import InvalidDocumentError, Problem


__all__ = ["difference", "load_deployment", "read_base", "to_yaml"]

#: Comment with the base offset, written by `config show`, read by `config publish`.
_BASE = re.compile(rb"^# edited from offset (-?\d+)\s*$", re.MULTILINE)


def load_deployment(path: Path) -> Deployment:
    """
    Read and check a deployment file as a whole.

    :raises InvalidDocumentError: If the file cannot be read or is invalid.
    """
    return load_checked(str(path), read_file(path), validate)


def read_file(path: Path) -> bytes:
    """
    Read a file.

    :raises InvalidDocumentError: If it cannot be read.
    """
    try:
        return path.read_bytes()
    except OSError as error:
        problem = Problem("file", error.strerror or "an error", "a readable file")
        raise InvalidDocumentError(str(path), (problem,)) from None


def read_base(path: Path) -> int | None:
    """
    Return the offset that a file was edited from; None if the file does not name it.
    """
    found = _BASE.search(read_file(path))
    return int(found.group(1)) if found else None


def to_yaml(document: str, offset: int) -> str:
    """
    Render a packed document as a file that can be edited and published.
    """
    data = json.loads(unpack_document(document))
    text = yaml.safe_dump(data, sort_keys=False, allow_unicode=True, width=88)
    return f"# edited from offset {offset}\n{text}"


def difference(mine: Deployment, document: str) -> str:
    """
    Return a unified diff from an accepted document to a file.
    """
    own = yaml.safe_dump(json.loads(deployment_to_json(mine)), sort_keys=False)
    theirs = yaml.safe_dump(json.loads(unpack_document(document)), sort_keys=False)
    lines = difflib.unified_diff(
        theirs.splitlines(), own.splitlines(), "accepted", "yours", lineterm="", n=1
    )
    return "\n".join(lines)
