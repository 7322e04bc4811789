# SPDX-License-Identifier: MIT

"""
Reads and validates YAML documents, and reports the line of each problem.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import TypeVar

import yaml

from .exceptions import InvalidDocumentError, Problem


__all__ = ["MAX_DOCUMENT_BYTES", "load_checked"]

#: Maximum size of a document, in bytes.
MAX_DOCUMENT_BYTES = 1_000_000

_T = TypeVar("_T")
_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


def load_checked(name: str, data: bytes, validate: Callable[[str, object], _T]) -> _T:
    """
    Parse and validate a document.

    :param name: Name of the file, for error messages.
    :param data: Content of the file.
    :param validate: Called with the name and the parsed data; raises
        `InvalidDocumentError` with paths such as ``pools[0].name``.
    :raises InvalidDocumentError: With all problems, and their lines where known.
    """
    root = _parse(name, data)
    try:
        return validate(name, _construct(name, data))
    except InvalidDocumentError as error:
        located = tuple(_locate(root, problem) for problem in error.problems)
        raise InvalidDocumentError(name, located) from None


def _parse(name: str, data: bytes) -> yaml.Node:
    if len(data) > MAX_DOCUMENT_BYTES:
        found = f"{len(data)} bytes"
        raise _invalid(name, "file", found, f"at most {MAX_DOCUMENT_BYTES} bytes")
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        found = f"invalid UTF-8 at byte {error.start}"
        raise _invalid(name, "file", found, "UTF-8 text") from None
    try:
        root = yaml.compose(text, Loader=_Loader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        place = f"line {mark.line + 1}" if mark else "file"
        raise _invalid(name, place, str(error.problem), "YAML") from None
    except (yaml.YAMLError, RecursionError) as error:
        found = str(error).splitlines()[0]
        raise _invalid(name, "file", found, "YAML") from None
    if root is None:
        raise _invalid(name, "file", "nothing", "a YAML mapping")
    try:
        _reject_unsafe_nodes(name, root, set())
    except RecursionError:
        raise _invalid(name, "file", "excessive nesting", "less nesting") from None
    return root


def _construct(name: str, data: bytes) -> object:
    try:
        return yaml.load(data.decode("utf-8"), Loader=_Loader)
    except (yaml.YAMLError, ValueError) as error:
        # ValueError: an invalid date.
        raise _invalid(name, "file", str(error).splitlines()[0], "YAML") from None


def _reject_unsafe_nodes(name: str, node: yaml.Node, visited: set[int]) -> None:
    """
    Reject constructs that the YAML parser accepts: aliases, which can expand a small
    file without limit, and duplicate keys, of which the last one wins.
    """
    place = f"line {node.start_mark.line + 1}"
    if id(node) in visited:
        raise _invalid(name, place, "an alias", "values written out")
    visited.add(id(node))
    if isinstance(node, yaml.SequenceNode):
        for item in node.value:
            _reject_unsafe_nodes(name, item, visited)
    if not isinstance(node, yaml.MappingNode):
        return
    seen: set[str] = set()
    for key, value in node.value:
        if not isinstance(key, yaml.ScalarNode):
            raise _invalid(name, place, "a key that is not a scalar", "scalar keys")
        if key.value in seen:
            place = f"line {key.start_mark.line + 1}"
            raise _invalid(name, place, f"key {key.value!r} twice", "unique keys")
        seen.add(key.value)
        _reject_unsafe_nodes(name, value, visited)


def _locate(root: yaml.Node, problem: Problem) -> Problem:
    node = root
    for part in re.findall(r"[^.\[\]]+", problem.place):
        child = _child(node, part)
        if child is None:
            break
        node = child
    place = f"{problem.place} (line {node.start_mark.line + 1})"
    return Problem(place, problem.found, problem.allowed)


def _child(node: yaml.Node, part: str) -> yaml.Node | None:
    if isinstance(node, yaml.SequenceNode) and part.isdigit():
        return node.value[int(part)] if int(part) < len(node.value) else None
    if isinstance(node, yaml.MappingNode):
        return next((v for k, v in node.value if k.value == part), None)
    return None


def _invalid(name: str, place: str, found: str, allowed: str) -> InvalidDocumentError:
    return InvalidDocumentError(name, (Problem(place, found, allowed),))
