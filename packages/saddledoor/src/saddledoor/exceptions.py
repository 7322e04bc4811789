# SPDX-License-Identifier: MIT

"""
Exceptions of the library: faults of input that cannot be used, never outcomes.
"""

from __future__ import annotations

from dataclasses import dataclass


__all__ = [
    "InvalidDocumentError",
    "Problem",
    "SaddledoorError",
    "UndecodableRecordError",
]


@dataclass(frozen=True)
class Problem:
    """
    One fault in a document.

    :param place: Line or path of the field, for example ``pools[0].name (line 7)``.
    :param found: What stands there.
    :param allowed: What may stand there.
    """

    place: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.place}: found {self.found}; allowed: {self.allowed}"


class SaddledoorError(Exception):
    """
    Base of the library's exceptions.
    """


class InvalidDocumentError(SaddledoorError):
    """
    A settings or deployment file cannot be used; nothing of it was applied.
    """

    def __init__(self, name: str, problems: tuple[Problem, ...]) -> None:
        self.name = name
        self.problems = problems
        super().__init__("\n".join(f"{name}: {problem}" for problem in problems))


class UndecodableRecordError(SaddledoorError):
    """
    A record of the log is not one of the known types; readers count and skip it.
    """
