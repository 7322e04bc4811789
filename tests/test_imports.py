# SPDX-License-Identifier: MIT

"""
Modules that an import of the library loads.
"""

from __future__ import annotations

import subprocess
import sys


def test_the_library_pulls_in_no_io_libraries():
    """
    The import of the library loads no libraries for I/O or telemetry.
    """
    code = (
        "import sys, saddledoor, saddledoor.checked_yaml\n"
        "heavy = ('grpc', 'falcon', 'aiohttp', 'opentelemetry', 'uvicorn', 'asyncio')\n"
        "print([name for name in heavy if name in sys.modules])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert done.stdout.strip() == "[]"
