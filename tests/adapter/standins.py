# SPDX-License-Identifier: MIT

"""
Runs a stand-in of the platform as a process: ``standins.py store|engine PORT ...``.
"""

from __future__ import annotations

import sys

from aiohttp import web

from standin_engine import engine_app
from standin_store import store_app


def main(kind: str, port: str, *rest: str) -> None:
    """
    Serve on a loopback port until killed.
    """
    address = f"127.0.0.1:{port}"
    app = store_app() if kind == "store" else engine_app(address, *rest)
    # A handler must learn that its caller left.
    web.run_app(
        app, host="127.0.0.1", port=int(port), print=None, handler_cancellation=True
    )


if __name__ == "__main__":
    main(*sys.argv[1:])
