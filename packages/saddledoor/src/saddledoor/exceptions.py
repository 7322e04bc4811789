# SPDX-License-Identifier: MIT

"""
Exceptions of the library, raised for invalid input.
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
    A problem in a document.

    :param place: Line or path of the field, for example ``pools[0].name (line 7)``.
    :param found: Description of the invalid content.
    :param allowed: Description of valid content.
    """

    place: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.place}: found {self.found}; allowed: {self.allowed}"


class SaddledoorError(Exception):
    """
    Base class of the library's exceptions.
    """


class InvalidDocumentError(SaddledoorError):
    """
    A document is invalid; no part of it was applied.

    :ivar name: Name of the document.
    :ivar problems: Every problem found.
    """

    def __init__(self, name: str, problems: tuple[Problem, ...]) -> None:
        self.name = name
        self.problems = problems
        super().__init__("\n".join(f"{name}: {problem}" for problem in problems))


class UndecodableRecordError(SaddledoorError):
    """
    A record of the log is not valid; readers skip and count it.
    """
