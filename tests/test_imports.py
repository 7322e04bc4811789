# SPDX-License-Identifier: MIT

"""
What importing the library costs those who embed it.
"""

from __future__ import annotations

import subprocess
import sys


def test_the_library_pulls_in_no_io_libraries():
    """
    Importing the library loads neither grpc, falcon, aiohttp nor telemetry.
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
