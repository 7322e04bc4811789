# SPDX-License-Identifier: MIT

"""
The table of guards matches the source, so that every removal changes the code.
"""

from __future__ import annotations

from collections import Counter
from pathlib import Path

from guard_rows import GUARDS


_ROOT = Path(__file__).parent.parent


def test_each_guard_occurs_once_in_its_file():
    """
    The file of its test exists, and the replacement differs from the guard.
    """
    for guard in GUARDS:
        text = (_ROOT / guard.path).read_text()
        assert text.count(guard.before) == 1, guard.name
        assert guard.before != guard.after, guard.name
        assert (_ROOT / guard.test[0]).is_file(), guard.name


def test_no_two_guards_share_a_name():
    """
    Guards are selected by words of their names.
    """
    names = Counter(guard.name for guard in GUARDS)
    assert names.most_common(1)[0][1] == 1
