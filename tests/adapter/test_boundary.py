# SPDX-License-Identifier: MIT

"""
Names of the platform's protocol stay in the adapters; settings are validated.
"""

from __future__ import annotations

import os
import re
import subprocess
import sys
from pathlib import Path

import pytest

from boot import InvalidSettingsError, load_boot_settings
from platform_documents import SETTINGS


_ROOT = Path(__file__).parent.parent.parent
#: Headers, paths, topics and settings that only the adapters may name.
_NAMES = re.compile(
    r"saddledoor-(attempt|server|deadline|expect|not-exec|urgency|wait-ms|weight-v|kv)"
    r"|/v1/(log-|order\b|lots|items|report\b|readiness)"
    r"|keyed\.(op|servers|status)|SADDLEDOOR_BOOT"
    r"|\b(since_rev|fence_token|if_rev|slo_ms|route_type|path_prefix\"|"
    r"record_bytes|ttl_min_ms|contact_ms|config_apply_ms|max_queue_s)\b",
    re.IGNORECASE,
)


def test_nothing_outside_the_adapter_knows_a_name_of_the_platform():
    """
    No header, path, topic or setting.
    """
    found = [
        f"{path.name}: {match.group()}"
        for path in sorted((_ROOT / "packages").rglob("*.py"))
        for match in _NAMES.finditer(path.read_text())
    ]
    assert found == []


def test_the_standard_library_is_not_shadowed():
    """
    The folder has the name of a standard module, which must stay importable.
    """
    code = "import platform, sys; sys.exit(not hasattr(platform, 'python_version'))"
    for folder in (_ROOT, _ROOT / "platform"):
        done = subprocess.run([sys.executable, "-c", code], cwd=folder, check=False)
        assert done.returncode == 0


def test_settings_can_be_checked_without_running(tmp_path):
    """
    Exits with status 0 and prints one line.
    """
    path = tmp_path / "boot.toml"
    path.write_text(_settings())
    done = subprocess.run(
        [sys.executable, str(_ROOT / "platform" / "edge.py"), "--check"],
        env={**os.environ, "SADDLEDOOR_BOOT": str(path)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert (done.returncode, done.stdout) == (0, "the settings can be used\n")


def _settings() -> str:
    return SETTINGS.format("edge-0", 1001, 1002, 1003, 1000, 300)


def test_settings_are_read_and_unknown_fields_passed_over(tmp_path):
    """
    Later versions of the file may add fields.
    """
    path = tmp_path / "boot.toml"
    path.write_text(_settings())
    settings = load_boot_settings(path)
    assert (settings.vm, settings.store) == ("edge-0", "127.0.0.1:1003")
    assert (settings.lease_term, settings.grace) == (1.0, 8.0)


@pytest.mark.parametrize(
    ("before", "after", "expected"),
    [
        ('node_name = "edge-0"', "", "node_name: missing"),
        (
            'node_name = "edge-0"',
            'node_name = ""',
            "node_name: expected a non-empty string",
        ),
        (
            "call_bytes = 4100",
            "call_bytes = 0",
            "platform.call_bytes: expected a number above 0",
        ),
        (
            "call_bytes = 4100",
            'call_bytes = "4"',
            "platform.call_bytes: expected a number above",
        ),
        ('"127.0.0.1:1003"', '"127.0.0.1"', "platform.address: expected HOST:PORT"),
        ("lease_ms = 1000", "", "timing_bounds.lease_ms: missing"),
        ("grace_s = 8", "grace_s = true", "timing_bounds.grace_s: expected a number"),
        ("[platform]", "[platform", "boot.toml: "),
    ],
)
def test_unusable_settings_are_one_line_and_exit_status_2(
    tmp_path, before, after, expected
):
    """
    The line names the file and the field.
    """
    path = tmp_path / "boot.toml"
    path.write_text(_settings().replace(before, after, 1))
    with pytest.raises(InvalidSettingsError, match=re.escape(expected)):
        load_boot_settings(path)
    done = subprocess.run(
        [sys.executable, str(_ROOT / "platform" / "edge.py")],
        env={**os.environ, "SADDLEDOOR_BOOT": str(path)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2
    assert len(done.stderr.splitlines()) == 1
    assert expected in done.stderr


def test_an_interface_of_the_platform_without_duties_asks_for_no_usage(tmp_path):
    """
    The settings are valid.
    """
    path = tmp_path / "boot.toml"
    path.write_text(_settings() + '[cloud_api]\naddress = "127.0.0.1:1004"\n')
    assert load_boot_settings(path).usage is None
